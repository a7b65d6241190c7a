//! Admission of submissions: rejects them, or creates, adopts or answers their jobs.

use super::{Core, Output, Rejection};
use crate::Decide;
use crate::attempt_log::Admission;
use crate::jobs::{Answer, JobId, JobState, Submission, TaskEnd};
use crate::nodes::ConnectionState;
use peppercove::{Idempotency, NodeId, NodeStatus, TaskClass, TaskKey, TopologySpread};
use std::collections::{BTreeSet, VecDeque};

/// Tasks whose first submission was made to this incarnation. The oldest are dropped at capacity.
#[derive(Debug, Default)]
pub(super) struct FirstSubmissions {
    tasks: BTreeSet<TaskKey>,
    /// The tasks, oldest first.
    order: VecDeque<TaskKey>,
}

impl FirstSubmissions {
    fn contains(&self, task: TaskKey) -> bool {
        self.tasks.contains(&task)
    }

    fn insert(&mut self, task: TaskKey, capacity: usize) {
        if self.tasks.insert(task) {
            self.order.push_back(task);
        }
        while self.order.len() > capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.tasks.remove(&oldest);
            }
        }
    }
}

impl<D: Decide> Core<D> {
    /// Handles a submission: accepts it, matches it to an existing job by its key or its task, or rejects it.
    pub(super) fn on_submit(&mut self, ticket: u64, submission: Submission) {
        if let Some(job) = self.jobs.by_key(&submission.session, &submission.key) {
            self.outputs.push(Output::Accepted { ticket, job });
            return;
        }
        if let Some(job) = self.jobs.claim(&submission) {
            self.accept_claimed(ticket, job);
            return;
        }
        let admission = self
            .attempt_log
            .admit(submission.task, self.must_run_once(submission.class));
        let rejection = self.rejection(&submission, admission);
        self.record_first_submission(&submission);
        if let Some(reason) = rejection {
            self.counters.submissions_rejected += 1;
            self.outputs.push(Output::Rejected { ticket, reason });
            return;
        }
        self.accept(ticket, submission, admission);
    }

    /// Accepts a submission that claims a running task of an earlier incarnation.
    fn accept_claimed(&mut self, ticket: u64, job: JobId) {
        self.outputs.push(Output::Accepted { ticket, job });
        if let Some(answer @ Answer::Placed(_)) = self.jobs.get(job).and_then(|j| j.answer) {
            self.counters.placed += 1;
            self.outputs.push(Output::Answered { job, answer });
        }
    }

    fn accept(&mut self, ticket: u64, submission: Submission, admission: Admission) {
        self.counters.submitted += 1;
        let is_on_hold = submission.on_hold && admission == Admission::Admit;
        let state = if is_on_hold {
            JobState::OnHold
        } else {
            JobState::Queued
        };
        let job = self.jobs.add(submission, state);
        self.outputs.push(Output::Accepted { ticket, job });
        match admission {
            Admission::Adopt(copy) => self.adopt_for_job(job, copy),
            Admission::AlreadyCompleted(node, end) => self.answer_completed(job, node, end),
            Admission::Admit if is_on_hold => {}
            Admission::Admit | Admission::RetryLater(_) | Admission::Deny => {
                self.request_placement(job)
            }
        }
    }

    /// Answers a job whose task has already run to its end on a node.
    pub(super) fn answer_completed(&mut self, job: JobId, node: NodeId, end: TaskEnd) {
        self.answer_job(job, Answer::Placed(node));
        if let Some(known_job) = self.jobs.get_mut(job) {
            known_job.end = Some(end);
        }
        self.finish_job(job, JobState::Done);
    }

    // ---- Rejection ----

    fn rejection(&self, submission: &Submission, admission: Admission) -> Option<Rejection> {
        if self.is_shutting_down {
            return Some(Rejection::ShuttingDown(self.limits.retry_after));
        }
        if let Some(job) = self.jobs.by_task(submission.task) {
            return Some(Rejection::TaskInUse(job));
        }
        self.rejection_by_outcome(submission, admission)
            .or_else(|| self.rejection_by_limits(submission))
    }

