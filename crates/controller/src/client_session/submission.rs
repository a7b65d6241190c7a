//! `runJob`, `runBulkJobs` and `findJob`.

use super::rejections;
use super::responses::try_later;
use crate::job_template::{PreparedJob, prepare_submission};
use crate::server::Server;
use peppercove_core::{Control, JobId};
use peppercove_metrics as names;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{FindJob, JobTemplate, RpcError, RunBulkJobs, RunJob};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// `runJob`: submits a job.
pub(super) fn run_job(
    server: &Rc<Server>,
    session: &str,
    params: &RunJob,
) -> Result<Value, RpcError> {
    let key = &params.submission_key;
    let job = submit(server, session, key, &params.job_template, None)?;
    Ok(json!({ "jobId": server.job_id(job) }))
}

/// `findJob`: returns the job that the session submitted with a submission key.
pub(super) fn find_job(
    server: &Server,
    session: &str,
    params: &FindJob,
) -> Result<Value, RpcError> {
    let job = server
        .core
        .borrow()
        .jobs()
        .by_key(session, &params.submission_key);
    let job = job.ok_or_else(|| {
        let message = "no job of this session was submitted with this key";
        RpcError::drmaa(Errno::InvalidJob, message)
    })?;
    Ok(json!({ "jobId": server.job_id(job) }))
}

/// Submits a job. `index` is the job's index in a bulk submission.
fn submit(
    server: &Rc<Server>,
    session: &str,
    key: &str,
    template: &JobTemplate,
    index: Option<i64>,
) -> Result<JobId, RpcError> {
    // A submission with the same key returns the same job, even if the template differs.
    if let Some(job) = server.core.borrow().jobs().by_key(session, key) {
        return Ok(job);
    }
    let prepared = prepare_submission(&server.config, session, key, template, index);
    let PreparedJob {
        submission,
        start_at,
    } = prepared.inspect_err(|_| count_rejection(server, "invalid"))?;
    let class = submission.class;
    match server.submit(submission) {
        Some(Ok(job)) => {
            server
                .metrics
                .add(names::SUBMISSIONS, &[server.class_name(class)], 1.0);
            if let Some(start_at) = start_at {
                release_at(server, job, start_at);
            }
            Ok(job)
        }
        Some(Err(rejection)) => {
            count_rejection(server, rejections::metric_label(rejection));
            Err(rejections::to_error(server, rejection, None))
        }
        None => {
            let message = "the core gave no reply to the submission";
            Err(RpcError::drmaa(Errno::InternalError, message))
        }
    }
}

fn count_rejection(server: &Server, label: &str) {
    server
        .metrics
        .add(names::SUBMISSIONS_REJECTED, &[label], 1.0);
}

/// Implements `drmaa_start_time`: releases a held job at `start_at`, in seconds since 1970.
fn release_at(server: &Rc<Server>, job: JobId, start_at: i64) {
    let now = i64::try_from(server.clock.now() / 1_000_000).unwrap_or(i64::MAX);
    let delay = Duration::from_secs(u64::try_from(start_at - now).unwrap_or(0));
    let server = Rc::downgrade(server);
    spawn_local(async move {
        tokio::time::sleep(delay).await;
        if let Some(server) = server.upgrade() {
            // Rejected if the job has ended or its client has released it in the meantime.
            let _ = server.control(job, Control::Release);
        }
    });
}

/// `runBulkJobs`: submits one job for each index. If one of them is rejected, those already submitted are terminated.
pub(super) fn run_bulk(
    server: &Rc<Server>,
    session: &str,
    params: &RunBulkJobs,
) -> Result<Value, RpcError> {
    let count = bulk_count(server, params)?;
    let limits = &server.config.limits;
    if !server.core.borrow().has_capacity(session, count as usize) {
        return Err(try_later(limits.retry_after, "a limit is reached"));
    }
    let mut jobs = Vec::new();
    for i in 0..count as i64 {
        let index = params.start + i * params.incr;
        let key = format!("{}#{index}", params.submission_key);
        match submit(server, session, &key, &params.job_template, Some(index)) {
            Ok(job) => jobs.push(job),
            Err(error) => {
                terminate_all(server, jobs);
                return Err(error);
            }
        }
    }
    let job_ids: Vec<String> = jobs.into_iter().map(|job| server.job_id(job)).collect();
    Ok(json!({ "jobIds": job_ids }))
}

fn terminate_all(server: &Server, jobs: Vec<JobId>) {
    for job in jobs {
        // Rejected if the job has ended in the meantime.
        let _ = server.control(job, Control::Terminate);
    }
}

/// Returns the number of indices from `start` to `end` in steps of `incr`.
fn bulk_count(server: &Server, params: &RunBulkJobs) -> Result<u64, RpcError> {
    let RunBulkJobs {
        start, end, incr, ..
    } = *params;
    let invalid = |message: String| Err(RpcError::drmaa(Errno::InvalidArgument, message));
    let is_wrong_direction = (incr > 0) != (start <= end) && start != end;
    if start < 1 || incr == 0 || is_wrong_direction || end < 1 {
        return invalid(format!(
            "start {start}, end {end} and incr {incr} do not form a valid range"
        ));
    }
    let count = ((end - start) / incr + 1).unsigned_abs();
    let limit = server.config.limits.bulk_jobs;
    if count > limit as u64 {
        return invalid(format!(
            "{count} jobs exceed the limit of {limit} in one bulk submission"
        ));
    }
    Ok(count)
}
