//! Write-ahead log of samples that are waiting to be pushed: segments of checksummed records, limited in size and age.
//!
//! A segment is a numbered file of records ([`Record`]). Records are read from the oldest segment and appended to the
//! newest one. A checkpoint stores the position up to which records were pushed. Every loss is counted by its reason; a
//! torn tail, a flipped bit or a missing file loses only records of the segment concerned. Writes are not synced: a
//! crash of the machine may lose the last seconds of samples, but does not change their order.

mod checkpoint;
mod error;
mod record;

pub use error::WalError;
pub use record::Record;

use checkpoint::Checkpoint;
use record::MAX_PAYLOAD_BYTES;
use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Limits of a write-ahead log.
#[derive(Clone, Copy, Debug)]
pub struct WalLimits {
    /// Maximum size of all segments together, in bytes.
    pub max_bytes: u64,
    /// Size of a segment in bytes at which the next segment is started.
    pub segment_bytes: u64,
    /// Age in milliseconds above which records are dropped.
    pub max_age_ms: i64,
}

/// Number of lost records, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// Dropped, oldest first, to keep the log within [`WalLimits::max_bytes`].
    pub over_size: u64,
    /// Dropped because they were older than [`WalLimits::max_age_ms`].
    pub expired: u64,
    /// Places where a segment was torn or damaged; the number of records lost there is unknown.
    pub damaged: u64,
    /// Records that could not be written.
    pub unwritten: u64,
}

/// A segment: one file of records.
#[derive(Clone, Copy, Debug)]
struct Segment {
    number: u64,
    bytes: u64,
}

impl Segment {
    fn path(self, directory: &Path) -> PathBuf {
        directory.join(format!("{:010}.seg", self.number))
    }
}

/// At least one record read from a segment, and the offset in the segment after the last of them.
struct RecordBatch {
    records: Vec<Record>,
    end: u64,
}

/// A write-ahead log in a directory of its own. Only one process at a time can have it open.
#[derive(Debug)]
pub struct WriteAheadLog {
    directory: PathBuf,
    limits: WalLimits,
    /// The segments, oldest first; records are appended to the last one.
    segments: VecDeque<Segment>,
    writer: Option<File>,
    /// Offset in the oldest segment of the next record to read.
    read_offset: u64,
    losses: LossCounts,
    /// Keeps the directory locked until the log is dropped.
    _lock: File,
}

impl WriteAheadLog {
    /// Opens the log in a directory, creating the directory if it does not exist, and continues from its checkpoint.
    ///
    /// # Errors
    /// [`WalError::Io`] if the directory cannot be read or created, [`WalError::Locked`] if another process has the log
    /// open.
    pub fn open(directory: &Path, limits: WalLimits) -> Result<WriteAheadLog, WalError> {
        fs::create_dir_all(directory)?;
        let lock = lock_directory(directory)?;
        let checkpoint = Checkpoint::load(directory);
        let mut segments = list_segments(directory)?;
        for segment in segments.iter().filter(|s| s.number < checkpoint.segment) {
            fs::remove_file(segment.path(directory))?;
        }
        segments.retain(|segment| segment.number >= checkpoint.segment);
        let oldest = segments.first().map(|segment| segment.number);
        let mut log = WriteAheadLog {
            directory: directory.to_owned(),
            limits,
            segments: segments.into(),
            writer: None,
            read_offset: if oldest == Some(checkpoint.segment) {
                checkpoint.offset
            } else {
                0
            },
            losses: LossCounts::default(),
            _lock: lock,
        };
        // The segment that an earlier incarnation was writing to may be torn, so records are appended to a new one.
        log.start_segment()?;
        Ok(log)
    }

    /// Returns the number of records lost since the log was opened.
    pub fn losses(&self) -> LossCounts {
        self.losses
    }

    /// Returns the size of the records that are waiting to be pushed, in bytes.
    pub fn bytes(&self) -> u64 {
        let stored: u64 = self.segments.iter().map(|segment| segment.bytes).sum();
        stored.saturating_sub(self.read_offset)
    }

    // ---- Writing ----

    /// Appends a record with the time `at`, in milliseconds since the Unix epoch.
    ///
    /// A record that cannot be written, for example because the disk is full, is counted as lost; no error is returned.
    pub fn append(&mut self, at: i64, payload: &[u8]) {
        let fits = payload.len() <= MAX_PAYLOAD_BYTES as usize;
        if !fits || self.try_append(at, payload).is_err() {
            self.losses.unwritten += 1;
            // The segment may be torn now. If no new one can be started, the next record fails and is counted as well.
            let _ = self.start_segment();
        }
        self.drop_over_limit();
    }

