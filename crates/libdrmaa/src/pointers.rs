//! Reads from and writes to memory of the caller.

use crate::call::{CallResult, invalid_argument};
use peppercove_drmaa::Error;
use std::ffi::{CStr, c_char};

/// Writes text to a buffer with a terminating zero byte. Text that does not fit is truncated at a character boundary.
pub(crate) unsafe fn write_truncated(to: *mut c_char, length: usize, text: &str) {
    if to.is_null() || length == 0 {
        return;
    }
    let bytes = text.as_bytes();
    let mut end = bytes.len().min(length - 1);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    // SAFETY: `end` is less than `length`, so the text and the zero byte fit into the caller's buffer.
    unsafe {
        std::ptr::copy_nonoverlapping(bytes.as_ptr().cast(), to, end);
        *to.add(end) = 0;
    }
}

/// Writes text to a buffer, or returns an error if the buffer is too small for all of it.
pub(crate) unsafe fn write_string(to: *mut c_char, length: usize, text: &str) -> CallResult {
    if to.is_null() || text.len() >= length {
        return Err(invalid_argument(&format!(
            "the output buffer is null or smaller than the {} bytes needed",
            text.len() + 1
        )));
    }
    // SAFETY: the text and the zero byte fit into the buffer.
    unsafe { write_truncated(to, length, text) };
    Ok(())
}

/// Copies a string. `argument` is the name of the argument in the error message.
pub(crate) unsafe fn read_string(from: *const c_char, argument: &str) -> Result<String, Error> {
    if from.is_null() {
        return Err(invalid_argument(&format!("{argument} is null")));
    }
    // SAFETY: strings of the caller are terminated by a zero byte.
    let text = unsafe { CStr::from_ptr(from) };
    text.to_str()
        .map(str::to_owned)
        .map_err(|_| invalid_argument(&format!("{argument} is not UTF-8")))
}

/// Copies a vector of strings that is terminated by a null pointer. `argument` is the name of the argument in the error
/// message.
pub(crate) unsafe fn read_strings(
    from: *const *const c_char,
    argument: &str,
) -> Result<Vec<String>, Error> {
    if from.is_null() {
        return Err(invalid_argument(&format!("{argument} is null")));
    }
    let mut values = Vec::new();
    loop {
        // SAFETY: the vector continues up to its terminating null pointer, which has not been reached.
        let next = unsafe { *from.add(values.len()) };
        if next.is_null() {
            return Ok(values);
        }
        // SAFETY: all elements before the null pointer are strings.
        values.push(unsafe { read_string(next, argument) }?);
    }
}

/// Writes a value through an output pointer of the caller. `argument` is the name of the argument in the error message.
pub(crate) unsafe fn write_value<T>(to: *mut T, value: T, argument: &str) -> CallResult {
    if to.is_null() {
        return Err(invalid_argument(&format!("{argument} is null")));
    }
    // SAFETY: the pointer is not null, so it points to a value of this type.
    unsafe { to.write(value) };
    Ok(())
}

/// Borrows the value that a handle points to. `argument` is the name of the argument in the error message.
pub(crate) unsafe fn borrow<'a, T>(from: *const T, argument: &str) -> Result<&'a T, Error> {
    // SAFETY: the handle was returned by this library and has not been released.
    unsafe { from.as_ref() }.ok_or_else(|| invalid_argument(&format!("{argument} is null")))
}
