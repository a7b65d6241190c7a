//! Whether a request may have another attempt, and its final answer.

use super::Scheduler;
use super::request::TrackedRequest;
use crate::api::{Action, DedupScope, Idempotency, Micros, RequestId};

impl Scheduler {
    /// When a request may be tried again after a rejection.
    ///
    /// Where capacity is short, all schedulers follow the same list that lags behind, and the few
    /// attempts of a task would be rejected within moments, each at its price. Past the latency
    /// objective no hurry pays for them: those left are spread over the time left, so that each
    /// meets newer information.
    pub(super) fn backoff_after_rejection(&self, request: &TrackedRequest) -> Micros {
        if self.is_timely(request) {
            return 0;
        }
        let max_attempts = u64::from(self.settings.max_attempts);
        let attempts_left = max_attempts.saturating_sub(request.attempts.len() as u64);
        self.now + request.deadline.saturating_sub(self.now) / (attempts_left + 1)
    }

    /// A start now would still earn its full weight. A task that was requested before has lost it.
    pub(super) fn is_timely(&self, request: &TrackedRequest) -> bool {
        let objective = self.class(request.spec.class).latency_objective;
        !request.spec.is_retry && self.now < request.arrived_at + objective
    }

    /// Invariant: a task that may have run is sent again only if a second start does no harm.
    pub(super) fn may_retry(&self, request: &TrackedRequest) -> bool {
        let Some(first) = request.first_possible_start() else {
            return true;
        };
        match self.class(request.spec.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { window, .. } => {
                self.now + self.settings.tick < first.sent_at + window
            }
        }
    }

    /// Gives the final answer to a request that is not placed.
    ///
    /// Invariant: a request is rejected only where it is known that a retry does no harm.
    pub(super) fn answer_unplaced(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_run = request.has_open_attempt() || request.first_possible_start().is_some();
        let is_retry_harmless = match self.class(request.spec.class).idempotency {
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
        self.actions.push(if is_retry_harmless {
            Action::Reject {
                request: id,
                retry_after: None,
            }
        } else {
            Action::Fail(id)
        });
        self.complete(id);
    }

    /// The request needs nothing more. Its open attempts count until their end is reported.
    pub(super) fn complete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.complete();
        if !request.has_open_attempt() {
            self.requests.remove(&id);
        }
    }
}
