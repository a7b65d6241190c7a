//! Applies node list updates and forwards them to the inner scheduler.

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
    /// Whether the update is a complete list, so that a node missing from it has left the list.
    fn is_full(&self) -> bool {
        match self.kind {
            ListUpdateKind::Full | ListUpdateKind::Cached => true,
            ListUpdateKind::Incremental | ListUpdateKind::SubsetChange | ListUpdateKind::Failed => {
                false
            }
        }
    }

    /// Returns the event that forwards this update to the inner scheduler, with these entries.
    fn event(&self, entries: Vec<NodeEntry>) -> Event {
        Event::NodeList {
            kind: self.kind,
            version: self.version,
            entries,
        }
    }
}

impl<D: Decide> NodeSubset<D> {
    /// Applies an update and forwards what concerns the inner scheduler.
    pub(super) fn on_node_list(&mut self, update: NodeListUpdate<'_>, events: &mut Vec<Event>) {
        if self.changes_nothing(update) {
            events.push(update.event(update.entries.to_vec()));
            return;
        }
        self.list_version = update.version;
        let was_bounded = self.is_bounded;
        let is_first_list = self.fleet.is_empty();
        let readiness_changed = self.update_fleet(update);
        self.update_is_bounded(is_first_list);
        if !self.is_bounded && !was_bounded {
            self.forward_unbounded(update, events);
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
            self.forward_full(update, events);
        } else {
            self.forward_incremental(update, removed_preferred, events);
        }
    }

    /// Whether the update changes nothing here: a failed poll, a subset change, or an outdated list.
    fn changes_nothing(&self, update: NodeListUpdate<'_>) -> bool {
        match update.kind {
            ListUpdateKind::Failed | ListUpdateKind::SubsetChange => true,
            ListUpdateKind::Cached => false,
            ListUpdateKind::Full | ListUpdateKind::Incremental => {
                update.version < self.list_version
            }
        }
    }

