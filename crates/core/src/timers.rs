//! A timer queue, ordered by deadline and then by scheduling order.

use peppercove::Micros;
use std::collections::BTreeMap;

/// Identifies a timer, and sorts timers by deadline. The sequence number orders timers with equal deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    deadline: Micros,
    sequence: u64,
}

/// A timer queue. A timer that no longer applies should be cancelled, because it uses memory until it fires.
#[derive(Debug)]
pub struct Timers<T> {
    queue: BTreeMap<TimerId, T>,
    next_sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            queue: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Adds a timer. Timers with equal deadlines fire in the order in which they were added.
    pub fn schedule(&mut self, deadline: Micros, timer: T) -> TimerId {
        let id = TimerId {
            deadline,
            sequence: self.next_sequence,
        };
        self.queue.insert(id, timer);
        self.next_sequence += 1;
        id
    }

    /// Removes a timer. Does nothing if it has fired.
    pub fn cancel(&mut self, id: TimerId) {
        self.queue.remove(&id);
    }

    /// The deadline of the next timer.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|(key, _)| key.deadline)
    }

    /// Removes and returns the next timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        if self.next_deadline()? <= now {
            self.queue.pop_first().map(|(_, timer)| timer)
        } else {
            None
        }
    }
}
