//! Waiting for the placement and the end of jobs.

use super::job::SubmittedJob;
use super::json::{decode, millis};
use super::{RECONNECT_BACKOFF, Session};
use crate::connection::{CALL_TIMEOUT, CallError};
use crate::deadline::Deadline;
use crate::{ALL_JOBS, ANY_JOB, Errno, Error, JobInfo, PlacementResult};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;

/// Duration of a long poll if several controllers are polled in rotation.
const ROTATION_POLL_DURATION: Duration = Duration::from_millis(50);

impl Session {
    /// Waits for the outcome of the placement request of a job; without a timeout, waits indefinitely.
    ///
    /// # Errors
    /// `ExitTimeout` after the timeout.
    pub fn outcome(&self, id: &str, timeout: Option<Duration>) -> Result<PlacementResult, Error> {
        let mut result: PlacementResult = self.wait_for(id, "outcome", timeout)?;
        result.job_id = id.into();
        Ok(result)
    }

    /// `drmaa_wait`: waits until a job, or any job of the session, has ended, and removes it from the session.
    ///
    /// # Errors
    /// `ExitTimeout` after the timeout, `InvalidJob` if there is no job to wait for.
    pub fn wait(&self, id: &str, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        if id == ANY_JOB {
            return self.wait_any(timeout);
        }
        let mut info: JobInfo = self.wait_for(id, "wait", timeout)?;
        info.job_id = id.into();
        self.lock().jobs.remove(id);
        Ok(info)
    }

    /// Makes a waiting call, as a series of long polls.
    fn wait_for<T: DeserializeOwned>(
        &self,
        id: &str,
        method: &str,
        timeout: Option<Duration>,
    ) -> Result<T, Error> {
        let deadline = Deadline::after(timeout);
        loop {
            let poll = deadline.next_poll();
            let params = json!({ "timeoutMs": millis(poll.duration) });
            let timeout = poll.duration + CALL_TIMEOUT;
            match self.call_for(id, method, &params, timeout, deadline) {
                Ok(value) => return decode(value),
                Err(error) if error.errno == Errno::ExitTimeout && !poll.is_last => {}
                Err(error) => return Err(error),
            }
        }
    }

    // ---- Any job ----

    fn wait_any(&self, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        let deadline = Deadline::after(timeout);
        loop {
            let endpoints = self.endpoints_with_jobs();
            let poll = deadline.next_poll();
            // A single controller is polled for the full duration; several are polled briefly in rotation.
            let duration = if endpoints.len() > 1 {
                poll.duration.min(ROTATION_POLL_DURATION)
            } else {
                poll.duration
            };
            for endpoint in endpoints {
                if let Some(info) = self.wait_any_at(endpoint, duration, deadline)? {
                    return Ok(info);
                }
            }
            if poll.is_last && duration == poll.duration {
                return Err(Error::new(
                    Errno::ExitTimeout,
                    "no job of the session ended before the timeout",
                ));
            }
        }
    }

    /// Returns the endpoints to which jobs were submitted, or the current one if there are no jobs.
    fn endpoints_with_jobs(&self) -> Vec<usize> {
        let state = self.lock();
        if state.jobs.is_empty() {
            return vec![state.current];
        }
        let endpoints: BTreeSet<usize> = state.jobs.values().map(|job| job.endpoint).collect();
        endpoints.into_iter().collect()
    }

    /// Waits for any job at an endpoint; `None` if no job has ended and the wait must continue.
    fn wait_any_at(
        &self,
        endpoint: usize,
        duration: Duration,
        deadline: Deadline,
    ) -> Result<Option<JobInfo>, Error> {
        let params = json!({ "jobId": ANY_JOB, "timeoutMs": millis(duration) });
        match self.call_at(endpoint, "wait", &params, duration + CALL_TIMEOUT) {
            Ok(response) => Ok(Some(self.remove_finished(decode(response.value)?))),
            Err(CallError::ErrorResponse(error)) if error.errno == Errno::ExitTimeout => Ok(None),
            Err(CallError::ErrorResponse(error)) if error.errno == Errno::InvalidJob => {
                self.relocate_all(endpoint, error).map(|()| None)
            }
            Err(CallError::ErrorResponse(error)) => Err(error),
            Err(CallError::NotSent(reason) | CallError::Ambiguous(reason)) => {
                retry_until(deadline, reason).map(|()| None)
            }
        }
    }

