//! Plays the decision module on the controllers' wire: standard input to standard output, many instances.
#![forbid(unsafe_code)]

use peppercove::adapter_protocol::{Decoder, Incoming, ProtocolError, Reply};
use peppercove::{Event, Scheduler};
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::process::ExitCode;

/// A frame longer than this is taken for a corrupt length.
const LONGEST_FRAME: u32 = 1 << 30;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("peppercove-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Fills `buffer`, or tells that the input ended before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8], what: &str) -> Result<bool, Box<dyn Error>> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => {
                let text = format!("{what} ends after {filled} of {} bytes", buffer.len());
                return Err(ProtocolError(text).into());
            }
            Ok(n) => filled += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
    }
    Ok(true)
}

fn serve() -> Result<(), Box<dyn Error>> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = Decoder::default();
    let mut instances: BTreeMap<u16, Scheduler> = BTreeMap::new();
    let mut header = [0; 16];
    let mut frame = 0u64;
    while fill(&mut input, &mut header, &format!("frame {frame}: header"))? {
        let [length, count] = [0, 4].map(|at| {
            let bytes = [header[at], header[at + 1], header[at + 2], header[at + 3]];
            u32::from_le_bytes(bytes)
        });
        let mut clock = [0; 8];
        clock.copy_from_slice(&header[8..]);
        // The length counts what follows the length field's own header.
        if length > LONGEST_FRAME {
            return Err(ProtocolError(format!("frame {frame}: a length of {length} bytes")).into());
        }
        let mut body = vec![0; length as usize];
        if length > 0 && !fill(&mut input, &mut body, &format!("frame {frame}: body"))? {
            return Err(
                ProtocolError(format!("frame {frame}: body of {length} bytes is missing")).into(),
            );
        }
        let batch = decoder
            .batch(u64::from_le_bytes(clock), count, &body)
            .map_err(|e| ProtocolError(format!("frame {frame}: {e}")))?;
        let reply = answer(&mut instances, batch.now, batch.records);
        output.write_all(&reply.finish())?;
        output.flush()?;
        frame += 1;
    }
    Ok(())
}

/// Hands each instance its events of one batch, together and in order.
fn answer(
    instances: &mut BTreeMap<u16, Scheduler>,
    now: u64,
    records: Vec<(u16, Incoming)>,
) -> Reply {
    let mut reply = Reply::default();
    let mut events: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
    for (instance, incoming) in records {
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
    for (instance, events) in events {
        if let Some(scheduler) = instances.get_mut(&instance) {
            reply.push(instance, &scheduler.handle(now, &events));
        }
    }
    reply
}
