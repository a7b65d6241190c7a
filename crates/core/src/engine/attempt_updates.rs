//! What nodes report of attempts in flight, and where reports go.

use super::attempts::AttemptEnd;
use super::{AttemptUpdate, Core};
use crate::Decide;
use crate::attempt_log::{AttemptId, ClientInterest};
use crate::jobs::Answer;
use crate::request_state::RequestState;
use peppercove::{AttemptOutcome, Event, LoadReport, NodeId, PlacementAck, TaskUpdate};

impl<D: Decide> Core<D> {
    pub(super) fn on_attempt_updated(
        &mut self,
        attempt: AttemptId,
        update: AttemptUpdate,
        load: Option<LoadReport>,
    ) {
        self.previous_ids.acknowledge(attempt);
        let attempt = self
            .previous_ids
            .present(self.own_copy(attempt))
            .unwrap_or(attempt);
        if self.requests.is_in_flight(attempt) {
            self.on_update_in_flight(attempt, update, load);
        } else if self.requests.is_placed(attempt) {
            self.on_placed_update(attempt, update, load);
        } else {
            self.on_unexpected_update(attempt, update);
        }
    }

    // ---- Of an attempt in flight ----

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
                // It may have started; its node is asked what it knows of it once no request waits for it.
                self.end_attempt(
                    attempt,
                    AttemptEnd::without_reason(AttemptOutcome::Error, load),
                );
            }
            AttemptUpdate::Ended(end, reason) if is_completed => {
                self.resolve_ended_copy(self.own_copy(attempt), end, reason);
                self.end_attempt(
                    attempt,
                    AttemptEnd::without_reason(AttemptOutcome::Completed, load),
                );
            }
            AttemptUpdate::Ended(..) => {
                // It ran and ended before its start was reported.
                self.on_placed(attempt);
                self.on_placed_update(attempt, update, load);
            }
            AttemptUpdate::Task(update) => self.report_task_update(attempt, update),
        }
    }

    /// The request was answered meanwhile: it does not wait for this copy.
    fn on_running_after_answer(&mut self, attempt: AttemptId, load: Option<LoadReport>) {
        self.end_attempt(
            attempt,
            AttemptEnd::without_reason(AttemptOutcome::Cancelled, load),
        );
        self.on_unexpected_update(attempt, AttemptUpdate::Running);
    }

    fn on_accepted(&mut self, attempt: AttemptId, is_completed: bool, load: Option<LoadReport>) {
        if let Some(accepted) = self.requests.attempt_mut(attempt.request, attempt.number) {
            accepted.accepted = true;
        }
        if self.limits.placement_ack == PlacementAck::Accepted && !is_completed {
            self.on_placed(attempt);
        }
        self.report_load(attempt.node, load);
    }

    /// The attempt placed its request's task: the request is answered.
    fn on_placed(&mut self, attempt: AttemptId) {
        let AttemptId {
            node,
            request,
            number,
        } = attempt;
        if !self.transition(request, RequestState::Placed(number)) {
            return;
        }
        // The request waits for no earlier attempt that may run as well.
        self.abandon_copies(request, ClientInterest::Ended);
        self.attempt_log.claim(self.own_copy(attempt));
        self.events.push(Event::Placed {
            request,
            attempt: number,
            node,
        });
        if let Some(job) = self.requests.get(request).map(|entry| entry.job) {
            self.answer_job(job, Answer::Placed(node));
        }
    }

    // ---- For the module ----

    /// The task runs: where its acceptance acknowledged the placement, the module is told that as well.
    pub(super) fn on_running(&mut self, attempt: AttemptId, load: Option<LoadReport>) {
        if self.limits.placement_ack == PlacementAck::Accepted {
            self.report_task_update(attempt, TaskUpdate::Running);
        }
        self.report_load(attempt.node, load);
    }

    pub(super) fn report_task_update(&mut self, attempt: AttemptId, update: TaskUpdate) {
        let AttemptId {
            node,
            request,
            number,
        } = attempt;
        self.events.push(Event::TaskUpdated {
            request,
            attempt: number,
            node,
            update,
        });
    }

    pub(super) fn report_load(&mut self, node: NodeId, load: Option<LoadReport>) {
        if load.is_some() {
            self.events.push(Event::Probed {
                node,
                answered: true,
                load,
            });
        }
    }
}
