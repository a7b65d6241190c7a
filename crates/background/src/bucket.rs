//! A token bucket that may be overdrawn by what is under way.

use crate::Micros;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    left: f64,
    filled: Option<Micros>,
    /// It is measured at all: a rate of zero means no limit.
    limited: bool,
}

impl Default for Bucket {
    fn default() -> Bucket {
        Bucket {
            left: 0.0,
            filled: None,
            limited: false,
        }
    }
}

impl Bucket {
    /// Adds what `rate` a second gives since the last time, up to `most`; it begins full.
    pub(crate) fn fill(&mut self, now: Micros, rate: f64, most: f64) {
        self.limited = rate > 0.0;
        self.left = match self.filled {
            None => most,
            Some(at) => (self.left + rate * now.saturating_sub(at) as f64 / 1e6).min(most),
        };
        self.filled = Some(now);
    }

    /// Takes from it, or gives back where `amount` is below zero.
    pub(crate) fn take(&mut self, amount: f64) {
        self.left -= amount;
    }

    pub(crate) fn has_some(&self) -> bool {
        !self.limited || self.left > 0.0
    }
}
