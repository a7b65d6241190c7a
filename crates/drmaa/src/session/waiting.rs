//! Waiting for placements and for the ends of jobs.

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

/// Wait at one of several controllers before the next one has its turn.
const SHARED_TURN: Duration = Duration::from_millis(50);

impl Session {
    /// Waits for the answer to the placement request of a job; `None` waits for ever.
    ///
    /// # Errors
    /// `ExitTimeout` after the timeout.
    pub fn outcome(&self, id: &str, timeout: Option<Duration>) -> Result<PlacementResult, Error> {
        let mut result: PlacementResult = self.wait_for(id, "outcome", timeout)?;
        result.job_id = id.into();
        Ok(result)
    }

    /// `drmaa_wait`: waits until a job, or any job of the session, is done, and forgets it.
    ///
    /// # Errors
    /// `ExitTimeout` after the timeout, `InvalidJob` where there is none to wait for.
    pub fn wait(&self, id: &str, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        if id == ANY_JOB {
            return self.wait_any(timeout);
        }
        let mut info: JobInfo = self.wait_for(id, "wait", timeout)?;
        info.job_id = id.into();
        self.lock().jobs.remove(id);
        Ok(info)
    }

    /// Makes a call that waits, turn by turn.
    fn wait_for<T: DeserializeOwned>(
        &self,
        id: &str,
        method: &str,
        timeout: Option<Duration>,
    ) -> Result<T, Error> {
        let deadline = Deadline::after(timeout);
        loop {
            let turn = deadline.next_turn();
            let params = json!({ "timeoutMs": millis(turn.length) });
            let timeout = turn.length + CALL_TIMEOUT;
            match self.call_for(id, method, &params, timeout, deadline) {
                Ok(value) => return decode(value),
                Err(error) if error.errno == Errno::ExitTimeout && !turn.is_last => {}
                Err(error) => return Err(error),
            }
        }
    }

    // ---- Any job ----

    fn wait_any(&self, timeout: Option<Duration>) -> Result<JobInfo, Error> {
        let deadline = Deadline::after(timeout);
        loop {
            let endpoints = self.endpoints_to_wait_at();
            let turn = deadline.next_turn();
            // A single controller is waited at for the full turn; several are waited at briefly in rotation.
            let length = if endpoints.len() > 1 {
                turn.length.min(SHARED_TURN)
            } else {
                turn.length
            };
            for endpoint in endpoints {
                if let Some(info) = self.wait_any_at(endpoint, length, deadline)? {
                    return Ok(info);
                }
            }
            if turn.is_last && length == turn.length {
                return Err(Error::new(Errno::ExitTimeout, "the time is over"));
            }
        }
    }

    /// Endpoints to which jobs were submitted, or the current one where there is no job.
    fn endpoints_to_wait_at(&self) -> Vec<usize> {
        let state = self.lock();
        if state.jobs.is_empty() {
            return vec![state.current];
        }
        let endpoints: BTreeSet<usize> = state.jobs.values().map(|job| job.endpoint).collect();
        endpoints.into_iter().collect()
    }

    /// Waits for any job at one endpoint; `None` where none has ended and the wait goes on.
    fn wait_any_at(
        &self,
        endpoint: usize,
        length: Duration,
        deadline: Deadline,
    ) -> Result<Option<JobInfo>, Error> {
        let params = json!({ "jobId": ANY_JOB, "timeoutMs": millis(length) });
        match self.call_at(endpoint, "wait", &params, length + CALL_TIMEOUT) {
            Ok(answer) => Ok(Some(self.forget(decode(answer.value)?))),
            Err(CallError::Answered(error)) if error.errno == Errno::ExitTimeout => Ok(None),
            Err(CallError::Answered(error)) if error.errno == Errno::InvalidJob => {
                self.relocate_all(endpoint, error).map(|()| None)
            }
            Err(CallError::Answered(error)) => Err(error),
            Err(CallError::NotSent(what) | CallError::Ambiguous(what)) => {
                retry_until(deadline, what).map(|()| None)
            }
        }
    }

    /// The controller of an endpoint has no job of this session: the jobs that were submitted there are found again, or
    /// forgotten.
    fn relocate_all(&self, endpoint: usize, error: Error) -> Result<(), Error> {
        let jobs = self.jobs_at(endpoint);
        if jobs.is_empty() {
            return Err(error);
        }
        for (id, job) in jobs {
            if !self.has_controller_restarted(&job) {
                // Another thread has waited for it.
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

    /// Forgets a job that has ended, and puts in the id that the caller knows.
    fn forget(&self, mut info: JobInfo) -> JobInfo {
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

    // ---- All of some jobs ----

    /// `drmaa_synchronize`: waits until all of the jobs are done.
    ///
    /// # Errors
    /// `ExitTimeout` after the timeout, `InvalidJob` where one is not known.
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
            let turn = deadline.next_turn();
            let job = self.find(id)?;
            let params = json!({
                "jobIds": [job.id],
                "timeoutMs": millis(turn.length),
                "dispose": dispose,
            });
            let timeout = turn.length + CALL_TIMEOUT;
            match self.call_at(job.endpoint, "synchronize", &params, timeout) {
                Ok(_) => return Ok(()),
                Err(CallError::Answered(error)) => {
                    if self.is_orphaned(&job, &error) {
                        self.relocate(id, &job)?;
                    } else if error.errno != Errno::ExitTimeout || turn.is_last {
                        return Err(error);
                    }
                }
                Err(CallError::NotSent(what) | CallError::Ambiguous(what)) => {
                    retry_until(deadline, what)?;
                }
            }
        }
    }
}

/// Backs off before a retry at an unreachable controller.
///
/// # Errors
/// `DrmCommunicationFailure` after the deadline.
fn retry_until(deadline: Deadline, what: String) -> Result<(), Error> {
    if deadline.has_passed() {
        return Err(Error::communication_failure(what));
    }
    std::thread::sleep(RECONNECT_BACKOFF);
    Ok(())
}