    fn try_append(&mut self, at: i64, payload: &[u8]) -> io::Result<()> {
        let is_full = |segment: &Segment| segment.bytes >= self.limits.segment_bytes;
        if self.segments.back().is_none_or(is_full) {
            self.start_segment()?;
        }
        let bytes = record::encode(at, payload);
        let writer = self.writer.as_mut().ok_or_else(|| {
            io::Error::other("no segment of the write-ahead log is open for writing")
        })?;
        writer.write_all(&bytes)?;
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes += bytes.len() as u64;
        }
        Ok(())
    }

    fn start_segment(&mut self) -> io::Result<()> {
        let newest = self.segments.back();
        let segment = Segment {
            number: newest.map_or(1, |newest| newest.number + 1),
            bytes: 0,
        };
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(segment.path(&self.directory))?;
        self.writer = Some(file);
        self.segments.push_back(segment);
        Ok(())
    }

    /// Drops whole segments, oldest first, while the log exceeds its maximum size.
    fn drop_over_limit(&mut self) {
        while self.bytes() > self.limits.max_bytes && self.segments.len() > 1 {
            let unread = self.read_oldest(usize::MAX);
            let unread = unread.map_or(0, |batch| batch.records.len());
            self.losses.over_size += unread as u64;
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(segment) = self.segments.pop_front() {
            // A file that cannot be removed here is removed at the next start, if the checkpoint is past it.
            let _ = fs::remove_file(segment.path(&self.directory));
            self.read_offset = 0;
        }
    }

    // ---- Reading ----

    /// Returns up to `max` of the next records without acknowledging them. Drops records that are too old at `now`, in
    /// milliseconds since the Unix epoch.
    pub fn peek(&mut self, now: i64, max: usize) -> Vec<Record> {
        loop {
            let Some(batch) = self.read_oldest(max.max(1)) else {
                if !self.advance_segment() {
                    return Vec::new();
                }
                continue;
            };
            let is_expired =
                |record: &&Record| record.at.saturating_add(self.limits.max_age_ms) < now;
            let expired = batch.records.iter().take_while(is_expired).count();
            if expired == 0 {
                return batch.records;
            }
            self.losses.expired += expired as u64;
            let skipped = stored_bytes(&batch.records[..expired]);
            self.read_offset = (self.read_offset + skipped).min(batch.end);
        }
    }

    /// Advances past the first `count` records, which were pushed or are to be dropped, and stores a checkpoint there.
    pub fn acknowledge(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        if let Some(batch) = self.read_oldest(count) {
            self.read_offset += stored_bytes(&batch.records);
        }
        let checkpoint = Checkpoint {
            segment: self.segments.front().map_or(0, |oldest| oldest.number),
            offset: self.read_offset,
        };
        // If storing fails, some records are sent again after a restart, which receivers accept.
        let _ = checkpoint.store(&self.directory);
    }

    /// Drops the oldest segment, which was read to its end or to a damaged place, so that the next one is read. Returns
    /// false if there is no next segment.
    fn advance_segment(&mut self) -> bool {
        let Some(oldest) = self.segments.front().copied() else {
            return false;
        };
        if self.segments.len() == 1 {
            return false;
        }
        if self.read_offset < oldest.bytes {
            self.losses.damaged += 1;
        }
        self.drop_oldest();
        true
    }

    /// Reads up to `max` records from the oldest segment; `None` if none can be read.
    fn read_oldest(&self, max: usize) -> Option<RecordBatch> {
        let oldest = self.segments.front()?;
        let mut file = File::open(oldest.path(&self.directory)).ok()?;
        file.seek(SeekFrom::Start(self.read_offset)).ok()?;
        let unread = oldest.bytes.saturating_sub(self.read_offset);
        let mut reader = io::BufReader::new(io::Read::take(file, unread));
        let mut records = Vec::new();
        while records.len() < max
            && let Some(record) = record::read(&mut reader)
        {
            records.push(record);
        }
        let end = self.read_offset + stored_bytes(&records);
        (!records.is_empty()).then_some(RecordBatch { records, end })
    }
}

/// Locks the directory of a log for this process.
fn lock_directory(directory: &Path) -> Result<File, WalError> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(directory.join("lock"))?;
    lock.try_lock().map_err(|_| WalError::Locked {
        directory: directory.to_owned(),
    })?;
    Ok(lock)
}

/// Returns the segments in a directory, oldest first.
fn list_segments(directory: &Path) -> io::Result<Vec<Segment>> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(directory)? {
        let entry = entry?;
        let name = entry.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_suffix(".seg"))
            .and_then(|number| number.parse().ok());
        if let Some(number) = number {
            let bytes = entry.metadata()?.len();
            segments.push(Segment { number, bytes });
        }
    }
    segments.sort_unstable_by_key(|segment| (segment.number, segment.bytes));
    Ok(segments)
}

/// Returns the size of records on disk, in bytes.
fn stored_bytes(records: &[Record]) -> u64 {
    records.iter().map(Record::stored_bytes).sum()
}
