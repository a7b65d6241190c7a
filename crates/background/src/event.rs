//! Inputs and outputs of the scheduler.

use crate::{Cost, Micros};

/// Identifies an item of work. The submitter makes it and uses it once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// An input of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An item of work is submitted.
    Submit {
        /// The item.
        work: WorkId,
        /// Index of its class.
        class: usize,
        /// Its expected cost.
        cost: Cost,
        /// The item is dropped unless it is started before this time.
        deadline: Option<Micros>,
    },
    /// An item of work succeeded, at this cost.
    Completed(WorkId, Cost),
    /// An item of work failed.
    Failed {
        /// The item.
        work: WorkId,
        /// Its cost.
        cost: Cost,
        /// A retry may succeed.
        is_retryable: bool,
        /// The receiver's wish: no retry before this much time.
        retry_after: Option<Micros>,
    },
    /// An item of work is cancelled. One that runs is waited for.
    Cancel(WorkId),
    /// The latency that placement has now.
    PlacementLatency(Micros),
}

/// Why an item of work ends without success.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// The queue of its class is full, the class does not exist, or the cost is not valid.
    Rejected,
    /// Its deadline passed before it was started.
    DeadlineExceeded,
    /// It failed in a way that no retry can mend, or too often.
    Failed,
    /// It was cancelled before it was started.
    Cancelled,
}

/// An output of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an item of work.
    Start(WorkId),
    /// Pause a running item where that is possible, since placement is under pressure, until [`Action::Resume`].
    Pause(WorkId),
    /// Continue a running item: the pressure has passed.
    Resume(WorkId),
    /// The item has ended without success; its submitter is to be notified.
    End(WorkId, EndReason),
}
