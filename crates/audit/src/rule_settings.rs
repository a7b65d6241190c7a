//! Limits that the rules state.

use crate::Micros;

/// Set of nodes that are taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologyDomain {
    /// All nodes; as a limit on spread: none.
    Off,
    /// One node.
    Node,
    /// One rack.
    Rack,
    /// One zone.
    Zone,
}

/// Limits for one class of tasks.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// Domain in which the tasks of a service are limited.
    pub spread: TopologyDomain,
    /// Tasks of one service in one such domain, at most.
    pub max_per_domain: u32,
    /// Domain whose nodes discard a second copy of a keyed task.
    pub dedup_scope: TopologyDomain,
    /// Time from the first send of a keyed task in which a further one is allowed, in microseconds.
    pub dedup_window: Micros,
}

/// Limits of the rules. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct RuleSettings {
    /// The classes, by index.
    pub classes: Vec<ClassRules>,
    /// Time from the first notice of a drain to the last offer.
    pub drain_grace: Micros,
    /// Time from the start of a node's process to its full pace.
    pub slow_start_window: Micros,
    /// Offers within the overload window that a node in slow start always bears.
    pub slow_start_budget: u64,
    /// Window in which offers to a node in slow start are counted.
    pub overload_window: Micros,
    /// How long the machine that ran all this may have stalled; added to every limit on time.
    pub stall: Micros,
    /// How long a message of a node may take from where it was observed to the controller, which cannot know of it
    /// before.
    pub observation_delay: Micros,
}
