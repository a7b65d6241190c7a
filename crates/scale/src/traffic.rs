//! Message and byte counters.

use std::collections::BTreeMap;

/// A number of messages and their total size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn add(&mut self, bytes: usize) {
        self.add_many(1, bytes);
    }

    /// Counts several messages with `bytes` in total.
    pub fn add_many(&mut self, messages: usize, bytes: usize) {
        self.messages += messages as u64;
        self.bytes += bytes as u64;
    }

    /// Returns the mean size of a message in bytes; zero if there are none.
    pub fn mean_bytes(&self) -> f64 {
        self.bytes as f64 / self.messages.max(1) as f64
    }
}

/// Traffic by message kind.
#[derive(Clone, Debug, Default)]
pub struct TrafficByKind {
    kinds: BTreeMap<&'static str, Traffic>,
}

impl TrafficByKind {
    /// Returns the counter of one kind for updating.
    pub fn entry(&mut self, kind: &'static str) -> &mut Traffic {
        self.kinds.entry(kind).or_default()
    }

    /// Returns the traffic of one kind so far.
    pub fn of(&self, kind: &str) -> Traffic {
        self.kinds.get(kind).copied().unwrap_or_default()
    }

    /// Returns the number of messages of all kinds.
    pub fn total_messages(&self) -> u64 {
        self.kinds.values().map(|traffic| traffic.messages).sum()
    }

    /// Resets all counters.
    pub fn clear(&mut self) {
        self.kinds.clear();
    }
}
