//! Tasks that have run, or may have run. The newest are kept in detail, older ones by key only, until they expire.

use super::types::Completion;
use peppercove::{Micros, TaskKey};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of tasks kept by key only, as a multiple of the number kept in detail.
const KEYS_ONLY_PER_DETAILED: usize = 20;

/// A task and the time at which it was first recorded.
#[derive(Clone, Copy, Debug)]
struct ExpiryEntry {
    recorded_at: Micros,
    task: TaskKey,
}

/// What is recorded about a task that ran, or may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CompletionRecord {
    /// Its completion.
    Detailed(Completion),
    /// Only that it ran, or may have run.
    KeyOnly,
}

/// The recorded completions.
#[derive(Debug, Default)]
pub(super) struct Completions {
    /// How long a completion is kept, in microseconds.
    retention: Micros,
    /// Maximum number of completions kept in detail.
    capacity: usize,
    detailed: BTreeMap<TaskKey, Completion>,
    /// Keys of `detailed`, oldest first.
    detailed_order: VecDeque<TaskKey>,
    keys_only: BTreeSet<TaskKey>,
    /// All recorded tasks, oldest first.
    order: VecDeque<ExpiryEntry>,
}

impl Completions {
    /// Creates an empty table. Completions are kept for `retention` microseconds, `capacity` of them in detail.
    pub(super) fn new(retention: Micros, capacity: usize) -> Completions {
        Completions {
            retention,
            capacity,
            ..Completions::default()
        }
    }

    /// What is recorded about a task; `None` if it is not known to have run.
    pub(super) fn get(&self, task: TaskKey) -> Option<CompletionRecord> {
        let detailed = self
            .detailed
            .get(&task)
            .copied()
            .map(CompletionRecord::Detailed);
        detailed.or_else(|| {
            self.keys_only
                .contains(&task)
                .then_some(CompletionRecord::KeyOnly)
        })
    }

    /// Whether no further task can be kept by key only.
    pub(super) fn is_full(&self) -> bool {
        self.keys_only.len() >= self.capacity.saturating_mul(KEYS_ONLY_PER_DETAILED)
    }

    /// Records that the task has run, or may have run.
    pub(super) fn insert(&mut self, now: Micros, task: TaskKey, completion: Completion) {
        let known = self.detailed.get(&task).copied();
        // The end of a task is reported only once; an ambiguous outcome of another copy must not overwrite it.
        if matches!(
            (known, completion),
            (Some(Completion::Ended(..)), Completion::MayHaveRun)
        ) {
            return;
        }
        let was_key_only = self.keys_only.remove(&task);
        self.detailed.insert(task, completion);
        if known.is_none() {
            self.detailed_order.push_back(task);
            if !was_key_only {
                self.order.push_back(ExpiryEntry {
                    recorded_at: now,
                    task,
                });
            }
        }
        self.drop_oldest_details();
    }

    /// Reduces the oldest completions above the capacity to their keys.
    fn drop_oldest_details(&mut self) {
        while self.detailed_order.len() > self.capacity.max(1) {
            let Some(oldest) = self.detailed_order.pop_front() else {
                break;
            };
            if self.detailed.remove(&oldest).is_some() {
                self.keys_only.insert(oldest);
            }
        }
    }

    /// Removes the completions whose retention is over.
    pub(super) fn expire(&mut self, now: Micros) {
        while self.next_expiry().is_some_and(|at| at <= now) {
            let Some(ExpiryEntry { task, .. }) = self.order.pop_front() else {
                break;
            };
            self.keys_only.remove(&task);
            if self.detailed.remove(&task).is_some() {
                self.detailed_order.retain(|t| *t != task);
            }
        }
    }

    /// When the oldest completion expires.
    pub(super) fn next_expiry(&self) -> Option<Micros> {
        self.order
            .front()
            .map(|oldest| oldest.recorded_at.saturating_add(self.retention))
    }

    /// The recorded completions; those kept by key only come first, as `MayHaveRun`.
    pub(super) fn iter(&self) -> impl Iterator<Item = (TaskKey, Completion)> + '_ {
        let keys_only = self
            .keys_only
            .iter()
            .map(|task| (*task, Completion::MayHaveRun));
        keys_only.chain(
            self.detailed
                .iter()
                .map(|(task, completion)| (*task, *completion)),
        )
    }
}
