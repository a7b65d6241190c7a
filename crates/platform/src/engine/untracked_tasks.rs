//! Ends of tasks that the engine does not track.
//!
//! A task is not tracked if its handover exceeded the limit on running tasks, or has not been received yet. Its node
//! reports the end all the same. The engine then cannot tell which client the task belongs to, so it notifies every client
//! that may own untracked tasks. Clients ignore ends of tasks that they do not know.

use super::request::AttemptId;
use super::{ClientId, PlatformEngine};
use crate::wire::{Message, MessageKind, cause};
use peppercove::NodeId;
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// Handles a message from a node that has the id of no request. Only ends of tasks have an effect.
    ///
    /// Race: a node may report on an attempt after its request was answered. Such a report must not reach the client,
    /// which would take it for a second answer.
    pub(super) fn on_untracked_message(&mut self, node: NodeId, message: &Message) {
        let Some(cause @ (cause::ORDINARY | cause::CUT)) = message.cause() else {
            return;
        };
        if message.kind != MessageKind::Release || self.requests.is_recent(message.id) {
            return;
        }
        // Without the node's other parameters, which may be long and are not sent to clients.
        let end = Message::release(message.id, cause);
        self.untracked_ends.remove_expired(self.now);
        let expires_at = self.now.saturating_add(self.bounds.notification_retention);
        let limit = self.bounds.running_tasks;
        let is_new = self
            .untracked_ends
            .insert(node, end.clone(), expires_at, limit);
        if !is_new {
            return;
        }
        let may_own_untracked_tasks = |client: &ClientId| self.may_own_untracked_tasks(*client);
        let connections: Vec<ClientId> = self
            .clients
            .keys()
            .copied()
            .filter(may_own_untracked_tasks)
            .collect();
        for connection in connections {
            self.notify_untracked_end(connection, &end);
        }
    }

    /// Records that a handover of this client is not tracked.
    pub(super) fn on_handover_dropped(&mut self, client: ClientId) {
        self.counters.handovers_dropped += 1;
        if let Some(client) = self.clients.get_mut(&client) {
            client.has_untracked_tasks = true;
        }
    }

    /// Sends the recent ends of untracked tasks to a client that has shown that it owns tasks. It may have handed over
    /// the tasks on a connection that is closed now.
    pub(super) fn notify_untracked_ends(&mut self, connection: ClientId) {
        if !self.may_own_untracked_tasks(connection) {
            return;
        }
        self.untracked_ends.remove_expired(self.now);
        let ends: Vec<Message> = self.untracked_ends.iter().cloned().collect();
        for end in ends {
            self.notify_untracked_end(connection, &end);
        }
    }

    /// Applies the end of a task that its node reported before the task was handed over.
    pub(super) fn apply_untracked_end(&mut self, client: ClientId, wire_id: u64, node: NodeId) {
        self.untracked_ends.remove_expired(self.now);
        let Some(end) = self.untracked_ends.find(wire_id, node).cloned() else {
            return;
        };
        let tracked = self.requests.find(wire_id);
        match tracked.and_then(|(id, request)| Some((id, request.placed_attempt()?))) {
            Some((request, number)) => {
                self.apply_message(AttemptId { request, number }, node, &end);
            }
            None => self.notify_untracked_end(client, &end),
        }
    }

    fn may_own_untracked_tasks(&self, client: ClientId) -> bool {
        let has_dropped_any = self.counters.handovers_dropped > 0;
        self.clients.get(&client).is_some_and(|client| {
            client.has_untracked_tasks || has_dropped_any && client.owns_tasks
        })
    }

    /// Notifies a client of an end, unless it would take the end for the answer to an open request with the same id.
    fn notify_untracked_end(&mut self, connection: ClientId, end: &Message) {
        let is_open =
            self.requests.find(end.id).is_some() || self.queue.contains(connection, end.id);
        if !is_open {
            let cause = end.cause().unwrap_or(cause::CUT);
            self.counters.notified += 1;
            self.send_to_client(connection, &Message::release(end.id, cause));
        }
    }
}
