//! Connections to nodes, their health, and reconnection.

use super::node_connections::HealthReview;
use super::request::{AttemptId, AttemptState, HealthCheck, Request};
use super::timers::Timer;
use super::{Disconnect, NodeConnectionId, Output, PlatformEngine};
use crate::wire::{Message, MessageKind, code};
use peppercove::{AttemptOutcome, Event, Idempotency, NodeId};
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// Sends a message to a node. Returns the number of bytes sent before it on the connection.
    pub(super) fn send_to_node(&mut self, connection: NodeConnectionId, message: &Message) -> u64 {
        let frame = message.encode();
        let offset = self.nodes.record_sent(connection, frame.len());
        self.outputs.push(Output::SendToNode(connection, frame));
        offset
    }

    /// Sends a health check to verify that a connection works.
    pub(super) fn send_health_check(&mut self, connection: NodeConnectionId) -> HealthCheck {
        let id = self.nodes.start_health_check(connection, self.now);
        let message = Message::new(MessageKind::Test, id).with(code::CAUSE, &[0]);
        self.send_to_node(connection, &message);
        HealthCheck { connection, id }
    }

    pub(super) fn on_node_connected(&mut self, connection: NodeConnectionId) {
        if let Some(node) = self.nodes.on_connected(connection, self.now) {
            self.send_pending_cancels(node);
        }
        self.send_queued(connection);
    }

    /// Sends the pending cancellations of a node over any established connection.
    fn send_pending_cancels(&mut self, node: NodeId) {
        if let Some(connection) = self.nodes.any_connected(node) {
            for request in self.nodes.take_pending_cancels(node) {
                self.send_task_cancel(connection, request);
            }
        }
    }

    pub(super) fn on_node_disconnected(
        &mut self,
        connection: NodeConnectionId,
        disconnect: Disconnect,
    ) {
        let Some(closed) = self.nodes.on_disconnected(connection) else {
            return;
        };
        let node = closed.node;
        let is_clean = matches!(disconnect, Disconnect::Broken { is_clean: true, .. });
        let was_idle = closed.attempts.is_empty() && (is_clean || closed.was_evicted);
        if !was_idle && self.nodes.any_connected(node).is_none() {
            self.on_connections_broken(node);
        }
        for attempt in closed.attempts {
            self.end_attempt_on_disconnect(attempt, node, disconnect);
        }
        if disconnect == Disconnect::Refused || self.nodes.is_gone(node) {
            // The node's process no longer runs, and its tasks ended with it.
            self.mark_all_tasks_lost(node);
        }
        if !matches!(disconnect, Disconnect::Broken { is_clean: true, .. }) {
            self.nodes.require_new_connection(node);
        }
        // Invariant: each cancellation is resent until it is read. If another connection is established, no new one is
        // opened, so cancellations that were unread on this connection must be sent over it now.
        self.send_pending_cancels(node);
        if let Some(delay) = self.nodes.reconnect_delay(node) {
            self.timers
                .schedule(self.now + delay, Timer::Reconnect(node));
        }
    }

    /// Handles the loss of the last connection to a node, other than the close of an idle one.
    ///
    /// Race: another node may have taken over the address before the list shows it. It does not know the keys of the
    /// tasks that may have run on the former one, and must not be sent them, also if that was decided before.
    fn on_connections_broken(&mut self, node: NodeId) {
        self.events.push(Event::NodeConnectionsBroken { node });
        for attempt in self.nodes.queued_for(node) {
            let request = self.requests.get(attempt.request);
            if request.is_some_and(|request| self.relies_on_key(request)) {
                self.abandon_attempt(attempt, AttemptOutcome::Unreachable, false);
            }
        }
    }

    /// Whether only the key of a task prevents that it runs a second time.
    fn relies_on_key(&self, request: &Request) -> bool {
        let Some(payload) = &request.payload else {
            return false;
        };
        let mut names = self.schema.classes.iter().map(String::as_bytes);
        let class = names.position(|name| *name == *payload.class);
        let class = class.and_then(|index| self.settings.classes.get(index));
        let is_keyed =
            class.is_some_and(|class| matches!(class.idempotency, Idempotency::Keyed { .. }));
        is_keyed && request.has_unresolved_attempt()
    }

    fn end_attempt_on_disconnect(&mut self, id: AttemptId, node: NodeId, disconnect: Disconnect) {
        let request = self.requests.get(id.request);
        let Some(attempt) = request.and_then(|r| r.attempt(id.number)) else {
            return;
        };
        let may_have_run = match attempt.state {
            AttemptState::Queued => false,
            AttemptState::Sent { offset, end: _ } => may_have_reached_node(offset, disconnect),
            AttemptState::Resolved | AttemptState::Unresolved => return,
        };
        let (outcome, state) = if may_have_run {
            (AttemptOutcome::Lost, AttemptState::Unresolved)
        } else {
            (AttemptOutcome::Unreachable, AttemptState::Resolved)
        };
        self.close_attempt(id, state, false);
        self.report_attempt_end(id, node, outcome.into(), false);
    }

    /// Opens a connection to a node with tasks if none is left that can carry task ends and cancellations.
    pub(super) fn ensure_connection(&mut self, node: NodeId) {
        self.nodes
            .ensure_connection(node, self.bounds, &mut self.outputs);
    }

    /// Starts monitoring the connections to a node, for as long as it has attempts or tasks.
    pub(super) fn start_monitoring(&mut self, node: NodeId) {
        if self.nodes.start_monitoring(node, self.now) {
            let at = self.now + self.bounds.health_check_interval;
            self.timers.schedule(at, Timer::MonitorNode(node));
        }
    }

    /// Sends health checks on the silent connections to a node, and closes those whose check was not answered in time.
    pub(super) fn monitor_node(&mut self, node: NodeId) {
        let Some(review) = self.nodes.review_health(node, self.now, self.bounds) else {
            // A handover may name any node. Unlisted nodes are removed with their last task.
            self.nodes.remove_if_gone(node);
            return;
        };
        let HealthReview {
            to_check,
            to_close,
            is_unreachable,
        } = review;
        let at = self.now + self.bounds.health_check_interval;
        self.timers.schedule(at, Timer::MonitorNode(node));
        for connection in to_check {
            self.send_health_check(connection);
        }
        self.outputs.extend(to_close.into_iter().map(Output::Close));
        // An earlier reconnect may have failed for lack of a free descriptor, in which case no timer retries it.
        self.ensure_connection(node);
        if is_unreachable {
            self.on_unreachable(node);
        }
    }

    /// Removes a node that has left the list, with its tasks and connections.
    pub(super) fn remove_gone_node(&mut self, node: NodeId) {
        if !self.nodes.is_gone(node) {
            return;
        }
        let connections = self.nodes.connections_of(node);
        self.cancel_tasks_at_address(node, &connections);
        self.mark_all_tasks_lost(node);
        self.outputs
            .extend(connections.into_iter().map(Output::Close));
        self.nodes.remove_if_gone(node);
    }

    /// Cancels the tasks of a node that has left the list at the process to which its connections lead.
    ///
    /// Race: another node may have taken over the address before the list showed it. Tasks that were placed on these
    /// connections then run there, and must not run on after their clients were notified that they ended.
    fn cancel_tasks_at_address(&mut self, node: NodeId, connections: &[NodeConnectionId]) {
        let is_connected = |connection: &NodeConnectionId| self.nodes.is_connected(*connection);
        let connected: Vec<NodeConnectionId> =
            connections.iter().copied().filter(is_connected).collect();
        for id in self.nodes.running_tasks_on(node) {
            let Some(wire_id) = self.requests.get(id).map(|request| request.wire_id) else {
                continue;
            };
            for connection in &connected {
                self.send_attempt_cancel(*connection, wire_id);
            }
        }
    }
}

/// Whether any byte of a message at this offset may have reached the node.
fn may_have_reached_node(offset: u64, disconnect: Disconnect) -> bool {
    match disconnect {
        Disconnect::Broken { bytes_written, .. } => bytes_written > offset,
        Disconnect::Refused | Disconnect::ConnectFailed => true,
    }
}
