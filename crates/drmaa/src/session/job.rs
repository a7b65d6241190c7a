//! Calls about a job, which are sent to the controller that currently has the job.

use super::json::field;
use super::{RECONNECT_BACKOFF, Session};
use crate::connection::{CALL_TIMEOUT, CallError};
use crate::deadline::Deadline;
use crate::{ALL_JOBS, ControlAction, Errno, Error, JobTemplate, ProgramState};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// A job submitted in this session, and its current location.
#[derive(Clone)]
pub(super) struct SubmittedJob {
    pub(super) endpoint: usize,
    /// Current id of the job at its controller; it changes when the controller restarts.
    pub(super) id: String,
    /// Incarnation of the controller that assigned the id.
    pub(super) incarnation: u64,
    /// Submission key; empty for a job of an earlier session.
    pub(super) key: String,
    pub(super) template: JobTemplate,
}

impl Session {
    /// `drmaa_control`.
    ///
    /// # Errors
    /// The error that the controller returns; for a job in an unsuitable state, the `InconsistentState` error of the
    /// action.
    pub fn control(&self, id: &str, action: ControlAction) -> Result<(), Error> {
        if id == ALL_JOBS {
            return self.control_all(action);
        }
        let params = json!({ "action": action.name() });
        self.call_for(id, "control", &params, CALL_TIMEOUT, Deadline::never())?;
        Ok(())
    }

    fn control_all(&self, action: ControlAction) -> Result<(), Error> {
        let params = json!({ "jobId": ALL_JOBS, "action": action.name() });
        let count = self.lock().endpoints.len();
        for endpoint in 0..count {
            match self.call_at(endpoint, "control", &params, CALL_TIMEOUT) {
                Ok(_) => {}
                Err(CallError::ErrorResponse(error)) => return Err(error),
                // An unreachable controller matters only if jobs were submitted there.
                Err(CallError::NotSent(reason) | CallError::Ambiguous(reason)) => {
                    if self
                        .lock()
                        .jobs
                        .values()
                        .any(|job| job.endpoint == endpoint)
                    {
                        return Err(Error::communication_failure(reason));
                    }
                }
            }
        }
        Ok(())
    }

    /// `drmaa_job_ps`.
    ///
    /// # Errors
    /// `InvalidJob` if the job is unknown.
    pub fn job_ps(&self, id: &str) -> Result<ProgramState, Error> {
        let value = self.call_for(id, "jobPs", &json!({}), CALL_TIMEOUT, Deadline::never())?;
        let number: i32 = field(&value, "state")?;
        ProgramState::from_number(number).ok_or_else(|| {
            Error::new(
                Errno::InternalError,
                format!("unknown job state {number} in the result of jobPs"),
            )
        })
    }

    /// Returns the job with an id, which may have been submitted in an earlier session with the same name.
    pub(super) fn find(&self, id: &str) -> Result<SubmittedJob, Error> {
        let state = self.lock();
        if let Some(job) = state.jobs.get(id) {
            return Ok(job.clone());
        }
        // A job id starts with the name of its controller.
        let is_id_of = |name: &str| {
            id.strip_prefix(name)
                .is_some_and(|rest| rest.starts_with('.'))
        };
        state
            .endpoints
            .iter()
            .enumerate()
            .find_map(|(endpoint, known)| {
                let controller = known.controller.as_ref()?;
                is_id_of(&controller.name).then(|| SubmittedJob {
                    endpoint,
                    id: id.into(),
                    incarnation: controller.incarnation,
                    key: String::new(),
                    template: JobTemplate::default(),
                })
            })
            .ok_or_else(|| Error::new(Errno::InvalidJob, format!("unknown job '{id}'")))
    }

    /// Makes a call about a job. While its controller is unreachable, retries until the deadline, but at least for
    /// [`CALL_TIMEOUT`] and for as long as a job with an ambiguous outcome is searched for.
    pub(super) fn call_for(
        &self,
        id: &str,
        method: &str,
        params: &Value,
        timeout: Duration,
        deadline: Deadline,
    ) -> Result<Value, Error> {
        let retry_window = self.ambiguous_retry_delay().max(CALL_TIMEOUT);
        let give_up_at = deadline.or_later(Instant::now() + retry_window);
        loop {
            let job = self.find(id)?;
            let mut params = params.clone();
            params["jobId"] = Value::from(job.id.clone());
            let reason = match self.call_at(job.endpoint, method, &params, timeout) {
                Ok(response) => return Ok(response.value),
                Err(CallError::ErrorResponse(error)) if self.is_orphaned(&job, &error) => {
                    self.relocate(id, &job)?;
                    continue;
                }
                Err(CallError::ErrorResponse(error)) => return Err(error),
                Err(CallError::NotSent(reason) | CallError::Ambiguous(reason)) => reason,
            };
            if Instant::now() >= give_up_at {
                return Err(Error::communication_failure(reason));
            }
            std::thread::sleep(RECONNECT_BACKOFF);
        }
    }

    /// Returns whether the controller does not know the job because it was restarted after the submission.
    pub(super) fn is_orphaned(&self, job: &SubmittedJob, error: &Error) -> bool {
        error.errno == Errno::InvalidJob && self.has_controller_restarted(job)
    }

    /// Returns whether the controller of a job is a later incarnation than the one that assigned the job's id.
    pub(super) fn has_controller_restarted(&self, job: &SubmittedJob) -> bool {
        let state = self.lock();
        let controller = state.endpoints[job.endpoint].controller.as_ref();
        !job.key.is_empty()
            && controller.is_some_and(|controller| controller.incarnation != job.incarnation)
    }

    /// Finds a job after a restart of its controller, which knows the job only if a node runs it. If it is not found,
    /// an idempotent job is submitted again; for any other job an error is returned.
    pub(super) fn relocate(&self, id: &str, job: &SubmittedJob) -> Result<(), Error> {
        let give_up_at = Instant::now() + self.ambiguous_retry_delay();
        let find = json!({ "submissionKey": job.key });
        loop {
            match self.call_at(job.endpoint, "findJob", &find, CALL_TIMEOUT) {
                Ok(response) => {
                    let new_id = field(&response.value, "jobId")?;
                    self.set_location(id, job.endpoint, new_id, response.incarnation);
                    return Ok(());
                }
                Err(_) if Instant::now() < give_up_at => std::thread::sleep(RECONNECT_BACKOFF),
                Err(_) if self.is_idempotent(&job.template) => {
                    let accepted = self.submit_one(&job.key, &job.template)?;
                    let new_id = field(&accepted.response.value, "jobId")?;
                    let incarnation = accepted.response.incarnation;
                    self.set_location(id, accepted.endpoint, new_id, incarnation);
                    return Ok(());
                }
                Err(_) => {
                    let message =
                        format!("job '{id}' was not found after a restart of its controller");
                    return Err(Error::new(Errno::InvalidJob, message));
                }
            }
        }
    }

    fn set_location(&self, id: &str, endpoint: usize, new_id: String, incarnation: u64) {
        if let Some(job) = self.lock().jobs.get_mut(id) {
            job.endpoint = endpoint;
            job.id = new_id;
            job.incarnation = incarnation;
        }
    }
}
