//! The active session, and information on the library.

use crate::call::call;
use crate::pointers::{read_string, write_string, write_value};
use peppercove_drmaa::{Errno, Error, Session};
use std::ffi::{c_char, c_int, c_uint};
use std::sync::{Arc, PoisonError, RwLock};

/// The active session of the process. Calls in flight hold a reference to it, so `drmaa_exit` does not wait for them.
static SESSION: RwLock<Option<Arc<Session>>> = RwLock::new(None);

/// Environment variable with the contact that `drmaa_init` uses if none is given.
const CONTACT_VARIABLE: &str = "PEPPERCOVE_CONTACT";

/// Returns the active session of the process.
///
/// # Errors
/// `NoActiveSession` before `drmaa_init` and after `drmaa_exit`.
pub(crate) fn active_session() -> Result<Arc<Session>, Error> {
    let session = SESSION
        .read()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    session.ok_or_else(|| {
        Error::new(
            Errno::NoActiveSession,
            "no session is active; call drmaa_init first",
        )
    })
}

/// `drmaa_init`. If the contact is null or empty, that of the environment variable `PEPPERCOVE_CONTACT` is used.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_init(
    contact: *const c_char,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let mut active = SESSION.write().unwrap_or_else(PoisonError::into_inner);
            if active.is_some() {
                return Err(Error::new(
                    Errno::AlreadyActiveSession,
                    "a session is already active",
                ));
            }
            let contact = contact_or_default(contact)?;
            *active = Some(Arc::new(Session::init(&contact)?));
            Ok(())
        })
    }
}

/// Returns the given contact, or that of the environment if it is null or empty.
unsafe fn contact_or_default(contact: *const c_char) -> Result<String, Error> {
    if !contact.is_null() {
        // SAFETY: the pointer is not null, so it points to a string.
        let given = unsafe { read_string(contact, "contact") }?;
        if !given.is_empty() {
            return Ok(given);
        }
    }
    std::env::var(CONTACT_VARIABLE).map_err(|_| {
        let message = format!(
            "no contact was given, and the environment variable {CONTACT_VARIABLE} is not set"
        );
        Error::new(Errno::NoDefaultContactStringSelected, message)
    })
}

/// `drmaa_exit`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_exit(diagnosis: *mut c_char, length: usize) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let active = SESSION
                .write()
                .unwrap_or_else(PoisonError::into_inner)
                .take();
            let active =
                active.ok_or_else(|| Error::new(Errno::NoActiveSession, "no session is active"))?;
            // Calls of other threads that are in flight keep the session alive; it is then dropped without `exit`, and
            // those calls return their own results or errors.
            Arc::try_unwrap(active).map_or(Ok(()), Session::exit)
        })
    }
}

/// `drmaa_get_contact`: the contact of the active session, or the default contact if there is none.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_contact(
    contact: *mut c_char,
    contact_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let text = match active_session() {
                Ok(session) => session.contact().to_owned(),
                Err(_) => std::env::var(CONTACT_VARIABLE).unwrap_or_default(),
            };
            write_string(contact, contact_length, &text)
        })
    }
}

/// `drmaa_version`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_version(
    major: *mut c_uint,
    minor: *mut c_uint,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let (major_version, minor_version) = peppercove_drmaa::VERSION;
            write_value(major, major_version, "major")?;
            write_value(minor, minor_version, "minor")
        })
    }
}

/// `drmaa_get_DRM_system`.
#[unsafe(no_mangle)]
#[allow(non_snake_case)]
pub unsafe extern "C" fn drmaa_get_DRM_system(
    system: *mut c_char,
    system_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let text = active_session().map_or_else(|_| "peppercove".into(), |s| s.drm_system());
            write_string(system, system_length, &text)
        })
    }
}

/// `drmaa_get_DRMAA_implementation`.
#[unsafe(no_mangle)]
#[allow(non_snake_case)]
pub unsafe extern "C" fn drmaa_get_DRMAA_implementation(
    implementation: *mut c_char,
    implementation_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let text = concat!("peppercove libdrmaa ", env!("CARGO_PKG_VERSION"));
            write_string(implementation, implementation_length, text)
        })
    }
}
