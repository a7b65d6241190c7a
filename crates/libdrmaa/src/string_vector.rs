//! Vectors of strings that the library returns: attribute names, attribute values, job ids.

use crate::call::{CallResult, call, invalid};
use crate::pointers::{borrow, write_uncut, write_value};
use peppercove_drmaa::{Errno, Error};
use std::ffi::{c_char, c_int};
use std::sync::{Mutex, PoisonError};

/// What a handle of a vector points to.
pub struct StringVector {
    values: Vec<String>,
    /// Index of the element that is read next.
    next: Mutex<usize>,
}

impl StringVector {
    /// A handle, which the release function of its kind takes back.
    pub(crate) fn into_handle(values: Vec<String>) -> *mut StringVector {
        Box::into_raw(Box::new(StringVector {
            values,
            next: Mutex::new(0),
        }))
    }
}

/// Writes a handle of a new vector to a place of the caller. `what` is the name of the argument, for the error.
pub(crate) unsafe fn write_vector(
    to: *mut *mut StringVector,
    values: Vec<String>,
    what: &str,
) -> CallResult {
    if to.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    // SAFETY: just checked; the handle is given back by the release function.
    unsafe { write_value(to, StringVector::into_handle(values), what) }
}

unsafe fn next_element(values: *mut StringVector, value: *mut c_char, length: usize) -> c_int {
    // SAFETY: the caller keeps the contract of the library.
    unsafe {
        call(std::ptr::null_mut(), 0, || {
            let strings = borrow(values, "values")?;
            let mut at = strings.next.lock().unwrap_or_else(PoisonError::into_inner);
            let text = strings.values.get(*at);
            let text = text.ok_or_else(|| Error::new(Errno::NoMoreElements, "no more elements"))?;
            write_uncut(value, length, text)?;
            *at += 1;
            Ok(())
        })
    }
}

unsafe fn write_count(values: *mut StringVector, size: *mut usize) -> c_int {
    // SAFETY: the caller keeps the contract of the library.
    unsafe {
        call(std::ptr::null_mut(), 0, || {
            write_value(size, borrow(values, "values")?.values.len(), "size")
        })
    }
}

unsafe fn release(values: *mut StringVector) {
    if !values.is_null() {
        // SAFETY: handles come from this library and were not given back.
        drop(unsafe { Box::from_raw(values) });
    }
}

macro_rules! string_vector {
    ($next:ident, $count:ident, $release:ident) => {
        /// The next element; `DRMAA_ERRNO_NO_MORE_ELEMENTS` after the last.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $next(
            values: *mut StringVector,
            value: *mut c_char,
            length: usize,
        ) -> c_int {
            // SAFETY: the caller keeps the contract of the library.
            unsafe { next_element(values, value, length) }
        }
        /// How many elements there are.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $count(values: *mut StringVector, size: *mut usize) -> c_int {
            // SAFETY: the caller keeps the contract of the library.
            unsafe { write_count(values, size) }
        }
        /// Gives the vector back.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $release(values: *mut StringVector) {
            // SAFETY: the caller keeps the contract of the library.
            unsafe { release(values) }
        }
    };
}
string_vector!(
    drmaa_get_next_attr_name,
    drmaa_get_num_attr_names,
    drmaa_release_attr_names
);
string_vector!(
    drmaa_get_next_attr_value,
    drmaa_get_num_attr_values,
    drmaa_release_attr_values
);
string_vector!(
    drmaa_get_next_job_id,
    drmaa_get_num_job_ids,
    drmaa_release_job_ids
);
