//! Encoding of records, in little-endian byte order: payload length (4 bytes), CRC-32 of all bytes that follow
//! (4 bytes), time (8 bytes), payload.

use std::io::Read;

/// Maximum size of a payload. A larger length in a segment means that the segment is damaged.
pub(super) const MAX_PAYLOAD_BYTES: u32 = 16 << 20;
/// Size of the length and the checksum, which the checksum does not cover.
const PREFIX_BYTES: usize = 8;
const TIME_BYTES: usize = 8;
const HEADER_BYTES: usize = PREFIX_BYTES + TIME_BYTES;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Time of the record as given when it was appended, in milliseconds since the Unix epoch.
    pub at: i64,
    /// The content, which the log does not interpret.
    pub payload: Vec<u8>,
}

impl Record {
    /// Returns the size of the record on disk, in bytes.
    pub(super) fn stored_bytes(&self) -> u64 {
        (HEADER_BYTES + self.payload.len()) as u64
    }
}

/// Encodes a record as it is stored.
pub(super) fn encode(at: i64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend([0; 4]);
    bytes.extend(at.to_le_bytes());
    bytes.extend(payload);
    let checksum = crc32fast::hash(&bytes[PREFIX_BYTES..]);
    bytes[4..PREFIX_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Reads the next record; `None` at the end of the segment, or if the record is torn or damaged.
pub(super) fn read(reader: &mut impl Read) -> Option<Record> {
    let length = read_u32(reader)?;
    let checksum = read_u32(reader)?;
    let mut time = [0; TIME_BYTES];
    reader.read_exact(&mut time).ok()?;
    if length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let mut payload = vec![0; length as usize];
    reader.read_exact(&mut payload).ok()?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&time);
    hasher.update(&payload);
    (hasher.finalize() == checksum).then(|| Record {
        at: i64::from_le_bytes(time),
        payload,
    })
}

fn read_u32(reader: &mut impl Read) -> Option<u32> {
    let mut bytes = [0; 4];
    reader.read_exact(&mut bytes).ok()?;
    Some(u32::from_le_bytes(bytes))
}
