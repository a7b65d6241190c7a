//! Timeouts of attempts.

use super::Scheduler;
use super::request::TrackedRequest;
use crate::api::{DedupScope, Idempotency, Micros, PlacementAck, TaskClass};

/// Multiple of its estimate after which a start is overdue: estimates are off by up to about half.
pub(super) const OVERDUE_FACTOR: f64 = 2.0;
/// Minimum timeout as a fraction of the time left until the deadline. The work of a start that
/// times out is lost.
const MIN_START_SHARE: f64 = 0.5;
/// Minimum timeout if a retry is confined to a rack or zone, where it rarely finds the program.
const MIN_CONFINED_START_SHARE: f64 = 0.75;
/// Minimum time needed for a retry, as a fraction of the latency objective.
const MIN_RETRY_SHARE: f64 = 0.5;

impl Scheduler {
    /// Returns the timeout of an attempt sent now; `None` means that it waits until the deadline.
    ///
    /// An unresponsive node would hold the task until its deadline, so an attempt times out while
    /// another one could still succeed. A non-idempotent task cannot be sent again, so its attempt
    /// waits until the deadline where nodes report only the end of a start.
    ///
    /// `estimate` is the expected duration of the start, in microseconds.
    pub(super) fn attempt_timeout(
        &self,
        request: &TrackedRequest,
        estimate: f64,
    ) -> Option<Micros> {
        let class = self.class(request.spec.class);
        let time_left = request.deadline.saturating_sub(self.now) as f64;
        let timeout = match self.settings.placement_ack {
            PlacementAck::Accepted => class.latency_objective as f64,
            PlacementAck::Running => {
                (estimate * OVERDUE_FACTOR).max(time_left * Self::min_start_share(class))
            }
        };
        let start_time = self.start_times.get(request.spec.class, true);
        let retry_time = start_time.max(class.latency_objective as f64 * MIN_RETRY_SHARE);
        let is_last = request.attempts.len() + 1 >= self.settings.max_attempts as usize;
        let waits_until_deadline = match class.idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { .. } => {
                is_last || timeout + retry_time > time_left
            }
            Idempotency::NonIdempotent => {
                self.settings.placement_ack == PlacementAck::Running
                    || timeout * OVERDUE_FACTOR > time_left
            }
        };
        (!waits_until_deadline).then_some(timeout as Micros)
    }

    fn min_start_share(class: &TaskClass) -> f64 {
        match class.idempotency {
            Idempotency::Keyed {
                scope: DedupScope::Rack | DedupScope::Zone,
                ..
            } => MIN_CONFINED_START_SHARE,
            Idempotency::Keyed {
                scope: DedupScope::All,
                ..
            }
            | Idempotency::Idempotent
            | Idempotency::NonIdempotent => MIN_START_SHARE,
        }
    }
}
