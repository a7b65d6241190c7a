//! The error of every operation.

use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::RpcError;
use std::time::Duration;

/// An error of DRMAA.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {message}", errno.name())]
pub struct Error {
    /// Its number in the specification.
    pub errno: Errno,
    /// What happened.
    pub message: String,
    /// Retry-After, where the controller gives one.
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

    /// No controller can be reached, or the answer of one was lost.
    pub(crate) fn communication_failure(message: impl Into<String>) -> Error {
        Error::new(Errno::DrmCommunicationFailure, message)
    }
}

impl From<&RpcError> for Error {
    fn from(error: &RpcError) -> Error {
        let retry_after_ms = error.data.as_ref().and_then(|data| data.retry_after_ms);
        Error {
            errno: error.errno(),
            message: error.message.clone(),
            retry_after: retry_after_ms.map(Duration::from_millis),
        }
    }
}
