//! A node of the fleet, and its rack.

use peppercove::{NodeEntry, NodeStatus};

/// A node in the node list.
#[derive(Debug)]
pub(super) struct FleetNode {
    pub(super) entry: NodeEntry,
    /// Whether this scheduler owns one of the node's replica slots in use.
    pub(super) is_replica: bool,
    /// Whether the free capacity of this entry has been reported to the inner scheduler.
    pub(super) is_capacity_reported: bool,
}

/// A rack: its zone, and its number within the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RackId {
    zone: u8,
    rack: u16,
}

impl From<&NodeEntry> for RackId {
    fn from(entry: &NodeEntry) -> RackId {
        RackId {
            zone: entry.zone,
            rack: entry.rack,
        }
    }
}

/// Returns the entry that reports to the inner scheduler that a node has left its subset, regardless of the node's
/// listed state. No new tasks are sent to the node, but its topology domain stays known.
pub(super) fn gone_entry(entry: &NodeEntry) -> NodeEntry {
    NodeEntry {
        state: NodeStatus::Gone,
        free_cores: None,
        free_memory: None,
        ..entry.clone()
    }
}
