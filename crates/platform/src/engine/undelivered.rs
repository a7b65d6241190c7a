//! Notifications that their client has not received for certain.

use super::ClientId;
use super::notifications::Notification;
use peppercove::{Micros, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// Which clients a notification must still be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recipient {
    /// Any client that owns tasks: it has not been sent at all.
    AnyOwner,
    /// The client of the task only. It was sent to another client connection, if any, which may not be the client's.
    OwnClient { sent_on: Option<ClientId> },
}

#[derive(Debug)]
struct Entry {
    notification: Notification,
    recipient: Recipient,
    expires_at: Micros,
    sequence: u64,
}

/// The notifications that are kept until their client is connected, at most one for each wire id.
#[derive(Debug, Default)]
pub(super) struct UndeliveredNotifications {
    entries: BTreeMap<u64, Entry>,
    /// Wire ids in the order in which the entries were added, and thus expire.
    by_age: BTreeMap<u64, u64>,
    /// Wire ids of the entries that were sent to no client, in the order in which they were added.
    unsent: BTreeMap<u64, u64>,
    by_task: BTreeSet<(TaskKey, u64)>,
    last_sequence: u64,
}

impl UndeliveredNotifications {
    /// Keeps a notification until `expires_at`, which must not be earlier than in previous calls. Replaces an entry with
    /// the same wire id, and drops the oldest entries beyond `limit`.
    pub(super) fn insert(
        &mut self,
        notification: Notification,
        recipient: Recipient,
        expires_at: Micros,
        limit: usize,
    ) {
        let wire_id = notification.wire_id;
        self.remove(wire_id);
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.by_age.insert(sequence, wire_id);
        if recipient == Recipient::AnyOwner {
            self.unsent.insert(sequence, wire_id);
        }
        self.by_task.insert((notification.task, wire_id));
        let entry = Entry {
            notification,
            recipient,
            expires_at,
            sequence,
        };
        self.entries.insert(wire_id, entry);
        while self.entries.len() > limit {
            self.remove_oldest();
        }
    }

    /// Removes and returns the notification with this wire id.
    pub(super) fn remove(&mut self, wire_id: u64) -> Option<Notification> {
        Some(self.remove_entry(wire_id)?.notification)
    }

    /// The notification about a task with this key.
    pub(super) fn find_by_task(&self, task: TaskKey) -> Option<&Notification> {
        let (key, wire_id) = self.by_task.range((task, 0)..).next()?;
        let entry = self.entries.get(wire_id).filter(|_| *key == task)?;
        Some(&entry.notification)
    }

    /// Removes and returns the notifications of this client that were not sent on `connection`.
    pub(super) fn take_of_client(
        &mut self,
        client: ClientId,
        connection: ClientId,
    ) -> Vec<Notification> {
        let is_of_client = |wire_id: &u64| {
            let entry = self.entries.get(wire_id);
            entry.is_some_and(|entry| entry.notification.client == client)
        };
        let matching: Vec<u64> = self.by_age.values().copied().filter(is_of_client).collect();
        let already_sent = Recipient::OwnClient {
            sent_on: Some(connection),
        };
        matching
            .into_iter()
            .filter_map(|wire_id| self.remove_entry(wire_id))
            .filter(|entry| entry.recipient != already_sent)
            .map(|entry| entry.notification)
            .collect()
    }

    /// Removes and returns the notifications that may be sent to any client that owns tasks.
    pub(super) fn take_for_any_owner(&mut self) -> Vec<Notification> {
        let unsent = std::mem::take(&mut self.unsent).into_values();
        unsent.filter_map(|wire_id| self.remove(wire_id)).collect()
    }

    /// Removes the notifications that have expired.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        while let Some((_, wire_id)) = self.by_age.first_key_value()
            && self
                .entries
                .get(wire_id)
                .is_none_or(|e| e.expires_at <= now)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, wire_id)) = self.by_age.pop_first() {
            self.remove(wire_id);
        }
    }

    fn remove_entry(&mut self, wire_id: u64) -> Option<Entry> {
        let entry = self.entries.remove(&wire_id)?;
        self.by_age.remove(&entry.sequence);
        self.unsent.remove(&entry.sequence);
        self.by_task.remove(&(entry.notification.task, wire_id));
        Some(entry)
    }
}
