//! Counts and gauges of one class.

use crate::{Cost, EndReason, Micros};

/// State of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStatus {
    /// Items that are queued, for their turn or for a retry.
    pub queued: usize,
    /// Items that run.
    pub running: usize,
    /// Items that succeeded.
    pub completed: u64,
    /// Attempts that failed.
    pub failed_attempts: u64,
    /// Items that ended without success, by reason.
    pub ended: EndCounts,
    /// What the class has used.
    pub used: Cost,
    /// Time since the oldest queued item was submitted.
    pub oldest_age: Micros,
}

/// Items that ended without success, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// See [`EndReason::Rejected`].
    pub rejected: u64,
    /// See [`EndReason::DeadlineExceeded`].
    pub deadline_exceeded: u64,
    /// See [`EndReason::Failed`].
    pub failed: u64,
    /// See [`EndReason::Cancelled`].
    pub cancelled: u64,
}

impl EndCounts {
    pub(crate) fn count(&mut self, reason: EndReason) {
        let counter = match reason {
            EndReason::Rejected => &mut self.rejected,
            EndReason::DeadlineExceeded => &mut self.deadline_exceeded,
            EndReason::Failed => &mut self.failed,
            EndReason::Cancelled => &mut self.cancelled,
        };
        *counter += 1;
    }
}
