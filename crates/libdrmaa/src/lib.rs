//! The C binding of DRMAA 1.0 (GFD.133) over the Rust client: `libdrmaa.so`, with `drmaa.h` beside it.
//!
//! The only package with `unsafe`: its inputs are pointers of C callers. Every function checks them for null, copies
//! what it reads, cuts what it writes to the caller's buffer, and returns an error number; none unwinds. One session
//! a process is active at a time, as the specification has it; all calls but `drmaa_init` and `drmaa_exit` may come
//! from any number of threads.
//!
//! # Safety
//! The contract of the library, for all functions: a pointer that is not null points to what the header says, strings
//! end with a zero byte, buffers are as long as their length says, vectors of strings end with a null pointer, and
//! handles come from this library and were not given back.
// A C binding cannot do without unsafe code; the contract above is that of every function.
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
