//! Token buckets that running work may overdraw.

use crate::{Cost, Micros};

/// A token bucket. The first refill fills it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Number of tokens left; negative while the bucket is overdrawn.
    tokens: f64,
    refilled_at: Option<Micros>,
    /// Whether there is a limit; a refill rate of 0 means that there is none.
    is_limited: bool,
}

impl TokenBucket {
    /// Adds `rate` tokens for each second since the last refill, up to `capacity`.
    pub(crate) fn refill(&mut self, now: Micros, rate: f64, capacity: f64) {
        self.is_limited = rate > 0.0;
        self.tokens = match self.refilled_at {
            None => capacity,
            Some(at) => (self.tokens + rate * now.saturating_sub(at) as f64 / 1e6).min(capacity),
        };
        self.refilled_at = Some(now);
    }

    /// Removes tokens, or adds them back if `amount` is negative.
    pub(crate) fn take(&mut self, amount: f64) {
        self.tokens -= amount;
    }

    /// Returns whether work may be started: there is no limit, or tokens are left.
    pub(crate) fn has_tokens(&self) -> bool {
        !self.is_limited || self.tokens > 0.0
    }
}

/// The token buckets of a class, one for each component of a cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassBudget {
    cpu: TokenBucket,
    bytes: TokenBucket,
    requests: TokenBucket,
}

impl ClassBudget {
    /// Refills each bucket at its rate per second, up to the budget of one second.
    pub(crate) fn refill(&mut self, now: Micros, rates: Cost) {
        self.cpu.refill(now, rates.cpu, rates.cpu);
        self.bytes.refill(now, rates.bytes, rates.bytes);
        self.requests.refill(now, rates.requests, rates.requests);
    }

    /// Removes a cost from the buckets; negative components are added back.
    pub(crate) fn take(&mut self, cost: Cost) {
        self.cpu.take(cost.cpu);
        self.bytes.take(cost.bytes);
        self.requests.take(cost.requests);
    }

    /// Returns whether every bucket permits starting work.
    pub(crate) fn has_tokens(&self) -> bool {
        self.cpu.has_tokens() && self.bytes.has_tokens() && self.requests.has_tokens()
    }
}
