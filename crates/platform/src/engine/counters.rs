//! Counters of the engine.

/// Counters since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that were decoded but were invalid.
    pub invalid: u64,
    /// Requests rejected because a limit was reached.
    pub over_limit: u64,
    /// Handed-over tasks that are not tracked, or no longer tracked, because the limit on running tasks was reached.
    pub handovers_dropped: u64,
    /// Attempts sent, or queued for their connection.
    pub dispatched: u64,
    /// Requests answered with a placement.
    pub placed: u64,
    /// Requests rejected by the scheduler.
    pub rejected: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Requests that their client cancelled, that were open when their client disconnected, or whose deadline passed.
    pub cancelled: u64,
    /// Notifications that a task has ended.
    pub notified: u64,
    /// Notifications that were dropped before all clients were sent them, because too many were kept.
    pub notifications_dropped: u64,
    /// Messages from nodes that belong to no open attempt and no running task.
    pub unmatched: u64,
    /// Tasks lost because their node ended or became unreachable.
    pub lost: u64,
}
