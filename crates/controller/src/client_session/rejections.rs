//! Rejections of the core as clients see them.

use super::control::program_state;
use super::responses::try_later;
use crate::server::Server;
use peppercove_core::{Control, Rejection};
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::RpcError;
use std::time::Duration;

/// The label of a rejected submission in the metrics.
pub(super) fn metric_label(rejection: Rejection) -> &'static str {
    match rejection {
        Rejection::LimitReached(_) => "full",
        Rejection::ShuttingDown(_) => "stopping",
        Rejection::OutcomeAmbiguous(_) => "in-doubt",
        Rejection::AlreadyRan => "ran-already",
        Rejection::OutcomeUnknown => "not-known",
        Rejection::RequestedElsewhere => "asked-elsewhere",
        Rejection::TaskInUse(_) => "task-taken",
        Rejection::NoSuchJob => "no-such-job",
        Rejection::InvalidState(_) => "wrong-state",
    }
}

/// The error for a rejected submission, or for a rejected `control` of a job.
pub(super) fn to_error(
    server: &Server,
    rejection: Rejection,
    control: Option<Control>,
) -> RpcError {
    let retry = |micros, message| try_later(Duration::from_micros(micros), message);
    let denied = |message: &str| RpcError::drmaa(Errno::DeniedByDrm, message);
    match rejection {
        Rejection::LimitReached(after) => retry(after, "a bound is met"),
        Rejection::ShuttingDown(after) => retry(after, "the controller stops"),
        Rejection::OutcomeAmbiguous(after) => {
            retry(after, "an earlier attempt of the task may run")
        }
        Rejection::AlreadyRan => {
            denied("the task ran, or may have run, and must not be started twice")
        }
        Rejection::RequestedElsewhere => denied(
            "another controller was asked for the task before and may have started it: ask that one",
        ),
        Rejection::OutcomeUnknown => denied(
            "the task was asked for before this controller started, which keeps no journal of what it sends",
        ),
        Rejection::TaskInUse(job) => {
            let job = server.job_id(job);
            denied(&format!(
                "the task is that of job {job}, which is not finished"
            ))
        }
        Rejection::NoSuchJob => RpcError::drmaa(Errno::InvalidJob, "there is no such job"),
        Rejection::InvalidState(state) => {
            let state = program_state(state).name();
            RpcError::drmaa(invalid_state_errno(control), format!("the job is {state}"))
        }
    }
}

fn invalid_state_errno(control: Option<Control>) -> Errno {
    match control {
        Some(Control::Suspend) => Errno::SuspendInconsistentState,
        Some(Control::Resume) => Errno::ResumeInconsistentState,
        Some(Control::Hold) => Errno::HoldInconsistentState,
        Some(Control::Release) => Errno::ReleaseInconsistentState,
        Some(Control::Terminate) | None => Errno::InvalidJob,
    }
}
