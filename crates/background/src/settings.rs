//! Classes of work, their budgets, and the settings of the scheduler.

use crate::Micros;

/// What an item of work costs, or a budget per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Processor time, in microseconds.
    pub cpu: f64,
    /// Bytes read or written.
    pub bytes: f64,
    /// Requests made.
    pub requests: f64,
}

impl Cost {
    /// Every part is finite and not negative.
    pub(crate) fn is_valid(self) -> bool {
        [self.cpu, self.bytes, self.requests]
            .iter()
            .all(|part| part.is_finite() && *part >= 0.0)
    }

    /// What this cost exceeds `expected` by, part by part; negative where it is less.
    pub(crate) fn excess_over(self, expected: Cost) -> Cost {
        Cost {
            cpu: self.cpu - expected.cpu,
            bytes: self.bytes - expected.bytes,
            requests: self.requests - expected.requests,
        }
    }

    /// Adds another cost, part by part.
    pub(crate) fn add(&mut self, more: Cost) {
        self.cpu += more.cpu;
        self.bytes += more.bytes;
        self.requests += more.requests;
    }
}

/// How failed work of a class is retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Backoff after the first failure; it doubles with each further one.
    pub min_backoff: Micros,
    /// Bound of the backoff.
    pub max_backoff: Micros,
    /// Attempts of one item of work, the first included.
    pub max_attempts: u32,
}

impl RetryPolicy {
    /// Backoff after `failures` failures, which are at least one, with jitter between a half and the whole of it, so
    /// that many items that failed together are not retried together.
    pub(crate) fn backoff(self, failures: u32, rng: &mut fastrand::Rng) -> Micros {
        let doubled = self
            .min_backoff
            .saturating_mul(1 << (failures - 1).min(32))
            .min(self.max_backoff.max(self.min_backoff));
        doubled / 2 + rng.u64(0..=doubled / 2)
    }
}

/// One class of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkClass {
    /// Higher priorities are started first.
    pub priority: u32,
    /// What the class may use each second, with a burst of one second; 0 is no limit.
    pub budget: Cost,
    /// Items that may be queued; further ones are rejected.
    pub max_queued: usize,
    /// Items that may run at once, so that a slow class does not hold every slot.
    pub max_running: usize,
    /// How failed items are retried.
    pub retry: RetryPolicy,
}

/// Settings of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by index.
    pub classes: Vec<WorkClass>,
    /// Items that may run at once, all classes together.
    pub max_running: usize,
    /// Share of a second's processor time that background work may take while placement is calm.
    pub calm_share: f64,
    /// The same share while placement is under pressure: above 0, or the lowest class would wait for ever.
    pub pressed_share: f64,
    /// Placement is calm up to this latency.
    pub calm_below: Micros,
    /// Placement is under pressure from this latency on.
    pub pressed_from: Micros,
    /// Each such interval in the queue counts as one step of priority.
    pub aging_interval: Micros,
    /// A pressure that is not reported again within this has passed.
    pub pressure_timeout: Micros,
}
