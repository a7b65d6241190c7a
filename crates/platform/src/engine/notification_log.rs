//! Notifications that cannot be sent to one known client connection.
//!
//! The platform has no client ids, and no message names the owner of a task. If the connection on which a task was
//! requested is closed, its client may be on any other connection, or on one that it opens later. The log therefore keeps
//! each such notification for a limited time, and each client connection has a position in the log up to which it was
//! sent the notifications.

use super::notifications::Notification;
use bytes::{Bytes, BytesMut};
use peppercove::{Micros, NodeId, TaskKey};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Which client connections are sent a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// All connections.
    AllClients,
    /// The connection on which the task is handed over, if that happens in time.
    HandingOver,
}

/// A notification, and the task that it is about.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoggedNotification {
    pub(super) notification: Notification,
    pub(super) audience: Audience,
    /// The node on which the task ran.
    pub(super) node: NodeId,
    /// `None` if the task was not tracked.
    pub(super) task: Option<TaskKey>,
}

/// How a handover names a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TaskName {
    WireId(u64),
    Key(TaskKey),
}

#[derive(Debug)]
struct Entry {
    logged: LoggedNotification,
    /// The encoded message. It is sent on many connections.
    frame: Bytes,
    expires_at: Micros,
}

/// The latest of these notifications, by sequence number.
#[derive(Debug, Default)]
pub(super) struct NotificationLog {
    entries: VecDeque<Entry>,
    /// Sequence number of the first entry.
    first: u64,
    /// Sequence number of the latest notification about a task.
    by_task: BTreeMap<(TaskName, NodeId), u64>,
}

impl NotificationLog {
    /// Keeps a notification until `expires_at`, which must not be earlier than in previous calls. Removes the oldest
    /// notifications beyond `limit`, and returns their number.
    pub(super) fn append(
        &mut self,
        logged: LoggedNotification,
        expires_at: Micros,
        limit: usize,
    ) -> u64 {
        let sequence = self.end();
        for name in names_of(&logged) {
            self.by_task.insert((name, logged.node), sequence);
        }
        self.entries.push_back(Entry {
            logged,
            frame: logged.notification.message().encode(),
            expires_at,
        });
        let mut removed = 0;
        while self.entries.len() > limit {
            self.remove_oldest();
            removed += 1;
        }
        removed
    }

    /// The sequence number that the next notification gets.
    pub(super) fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Whether the log is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The messages for all clients among the first `count` entries from this sequence number on, without those with
    /// the excluded wire ids.
    pub(super) fn frames(&self, from: u64, count: usize, excluded_ids: &BTreeSet<u64>) -> Bytes {
        let first = self.index_of(from);
        let end = self.index_of(self.advance(from, count));
        let mut frames = BytesMut::new();
        for entry in self.entries.range(first..end) {
            let notification = entry.logged.notification;
            if entry.logged.audience == Audience::AllClients
                && !excluded_ids.contains(&notification.wire_id)
            {
                frames.extend_from_slice(&entry.frame);
            }
        }
        frames.freeze()
    }

    /// The index of the first entry with at least this sequence number.
    fn index_of(&self, sequence: u64) -> usize {
        let index = usize::try_from(sequence.saturating_sub(self.first));
        index.map_or(self.entries.len(), |index| index.min(self.entries.len()))
    }

    /// The sequence number that is `count` entries after `from`, or the end of the log.
    pub(super) fn advance(&self, from: u64, count: usize) -> u64 {
        let from = from.max(self.first);
        from.saturating_add(count as u64).min(self.end())
    }

    /// The latest notification about a task of this node, which is known by its wire id or by its key.
    pub(super) fn find(
        &self,
        node: NodeId,
        wire_id: u64,
        task: TaskKey,
    ) -> Option<&LoggedNotification> {
        self.find_by_name(node, TaskName::WireId(wire_id))
            .or_else(|| self.find_by_name(node, TaskName::Key(task)))
    }

    /// Whether there is a notification about the task with this wire id on this node.
    pub(super) fn contains(&self, node: NodeId, wire_id: u64) -> bool {
        self.find_by_name(node, TaskName::WireId(wire_id)).is_some()
    }

    /// Whether there is a notification with this wire id from this sequence number on.
    pub(super) fn contains_since(&self, from: u64, wire_id: u64) -> bool {
        let name = TaskName::WireId(wire_id);
        let nodes = (name, NodeId(0))..=(name, NodeId(u64::MAX));
        let mut sequences = self.by_task.range(nodes).map(|(_, sequence)| *sequence);
        sequences.any(|sequence| sequence >= from)
    }

    /// Removes the notifications that have expired.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        while self.entries.front().is_some_and(|e| e.expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn find_by_name(&self, node: NodeId, name: TaskName) -> Option<&LoggedNotification> {
        let sequence = self.by_task.get(&(name, node))?;
        let index = usize::try_from(sequence.checked_sub(self.first)?).ok()?;
        self.entries.get(index).map(|entry| &entry.logged)
    }

    fn remove_oldest(&mut self) {
        let Some(Entry { logged, .. }) = self.entries.pop_front() else {
            return;
        };
        for name in names_of(&logged) {
            let key = (name, logged.node);
            if self.by_task.get(&key) == Some(&self.first) {
                self.by_task.remove(&key);
            }
        }
        self.first += 1;
    }
}

fn names_of(logged: &LoggedNotification) -> impl Iterator<Item = TaskName> + use<> {
    let wire_id = TaskName::WireId(logged.notification.wire_id);
    let key = logged.task.map(TaskName::Key);
    [Some(wire_id), key].into_iter().flatten()
}
