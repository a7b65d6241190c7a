//! Event counters of a core.

use serde::{Deserialize, Serialize};

/// Event counters of a core. Reports contain them as JSON, under their original names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Jobs accepted.
    pub submitted: u64,
    /// Submissions rejected at admission.
    #[serde(rename = "turned_away")]
    pub submissions_rejected: u64,
    /// Requests placed.
    pub placed: u64,
    /// Requests rejected by the scheduler.
    #[serde(rename = "refused")]
    pub requests_rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests cancelled by their clients before they were placed.
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Attempts dispatched.
    #[serde(rename = "offers")]
    pub dispatched: u64,
    /// Attempts whose node was not connected.
    pub unreachable: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Running tasks adopted from an earlier incarnation or an ambiguous attempt.
    pub adopted: u64,
    /// Copies stopped because no request waited for them.
    #[serde(rename = "strays")]
    pub orphans_stopped: u64,
    /// Reports of nodes on attempts that had ended, that belonged to another node or that never existed.
    #[serde(rename = "out_of_place")]
    pub unexpected_messages: u64,
    /// Requests that the scheduler had not answered at their deadline. Never expected: indicates a bug.
    #[serde(rename = "overdue")]
    pub missed_deadlines: u64,
    /// Actions of the scheduler that could not be executed.
    #[serde(rename = "void_actions")]
    pub ignored_actions: u64,
    /// Rejections changed to failures because a retry might do harm. Never expected: indicates a bug.
    #[serde(rename = "broken_promises")]
    pub unsafe_rejections: u64,
    /// Invalid state transitions of requests. Never expected: indicates a bug.
    #[serde(rename = "illegal_steps")]
    pub invalid_transitions: u64,
}

impl Counters {
    /// Adds two sets of counters, field by field.
    pub fn plus(&self, other: &Counters) -> Counters {
        Counters {
            submitted: self.submitted + other.submitted,
            submissions_rejected: self.submissions_rejected + other.submissions_rejected,
            placed: self.placed + other.placed,
            requests_rejected: self.requests_rejected + other.requests_rejected,
            failed: self.failed + other.failed,
            cancelled: self.cancelled + other.cancelled,
            dispatched: self.dispatched + other.dispatched,
            unreachable: self.unreachable + other.unreachable,
            timed_out: self.timed_out + other.timed_out,
            adopted: self.adopted + other.adopted,
            orphans_stopped: self.orphans_stopped + other.orphans_stopped,
            unexpected_messages: self.unexpected_messages + other.unexpected_messages,
            missed_deadlines: self.missed_deadlines + other.missed_deadlines,
            ignored_actions: self.ignored_actions + other.ignored_actions,
            unsafe_rejections: self.unsafe_rejections + other.unsafe_rejections,
            invalid_transitions: self.invalid_transitions + other.invalid_transitions,
        }
    }
}
