//! Job templates.

use crate::call::{CallResult, call, invalid_argument};
use crate::pointers::{borrow, read_string, read_strings, write_string, write_value};
use crate::session::active_session;
use crate::string_vector::{StringVector, write_vector};
use peppercove_drmaa::{JobTemplate, attribute_names, vector_attribute_names};
use std::ffi::{c_char, c_int};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The job template that a handle points to.
#[derive(Default)]
pub struct JobTemplateHandle(Mutex<JobTemplate>);

impl JobTemplateHandle {
    /// Locks the template for reading or changing it.
    pub(crate) fn lock(&self) -> MutexGuard<'_, JobTemplate> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `drmaa_allocate_job_template`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_allocate_job_template(
    jt: *mut *mut JobTemplateHandle,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            active_session()?;
            if jt.is_null() {
                return Err(invalid_argument("jt is null"));
            }
            let template = Box::new(JobTemplateHandle::default());
            write_value(jt, Box::into_raw(template), "jt")
        })
    }
}

/// `drmaa_delete_job_template`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_delete_job_template(
    jt: *mut JobTemplateHandle,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            borrow(jt, "jt")?;
            drop(Box::from_raw(jt));
            Ok(())
        })
    }
}

/// `drmaa_set_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_set_attribute(
    jt: *mut JobTemplateHandle,
    name: *const c_char,
    value: *const c_char,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let template = borrow(jt, "jt")?;
            let (name, value) = (read_string(name, "name")?, read_string(value, "value")?);
            check_name(&name, attribute_names())?;
            template.lock().attributes.insert(name, value);
            Ok(())
        })
    }
}

/// `drmaa_get_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_attribute(
    jt: *mut JobTemplateHandle,
    name: *const c_char,
    value: *mut c_char,
    value_length: usize,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let template = borrow(jt, "jt")?;
            let name = read_string(name, "name")?;
            check_name(&name, attribute_names())?;
            let template = template.lock();
            let text = template.attributes.get(&name).map_or("", String::as_str);
            write_string(value, value_length, text)
        })
    }
}

/// `drmaa_set_vector_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_set_vector_attribute(
    jt: *mut JobTemplateHandle,
    name: *const c_char,
    value: *const *const c_char,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let template = borrow(jt, "jt")?;
            let (name, values) = (read_string(name, "name")?, read_strings(value, "value")?);
            check_name(&name, vector_attribute_names())?;
            template.lock().vectors.insert(name, values);
            Ok(())
        })
    }
}

/// `drmaa_get_vector_attribute`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_vector_attribute(
    jt: *mut JobTemplateHandle,
    name: *const c_char,
    values: *mut *mut StringVector,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            let template = borrow(jt, "jt")?;
            let name = read_string(name, "name")?;
            check_name(&name, vector_attribute_names())?;
            let template = template.lock();
            let found = template.vectors.get(&name).cloned().unwrap_or_default();
            write_vector(values, found, "values")
        })
    }
}

/// `drmaa_get_attribute_names`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_attribute_names(
    values: *mut *mut StringVector,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            active_session()?;
            let names = attribute_names().iter().map(|name| (*name).into());
            write_vector(values, names.collect(), "values")
        })
    }
}

/// `drmaa_get_vector_attribute_names`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_vector_attribute_names(
    values: *mut *mut StringVector,
    diagnosis: *mut c_char,
    length: usize,
) -> c_int {
    // SAFETY: the caller upholds the library's safety contract.
    unsafe {
        call(diagnosis, length, || {
            active_session()?;
            let names = vector_attribute_names().iter().map(|name| (*name).into());
            write_vector(values, names.collect(), "values")
        })
    }
}

/// Checks that `name` is one of the attributes `names` of the specification.
fn check_name(name: &str, names: &[&str]) -> CallResult {
    if names.contains(&name) {
        return Ok(());
    }
    Err(invalid_argument(&format!(
        "unknown attribute '{name}'; expected one of: {}",
        names.join(", ")
    )))
}
