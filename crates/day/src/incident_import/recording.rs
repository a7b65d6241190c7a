//! Parses the text of a recording: a header line `>> process N, L bytes` or `<< process N, L bytes`, then a line with a
//! batch or a reply in hexadecimal.

use super::{ImportError, LineProblem};
use peppercove::Micros;

/// Prefix of the header of a batch to the adapter.
const BATCH_PREFIX: &str = ">> process ";

/// Prefix of the header of a reply from the adapter.
const REPLY_PREFIX: &str = "<< process ";

/// Size of the header of a batch, in bytes: length, number of records, time.
const BATCH_HEADER_BYTES: usize = 16;

/// Header line of a frame.
struct FrameHeader {
    process: u64,
    length: usize,
    is_batch: bool,
}

/// One batch to the adapter.
pub(super) struct BatchFrame<'a> {
    /// Number of records.
    pub(super) records: u32,
    /// Time of the batch, in microseconds.
    pub(super) time: Micros,
    pub(super) body: &'a [u8],
}

/// Calls `on_batch` with each batch of a recording and the number of its process.
pub(super) fn read_frames(
    recording: &[u8],
    mut on_batch: impl FnMut(u64, BatchFrame<'_>) -> Result<(), LineProblem>,
) -> Result<(), ImportError> {
    let mut header = None;
    for (index, line) in recording.split(|byte| *byte == b'\n').enumerate() {
        read_line(line, &mut header, &mut on_batch).map_err(|problem| ImportError::Line {
            line: index + 1,
            problem,
        })?;
    }
    Ok(())
}

fn read_line(
    line: &[u8],
    header: &mut Option<FrameHeader>,
    on_batch: &mut impl FnMut(u64, BatchFrame<'_>) -> Result<(), LineProblem>,
) -> Result<(), LineProblem> {
    let line = std::str::from_utf8(line).map_err(|_| LineProblem::NotText)?;
    let line = line.trim();
    if line.is_empty() {
        return Ok(());
    }
    if let Some(new_header) = parse_header(line)? {
        *header = Some(new_header);
        return Ok(());
    }
    let header = header.take().ok_or(LineProblem::NoHeader)?;
    if !header.is_batch {
        return Ok(());
    }
    let bytes = decode_hexadecimal(line).ok_or(LineProblem::NotHexadecimal)?;
    if bytes.len() != header.length || header.length < BATCH_HEADER_BYTES {
        return Err(LineProblem::LengthMismatch {
            found: bytes.len(),
            stated: header.length,
        });
    }
    let frame = BatchFrame {
        records: u32_at(&bytes, 4),
        time: u64::from(u32_at(&bytes, 8)) | u64::from(u32_at(&bytes, 12)) << 32,
        body: &bytes[BATCH_HEADER_BYTES..],
    };
    on_batch(header.process, frame)
}

/// Parses a header line. Returns `None` if the line does not have the prefix of one.
fn parse_header(line: &str) -> Result<Option<FrameHeader>, LineProblem> {
    let is_batch = line.starts_with(BATCH_PREFIX);
    let rest = line.strip_prefix(BATCH_PREFIX);
    let Some(rest) = rest.or_else(|| line.strip_prefix(REPLY_PREFIX)) else {
        return Ok(None);
    };
    let (process, length) = rest.split_once(", ").ok_or(LineProblem::NoLength)?;
    let process = process
        .parse()
        .map_err(|_| LineProblem::InvalidProcess(process.into()))?;
    let length = length.strip_suffix(" bytes");
    let length = length.and_then(|length| length.parse().ok());
    Ok(Some(FrameHeader {
        process,
        length: length.ok_or(LineProblem::NoLength)?,
        is_batch,
    }))
}

/// The little-endian `u32` at this position.
fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn decode_hexadecimal(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16).map(|digit| digit as u8);
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?))
        .collect()
}
