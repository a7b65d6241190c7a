//! Alert rules over the controller's metrics: one table, the rule file made from it, and a check of any rule file.
//!
//! The check parses every expression and holds each metric and label against the table of metrics, so that a metric
//! that was renamed or a label that is misspelt is an error here, and not an alert that never fires.

mod check;
mod rule_file;
mod rules;

pub use check::{Problem, check};
pub use rule_file::rule_file;
pub use rules::{RULES, Rule, Severity};
