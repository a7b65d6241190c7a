//! Calls about one job, wherever it is meanwhile.

use super::json::field;
use super::{RECONNECT_BACKOFF, Session};
use crate::connection::{CALL_TIMEOUT, CallError};
use crate::deadline::Deadline;
use crate::{ALL_JOBS, ControlAction, Errno, Error, JobTemplate, ProgramState};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// A job as this session submitted it.
#[derive(Clone)]
pub(super) struct SubmittedJob {
    pub(super) endpoint: usize,
    /// Id of the job at its controller; another one after a restart of it.
    pub(super) id: String,
    /// Incarnation of the controller that gave the id.
    pub(super) incarnation: u64,
    /// Submission key; empty for a job of an earlier session.
    pub(super) key: String,
    pub(super) template: JobTemplate,
}

impl Session {
    /// `drmaa_control`.
    ///
    /// # Errors
    /// What the controller says; the error of an inconsistent state is that of the action.
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
                Err(CallError::Answered(error)) => return Err(error),
                // An unreachable controller matters only if jobs were submitted there.
                Err(CallError::NotSent(what) | CallError::Ambiguous(what)) => {
                    if self
                        .lock()
                        .jobs
                        .values()
                        .any(|job| job.endpoint == endpoint)
                    {
                        return Err(Error::communication_failure(what));
                    }
                }
            }
        }
        Ok(())
    }

    /// `drmaa_job_ps`.
    ///
    /// # Errors
    /// `InvalidJob` where it is not known.
    pub fn job_ps(&self, id: &str) -> Result<ProgramState, Error> {
        let value = self.call_for(id, "jobPs", &json!({}), CALL_TIMEOUT, Deadline::never())?;
        let number: i32 = field(&value, "state")?;
        ProgramState::from_number(number)
            .ok_or_else(|| Error::new(Errno::InternalError, format!("no state {number}")))
    }

    /// The job of an id, which may be one of an earlier session of this name.
    pub(super) fn find(&self, id: &str) -> Result<SubmittedJob, Error> {
        let state = self.lock();
        if let Some(job) = state.jobs.get(id) {
            return Ok(job.clone());
        }
        // The id begins with the name of its controller.
        let of_controller = |name: &str| {
            id.strip_prefix(name)
                .is_some_and(|rest| rest.starts_with('.'))
        };
        state
            .endpoints
            .iter()
            .enumerate()
            .find_map(|(endpoint, known)| {
                let controller = known.controller.as_ref()?;
                of_controller(&controller.name).then(|| SubmittedJob {
                    endpoint,
                    id: id.into(),
                    incarnation: controller.incarnation,
                    key: String::new(),
                    template: JobTemplate::default(),
                })
            })
            .ok_or_else(|| Error::new(Errno::InvalidJob, format!("there is no job '{id}'")))
    }

    /// Makes a call about a job, retrying while its controller is unreachable until the deadline, or for as long as an
    /// ambiguous outcome is looked for where that is later.
    pub(super) fn call_for(
        &self,
        id: &str,
        method: &str,
        params: &Value,
        timeout: Duration,
        deadline: Deadline,
    ) -> Result<Value, Error> {
        let patience = self.ambiguous_retry_delay().max(CALL_TIMEOUT);
        let give_up_at = deadline.or_later(Instant::now() + patience);
        loop {
            let job = self.find(id)?;
            let mut params = params.clone();
            params["jobId"] = Value::from(job.id.clone());
            let what = match self.call_at(job.endpoint, method, &params, timeout) {
                Ok(answer) => return Ok(answer.value),
                Err(CallError::Answered(error)) if self.is_orphaned(&job, &error) => {
                    self.relocate(id, &job)?;
                    continue;
                }
                Err(CallError::Answered(error)) => return Err(error),
                Err(CallError::NotSent(what) | CallError::Ambiguous(what)) => what,
            };
            if Instant::now() >= give_up_at {
                return Err(Error::communication_failure(what));
            }
            std::thread::sleep(RECONNECT_BACKOFF);
        }
    }

    /// The controller does not know the job since it was restarted after the submission.
    pub(super) fn is_orphaned(&self, job: &SubmittedJob, error: &Error) -> bool {
        error.errno == Errno::InvalidJob && self.has_controller_restarted(job)
    }

    /// The controller of a job is another incarnation than the one that gave the job its id.
    pub(super) fn has_controller_restarted(&self, job: &SubmittedJob) -> bool {
        let state = self.lock();
        let controller = state.endpoints[job.endpoint].controller.as_ref();
        !job.key.is_empty()
            && controller.is_some_and(|controller| controller.incarnation != job.incarnation)
    }

    /// Finds a job again after a restart of its controller, which knows the job if a node runs it. An idempotent job
    /// is submitted again; of another one nothing more is known.
    pub(super) fn relocate(&self, id: &str, job: &SubmittedJob) -> Result<(), Error> {
        let give_up_at = Instant::now() + self.ambiguous_retry_delay();
        let find = json!({ "submissionKey": job.key });
        loop {
            match self.call_at(job.endpoint, "findJob", &find, CALL_TIMEOUT) {
                Ok(answer) => {
                    let new_id = field(&answer.value, "jobId")?;
                    self.set_location(id, job.endpoint, new_id, answer.incarnation);
                    return Ok(());
                }
                Err(_) if Instant::now() < give_up_at => std::thread::sleep(RECONNECT_BACKOFF),
                Err(_) if self.is_idempotent(&job.template) => {
                    let accepted = self.submit_one(&job.key, &job.template)?;
                    let new_id = field(&accepted.answer.value, "jobId")?;
                    let incarnation = accepted.answer.incarnation;
                    self.set_location(id, accepted.endpoint, new_id, incarnation);
                    return Ok(());
                }
                Err(_) => {
                    let message = format!(
                        "the controller of job '{id}' was restarted, and nothing more is known of it"
                    );
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
