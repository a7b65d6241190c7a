//! The journal on disk: what was dispatched, so that the next incarnation of the controller knows of it.
//!
//! Its layout is in `format`. A record that is cut off at the end was never acted on, since nothing is sent before its
//! record is written completely; it is dropped. A record that is corrupt before the end is an error: what follows it is
//! not known.

mod format;
#[cfg(test)]
mod tests;

use peppercove_core::attempt_log::JournalEntry;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A journal needs compaction when it has grown to this many times its size at the start, and
/// [`COMPACTION_MIN_BYTES`] besides.
const COMPACTION_FACTOR: u64 = 4;
const COMPACTION_MIN_BYTES: u64 = 1 << 20;

/// Entries in one record of a rewritten journal.
const ENTRIES_PER_RECORD: usize = 10_000;

/// Why a journal cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The file system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process holds the lock.
    #[error("another controller is using it")]
    Locked,
    /// The file does not begin as a journal does.
    #[error("it is no journal of this version")]
    UnknownFormat,
    /// It is the journal of the controller with this name.
    #[error("it is the journal of controller {0}")]
    OtherInstance(String),
    /// The record at this byte is corrupt, and more follow it.
    #[error(
        "a record is damaged at byte {0}; what was sent after it is not known. Moved away, a new journal is begun, \
             and tasks of earlier lives may then start twice"
    )]
    Corrupt(u64),
}

/// An open journal.
#[derive(Debug)]
pub(crate) struct Journal {
    path: PathBuf,
    /// Name of the controller.
    name: String,
    /// Whether each record is flushed to the disk.
    syncs: bool,
    file: File,
    /// Held for as long as this process runs, since the journal itself is replaced now and then.
    _lock: File,
    /// Bytes up to the end of the last complete record.
    complete_bytes: u64,
    /// Bytes when it was opened or rewritten.
    initial_bytes: u64,
    /// The last write succeeded.
    is_intact: bool,
}

impl Journal {
    /// Opens or creates the journal of a controller, and reads it.
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
        // A record that is cut off must not stand before a complete one.
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

    /// Writes entries; they have left this process when it returns.
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
                // A part of a record must not stand before a complete one.
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

    /// Whether most of it does not count any more.
    pub(crate) fn needs_compaction(&self) -> bool {
        let limit = self.initial_bytes.saturating_mul(COMPACTION_FACTOR);
        self.complete_bytes > limit.saturating_add(COMPACTION_MIN_BYTES)
    }

    /// Rewrites it with these entries alone. The old file stands until the new one is complete.
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

/// Takes the lock of a journal, a file beside it.
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
