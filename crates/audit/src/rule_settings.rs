//! Limits that the rules enforce.

use crate::Micros;

/// Level at which nodes are grouped into domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologyDomain {
    /// All nodes are one domain; as a level of topology spread: no limit.
    Off,
    /// Each node is a domain.
    Node,
    /// Each rack is a domain.
    Rack,
    /// Each zone is a domain.
    Zone,
}

/// Limits for one class of tasks.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// Level of the domains in which the number of tasks of a service is limited.
    pub spread: TopologyDomain,
    /// Maximum number of tasks of one service in one such domain.
    pub max_per_domain: u32,
    /// Deduplication scope: the nodes of a domain discard a second copy of a keyed task.
    pub dedup_scope: TopologyDomain,
    /// Deduplication window: time from the first offer of a keyed task in which another one is allowed, in
    /// microseconds.
    pub dedup_window: Micros,
}

/// Limits of the rules. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct RuleSettings {
    /// Limits of each class, by its index.
    pub classes: Vec<ClassRules>,
    /// Time after the first notification of a drain or removal in which offers are still allowed.
    pub drain_grace: Micros,
    /// Duration of the slow start of a node, from the start of its process.
    pub slow_start_window: Micros,
    /// Number of offers within the overload window that a node in slow start can always handle.
    pub slow_start_budget: u64,
    /// Sliding window in which offers to a node in slow start are counted.
    pub overload_window: Micros,
    /// Longest stall of the machine during the run; extends every time limit.
    pub stall: Micros,
    /// Maximum delay of a node's message between its capture and its arrival at the controller, which may act without
    /// it until then.
    pub observation_delay: Micros,
}
