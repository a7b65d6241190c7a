//! What waits to be pushed, on disk: segments of checksummed records, bounded in bytes and age.
//!
//! A record is four bytes of length, four of CRC-32, and the payload, little endian. A segment is a file of records named
//! by a number; the oldest segment is read, the newest written. What was pushed is remembered by a file `done` that names
//! a segment and an offset. Every loss is counted by its reason; a torn tail, a flipped bit or a missing file costs what
//! it covers and nothing else. Writing is not synced: a crash of the machine may cost the last seconds, never order.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Bounds of a backlog.
#[derive(Clone, Copy, Debug)]
pub struct WalLimits {
    /// Bytes on disk, all segments together.
    pub bytes: u64,
    /// Bytes of one segment, after which the next is begun.
    pub segment: u64,
    /// Records older than this are dropped, in milliseconds.
    pub age: i64,
}

/// Records lost, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// Dropped, oldest first, for room.
    pub room: u64,
    /// Dropped for their age.
    pub age: u64,
    /// Places where a segment was torn or damaged; how many records stood there is not known.
    pub damaged: u64,
    /// Could not be written.
    pub unwritten: u64,
}

/// One record that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// When it was written, in milliseconds since 1970.
    pub at: i64,
    /// What it holds.
    pub payload: Vec<u8>,
}

/// A backlog in a folder of its own. One process at a time may have it open.
#[derive(Debug)]
pub struct WriteAheadLog {
    folder: PathBuf,
    bounds: WalLimits,
    /// Numbers and sizes of the segments, oldest first; the last one is written.
    segments: std::collections::VecDeque<(u64, u64)>,
    writer: Option<File>,
    /// Where reading goes on, in the oldest segment.
    offset: u64,
    /// Records that wait in each segment are counted where they are read or written in this life.
    lost: LossCounts,
    _lock: File,
}

const HEAD: usize = 8 + 8;
/// Longest payload; a longer length is damage.
const LONGEST: u32 = 16 << 20;

