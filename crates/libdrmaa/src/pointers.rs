//! Reading from and writing to the memory of the caller.

use crate::call::{CallResult, invalid};
use peppercove_drmaa::Error;
use std::ffi::{CStr, c_char};

/// Writes text into a buffer, cut to its length at a character boundary, always with a zero byte at its end.
pub(crate) unsafe fn write_cut(to: *mut c_char, length: usize, text: &str) {
    if to.is_null() || length == 0 {
        return;
    }
    let bytes = text.as_bytes();
    let mut end = bytes.len().min(length - 1);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    // SAFETY: end is below length, so both fit into the caller's buffer.
    unsafe {
        std::ptr::copy_nonoverlapping(bytes.as_ptr().cast(), to, end);
        *to.add(end) = 0;
    }
}

/// Writes text into a buffer that must hold all of it.
pub(crate) unsafe fn write_uncut(to: *mut c_char, length: usize, text: &str) -> CallResult {
    if to.is_null() || text.len() >= length {
        return Err(invalid(&format!(
            "a buffer of {} bytes or more is needed",
            text.len() + 1
        )));
    }
    // SAFETY: the text and its end fit.
    unsafe { write_cut(to, length, text) };
    Ok(())
}

/// Copies a string. `what` is the name of the argument, for the error.
pub(crate) unsafe fn read_string(from: *const c_char, what: &str) -> Result<String, Error> {
    if from.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    // SAFETY: strings end with a zero byte.
    let text = unsafe { CStr::from_ptr(from) };
    text.to_str()
        .map(str::to_owned)
        .map_err(|_| invalid(&format!("{what} is not UTF-8")))
}

/// Copies a vector of strings that ends with a null pointer. `what` is the name of the argument, for the error.
pub(crate) unsafe fn read_strings(
    from: *const *const c_char,
    what: &str,
) -> Result<Vec<String>, Error> {
    if from.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    let mut values = Vec::new();
    loop {
        // SAFETY: the vector goes on until its null pointer.
        let next = unsafe { *from.add(values.len()) };
        if next.is_null() {
            return Ok(values);
        }
        // SAFETY: its elements are strings.
        values.push(unsafe { read_string(next, what) }?);
    }
}

/// Writes a value to a place of the caller. `what` is the name of the argument, for the error.
pub(crate) unsafe fn write_value<T>(to: *mut T, value: T, what: &str) -> CallResult {
    if to.is_null() {
        return Err(invalid(&format!("{what} is null")));
    }
    // SAFETY: the caller's place for a value of this type.
    unsafe { to.write(value) };
    Ok(())
}

/// Borrows what a handle points to. `what` is the name of the argument, for the error.
pub(crate) unsafe fn borrow<'a, T>(from: *const T, what: &str) -> Result<&'a T, Error> {
    // SAFETY: handles come from this library and were not given back.
    unsafe { from.as_ref() }.ok_or_else(|| invalid(&format!("{what} is null")))
}
