//! The program's roles at rising sizes: what each costs there, and how that cost grows.
//!
//! [`row`] is what a run writes, one JSON object a line; [`roles`] holds one module a role, each with its sweeps and the
//! measurement of one point; [`load`] is what those without sockets are put under; [`slope`] fits rows of one sweep;
//! [`run`] plays points, each in a process of its own, so that resident memory and descriptors are that point's alone.
//! [`target`] is the size that the operators head for, [`page`] the tables of `docs/CAPACITY.md` from both, [`chart`] its
//! charts.
//!
//! May use: the real code of each role, through its public interface. Must not know: the bench of the operators.
#![forbid(unsafe_code)]

pub mod chart;
pub mod fleet;
pub mod hollow;
pub mod load;
pub mod page;
pub mod platform;
pub mod process;
pub mod roles;
pub mod row;
pub mod run;
pub mod slope;
pub mod standins;
pub mod target;
