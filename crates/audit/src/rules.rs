//! The rules, one module each: methods of the auditor that check an event and report violations.

mod answered_once;
mod drain_grace;
mod no_duplicates;
pub(crate) mod slow_start_budget;
mod topology_spread;
