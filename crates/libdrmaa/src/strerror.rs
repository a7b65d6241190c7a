//! Descriptions of the error numbers.

use peppercove_drmaa::Errno;
use std::ffi::{CStr, c_char, c_int};

/// `drmaa_strerror`.
#[unsafe(no_mangle)]
pub extern "C" fn drmaa_strerror(number: c_int) -> *const c_char {
    let text: &'static CStr = match Errno::from_number(number) {
        Some(Errno::Success) => c"success",
        Some(Errno::InternalError) => c"unexpected or internal error",
        Some(Errno::DrmCommunicationFailure) => c"communication with the controller failed",
        Some(Errno::AuthFailure) => c"not authorized",
        Some(Errno::InvalidArgument) => c"an argument is invalid",
        Some(Errno::NoActiveSession) => c"no session is active",
        Some(Errno::NoMemory) => c"out of memory",
        Some(Errno::InvalidContactString) => c"the contact string is invalid",
        Some(Errno::DefaultContactStringError) => c"the default contact string cannot be used",
        Some(Errno::NoDefaultContactStringSelected) => {
            c"no contact string was given and there is no default"
        }
        Some(Errno::DrmsInitFailed) => c"the session could not be opened",
        Some(Errno::AlreadyActiveSession) => c"a session is already active",
        Some(Errno::DrmsExitError) => c"the session could not be closed",
        Some(Errno::InvalidAttributeFormat) => c"an attribute has an invalid format",
        Some(Errno::InvalidAttributeValue) => c"an attribute has an invalid value",
        Some(Errno::ConflictingAttributeValues) => c"attributes have conflicting values",
        Some(Errno::TryLater) => c"temporarily rejected; a retry may succeed",
        Some(Errno::DeniedByDrm) => c"permanently rejected; a retry cannot succeed",
        Some(Errno::InvalidJob) => c"the job does not exist",
        Some(Errno::ResumeInconsistentState) => c"the job's state does not allow resuming",
        Some(Errno::SuspendInconsistentState) => c"the job's state does not allow suspending",
        Some(Errno::HoldInconsistentState) => c"the job's state does not allow holding",
        Some(Errno::ReleaseInconsistentState) => c"the job's state does not allow releasing",
        Some(Errno::ExitTimeout) => c"the wait timed out",
        Some(Errno::NoRusage) => c"no resource usage was recorded",
        Some(Errno::NoMoreElements) => c"no more elements",
        None => c"unknown DRMAA error number",
    };
    text.as_ptr()
}
