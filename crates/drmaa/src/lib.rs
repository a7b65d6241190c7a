//! DRMAA 1.0 as a Rust client: the operations of the specification (GFD.133) over JSON-RPC to one or several
//! controllers.
//!
//! Calls block; any number of threads may call at once, and each call has a connection of its own. A job is submitted
//! under an idempotency key that the client makes, so that a call whose answer was lost can be retried: the same
//! controller returns the same job. Another controller is tried only while nothing was sent, or for an idempotent job.

mod connection;
mod deadline;
mod error;
mod session;

pub use error::Error;
pub use peppercove_protocol::drmaa::{ALL_JOBS, ANY_JOB, ControlAction, Errno, ProgramState};
pub use peppercove_protocol::rpc::{JobInfo, JobTemplate, PlacementOutcome, PlacementResult};
pub use session::Session;

use peppercove_protocol::drmaa::{SCALAR_ATTRIBUTES, VECTOR_ATTRIBUTES};

/// Version of the specification: major and minor.
pub const VERSION: (u32, u32) = (1, 0);

/// Names of the scalar attributes that a job template may have (`drmaa_get_attribute_names`).
pub fn attribute_names() -> &'static [&'static str] {
    SCALAR_ATTRIBUTES
}

/// Names of the vector attributes (`drmaa_get_vector_attribute_names`).
pub fn vector_attribute_names() -> &'static [&'static str] {
    VECTOR_ATTRIBUTES
}
