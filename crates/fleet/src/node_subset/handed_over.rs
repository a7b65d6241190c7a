//! Running tasks that were handed over to this scheduler and whose nodes are not visible.
//!
//! The inner scheduler must know the topology domain of each running task, because a task with an unknown domain counts
//! in all domains. Therefore the nodes of these tasks are reported to it as well, as gone.

use super::NodeSubset;
use super::fleet_node::gone_entry;
use peppercove::{Event, NodeEntry, NodeId, PlacementRequest, RequestId};
use peppercove_core::Decide;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes of handed-over tasks whose topology domain has not been reported to the inner scheduler yet.
#[derive(Debug, Default)]
pub(super) struct HandedOverTasks {
    /// Tasks on nodes that are not in the node list yet.
    unlisted: BTreeMap<NodeId, BTreeSet<RequestId>>,
    /// Nodes in the node list that are not visible.
    hidden: BTreeSet<NodeId>,
}

impl HandedOverTasks {
    pub(super) fn unlisted_nodes(&self) -> usize {
        self.unlisted.len()
    }

    /// Removes the tasks of a node that is now in the list; returns whether there were any.
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
    /// Records a handed-over task if its node is not visible.
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

    /// Reports the topology domains of the hidden nodes to the inner scheduler, all in one list, because the scheduler
    /// scans its node table for each list.
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

    /// Returns the entries that report the topology domains of nodes with handed-over tasks that are now listed, even
    /// if as gone, and are not visible.
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
