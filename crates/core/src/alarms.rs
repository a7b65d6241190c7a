//! What is to happen later, in order of time and then of setting.

use peppercove::Micros;
use std::collections::BTreeMap;

/// Alarms are never taken back: whoever gets one checks whether it still means something.
#[derive(Debug)]
pub struct Timers<T> {
    queue: BTreeMap<(Micros, u64), T>,
    set: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            queue: BTreeMap::new(),
            set: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Sets an alarm; those of one time come in the order they were set.
    pub fn schedule(&mut self, at: Micros, alarm: T) {
        self.queue.insert((at, self.set), alarm);
        self.set += 1;
    }

    /// When the first is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// The first that is due at `now`, taken out.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        if self.next_deadline()? <= now {
            self.queue.pop_first().map(|(_, alarm)| alarm)
        } else {
            None
        }
    }
}
