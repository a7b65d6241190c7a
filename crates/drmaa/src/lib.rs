//! DRMAA 1.0 as a Rust client: the operations of the specification (GFD.133) over JSON-RPC to one or several
//! controllers.
//!
//! Calls block; any number of threads may call at once, each call has a connection of its own. A job is submitted
//! under a key that the client makes, so that a call whose answer was lost can be made again: the same controller
//! gives the same job. Another controller is asked only while nothing was sent, or for a job that does no harm twice.

mod connection;
mod session;

pub use peppercove_protocol::drmaa::{ALL_JOBS, ANY_JOB, ControlAction, Errno, ProgramState};
pub use peppercove_protocol::rpc::{JobInfo, JobTemplate, PlacementOutcome, PlacementResult};
pub use session::{Session, wanted_attributes, wanted_vectors};

use std::time::Duration;

/// Version of the specification: major and minor.
pub const VERSION: (u32, u32) = (1, 0);

/// An error of DRMAA.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {message}", errno.name())]
pub struct Error {
    /// Which.
    pub errno: Errno,
    /// What happened.
    pub message: String,
    /// Come again after this long, where the controller says so.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// An error with its message.
    pub fn new(errno: Errno, message: impl Into<String>) -> Error {
        Error {
            errno,
            message: message.into(),
            retry_after: None,
        }
    }
}
