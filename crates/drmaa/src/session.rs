//! DRMAA sessions.
//!
//! [`endpoint`] manages the connections to the controllers of a session, [`submission`] submits jobs, [`job`] makes
//! calls about a job and relocates it after a restart of its controller, [`waiting`] waits for jobs.

mod endpoint;
mod job;
mod json;
mod submission;
mod waiting;

use crate::Error;
use crate::connection::CallError;
use endpoint::{Endpoint, parse_contact};
use job::SubmittedJob;
use peppercove_protocol::rpc::Category;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Backoff between two attempts to reach a controller.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);
/// Timeout of `exit`, whose result is ignored.
const EXIT_TIMEOUT: Duration = Duration::from_secs(1);

/// A DRMAA session, open from `drmaa_init` until `drmaa_exit`.
pub struct Session {
    contact: String,
    name: String,
    state: Mutex<SessionState>,
}

/// The state of a session, shared by all threads.
#[derive(Default)]
struct SessionState {
    endpoints: Vec<Endpoint>,
    /// Index of the endpoint to which the next job is submitted.
    current: usize,
    /// Jobs by the id that was returned to the caller.
    jobs: BTreeMap<String, SubmittedJob>,
    categories: BTreeMap<String, Category>,
    default_category: String,
    drm_system: String,
    implementation: String,
    /// Number of submissions, from which their keys are generated.
    submissions: u64,
}

impl Session {
    /// `drmaa_init`: opens a session at the first controller of the contact that responds.
    ///
    /// The contact consists of one or more `host:port`, separated by commas.
    ///
    /// # Errors
    /// `InvalidContactString` if the contact is empty or one of its addresses is invalid, `DrmCommunicationFailure` if
    /// no controller responds.
    pub fn init(contact: &str) -> Result<Session, Error> {
        let name = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
        Session::resume(contact, &name)
    }

    /// Opens a session with the name of an earlier one, to control its jobs and wait for them.
    ///
    /// # Errors
    /// As [`Session::init`].
    pub fn resume(contact: &str, name: &str) -> Result<Session, Error> {
        let endpoints = parse_contact(contact)?;
        let count = endpoints.len();
        let session = Session {
            contact: contact.into(),
            name: name.into(),
            state: Mutex::new(SessionState {
                endpoints,
                ..SessionState::default()
            }),
        };
        let mut failures = Vec::new();
        for endpoint in 0..count {
            match session.connect(endpoint) {
                Ok(connection) => {
                    session.lock().current = endpoint;
                    session.release_connection(endpoint, connection);
                    return Ok(session);
                }
                Err(CallError::ErrorResponse(error)) => return Err(error),
                Err(CallError::NotSent(reason) | CallError::Ambiguous(reason)) => {
                    failures.push(reason)
                }
            }
        }
        Err(Error::communication_failure(failures.join("; ")))
    }

    /// Returns the name of the session, which can be passed to [`Session::resume`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// `drmaa_get_contact`.
    pub fn contact(&self) -> &str {
        &self.contact
    }

    /// `drmaa_get_DRM_system`.
    pub fn drm_system(&self) -> String {
        self.lock().drm_system.clone()
    }

    /// `drmaa_get_DRMAA_implementation`.
    pub fn implementation(&self) -> String {
        self.lock().implementation.clone()
    }

    /// `drmaa_exit`: closes the session; its jobs continue to run.
    ///
    /// # Errors
    /// Currently none; the specification permits errors.
    pub fn exit(self) -> Result<(), Error> {
        for mut connection in self.lock().take_idle_connections() {
            // A controller that cannot be reached closes the session when the connection breaks.
            let _ = connection.call("exit", Value::Null, EXIT_TIMEOUT);
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        // Invariant: the state is valid after every statement, so it stays valid if another thread panics.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how long a job with an ambiguous outcome is searched for: the longest `settle_ms` of all categories.
    fn ambiguous_retry_delay(&self) -> Duration {
        let state = self.lock();
        let delays = state
            .categories
            .values()
            .map(|category| category.ambiguous_retry_delay_ms);
        Duration::from_millis(delays.max().unwrap_or(0))
    }
}
