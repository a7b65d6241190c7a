//! Test helpers shared by several packages: scheduler inputs, a local runtime for tests on loopback, and hexadecimal.
//!
//! A development dependency only: no program links it. Helpers for the tests of a single package belong in that
//! package.

pub mod hex;
pub mod loopback;
pub mod scheduler;
