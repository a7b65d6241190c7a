//! What happened so far, in numbers.

use serde::{Deserialize, Serialize};

/// What happened so far, in numbers. Reports hold these in JSON by their stored names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Jobs accepted.
    pub submitted: u64,
    /// Submissions rejected at admission.
    #[serde(rename = "turned_away")]
    pub submissions_rejected: u64,
    /// Requests placed.
    pub placed: u64,
    /// Requests rejected by the decision module.
    #[serde(rename = "refused")]
    pub requests_rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests cancelled by their client before they were placed.
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Attempts dispatched.
    #[serde(rename = "offers")]
    pub dispatched: u64,
    /// Attempts that found no connection.
    pub unreachable: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Tasks taken over from an earlier incarnation or an ambiguous attempt.
    pub adopted: u64,
    /// Copies stopped that no request waited for.
    #[serde(rename = "strays")]
    pub orphans_stopped: u64,
    /// What nodes reported of attempts that they were never sent, or that were over.
    #[serde(rename = "out_of_place")]
    pub unexpected_messages: u64,
    /// Requests that the module left without an answer at their deadline: always a fault.
    #[serde(rename = "overdue")]
    pub missed_deadlines: u64,
    /// Actions of the module that could not be carried out.
    #[serde(rename = "void_actions")]
    pub ignored_actions: u64,
    /// Rejections that could not be promised to be harmless and went out as failures: always a fault.
    #[serde(rename = "broken_promises")]
    pub unsafe_rejections: u64,
    /// Transitions of a request's state that did not follow: always a fault.
    #[serde(rename = "illegal_steps")]
    pub invalid_transitions: u64,
}

impl Counters {
    /// The sum of two, counter by counter.
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
