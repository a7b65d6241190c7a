//! What is to happen later, in order of time and then of scheduling.

use peppercove::Micros;
use std::collections::BTreeMap;

/// Orders timers by their deadline, and those of one deadline by when they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    deadline: Micros,
    sequence: u64,
}

/// Timers are never cancelled: whoever gets one checks whether it still means something.
#[derive(Debug)]
pub struct Timers<T> {
    queue: BTreeMap<TimerKey, T>,
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
    /// Schedules a timer; those of one deadline fire in the order they were scheduled.
    pub fn schedule(&mut self, deadline: Micros, timer: T) {
        self.queue.insert(
            TimerKey {
                deadline,
                sequence: self.next_sequence,
            },
            timer,
        );
        self.next_sequence += 1;
    }

    /// When the first is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|(key, _)| key.deadline)
    }

    /// Takes out the first that is due at `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        if self.next_deadline()? <= now {
            self.queue.pop_first().map(|(_, timer)| timer)
        } else {
            None
        }
    }
}
