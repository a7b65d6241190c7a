//! Subsetting: which nodes of a large fleet each scheduler uses, agreed on without messages between schedulers.
//!
//! [`NodeSubset`] wraps the scheduler (the decision module) and exposes a bounded subset of the fleet to it. It
//! decides which nodes a scheduler uses, and which share of a node's slow-start budget the scheduler has. Only the
//! wrapped scheduler decides where a task is placed. The design is described in `docs/design/fleet.md`.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `replica_slots` | which scheduler owns which replica slot of a node |
//! | `topology` | how many replica slots are in use, by zone and node kind |
//! | `node_subset` | the wrapper: applies node list updates and reports the visible nodes to the inner scheduler |
//!
//! This crate may use the scheduler's interface and the core's `Decide`. It must not depend on sockets, clocks, files
//! or frames.
#![forbid(unsafe_code)]

mod node_subset;
mod replica_slots;
mod topology;

pub use node_subset::{NodeSubset, SubsetScheduler, TARGET_SUBSET_SIZE, TableSizes};
pub use replica_slots::{SLOW_START_SLOTS, slot_owner, slow_start_share};
pub use topology::MIN_NODES_PER_ZONE_AND_KIND;
