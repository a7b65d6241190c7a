//! Counts of what the engine did.

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that could be decoded but are not valid.
    pub invalid: u64,
    /// Requests rejected because a limit was reached.
    pub over_limit: u64,
    /// Attempts sent, or queued for their connection.
    pub dispatched: u64,
    /// Requests answered with a placement.
    pub placed: u64,
    /// Requests answered with a rejection of the decision module.
    pub rejected: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Requests that ended because their client cancelled them, disconnected, or let the deadline pass.
    pub cancelled: u64,
    /// Notifications of task ends.
    pub notified: u64,
    /// Messages of nodes that belong to no open attempt and no running task.
    pub unmatched: u64,
    /// Tasks that ended with their node.
    pub lost: u64,
}
