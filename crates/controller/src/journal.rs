//! The journal on disk: what was sent, so that the next life of the controller knows of it.
//!
//! A head names format and instance; then records of a length, a checksum and entries ([`Entry`] in postcard). A record
//! cut off at the end was never acted on, since nothing leaves before its record is written whole; it is dropped. A
//! record that is damaged before the end is an error: what follows it is not known.

use peppercove_core::attempt_log::JournalEntry;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// First bytes of a journal, and the version of its records.
const MAGIC: &[u8; 8] = b"ppcvjnl\x01";
/// A record is at most this long.
const LONGEST: usize = 64 << 20;
/// A journal is long when it has grown by so many times what it began with, and this much besides.
const GROWTH: u64 = 4;
const LEAST: u64 = 1 << 20;

/// Why a journal is of no use.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The disk.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process holds it.
    #[error("another controller is using it")]
    Locked,
    /// It begins otherwise.
    #[error("it is no journal of this version")]
    UnknownFormat,
    /// It is another controller's.
    #[error("it is the journal of controller {0}")]
    OtherInstance(String),
    /// A record is damaged and more follow it.
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
    name: String,
    sync: bool,
    file: File,
    /// Held for as long as this process lives; the journal itself is replaced now and then.
    _lock: File,
    /// Bytes that are known to be whole.
    good: u64,
    began: u64,
    whole: bool,
}

impl Journal {
    /// Opens or begins the journal of a controller, and reads it.
    pub(crate) fn open(
        path: &Path,
        name: &str,
        sync: bool,
    ) -> Result<(Journal, Vec<JournalEntry>), JournalError> {
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(beside(path, "lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(JournalError::Locked),
            Err(TryLockError::Error(e)) => return Err(e.into()),
        }
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let head = head(name);
        let mut entries = Vec::new();
        let mut good = 0;
        // A file shorter than its head was left by a process that had not sent anything yet.
        if bytes.len() >= MAGIC.len() + 4 {
            good = read_head(&bytes, name)?;
            good = read_records(&bytes, good, &mut entries)?;
        }
        file.set_len(good as u64)?;
        file.seek(SeekFrom::Start(good as u64))?;
        if good == 0 {
            file.write_all(&head)?;
            good = head.len();
        }
        let good = good as u64;
        let (path, name) = (path.to_owned(), name.to_owned());
        Ok((
            Journal {
                path,
                name,
                sync,
                file,
                _lock: lock,
                good,
                began: good,
                whole: true,
            },
            entries,
        ))
    }

    /// Writes entries down; they have left this process when this returns.
    pub(crate) fn write(&mut self, entries: &[JournalEntry]) -> io::Result<()> {
        if !self.whole {
            return Err(io::Error::other("an earlier write failed"));
        }
        let record = record(entries)?;
        let wrote = self.file.write_all(&record).and_then(|()| self.settle());
        if wrote.is_err() {
            self.whole = false;
            // Half a record must not stand before a whole one.
            let _ = self
                .file
                .set_len(self.good)
                .and_then(|()| self.file.seek(SeekFrom::Start(self.good)));
        } else {
            self.good += record.len() as u64;
        }
        wrote
    }

    fn settle(&self) -> io::Result<()> {
        if self.sync {
            self.file.sync_data()
        } else {
            Ok(())
        }
    }

    /// The last write came to its end.
    pub(crate) fn is_whole(&self) -> bool {
        self.whole
    }

    /// Most of it counts no more.
    pub(crate) fn is_long(&self) -> bool {
        self.good > self.began.saturating_mul(GROWTH).saturating_add(LEAST)
    }

    /// Begins it anew with these entries alone; the old one stands until the new one is whole.
    pub(crate) fn replace(&mut self, entries: &[JournalEntry]) -> Result<(), JournalError> {
        let new = beside(&self.path, "new");
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .open(&new)?;
        let mut bytes = head(&self.name);
        for some in entries.chunks(10_000) {
            bytes.extend(record(some)?);
        }
        file.write_all(&bytes)?;
        file.sync_data()?;
        std::fs::rename(&new, &self.path)?;
        (self.file, self.good, self.whole) = (file, bytes.len() as u64, true);
        self.began = self.good;
        Ok(())
    }
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(ending);
    name.into()
}

fn head(name: &str) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend((name.len() as u32).to_be_bytes());
    head.extend(name.as_bytes());
    head
}

fn read_head(bytes: &[u8], name: &str) -> Result<usize, JournalError> {
    let rest = bytes
        .strip_prefix(MAGIC)
        .ok_or(JournalError::UnknownFormat)?;
    let (length, rest) = rest
        .split_first_chunk::<4>()
        .ok_or(JournalError::UnknownFormat)?;
    let length = u32::from_be_bytes(*length) as usize;
    let told = rest.get(..length).ok_or(JournalError::UnknownFormat)?;
    if told != name.as_bytes() {
        return Err(JournalError::OtherInstance(
            String::from_utf8_lossy(told).into_owned(),
        ));
    }
    Ok(MAGIC.len() + 4 + length)
}

