//! `control` and `jobPs`.

use super::rejections;
use super::sessions::own_job;
use crate::server::Server;
use peppercove_core::{Control, JobId, JobState};
use peppercove_protocol::drmaa::{ALL_JOBS, ControlAction, Errno, ProgramState};
use peppercove_protocol::rpc::{ControlJob, JobRef, RpcError};
use serde_json::{Value, json};

/// `control`: applies an action to one job, or to all unfinished jobs of the session. If several fail, the first error
/// is returned.
pub(super) fn control(
    server: &Server,
    session: &str,
    params: &ControlJob,
) -> Result<Value, RpcError> {
    let control = parse_control(&params.action)?;
    let jobs: Vec<JobId> = if params.job_id == ALL_JOBS {
        let core = server.core.borrow();
        let unfinished = core
            .jobs()
            .of_session(session)
            .filter(|job| !job.state.is_final());
        unfinished.map(|job| job.id).collect()
    } else {
        vec![own_job(server, session, &params.job_id)?]
    };
    let mut first_error = None;
    for job in jobs {
        if let Err(rejection) = server.control(job, control) {
            let error = || rejections::to_error(server, rejection, Some(control));
            first_error.get_or_insert_with(error);
        }
    }
    first_error.map_or(Ok(json!({})), Err)
}

fn parse_control(name: &str) -> Result<Control, RpcError> {
    let action = ControlAction::from_name(name).ok_or_else(|| {
        RpcError::drmaa(Errno::InvalidArgument, format!("unknown action '{name}'"))
    })?;
    Ok(match action {
        ControlAction::Suspend => Control::Suspend,
        ControlAction::Resume => Control::Resume,
        ControlAction::Hold => Control::Hold,
        ControlAction::Release => Control::Release,
        ControlAction::Terminate => Control::Terminate,
    })
}

/// `jobPs`: returns the state of a job.
pub(super) fn job_state(
    server: &Server,
    session: &str,
    params: &JobRef,
) -> Result<Value, RpcError> {
    let job = own_job(server, session, &params.job_id)?;
    let core = server.core.borrow();
    let job = core.jobs().get(job);
    let state = job.map_or(ProgramState::Undetermined, |job| program_state(job.state));
    Ok(json!({ "state": state.number(), "name": state.name() }))
}

/// Returns the DRMAA program state that corresponds to a job state.
pub(super) fn program_state(state: JobState) -> ProgramState {
    match state {
        JobState::OnHold => ProgramState::UserOnHold,
        JobState::Queued => ProgramState::QueuedActive,
        JobState::Running => ProgramState::Running,
        JobState::Suspended => ProgramState::UserSuspended,
        JobState::Done => ProgramState::Done,
        JobState::Failed => ProgramState::Failed,
    }
}
