//! Tasks from their placement to their end.

use super::request::{AttemptEnd, AttemptId, AttemptState, PendingCancel, Request};
use super::{NodeConnectionId, PlatformEngine};
use crate::wire::{Message, MessageKind, cause};
use peppercove::{AttemptOutcome, Event, Micros, NodeId, RequestId, TaskKey};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

impl<D: Decide> PlatformEngine<D> {
    /// The attempt that is open has placed its task, and the client has its final answer.
    pub(super) fn mark_placed(&mut self, id: AttemptId, node: NodeId) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        let transition = request.state.transition_to(RequestState::Placed(id.number));
        debug_assert!(transition.is_ok());
        request.placed_at = self.now;
        request.payload = None;
        let (client, task) = (request.client, request.task);
        let Some(attempt) = request.attempt_mut(id.number) else {
            return;
        };
        attempt.state = AttemptState::Resolved;
        self.nodes.remove_attempt(attempt.connection, id);
        self.remove_open_request(client, id.request);
        self.events.push(Event::Placed {
            request: id.request,
            attempt: id.number,
            node,
        });
        self.track_running_task(node, id.request, task);
    }

    /// A task runs on this node from now on.
    pub(super) fn track_running_task(&mut self, node: NodeId, request: RequestId, task: TaskKey) {
        self.nodes.add_running_task(node, request, task);
        self.start_monitoring(node);
        self.ensure_connection(node);
    }

    /// A task has ended: the module is informed, and the request is removed.
    pub(super) fn complete_task(&mut self, id: AttemptId, end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        let completed = request.state.transition_to(RequestState::Completed);
        if completed.is_err() {
            return;
        }
        let Some(node) = request.attempt(id.number).map(|a| a.node) else {
            return;
        };
        self.requests.mark_completed(id.request);
        self.nodes.remove_running_task(node, id.request);
        self.report_attempt_end(id, node, end, true);
    }

    /// Cancels a running task at its node.
    ///
    /// Invariant: the module is informed of the end only once the node has read the cancellation, or can hold the task
    /// no more. A node that cannot be reached goes on with the task, and its capacity and its share of the topology
    /// spread would be given away twice.
    pub(super) fn cancel_task(&mut self, id: RequestId, outcome: AttemptOutcome, cause: u8) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.pending_cancel.is_some() || request.placed_attempt().is_none() {
            return;
        }
        request.pending_cancel = Some(PendingCancel { outcome, cause });
        request.ambiguous_end = None;
        self.deliver_cancel(id);
    }

    /// Sends a cancellation over the connection of the attempt that placed the task, over another one, or over the next
    /// that is established.
    pub(super) fn deliver_cancel(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let placed = request.placed_attempt().and_then(|n| request.attempt(n));
        let Some(attempt) = placed else {
            return;
        };
        let (node, own_connection) = (attempt.node, attempt.connection);
        let connection = if self.nodes.is_connected(own_connection) {
            Some(own_connection)
        } else {
            self.nodes.any_connected(node)
        };
        match connection {
            Some(connection) => self.send_task_cancel(connection, id),
            None => {
                self.nodes.add_pending_cancel(node, id);
                self.ensure_connection(node);
            }
        }
    }

    /// Sends a cancellation with a health check behind it, whose answer shows that it was read. Where the connection
    /// ends before, the cancellation is sent again.
    pub(super) fn send_task_cancel(&mut self, connection: NodeConnectionId, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(PendingCancel { cause, outcome: _ }) = request.pending_cancel else {
            return;
        };
        let message = Message::release(request.wire_id, cause);
        let offset = self.send_to_node(connection, &message);
        self.nodes.add_unread_cancel(connection, offset, id);
        self.send_health_check(connection);
    }

    /// A node has read a cancellation, or can hold the task no more.
    pub(super) fn on_cancel_confirmed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let (Some(cancel), Some(number)) = (request.pending_cancel, request.placed_attempt()) {
            let attempt = AttemptId {
                request: id,
                number,
            };
            self.complete_task(attempt, cancel.outcome.into());
        }
    }

    /// Carries out a migration of the module: the client is asked to have the task placed anew, and the node to end it.
    pub(super) fn migrate(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.pending_cancel.is_some() || request.placed_attempt().is_none() {
            return;
        }
        let (client, wire_id) = (request.client, request.wire_id);
        self.send_to_client(client, &Message::new(MessageKind::Move, wire_id));
        self.cancel_task(id, AttemptOutcome::Cancelled, cause::CALLED_OFF);
    }

    /// Tasks that were placed on a node before `time` are lost with the process that ran them.
    pub(super) fn lose_tasks_placed_before(&mut self, node: NodeId, time: Micros) {
        for id in self.nodes.running_tasks_on(node) {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let Some(number) = request.placed_attempt() else {
                continue;
            };
            if request.pending_cancel.is_some() {
                self.on_cancel_confirmed(id);
            } else if request.placed_at < time {
                self.counters.lost += 1;
                self.notify_end(id, cause::CUT);
                let attempt = AttemptId {
                    request: id,
                    number,
                };
                self.complete_task(attempt, AttemptOutcome::Lost.into());
            }
        }
    }

    /// No process runs on the node any more.
    pub(super) fn lose_all_tasks(&mut self, node: NodeId) {
        self.lose_tasks_placed_before(node, Micros::MAX);
    }

    /// A node has been silent for so long that the clients of its tasks must be notified. Whether the tasks run on is
    /// not known.
    pub(super) fn on_unreachable(&mut self, node: NodeId) {
        if !self.nodes.has_address(node) {
            // No list has ever named it, so that no connection to it is possible.
            self.lose_all_tasks(node);
            return;
        }
        for id in self.nodes.running_tasks_on(node) {
            let is_cancelled = |r: &Request| r.pending_cancel.is_some();
            if self.requests.get(id).is_some_and(|r| !is_cancelled(r)) {
                self.counters.lost += 1;
                self.notify_end(id, cause::CUT);
                self.cancel_task(id, AttemptOutcome::Lost, cause::ORDINARY);
            }
        }
    }
}
