//! Delays between connection attempts.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff: delays double with each failure, with jitter so that controllers do not retry in lockstep.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose delays start at `initial` and double with each failure, up to `max`.
    pub fn new(initial: Duration, max: Duration) -> Backoff {
        Backoff {
            initial,
            max,
            next: initial,
        }
    }

    /// Resets the delay to its initial value after a success.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }

    /// Returns the delay after a failure: between half of the current delay and all of it. `jitter` is a fresh random
    /// number from 0 to 1.
    pub fn next_delay(&mut self, jitter: f64) -> Duration {
        let delay = self.next.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        self.next = (self.next * 2).min(self.max);
        delay
    }
}
