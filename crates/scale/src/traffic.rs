//! Counts of messages and bytes.

use std::collections::BTreeMap;

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn add(&mut self, bytes: usize) {
        self.add_many(1, bytes);
    }

    /// Counts several messages with the sum of their bytes.
    pub fn add_many(&mut self, messages: usize, bytes: usize) {
        self.messages += messages as u64;
        self.bytes += bytes as u64;
    }

    /// Bytes of one message in the mean; zero where there was none.
    pub fn mean_bytes(&self) -> f64 {
        self.bytes as f64 / self.messages.max(1) as f64
    }
}

/// Traffic by kind of message.
#[derive(Clone, Debug, Default)]
pub struct TrafficByKind {
    kinds: BTreeMap<&'static str, Traffic>,
}

impl TrafficByKind {
    /// The counts of one kind, to add to.
    pub fn entry(&mut self, kind: &'static str) -> &mut Traffic {
        self.kinds.entry(kind).or_default()
    }

    /// The counts of one kind so far.
    pub fn of(&self, kind: &str) -> Traffic {
        self.kinds.get(kind).copied().unwrap_or_default()
    }

    /// Messages of all kinds.
    pub fn total_messages(&self) -> u64 {
        self.kinds.values().map(|traffic| traffic.messages).sum()
    }

    /// Forgets all counts.
    pub fn clear(&mut self) {
        self.kinds.clear();
    }
}
