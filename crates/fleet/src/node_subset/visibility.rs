//! Which nodes should be visible, and the entries by which the inner module learns of changes.

use super::NodeSubset;
use super::fleet_node::{FleetNode, RackId, gone_entry};
use crate::replica_slots::{slot_owner, slow_start_share};
use crate::topology::{ALL_SLOTS, NodePool};
use peppercove::{Event, ListUpdateKind, NodeEntry, NodeId};
use peppercove_core::Decide;

/// Whether an entry for the inner module names the node's free capacity.
///
/// Each free capacity that the list names is told once: the list measured it at its own time, and told again later it
/// would overwrite what the node itself has reported since. Not told at all, a node that becomes visible would count as
/// loaded as the mean of the visible ones, and where these are full nothing would be sent to the free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FreeCapacity {
    /// As the list names it.
    AsListed,
    /// Left out.
    Omitted,
}

impl FreeCapacity {
    /// As listed where the inner module has not been told it yet.
    pub(super) fn once(node: &FleetNode) -> FreeCapacity {
        if node.is_capacity_told {
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

    /// Whether this scheduler owns one of the replica slots that count for the node.
    pub(super) fn owns_replica(&self, entry: &NodeEntry) -> bool {
        let slots = self.topology.slot_count(NodePool::from(entry));
        let is_own = |slot| {
            slot_owner(entry.node, slot, self.settings.schedulers) == self.settings.own_index
        };
        slots == ALL_SLOTS || (0..slots).any(is_own)
    }

    /// The entry of a visible node as the inner module is told it.
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

    /// This scheduler's share of a node's slow-start budget; `None` is an equal share for each scheduler.
    fn slow_start_share(&self, node: NodeId) -> Option<u32> {
        if self.is_bound_unsettled() {
            return Some(0);
        }
        let (own_index, schedulers) = (self.settings.own_index, self.settings.schedulers);
        let budget = self.settings.slow_start_budget.max(0.0) as u64;
        self.is_bounded
            .then(|| slow_start_share(node, own_index, schedulers, budget))
    }

    /// Whether other schedulers may not know yet that subsets have become bounded, or have ceased to be.
    pub(super) fn is_bound_unsettled(&self) -> bool {
        self.now < self.bound_unsettled_until
    }

    /// Makes those of these nodes visible that should be, hides the others, and returns the entries by which the inner
    /// module learns of the changes.
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
                entries.push(self.visible_entry(&node.entry, FreeCapacity::once(node)));
                self.visible.insert(id);
                self.mark_capacity_told(id);
            } else if !should_be_visible && self.visible.remove(&id) {
                entries.push(gone_entry(&node.entry));
            }
        }
        entries
    }

    pub(super) fn mark_capacity_told(&mut self, node: NodeId) {
        if let Some(node) = self.fleet.get_mut(&node) {
            node.is_capacity_told = true;
        }
    }

    /// Passes entries on as a change of the subset, if there are any.
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
