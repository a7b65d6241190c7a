//! Alert rules for the controller's metrics: the rules, the rule file generated from them, and the validation of rule
//! files.
//!
//! The validation parses each expression and checks that its metrics and labels are defined. A renamed metric or a
//! misspelled label is thus reported as an error, and does not result in an alert that never fires.

mod check;
mod rule_file;
mod rules;

pub use check::{Problem, check};
pub use rule_file::rule_file;
pub use rules::{RULES, Rule, Severity};