    /// Handles the error that the controller of an endpoint has no job of this session: relocates the jobs that were
    /// submitted there, or removes them from the session.
    fn relocate_all(&self, endpoint: usize, error: Error) -> Result<(), Error> {
        let jobs = self.jobs_at(endpoint);
        if jobs.is_empty() {
            return Err(error);
        }
        for (id, job) in jobs {
            if !self.has_controller_restarted(&job) {
                // Another thread has already waited for the job.
                self.lock().jobs.remove(&id);
            } else if let Err(error) = self.relocate(&id, &job) {
                self.lock().jobs.remove(&id);
                return Err(error);
            }
        }
        Ok(())
    }

    fn jobs_at(&self, endpoint: usize) -> Vec<(String, SubmittedJob)> {
        self.lock()
            .jobs
            .iter()
            .filter(|(_, job)| job.endpoint == endpoint)
            .map(|(id, job)| (id.clone(), job.clone()))
            .collect()
    }

    /// Removes a job that has ended from the session, and sets the id that was returned to the caller.
    fn remove_finished(&self, mut info: JobInfo) -> JobInfo {
        let mut state = self.lock();
        let id = state
            .jobs
            .iter()
            .find(|(_, job)| job.id == info.job_id)
            .map(|(id, _)| id.clone());
        if let Some(id) = id {
            state.jobs.remove(&id);
            info.job_id = id;
        }
        info
    }

    // ---- Several jobs ----

    /// `drmaa_synchronize`: waits until all of the jobs have ended. With `dispose`, also removes them from the session.
    ///
    /// # Errors
    /// `ExitTimeout` after the timeout, `InvalidJob` if one of the jobs is unknown.
    pub fn synchronize(
        &self,
        ids: &[&str],
        timeout: Option<Duration>,
        dispose: bool,
    ) -> Result<(), Error> {
        let deadline = Deadline::after(timeout);
        let ids: Vec<String> = if ids.contains(&ALL_JOBS) {
            self.lock().jobs.keys().cloned().collect()
        } else {
            ids.iter().map(|id| (*id).to_owned()).collect()
        };
        for id in &ids {
            self.synchronize_one(id, deadline, dispose)?;
            if dispose {
                self.lock().jobs.remove(id);
            }
        }
        Ok(())
    }

    fn synchronize_one(&self, id: &str, deadline: Deadline, dispose: bool) -> Result<(), Error> {
        loop {
            let poll = deadline.next_poll();
            let job = self.find(id)?;
            let params = json!({
                "jobIds": [job.id],
                "timeoutMs": millis(poll.duration),
                "dispose": dispose,
            });
            let timeout = poll.duration + CALL_TIMEOUT;
            match self.call_at(job.endpoint, "synchronize", &params, timeout) {
                Ok(_) => return Ok(()),
                Err(CallError::ErrorResponse(error)) => {
                    if self.is_orphaned(&job, &error) {
                        self.relocate(id, &job)?;
                    } else if error.errno != Errno::ExitTimeout || poll.is_last {
                        return Err(error);
                    }
                }
                Err(CallError::NotSent(reason) | CallError::Ambiguous(reason)) => {
                    retry_until(deadline, reason)?;
                }
            }
        }
    }
}

/// Waits for the backoff before a retry at an unreachable controller.
///
/// # Errors
/// `DrmCommunicationFailure` after the deadline.
fn retry_until(deadline: Deadline, reason: String) -> Result<(), Error> {
    if deadline.has_passed() {
        return Err(Error::communication_failure(reason));
    }
    std::thread::sleep(RECONNECT_BACKOFF);
    Ok(())
}
