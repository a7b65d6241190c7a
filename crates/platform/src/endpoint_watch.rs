//! Lines of the journal service, and the list events in them.

use bytes::BytesMut;
use peppercove::{Micros, NodeStatus};
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest line in bytes, by the memory in MB. A whole list is one line of some 160 bytes a host, and must fit in however
/// many hosts there are; what never ends must not fill the memory. An eighth holds a hundred times the hosts whose tables
/// fit into the rest.
pub fn max_line_bytes(memory_mb: u64) -> usize {
    usize::try_from(memory_mb.saturating_mul(1 << 20) / 8)
        .unwrap_or(usize::MAX)
        .max(1 << 20)
}

/// A number comes every second; without a whole line for this long the service is silent.
pub const SILENT: Micros = 2_200_000;
/// What the service would tell counts as told so long after it broke off, and so long after it went silent.
const TOLD: [Micros; 2] = [2_000_000, 4_000_000];

/// Longest waits before a call that failed is made again, the first time and however often it failed, where connections
/// take so long to come up. Danger: what the service tells meanwhile counts as told. Of a connection that the network
/// resets it does at once, so that the first wait leaves most of a drain's grace; a service that breaks off or goes silent
/// has the page's times.
pub fn ask_again(drain_grace: Micros, dial_timeout: Micros) -> [Micros; 2] {
    let [broken, silent] = TOLD;
    let most = broken
        .min(silent - SILENT)
        .saturating_sub(dial_timeout)
        .max(SOONEST);
    [(drain_grace / 4).clamp(SOONEST / 4, most), most]
}

/// A service that is down is not called without pause, however slowly connections come up and however short the grace.
const SOONEST: Micros = 100_000;

/// Why the journal service's bytes could not be read. The connection is of no further use.
#[derive(Debug, thiserror::Error)]
pub enum EndpointWatchError {
    /// No line ends within the bound.
    #[error("a line longer than {0} bytes")]
    Endless(usize),
    /// A whole line that is neither a number nor an event.
    #[error("a line that is no event: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// One event of the list, numbered.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointEvent {
    /// Its number; in the configuration's list it may be left out of all but the last.
    #[serde(default)]
    pub pos: u64,
    /// What it tells of hosts; absent where it tells of something else.
    #[serde(default)]
    pub hosts: Option<NodeListUpdate>,
}

/// What an event tells of hosts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeListUpdate {
    /// The whole list, not what has changed.
    #[serde(default)]
    pub full: bool,
    /// The hosts.
    #[serde(default)]
    pub servers: Vec<NodeUpdate>,
}

/// What an event tells of one host; what is left out stands as told before.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeUpdate {
    /// Its id: names the machine, whatever address it has.
    pub id: String,
    /// Where it listens.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// Name of its zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Name of its kind.
    #[serde(default)]
    pub kind: Option<String>,
    /// Its rack.
    #[serde(default)]
    pub cell: Option<u16>,
    /// State of its life.
    #[serde(default)]
    pub state: Option<NodeLifecycle>,
    /// Unix millisecond of a late start, or 0.
    #[serde(default)]
    pub started_ms: Option<u64>,
    /// Cores and memory that nobody has asked for.
    #[serde(default)]
    pub room: Option<[f64; 2]>,
}

/// State of a host's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeLifecycle {
    /// Takes tasks.
    Active,
    /// Takes nothing new.
    Leaving,
    /// Gone.
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

/// One line.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchLine {
    /// The last number there is.
    Last(u64),
    /// An event.
    Event(EndpointEvent),
}

/// Takes whole lines off the bytes of one connection.
#[derive(Debug)]
pub struct LineDecoder {
    longest: usize,
    /// Bytes at the front in which no line ends.
    searched: usize,
}

impl LineDecoder {
    /// No line is longer than so many bytes.
    pub fn new(longest: usize) -> LineDecoder {
        LineDecoder {
            longest,
            searched: 0,
        }
    }

    /// Takes one whole line off the front of `buffer`, to which bytes are only added between two calls; a line without
    /// its end stays. Danger: a whole list comes in many reads. Looked through from its start at each, it costs the
    /// square of its length.
    ///
    /// # Errors
    /// [`EndpointWatchError`]: the connection is of no further use.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<WatchLine>, EndpointWatchError> {
        let fresh = buffer.get(self.searched..).unwrap_or_default();
        let Some(end) = fresh
            .iter()
            .position(|b| *b == b'\n')
            .map(|end| self.searched + end)
        else {
            self.searched = buffer.len();
            let endless = buffer.len() > self.longest;
            return if endless {
                Err(EndpointWatchError::Endless(self.longest))
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let line = buffer.split_to(end + 1);
        let text = line[..end].trim_ascii();
        if text.iter().all(u8::is_ascii_digit) && !text.is_empty() {
            return Ok(Some(WatchLine::Last(serde_json::from_slice(text)?)));
        }
        Ok(Some(WatchLine::Event(serde_json::from_slice(text)?)))
    }
}

/// What to do about a line, by its number and the last one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceCheck {
    /// It is the next event.
    Apply,
    /// It was told before, or tells that nothing is missing.
    Skip,
    /// Something between is missing: it is to be asked for again.
    Resync,
}

/// Holds a line against the last number held.
pub fn check_sequence(held: u64, line: &WatchLine) -> SequenceCheck {
    match line {
        WatchLine::Event(entry) if entry.pos <= held => SequenceCheck::Skip,
        WatchLine::Event(entry) if entry.pos == held + 1 => SequenceCheck::Apply,
        WatchLine::Last(last) if *last <= held => SequenceCheck::Skip,
        WatchLine::Event(_) | WatchLine::Last(_) => SequenceCheck::Resync,
    }
}
