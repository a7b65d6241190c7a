//! Adoption of running copies: those of earlier incarnations, and those that were given up and found running.

use super::requests::placement_request;
use super::{Core, Output, ReportedTask};
use crate::Decide;
use crate::attempt_log::{AttemptId, Completion, TaskCopy, TaskSpec};
use crate::jobs::{Answer, JobId, JobState, TaskEnd};
use crate::request_state::{Attempt, RequestEntry, RequestState};
use peppercove::{Event, NodeId, RequestId, TaskReporter};
use std::collections::BTreeMap;

/// Current ids of adopted copies, by the previous id, which their nodes use until they have received the current one.
#[derive(Debug, Default)]
pub(super) struct PreviousIds {
    current: BTreeMap<TaskCopy, AttemptId>,
}

impl PreviousIds {
    /// The current id of an adopted copy.
    pub(super) fn current(&self, previous: TaskCopy) -> Option<AttemptId> {
        self.current.get(&previous).copied()
    }

    /// Forgets the previous id of a copy whose node used the current one, and thus has received the adoption message.
    pub(super) fn acknowledge(&mut self, used: AttemptId) {
        self.current.retain(|_, current| *current != used);
    }

    /// Replaces the current id of a copy that is adopted again in this incarnation.
    fn update(&mut self, from: AttemptId, to: AttemptId) {
        for current in self
            .current
            .values_mut()
            .filter(|current| **current == from)
        {
            *current = to;
        }
    }

    fn insert(&mut self, previous: TaskCopy, current: AttemptId) {
        self.current.insert(previous, current);
    }

    /// Keeps only the previous ids at a node that are still needed.
    fn retain_at(&mut self, node: NodeId, mut is_needed: impl FnMut(AttemptId) -> bool) {
        self.current
            .retain(|_, current| current.node != node || is_needed(*current));
    }
}

impl<D: Decide> Core<D> {
    /// Adopts a running task of an earlier incarnation and recreates its job under its key.
    pub(super) fn adopt_reported(&mut self, copy: TaskCopy, task: ReportedTask) {
        let submission = task.submission;
        let is_known = self.is_known_class(submission.class);
        let is_in_use = self.jobs.by_task(submission.task).is_some();
        if !is_known || is_in_use || !self.jobs.has_capacity() {
            self.counters.orphans_stopped += 1;
            self.end_copy(copy, Completion::MayHaveRun);
            self.flush_journal();
            self.outputs.push(Output::discard_orphan(copy));
            return;
        }
        let job = self.jobs.add_unclaimed(submission);
        let request = self.adopt(job, copy);
        if let Some(known_job) = self.jobs.get_mut(job) {
            known_job.answer = Some(Answer::Placed(copy.attempt.node));
            known_job.state = JobState::Running;
        }
        self.flush_journal();
        self.outputs.push(Output::adopt(copy, request));
    }

    /// Lets a job adopt a running copy of its task whose outcome was ambiguous.
    pub(super) fn adopt_for_job(&mut self, job: JobId, copy: TaskCopy) {
        let request = self.adopt(job, copy);
        self.answer_job(job, Answer::Placed(copy.attempt.node));
        self.flush_journal();
        self.outputs.push(Output::adopt(copy, request));
    }

    /// Creates a request of this incarnation for a running copy; the copy becomes its attempt 0, which is placed.
    fn adopt(&mut self, job: JobId, copy: TaskCopy) -> RequestId {
        let (id, node) = (self.requests.next_id(), copy.attempt.node);
        self.counters.adopted += 1;
        self.release_orphan(copy);
        let Some(known_job) = self.jobs.get_mut(job) else {
            return id;
        };
        known_job.request = Some(id);
        let request = placement_request(&known_job.submission, id, 0);
        let current = AttemptId::new(node, id, 0);
        self.record_previous_id(copy, current);
        self.log_adopted(copy, current, TaskSpec::from(&request));
        self.requests.insert(RequestEntry {
            request: request.clone(),
            job,
            deadline: self.now,
            state: RequestState::Pending,
            attempts: vec![Attempt::new(node)],
        });
        self.transition(id, RequestState::Placed(0));
        self.events.push(Event::RunningTask {
            request,
            node,
            reported_by: TaskReporter::Node,
        });
        id
    }

