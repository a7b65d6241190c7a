//! Set-ups that the tests of several packages share: inputs of the decision module, tests on loopback, hexadecimal.
//!
//! A development dependency only: no program links it. What only one package's tests need stays with them.

pub mod hex;
pub mod loopback;
pub mod scheduler;