    /// Rejects a submission if earlier attempts of its task forbid another one, or may do so.
    fn rejection_by_outcome(
        &self,
        submission: &Submission,
        admission: Admission,
    ) -> Option<Rejection> {
        match admission {
            Admission::RetryLater(after) => Some(Rejection::OutcomeAmbiguous(after)),
            Admission::Deny => Some(Rejection::AlreadyRan),
            // Controllers do not share their attempt logs, so a start by another controller cannot be ruled out.
            Admission::Admit
                if submission.requested_elsewhere && self.must_run_once(submission.class) =>
            {
                Some(Rejection::RequestedElsewhere)
            }
            Admission::Admit => self.rejection_without_journal(submission),
            Admission::Adopt(_) | Admission::AlreadyCompleted(..) => None,
        }
    }

    /// Without a journal, an incarnation does not know what earlier ones sent. A retry of a task that was not first
    /// submitted to this incarnation is delayed until every node has reported its tasks. After that, the task was
    /// either found in a report or its outcome is unknown.
    fn rejection_without_journal(&self, submission: &Submission) -> Option<Rejection> {
        let is_known = self.limits.has_journal
            || !submission.is_retry
            || !self.must_run_once(submission.class)
            || self.first_submissions.contains(submission.task)
            || self.attempt_log.has_open_copy(submission.task);
        if is_known {
            return None;
        }
        Some(if self.have_all_nodes_reported() {
            Rejection::OutcomeUnknown
        } else {
            Rejection::OutcomeAmbiguous(self.limits.ambiguous_retry_delay)
        })
    }

    fn have_all_nodes_reported(&self) -> bool {
        let mut nodes = self.nodes.iter().map(|(_, node)| node);
        self.nodes.generation > 0
            && nodes.all(|n| {
                n.connection == ConnectionState::Connected || n.entry.state == NodeStatus::Gone
            })
    }

    fn rejection_by_limits(&self, submission: &Submission) -> Option<Rejection> {
        let is_full = self.requests.open_count() >= self.limits.max_open_requests
            || !self.jobs.has_capacity()
            || self.jobs.unfinished(&submission.session) >= self.limits.max_session_jobs
            || (self.is_logged(submission.class) && self.attempt_log.is_full());
        is_full.then_some(Rejection::LimitReached(self.limits.retry_after))
    }

    fn record_first_submission(&mut self, submission: &Submission) {
        if submission.is_retry || self.limits.has_journal || !self.must_run_once(submission.class) {
            return;
        }
        self.first_submissions
            .insert(submission.task, self.limits.max_jobs);
    }

    // ---- Task classes ----

    fn class(&self, class: u16) -> Option<&TaskClass> {
        self.limits.classes.get(usize::from(class))
    }

    /// Whether a second run of a task of the class would do harm, at least outside its deduplication scope and window.
    pub(super) fn must_run_once(&self, class: u16) -> bool {
        self.class(class)
            .is_none_or(|c| c.idempotency != Idempotency::Idempotent)
    }

    /// Whether a second run of a task of the class would always do harm.
    pub(super) fn is_non_idempotent(&self, class: u16) -> bool {
        self.class(class)
            .is_none_or(|c| c.idempotency == Idempotency::NonIdempotent)
    }

    /// Whether the class limits how many tasks of a service run in one topology domain.
    pub(super) fn has_topology_spread(&self, class: u16) -> bool {
        self.class(class)
            .is_some_and(|c| c.topology_spread != TopologySpread::Off)
    }

    /// Whether copies of the class's tasks are kept in the attempt log.
    pub(super) fn is_logged(&self, class: u16) -> bool {
        self.must_run_once(class) || self.has_topology_spread(class)
    }

    /// Whether the class is in the settings.
    pub(super) fn is_known_class(&self, class: u16) -> bool {
        self.class(class).is_some()
    }
}
