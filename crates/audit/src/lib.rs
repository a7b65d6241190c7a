//! Checks the five correctness rules against captured traffic.
//!
//! Capturing proxies record each message with its time, sender and receiver ([`Event`]). [`check_rules`] evaluates
//! these events against the limits of the rules ([`RuleSettings`]) and reports each violation. It shares only the
//! message definitions with the program: the internal state of a controller is never consulted. The task starts that
//! the nodes recorded themselves are checked as well, because a lost message hides a start from the captured traffic.
//!
//! | rule | file |
//! | --- | --- |
//! | 1: each accepted job is answered once and in time, and is not offered to a node afterwards | `rules/answered_once.rs` |
//! | 2: a task that is not idempotent does not run twice | `rules/no_duplicates.rs` |
//! | 3: a draining or removed node is sent no offer after a grace period | `rules/drain_grace.rs` |
//! | 4: a node in slow start is sent no more offers than its budget | `rules/slow_start_budget.rs` |
//! | 5: a topology domain holds no more tasks of a service than its class allows | `rules/topology_spread.rs` |

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

/// Microseconds, either since the beginning of the run or as a duration.
pub type Micros = u64;
