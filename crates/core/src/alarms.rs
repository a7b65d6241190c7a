//! What is to happen later, in order of time and then of setting.

use peppercove::Micros;
use std::collections::BTreeMap;

/// Alarms are never taken back: whoever gets one checks whether it still means something.
#[derive(Debug)]
pub(crate) struct Alarms<T> {
    queue: BTreeMap<(Micros, u64), T>,
    set: u64,
}

impl<T> Default for Alarms<T> {
    fn default() -> Self {
        Alarms { queue: BTreeMap::new(), set: 0 }
    }
}

impl<T> Alarms<T> {
    pub(crate) fn set(&mut self, at: Micros, alarm: T) {
        self.queue.insert((at, self.set), alarm);
        self.set += 1;
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    pub(crate) fn due(&mut self, now: Micros) -> Option<T> {
        if self.next()? <= now { self.queue.pop_first().map(|(_, alarm)| alarm) } else { None }
    }
}
