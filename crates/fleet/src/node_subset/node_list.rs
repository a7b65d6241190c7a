//! Updates of the node list, and what the inner module is told of them.

use super::NodeSubset;
use super::fleet_node::{FleetNode, gone_entry};
use super::visibility::FreeCapacity;
use peppercove::{Event, ListUpdateKind, NodeEntry, NodeId, NodeStatus};
use peppercove_core::Decide;
use std::collections::{BTreeMap, BTreeSet};

/// An update of the node list.
#[derive(Clone, Copy)]
pub(super) struct NodeListUpdate<'a> {
    pub(super) kind: ListUpdateKind,
    pub(super) version: u64,
    pub(super) entries: &'a [NodeEntry],
}

impl NodeListUpdate<'_> {
    /// Whether a node that the update does not name has left the list.
    fn is_full(&self) -> bool {
        match self.kind {
            ListUpdateKind::Full | ListUpdateKind::Cached => true,
            ListUpdateKind::Incremental | ListUpdateKind::SubsetChange | ListUpdateKind::Failed => {
                false
            }
        }
    }

    /// The event that tells the inner module of this update with these entries.
    fn event(&self, entries: Vec<NodeEntry>) -> Event {
        Event::NodeList {
            kind: self.kind,
            version: self.version,
            entries,
        }
    }
}

impl<D: Decide> NodeSubset<D> {
    /// Takes in an update and passes on what the inner module has to be told of it.
    pub(super) fn on_node_list(&mut self, update: NodeListUpdate<'_>, events: &mut Vec<Event>) {
        if self.has_no_news(update) {
            events.push(update.event(update.entries.to_vec()));
            return;
        }
        self.list_version = update.version;
        let was_bounded = self.is_bounded;
        let is_first_list = self.fleet.is_empty();
        let readiness_changed = self.update_fleet(update);
        self.update_bound(is_first_list);
        if !self.is_bounded && !was_bounded {
            self.pass_on_unbounded(update, events);
            return;
        }
        let slots_changed = self.is_bounded
            && self
                .topology
                .update_slot_counts(self.target_size, self.settings.schedulers);
        let all_changed = slots_changed || was_bounded != self.is_bounded;
        if all_changed {
            self.update_replicas();
        }
        let removed_preferred = self.refresh_preferred_nodes(&readiness_changed);
        if update.is_full() || all_changed {
            self.pass_on_full(update, events);
        } else {
            self.pass_on_incremental(update, removed_preferred, events);
        }
    }

    /// Whether the update changes nothing here: a failed call, a change of a subset, or an outdated list.
    fn has_no_news(&self, update: NodeListUpdate<'_>) -> bool {
        match update.kind {
            ListUpdateKind::Failed | ListUpdateKind::SubsetChange => true,
            ListUpdateKind::Cached => false,
            ListUpdateKind::Full | ListUpdateKind::Incremental => {
                update.version < self.list_version
            }
        }
    }

    /// Takes the entries into the fleet; returns the nodes that have become ready or ceased to be, or whose kind has
    /// changed.
    fn update_fleet(&mut self, update: NodeListUpdate<'_>) -> BTreeSet<NodeId> {
        let leaving = self.leaving_nodes(update);
        let mut readiness_changed = BTreeSet::new();
        for entry in update.entries {
            if self.replace_entry(entry) {
                readiness_changed.insert(entry.node);
            }
        }
        for node in leaving {
            let before = self.fleet.remove(&node);
            self.topology
                .replace(before.as_ref().map(|known| &known.entry), None);
            self.expansion.remove(node);
            readiness_changed.insert(node);
        }
        readiness_changed
    }

    /// The nodes that the list names no more, or names as gone. They are forgotten, so that the tables stay bounded;
    /// the inner module knows by itself what runs there.
    fn leaving_nodes(&self, update: NodeListUpdate<'_>) -> Vec<NodeId> {
        // Invariant: of a node that a list names twice, as gone and as back, the last entry counts. Each entry on its
        // own would lose the node.
        let named: BTreeMap<NodeId, NodeStatus> = update
            .entries
            .iter()
            .map(|entry| (entry.node, entry.state))
            .collect();
        let is_unnamed = |node: &NodeId| update.is_full() && !named.contains_key(node);
        let unnamed = self.fleet.keys().copied().filter(is_unnamed);
        let gone = named
            .iter()
            .filter(|(_, status)| **status == NodeStatus::Gone)
            .map(|(node, _)| *node);
        unnamed.chain(gone).collect()
    }

    /// Replaces a node's entry; returns whether the node has become ready, ceased to be, or changed its kind.
    fn replace_entry(&mut self, entry: &NodeEntry) -> bool {
        let is_replica = self.is_bounded && self.owns_replica(entry);
        let node = FleetNode {
            entry: entry.clone(),
            is_replica,
            is_capacity_told: false,
        };
        let before = self.fleet.insert(entry.node, node).map(|known| known.entry);
        self.topology.replace(before.as_ref(), Some(entry));
        before.as_ref().and_then(ready_kind) != ready_kind(entry)
    }

