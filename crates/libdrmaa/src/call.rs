//! Error handling common to all functions of the library.

use crate::pointers::write_truncated;
use peppercove_drmaa::{Errno, Error};
use std::ffi::{c_char, c_int};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Result of a call before it is converted to an error number.
pub(crate) type CallResult = Result<(), Error>;

/// Creates the error for an invalid argument.
pub(crate) fn invalid_argument(message: &str) -> Error {
    Error::new(Errno::InvalidArgument, message)
}

/// Runs a call. On an error, writes the message to the caller's `diagnosis` buffer and returns the error number. A
/// panic is reported as an internal error.
pub(crate) unsafe fn call(
    diagnosis: *mut c_char,
    length: usize,
    f: impl FnOnce() -> CallResult,
) -> c_int {
    let result = catch_unwind(AssertUnwindSafe(f))
        .unwrap_or_else(|_| Err(Error::new(Errno::InternalError, "libdrmaa panicked")));
    match result {
        Ok(()) => Errno::Success.number(),
        Err(error) => {
            // SAFETY: the caller's buffer has the given length.
            unsafe { write_truncated(diagnosis, length, &diagnosis_text(&error)) };
            error.errno.number()
        }
    }
}

fn diagnosis_text(error: &Error) -> String {
    match error.retry_after {
        None => error.message.clone(),
        Some(after) => format!("{} (retry after {} ms)", error.message, after.as_millis()),
    }
}
