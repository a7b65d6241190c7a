//! The error type of all operations.

use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::RpcError;
use std::time::Duration;

/// An error of a DRMAA operation.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}: {message}", errno.name())]
pub struct Error {
    /// The error number of the specification.
    pub errno: Errno,
    /// A description of what failed.
    pub message: String,
    /// Delay after which a retry may succeed, if the controller sent one.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error without a retry delay.
    pub fn new(errno: Errno, message: impl Into<String>) -> Error {
        Error {
            errno,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates the error for controllers that cannot be reached or whose response was lost.
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
