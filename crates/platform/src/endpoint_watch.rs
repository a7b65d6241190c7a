//! Lines of the journal service, and the updates of the list of nodes in them.
//!
//! The service answers a call with lines: numbers, which say how many events there are, and events in JSON. The fields
//! of events have the platform's names.

use bytes::BytesMut;
use peppercove::{Micros, NodeStatus};
use serde::Deserialize;
use std::net::SocketAddr;

/// The service sends a number every second; without a complete line for this long it is silent.
pub const SILENCE_TIMEOUT: Micros = 2_200_000;

/// What the service would send counts as received this long after it closed the connection.
const KNOWN_AFTER_CLOSE: Micros = 2_000_000;
/// What the service would send counts as received this long after it became silent.
const KNOWN_AFTER_SILENCE: Micros = 4_000_000;
/// The service is not called more often than this while it is down, however slowly connections are established.
const MIN_RETRY_DELAY: Micros = 100_000;
/// Nor is it the first time, however short the drain grace.
const MIN_FIRST_RETRY_DELAY: Micros = MIN_RETRY_DELAY / 4;

/// Fewest bytes that a line may have, whatever the memory.
const MIN_MAX_LINE_BYTES: usize = 1 << 20;

/// Longest line in bytes, for a memory in MB.
///
/// A full list is one line of some 160 bytes a node, and must fit however many nodes there are; a line that never ends
/// must not fill the memory. An eighth of it holds a hundred times the nodes whose tables fit into the rest.
pub fn max_line_bytes(memory_mb: u64) -> usize {
    let eighth = memory_mb.saturating_mul(1 << 20) / 8;
    usize::try_from(eighth)
        .unwrap_or(usize::MAX)
        .max(MIN_MAX_LINE_BYTES)
}

/// Longest delays before a call that failed is made again, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelays {
    /// The first time.
    pub first: Micros,
    /// However often it failed.
    pub max: Micros,
}

/// Longest delays before a call that failed is made again, where a connection takes up to `dial_timeout`.
///
/// What the service would send meanwhile counts as received. After a reset by the network it does so at once, so the
/// first delay leaves most of the grace that draining nodes have; after a close or silence of the service the platform
/// gives the times above.
pub fn retry_delays(drain_grace: Micros, dial_timeout: Micros) -> RetryDelays {
    let max = KNOWN_AFTER_CLOSE
        .min(KNOWN_AFTER_SILENCE - SILENCE_TIMEOUT)
        .saturating_sub(dial_timeout)
        .max(MIN_RETRY_DELAY);
    let first = (drain_grace / 4).clamp(MIN_FIRST_RETRY_DELAY, max);
    RetryDelays { first, max }
}

/// Why the journal service's bytes cannot be decoded. The connection is of no further use.
#[derive(Debug, thiserror::Error)]
pub enum EndpointWatchError {
    /// No line ends within the limit.
    #[error("a line longer than {0} bytes")]
    LineTooLong(usize),
    /// A complete line that is neither a number nor an event.
    #[error("a line that is no event: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// One event, numbered.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointEvent {
    /// Its number. Events in a configuration may leave it out, but for the last.
    #[serde(default)]
    pub pos: u64,
    /// The update of the list of nodes; absent where the event is about something else.
    #[serde(default)]
    pub hosts: Option<NodeListUpdate>,
}

/// An update of the list of nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeListUpdate {
    /// The update names all nodes that there are, not only those that have changed.
    #[serde(default)]
    pub full: bool,
    /// The nodes.
    #[serde(default)]
    pub servers: Vec<NodeUpdate>,
}

/// An update of one node; what is left out stays as it was.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeUpdate {
    /// Its name, whatever address it has.
    pub id: String,
    /// Where it listens.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// Name of its zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Name of its kind of node.
    #[serde(default)]
    pub kind: Option<String>,
    /// Its rack.
    #[serde(default)]
    pub cell: Option<u16>,
    /// Whether it accepts tasks.
    #[serde(default)]
    pub state: Option<NodeLifecycle>,
    /// When it was started, in milliseconds since the Unix epoch, where that was late; else 0.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Cores and memory that no task has requested.
    #[serde(default)]
    pub room: Option<[f64; 2]>,
}

/// Whether a node accepts tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeLifecycle {
    /// It accepts tasks.
    Active,
    /// It accepts no new tasks.
    Leaving,
    /// It has left.
    Left,
}

impl From<NodeLifecycle> for NodeStatus {
    fn from(state: NodeLifecycle) -> NodeStatus {
        match state {
            NodeLifecycle::Active => NodeStatus::Ready,
            NodeLifecycle::Leaving => NodeStatus::Draining,
            NodeLifecycle::Left => NodeStatus::Gone,
        }
    }
}

/// One line of the service.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchLine {
    /// The number of the last event that there is.
    Last(u64),
    /// An event.
    Event(EndpointEvent),
}

/// Decodes the lines of one connection.
#[derive(Debug)]
pub struct LineDecoder {
    max_line_bytes: usize,
    /// Bytes at the front of the buffer in which no line ends. Invariant: each byte is searched once. A full list comes
    /// in many reads, and searched from its start at each it would cost the square of its length.
    searched: usize,
}

impl LineDecoder {
    /// A decoder of lines that are no longer than so many bytes.
    pub fn new(max_line_bytes: usize) -> LineDecoder {
        LineDecoder {
            max_line_bytes,
            searched: 0,
        }
    }

    /// Takes one complete line off the front of `buffer`; `None` where there is none yet. Between two calls the buffer
    /// may only be appended to.
    ///
    /// # Errors
    /// [`EndpointWatchError`]: the connection is of no further use.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<WatchLine>, EndpointWatchError> {
        let unsearched = buffer.get(self.searched..).unwrap_or_default();
        let Some(offset) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched = buffer.len();
            if buffer.len() > self.max_line_bytes {
                return Err(EndpointWatchError::LineTooLong(self.max_line_bytes));
            }
            return Ok(None);
        };
        let end = self.searched + offset;
        self.searched = 0;
        let line = buffer.split_to(end + 1);
        decode_line(line[..end].trim_ascii()).map(Some)
    }
}

fn decode_line(text: &[u8]) -> Result<WatchLine, EndpointWatchError> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    if is_number {
        Ok(WatchLine::Last(serde_json::from_slice(text)?))
    } else {
        Ok(WatchLine::Event(serde_json::from_slice(text)?))
    }
}

/// What to do about a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// It is the next event.
    Apply,
    /// It is an event that was handled before, or says that none is missing.
    Skip,
    /// An event is missing: the service is to be called again.
    Resync,
}

/// Compares a line with the number of the last event that was handled.
pub fn check_sequence(last_handled: u64, line: &WatchLine) -> SequenceCheck {
    match line {
        WatchLine::Event(event) if event.pos <= last_handled => SequenceCheck::Skip,
        WatchLine::Event(event) if event.pos == last_handled + 1 => SequenceCheck::Apply,
        WatchLine::Last(last) if *last <= last_handled => SequenceCheck::Skip,
        WatchLine::Event(_) | WatchLine::Last(_) => SequenceCheck::Resync,
    }
}
