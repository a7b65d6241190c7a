//! The simulated workload of roles without sockets: a cluster with its settings and node list, the requested tasks, the
//! answers of nodes, and the length of a run.
//!
//! Simulated time advances between events and never during one. The workload is deterministic: the same sizes give the
//! same events.

pub mod answer;
pub mod cluster;
pub mod run_length;

use peppercove::Micros;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The start of simulated time, in microseconds since the Unix epoch.
pub const SIMULATION_START: Micros = 1_800_000_000 * SECOND;

/// Number of windows into which the events of a point are split; the spread is that of the window medians.
pub const WINDOWS: u32 = 5;

/// Single-entry list changes at the end of each window, so that there are some at every size.
pub const CHANGES_PER_WINDOW: u64 = 10;
