//! The five rules, checked against what crossed the sockets.
//!
//! Capturing proxies record each message with its time and the two that exchanged it ([`Event`]). [`check_rules`] reads
//! them with the limits of the rules ([`RuleSettings`]) and reports what was violated, when and by whom. It shares the
//! layout of the messages with the program and nothing else: what a controller believes is never asked. The starts that
//! the nodes themselves recorded are checked as well, for what a lost message hides from the sockets.
//!
//! | rule | file |
//! | --- | --- |
//! | 1: each accepted job is answered once and in time, and nothing is offered afterwards | `rules/answered_once.rs` |
//! | 2: no task runs twice that must not | `rules/no_duplicates.rs` |
//! | 3: no offer to a node after the grace period of its drain | `rules/drain_grace.rs` |
//! | 4: no more offers to a node in slow start than its budget | `rules/slow_start_budget.rs` |
//! | 5: no more tasks of a service in one topology domain than allowed | `rules/topology_spread.rs` |

mod attempts;
mod auditor;
mod jobs;
mod node_links;
mod node_lists;
mod observation;
mod report;
mod rule_settings;
mod rules;

pub use auditor::check_rules;
pub use observation::{Event, Observation, RecordedStart};
pub use report::{AuditReport, Violation};
pub use rule_settings::{ClassRules, RuleSettings, TopologyDomain};

/// Microseconds since the beginning of the run.
pub type Micros = u64;
