//! The program's roles at rising sizes: what each costs there, how that cost grows, and what it means at the size that the
//! operators plan for.
//!
//! [`row`] is what a measurement run writes, one JSON object a line. [`roles`] holds one module a role, each with its
//! [`sweep`]s and the measurement of one point; [`runner`] measures points, each in a process of its own, so that resident
//! memory and descriptors are those of that point alone. Roles without sockets run under a simulated [`workload`]; what
//! their harnesses share is in [`harness`].
//!
//! [`slope`] fits the rows of one sweep, [`target`] is the size that the operators plan for, and [`capacity_report`] makes
//! the tables and charts of `docs/CAPACITY.md` from both.
//!
//! Hollow roles, as in Kubernetes' kubemark, are the real code without a system process and sockets of their own.
//!
//! May use: the real code of each role, through its public interface. Must not know: the bench of the operators.
#![forbid(unsafe_code)]

pub mod capacity_report;
pub mod drmaa_loopback;
pub mod error;
pub mod harness;
pub mod hollow_measurement;
pub mod hollow_scheduler;
pub mod loopback_fleet;
pub mod memory;
pub mod platform_format;
pub mod role;
pub mod roles;
pub mod row;
pub mod runner;
pub mod scheduler_process;
pub mod slope;
pub mod sweep;
pub mod target;
pub mod timings;
pub mod traffic;
pub mod wall_time;
pub mod workload;
