//! Submitting jobs, once each.

use super::endpoint::{Answer, ControllerIdentity};
use super::job::SubmittedJob;
use super::json::field;
use super::{RECONNECT_BACKOFF, Session};
use crate::connection::{CALL_TIMEOUT, CallError};
use crate::{Error, JobTemplate};
use peppercove_protocol::native;
use serde_json::{Value, json};
use std::time::Instant;

/// A call that submits jobs.
pub(super) struct Submission<'a> {
    pub(super) method: &'a str,
    pub(super) params: Value,
    /// Submission key of the job, of the first one for a bulk.
    pub(super) key: &'a str,
    pub(super) template: &'a JobTemplate,
}

/// The answer to a submission, and the endpoint that gave it.
pub(super) struct Accepted {
    pub(super) answer: Answer,
    pub(super) endpoint: usize,
}

impl Session {
    /// `drmaa_run_job`.
    ///
    /// # Errors
    /// What the controller says of the template; `TryLater` with the time where it is full; where its answer was
    /// lost and the job must not run twice, `DrmCommunicationFailure`.
    pub fn run_job(&self, template: &JobTemplate) -> Result<String, Error> {
        let key = self.next_key();
        let accepted = self.submit_one(&key, template)?;
        let id: String = field(&accepted.answer.value, "jobId")?;
        self.remember(&id, &accepted, &key, template);
        Ok(id)
    }

    /// `drmaa_run_bulk_jobs`: one job for each of `start`, `start + incr`, … up to `end`.
    ///
    /// # Errors
    /// As [`Session::run_job`]; all jobs are accepted, or none.
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
        let ids: Vec<String> = field(&accepted.answer.value, "jobIds")?;
        for (position, id) in ids.iter().enumerate() {
            let index = start + position as i64 * incr;
            self.remember(id, &accepted, &bulk_key(&key, index), template);
        }
        Ok(ids)
    }

    /// Submits one job under a key.
    pub(super) fn submit_one(&self, key: &str, template: &JobTemplate) -> Result<Accepted, Error> {
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

    fn remember(&self, id: &str, accepted: &Accepted, key: &str, template: &JobTemplate) {
        let job = SubmittedJob {
            endpoint: accepted.endpoint,
            id: id.into(),
            incarnation: accepted.answer.incarnation,
            key: key.into(),
            template: template.clone(),
        };
        self.lock().jobs.insert(id.into(), job);
    }

    /// Submits at the current endpoint, and at the others in turn while that cannot start a job twice.
    fn submit(&self, submission: &Submission<'_>) -> Result<Accepted, Error> {
        let (first, count) = {
            let state = self.lock();
            (state.current, state.endpoints.len())
        };
        let mut failures = Vec::new();
        for offset in 0..count {
            let endpoint = (first + offset) % count;
            let Submission { method, params, .. } = submission;
            match self.call_at(endpoint, method, params, CALL_TIMEOUT) {
                Ok(answer) => {
                    self.lock().current = endpoint;
                    return Ok(Accepted { answer, endpoint });
                }
                Err(CallError::Answered(error)) => return Err(error),
                Err(CallError::NotSent(what)) => failures.push(what),
                Err(CallError::Ambiguous(what)) => {
                    if let Some(answer) = self.resolve_ambiguous(endpoint, submission)? {
                        return Ok(Accepted { answer, endpoint });
                    }
                    // Invariant: a job that may have been accepted is not submitted elsewhere, where it would be
                    // another job, unless it is idempotent.
                    if !self.is_idempotent(submission.template) {
                        let message = format!("the job may have been submitted: {what}");
                        return Err(Error::communication_failure(message));
                    }
                    failures.push(what);
                }
            }
        }
        Err(Error::communication_failure(failures.join("; ")))
    }

    /// Retries a submission whose answer was lost, under its key. The same incarnation of the controller returns the
    /// same job; another one knows the job only if a node runs it. `None` where the outcome stays ambiguous.
    fn resolve_ambiguous(
        &self,
        endpoint: usize,
        submission: &Submission<'_>,
    ) -> Result<Option<Answer>, Error> {
        let controller = self.lock().endpoints[endpoint].controller.clone();
        let give_up_at = Instant::now() + self.ambiguous_retry_delay();
        loop {
            let (is_same, retried) = match self.is_same_incarnation(endpoint, controller.as_ref()) {
                Ok(true) => {
                    let Submission { method, params, .. } = submission;
                    (true, self.call_at(endpoint, method, params, CALL_TIMEOUT))
                }
                Ok(false) => {
                    // A restarted controller finds a bulk job by its first index only; its others follow by key.
                    let find = json!({ "submissionKey": submission.key });
                    (
                        false,
                        self.call_at(endpoint, "findJob", &find, CALL_TIMEOUT),
                    )
                }
                Err(error) => (false, Err(error)),
            };
            match retried {
                Ok(answer) => return Ok(Some(answer)),
                Err(CallError::Answered(error)) if is_same => return Err(error),
                Err(_) if Instant::now() >= give_up_at => return Ok(None),
                Err(_) => std::thread::sleep(RECONNECT_BACKOFF),
            }
        }
    }

    /// The controller at an endpoint is still the incarnation that is given.
    fn is_same_incarnation(
        &self,
        endpoint: usize,
        controller: Option<&ControllerIdentity>,
    ) -> Result<bool, CallError> {
        let connection = self.connect(endpoint)?;
        let incarnation = connection.info().incarnation;
        self.give_back(endpoint, connection);
        Ok(controller.is_some_and(|controller| controller.incarnation == incarnation))
    }

    /// A second start of such a job does no harm.
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

/// Submission key of one job of a bulk.
fn bulk_key(key: &str, index: i64) -> String {
    format!("{key}#{index}")
}
