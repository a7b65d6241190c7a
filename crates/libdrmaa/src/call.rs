//! What surrounds every function of the library.

use crate::pointers::write_cut;
use peppercove_drmaa::{Errno, Error};
use std::ffi::{c_char, c_int};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Result of a call before it becomes an error number.
pub(crate) type CallResult = Result<(), Error>;

/// The error of an argument that is not valid.
pub(crate) fn invalid(what: &str) -> Error {
    Error::new(Errno::InvalidArgument, what)
}

/// Runs a call. Its error is written into the caller's buffer, and its number is returned; a panic is an internal
/// error.
pub(crate) unsafe fn call(
    diagnosis: *mut c_char,
    length: usize,
    f: impl FnOnce() -> CallResult,
) -> c_int {
    let result = catch_unwind(AssertUnwindSafe(f))
        .unwrap_or_else(|_| Err(Error::new(Errno::InternalError, "a fault in the library")));
    match result {
        Ok(()) => Errno::Success.number(),
        Err(error) => {
            // SAFETY: the caller's buffer is as long as it says.
            unsafe { write_cut(diagnosis, length, &diagnosis_of(&error)) };
            error.errno.number()
        }
    }
}

fn diagnosis_of(error: &Error) -> String {
    match error.retry_after {
        None => error.message.clone(),
        Some(after) => format!("{} (retry after {} ms)", error.message, after.as_millis()),
    }
}
