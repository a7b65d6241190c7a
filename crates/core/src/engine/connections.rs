//! Connections to nodes, and the tasks that nodes report when they connect.

use super::placed_tasks::PlacedEnd;
use super::{AttemptUpdate, Core, ReportedTask, Timer};
use crate::Decide;
use crate::attempt_log::{AttemptId, NodeReport, TaskCopy};
use crate::nodes::ConnectionState;
use crate::request_state::RequestEntry;
use peppercove::{AttemptOutcome, ListUpdateKind, NodeId};

impl<D: Decide> Core<D> {
    /// Handles a new connection to a node, after the node has reported the tasks that it holds for this controller.
    pub(super) fn on_node_connected(
        &mut self,
        node: NodeId,
        incarnation: u64,
        is_complete: bool,
        reported: Vec<ReportedTask>,
    ) {
        if self.nodes.is_connected(node) {
            // A second connection replaces the first: messages in transit on the first are lost, as if it had broken.
            self.on_node_disconnected(node);
        }
        if !self.set_connected(node, incarnation) {
            return;
        }
        let reported: Vec<ReportedTask> = reported
            .into_iter()
            .filter_map(|task| self.resolve_previous_id(node, task))
            .collect();
        let held: Vec<TaskCopy> = reported.iter().map(|task| task.copy_at(node)).collect();
        let report = NodeReport {
            node,
            node_incarnation: incarnation,
            is_complete,
            held: &held,
        };
        for copy in self.attempt_log.reconcile_node(self.now, report) {
            self.release_orphan(copy);
        }
        self.mark_unreported_tasks_lost(node, &held);
        for (copy, task) in held.into_iter().zip(reported) {
            self.on_reported_task(copy, task);
        }
        self.forget_previous_ids(node);
    }

    /// Marks a node as connected. Returns false if the node is unknown.
    fn set_connected(&mut self, node: NodeId, incarnation: u64) -> bool {
        let Some(known_node) = self.nodes.get_mut(node) else {
            return false;
        };
        known_node.connection = ConnectionState::Connected;
        known_node.reported_incarnation = Some(incarnation);
        // The node list shows the new incarnation only seconds later. Until then, controllers that do not know of the
        // restart would overload the node, which has just started.
        if let Some(entry) = known_node.on_restart(self.now, incarnation) {
            let version = self.nodes.generation;
            self.report_node_list(ListUpdateKind::Incremental, version, vec![entry]);
        }
        true
    }

    /// Marks placed tasks as lost that their node no longer holds.
    fn mark_unreported_tasks_lost(&mut self, node: NodeId, held: &[TaskCopy]) {
        let placed = self.placed_at(node);
        let unreported = |attempt: &AttemptId| !held.contains(&self.own_copy(*attempt));
        let unreported: Vec<AttemptId> = placed.into_iter().filter(unreported).collect();
        for attempt in unreported {
            self.end_placed(attempt, PlacedEnd::lost());
        }
    }

    fn on_reported_task(&mut self, copy: TaskCopy, task: ReportedTask) {
        if copy.incarnation == self.limits.incarnation {
            let attempt = copy.attempt;
            // Attempts in flight ended with the old connection. If the copy is not placed either, it is handled like
            // any other unexpected update: an open request may take it back.
            if !self.requests.is_placed(attempt) && !self.requests.is_in_flight(attempt) {
                self.on_unexpected_update(attempt, AttemptUpdate::Running);
            }
        } else if let Some(end) = task.end {
            self.record_ended_task(copy, task, end);
        } else {
            self.adopt_reported(copy, task);
        }
    }

    /// Handles a broken connection: attempts in flight are lost, placed tasks may continue to run.
    pub(super) fn on_node_disconnected(&mut self, node: NodeId) {
        let Some(known_node) = self.nodes.get_mut(node) else {
            return;
        };
        if known_node.connection == ConnectionState::Connected {
            known_node.connection = ConnectionState::Disconnected(self.now);
            let unreachable_at = self.now.saturating_add(self.limits.unreachable_timeout);
            self.timers
                .schedule(unreachable_at, Timer::NodeUnreachable(node));
        }
        for attempt in self.in_flight_at(node) {
            self.end_attempt(attempt, AttemptOutcome::Lost.into());
        }
        if self.nodes.is_removed(node) {
            self.mark_placed_tasks_lost(node);
        }
    }

    /// Marks the tasks of a node as lost if it has been disconnected for the unreachable timeout.
    pub(super) fn on_node_unreachable(&mut self, node: NodeId) {
        let connection = self.nodes.get(node).map(|n| n.connection);
        let Some(ConnectionState::Disconnected(since)) = connection else {
            return;
        };
        if since.saturating_add(self.limits.unreachable_timeout) <= self.now {
            self.mark_placed_tasks_lost(node);
        }
    }

    /// Marks placed tasks as lost on a node that was removed or was unreachable for too long. Whether they still run
    /// stays ambiguous until the node reports again or its copies expire.
    pub(super) fn mark_placed_tasks_lost(&mut self, node: NodeId) {
        for attempt in self.placed_at(node) {
            self.end_placed(attempt, PlacedEnd::lost());
        }
        self.forget_node(node);
    }

    /// Attempts whose placed tasks run at a node.
    fn placed_at(&self, node: NodeId) -> Vec<AttemptId> {
        let placed = self
            .requests
            .iter()
            .filter_map(RequestEntry::placed_attempt);
        placed.filter(|attempt| attempt.node == node).collect()
    }

    /// Attempts in flight at a node.
    fn in_flight_at(&self, node: NodeId) -> Vec<AttemptId> {
        let in_flight = self
            .requests
            .iter()
            .flat_map(RequestEntry::attempts_in_flight);
        in_flight.filter(|attempt| attempt.node == node).collect()
    }
}
