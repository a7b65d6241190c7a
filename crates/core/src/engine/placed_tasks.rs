//! Placed tasks: updates from nodes, and their end.

use super::attempts::AttemptEnd;
use super::{AttemptUpdate, Core};
use crate::Decide;
use crate::attempt_log::{Admission, AttemptId, ClientInterest, TaskSpec};
use crate::jobs::{JobId, JobState, TaskEnd};
use crate::request_state::RequestState;
use peppercove::{AttemptOutcome, EndReason, LoadReport};

/// The end of a placed task.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedEnd {
    /// As reported to the client.
    pub(super) task: TaskEnd,
    /// As reported to the scheduler.
    pub(super) attempt: AttemptEnd,
}

impl PlacedEnd {
    /// Creates the end of a task that its node no longer holds, or whose node is removed or unreachable.
    pub(super) fn lost() -> PlacedEnd {
        PlacedEnd {
            task: TaskEnd::Lost,
            attempt: AttemptOutcome::Lost.into(),
        }
    }
}

impl<D: Decide> Core<D> {
    /// Handles an update on a placed task.
    pub(super) fn on_placed_update(
        &mut self,
        attempt: AttemptId,
        update: AttemptUpdate,
        load: Option<LoadReport>,
    ) {
        let end = match update {
            AttemptUpdate::Accepted => return self.report_load(attempt.node, load),
            AttemptUpdate::Running => return self.on_running(attempt, load),
            AttemptUpdate::Task(update) => return self.report_task_update(attempt, update),
            AttemptUpdate::Ended(end, reason) => {
                self.resolve_placed_copy(attempt, end, reason);
                PlacedEnd {
                    task: end,
                    attempt: AttemptEnd::new(outcome_of(end), reason, load),
                }
            }
            AttemptUpdate::Rejected(reason) => {
                // The node returned the task before it ran.
                self.close_copy(self.own_copy(attempt));
                let attempt = AttemptEnd::new(AttemptOutcome::Lost, reason, load);
                PlacedEnd {
                    task: TaskEnd::Evicted,
                    attempt,
                }
            }
            AttemptUpdate::Error => {
                let attempt = AttemptEnd::without_reason(AttemptOutcome::Error, load);
                PlacedEnd {
                    task: TaskEnd::Lost,
                    attempt,
                }
            }
        };
        self.end_placed(attempt, end);
    }

    fn resolve_placed_copy(&mut self, attempt: AttemptId, end: TaskEnd, reason: EndReason) {
        let copy = self.own_copy(attempt);
        let is_signalled = matches!(end, TaskEnd::Signalled { .. });
        // The signal was sent for the migration, so the task is known to be stopped.
        if self.migrating.contains(&attempt.request) && is_signalled {
            self.close_copy(copy);
        } else {
            self.resolve_ended_copy(copy, end, reason);
        }
    }

    /// Ends a placed task. Its job is finished, or a new placement is requested if the task was being migrated.
    pub(super) fn end_placed(&mut self, attempt: AttemptId, end: PlacedEnd) {
        let AttemptId {
            node,
            request,
            number,
        } = attempt;
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let (job, spec) = (entry.job, TaskSpec::from(&entry.request));
        if let Some(ended) = entry.attempts.get_mut(usize::from(number)) {
            ended.ended = Some(end.attempt.outcome);
        }
        self.transition(request, RequestState::Completed);
        let copy = self.own_copy(attempt);
        if self.attempt_log.is_open(copy) {
            // The copy cannot be observed any more, but is not known to have ended.
            self.track_orphan(copy, spec);
            self.attempt_log
                .abandon(self.now, copy, ClientInterest::MayReturn);
        }
        self.report_end(attempt, end.attempt, true);
        let is_migrated = self.migrating.remove(&request) && self.may_place_again(spec, end.task);
        self.forget_if_done(request);
        if is_migrated {
            self.request_placement(job);
        } else {
            self.finish_ended(job, end.task);
        }
        self.forget_node(node);
    }

    /// Whether a task that was being migrated may be placed again. It must be known to have stopped before its end.
    fn may_place_again(&self, spec: TaskSpec, end: TaskEnd) -> bool {
        let has_exited = matches!(end, TaskEnd::Exited { .. });
        !has_exited
            && (!self.must_run_once(spec.class)
                || self.attempt_log.admit(spec.task, true) == Admission::Admit)
    }

    fn finish_ended(&mut self, job: JobId, end: TaskEnd) {
        if let Some(known_job) = self.jobs.get_mut(job) {
            known_job.end = Some(end);
        }
        self.finish_job(job, JobState::after_end(end));
    }
}

/// The outcome of an attempt whose placed task ended in this way.
fn outcome_of(end: TaskEnd) -> AttemptOutcome {
    match end {
        TaskEnd::Exited { .. } => AttemptOutcome::Completed,
        TaskEnd::Signalled { .. } => AttemptOutcome::Cancelled,
        TaskEnd::Evicted | TaskEnd::Lost => AttemptOutcome::Lost,
    }
}
