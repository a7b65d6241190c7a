//! Additions to and removals from the node list.

use super::{Core, Output};
use crate::Decide;
use crate::nodes::ListedNode;
use crate::request_state::RequestEntry;
use peppercove::{ListUpdateKind, NodeId};

impl<D: Decide> Core<D> {
    /// Applies an update of the node list, and connects to or disconnects from nodes accordingly.
    pub(super) fn on_node_list(
        &mut self,
        kind: ListUpdateKind,
        generation: u64,
        listed: &[ListedNode],
    ) {
        let (entries, changes) = self.nodes.apply_list(self.now, kind, generation, listed);
        self.report_node_list(kind, generation, entries);
        for node in changes.added {
            self.on_node_added(node);
        }
        if kind != ListUpdateKind::Incremental {
            self.release_orphans_of_unknown_nodes();
        }
        for node in changes.removed {
            if self.nodes.is_connected(node) {
                self.forget_node(node);
            } else {
                self.mark_placed_tasks_lost(node);
            }
        }
    }

    fn on_node_added(&mut self, node: NodeId) {
        for (copy, spec) in self.attempt_log.on_node_listed(node) {
            self.track_orphan(copy, spec);
        }
        if let Some(known_node) = self.nodes.get(node) {
            self.outputs.push(Output::Connect {
                node,
                address: known_node.address,
                name: known_node.name.clone(),
            });
        }
    }

    /// Releases the orphans at nodes known only to earlier incarnations and absent from the list: these nodes cannot
    /// report.
    fn release_orphans_of_unknown_nodes(&mut self) {
        let nodes = self.attempt_log.nodes_with_open_copies();
        for node in nodes
            .into_iter()
            .filter(|node| self.nodes.get(*node).is_none())
            .collect::<Vec<_>>()
        {
            self.release_orphans_of(node);
        }
    }

    /// Disconnects from a removed node, unless it still holds an attempt whose updates are expected.
    pub(super) fn forget_node(&mut self, node: NodeId) {
        let holds_attempt = |entry: &RequestEntry| {
            entry
                .attempts
                .iter()
                .any(|a| a.node == node && a.ended.is_none())
        };
        if self.nodes.is_removed(node) && !self.requests.iter().any(holds_attempt) {
            self.release_orphans_of(node);
            self.nodes.forget(node);
            self.outputs.push(Output::Disconnect(node));
        }
    }
}
