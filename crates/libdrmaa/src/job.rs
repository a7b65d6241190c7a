//! Submission, control and status of jobs.

use crate::call::{call, invalid_argument};
use crate::job_template::JobTemplateHandle;
use crate::pointers::{borrow, read_string, write_string, write_value};
use crate::session::active_session;
use crate::string_vector::{StringVector, write_vector};
use peppercove_drmaa::ControlAction;
use std::ffi::{c_char, c_int};

/// `drmaa_run_job`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_run_job(
    job_id: *mut c_char,
    job_id_length: usize,
    jt: *const JobTemplateHandle,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            if job_id.is_null() || job_id_length == 0 {
                return Err(invalid_argument(
                    "job_id is null or its buffer has length 0",
                ));
            }
            let template = borrow(jt, "jt")?.lock().clone();
            let id = active_session()?.run_job(&template)?;
            write_string(job_id, job_id_length, &id)
        })
    }
}

/// `drmaa_run_bulk_jobs`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_run_bulk_jobs(
    job_ids: *mut *mut StringVector,
    jt: *const JobTemplateHandle,
    start: c_int,
    end: c_int,
    incr: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            if job_ids.is_null() {
                return Err(invalid_argument("jobids is null"));
            }
            let template = borrow(jt, "jt")?.lock().clone();
            let ids = active_session()?.run_bulk_jobs(
                &template,
                start.into(),
                end.into(),
                incr.into(),
            )?;
            write_vector(job_ids, ids, "jobids")
        })
    }
}

/// `drmaa_control`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_control(
    job_id: *const c_char,
    action: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let id = read_string(job_id, "jobid")?;
            let action = ControlAction::from_number(action)
                .ok_or_else(|| invalid_argument(&format!("unknown control action {action}")))?;
            active_session()?.control(&id, action)
        })
    }
}

/// `drmaa_job_ps`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_job_ps(
    job_id: *const c_char,
    remote_ps: *mut c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let state = active_session()?.job_ps(&read_string(job_id, "job_id")?)?;
            write_value(remote_ps, state.number(), "remote_ps")
        })
    }
}
