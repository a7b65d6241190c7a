//! Runs the decision module behind the adapter protocol: batches arrive on standard input, replies
//! go to standard output. One process serves many scheduler instances.
#![forbid(unsafe_code)]

use peppercove::adapter_protocol::{Batch, Decoder, Incoming, ProtocolError, Reply};
use peppercove::{Event, Micros, Scheduler};
use std::collections::BTreeMap;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::process::ExitCode;

/// Frames longer than this are rejected, since the length field is probably corrupt.
const MAX_FRAME_BYTES: u32 = 1 << 30;
/// Size of a frame header: body length, record count and time.
const HEADER_BYTES: usize = 16;
/// Large enough for several batches, so that a long batch needs few reads.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

/// A failure that ends the adapter.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("frame {frame}: {part} ends after {read} of {expected} bytes")]
    Truncated {
        frame: u64,
        part: &'static str,
        read: usize,
        expected: usize,
    },
    #[error("frame {frame}: body of {length} bytes is missing")]
    MissingBody { frame: u64, length: u32 },
    #[error("frame {frame}: length of {length} bytes exceeds the maximum")]
    TooLong { frame: u64, length: u32 },
    #[error("frame {frame}: {source}")]
    Protocol { frame: u64, source: ProtocolError },
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("peppercove-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch with one frame until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut batches = BatchReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut instances = BTreeMap::new();
    while let Some(batch) = batches.next_batch()? {
        let reply = handle_batch(&mut instances, batch);
        output.write_all(&reply.finish())?;
        output.flush()?;
    }
    Ok(())
}

/// Reads batches from an input.
struct BatchReader<R> {
    input: BufReader<R>,
    decoder: Decoder,
    /// Index of the next frame.
    frame: u64,
}

impl<R: Read> BatchReader<R> {
    fn new(input: R) -> BatchReader<R> {
        let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, input);
        BatchReader {
            input,
            decoder: Decoder::default(),
            frame: 0,
        }
    }

    /// Reads the next batch. Returns `None` at the end of the input.
    fn next_batch(&mut self) -> Result<Option<Batch>, AdapterError> {
        let mut header = [0; HEADER_BYTES];
        if !self.fill(&mut header, "header")? {
            return Ok(None);
        }
        let header = Header::decode(header);
        let body = self.read_body(header.length)?;
        let batch = self.decoder.batch(header.now, header.count, &body);
        let batch = batch.map_err(|source| AdapterError::Protocol {
            frame: self.frame,
            source,
        })?;
        self.frame += 1;
        Ok(Some(batch))
    }

    fn read_body(&mut self, length: u32) -> Result<Vec<u8>, AdapterError> {
        let frame = self.frame;
        if length > MAX_FRAME_BYTES {
            return Err(AdapterError::TooLong { frame, length });
        }
        let mut body = vec![0; length as usize];
        if length > 0 && !self.fill(&mut body, "body")? {
            return Err(AdapterError::MissingBody { frame, length });
        }
        Ok(body)
    }

    /// Fills `buffer`. Returns false if the input ended before the first byte.
    fn fill(&mut self, buffer: &mut [u8], part: &'static str) -> Result<bool, AdapterError> {
        let (frame, expected) = (self.frame, buffer.len());
        let mut read = 0;
        while read < expected {
            match self.input.read(&mut buffer[read..]) {
                Ok(0) if read == 0 => return Ok(false),
                Ok(0) => {
                    return Err(AdapterError::Truncated {
                        frame,
                        part,
                        read,
                        expected,
                    });
                }
                Ok(count) => read += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(true)
    }
}

/// The header of a frame.
struct Header {
    /// Length of the body in bytes.
    length: u32,
    /// Number of records in the body.
    count: u32,
    now: Micros,
}

impl Header {
    fn decode(bytes: [u8; HEADER_BYTES]) -> Header {
        let bits = u128::from_le_bytes(bytes);
        Header {
            length: bits as u32,
            count: (bits >> 32) as u32,
            now: (bits >> 64) as u64,
        }
    }
}

/// Passes the events of a batch to their instances, in order and in one call per instance.
fn handle_batch(instances: &mut BTreeMap<u16, Scheduler>, batch: Batch) -> Reply {
    let mut events: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
    for (instance, incoming) in batch.records {
        match incoming {
            Incoming::Start { seed, settings } => {
                instances.insert(instance, Scheduler::new(*settings, seed));
                events.insert(instance, Vec::new());
            }
            Incoming::Stop => {
                instances.remove(&instance);
                events.remove(&instance);
            }
            Incoming::Event(event) => events.entry(instance).or_default().push(event),
        }
    }
    let mut reply = Reply::default();
    for (instance, events) in events {
        if let Some(scheduler) = instances.get_mut(&instance) {
            reply.push(instance, &scheduler.handle(batch.now, &events));
        }
    }
    reply
}
