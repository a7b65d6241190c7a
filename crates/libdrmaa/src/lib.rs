//! The C binding of DRMAA 1.0 (GFD.133) on top of the Rust client: the library `libdrmaa.so` and its header `drmaa.h`.
//!
//! This is the only package with `unsafe` code, because its inputs are pointers from C callers. Every function checks
//! pointers for null, copies its inputs, never writes beyond the caller's buffer, and returns an error number; none
//! unwinds. At most one session is active in a process, as the specification requires. All functions except
//! `drmaa_init` and `drmaa_exit` may be called by any number of threads.
//!
//! # Safety
//! The safety contract of all functions: a pointer that is not null points to a value of the type in the header,
//! strings are terminated by a zero byte, buffers have the given length, vectors of strings are terminated by a null
//! pointer, and handles were returned by this library and have not been released.
// A C binding requires unsafe code; the safety contract above applies to every function.
#![allow(unsafe_code)]
#![allow(clippy::missing_safety_doc)]
#![warn(clippy::undocumented_unsafe_blocks)]

mod call;
mod job;
mod job_template;
mod pointers;
mod session;
mod strerror;
mod string_vector;
mod wait;
mod wait_status;
