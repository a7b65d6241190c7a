//! What the schedulers of one fleet agree on without a word.
//!
//! [`View`] stands around the decision module and shows it a bounded part of a large fleet. It decides which machines a
//! scheduler works with and what part of a cold machine's ramp is its own; where a task goes is the module's.
//!
//! May use: the decision module's interface and the core's `Decide`. Must not know: sockets, clocks, files, frames.
#![forbid(unsafe_code)]

mod node_subset;
mod replica_slots;
mod topology;

pub use node_subset::{NodeSubset, SubsetScheduler, TARGET_SUBSET_SIZE};
pub use replica_slots::{COLD_START_SLOTS, cold_start_share, slot_owner};
pub use topology::MIN_NODES_PER_ZONE_AND_KIND;
