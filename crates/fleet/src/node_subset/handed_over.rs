//! Tasks that were handed over to this scheduler while they run on nodes that are not visible.
//!
//! The inner module must know the topology domain of each running task: a task whose domain it does not know counts in
//! all domains. It is therefore told of those nodes too, as gone.

use super::NodeSubset;
use super::fleet_node::gone_entry;
use peppercove::{Event, NodeEntry, NodeId, PlacementRequest, RequestId};
use peppercove_core::Decide;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes of tasks that were handed over and whose topology domain the inner module has not been told yet.
#[derive(Debug, Default)]
pub(super) struct HandedOverTasks {
    /// Tasks on nodes that the list has not named yet.
    unlisted: BTreeMap<NodeId, BTreeSet<RequestId>>,
    /// Listed nodes that are not visible.
    hidden: BTreeSet<NodeId>,
}

impl HandedOverTasks {
    pub(super) fn unlisted_nodes(&self) -> usize {
        self.unlisted.len()
    }

    /// Forgets the tasks of a node that the list has named; returns whether there were any.
    pub(super) fn remove_unlisted(&mut self, node: NodeId) -> bool {
        self.unlisted.remove(&node).is_some()
    }

    pub(super) fn on_attempt_ended(&mut self, request: RequestId, node: NodeId) {
        if let Some(requests) = self.unlisted.get_mut(&node) {
            requests.remove(&request);
            if requests.is_empty() {
                self.unlisted.remove(&node);
            }
        }
    }
}

impl<D: Decide> NodeSubset<D> {
    /// Notes a task that was handed over, where its node is not visible.
    pub(super) fn on_running_task(&mut self, request: &PlacementRequest, node: NodeId) {
        if !self.fleet.contains_key(&node) {
            self.handed_over
                .unlisted
                .entry(node)
                .or_default()
                .insert(request.id);
        } else if self.is_bounded && !self.visible.contains(&node) {
            self.handed_over.hidden.insert(node);
        }
    }

    /// Tells the inner module the topology domains of the hidden nodes, all in one list: the module goes through its
    /// table for each list.
    pub(super) fn report_hidden_domains(&mut self, events: &mut Vec<Event>) {
        let hidden = std::mem::take(&mut self.handed_over.hidden);
        let entries = hidden
            .iter()
            .filter(|node| !self.visible.contains(node))
            .filter_map(|node| self.fleet.get(node))
            .map(|node| gone_entry(&node.entry))
            .collect();
        self.push_subset_change(entries, events);
    }

    /// The entries by which the inner module learns the topology domains of nodes that the list names now, be it as
    /// gone, and that are not visible.
    pub(super) fn take_listed_domains(&mut self, list: &[NodeEntry]) -> Vec<NodeEntry> {
        let now_listed: Vec<&NodeEntry> = list
            .iter()
            .filter(|entry| self.handed_over.remove_unlisted(entry.node))
            .collect();
        now_listed
            .into_iter()
            .filter(|entry| !self.contains(entry.node))
            .map(gone_entry)
            .collect()
    }
}
