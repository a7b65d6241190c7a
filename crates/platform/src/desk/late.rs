//! How late alarms were lately.

use peppercove::Micros;

/// The most that an alarm was late within the last one or two windows. What was so within a window may be so again before
/// an alarm goes off that is set now.
#[derive(Debug)]
pub(super) struct Late {
    window: Micros,
    began: Micros,
    most: Micros,
    before: Micros,
}

impl Late {
    pub(super) fn new(window: Micros) -> Late {
        Late {
            window,
            began: 0,
            most: 0,
            before: 0,
        }
    }

    /// What was due by `until` goes off now.
    pub(super) fn seen(&mut self, now: Micros, until: Micros) {
        let late = now.saturating_sub(until);
        let age = now.saturating_sub(self.began);
        if age >= self.window {
            self.before = if age < self.window * 2 { self.most } else { 0 };
            (self.began, self.most) = (now, 0);
        }
        self.most = self.most.max(late);
    }

    pub(super) fn most(&self) -> Micros {
        self.most.max(self.before)
    }
}
