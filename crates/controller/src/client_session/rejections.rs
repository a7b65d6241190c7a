//! Converts rejections of the core into metric labels and RPC errors.

use super::control::program_state;
use super::responses::try_later;
use crate::server::Server;
use peppercove_core::{Control, Rejection};
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::RpcError;
use std::time::Duration;

/// Returns the metric label of a rejected submission.
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

/// Returns the RPC error for a rejected submission, or for a rejected `control` call.
pub(super) fn to_error(
    server: &Server,
    rejection: Rejection,
    control: Option<Control>,
) -> RpcError {
    let retry = |micros, message| try_later(Duration::from_micros(micros), message);
    let denied = |message: &str| RpcError::drmaa(Errno::DeniedByDrm, message);
    match rejection {
        Rejection::LimitReached(after) => retry(after, "a limit is reached"),
        Rejection::ShuttingDown(after) => retry(after, "the controller is shutting down"),
        Rejection::OutcomeAmbiguous(after) => {
            retry(after, "an earlier attempt of the task may still be running")
        }
        Rejection::AlreadyRan => {
            denied("the task has run, or may have run, and must not be started again")
        }
        Rejection::RequestedElsewhere => denied(
            "the task was submitted to another controller before, which may have started it: query that controller",
        ),
        Rejection::OutcomeUnknown => denied(
            "the task was submitted before this controller started, and without a journal its outcome is unknown",
        ),
        Rejection::TaskInUse(job) => {
            let job = server.job_id(job);
            denied(&format!(
                "the task belongs to job {job}, which has not finished"
            ))
        }
        Rejection::NoSuchJob => RpcError::drmaa(Errno::InvalidJob, "no such job"),
        Rejection::InvalidState(state) => {
            let state = program_state(state).name();
            RpcError::drmaa(
                invalid_state_errno(control),
                format!("the job is in state {state}"),
            )
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
