//! Decodes the lines of the journal service, which contain node list updates.
//!
//! The service answers a call with a stream of lines. A line is either the number of the last event or an event in
//! JSON, with the platform's field names.

use bytes::BytesMut;
use peppercove::{Micros, NodeStatus};
use serde::Deserialize;
use std::net::SocketAddr;

/// Time without a complete line after which the service counts as silent. It normally sends a number every second.
pub const SILENCE_TIMEOUT: Micros = 2_200_000;

/// Time after the service closed the connection within which the platform expects a controller to receive later events.
const CATCH_UP_TIME_AFTER_CLOSE: Micros = 2_000_000;
/// Time after the service stopped sending within which the platform expects a controller to receive later events.
const CATCH_UP_TIME_AFTER_SILENCE: Micros = 4_000_000;
/// Lower bound of the maximum retry delay, for any dial timeout.
const MIN_RETRY_DELAY: Micros = 100_000;
/// Lower bound of the first retry delay, for any drain grace.
const MIN_FIRST_RETRY_DELAY: Micros = MIN_RETRY_DELAY / 4;

/// Lower bound of the limit on the line length, for any amount of memory.
const MIN_LINE_LIMIT_BYTES: usize = 1 << 20;

/// Returns the maximum line length in bytes for a given amount of memory in MB.
///
/// A full list is a single line of about 160 bytes per node. The limit must admit a full list of any supported fleet,
/// but an endless line must not exhaust the memory. An eighth of the memory holds the list of a hundred times as many
/// nodes as the rest of the memory can track.
pub fn max_line_bytes(memory_mb: u64) -> usize {
    let eighth = memory_mb.saturating_mul(1 << 20) / 8;
    usize::try_from(eighth)
        .unwrap_or(usize::MAX)
        .max(MIN_LINE_LIMIT_BYTES)
}

/// Maximum delays before a failed call is retried, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelays {
    /// Maximum delay before the first retry.
    pub first: Micros,
    /// Maximum delay before any further retry.
    pub max: Micros,
}

/// Computes the retry delays for a network in which establishing a connection takes up to `dial_timeout`.
///
/// The platform treats events that are sent during the delay as received. After a connection reset by the network this
/// applies immediately, so the first delay is short enough to leave most of the grace period of draining nodes. After
/// a close or silence of the service, the platform allows the catch-up times above.
pub fn retry_delays(drain_grace: Micros, dial_timeout: Micros) -> RetryDelays {
    let max = CATCH_UP_TIME_AFTER_CLOSE
        .min(CATCH_UP_TIME_AFTER_SILENCE - SILENCE_TIMEOUT)
        .saturating_sub(dial_timeout)
        .max(MIN_RETRY_DELAY);
    let first = (drain_grace / 4).clamp(MIN_FIRST_RETRY_DELAY, max);
    RetryDelays { first, max }
}

/// Why a line of the journal service cannot be decoded. The connection cannot be used any further.
#[derive(Debug, thiserror::Error)]
pub enum EndpointWatchError {
    /// A line exceeds the maximum length.
    #[error("line is longer than {0} bytes")]
    LineTooLong(usize),
    /// A line is neither a number nor a valid event.
    #[error("line is not a valid event: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointEvent {
    /// Number of the event. In a configuration, only the last event must have it.
    #[serde(default)]
    pub pos: u64,
    /// The node list update; absent in events about something else.
    #[serde(default)]
    pub hosts: Option<NodeListUpdate>,
}

/// An update of the node list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeListUpdate {
    /// Whether the update contains all nodes, not only changed ones.
    #[serde(default)]
    pub full: bool,
    /// The nodes.
    #[serde(default)]
    pub servers: Vec<NodeUpdate>,
}

/// An update of one node. Absent fields are unchanged.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeUpdate {
    /// Name of the node, which identifies it even if its address changes.
    pub id: String,
    /// Address on which the node listens.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// Name of the zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Name of the node kind.
    #[serde(default)]
    pub kind: Option<String>,
    /// Number of the rack.
    #[serde(default)]
    pub cell: Option<u16>,
    /// Lifecycle state of the node.
    #[serde(default)]
    pub state: Option<NodeLifecycle>,
    /// Start time in milliseconds since the Unix epoch if the node was started late, otherwise 0.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Cores and memory that are not requested by any task.
    #[serde(default)]
    pub room: Option<[f64; 2]>,
}

/// Lifecycle state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeLifecycle {
    /// The node accepts tasks.
    Active,
    /// The node accepts no new tasks.
    Leaving,
    /// The node has left.
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

/// A decoded line of the service.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchLine {
    /// The number of the last event.
    Last(u64),
    /// An event.
    Event(EndpointEvent),
}

/// Decodes the lines of one connection.
#[derive(Debug)]
pub struct LineDecoder {
    max_line_bytes: usize,
    /// Length of the prefix of the buffer that is known to contain no newline. Invariant: each byte is searched only
    /// once. A full list arrives in many reads, and searching it from the start after each read would take quadratic
    /// time.
    searched: usize,
}

impl LineDecoder {
    /// Creates a decoder that rejects lines longer than `max_line_bytes`.
    pub fn new(max_line_bytes: usize) -> LineDecoder {
        LineDecoder {
            max_line_bytes,
            searched: 0,
        }
    }

    /// Removes and decodes one complete line from the front of `buffer`. Returns `None` if there is none yet. Between
    /// calls, the caller may only append to the buffer.
    ///
    /// # Errors
    /// Returns an [`EndpointWatchError`] if the line is too long or malformed. The connection cannot be used any
    /// further.
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

/// How a line must be handled, depending on its event number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// The line is the next event.
    Apply,
    /// The line is an event that was already handled, or a number that shows that no event is missing.
    Skip,
    /// An event is missing, so the service must be called again.
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
