//! How long an attempt is waited for.

use super::Scheduler;
use super::request::TrackedRequest;
use crate::api::{DedupScope, Idempotency, Micros, PlacementAck, TaskClass};

/// A start is overdue at this multiple of its estimate: estimates are off by up to about half.
pub(super) const OVERDUE: f64 = 2.0;
/// Part of the time left that a start gets at least: one that is cut off is lost work.
const START_SHARE: f64 = 0.5;
/// The same where a retry is confined to a rack or zone, and seldom finds the program there.
const CONFINED_START_SHARE: f64 = 0.75;
/// Part of the latency objective that a retry needs at least.
const RETRY_SHARE: f64 = 0.5;

impl Scheduler {
    /// How long an attempt that is made now is waited for; `None` is until the deadline.
    ///
    /// An unresponsive node would hold the task until its deadline, so an attempt is given up while
    /// another could still succeed. A non-idempotent task waits where only the end of its start is
    /// reported, since it cannot be sent again.
    ///
    /// `estimate` is how long its start is expected to take, in microseconds.
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
                (estimate * OVERDUE).max(time_left * Self::least_start_share(class))
            }
        };
        let start_time = self.start_times.get(request.spec.class, true);
        let retry_time = start_time.max(class.latency_objective as f64 * RETRY_SHARE);
        let is_last = request.attempts.len() + 1 >= self.settings.max_attempts as usize;
        let waits_to_the_end = match class.idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { .. } => {
                is_last || timeout + retry_time > time_left
            }
            Idempotency::NonIdempotent => {
                self.settings.placement_ack == PlacementAck::Running
                    || timeout * OVERDUE > time_left
            }
        };
        (!waits_to_the_end).then_some(timeout as Micros)
    }

    fn least_start_share(class: &TaskClass) -> f64 {
        match class.idempotency {
            Idempotency::Keyed {
                scope: DedupScope::Rack | DedupScope::Zone,
                ..
            } => CONFINED_START_SHARE,
            Idempotency::Keyed {
                scope: DedupScope::All,
                ..
            }
            | Idempotency::Idempotent
            | Idempotency::NonIdempotent => START_SHARE,
        }
    }
}
