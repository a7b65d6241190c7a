//! Notifies clients that their tasks have ended or are migrated.
//!
//! A notification is sent on the connection on which the task was requested or handed over. If that connection is closed,
//! or the task is not tracked, its client cannot be told from others: the notification is logged, and sent to all client
//! connections, those that are opened while it is kept included. Clients ignore notifications about tasks that they do
//! not know.

use super::clients::Client;
use super::notification_log::{Audience, LoggedNotification};
use super::request::Request;
use super::sent_notifications::SentNotification;
use super::{ClientId, Output, PlatformEngine};
use crate::wire::{Message, MessageKind};
use peppercove::{NodeId, RequestId};
use peppercove_core::Decide;

/// Maximum number of logged notifications that are sent on a connection before what was sent earlier must be written.
const NOTIFICATIONS_PER_SEND: usize = 256;
/// Maximum number of ids that are remembered of a connection because logged notifications have them. Well-behaved clients
/// use each id once.
const MAX_REUSED_IDS: usize = 64;

/// What a client is notified of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotificationKind {
    /// The task has ended, with this cause.
    Ended(u8),
    /// The task is going to end, and its client should request a new placement.
    Migrating,
}

/// A notification about a task that was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Notification {
    pub(super) wire_id: u64,
    pub(super) kind: NotificationKind,
}

impl Notification {
    /// The message to the client.
    pub(super) fn message(self) -> Message {
        match self.kind {
            NotificationKind::Ended(cause) => Message::release(self.wire_id, cause),
            NotificationKind::Migrating => Message::new(MessageKind::Move, self.wire_id),
        }
    }
}

impl<D: Decide> PlatformEngine<D> {
    /// The client connections that have not been sent all logged notifications. Each of them needs an
    /// [`Input::SendNotifications`](super::Input::SendNotifications).
    pub fn clients_to_notify(&self) -> Vec<ClientId> {
        let end = self.notification_log.end();
        let has_pending = self
            .clients
            .iter()
            .filter(|(_, client)| client.next_notification < end);
        has_pending.map(|(id, _)| *id).collect()
    }

    /// Notifies the client of a task that the task has ended.
    pub(super) fn notify_end(&mut self, request: RequestId, cause: u8) {
        self.counters.notified += 1;
        self.notify_about(request, NotificationKind::Ended(cause));
    }

    /// Asks the client of a task to request a new placement, because the task is going to end.
    pub(super) fn notify_migration(&mut self, request: RequestId) {
        self.notify_about(request, NotificationKind::Migrating);
    }

    fn notify_about(&mut self, id: RequestId, kind: NotificationKind) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(node) = last_node(request) else {
            return;
        };
        let client = request.client;
        let logged = LoggedNotification {
            notification: Notification {
                wire_id: request.wire_id,
                kind,
            },
            audience: Audience::AllClients,
            node,
            task: Some(request.task),
        };
        self.notify(client, logged);
    }

    /// Sends a notification to the connection of its client, or to all connections if that one is closed.
    pub(super) fn notify(&mut self, client: ClientId, logged: LoggedNotification) {
        let is_connected = |client: &Client| !client.is_leaving;
        if !self.clients.get(&client).is_some_and(is_connected) {
            self.log_notification(logged);
            return;
        }
        self.forget_old_notifications();
        let sent = SentNotification {
            sent_at: self.now,
            logged,
        };
        self.sent_notifications
            .insert(client, sent, self.bounds.kept_notifications);
        self.send_to_client(client, &logged.notification.message());
    }

    /// Keeps a notification for all client connections that are open or are opened in time.
    pub(super) fn log_notification(&mut self, logged: LoggedNotification) {
        self.notification_log.remove_expired(self.now);
        let expires_at = self.now.saturating_add(self.bounds.notification_retention);
        let limit = self.bounds.kept_notifications;
        self.counters.notifications_dropped +=
            self.notification_log.append(logged, expires_at, limit);
        let wire_id = logged.notification.wire_id;
        for connection in self.connections_using(wire_id) {
            self.on_id_used(connection, wire_id);
        }
        self.outputs.push(Output::NotificationsPending);
    }

    /// Records that a client connection is in use. A new one is sent the logged notifications.
    pub(super) fn on_client_active(&mut self, client: ClientId) {
        if self.clients.contains_key(&client) {
            return;
        }
        self.clients.entry(client).or_default();
        self.notification_log.remove_expired(self.now);
        if !self.notification_log.is_empty() {
            self.outputs.push(Output::NotificationsPending);
        }
    }

    /// Sends the next logged notifications on a client connection.
    pub(super) fn send_notifications(&mut self, connection: ClientId) {
        self.notification_log.remove_expired(self.now);
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        let from = client.next_notification;
        client.next_notification = self.notification_log.advance(from, NOTIFICATIONS_PER_SEND);
        let frames = self
            .notification_log
            .frames(from, NOTIFICATIONS_PER_SEND, &client.reused_ids);
        if client.next_notification == self.notification_log.end() {
            client.reused_ids.clear();
        }
        if !frames.is_empty() {
            self.outputs
                .push(Output::SendNotifications(connection, frames));
        }
    }

    fn forget_old_notifications(&mut self) {
        let oldest_kept = self.now.saturating_sub(self.bounds.notification_retention);
        self.sent_notifications.remove_older_than(oldest_kept);
    }

    /// Logs the notifications that may be lost with a closed connection.
    ///
    /// Race: a notification sent just before its connection is closed may never be received, and the client would
    /// believe that the task is still running. If the connection broke, that holds for all notifications sent on it.
    /// Nodes report task ends twice for the same reason.
    pub(super) fn log_lost_notifications(&mut self, client: ClientId, is_broken: bool) {
        self.forget_old_notifications();
        for sent in self.sent_notifications.take(client) {
            let received_by = sent
                .sent_at
                .saturating_add(self.bounds.health_check_timeout);
            if is_broken || received_by > self.now {
                self.log_notification(sent.logged);
            }
        }
    }

    /// Records that a client uses an id on this connection for another request or task. It would take a logged
    /// notification with that id for a message about this one.
    pub(super) fn on_id_used(&mut self, connection: ClientId, wire_id: u64) {
        let Some(client) = self.clients.get_mut(&connection) else {
            return;
        };
        let is_logged = self
            .notification_log
            .contains_since(client.next_notification, wire_id);
        if is_logged && client.reused_ids.len() < MAX_REUSED_IDS {
            client.reused_ids.insert(wire_id);
        }
    }

    /// The client connections on which a request with this id is open.
    fn connections_using(&self, wire_id: u64) -> Vec<ClientId> {
        let admitted = self.requests.find(wire_id);
        let admitted = admitted.filter(|(_, request)| request.state.is_open());
        let mut connections = self.queue.clients_with(wire_id);
        connections.extend(admitted.map(|(_, request)| request.client));
        connections
    }
}

/// The node of the attempt that placed the task, or of the last attempt.
fn last_node(request: &Request) -> Option<NodeId> {
    let placed = request.placed_attempt().and_then(|n| request.attempt(n));
    placed.or(request.attempts.last()).map(|a| a.node)
}
