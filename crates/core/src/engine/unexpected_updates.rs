//! Updates on attempts that are not in flight. They resolve ambiguous outcomes.

use super::{AttemptUpdate, Core, Output};
use crate::Decide;
use crate::attempt_log::{Admission, AttemptId, OrphanAction, TaskSpec};
use crate::jobs::{Answer, TaskEnd};
use crate::request_state::{LateReport, RequestState};
use peppercove::{EndReason, RequestId};

impl<D: Decide> Core<D> {
    /// Handles an update on an attempt that has ended, was sent to another node or never existed. It resolves ambiguous
    /// outcomes. A running copy that no request waits for is stopped, so that it does not occupy capacity.
    pub(super) fn on_unexpected_update(&mut self, attempt: AttemptId, update: AttemptUpdate) {
        self.counters.unexpected_messages += 1;
        let known = self.requests.attempt(attempt.request, attempt.number);
        // A node that reports on an attempt of another node gets no reply about it.
        if known.is_some_and(|known| known.node != attempt.node) {
            let node = attempt.node.0;
            self.outputs.push(Output::Log(format!(
                "node {node:x} speaks of an attempt that is not its own"
            )));
            return;
        }
        match update {
            AttemptUpdate::Running if self.is_given_up(attempt) => {
                self.on_late_report(attempt, LateReport::Running);
            }
            AttemptUpdate::Running => match self
                .attempt_log
                .on_orphan_running(self.now, self.own_copy(attempt))
            {
                OrphanAction::Keep => {}
                OrphanAction::Stop | OrphanAction::Unknown => self.stop_orphan(attempt),
            },
            AttemptUpdate::Rejected(_) => self.close_copy(self.own_copy(attempt)),
            AttemptUpdate::Ended(end, reason) => self.on_unexpected_end(attempt, end, reason),
            // An error proves nothing about the task; only the node's record does.
            AttemptUpdate::Error | AttemptUpdate::Accepted | AttemptUpdate::Task(_) => {}
        }
    }

    fn on_unexpected_end(&mut self, attempt: AttemptId, end: TaskEnd, reason: EndReason) {
        let was_given_up = self.is_given_up(attempt);
        let request = self.requests.get(attempt.request);
        let spec = request.map(|entry| TaskSpec::from(&entry.request));
        self.resolve_ended_copy(self.own_copy(attempt), end, reason);
        let needs_no_other = spec.is_some_and(|spec| self.needs_no_other_attempt(spec, end));
        let late_report = if needs_no_other {
            LateReport::Ended(end)
        } else {
            LateReport::None
        };
        if was_given_up {
            self.on_late_report(attempt, late_report);
        }
    }

    /// Whether another attempt of the task is unnecessary or forbidden after one ended in this way.
    fn needs_no_other_attempt(&self, spec: TaskSpec, end: TaskEnd) -> bool {
        let must_run_once = self.must_run_once(spec.class);
        match self.attempt_log.admit(spec.task, must_run_once) {
            Admission::AlreadyCompleted(..) | Admission::Deny => true,
            // Although a second run would do no harm, it is not needed after a regular exit.
            Admission::Admit | Admission::RetryLater(_) | Admission::Adopt(_) => {
                matches!(end, TaskEnd::Exited { .. })
            }
        }
    }

    /// Whether the attempt was given up, for example after a timeout or a broken connection, while its request is open.
    fn is_given_up(&self, attempt: AttemptId) -> bool {
        let is_open = self.requests.get_open(attempt.request).is_some();
        let given_up = self.requests.attempt(attempt.request, attempt.number);
        is_open && given_up.is_some_and(|a| a.node == attempt.node && a.ended.is_some())
    }

    /// Stores what a node reports on an attempt that was given up: its task is running after all, or has run.
    fn on_late_report(&mut self, attempt: AttemptId, late_report: LateReport) {
        if late_report == LateReport::Running {
            self.attempt_log.record_running(self.own_copy(attempt));
        }
        if let Some(found) = self.requests.attempt_mut(attempt.request, attempt.number) {
            found.late_report = late_report;
        }
        self.resolve_by_late_report(attempt.request);
    }

    /// Completes a pending request if one of its attempts is known to run or to have run, so that it is not dispatched
    /// again. The scheduler is told that the request is cancelled and, if the task runs, that there is a running task
    /// instead. If another attempt is in flight, its end is awaited first: otherwise the request could be answered
    /// twice.
    pub(super) fn resolve_by_late_report(&mut self, request: RequestId) {
        let Some(entry) = self
            .requests
            .get(request)
            .filter(|e| e.state == RequestState::Pending)
        else {
            return;
        };
        let Some((found, late_report)) = entry.late_report() else {
            return;
        };
        let job = entry.job;
        self.cancel_pending(request);
        match late_report {
            LateReport::Running => self.adopt_for_job(job, self.own_copy(found)),
            LateReport::Ended(end @ TaskEnd::Exited { .. }) => {
                self.answer_completed(job, found.node, end)
            }
            LateReport::Ended(TaskEnd::Signalled { .. } | TaskEnd::Evicted | TaskEnd::Lost) => {
                self.answer_job(job, Answer::Failed);
            }
            LateReport::None => {}
        }
    }
}