    /// Applies the entries to the fleet. Returns the nodes that became ready, stopped being ready, or changed their
    /// kind.
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
                .replace(before.as_ref().map(|node| &node.entry), None);
            self.expansion.remove(node);
            readiness_changed.insert(node);
        }
        readiness_changed
    }

    /// Returns the nodes that are no longer listed or are listed as gone. They are removed to keep the tables bounded;
    /// the inner scheduler itself tracks the tasks that run there.
    fn leaving_nodes(&self, update: NodeListUpdate<'_>) -> Vec<NodeId> {
        // Invariant: if a list contains a node twice, as gone and as back, the last entry counts. If each entry were
        // applied separately, the node would be lost.
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

    /// Replaces a node's entry; returns whether the node became ready, stopped being ready, or changed its kind.
    fn replace_entry(&mut self, entry: &NodeEntry) -> bool {
        let is_replica = self.is_bounded && self.owns_replica(entry);
        let node = FleetNode {
            entry: entry.clone(),
            is_replica,
            is_capacity_reported: false,
        };
        let before = self.fleet.insert(entry.node, node).map(|node| node.entry);
        self.topology.replace(before.as_ref(), Some(entry));
        before.as_ref().and_then(ready_kind) != ready_kind(entry)
    }

    /// Makes the subset bounded if the fleet is larger than the subset, and unbounded otherwise.
    ///
    /// Invariant: this depends only on the node list. If it depended on anything else, such as the previous state,
    /// long-running schedulers and newly started ones would disagree permanently, and their shares of the slow-start
    /// budgets would not add up.
    fn update_is_bounded(&mut self, is_first_list: bool) {
        let ready_nodes = self.topology.ready_nodes();
        let subset_size = self.topology.subset_size(self.target_size);
        let is_bounded = ready_nodes > subset_size;
        if is_bounded == self.is_bounded {
            return;
        }
        self.is_bounded = is_bounded;
        let cannot_have_been_unbounded =
            is_first_list && ready_nodes > subset_size.saturating_mul(2);
        if !cannot_have_been_unbounded {
            self.suspend_slow_start_budgets();
        }
        self.visible.clear();
        self.expansion.clear();
        self.retry_racks.clear();
        self.preferred.clear();
    }

    /// Suspends the use of all slow-start budgets until all schedulers have made the transition between bounded and
    /// unbounded subsets.
    ///
    /// Schedulers with bounded subsets and those with unbounded ones split the budgets differently, and together they
    /// would exceed them. This also applies to a scheduler that has just started, unless the fleet is so large that it
    /// cannot recently have been small enough for unbounded subsets.
    fn suspend_slow_start_budgets(&mut self) {
        let window = self.settings.overload_window + self.settings.overload_window / 4;
        self.transition_until = self.now + self.settings.poll_interval + window;
    }

    /// Resumes the use of slow-start budgets once all schedulers have made the transition.
    pub(super) fn resume_slow_start_budgets(&mut self, events: &mut Vec<Event>) {
        if self.transition_until == 0 || self.is_in_transition() {
            return;
        }
        self.transition_until = 0;
        let entries = self
            .fleet
            .values()
            .filter(|node| !self.is_bounded || self.visible.contains(&node.entry.node))
            .map(|node| self.visible_entry(&node.entry, FreeCapacity::Omitted))
            .collect();
        self.push_subset_change(entries, events);
    }

    /// Recomputes for each node whether this scheduler owns one of its replica slots in use.
    fn update_replicas(&mut self) {
        let owned: Vec<bool> = self
            .fleet
            .values()
            .map(|node| self.owns_replica(&node.entry))
            .collect();
        for (node, is_replica) in self.fleet.values_mut().zip(owned) {
            node.is_replica = is_replica;
        }
    }

    /// Forwards all entries of an update, while the subset is unbounded.
    fn forward_unbounded(&mut self, update: NodeListUpdate<'_>, events: &mut Vec<Event>) {
        for entry in update.entries {
            self.handed_over.remove_unlisted(entry.node);
            self.mark_capacity_reported(entry.node);
        }
        let forwarded_entry = |entry: &NodeEntry| {
            if self.is_in_transition() {
                self.visible_entry(entry, FreeCapacity::AsListed)
            } else {
                entry.clone()
            }
        };
        events.push(update.event(update.entries.iter().map(forwarded_entry).collect()));
    }

    /// Forwards all visible nodes, after a full list or a change of the whole subset.
    fn forward_full(&mut self, update: NodeListUpdate<'_>, events: &mut Vec<Event>) {
        let mut entries: Vec<NodeEntry> = self
            .fleet
            .values()
            .filter(|node| !self.is_bounded || self.should_be_visible(node))
            .map(|node| self.visible_entry(&node.entry, FreeCapacity::if_unreported(node)))
            .collect();
        for entry in &entries {
            self.mark_capacity_reported(entry.node);
        }
        self.visible.clear();
        if self.is_bounded {
            self.visible.extend(entries.iter().map(|entry| entry.node));
        }
        entries.extend(self.take_listed_domains(update.entries));
        // The inner scheduler treats nodes that are missing from a full list as gone.
        let kind = match update.kind {
            ListUpdateKind::Cached => ListUpdateKind::Cached,
            ListUpdateKind::Full
            | ListUpdateKind::Incremental
            | ListUpdateKind::SubsetChange
            | ListUpdateKind::Failed => ListUpdateKind::Full,
        };
        events.push(NodeListUpdate { kind, ..update }.event(entries));
    }

    /// Forwards the changes that concern the subset.
    fn forward_incremental(
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
        // Forwarded even if empty, because it is the response to a poll of the list.
        events.push(update.event(entries));
        // Services that lost a preferred node now have a different one.
        let mut nodes = removed_preferred;
        nodes.extend(self.preferred.nodes());
        let entries = self.update_visibility(nodes);
        self.push_subset_change(entries, events);
    }

    /// Returns the entry that reports a changed entry to the inner scheduler; `None` if the node was not visible and
    /// does not become visible.
    fn changed_entry(&mut self, entry: &NodeEntry) -> Option<NodeEntry> {
        let node = self.fleet.get(&entry.node);
        if node.is_some_and(|node| self.should_be_visible(node)) {
            self.visible.insert(entry.node);
            self.mark_capacity_reported(entry.node);
            Some(self.visible_entry(entry, FreeCapacity::AsListed))
        } else if self.visible.remove(&entry.node) {
            Some(gone_entry(entry))
        } else {
            None
        }
    }
}

/// Returns the kind of a node that accepts tasks, or `None` if it does not accept any.
fn ready_kind(entry: &NodeEntry) -> Option<u8> {
    (entry.state == NodeStatus::Ready).then_some(entry.kind)
}
