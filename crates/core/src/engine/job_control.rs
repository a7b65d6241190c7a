//! Operations of clients on their jobs.

use super::{Control, Core, Output, Rejection};
use crate::Decide;
use crate::attempt_log::AttemptId;
use crate::jobs::{Answer, JobId, JobState};
use crate::request_state::{RequestEntry, RequestState};
use peppercove::RequestId;

impl<D: Decide> Core<D> {
    /// Performs an operation of a client on a job, or rejects it.
    pub(super) fn on_control(&mut self, ticket: u64, job: JobId, control: Control) {
        let Some(known_job) = self.jobs.get(job) else {
            self.outputs.push(Output::Rejected {
                ticket,
                reason: Rejection::NoSuchJob,
            });
            return;
        };
        let (state, request) = (known_job.state, known_job.request);
        let is_accepted = match control {
            Control::Hold => state == JobState::Queued && self.hold(job, request),
            Control::Release => state == JobState::OnHold && self.release(job),
            Control::Suspend => {
                state == JobState::Running && self.suspend_or_resume(job, request, control)
            }
            Control::Resume => {
                state == JobState::Suspended && self.suspend_or_resume(job, request, control)
            }
            Control::Terminate => self.terminate(job, state, request),
        };
        self.outputs.push(if is_accepted {
            Output::ControlAccepted { ticket }
        } else {
            Output::Rejected {
                ticket,
                reason: Rejection::InvalidState(state),
            }
        });
    }

    fn hold(&mut self, job: JobId, request: Option<RequestId>) -> bool {
        // A task that may be running can no longer be held.
        let can_hold =
            |entry: &RequestEntry| entry.state == RequestState::Pending && entry.never_ran();
        let Some(request) = request.filter(|r| self.requests.get(*r).is_some_and(can_hold)) else {
            return false;
        };
        self.cancel_pending(request);
        if let Some(known_job) = self.jobs.get_mut(job) {
            known_job.state = JobState::OnHold;
            known_job.request = None;
        }
        true
    }

    fn release(&mut self, job: JobId) -> bool {
        self.request_placement(job);
        true
    }

    fn suspend_or_resume(
        &mut self,
        job: JobId,
        request: Option<RequestId>,
        control: Control,
    ) -> bool {
        let placed = self.placed_attempt_of(request);
        let Some(attempt) = placed.filter(|attempt| self.nodes.is_connected(attempt.node)) else {
            return false;
        };
        self.outputs.push(Output::control_task(attempt, control));
        if let Some(known_job) = self.jobs.get_mut(job) {
            known_job.state = if control == Control::Suspend {
                JobState::Suspended
            } else {
                JobState::Running
            };
        }
        true
    }

    fn terminate(&mut self, job: JobId, state: JobState, request: Option<RequestId>) -> bool {
        match state {
            JobState::OnHold => self.answer_job(job, Answer::Cancelled),
            JobState::Queued => {
                if let Some(request) = request {
                    self.cancel_by_client(request);
                }
            }
            JobState::Running | JobState::Suspended => {
                if let Some(attempt) = self.placed_attempt_of(request) {
                    // If the node is not connected, the request is sent once it is connected again.
                    self.outputs
                        .push(Output::control_task(attempt, Control::Terminate));
                    self.migrating.remove(&attempt.request);
                }
            }
            JobState::Done | JobState::Failed => return false,
        }
        true
    }

    fn placed_attempt_of(&self, request: Option<RequestId>) -> Option<AttemptId> {
        self.requests.placed_attempt(request?)
    }
}
