//! The journal file: records every dispatch, so that the next incarnation of the controller can account for it.
//!
//! The file layout is described in `format`. A truncated record at the end is dropped: nothing is sent before its
//! record is completely written, so the record never took effect. A corrupt record before the end is an error, because
//! the records after it cannot be read.

mod format;
#[cfg(test)]
mod tests;

use peppercove_core::attempt_log::JournalEntry;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A journal needs compaction when it exceeds this multiple of its size after the last open or rewrite by more than
/// [`COMPACTION_MIN_BYTES`].
const COMPACTION_FACTOR: u64 = 4;
const COMPACTION_MIN_BYTES: u64 = 1 << 20;

/// Maximum number of entries in one record of a rewritten journal.
const ENTRIES_PER_RECORD: usize = 10_000;

/// Why a journal cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// An I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process holds the lock file.
    #[error("the journal is in use by another controller")]
    Locked,
    /// The file does not start with the header of a journal.
    #[error("the file is not a journal, or has an unsupported version")]
    UnknownFormat,
    /// The journal belongs to the controller with this name.
    #[error("the journal belongs to controller {0}")]
    OtherController(String),
    /// The record at this byte offset is corrupt.
    #[error(
        "the record at byte {0} is corrupt; later dispatches are unknown. If the file is moved away, a new journal is \
             created, and tasks of earlier incarnations may then start twice"
    )]
    Corrupt(u64),
}

/// An open journal.
#[derive(Debug)]
pub(crate) struct Journal {
    path: PathBuf,
    /// Name of the controller.
    name: String,
    /// Whether each record is synced to disk.
    syncs: bool,
    file: File,
    /// Lock file, held until the journal is dropped. The journal itself is not locked, because compaction replaces it.
    _lock: File,
    /// Offset of the end of the last complete record, in bytes.
    complete_bytes: u64,
    /// Size in bytes when the journal was opened or last rewritten.
    initial_bytes: u64,
    /// Whether the last write succeeded.
    is_intact: bool,
}

impl Journal {
    /// Opens or creates the journal of a controller, and reads its entries.
    pub(crate) fn open(
        path: &Path,
        name: &str,
        syncs: bool,
    ) -> Result<(Journal, Vec<JournalEntry>), JournalError> {
        let lock = lock(path)?;
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let contents = format::read(&bytes, name)?;
        // Remove a truncated record, so that no complete record is written after it.
        file.set_len(contents.complete_bytes)?;
        file.seek(SeekFrom::Start(contents.complete_bytes))?;
        let mut complete_bytes = contents.complete_bytes;
        if complete_bytes == 0 {
            let header = format::header(name);
            file.write_all(&header)?;
            complete_bytes = header.len() as u64;
        }
        let journal = Journal {
            path: path.to_owned(),
            name: name.to_owned(),
            syncs,
            file,
            _lock: lock,
            complete_bytes,
            initial_bytes: complete_bytes,
            is_intact: true,
        };
        Ok((journal, contents.entries))
    }

    /// Writes entries. When it returns, the operating system has them, and with `syncs` also the disk.
    pub(crate) fn write(&mut self, entries: &[JournalEntry]) -> io::Result<()> {
        if !self.is_intact {
            return Err(io::Error::other("an earlier write failed"));
        }
        let record = format::record(entries)?;
        let written = self.file.write_all(&record).and_then(|()| self.sync());
        match written {
            Ok(()) => self.complete_bytes += record.len() as u64,
            Err(_) => {
                self.is_intact = false;
                // Remove the incomplete record, so that no complete record is written after it.
                let _ = self.truncate_incomplete_record();
            }
        }
        written
    }

    fn sync(&self) -> io::Result<()> {
        if self.syncs {
            self.file.sync_data()
        } else {
            Ok(())
        }
    }

    fn truncate_incomplete_record(&mut self) -> io::Result<u64> {
        self.file.set_len(self.complete_bytes)?;
        self.file.seek(SeekFrom::Start(self.complete_bytes))
    }

    /// Whether the last write succeeded.
    pub(crate) fn is_intact(&self) -> bool {
        self.is_intact
    }

    /// Whether the journal has grown so much that most of its entries are likely obsolete.
    pub(crate) fn needs_compaction(&self) -> bool {
        let limit = self.initial_bytes.saturating_mul(COMPACTION_FACTOR);
        self.complete_bytes > limit.saturating_add(COMPACTION_MIN_BYTES)
    }

    /// Replaces the contents of the journal with these entries. The old file stays in place until the new one is
    /// complete.
    pub(crate) fn replace(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
        let new_path = with_suffix(&self.path, "new");
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .open(&new_path)?;
        let mut bytes = format::header(&self.name);
        for chunk in entries.chunks(ENTRIES_PER_RECORD) {
            bytes.extend(format::record(chunk)?);
        }
        file.write_all(&bytes)?;
        file.sync_data()?;
        std::fs::rename(&new_path, &self.path)?;
        self.file = file;
        self.complete_bytes = bytes.len() as u64;
        self.initial_bytes = self.complete_bytes;
        self.is_intact = true;
        Ok(())
    }
}

/// Locks a journal by means of a lock file in the same directory.
fn lock(path: &Path) -> Result<File, JournalError> {
    let path = with_suffix(path, "lock");
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(JournalError::Locked),
        Err(TryLockError::Error(error)) => Err(error.into()),
    }
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(suffix);
    name.into()
}
