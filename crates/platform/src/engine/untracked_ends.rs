//! Ends that nodes have reported of tasks that the engine does not track.

use crate::wire::Message;
use peppercove::{Micros, NodeId};
use std::collections::{BTreeMap, VecDeque};

/// The latest of these ends, kept for a limited time.
#[derive(Debug, Default)]
pub(super) struct UntrackedEnds {
    ends: BTreeMap<EndKey, Message>,
    /// The ends in the order in which they expire.
    by_age: VecDeque<(Micros, EndKey)>,
}

/// The wire id of a task, and the node that reported its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndKey {
    wire_id: u64,
    node: NodeId,
}

impl UntrackedEnds {
    /// Keeps an end until `expires_at`, which must not be earlier than in previous calls. Drops the oldest ends beyond
    /// `limit`. Returns false if the end is kept already.
    pub(super) fn insert(
        &mut self,
        node: NodeId,
        end: Message,
        expires_at: Micros,
        limit: usize,
    ) -> bool {
        let key = EndKey {
            wire_id: end.id,
            node,
        };
        if self.ends.insert(key, end).is_some() {
            return false;
        }
        self.by_age.push_back((expires_at, key));
        while self.by_age.len() > limit {
            self.remove_oldest();
        }
        true
    }

    /// The end of this task that the node has reported.
    pub(super) fn find(&self, wire_id: u64, node: NodeId) -> Option<&Message> {
        self.ends.get(&EndKey { wire_id, node })
    }

    /// All ends that are kept.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Message> {
        self.ends.values()
    }

    /// Removes the ends that have expired.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        while self
            .by_age
            .front()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_front() {
            self.ends.remove(&key);
        }
    }
}
