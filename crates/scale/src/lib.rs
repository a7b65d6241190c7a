//! Scalability measurements of the program's roles: the cost of each role at increasing sizes, how that cost grows, and
//! the extrapolation to the size that the operators plan for.
//!
//! A measurement run writes [`row`]s, one JSON object per line. [`roles`] has one module per role, with its [`sweep`]s
//! and the measurement of one point. [`runner`] measures each point in a separate process, so that resident memory and
//! file descriptors are those of that point alone. Roles without sockets run under a simulated [`workload`]; their
//! harnesses share [`harness`].
//!
//! [`slope`] fits the rows of one sweep, [`target`] is the size that the operators plan for, and [`capacity_report`]
//! generates the tables and charts of `docs/CAPACITY.md` from both.
//!
//! Hollow roles, as in Kubernetes' kubemark, are the real code without a system process and sockets of their own.
//!
//! This package may use the code of each role through its public interface. It must not depend on the operators' bench.
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
