//! Scoring: how loaded a node is.

use super::Scheduler;
use super::load_estimate::MIN_CAPACITY;
use super::node::Node;
use crate::api::Resources;

impl Scheduler {
    /// Returns the score of a node: the higher of its core and memory utilization. The utilization
    /// of a resource is the larger of its requested share of what the node accepts and its used
    /// share of what the node has. 0 is an idle node, 1 a full one.
    pub(super) fn score(&self, node: &Node, mean_foreign_load: Resources) -> f64 {
        let requested = node.load.requested(mean_foreign_load);
        let used = node.load.expected_use(mean_foreign_load, self.usage_ratio);
        let (overcommit, capacity) = (self.settings.overcommit(), node.capacity);
        let share = |kind| {
            let taken = (requested[kind] / overcommit[kind]).max(used[kind]);
            taken / capacity[kind].max(MIN_CAPACITY)
        };
        let Resources { cores, memory } = Resources::from_fn(share);
        cores.max(memory)
    }
}
