//! Health of nodes: when one counts as unresponsive, and which are probed.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::node::Node;
use super::timeouts::OVERDUE;
use crate::api::{Action, Micros, NodeId, PlacementAck};

/// Chance of a probe after a dispatch: any chance above zero meets the update condition of L-JBA,
/// and each probe has its price.
const PROBE_CHANCE: f64 = 0.25;

impl Scheduler {
    /// A message of a node has arrived.
    pub(super) fn on_contact(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.last_contact = self.now;
        if node.backoffs.remove(BackoffScope::Unresponsive) {
            self.queue.note_capacity_change();
            self.actions
                .push(Action::Log(format!("node {:x} responds again", id.0)));
        }
    }

    /// A node has not answered what it should have answered by now.
    pub(super) fn on_unresponsive(&mut self, id: NodeId) {
        let scope = BackoffScope::Unresponsive;
        if self
            .nodes
            .get(&id)
            .is_some_and(|node| !node.backoffs.contains(scope))
        {
            self.back_off(id, scope);
            self.actions
                .push(Action::Log(format!("node {:x} is unresponsive", id.0)));
        }
    }

    /// Finds the nodes that have become unresponsive, and probes those whose backoff is over.
    ///
    /// Each attempt waits out its own timeout. Without this check an unresponsive node would
    /// attract others meanwhile.
    pub(super) fn check_responsiveness(&mut self) {
        let nodes = &self.nodes;
        let owes_answer = |id: &NodeId| {
            nodes
                .get(id)
                .is_some_and(|node| !node.unanswered.is_empty())
        };
        self.awaited_nodes.retain(owes_answer);
        let awaited = self
            .awaited_nodes
            .iter()
            .filter_map(|id| self.nodes.get(id));
        let unresponsive = awaited.filter(|node| self.is_overdue(node)).map(Node::id);
        for node in unresponsive.collect::<Vec<NodeId>>() {
            self.on_unresponsive(node);
        }
        if self.settings.can_probe {
            self.probe_unresponsive_nodes();
        }
    }

    /// No message of the node has arrived for longer than its first unanswered attempt may take.
    fn is_overdue(&self, node: &Node) -> bool {
        let Some(first_sent_at) = node.unanswered.values().copied().min() else {
            return false;
        };
        let least = self.shortest_objective() as f64;
        let allowed = match self.settings.placement_ack {
            PlacementAck::Accepted => least,
            PlacementAck::Running => {
                let estimates = node.pending_starts.values().map(|start| start.estimate);
                (estimates.fold(0.0, f64::max) * OVERDUE).max(least)
            }
        };
        let silent_since: Micros = node.last_contact.max(first_sent_at);
        silent_since as f64 + allowed < self.now as f64
    }

    fn probe_unresponsive_nodes(&mut self) {
        let is_due = |node: &Node| {
            node.backoffs
                .is_due_for_trial(BackoffScope::Unresponsive, self.now)
        };
        for node in self.ready_nodes(is_due) {
            self.back_off(node, BackoffScope::Unresponsive);
            self.actions.push(Action::Probe(node));
        }
    }

    /// Probes a random ready node after some of the dispatches, where probes are allowed.
    pub(super) fn probe_sampled_node(&mut self) {
        if self.settings.can_probe && self.rng.f64() < PROBE_CHANCE {
            let ready = self.ready_nodes(|_| true);
            if !ready.is_empty() {
                let node = ready[self.rng.usize(0..ready.len())];
                self.actions.push(Action::Probe(node));
            }
        }
    }

    fn ready_nodes(&self, passes: impl Fn(&Node) -> bool) -> Vec<NodeId> {
        let ready = self
            .nodes
            .values()
            .filter(|node| node.is_ready() && passes(node));
        ready.map(Node::id).collect()
    }
}
