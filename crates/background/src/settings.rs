//! Settings of the scheduler: classes of work, costs and budgets.

use crate::Micros;

/// The cost of a work item, or a budget per second.
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
    /// Returns whether every component is finite and not negative.
    pub(crate) fn is_valid(self) -> bool {
        [self.cpu, self.bytes, self.requests]
            .iter()
            .all(|component| component.is_finite() && *component >= 0.0)
    }

    /// Returns this cost minus `expected`; a component is negative if it is below the expected one.
    pub(crate) fn excess_over(self, expected: Cost) -> Cost {
        Cost {
            cpu: self.cpu - expected.cpu,
            bytes: self.bytes - expected.bytes,
            requests: self.requests - expected.requests,
        }
    }

    /// Adds another cost, component by component.
    pub(crate) fn add(&mut self, other: Cost) {
        self.cpu += other.cpu;
        self.bytes += other.bytes;
        self.requests += other.requests;
    }
}

/// How failed items of a class are retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Backoff after the first failure; it doubles with each further failure of the item.
    pub min_backoff: Micros,
    /// Upper limit of the backoff.
    pub max_backoff: Micros,
    /// Maximum number of attempts of a work item, including the first.
    pub max_attempts: u32,
}

impl RetryPolicy {
    /// Returns the backoff after `failures` failures, which must be at least 1: a random duration between half of the
    /// exponential backoff and all of it, so that items that failed together are not retried together.
    pub(crate) fn backoff(self, failures: u32, rng: &mut fastrand::Rng) -> Micros {
        let backoff = self
            .min_backoff
            .saturating_mul(1 << (failures - 1).min(32))
            .min(self.max_backoff.max(self.min_backoff));
        backoff / 2 + rng.u64(0..=backoff / 2)
    }
}

/// A class of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkClass {
    /// Items of a higher priority are started first.
    pub priority: u32,
    /// The cost that the class may use per second, with a burst of one second's budget; a component of 0 means no
    /// limit.
    pub budget: Cost,
    /// Maximum number of queued items; further ones are rejected.
    pub max_queued: usize,
    /// Maximum number of items that run at once, so that a slow class does not occupy every slot.
    pub max_running: usize,
    /// How failed items are retried.
    pub retry: RetryPolicy,
}

/// Settings of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of work, identified by their index.
    pub classes: Vec<WorkClass>,
    /// Maximum number of items that run at once in all classes together.
    pub max_running: usize,
    /// Share of each second's processor time that background work may use while placement is calm.
    pub calm_share: f64,
    /// The same share while placement is under pressure. It must be above 0, otherwise the lowest class would never run
    /// under sustained pressure.
    pub pressed_share: f64,
    /// Placement is calm while its latency is at most this.
    pub calm_below: Micros,
    /// Placement is under pressure while its latency is at least this.
    pub pressed_from: Micros,
    /// Time in the queue that raises the priority of an item by one.
    pub aging_interval: Micros,
    /// Age at which a reported latency expires; placement then counts as calm until the next report.
    pub pressure_timeout: Micros,
}
