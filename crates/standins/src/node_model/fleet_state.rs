//! State that the nodes of one fleet share: copies of keyed tasks, and a log of all task starts.

use super::Micros;
use peppercove_protocol::node::Idempotency;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Expired keys are removed whenever the number of known keys is a multiple of this.
const SWEEP_INTERVAL_KEYS: usize = 1024;

/// A key within its deduplication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DedupKey {
    pub(super) group: u32,
    pub(super) task: u64,
}

/// State of the copy of a keyed task in a deduplication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyState {
    /// Accepted, starting or running.
    Live,
    /// Completed; further copies are rejected until this time.
    CompletedUntil(Micros),
}

impl CopyState {
    fn is_known(self, now: Micros) -> bool {
        match self {
            CopyState::Live => true,
            CopyState::CompletedUntil(at) => at > now,
        }
    }
}

/// Copies of keyed tasks by deduplication group: live ones, and those that completed within the deduplication window.
#[derive(Debug, Default)]
pub struct DedupRegistry {
    copies: BTreeMap<DedupKey, CopyState>,
    /// Number of copies that were admitted while another one was live. Must stay at zero.
    pub duplicates: u64,
}

impl DedupRegistry {
    /// Whether another copy under this key must be rejected.
    pub(super) fn knows(&self, key: DedupKey, now: Micros) -> bool {
        self.copies.get(&key).is_some_and(|copy| copy.is_known(now))
    }

    /// Records that a copy was admitted.
    pub(super) fn admit(&mut self, key: DedupKey, now: Micros) {
        if self.copies.insert(key, CopyState::Live) == Some(CopyState::Live) {
            self.duplicates += 1;
        }
        if self.copies.len().is_multiple_of(SWEEP_INTERVAL_KEYS) {
            self.copies.retain(|_, copy| copy.is_known(now));
        }
    }

    /// Records that the copy ran to completion. Its key is kept until `until`.
    pub(super) fn complete(&mut self, key: DedupKey, until: Micros) {
        self.copies.insert(key, CopyState::CompletedUntil(until));
    }

    /// Frees the key of a copy that was removed before it completed.
    pub(super) fn release(&mut self, key: DedupKey) {
        self.copies.remove(&key);
    }
}

/// One start of a program on a node.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStart {
    /// Time of the start.
    pub at: Micros,
    /// Time at which it ended; `None` while it runs.
    pub ended: Option<Micros>,
    /// The program ran to completion, so that its effect is complete.
    pub completed: bool,
    /// Name of the node.
    pub node: String,
    /// Key of the task.
    pub task: u64,
    /// Whether the task may run more than once.
    pub idempotency: Idempotency,
    /// Name of the controller that sent the attempt.
    pub controller: String,
}

/// A crash of a node that received too many offers during slow start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadCrash {
    /// Time of the crash.
    pub at: Micros,
    /// Name of the node.
    pub node: String,
}

/// All task starts and overload crashes of a fleet, in order.
#[derive(Debug, Default)]
pub struct StartLog {
    /// Task starts.
    pub starts: Vec<TaskStart>,
    /// Overload crashes.
    pub crashes: Vec<OverloadCrash>,
}

/// Index of a start in [`StartLog::starts`].
pub(super) type StartIndex = usize;

impl StartLog {
    pub(super) fn record(&mut self, start: TaskStart) -> StartIndex {
        self.starts.push(start);
        self.starts.len() - 1
    }

    pub(super) fn mark_completed(&mut self, index: StartIndex) {
        if let Some(start) = self.starts.get_mut(index) {
            start.completed = true;
        }
    }

    pub(super) fn mark_ended(&mut self, index: StartIndex, now: Micros) {
        if let Some(start) = self.starts.get_mut(index) {
            start.ended = Some(now);
        }
    }

    pub(super) fn is_completed(&self, index: StartIndex) -> bool {
        self.starts.get(index).is_some_and(|start| start.completed)
    }
}

/// Handle to the state that the nodes of one fleet share.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Copies of keyed tasks.
    pub dedup: Rc<RefCell<DedupRegistry>>,
    /// Task starts and crashes.
    pub start_log: Rc<RefCell<StartLog>>,
}
