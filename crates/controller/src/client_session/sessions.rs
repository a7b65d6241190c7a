//! Opening and closing sessions, and looking up the jobs of a session.

use super::responses::{to_json, try_later};
use crate::server::Server;
use peppercove::Idempotency;
use peppercove_core::JobId;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{Category, Init, RpcError, SessionInfo};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Maximum length of a session name, in bytes.
const MAX_SESSION_BYTES: usize = 256;

/// `init`: adds the connection to the session with the given name, which is created if it does not exist.
pub(super) fn init(server: &Server, connection: u64, params: &Init) -> Result<Value, RpcError> {
    let session = &params.session;
    if session.is_empty() || session.len() > MAX_SESSION_BYTES || session.contains('\n') {
        let message = "session must be 1 to 256 bytes long, without line breaks";
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
    let ambiguous_retry_delay_ms = config.scheduler.ambiguous_retry_delay.div_ceil(1000);
    let classes = config.classes.iter().zip(&config.scheduler.classes);
    classes
        .map(|(name, class)| {
            let is_idempotent = class.idempotency == Idempotency::Idempotent;
            (
                name.clone(),
                Category {
                    is_idempotent,
                    ambiguous_retry_delay_ms,
                },
            )
        })
        .collect()
}

/// `exit`: removes the connection from its session.
pub(super) fn exit(server: &Server, connection: u64) -> Result<Value, RpcError> {
    session_of(server, connection)?;
    server.clients.borrow_mut().leave_session(connection);
    Ok(json!({}))
}

/// Returns the session of a connection, or an error if `init` has not been called.
pub(super) fn session_of(server: &Server, connection: u64) -> Result<String, RpcError> {
    let session = server.clients.borrow().session_of(connection);
    session.ok_or_else(|| RpcError::drmaa(Errno::NoActiveSession, "no session: call init first"))
}

/// Returns the session's job with this id.
pub(super) fn own_job(server: &Server, session: &str, job_id: &str) -> Result<JobId, RpcError> {
    let core = server.core.borrow();
    let job = server
        .parse_job_id(job_id)
        .and_then(|id| core.jobs().get(id));
    let own_job = job.filter(|job| job.submission.session == session);
    own_job.map(|job| job.id).ok_or_else(|| {
        let message = format!("no job '{job_id}' in this session");
        RpcError::drmaa(Errno::InvalidJob, message)
    })
}