fn record(entries: &[JournalEntry]) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(entries).map_err(io::Error::other)?;
    let mut record = (body.len() as u32).to_be_bytes().to_vec();
    record.extend(crc32fast::hash(&body).to_be_bytes());
    record.extend(body);
    Ok(record)
}

/// Reads records up to the end, or up to one that was cut off there; gives where the whole ones end.
fn read_records(
    bytes: &[u8],
    from: usize,
    entries: &mut Vec<JournalEntry>,
) -> Result<usize, JournalError> {
    let mut at = from;
    while let Some((length, rest)) = bytes[at..].split_first_chunk::<4>() {
        let Some((sum, rest)) = rest.split_first_chunk::<4>() else {
            break;
        };
        let length = u32::from_be_bytes(*length) as usize;
        let damaged = || JournalError::Corrupt(at as u64);
        if length > LONGEST {
            return Err(damaged());
        }
        let Some(body) = rest.get(..length) else {
            break;
        };
        if crc32fast::hash(body) != u32::from_be_bytes(*sum) {
            return Err(damaged());
        }
        entries.extend(postcard::from_bytes::<Vec<JournalEntry>>(body).map_err(|_| damaged())?);
        at += 8 + length;
    }
    Ok(at)
}

#[cfg(test)]
mod tests {
    use super::*;
    use peppercove::{NodeId, RequestId, TaskKey};
    use peppercove_core::attempt_log::{AttemptId, Completion, TaskCopy};

    fn entry(n: u64) -> JournalEntry {
        JournalEntry::Closed(TaskCopy {
            incarnation: 1,
            attempt: AttemptId {
                node: NodeId(n),
                request: RequestId(n),
                number: 0,
            },
        })
    }

    fn written(folder: &Path, entries: u64) -> PathBuf {
        let path = folder.join("journal");
        let (mut journal, old) = Journal::open(&path, "c", false).unwrap();
        assert!(old.is_empty());
        (0..entries).for_each(|n| journal.write(&[entry(n)]).unwrap());
        path
    }

    fn read(path: &Path) -> Result<Vec<JournalEntry>, JournalError> {
        Journal::open(path, "c", true).map(|(_, entries)| entries)
    }

    #[test]
    fn what_was_written_is_read_whatever_is_cut_off_its_end() {
        let folder = tempfile::tempdir().unwrap();
        let path = written(folder.path(), 5);
        let whole = std::fs::read(&path).unwrap();
        assert_eq!(read(&path).unwrap(), (0..5).map(entry).collect::<Vec<_>>());
        let record = record(&[entry(4)]).unwrap().len();
        for cut in 1..record {
            std::fs::write(&path, &whole[..whole.len() - cut]).unwrap();
            assert_eq!(read(&path).unwrap().len(), 4, "cut by {cut}");
        }
        for cut in 0..MAGIC.len() + 4 {
            std::fs::write(&path, &whole[..cut]).unwrap();
            assert!(
                read(&path).unwrap().is_empty(),
                "a journal that was never begun"
            );
        }
    }

    #[test]
    fn a_flipped_bit_before_the_end_is_an_error_with_its_place() {
        let folder = tempfile::tempdir().unwrap();
        let path = written(folder.path(), 5);
        let whole = std::fs::read(&path).unwrap();
        let first = MAGIC.len() + 4 + 1;
        for at in first + 4..first + 12 {
            let mut flipped = whole.clone();
            flipped[at] ^= 1;
            std::fs::write(&path, flipped).unwrap();
            assert!(
                matches!(read(&path), Err(JournalError::Corrupt(place)) if place == first as u64),
                "byte {at}"
            );
        }
    }

    #[test]
    fn a_journal_of_another_or_in_use_is_not_taken() {
        let folder = tempfile::tempdir().unwrap();
        let path = written(folder.path(), 1);
        assert!(
            matches!(Journal::open(&path, "d", false), Err(JournalError::OtherInstance(name)) if name == "c")
        );
        let (_held, _) = Journal::open(&path, "c", false).unwrap();
        assert!(matches!(
            Journal::open(&path, "c", false),
            Err(JournalError::Locked)
        ));
        std::fs::write(folder.path().join("text"), "some other file").unwrap();
        assert!(matches!(
            Journal::open(&folder.path().join("text"), "c", false),
            Err(JournalError::UnknownFormat)
        ));
    }

    #[test]
    fn begun_anew_it_holds_what_it_was_given_and_goes_on() {
        let folder = tempfile::tempdir().unwrap();
        let path = written(folder.path(), 3);
        let (mut journal, _) = Journal::open(&path, "c", false).unwrap();
        journal
            .replace(&[JournalEntry::Completed(TaskKey(9), Completion::MayHaveRun)])
            .unwrap();
        journal.write(&[entry(7)]).unwrap();
        drop(journal);
        assert_eq!(
            read(&path).unwrap(),
            [
                JournalEntry::Completed(TaskKey(9), Completion::MayHaveRun),
                entry(7)
            ]
        );
    }
}
