//! Notifications that were sent to the client connection of their task, and may be lost with that connection.

use super::ClientId;
use super::notification_log::LoggedNotification;
use peppercove::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The notifications that were sent recently, by connection.
#[derive(Debug, Default)]
pub(super) struct SentNotifications {
    by_client: BTreeMap<SentKey, SentNotification>,
    /// The notifications in the order in which they were sent. Some of them are removed already.
    by_age: VecDeque<(Micros, SentKey)>,
    next_sequence: u64,
}

/// A notification, and when it was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentNotification {
    pub(super) sent_at: Micros,
    pub(super) logged: LoggedNotification,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SentKey {
    client: ClientId,
    sequence: u64,
}

impl SentNotifications {
    /// Records that a notification was sent on a connection. Forgets the oldest ones beyond `limit`.
    pub(super) fn insert(&mut self, client: ClientId, sent: SentNotification, limit: usize) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let key = SentKey { client, sequence };
        self.by_client.insert(key, sent);
        self.by_age.push_back((sent.sent_at, key));
        while self.by_age.len() > limit {
            self.remove_oldest();
        }
    }

    /// Removes and returns the notifications that were sent on this connection, oldest first.
    pub(super) fn take(&mut self, client: ClientId) -> Vec<SentNotification> {
        let key = |sequence| SentKey { client, sequence };
        let sent = self.by_client.range(key(0)..=key(u64::MAX));
        let keys: Vec<SentKey> = sent.map(|(key, _)| *key).collect();
        keys.iter()
            .filter_map(|key| self.by_client.remove(key))
            .collect()
    }

    /// Forgets the notifications that were sent before this time.
    pub(super) fn remove_older_than(&mut self, time: Micros) {
        while self
            .by_age
            .front()
            .is_some_and(|(sent_at, _)| *sent_at < time)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_front() {
            self.by_client.remove(&key);
        }
    }
}
