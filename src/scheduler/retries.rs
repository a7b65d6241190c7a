//! Retries: whether a request may have another attempt, and its final answer.

use super::Scheduler;
use super::request::TrackedRequest;
use crate::api::{Action, DedupScope, Idempotency, Micros, RequestId};

impl Scheduler {
    /// Returns the time from which a request may be retried after a rejection.
    ///
    /// If capacity is short, all schedulers use the same outdated list, and the few attempts of a
    /// task would be rejected within moments, each at a cost. After the latency objective nothing
    /// is gained by hurrying, so the remaining attempts are spread over the time left, and each one
    /// uses newer information.
    pub(super) fn backoff_after_rejection(&self, request: &TrackedRequest) -> Micros {
        if self.is_timely(request) {
            return 0;
        }
        let max_attempts = u64::from(self.settings.max_attempts);
        let attempts_left = max_attempts.saturating_sub(request.attempts.len() as u64);
        self.now + request.deadline.saturating_sub(self.now) / (attempts_left + 1)
    }

    /// Whether a start now would still earn its full weight. A task that was requested before no
    /// longer can.
    pub(super) fn is_timely(&self, request: &TrackedRequest) -> bool {
        let objective = self.class(request.spec.class).latency_objective;
        !request.spec.is_retry && self.now < request.arrived_at + objective
    }

    /// Invariant: a task that may have run is sent again only if a second start does no harm.
    pub(super) fn may_retry(&self, request: &TrackedRequest) -> bool {
        if request.first_possible_start().is_none() {
            return true;
        }
        match self.class(request.spec.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { .. } => {
                let window_end = self.dedup_window_end(request);
                window_end.is_none_or(|end| self.now < end)
            }
        }
    }

    /// Returns the time by which a task that may have run must be sent again, because nodes no
    /// longer recognize its idempotency key afterwards. `None` if there is no such time.
    pub(super) fn dedup_window_end(&self, request: &TrackedRequest) -> Option<Micros> {
        let first = request.first_possible_start()?;
        match self.class(request.spec.class).idempotency {
            Idempotency::Keyed { window, .. } => {
                let end = first.sent_at.saturating_add(window);
                Some(end.saturating_sub(self.settings.tick))
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// Gives the final answer to a request that was not placed.
    ///
    /// Invariant: a request is rejected only if a retry is known to do no harm.
    pub(super) fn answer_unplaced(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_run = request.has_open_attempt() || request.first_possible_start().is_some();
        let is_retry_safe = match self.class(request.spec.class).idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DedupScope::All,
                ..
            } => true,
            Idempotency::Keyed {
                scope: DedupScope::Rack | DedupScope::Zone,
                ..
            }
            | Idempotency::NonIdempotent => !may_run,
        };
        self.actions.push(if is_retry_safe {
            Action::Reject {
                request: id,
                retry_after: None,
            }
        } else {
            Action::Fail(id)
        });
        self.complete(id);
    }

    /// Marks the request as completed. Its open attempts count towards the load until they end.
    pub(super) fn complete(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.complete();
        if !request.has_open_attempt() {
            self.requests.remove(&id);
        }
    }
}
