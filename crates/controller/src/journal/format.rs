//! File layout of a journal.
//!
//! | part | bytes |
//! | --- | --- |
//! | magic number and version | 8 |
//! | length of the controller's name, big endian | 4 |
//! | the controller's name | as many |
//! | for each record: length of the entries, big endian | 4 |
//! | CRC-32 of the entries, big endian | 4 |
//! | the entries, in postcard | as many |

use super::JournalError;
use peppercove_core::attempt_log::JournalEntry;
use std::io;

/// First bytes of a journal: a magic number and the version of the record format.
pub(super) const MAGIC: &[u8; 8] = b"ppcvjnl\x01";

/// Size of a length or checksum field.
const WORD_BYTES: usize = size_of::<u32>();

/// Size of the header before the controller's name.
pub(super) const FIXED_HEADER_BYTES: usize = MAGIC.len() + WORD_BYTES;

/// Maximum size of the entries of one record.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// Contents of a journal file.
pub(super) struct Contents {
    pub(super) entries: Vec<JournalEntry>,
    /// Offset of the end of the last complete record, in bytes; 0 if the header is incomplete.
    pub(super) complete_bytes: u64,
}

/// Encodes the header of a journal.
pub(super) fn header(name: &str) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend((name.len() as u32).to_be_bytes());
    header.extend(name.as_bytes());
    header
}

/// Encodes a record with these entries.
pub(super) fn record(entries: &[JournalEntry]) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(entries).map_err(io::Error::other)?;
    let mut record = (body.len() as u32).to_be_bytes().to_vec();
    record.extend(crc32fast::hash(&body).to_be_bytes());
    record.extend(body);
    Ok(record)
}

/// Decodes the journal of the controller with this name.
pub(super) fn read(bytes: &[u8], name: &str) -> Result<Contents, JournalError> {
    let mut entries = Vec::new();
    let mut end = 0;
    // A shorter file was left by a process that stopped before it dispatched anything.
    if bytes.len() >= FIXED_HEADER_BYTES {
        end = read_header(bytes, name)?;
        end = read_records(bytes, end, &mut entries)?;
    }
    Ok(Contents {
        entries,
        complete_bytes: end as u64,
    })
}

/// Checks the header and returns its length.
fn read_header(bytes: &[u8], name: &str) -> Result<usize, JournalError> {
    let rest = bytes
        .strip_prefix(MAGIC)
        .ok_or(JournalError::UnknownFormat)?;
    let (length, rest) = split_word(rest).ok_or(JournalError::UnknownFormat)?;
    let length = length as usize;
    let own_name = rest.get(..length).ok_or(JournalError::UnknownFormat)?;
    if own_name != name.as_bytes() {
        let own_name = String::from_utf8_lossy(own_name).into_owned();
        return Err(JournalError::OtherController(own_name));
    }
    Ok(FIXED_HEADER_BYTES + length)
}

/// Decodes the records up to the end of the file or a truncated last record. Returns the end of the last complete one.
fn read_records(
    bytes: &[u8],
    start: usize,
    entries: &mut Vec<JournalEntry>,
) -> Result<usize, JournalError> {
    let mut end = start;
    while let Some((length, rest)) = split_word(&bytes[end..]) {
        let Some((checksum, rest)) = split_word(rest) else {
            break;
        };
        let length = length as usize;
        let corrupt = || JournalError::Corrupt(end as u64);
        if length > MAX_RECORD_BYTES {
            return Err(corrupt());
        }
        let Some(body) = rest.get(..length) else {
            break;
        };
        if crc32fast::hash(body) != checksum {
            return Err(corrupt());
        }
        let record: Vec<JournalEntry> = postcard::from_bytes(body).map_err(|_| corrupt())?;
        entries.extend(record);
        end += 2 * WORD_BYTES + length;
    }
    Ok(end)
}

/// Splits off a big-endian `u32`; `None` if too few bytes are left.
fn split_word(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (word, rest) = bytes.split_first_chunk::<WORD_BYTES>()?;
    Some((u32::from_be_bytes(*word), rest))
}
