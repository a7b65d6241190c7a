//! Updates on attempts from nodes: routes them to the handlers for attempts in flight, placed tasks and all others.

use super::attempts::AttemptEnd;
use super::{AttemptUpdate, Core};
use crate::Decide;
use crate::attempt_log::{AttemptId, ClientInterest};
use crate::jobs::{Answer, TaskEnd};
use crate::request_state::RequestState;
use peppercove::{AttemptOutcome, EndReason, LoadReport, PlacementAck, TaskUpdate};

impl<D: Decide> Core<D> {
    /// Handles an update on an attempt.
    pub(super) fn on_attempt_updated(
        &mut self,
        attempt: AttemptId,
        update: AttemptUpdate,
        load: Option<LoadReport>,
    ) {
        self.previous_ids.acknowledge(attempt);
        let attempt = self
            .previous_ids
            .current(self.own_copy(attempt))
            .unwrap_or(attempt);
        if self.requests.is_in_flight(attempt) {
            self.on_update_in_flight(attempt, update, load);
        } else if self.requests.is_placed(attempt) {
            self.on_placed_update(attempt, update, load);
        } else {
            self.on_unexpected_update(attempt, update);
        }
    }

    // ---- Attempts in flight ----

    fn on_update_in_flight(
        &mut self,
        attempt: AttemptId,
        update: AttemptUpdate,
        load: Option<LoadReport>,
    ) {
        let state = self.requests.get(attempt.request).map(|entry| entry.state);
        let is_completed = state.is_none_or(|state| state == RequestState::Completed);
        match update {
            AttemptUpdate::Accepted => self.on_accepted(attempt, is_completed, load),
            AttemptUpdate::Running if is_completed => self.on_running_after_answer(attempt, load),
            AttemptUpdate::Running => {
                self.on_placed(attempt);
                self.on_running(attempt, load);
            }
            AttemptUpdate::Rejected(reason) => {
                self.end_attempt(
                    attempt,
                    AttemptEnd::new(AttemptOutcome::Rejected, reason, load),
                );
            }
            AttemptUpdate::Error => {
                // The task may have started; the node is queried about it once no request waits for it.
                self.end_attempt(
                    attempt,
                    AttemptEnd::without_reason(AttemptOutcome::Error, load),
                );
            }
            AttemptUpdate::Ended(end, reason) if is_completed => {
                self.on_end_after_answer(attempt, end, reason, load);
            }
            AttemptUpdate::Ended(..) => {
                // The task ran and ended before its start was reported.
                self.on_placed(attempt);
                self.on_placed_update(attempt, update, load);
            }
            AttemptUpdate::Task(update) => self.report_task_update(attempt, update),
        }
    }

    /// The request was answered in the meantime and no longer waits for this copy.
    fn on_running_after_answer(&mut self, attempt: AttemptId, load: Option<LoadReport>) {
        self.end_attempt(
            attempt,
            AttemptEnd::without_reason(AttemptOutcome::Cancelled, load),
        );
        self.on_unexpected_update(attempt, AttemptUpdate::Running);
    }

    /// The request was answered in the meantime and no longer waits for this end.
    fn on_end_after_answer(
        &mut self,
        attempt: AttemptId,
        end: TaskEnd,
        reason: EndReason,
        load: Option<LoadReport>,
    ) {
        self.resolve_ended_copy(self.own_copy(attempt), end, reason);
        let attempt_end = AttemptEnd::without_reason(AttemptOutcome::Completed, load);
        self.end_attempt(attempt, attempt_end);
    }

    fn on_accepted(&mut self, attempt: AttemptId, is_completed: bool, load: Option<LoadReport>) {
        if self.limits.placement_ack == PlacementAck::Accepted && !is_completed {
            self.on_placed(attempt);
        }
        self.report_load(attempt.node, load);
    }

    /// Handles the acknowledgement of a placement: the request is answered.
    fn on_placed(&mut self, attempt: AttemptId) {
        let AttemptId { node, request, .. } = attempt;
        if !self.transition(request, RequestState::Placed(attempt.number)) {
            return;
        }
        // Earlier attempts of the request that may still run are no longer wanted.
        self.abandon_copies(request, ClientInterest::Ended);
        self.attempt_log.claim(self.own_copy(attempt));
        self.report_placed(attempt);
        if let Some(job) = self.requests.get(request).map(|entry| entry.job) {
            self.answer_job(job, Answer::Placed(node));
        }
    }

    /// Handles the start of a task. It is reported to the scheduler if the placement was acknowledged earlier, by the
    /// node's acceptance.
    pub(super) fn on_running(&mut self, attempt: AttemptId, load: Option<LoadReport>) {
        if self.limits.placement_ack == PlacementAck::Accepted {
            self.report_task_update(attempt, TaskUpdate::Running);
        }
        self.report_load(attempt.node, load);
    }
}
