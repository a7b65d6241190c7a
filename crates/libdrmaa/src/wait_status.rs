//! The `stat` that `drmaa_wait` returns. It is opaque to callers, which decode it with the functions of this module.

use crate::call::call;
use crate::pointers::{write_string, write_value};
use peppercove_drmaa::JobInfo;
use std::ffi::{c_char, c_int};

/// The job exited; the second byte is its exit status.
const EXITED: c_int = 1;
/// The job was terminated by a signal; the second byte is the signal number.
const SIGNALLED: c_int = 2;
/// The job never ran.
const ABORTED: c_int = 4;

/// Encodes how a job ended.
pub(crate) fn encode_status(info: &JobInfo) -> c_int {
    match (info.exit_status, info.signal) {
        (Some(status), _) => EXITED | (status & 0xff) << 8,
        (None, Some(signal)) => SIGNALLED | (signal & 0xff) << 8,
        (None, None) if info.aborted => ABORTED,
        // The job was evicted, or lost with its node: it ran, but how it ended is unknown.
        (None, None) => 0,
    }
}

/// Returns the second byte of a `stat`: the exit status or the signal number.
fn second_byte(stat: c_int) -> c_int {
    stat >> 8 & 0xff
}

fn signal_name(signal: c_int) -> String {
    match signal {
        1 => "SIGHUP".into(),
        2 => "SIGINT".into(),
        3 => "SIGQUIT".into(),
        6 => "SIGABRT".into(),
        9 => "SIGKILL".into(),
        11 => "SIGSEGV".into(),
        15 => "SIGTERM".into(),
        other => format!("signal {other}"),
    }
}

/// Writes a flag through an output pointer of the caller.
unsafe fn write_flag(to: *mut c_int, set: bool, diagnosis: *mut c_char, length: usize) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            write_value(to, c_int::from(set), "the result")
        })
    }
}

/// `drmaa_wifexited`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wifexited(
    exited: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe { write_flag(exited, stat & EXITED != 0, diagnosis, length) }
}

/// `drmaa_wexitstatus`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wexitstatus(
    exit_status: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            // Existing clients call this without checking drmaa_wifexited; the value is then meaningless, but not an
            // error.
            let status = if stat & EXITED == 0 {
                0
            } else {
                second_byte(stat)
            };
            write_value(exit_status, status, "exit_status")
        })
    }
}

/// `drmaa_wifsignaled`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wifsignaled(
    signaled: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe { write_flag(signaled, stat & SIGNALLED != 0, diagnosis, length) }
}

/// `drmaa_wtermsig`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wtermsig(
    signal: *mut c_char,
    signal_length: usize,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            // Without a signal the name is empty, which is not an error either.
            let name = if stat & SIGNALLED == 0 {
                String::new()
            } else {
                signal_name(second_byte(stat))
            };
            write_string(signal, signal_length, &name)
        })
    }
}

/// `drmaa_wcoredump`: always false, because nodes do not report core dumps.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wcoredump(
    core_dumped: *mut c_int,
    _stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe { write_flag(core_dumped, false, diagnosis, length) }
}

/// `drmaa_wifaborted`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wifaborted(
    aborted: *mut c_int,
    stat: c_int,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe { write_flag(aborted, stat & ABORTED != 0, diagnosis, length) }
}
