//! A node of the fleet, and the rack it stands in.

use peppercove::{NodeEntry, NodeStatus};

/// A node as the node list names it.
#[derive(Debug)]
pub(super) struct FleetNode {
    pub(super) entry: NodeEntry,
    /// This scheduler owns one of the node's replica slots that count.
    pub(super) is_replica: bool,
    /// The inner module has been told the free capacity that this entry names.
    pub(super) is_capacity_told: bool,
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

/// The entry by which the inner module learns that a node has left its subset, whatever the list says of it: nothing
/// new is sent there, and the node's topology domain stays known.
pub(super) fn gone_entry(entry: &NodeEntry) -> NodeEntry {
    NodeEntry {
        state: NodeStatus::Gone,
        free_cores: None,
        free_memory: None,
        ..entry.clone()
    }
}
