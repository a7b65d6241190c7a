//! Layout of a record, little endian: four bytes of payload length, four of CRC-32 over all that follows, eight of the
//! time, and the payload.

use std::io::Read;

/// Largest payload; a larger length in a segment is damage.
pub(super) const MAX_PAYLOAD_BYTES: u32 = 16 << 20;
/// Length and checksum, which the checksum does not cover.
const PREFIX_BYTES: usize = 8;
const TIME_BYTES: usize = 8;
const HEADER_BYTES: usize = PREFIX_BYTES + TIME_BYTES;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// When it was written, in milliseconds since 1970.
    pub at: i64,
    /// What it holds.
    pub payload: Vec<u8>,
}

impl Record {
    /// Bytes of the record on disk.
    pub(super) fn stored_bytes(&self) -> u64 {
        (HEADER_BYTES + self.payload.len()) as u64
    }
}

/// A record as it is stored.
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

/// Reads the next record; `None` at the end, and where the record is torn or damaged.
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
