//! Waiting for the end of jobs.

use crate::call::{call, invalid_argument};
use crate::pointers::{read_string, read_strings, write_truncated};
use crate::session::active_session;
use crate::string_vector::StringVector;
use crate::wait_status::encode_status;
use peppercove_drmaa::{ALL_JOBS, ANY_JOB, Error};
use std::ffi::{c_char, c_int, c_long};
use std::time::Duration;

/// Converts a timeout in seconds: -1 waits indefinitely, 0 does not wait.
fn read_timeout(seconds: c_long) -> Result<Option<Duration>, Error> {
    match seconds {
        -1 => Ok(None),
        s => u64::try_from(s)
            .map(|s| Some(Duration::from_secs(s)))
            .map_err(|_| {
                invalid_argument("the timeout is negative but not -1, which waits indefinitely")
            }),
    }
}

/// `drmaa_synchronize`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_synchronize(
    job_ids: *const *const c_char,
    timeout: c_long,
    dispose: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let ids = read_strings(job_ids, "job_ids")?;
            let mut ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            if ids.contains(&ALL_JOBS) {
                ids = vec![ALL_JOBS];
            }
            active_session()?.synchronize(&ids, read_timeout(timeout)?, dispose != 0)
        })
    }
}

/// `drmaa_wait`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wait(
    job_id: *const c_char,
    job_id_out: *mut c_char,
    job_id_out_length: usize,
    stat: *mut c_int,
    timeout: c_long,
    rusage: *mut *mut StringVector,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let id = read_string(job_id, "job_id")?;
            let id = if id == ANY_JOB { ANY_JOB } else { &id };
            let info = active_session()?.wait(id, read_timeout(timeout)?)?;
            // Every output is optional; a null pointer means that the caller does not need it.
            write_truncated(job_id_out, job_id_out_length, &info.job_id);
            if !stat.is_null() {
                stat.write(encode_status(&info));
            }
            if !rusage.is_null() {
                let pairs = info
                    .rusage
                    .iter()
                    .map(|(name, value)| format!("{name}={value}"));
                rusage.write(StringVector::into_handle(pairs.collect()));
            }
            Ok(())
        })
    }
}
