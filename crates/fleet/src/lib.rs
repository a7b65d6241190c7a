//! Subsetting: which nodes of a large fleet each scheduler works with, without any message between schedulers.
//!
//! [`NodeSubset`] wraps the decision module and shows it a bounded subset of the fleet. It decides which nodes a
//! scheduler works with and which share of a node's slow-start budget belongs to it. Where a task goes is decided
//! by the wrapped module alone. The design is described in `docs/design/fleet.md`.
//!
//! | module | job |
//! | --- | --- |
//! | `replica_slots` | which scheduler owns which replica slot of a node |
//! | `topology` | how many replica slots count, by zone and node kind |
//! | `node_subset` | the wrapper: follows the node list and tells the inner module what is visible |
//!
//! May use: the decision module's interface and the core's `Decide`. Must not know: sockets, clocks, files, frames.
#![forbid(unsafe_code)]

mod node_subset;
mod replica_slots;
mod topology;

pub use node_subset::{NodeSubset, SubsetScheduler, TARGET_SUBSET_SIZE, TableSizes};
pub use replica_slots::{SLOW_START_SLOTS, slot_owner, slow_start_share};
pub use topology::MIN_NODES_PER_ZONE_AND_KIND;
