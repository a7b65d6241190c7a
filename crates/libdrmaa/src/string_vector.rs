//! Vectors of strings that the library returns: attribute names, attribute values, job ids.

use crate::call::{CallResult, call, invalid_argument};
use crate::pointers::{borrow, write_string, write_value};
use peppercove_drmaa::{Errno, Error};
use std::ffi::{c_char, c_int};
use std::sync::{Mutex, PoisonError};

/// The vector of strings that a handle points to.
pub struct StringVector {
    values: Vec<String>,
    /// Index of the next element to read.
    next: Mutex<usize>,
}

impl StringVector {
    /// Creates a vector and returns a handle to it, which the caller must pass to the matching release function.
    pub(crate) fn into_handle(values: Vec<String>) -> *mut StringVector {
        Box::into_raw(Box::new(StringVector {
            values,
            next: Mutex::new(0),
        }))
    }
}

/// Creates a vector and writes its handle through an output pointer of the caller. `argument` is the name of the
/// argument in the error message.
pub(crate) unsafe fn write_vector(
    to: *mut *mut StringVector,
    values: Vec<String>,
    argument: &str,
) -> CallResult {
    if to.is_null() {
        return Err(invalid_argument(&format!("{argument} is null")));
    }
    // SAFETY: the pointer is not null, so it points to a handle; the caller releases the new one.
    unsafe { write_value(to, StringVector::into_handle(values), argument) }
}

unsafe fn next_element(values: *mut StringVector, value: *mut c_char, length: usize) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(std::ptr::null_mut(), 0, || {
            let strings = borrow(values, "values")?;
            let mut at = strings.next.lock().unwrap_or_else(PoisonError::into_inner);
            let text = strings.values.get(*at);
            let text = text.ok_or_else(|| Error::new(Errno::NoMoreElements, "no more elements"))?;
            write_string(value, length, text)?;
            *at += 1;
            Ok(())
        })
    }
}

unsafe fn write_count(values: *mut StringVector, size: *mut usize) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(std::ptr::null_mut(), 0, || {
            write_value(size, borrow(values, "values")?.values.len(), "size")
        })
    }
}

unsafe fn release(values: *mut StringVector) {
    if !values.is_null() {
        // SAFETY: the handle was returned by this library and has not been released.
        drop(unsafe { Box::from_raw(values) });
    }
}

macro_rules! string_vector {
    ($next:ident, $count:ident, $release:ident) => {
        /// Writes the next element to a buffer; `DRMAA_ERRNO_NO_MORE_ELEMENTS` after the last one.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $next(
            values: *mut StringVector,
            value: *mut c_char,
            length: usize,
        ) -> c_int {
            // SAFETY: the caller upholds the library's safety contract.
            unsafe { next_element(values, value, length) }
        }
        /// Writes the number of elements.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $count(values: *mut StringVector, size: *mut usize) -> c_int {
            // SAFETY: the caller upholds the library's safety contract.
            unsafe { write_count(values, size) }
        }
        /// Releases the vector.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $release(values: *mut StringVector) {
            // SAFETY: the caller upholds the library's safety contract.
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
