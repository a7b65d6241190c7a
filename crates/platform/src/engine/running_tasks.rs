//! Running tasks, from placement to completion.

use super::request::{AttemptEnd, AttemptId, AttemptState, PendingCancel, Request};
use super::{NodeConnectionId, PlatformEngine};
use crate::wire::{Message, cause};
use peppercove::{AttemptOutcome, Event, Micros, NodeId, RequestId, TaskKey};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

impl<D: Decide> PlatformEngine<D> {
    /// Marks the request as placed by its open attempt. The final answer has already been sent to the client.
    pub(super) fn mark_placed(&mut self, id: AttemptId, node: NodeId) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        let transition = request.state.transition_to(RequestState::Placed(id.number));
        debug_assert!(transition.is_ok());
        request.placed_at = self.now;
        request.payload = None;
        let (client, task) = (request.client, request.task);
        let deadline_timer = request.deadline_timer.take();
        let Some(attempt) = request.attempt_mut(id.number) else {
            return;
        };
        attempt.state = AttemptState::Resolved;
        let timers = attempt.take_timers();
        self.nodes.remove_attempt(attempt.connection, id);
        self.cancel_timers([deadline_timer]);
        self.cancel_timers(timers);
        self.remove_open_request(client, id.request);
        self.on_task_confirmed(client);
        self.events.push(Event::Placed {
            request: id.request,
            attempt: id.number,
            node,
        });
        self.track_running_task(node, id.request, task);
    }

    /// Starts tracking a task that runs on this node.
    pub(super) fn track_running_task(&mut self, node: NodeId, request: RequestId, task: TaskKey) {
        self.nodes.add_running_task(node, request, task);
        self.start_monitoring(node);
        self.ensure_connection(node);
    }

    /// Completes a request whose task has ended, and reports the end to the scheduler.
    pub(super) fn complete_task(&mut self, id: AttemptId, end: AttemptEnd) {
        self.untrack_task(id, end);
        self.requests.remember_ended(id.request);
    }

    /// Stops tracking a running task, and reports its end to the scheduler.
    pub(super) fn untrack_task(&mut self, id: AttemptId, end: AttemptEnd) {
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
        let unconfirmed_from = request.unconfirmed_from.take();
        self.requests.mark_completed(id.request);
        if let Some(client) = unconfirmed_from {
            self.unconfirmed_handovers.remove(client, id.request);
        }
        self.nodes.remove_running_task(node, id.request);
        self.report_attempt_end(id, node, end, true);
    }

    /// Cancels a running task at its node.
    ///
    /// Invariant: the end is reported to the scheduler only after the node has read the cancellation or can no longer
    /// be running the task. An unreachable node keeps running it; if the end were reported earlier, the task's capacity
    /// and its place in the topology spread would be assigned a second time.
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

    /// Sends a cancellation over the connection of the attempt that placed the task, or over any other established
    /// connection to the node. If there is none, the cancellation is sent once a connection is established.
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

    /// Sends a cancellation followed by a health check, whose answer confirms that the cancellation was read. If the
    /// connection ends first, the cancellation is sent again.
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

    /// Completes a cancelled task once its node has read the cancellation or can no longer be running the task.
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

    /// Executes a migration requested by the scheduler: asks the client to request a new placement, and cancels the
    /// task at its node.
    pub(super) fn migrate(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.pending_cancel.is_some() || request.placed_attempt().is_none() {
            return;
        }
        self.notify_migration(id);
        self.cancel_task(id, AttemptOutcome::Cancelled, cause::CALLED_OFF);
    }

    /// Ends the tasks that were placed on a node before `time`, because the process that ran them has ended.
    pub(super) fn mark_tasks_lost_before(&mut self, node: NodeId, time: Micros) {
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

    /// Ends all tasks on a node whose process has ended.
    pub(super) fn mark_all_tasks_lost(&mut self, node: NodeId) {
        self.mark_tasks_lost_before(node, Micros::MAX);
    }

    /// Notifies the clients of all tasks on an unreachable node that their tasks are lost. The tasks may still be
    /// running, so they are also cancelled.
    pub(super) fn on_unreachable(&mut self, node: NodeId) {
        if !self.nodes.has_address(node) {
            // The node was never listed: without an address, it cannot be connected to.
            self.mark_all_tasks_lost(node);
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
