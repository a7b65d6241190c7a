//! Notifies clients that their tasks have ended or are migrated.
//!
//! The platform has no client ids, and running tasks do not belong to a connection. A client that comes back over a new
//! connection is recognized by any message that refers to one of its tasks: a release, a handover, or a request with the
//! name of a task whose end it has not been notified of. Its tasks and the notifications kept for it then move to that
//! connection.
//!
//! A notification whose client is not connected is sent to another client that owns tasks, since it may be the same
//! client on a connection that has not referred to an old task yet. It is also kept for the client itself. Connections
//! that have not shown that they own tasks get nothing.

use super::request::Request;
use super::undelivered::Recipient;
use super::{ClientId, Output, PlatformEngine};
use crate::wire::{Message, MessageKind};
use bytes::Bytes;
use peppercove::{Micros, RequestId, TaskKey};
use peppercove_core::Decide;

/// How a task is known to exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskEvidence {
    /// A node has sent a message about it.
    Confirmed,
    /// A client has handed it over, and its node is listed.
    ListedNode,
    /// A client has handed it over, and its node has never been listed.
    Unsupported,
}

/// A notification about a task that was running.
#[derive(Clone, Debug)]
pub(super) struct Notification {
    /// The client connection that owns the task. It may be closed.
    pub(super) client: ClientId,
    pub(super) wire_id: u64,
    pub(super) task: TaskKey,
    pub(super) evidence: TaskEvidence,
    pub(super) frame: Bytes,
}

/// A notification that was sent on a connection.
#[derive(Debug)]
pub(super) struct SentNotification {
    pub(super) sent_at: Micros,
    pub(super) notification: Notification,
}

impl<D: Decide> PlatformEngine<D> {
    /// Notifies the client of a task that the task has ended.
    pub(super) fn notify_end(&mut self, request: RequestId, cause: u8) {
        self.counters.notified += 1;
        self.notify_about(request, |wire_id| Message::release(wire_id, cause));
    }

    /// Asks the client of a task to request a new placement, because the task is going to end.
    pub(super) fn notify_migration(&mut self, request: RequestId) {
        self.notify_about(request, |wire_id| Message::new(MessageKind::Move, wire_id));
    }

    fn notify_about(&mut self, id: RequestId, message: impl FnOnce(u64) -> Message) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        self.notify(Notification {
            client: request.client,
            wire_id: request.wire_id,
            task: request.task,
            evidence: self.evidence_of(request),
            frame: message(request.wire_id).encode(),
        });
    }

    pub(super) fn evidence_of(&self, request: &Request) -> TaskEvidence {
        if request.unconfirmed_from.is_none() {
            return TaskEvidence::Confirmed;
        }
        let placed = request.placed_attempt().and_then(|n| request.attempt(n));
        match placed.is_some_and(|attempt| self.nodes.has_address(attempt.node)) {
            true => TaskEvidence::ListedNode,
            false => TaskEvidence::Unsupported,
        }
    }

    /// Sends a notification to its client, or else to another client that owns tasks. Unless it was sent to the client
    /// itself, it is kept until that client comes back.
    pub(super) fn notify(&mut self, notification: Notification) {
        if self.clients.contains_key(&notification.client) {
            self.send_notification(notification.client, notification);
            return;
        }
        let concerns_others = notification.evidence != TaskEvidence::Unsupported;
        let recipient = match self.latest_owner() {
            _ if !concerns_others => Recipient::OwnClient { sent_on: None },
            None => Recipient::AnyOwner,
            Some(connection) => {
                self.send_notification(connection, notification.clone());
                Recipient::OwnClient {
                    sent_on: Some(connection),
                }
            }
        };
        self.keep_undelivered(notification, recipient);
    }

    /// Sends a notification on an open connection.
    fn send_notification(&mut self, connection: ClientId, notification: Notification) {
        let frame = notification.frame.clone();
        if let Some(client) = self.clients.get_mut(&connection) {
            let oldest_kept = self.now.saturating_sub(self.bounds.health_check_timeout);
            let recent = &mut client.recent_notifications;
            recent.retain(|sent| sent.sent_at > oldest_kept);
            recent.push_back(SentNotification {
                sent_at: self.now,
                notification,
            });
        }
        self.outputs.push(Output::SendToClient(connection, frame));
    }

    /// The latest open connection of a client that owns tasks.
    fn latest_owner(&self) -> Option<ClientId> {
        let mut latest_first = self.clients.iter().rev();
        latest_first
            .find(|(_, client)| client.owns_tasks)
            .map(|(id, _)| *id)
    }

    /// Keeps a notification until its client comes back.
    ///
    /// Since each notification is about a task that ran, their number is limited to the number of tasks that may run.
    /// Beyond that the oldest notification is dropped, and no client learns of that end.
    fn keep_undelivered(&mut self, notification: Notification, recipient: Recipient) {
        let expires_at = self.now.saturating_add(self.bounds.notification_retention);
        let limit = self.bounds.running_tasks;
        self.undelivered.remove_expired(self.now);
        self.undelivered
            .insert(notification, recipient, expires_at, limit);
    }

    /// Records that a client owns tasks, because it has sent a valid request or referred to a task. Sends it the
    /// notifications that were not sent to any client.
    pub(super) fn on_owner_active(&mut self, connection: ClientId) {
        let client = self.clients.entry(connection).or_default();
        if !std::mem::replace(&mut client.owns_tasks, true) {
            self.notify_untracked_ends(connection);
        }
        self.undelivered.remove_expired(self.now);
        for notification in self.undelivered.take_for_any_owner() {
            self.send_notification(connection, notification.clone());
            let recipient = Recipient::OwnClient {
                sent_on: Some(connection),
            };
            self.keep_undelivered(notification, recipient);
        }
    }

    /// Records that a message on `connection` refers to a task of `client`. If the connection of `client` is closed,
    /// its tasks and the notifications kept for it move to this connection. A task that only a client has mentioned does
    /// not show that the client owns any.
    pub(super) fn on_owner_returned(
        &mut self,
        client: ClientId,
        connection: ClientId,
        evidence: TaskEvidence,
    ) {
        if client != connection && !self.clients.contains_key(&client) {
            self.clients.entry(connection).or_default();
            self.move_tasks(client, connection);
            self.undelivered.remove_expired(self.now);
            for mut notification in self.undelivered.take_of_client(client, connection) {
                notification.client = connection;
                self.send_notification(connection, notification);
            }
        }
        if evidence == TaskEvidence::Confirmed {
            self.on_owner_active(connection);
        }
    }

    fn move_tasks(&mut self, from: ClientId, to: ClientId) {
        for id in self.task_owners.move_all(from, to) {
            if let Some(request) = self.requests.get_mut(id) {
                request.client = to;
            }
        }
    }
}
