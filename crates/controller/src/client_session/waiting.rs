//! `wait`, `outcome` and `synchronize`, which may wait before they respond.

use super::responses::to_json;
use super::sessions::own_job;
use crate::server::Server;
use peppercove_core::{Input, JobId};
use peppercove_protocol::drmaa::{ALL_JOBS, ANY_JOB, Errno};
use peppercove_protocol::rpc::{RpcError, Synchronize, Wait};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The time until which a call waits; `None` means without limit.
#[derive(Clone, Copy)]
struct Deadline(Option<Instant>);

impl Deadline {
    fn after_millis(timeout_ms: Option<u64>) -> Deadline {
        let add = |ms| Instant::now().checked_add(Duration::from_millis(ms));
        Deadline(timeout_ms.and_then(add))
    }

    /// Waits for a notification, unless `is_done` is already true.
    async fn wait_for(self, change: &Notify, is_done: impl Fn() -> bool) -> Result<(), RpcError> {
        let mut notified = std::pin::pin!(change.notified());
        // Race: a notification between the check and the wait would be lost, so the waiter is registered first.
        notified.as_mut().enable();
        if is_done() {
            return Ok(());
        }
        match self.0 {
            Some(deadline) => timeout_at(deadline, notified)
                .await
                .map_err(|_| timed_out()),
            None => {
                notified.await;
                Ok(())
            }
        }
    }
}

fn timed_out() -> RpcError {
    RpcError::drmaa(Errno::ExitTimeout, "timed out")
}

fn no_job(message: &str) -> RpcError {
    RpcError::drmaa(Errno::InvalidJob, message)
}

/// `wait`: waits until a job, or any job of the session, has finished, and returns how it ended.
pub(super) async fn wait(server: &Server, session: &str, params: &Wait) -> Result<Value, RpcError> {
    let deadline = Deadline::after_millis(params.timeout_ms);
    if params.job_id == ANY_JOB {
        return wait_for_any(server, session, deadline).await;
    }
    let job = own_job(server, session, &params.job_id)?;
    wait_until_finished(server, job, deadline).await?;
    reap(server, job)
}

async fn wait_for_any(
    server: &Server,
    session: &str,
    deadline: Deadline,
) -> Result<Value, RpcError> {
    loop {
        let change = server.clients.borrow_mut().session_change(session);
        if let Some(job) = finished_job(server, session) {
            return reap(server, job);
        }
        let has_jobs = server
            .core
            .borrow()
            .jobs()
            .of_session(session)
            .next()
            .is_some();
        if !has_jobs {
            return Err(no_job("no jobs in this session"));
        }
        let is_done = || finished_job(server, session).is_some();
        deadline.wait_for(&change, is_done).await?;
    }
}

fn finished_job(server: &Server, session: &str) -> Option<JobId> {
    let core = server.core.borrow();
    let mut jobs = core.jobs().of_session(session);
    jobs.find(|job| job.state.is_final()).map(|job| job.id)
}

/// Returns the description of a finished job and removes the job: its result can be retrieved only once.
fn reap(server: &Server, job: JobId) -> Result<Value, RpcError> {
    let info = server
        .core
        .borrow()
        .jobs()
        .get(job)
        .map(|job| server.job_info(job));
    server.handle(Input::Dispose(job));
    to_json(info.ok_or_else(|| no_job("the job was already reaped by another call"))?)
}

async fn wait_until_finished(
    server: &Server,
    job: JobId,
    deadline: Deadline,
) -> Result<(), RpcError> {
    // A missing job has been reaped, so it had finished.
    let is_finished = || {
        server
            .core
            .borrow()
            .jobs()
            .get(job)
            .is_none_or(|job| job.state.is_final())
    };
    while !is_finished() {
        let change = server.clients.borrow_mut().job_change(job);
        deadline.wait_for(&change, is_finished).await?;
    }
    Ok(())
}

/// `outcome`: waits until the placement request of a job is answered, and returns the answer.
pub(super) async fn outcome(
    server: &Server,
    session: &str,
    params: &Wait,
) -> Result<Value, RpcError> {
    let job = own_job(server, session, &params.job_id)?;
    let deadline = Deadline::after_millis(params.timeout_ms);
    let is_pending = || {
        server
            .core
            .borrow()
            .jobs()
            .get(job)
            .is_some_and(|job| job.answer.is_none())
    };
    while is_pending() {
        let change = server.clients.borrow_mut().job_change(job);
        deadline.wait_for(&change, || !is_pending()).await?;
    }
    let core = server.core.borrow();
    let answered = core
        .jobs()
        .get(job)
        .and_then(|job| Some((job, job.answer?)));
    let (job, answer) = answered.ok_or_else(|| no_job("the job was removed in the meantime"))?;
    to_json(server.placement_result(job, answer))
}

/// `synchronize`: waits until all given jobs have finished, and removes them if `dispose` is set.
pub(super) async fn synchronize(
    server: &Server,
    session: &str,
    params: &Synchronize,
) -> Result<Value, RpcError> {
    let deadline = Deadline::after_millis(params.timeout_ms);
    let jobs: Vec<JobId> = if params.job_ids.iter().any(|job_id| job_id == ALL_JOBS) {
        server
            .core
            .borrow()
            .jobs()
            .of_session(session)
            .map(|job| job.id)
            .collect()
    } else {
        let own_jobs = params
            .job_ids
            .iter()
            .map(|job_id| own_job(server, session, job_id));
        own_jobs.collect::<Result<_, _>>()?
    };
    for job in &jobs {
        wait_until_finished(server, *job, deadline).await?;
    }
    if params.dispose {
        for job in jobs {
            server.handle(Input::Dispose(job));
        }
    }
    Ok(json!({}))
}