impl WriteAheadLog {
    /// Opens the backlog of a folder, making it where there is none, and goes on from where it was.
    ///
    /// # Errors
    /// Where the folder cannot be read or made, or another process has it open.
    pub fn open(folder: &Path, bounds: WalLimits) -> io::Result<WriteAheadLog> {
        fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))?;
        lock.try_lock()
            .map_err(|_| io::Error::other(format!("{} is open elsewhere", folder.display())))?;
        let mut numbers: Vec<(u64, u64)> = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            let name = entry.file_name();
            let number = name
                .to_str()
                .and_then(|n| n.strip_suffix(".seg"))
                .and_then(|n| n.parse().ok());
            if let Some(number) = number {
                numbers.push((number, entry.metadata()?.len()));
            }
        }
        numbers.sort_unstable();
        let done = fs::read_to_string(folder.join("done")).unwrap_or_default();
        let mut done = done
            .split_whitespace()
            .map(|n| n.parse::<u64>().unwrap_or(0));
        let (segment, offset) = (done.next().unwrap_or(0), done.next().unwrap_or(0));
        for (number, _) in numbers.iter().filter(|(n, _)| *n < segment) {
            fs::remove_file(path(folder, *number))?;
        }
        numbers.retain(|(n, _)| *n >= segment);
        let offset = if numbers.first().is_some_and(|(n, _)| *n == segment) {
            offset
        } else {
            0
        };
        let segments = numbers.into();
        let (folder, lost) = (folder.to_owned(), LossCounts::default());
        let mut backlog = WriteAheadLog {
            folder,
            bounds,
            segments,
            writer: None,
            offset,
            lost,
            _lock: lock,
        };
        // What an earlier life was writing may be torn: writing goes on in a segment of its own.
        backlog.begin_segment()?;
        Ok(backlog)
    }

    /// Records lost so far in this life.
    pub fn lost(&self) -> LossCounts {
        self.lost
    }

    /// Bytes that wait.
    pub fn bytes(&self) -> u64 {
        self.segments
            .iter()
            .map(|(_, size)| size)
            .sum::<u64>()
            .saturating_sub(self.offset)
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        let number = self.segments.back().map_or(1, |(n, _)| n + 1);
        self.writer = Some(
            OpenOptions::new()
                .create(true)
                .append(true)
                .open(path(&self.folder, number))?,
        );
        self.segments.push_back((number, 0));
        Ok(())
    }

    /// Adds a record. A record that cannot be written, on a full disk say, is counted as lost; nothing fails for it.
    pub fn append(&mut self, at: i64, payload: &[u8]) {
        if payload.len() > LONGEST as usize || self.try_append(at, payload).is_err() {
            self.lost.unwritten += 1;
            // The segment may be torn now; the next record begins another one.
            let _ = self.begin_segment();
        }
        self.make_room();
    }

    fn try_append(&mut self, at: i64, payload: &[u8]) -> io::Result<()> {
        if self
            .segments
            .back()
            .is_none_or(|(_, size)| *size >= self.bounds.segment)
        {
            self.begin_segment()?;
        }
        let mut bytes = Vec::with_capacity(HEAD + payload.len());
        bytes.extend((payload.len() as u32).to_le_bytes());
        bytes.extend([0; 4]);
        bytes.extend(at.to_le_bytes());
        bytes.extend(payload);
        let sum = crc32fast::hash(&bytes[8..]);
        bytes[4..8].copy_from_slice(&sum.to_le_bytes());
        let writer = self
            .writer
            .as_mut()
            .ok_or_else(|| io::Error::other("no segment is open"))?;
        writer.write_all(&bytes)?;
        if let Some((_, size)) = self.segments.back_mut() {
            *size += bytes.len() as u64;
        }
        Ok(())
    }

    /// Drops whole segments, oldest first, while there are too many bytes.
    fn make_room(&mut self) {
        while self.bytes() > self.bounds.bytes && self.segments.len() > 1 {
            let left = self
                .read_from(self.offset, usize::MAX)
                .map_or(0, |(records, _)| records.len());
            self.lost.room += left as u64;
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((number, _)) = self.segments.pop_front() {
            let _ = fs::remove_file(path(&self.folder, number));
            self.offset = 0;
        }
    }

    /// The next records, at most so many, without taking them out; those that are too old are dropped.
    pub fn peek(&mut self, now: i64, most: usize) -> Vec<Record> {
        loop {
            let Some((records, next)) = self.read_from(self.offset, most.max(1)) else {
                if !self.leave_segment() {
                    return Vec::new();
                }
                continue;
            };
            let old = |r: &&Record| r.at.saturating_add(self.bounds.age) < now;
            let aged = records.iter().take_while(old).count();
            if aged == 0 {
                return records;
            }
            self.lost.age += aged as u64;
            let skip: u64 = records[..aged]
                .iter()
                .map(|r| (HEAD + r.payload.len()) as u64)
                .sum();
            self.offset = (self.offset + skip).min(next);
        }
    }

    /// The first `count` records are done with.
    pub fn acknowledge(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        if let Some((records, _)) = self.read_from(self.offset, count) {
            self.offset += records
                .iter()
                .map(|r| (HEAD + r.payload.len()) as u64)
                .sum::<u64>();
        }
        let segment = self.segments.front().map_or(0, |(n, _)| *n);
        // Written beside and moved, so that a crash leaves the old word or the new one.
        let (new, file) = (self.folder.join("done.new"), self.folder.join("done"));
        let written = fs::write(&new, format!("{segment} {}\n", self.offset))
            .and_then(|()| fs::rename(new, file));
        // Without it a restart would send some records again, which receivers bear.
        let _ = written;
    }

    /// The oldest segment is read to its end, or damaged there: the next one is the oldest.
    fn leave_segment(&mut self) -> bool {
        let Some((_, size)) = self.segments.front().copied() else {
            return false;
        };
        if self.segments.len() == 1 {
            return false;
        }
        if self.offset < size {
            self.lost.damaged += 1;
        }
        self.drop_oldest();
        true
    }

    /// Reads records of the oldest segment; `None` where none can be read from there.
    fn read_from(&self, offset: u64, most: usize) -> Option<(Vec<Record>, u64)> {
        let (number, size) = self.segments.front()?;
        let mut file = File::open(path(&self.folder, *number)).ok()?;
        file.seek(SeekFrom::Start(offset)).ok()?;
        let mut reader = io::BufReader::new(file.take(size.saturating_sub(offset)));
        let (mut records, mut at) = (Vec::new(), offset);
        while records.len() < most {
            let Some(record) = read_record(&mut reader) else {
                break;
            };
            at += (HEAD + record.payload.len()) as u64;
            records.push(record);
        }
        (!records.is_empty()).then_some((records, at))
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:010}.seg"))
}

fn read_record(reader: &mut impl Read) -> Option<Record> {
    let mut head = [0; HEAD];
    reader.read_exact(&mut head).ok()?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (length, sum) = (word(0), word(4));
    if length > LONGEST {
        return None;
    }
    let mut bytes = head[8..].to_vec();
    bytes.resize(8 + length as usize, 0);
    reader.read_exact(&mut bytes[8..]).ok()?;
    if crc32fast::hash(&bytes) != sum {
        return None;
    }
    let mut at = [0; 8];
    at.copy_from_slice(&bytes[..8]);
    Some(Record {
        at: i64::from_le_bytes(at),
        payload: bytes.split_off(8),
    })
}
