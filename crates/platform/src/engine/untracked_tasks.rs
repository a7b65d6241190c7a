//! Ends of tasks that the engine does not track.
//!
//! A task is not tracked if its handover exceeded the limit on running tasks, or has not been received yet. Its node
//! reports the end all the same. The engine then cannot tell which client the task belongs to.

use super::notification_log::{Audience, LoggedNotification};
use super::notifications::{Notification, NotificationKind};
use super::{ClientId, PlatformEngine};
use crate::wire::{Message, MessageKind, cause};
use peppercove::{NodeId, TaskKey};
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// Handles a message from a node that has the id of no request. Only ends of tasks have an effect.
    ///
    /// If all handovers are tracked, the task is unknown because its handover has not been received yet, or because it
    /// is another controller's, and no client is notified before it is handed over.
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
        self.notification_log.remove_expired(self.now);
        if self.notification_log.contains(node, message.id) {
            return;
        }
        let audience = match self.counters.handovers_dropped {
            0 => Audience::HandingOver,
            _ => {
                self.counters.notified += 1;
                Audience::AllClients
            }
        };
        self.log_notification(LoggedNotification {
            notification: Notification {
                wire_id: message.id,
                kind: NotificationKind::Ended(cause),
            },
            audience,
            node,
            task: None,
        });
    }

    /// Notifies a client that hands over a task which has ended meanwhile. Returns false if no such end is known.
    pub(super) fn notify_ended_handover(
        &mut self,
        client: ClientId,
        wire_id: u64,
        node: NodeId,
        task: TaskKey,
    ) -> bool {
        self.notification_log.remove_expired(self.now);
        let Some(ended) = self.notification_log.find(node, wire_id, task).copied() else {
            return false;
        };
        // The client is sent what is for all clients anyway, but perhaps under the task's previous id.
        let is_for_others =
            ended.audience == Audience::HandingOver || ended.notification.wire_id != wire_id;
        // The client would take it for the answer to a request that waits under the same id.
        if is_for_others && !self.queue.contains(client, wire_id) {
            let kind = ended.notification.kind;
            let notification = Notification { wire_id, kind };
            let handed_over = LoggedNotification {
                notification,
                audience: Audience::AllClients,
                task: Some(task),
                ..ended
            };
            self.counters.notified += 1;
            self.notify(client, handed_over);
        }
        true
    }
}
