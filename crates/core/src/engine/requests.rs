//! Placement requests: creation, their single answer, and removal.

use super::{Core, Output, Timer};
use crate::Decide;
use crate::attempt_log::{AttemptId, ClientInterest};
use crate::jobs::{Answer, JobId, JobState, Submission};
use crate::request_state::{RequestEntry, RequestState};
use peppercove::{Event, Micros, PlacementRequest, RequestId};

/// Creates the placement request for a submission's task, as passed to the scheduler.
pub(super) fn placement_request(
    submission: &Submission,
    id: RequestId,
    deadline_in: Micros,
) -> PlacementRequest {
    PlacementRequest {
        id,
        task: submission.task,
        service: submission.service,
        class: submission.class,
        tenant: submission.tenant,
        cores: submission.cores,
        memory: submission.memory,
        deadline_in,
        expected_duration: submission.expected_duration,
        is_retry: submission.is_retry,
    }
}

impl<D: Decide> Core<D> {
    /// Requests a placement for a job's task from the scheduler.
    pub(super) fn request_placement(&mut self, job: JobId) {
        let Some(known_job) = self.jobs.get_mut(job) else {
            return;
        };
        let id = self.requests.next_id();
        known_job.request = Some(id);
        known_job.state = JobState::Queued;
        known_job.requested_at = self.now;
        let deadline_in = known_job.submission.deadline_in;
        let scheduler_deadline_in = deadline_in.saturating_sub(self.limits.deadline_margin);
        let request = placement_request(&known_job.submission, id, scheduler_deadline_in);
        let deadline = self.now.saturating_add(deadline_in);
        self.timers.schedule(deadline, Timer::Deadline(id));
        self.requests.insert(RequestEntry {
            request: request.clone(),
            job,
            deadline,
            state: RequestState::Pending,
            attempts: Vec::new(),
        });
        self.events.push(Event::Place(request));
    }

    /// Changes the state of a request. An invalid transition is logged as a bug; returns whether the state was changed.
    pub(super) fn transition(&mut self, request: RequestId, to: RequestState) -> bool {
        let Some(result) = self.requests.transition(request, to) else {
            return false;
        };
        if let Err(error) = &result {
            debug_assert!(false, "{error}");
            self.counters.invalid_transitions += 1;
            self.outputs.push(Output::Log(format!("fault: {error}")));
        }
        result.is_ok()
    }

    /// Removes a request that is completed and has no attempt in flight.
    pub(super) fn forget_if_done(&mut self, request: RequestId) {
        if self.requests.remove_if_done(request) {
            self.migrating.remove(&request);
        }
    }

    // ---- Answers ----

    /// Handles the scheduler's final answer to a request that is not placed.
    pub(super) fn on_scheduler_answer(&mut self, request: RequestId, answer: Answer) {
        let Some(entry) = self.requests.get_open(request) else {
            self.counters.ignored_actions += 1;
            return;
        };
        let job = entry.job;
        let is_retry_unsafe = !entry.never_ran() && self.is_non_idempotent(entry.request.class);
        let answer = match answer {
            // Invariant: a rejection guarantees that a retry does no harm.
            Answer::Rejected(_) if is_retry_unsafe => {
                self.counters.unsafe_rejections += 1;
                Answer::Failed
            }
            Answer::Placed(_) | Answer::Rejected(_) | Answer::Failed | Answer::Cancelled => answer,
        };
        self.abandon_copies(request, ClientInterest::MayReturn);
        self.transition(request, RequestState::Completed);
        self.answer_job(job, answer);
        self.forget_if_done(request);
    }

    /// Answers a job's placement request. No other function does so.
    pub(super) fn answer_job(&mut self, job: JobId, answer: Answer) {
        let Some(known_job) = self.jobs.get_mut(job) else {
            return;
        };
        // A job whose task was migrated or adopted has been answered when the task was first placed.
        if known_job.answer.is_none() {
            known_job.answer = Some(answer);
            match answer {
                Answer::Placed(_) => self.counters.placed += 1,
                Answer::Rejected(_) => self.counters.requests_rejected += 1,
                Answer::Failed => self.counters.failed += 1,
                Answer::Cancelled => self.counters.cancelled += 1,
            }
            self.outputs.push(Output::Answered { job, answer });
        }
        match answer {
            Answer::Placed(_) => known_job.state = JobState::Running,
            Answer::Rejected(_) | Answer::Failed | Answer::Cancelled => {
                self.finish_job(job, JobState::Failed)
            }
        }
    }

    /// Finishes a job that reached its final state.
    pub(super) fn finish_job(&mut self, job: JobId, state: JobState) {
        self.jobs.finish(job, state);
        self.outputs.push(Output::Finished(job));
    }

    // ---- Ends not decided by the scheduler ----

    /// Completes a pending request without an answer. Its job makes another request later, or is answered by the
    /// caller.
    pub(super) fn cancel_pending(&mut self, request: RequestId) {
        self.events.push(Event::RequestCancelled(request));
        self.abandon_copies(request, ClientInterest::Ended);
        self.transition(request, RequestState::Completed);
        self.forget_if_done(request);
    }

    /// Completes an open request that its client cancelled.
    pub(super) fn cancel_by_client(&mut self, request: RequestId) {
        self.end_open_request(request, Answer::Cancelled, ClientInterest::Ended);
    }

    /// Invariant: each request is answered by its deadline. The scheduler should have answered earlier, by the deadline
    /// margin.
    pub(super) fn on_missed_deadline(&mut self, request: RequestId) {
        if self.requests.get_open(request).is_none() {
            return;
        }
        self.counters.missed_deadlines += 1;
        self.outputs.push(Output::Log(format!(
            "fault: request {} was left without an answer",
            request.0
        )));
        self.end_open_request(request, Answer::Failed, ClientInterest::MayReturn);
    }

    /// Completes an open request with an answer that the scheduler did not give, and cancels the attempt in flight.
    fn end_open_request(&mut self, request: RequestId, answer: Answer, interest: ClientInterest) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let (state, job) = (entry.state, entry.job);
        self.events.push(Event::RequestCancelled(request));
        self.abandon_copies(request, interest);
        self.transition(request, RequestState::Completed);
        self.answer_job(job, answer);
        if let RequestState::Dispatched(number) = state {
            self.cancel_attempt(request, number);
        }
        self.forget_if_done(request);
    }

    /// Answers all open requests at the end of the shutdown timeout: rejected if no attempt can have run, else failed.
    pub(super) fn on_shutdown_timeout(&mut self) {
        self.is_shutting_down = true;
        let open = self.requests.iter().filter(|entry| entry.state.is_open());
        let open: Vec<RequestId> = open.map(RequestEntry::id).collect();
        for request in open {
            self.events.push(Event::RequestCancelled(request));
            let never_ran = self
                .requests
                .get(request)
                .is_some_and(RequestEntry::never_ran);
            let rejected = Answer::Rejected(Some(self.limits.retry_after));
            self.on_scheduler_answer(request, if never_ran { rejected } else { Answer::Failed });
        }
    }

    /// Makes orphans of all copies of a request that may run, because the request no longer waits for them.
    pub(super) fn abandon_copies(&mut self, request: RequestId, interest: ClientInterest) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let may_run = entry
            .numbered_attempts()
            .filter(|(_, attempt)| !attempt.never_ran());
        let may_run: Vec<AttemptId> = may_run.map(|(id, _)| id).collect();
        for attempt in may_run {
            self.attempt_log
                .abandon(self.now, self.own_copy(attempt), interest);
        }
    }
}
