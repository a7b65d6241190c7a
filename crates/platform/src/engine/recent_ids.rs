//! A bounded set of ids that were in use recently.

use std::collections::{BTreeSet, VecDeque};

/// The ids that were inserted last, up to a limit.
#[derive(Debug)]
pub(super) struct RecentIds {
    ids: BTreeSet<u64>,
    /// The ids in the order in which they were inserted.
    by_age: VecDeque<u64>,
    limit: usize,
}

impl RecentIds {
    /// Creates an empty set that keeps at most `limit` ids.
    pub(super) fn new(limit: usize) -> RecentIds {
        RecentIds {
            ids: BTreeSet::new(),
            by_age: VecDeque::new(),
            limit,
        }
    }

    /// Inserts an id, and drops the oldest one if there are too many.
    pub(super) fn insert(&mut self, id: u64) {
        if !self.ids.insert(id) {
            return;
        }
        self.by_age.push_back(id);
        if self.by_age.len() > self.limit
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether the id is kept.
    pub(super) fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }
}
