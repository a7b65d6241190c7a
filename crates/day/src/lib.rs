//! Scripted days: a fleet on loopback sockets, a load, faults over time, taps between them, and the verdict.
//!
//! [`script`] reads a day; [`mod@play`] plays it with real controllers, stand-in nodes and a node list; [`tap`] sits on
//! every socket and writes down what crosses it; the audit judges that. [`trouble`] turns a recording of the bench
//! into a day.

pub mod clients;
pub mod cluster;
pub mod play;
pub mod tap;
pub mod trouble;

pub use peppercove_kernel::{Report, Script, script, shipped};
pub use play::{How, play};