    fn record_previous_id(&mut self, copy: TaskCopy, current: AttemptId) {
        if copy.incarnation == self.limits.incarnation {
            self.previous_ids.update(copy.attempt, current);
        }
        self.previous_ids.insert(copy, current);
    }

    fn log_adopted(&mut self, copy: TaskCopy, current: AttemptId, spec: TaskSpec) {
        let adopted = self.own_copy(current);
        if self.attempt_log.is_open(copy) {
            self.attempt_log.rename(copy, adopted);
        } else if self.is_logged(spec.class) {
            let node_incarnation = self.nodes.reported_incarnation(current.node);
            self.attempt_log
                .record_sent(adopted, node_incarnation, spec);
            self.attempt_log.record_running(adopted);
        }
    }

    /// Records that a task of an earlier incarnation has ended, and recreates its job under its key. A task that must
    /// run at most once is not started again for a client that never learned of its end.
    pub(super) fn record_ended_task(&mut self, copy: TaskCopy, task: ReportedTask, end: TaskEnd) {
        let submission = task.submission;
        if self.attempt_log.is_open(copy) {
            self.resolve_ended_copy(copy, end, task.reason);
        } else if self.must_run_once(submission.class) && end.has_run() {
            let completion = match end {
                TaskEnd::Exited { .. } => Completion::Ended(copy.attempt.node, end),
                TaskEnd::Signalled { .. } | TaskEnd::Evicted | TaskEnd::Lost => {
                    Completion::MayHaveRun
                }
            };
            self.attempt_log
                .record_completion(self.now, submission.task, completion);
        }
        self.flush_journal();
        self.outputs.push(Output::discard_orphan(copy));
        let is_known = self
            .jobs
            .by_key(&submission.session, &submission.key)
            .is_some();
        if is_known || self.jobs.by_task(submission.task).is_some() || !self.jobs.has_capacity() {
            return;
        }
        let job = self.jobs.add(submission, JobState::Queued);
        if let Some(known_job) = self.jobs.get_mut(job) {
            known_job.answer = Some(Answer::Placed(copy.attempt.node));
            known_job.end = Some(end);
        }
        self.finish_job(job, JobState::after_end(end));
    }

    // ---- Previous ids ----

    /// Translates a reported task to the id of this incarnation, if it was adopted. Returns `None` if its end was
    /// reported and has been handled.
    ///
    /// Race: the adoption message can be lost with its connection. The node then still reports the copy under its
    /// previous id. Without the translation, the job would be recorded as lost and the copy stopped as an orphan, and
    /// the copy would no longer count although it still runs.
    pub(super) fn resolve_previous_id(
        &mut self,
        node: NodeId,
        task: ReportedTask,
    ) -> Option<ReportedTask> {
        let copy = task.copy_at(node);
        let Some(current) = self.previous_ids.current(copy) else {
            return Some(task);
        };
        if let Some(end) = task.end {
            self.outputs.push(Output::discard_orphan(copy));
            self.on_attempt_updated(current, super::AttemptUpdate::Ended(end, task.reason), None);
            return None;
        }
        self.outputs.push(Output::adopt(copy, current.request));
        Some(ReportedTask {
            incarnation: self.limits.incarnation,
            request: current.request,
            attempt: current.number,
            ..task
        })
    }

    /// Removes the previous ids of copies at the node that are neither placed nor open.
    pub(super) fn forget_previous_ids(&mut self, node: NodeId) {
        let Core {
            requests,
            attempt_log,
            previous_ids,
            limits,
            ..
        } = self;
        let incarnation = limits.incarnation;
        previous_ids.retain_at(node, |attempt| {
            requests.is_placed(attempt)
                || attempt_log.is_open(TaskCopy {
                    incarnation,
                    attempt,
                })
        });
    }
}
