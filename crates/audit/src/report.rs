//! Result of an audit.

use crate::Micros;
use serde::Serialize;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Time of the violation.
    pub at: Micros,
    /// Number of the violated rule, from 1 to 5.
    pub rule: u8,
    /// Description of what happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// Violations of the rules, and counts of what was checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AuditReport {
    /// Every violation, in order of time and rule.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Number of accepted jobs.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Jobs answered as placed.
    pub placed: u64,
    /// Jobs answered as refused.
    pub refused: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs answered as cancelled by their client.
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Unanswered jobs whose controller was killed or whose client disconnected.
    pub excused: u64,
    /// Submissions rejected at admission.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Offers that were sent to nodes.
    #[serde(rename = "offers")]
    pub dispatches: u64,
    /// Starts of non-idempotent tasks in the nodes' own records.
    #[serde(rename = "unsafe_starts")]
    pub non_idempotent_starts: u64,
}

impl AuditReport {
    /// Returns the number of violations of one rule.
    pub fn violations_of_rule(&self, rule: u8) -> usize {
        self.violations
            .iter()
            .filter(|violation| violation.rule == rule)
            .count()
    }

    /// Returns whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    pub(crate) fn add_violation(&mut self, at: Micros, rule: u8, description: String) {
        self.violations.push(Violation {
            at,
            rule,
            description,
        });
    }
}
