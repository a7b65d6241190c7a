//! Status of a class of work: counters and gauges.

use crate::{Cost, EndReason, Micros};

/// Status of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStatus {
    /// Number of queued items, including those that wait for a retry.
    pub queued: usize,
    /// Number of running items.
    pub running: usize,
    /// Number of items that succeeded.
    pub completed: u64,
    /// Number of attempts that failed.
    pub failed_attempts: u64,
    /// Number of items that ended without success, by reason.
    pub ended: EndCounts,
    /// Total cost of all attempts that have ended.
    pub used: Cost,
    /// Time since the oldest queued item was submitted; 0 if none is queued.
    pub oldest_age: Micros,
}

/// Number of items that ended without success, by reason.
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
