//! Inputs and outputs of the scheduler.

use crate::{Cost, Micros};

/// Identifies a work item. The submitter chooses it and must not reuse it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// An input of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; nothing else happened.
    Tick,
    /// A work item is submitted.
    Submit {
        /// The work item.
        work: WorkId,
        /// Index of its class in [`Settings::classes`](crate::Settings::classes).
        class: usize,
        /// Its expected cost.
        cost: Cost,
        /// The item is dropped if it has not been started by this time.
        deadline: Option<Micros>,
    },
    /// A running work item succeeded; its actual cost.
    Completed(WorkId, Cost),
    /// A running work item failed.
    Failed {
        /// The work item.
        work: WorkId,
        /// The actual cost of the attempt.
        cost: Cost,
        /// Whether a retry may succeed.
        is_retryable: bool,
        /// Minimum delay before a retry, as requested by the receiver.
        retry_after: Option<Micros>,
    },
    /// A work item is cancelled. If it is running, the event has no effect.
    Cancel(WorkId),
    /// The current latency of placement.
    PlacementLatency(Micros),
}

/// The reason why a work item ended without success.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// The queue of its class is full, the class does not exist, or the cost is not valid.
    Rejected,
    /// Its deadline passed before it was started.
    DeadlineExceeded,
    /// It failed and a retry cannot succeed, or it failed in each of its permitted attempts.
    Failed,
    /// It was cancelled before it was started.
    Cancelled,
}

/// An output of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a work item.
    Start(WorkId),
    /// Pause a running item until [`Action::Resume`], if the item can be paused: placement is under pressure.
    Pause(WorkId),
    /// Resume a paused item: placement is no longer under pressure.
    Resume(WorkId),
    /// The item ended without success; notify its submitter.
    End(WorkId, EndReason),
}
