//! Determines which nodes should be visible, and builds the entries that report changes to the inner scheduler.

use super::NodeSubset;
use super::fleet_node::{FleetNode, RackId, gone_entry};
use crate::replica_slots::{slot_owner, slow_start_share};
use crate::topology::{ALL_SLOTS, NodePool};
use peppercove::{Event, ListUpdateKind, NodeEntry, NodeId};
use peppercove_core::Decide;

/// Whether an entry for the inner scheduler contains the node's free capacity.
///
/// Each free capacity in the list is reported once. The list measured it at an earlier time; reported again later, it
/// would overwrite newer load reports of the node. If it were never reported, a node that becomes visible would be
/// assumed to have the mean load of the visible nodes, and if these are full its free capacity would not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FreeCapacity {
    /// Included, as in the list.
    AsListed,
    /// Not included.
    Omitted,
}

impl FreeCapacity {
    /// Included if it has not been reported to the inner scheduler yet.
    pub(super) fn if_unreported(node: &FleetNode) -> FreeCapacity {
        if node.is_capacity_reported {
            FreeCapacity::Omitted
        } else {
            FreeCapacity::AsListed
        }
    }
}

impl<D: Decide> NodeSubset<D> {
    /// Whether a node of a bounded subset should be visible.
    pub(super) fn should_be_visible(&self, node: &FleetNode) -> bool {
        let id = node.entry.node;
        node.is_replica
            || self.preferred.contains(id)
            || self.expansion.contains(id)
            || self.retry_racks.contains(RackId::from(&node.entry))
    }

    /// Whether this scheduler owns one of the node's replica slots in use.
    pub(super) fn owns_replica(&self, entry: &NodeEntry) -> bool {
        let slots = self.topology.slot_count(NodePool::from(entry));
        let is_own = |slot| {
            slot_owner(entry.node, slot, self.settings.schedulers) == self.settings.own_index
        };
        slots == ALL_SLOTS || (0..slots).any(is_own)
    }

    /// Returns the entry of a visible node as it is reported to the inner scheduler.
    pub(super) fn visible_entry(&self, entry: &NodeEntry, capacity: FreeCapacity) -> NodeEntry {
        let (free_cores, free_memory) = match capacity {
            FreeCapacity::AsListed => (entry.free_cores, entry.free_memory),
            FreeCapacity::Omitted => (None, None),
        };
        NodeEntry {
            slow_start_share: self.slow_start_share(entry.node),
            free_cores,
            free_memory,
            ..entry.clone()
        }
    }

    /// Returns this scheduler's share of a node's slow-start budget; `None` means an equal share for each scheduler.
    fn slow_start_share(&self, node: NodeId) -> Option<u32> {
        if self.is_in_transition() {
            return Some(0);
        }
        let (own_index, schedulers) = (self.settings.own_index, self.settings.schedulers);
        let budget = self.settings.slow_start_budget.max(0.0) as u64;
        self.is_bounded
            .then(|| slow_start_share(node, own_index, schedulers, budget))
    }

    /// Whether a transition between bounded and unbounded subsets is in progress: other schedulers may not have made it
    /// yet.
    pub(super) fn is_in_transition(&self) -> bool {
        self.now < self.transition_until
    }

    /// Updates which of these nodes are visible, and returns the entries that report the changes to the inner
    /// scheduler.
    pub(super) fn update_visibility(
        &mut self,
        nodes: impl IntoIterator<Item = NodeId>,
    ) -> Vec<NodeEntry> {
        let mut entries = Vec::new();
        for id in nodes {
            let Some(node) = self.fleet.get(&id) else {
                continue;
            };
            let should_be_visible = self.should_be_visible(node);
            if should_be_visible && !self.visible.contains(&id) {
                entries.push(self.visible_entry(&node.entry, FreeCapacity::if_unreported(node)));
                self.visible.insert(id);
                self.mark_capacity_reported(id);
            } else if !should_be_visible && self.visible.remove(&id) {
                entries.push(gone_entry(&node.entry));
            }
        }
        entries
    }

    pub(super) fn mark_capacity_reported(&mut self, node: NodeId) {
        if let Some(node) = self.fleet.get_mut(&node) {
            node.is_capacity_reported = true;
        }
    }

    /// Forwards entries as a change of the subset, if there are any.
    pub(super) fn push_subset_change(&self, entries: Vec<NodeEntry>, events: &mut Vec<Event>) {
        if entries.is_empty() {
            return;
        }
        events.push(Event::NodeList {
            kind: ListUpdateKind::SubsetChange,
            version: self.list_version,
            entries,
        });
    }
}
