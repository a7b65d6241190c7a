//! Token buckets that may be overdrawn by what is in flight.

use crate::{Cost, Micros};

/// A token bucket. It is full at its first refill.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Tokens left; negative while the bucket is overdrawn.
    tokens: f64,
    refilled_at: Option<Micros>,
    /// A rate of zero means that there is no limit.
    is_limited: bool,
}

impl TokenBucket {
    /// Adds what `rate` per second gives since the last refill, up to `capacity`.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        self.is_limited = rate > 0.0;
        self.tokens = match self.refilled_at {
            None => capacity,
            Some(at) => (self.tokens + rate * now.saturating_sub(at) as f64 / 1e6).min(capacity),
        };
        self.refilled_at = Some(now);
    }

    /// Takes tokens out, or gives them back where `amount` is negative.
    pub(crate) fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Something may be started: no limit, or a token is left.
    pub(crate) fn has_tokens(&self) -> bool {
        !self.is_limited || self.tokens > 0.0
    }
}

/// The buckets of a class, one for each part of a cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassBudget {
    cpu: TokenBucket,
    bytes: TokenBucket,
    requests: TokenBucket,
}

impl ClassBudget {
    /// Refills each bucket at its rate per second, with a burst of one second.
    pub(crate) fn refill(&mut self, now: Micros, rates: Cost) {
        self.cpu.refill(now, rates.cpu, rates.cpu);
        self.bytes.refill(now, rates.bytes, rates.bytes);
        self.requests.refill(now, rates.requests, rates.requests);
    }

    /// Takes a cost out, or gives back its negative parts.
    pub(crate) fn take(&mut self, cost: Cost) {
        self.cpu.take(cost.cpu);
        self.bytes.take(cost.bytes);
        self.requests.take(cost.requests);
    }

    /// Every bucket allows a start.
    pub(crate) fn has_tokens(&self) -> bool {
        self.cpu.has_tokens() && self.bytes.has_tokens() && self.requests.has_tokens()
    }
}
