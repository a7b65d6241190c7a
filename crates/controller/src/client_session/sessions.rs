//! Sessions, and the jobs that a session may name.

use super::responses::{to_json, try_later};
use crate::server::Server;
use peppercove::Idempotency;
use peppercove_core::JobId;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{Category, Init, RpcError, SessionInfo};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Longest name of a session, in bytes.
const MAX_SESSION_BYTES: usize = 256;

/// `init`: puts the connection into a session, which it opens where there is none of that name.
pub(super) fn init(server: &Server, connection: u64, params: &Init) -> Result<Value, RpcError> {
    let session = &params.session;
    if session.is_empty() || session.len() > MAX_SESSION_BYTES || session.contains('\n') {
        let message = "session must hold 1 to 256 bytes on one line";
        return Err(RpcError::drmaa(Errno::InvalidArgument, message));
    }
    let limits = &server.config.limits;
    let mut clients = server.clients.borrow_mut();
    if !clients.has_session(session) && clients.sessions() >= limits.sessions {
        return Err(try_later(limits.retry_after, "too many sessions are open"));
    }
    clients.join_session(connection, session, params.notify);
    to_json(session_info(server))
}

fn session_info(server: &Server) -> SessionInfo {
    let config = &server.config;
    SessionInfo {
        controller: config.name.clone(),
        incarnation: server.incarnation,
        drm_system: "peppercove".into(),
        implementation: concat!("peppercove ", env!("CARGO_PKG_VERSION")).into(),
        default_category: config.classes[usize::from(config.default_class)].clone(),
        categories: categories(server),
    }
}

fn categories(server: &Server) -> BTreeMap<String, Category> {
    let config = &server.config;
    let settle_ms = config.scheduler.ambiguous_retry_delay.div_ceil(1000);
    let classes = config.classes.iter().zip(&config.scheduler.classes);
    classes
        .map(|(name, class)| {
            let is_idempotent = class.idempotency == Idempotency::Idempotent;
            (
                name.clone(),
                Category {
                    is_idempotent,
                    settle_ms,
                },
            )
        })
        .collect()
}

/// `exit`: takes the connection out of its session.
pub(super) fn exit(server: &Server, connection: u64) -> Result<Value, RpcError> {
    session_of(server, connection)?;
    server.clients.borrow_mut().leave_session(connection);
    Ok(json!({}))
}

/// The session of a connection.
pub(super) fn session_of(server: &Server, connection: u64) -> Result<String, RpcError> {
    let session = server.clients.borrow().session_of(connection);
    session.ok_or_else(|| RpcError::drmaa(Errno::NoActiveSession, "init comes first"))
}

/// The job of the session with this id.
pub(super) fn own_job(server: &Server, session: &str, job_id: &str) -> Result<JobId, RpcError> {
    let core = server.core.borrow();
    let job = server
        .parse_job_id(job_id)
        .and_then(|id| core.jobs().get(id));
    let own_job = job.filter(|job| job.submission.session == session);
    own_job.map(|job| job.id).ok_or_else(|| {
        let message = format!("there is no job '{job_id}' in this session");
        RpcError::drmaa(Errno::InvalidJob, message)
    })
}
