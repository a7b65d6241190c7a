//! The workload of the roles without sockets: a cluster with its settings and node list, the tasks that are requested and
//! how nodes answer, and how long a point is run.
//!
//! Simulated time passes between events and never during one. The same sizes give the same events.

pub mod answer;
pub mod cluster;
pub mod run_length;

use peppercove::Micros;

/// One second, microseconds.
pub const SECOND: Micros = 1_000_000;

/// When simulated time begins, microseconds since the Unix epoch.
pub const SIMULATION_START: Micros = 1_800_000_000 * SECOND;

/// The windows over which the events of a point are split; their medians give the spread.
pub const WINDOWS: u32 = 5;

/// Changes of one list entry at the end of each window, so that there are some at every size.
pub const CHANGES_PER_WINDOW: u64 = 10;
