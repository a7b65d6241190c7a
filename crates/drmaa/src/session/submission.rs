//! Submission of jobs, each at most once unless it is idempotent.

use super::endpoint::{ControllerIdentity, Response};
use super::job::SubmittedJob;
use super::json::field;
use super::{RECONNECT_BACKOFF, Session};
use crate::connection::{CALL_TIMEOUT, CallError};
use crate::{Error, JobTemplate};
use peppercove_protocol::native;
use serde_json::{Value, json};
use std::time::Instant;

/// A call that submits a job or a bulk of jobs.
pub(super) struct Submission<'a> {
    pub(super) method: &'a str,
    pub(super) params: Value,
    /// Submission key of the job, or of the first job of a bulk.
    pub(super) key: &'a str,
    pub(super) template: &'a JobTemplate,
}

/// The response to an accepted submission, and the endpoint that sent it.
pub(super) struct AcceptedSubmission {
    pub(super) response: Response,
    pub(super) endpoint: usize,
}

impl Session {
    /// `drmaa_run_job`.
    ///
    /// # Errors
    /// The error that the controller returns for the template; `TryLater` with a retry delay if the controller is full;
    /// `DrmCommunicationFailure` if no controller can be reached, or if the response was lost and the job must not run
    /// twice.
    pub fn run_job(&self, template: &JobTemplate) -> Result<String, Error> {
        let key = self.next_key();
        let accepted = self.submit_one(&key, template)?;
        let id: String = field(&accepted.response.value, "jobId")?;
        self.record_job(&id, &accepted, &key, template);
        Ok(id)
    }

    /// `drmaa_run_bulk_jobs`: one job for each of `start`, `start + incr`, … up to `end`.
    ///
    /// # Errors
    /// As [`Session::run_job`]. Either all jobs are accepted or none.
    pub fn run_bulk_jobs(
        &self,
        template: &JobTemplate,
        start: i64,
        end: i64,
        incr: i64,
    ) -> Result<Vec<String>, Error> {
        let key = self.next_key();
        let accepted = self.submit(&Submission {
            method: "runBulkJobs",
            params: json!({
                "jobTemplate": template,
                "submissionKey": key,
                "start": start,
                "end": end,
                "incr": incr,
            }),
            key: &bulk_key(&key, start),
            template,
        })?;
        let ids: Vec<String> = field(&accepted.response.value, "jobIds")?;
        for (position, id) in ids.iter().enumerate() {
            let index = start + position as i64 * incr;
            self.record_job(id, &accepted, &bulk_key(&key, index), template);
        }
        Ok(ids)
    }

    /// Submits a single job under a key.
    pub(super) fn submit_one(
        &self,
        key: &str,
        template: &JobTemplate,
    ) -> Result<AcceptedSubmission, Error> {
        self.submit(&Submission {
            method: "runJob",
            params: json!({ "jobTemplate": template, "submissionKey": key }),
            key,
            template,
        })
    }

    fn next_key(&self) -> String {
        let mut state = self.lock();
        state.submissions += 1;
        format!("{}-{}", state.submissions, fastrand::u32(..))
    }

    fn record_job(
        &self,
        id: &str,
        accepted: &AcceptedSubmission,
        key: &str,
        template: &JobTemplate,
    ) {
        let job = SubmittedJob {
            endpoint: accepted.endpoint,
            id: id.into(),
            incarnation: accepted.response.incarnation,
            key: key.into(),
            template: template.clone(),
        };
        self.lock().jobs.insert(id.into(), job);
    }

    /// Submits at the current endpoint, and then at the others in order as long as that cannot run a job twice.
    fn submit(&self, submission: &Submission<'_>) -> Result<AcceptedSubmission, Error> {
        let (first, count) = {
            let state = self.lock();
            (state.current, state.endpoints.len())
        };
        let mut failures = Vec::new();
        for offset in 0..count {
            let endpoint = (first + offset) % count;
            let Submission { method, params, .. } = submission;
            match self.call_at(endpoint, method, params, CALL_TIMEOUT) {
                Ok(response) => {
                    self.lock().current = endpoint;
                    return Ok(AcceptedSubmission { response, endpoint });
                }
                Err(CallError::ErrorResponse(error)) => return Err(error),
                Err(CallError::NotSent(reason)) => failures.push(reason),
                Err(CallError::Ambiguous(reason)) => {
                    if let Some(response) = self.resolve_ambiguous(endpoint, submission)? {
                        return Ok(AcceptedSubmission { response, endpoint });
                    }
                    // Invariant: a job that may have been accepted is not submitted to another controller, which would
                    // treat it as a new job, unless it is idempotent.
                    if !self.is_idempotent(submission.template) {
                        let message = format!(
                            "the outcome is unknown; the job may have been submitted: {reason}"
                        );
                        return Err(Error::communication_failure(message));
                    }
                    failures.push(reason);
                }
            }
        }
        Err(Error::communication_failure(failures.join("; ")))
    }

    /// Retries a submission whose response was lost, under the same key. The same incarnation of the controller returns
    /// the same job; a later incarnation knows the job only if a node runs it. `None` if the outcome stays ambiguous.
    fn resolve_ambiguous(
        &self,
        endpoint: usize,
        submission: &Submission<'_>,
    ) -> Result<Option<Response>, Error> {
        let controller = self.lock().endpoints[endpoint].controller.clone();
        let give_up_at = Instant::now() + self.ambiguous_retry_delay();
        loop {
            let (is_same, retried) = match self.is_same_incarnation(endpoint, controller.as_ref()) {
                Ok(true) => {
                    let Submission { method, params, .. } = submission;
                    (true, self.call_at(endpoint, method, params, CALL_TIMEOUT))
                }
                Ok(false) => {
                    // A restarted controller finds a bulk by the key of its first job only; the other jobs have keys
                    // of their own.
                    let find = json!({ "submissionKey": submission.key });
                    (
                        false,
                        self.call_at(endpoint, "findJob", &find, CALL_TIMEOUT),
                    )
                }
                Err(error) => (false, Err(error)),
            };
            match retried {
                Ok(response) => return Ok(Some(response)),
                Err(CallError::ErrorResponse(error)) if is_same => return Err(error),
                Err(_) if Instant::now() >= give_up_at => return Ok(None),
                Err(_) => std::thread::sleep(RECONNECT_BACKOFF),
            }
        }
    }

    /// Returns whether the controller at an endpoint is still the given incarnation.
    fn is_same_incarnation(
        &self,
        endpoint: usize,
        controller: Option<&ControllerIdentity>,
    ) -> Result<bool, CallError> {
        let connection = self.connect(endpoint)?;
        let incarnation = connection.info().incarnation;
        self.release_connection(endpoint, connection);
        Ok(controller.is_some_and(|controller| controller.incarnation == incarnation))
    }

    /// Returns whether jobs of a template may run twice.
    pub(super) fn is_idempotent(&self, template: &JobTemplate) -> bool {
        let state = self.lock();
        let specification = template
            .get("drmaa_native_specification")
            .unwrap_or_default();
        let class = native::parse(specification)
            .ok()
            .and_then(|specification| specification.class);
        let category = template
            .get("drmaa_job_category")
            .unwrap_or(&state.default_category);
        let category = state.categories.get(class.as_deref().unwrap_or(category));
        category.is_some_and(|category| category.is_idempotent)
    }
}

/// Returns the submission key of a job of a bulk.
fn bulk_key(key: &str, index: i64) -> String {
    format!("{key}#{index}")
}
