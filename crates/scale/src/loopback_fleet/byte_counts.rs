//! Byte counters of all connections of a loopback fleet.

use std::cell::Cell;

/// Bytes exchanged between all schedulers and the nodes, clients and journal service.
#[derive(Debug, Default)]
pub struct ByteCounts {
    sent: Cell<u64>,
    received: Cell<u64>,
}

/// A snapshot of [`ByteCounts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteTotals {
    /// Sent to the schedulers.
    pub sent: u64,
    /// Received from the schedulers.
    pub received: u64,
}

impl ByteTotals {
    /// Returns the sum of both directions.
    pub fn both(self) -> u64 {
        self.sent + self.received
    }

    /// Returns the bytes counted since an earlier snapshot.
    pub fn since(self, earlier: ByteTotals) -> ByteTotals {
        ByteTotals {
            sent: self.sent - earlier.sent,
            received: self.received - earlier.received,
        }
    }
}

impl ByteCounts {
    /// Counts bytes sent to a scheduler.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + bytes as u64);
    }

    /// Counts bytes received from a scheduler.
    pub fn add_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes as u64);
    }

    /// Returns a snapshot of the counts.
    pub fn totals(&self) -> ByteTotals {
        ByteTotals {
            sent: self.sent.get(),
            received: self.received.get(),
        }
    }
}
