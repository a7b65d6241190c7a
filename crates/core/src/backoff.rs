//! Delays between attempts to reach a peer.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff: delays double with each failure, with jitter so that many controllers do not retry in step.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// The first delay is up to `initial`, each one up to twice the one before, `max` at the most.
    pub fn new(initial: Duration, max: Duration) -> Backoff {
        Backoff {
            initial,
            max,
            next: initial,
        }
    }

    /// An attempt succeeded: the next failure waits as the first.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }

    /// An attempt failed: how long to wait, from half of the full delay to all of it. `jitter` is drawn anew for each
    /// call, from 0 to 1.
    pub fn next_delay(&mut self, jitter: f64) -> Duration {
        let delay = self.next.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0);
        self.next = (self.next * 2).min(self.max);
        delay
    }
}
