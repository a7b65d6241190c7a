//! Texts of the error numbers.

use peppercove_drmaa::Errno;
use std::ffi::{CStr, c_char, c_int};

/// `drmaa_strerror`.
#[unsafe(no_mangle)]
pub extern "C" fn drmaa_strerror(number: c_int) -> *const c_char {
    let text: &'static CStr = match Errno::from_number(number) {
        Some(Errno::Success) => c"the call went well",
        Some(Errno::InternalError) => c"unexpected or internal error",
        Some(Errno::DrmCommunicationFailure) => c"no controller can be reached",
        Some(Errno::AuthFailure) => c"not authorized",
        Some(Errno::InvalidArgument) => c"an argument is invalid",
        Some(Errno::NoActiveSession) => c"no session is active",
        Some(Errno::NoMemory) => c"no memory",
        Some(Errno::InvalidContactString) => c"the contact string is invalid",
        Some(Errno::DefaultContactStringError) => c"the default contact string cannot be used",
        Some(Errno::NoDefaultContactStringSelected) => c"no contact string is given",
        Some(Errno::DrmsInitFailed) => c"the session cannot be opened",
        Some(Errno::AlreadyActiveSession) => c"a session is already active",
        Some(Errno::DrmsExitError) => c"the session cannot be closed",
        Some(Errno::InvalidAttributeFormat) => c"an attribute has a wrong format",
        Some(Errno::InvalidAttributeValue) => c"an attribute has a wrong value",
        Some(Errno::ConflictingAttributeValues) => c"attributes contradict each other",
        Some(Errno::TryLater) => c"not now; a retry may succeed",
        Some(Errno::DeniedByDrm) => c"rejected; it will never be accepted",
        Some(Errno::InvalidJob) => c"there is no such job",
        Some(Errno::ResumeInconsistentState) => c"the job's state does not allow resuming",
        Some(Errno::SuspendInconsistentState) => c"the job's state does not allow suspending",
        Some(Errno::HoldInconsistentState) => c"the job's state does not allow holding",
        Some(Errno::ReleaseInconsistentState) => c"the job's state does not allow releasing",
        Some(Errno::ExitTimeout) => c"the time is over",
        Some(Errno::NoRusage) => c"no usage was recorded",
        Some(Errno::NoMoreElements) => c"no more elements",
        None => c"no error of DRMAA",
    };
    text.as_ptr()
}