    /// Makes the subset bounded where the fleet is larger than it, and unbounded where it is not.
    ///
    /// Invariant: this follows from the node list alone. Bounds that depended on anything else, such as the bound
    /// before, would differ for good between long-running schedulers and those that start, and with them the shares
    /// of the slow-start budgets.
    fn update_bound(&mut self, is_first_list: bool) {
        let ready_nodes = self.topology.ready_nodes();
        let subset_size = self.topology.subset_size(self.target_size);
        let is_bounded = ready_nodes > subset_size;
        if is_bounded == self.is_bounded {
            return;
        }
        self.is_bounded = is_bounded;
        let was_always_larger = is_first_list && ready_nodes > subset_size.saturating_mul(2);
        if !was_always_larger {
            self.suspend_slow_start_budgets();
        }
        self.visible.clear();
        self.expansion.clear();
        self.retry_racks.clear();
        self.preferred.clear();
    }

    /// Uses nothing of any slow-start budget until all schedulers know that subsets have become bounded, or have ceased
    /// to be.
    ///
    /// Schedulers with bounded subsets split the budgets in one way and the others in another; together they would
    /// exceed them. That includes a scheduler that has just started, unless the fleet is so large that it cannot have
    /// been smaller than the bound lately.
    fn suspend_slow_start_budgets(&mut self) {
        let window = self.settings.overload_window + self.settings.overload_window / 4;
        self.bound_unsettled_until = self.now + self.settings.poll_interval + window;
    }

    /// Uses the slow-start budgets again once all schedulers know how they are split.
    pub(super) fn resume_slow_start_budgets(&mut self, events: &mut Vec<Event>) {
        if self.bound_unsettled_until == 0 || self.is_bound_unsettled() {
            return;
        }
        self.bound_unsettled_until = 0;
        let entries = self
            .fleet
            .values()
            .filter(|known| !self.is_bounded || self.visible.contains(&known.entry.node))
            .map(|known| self.visible_entry(&known.entry, FreeCapacity::Omitted))
            .collect();
        self.push_subset_change(entries, events);
    }

    /// Determines anew of which nodes this scheduler owns a replica slot.
    fn update_replicas(&mut self) {
        let owned: Vec<bool> = self
            .fleet
            .values()
            .map(|known| self.owns_replica(&known.entry))
            .collect();
        for (known, is_replica) in self.fleet.values_mut().zip(owned) {
            known.is_replica = is_replica;
        }
    }

    /// Passes on an update of an unbounded subset: all that the list says.
    fn pass_on_unbounded(&mut self, update: NodeListUpdate<'_>, events: &mut Vec<Event>) {
        for entry in update.entries {
            self.handed_over.remove_unlisted(entry.node);
            self.mark_capacity_told(entry.node);
        }
        let pass_on = |entry: &NodeEntry| {
            if self.is_bound_unsettled() {
                self.visible_entry(entry, FreeCapacity::AsListed)
            } else {
                entry.clone()
            }
        };
        events.push(update.event(update.entries.iter().map(pass_on).collect()));
    }

    /// Passes on all visible nodes, where the list came in full or the subset has changed as a whole.
    fn pass_on_full(&mut self, update: NodeListUpdate<'_>, events: &mut Vec<Event>) {
        let mut entries: Vec<NodeEntry> = self
            .fleet
            .values()
            .filter(|known| !self.is_bounded || self.should_be_visible(known))
            .map(|known| self.visible_entry(&known.entry, FreeCapacity::once(known)))
            .collect();
        for entry in &entries {
            self.mark_capacity_told(entry.node);
        }
        self.visible.clear();
        if self.is_bounded {
            self.visible.extend(entries.iter().map(|entry| entry.node));
        }
        entries.extend(self.take_listed_domains(update.entries));
        // The inner module takes the nodes that a full list does not name as gone.
        let kind = match update.kind {
            ListUpdateKind::Cached => ListUpdateKind::Cached,
            ListUpdateKind::Full
            | ListUpdateKind::Incremental
            | ListUpdateKind::SubsetChange
            | ListUpdateKind::Failed => ListUpdateKind::Full,
        };
        events.push(NodeListUpdate { kind, ..update }.event(entries));
    }

    /// Passes on the changes that concern the subset.
    fn pass_on_incremental(
        &mut self,
        update: NodeListUpdate<'_>,
        removed_preferred: Vec<NodeId>,
        events: &mut Vec<Event>,
    ) {
        let mut entries: Vec<NodeEntry> = update
            .entries
            .iter()
            .filter_map(|entry| self.changed_entry(entry))
            .collect();
        entries.extend(self.take_listed_domains(update.entries));
        // Passed on also where it is empty: the poll of the list was answered.
        events.push(update.event(entries));
        // Services that lost a preferred node have another one now.
        let mut nodes = removed_preferred;
        nodes.extend(self.preferred.nodes());
        let entries = self.update_visibility(nodes);
        self.push_subset_change(entries, events);
    }

    /// The entry by which the inner module learns of a changed entry; `None` where the node neither was visible nor
    /// becomes so.
    fn changed_entry(&mut self, entry: &NodeEntry) -> Option<NodeEntry> {
        let node = self.fleet.get(&entry.node);
        if node.is_some_and(|node| self.should_be_visible(node)) {
            self.visible.insert(entry.node);
            self.mark_capacity_told(entry.node);
            Some(self.visible_entry(entry, FreeCapacity::AsListed))
        } else if self.visible.remove(&entry.node) {
            Some(gone_entry(entry))
        } else {
            None
        }
    }
}

/// The kind of a node that accepts tasks; `None` where it accepts none.
fn ready_kind(entry: &NodeEntry) -> Option<u8> {
    (entry.state == NodeStatus::Ready).then_some(entry.kind)
}
