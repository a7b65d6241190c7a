//! Health checks: detects unresponsive nodes and sends probes.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::node::Node;
use super::timeouts::OVERDUE_FACTOR;
use crate::api::{Action, Micros, NodeId, PlacementAck};

/// Probability of a probe after a dispatch. Any probability above zero meets the update condition
/// of L-JBA, and each probe has a cost.
const PROBE_PROBABILITY: f64 = 0.25;

impl Scheduler {
    /// Records that a message from a node has arrived, and ends its [`BackoffScope::Unresponsive`]
    /// backoff.
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

    /// Marks a node as unresponsive after it failed to answer in time.
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

    /// Detects nodes that have become unresponsive, and probes unresponsive nodes whose backoff has
    /// expired.
    ///
    /// Each attempt waits for its own timeout. Without this check an unresponsive node would
    /// receive further tasks in the meantime.
    pub(super) fn check_responsiveness(&mut self) {
        let nodes = &self.nodes;
        let has_unanswered = |id: &NodeId| {
            nodes
                .get(id)
                .is_some_and(|node| !node.unanswered.is_empty())
        };
        self.awaited_nodes.retain(has_unanswered);
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

    /// Whether the node has been silent for longer than its oldest unanswered attempt may take.
    fn is_overdue(&self, node: &Node) -> bool {
        let Some(oldest_sent_at) = node.unanswered.values().copied().min() else {
            return false;
        };
        let min_allowed = self.shortest_objective() as f64;
        let allowed = match self.settings.placement_ack {
            PlacementAck::Accepted => min_allowed,
            PlacementAck::Running => {
                let estimates = node.pending_starts.values().map(|start| start.estimate);
                (estimates.fold(0.0, f64::max) * OVERDUE_FACTOR).max(min_allowed)
            }
        };
        let silent_since: Micros = node.last_contact.max(oldest_sent_at);
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

    /// Probes a random ready node after a fraction of the dispatches, if probes are allowed.
    pub(super) fn probe_sampled_node(&mut self) {
        if self.settings.can_probe && self.rng.f64() < PROBE_PROBABILITY {
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
