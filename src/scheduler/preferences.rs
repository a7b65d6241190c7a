//! Preferences: which of the feasible nodes are preferred.
//!
//! A preference that no node meets is skipped, so preferences alone never prevent a placement.

use super::node::Node;
use super::placement::Placement;
use crate::api::NodeStatus;

/// Fraction of the memory of a node that placements preferably fill. The rest is left for tasks
/// whose memory use grows after their start.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Fraction of the time left until the latency objective that the estimated start may take. The
/// rest covers the error of the estimate.
const OBJECTIVE_SHARE: f64 = 0.5;
/// Nodes whose start estimate is within this factor of the shortest one count as equally fast, so
/// that sampling still has a choice.
const START_ESTIMATE_TOLERANCE: f64 = 1.3;
/// Idle nodes remain unused while the mean score of active nodes does not exceed this. The rest is
/// a reserve for load variation and for nodes that leave.
const MAX_ACTIVE_SCORE: f64 = 0.7;
/// Divisor of the mean cores of a task that gives the requested cores from which a node counts as
/// active.
const MEAN_CORES_PER_ACTIVE_THRESHOLD: f64 = 2.0;

/// Keeps the nodes that satisfy the predicate, or all nodes if none does.
fn prefer(nodes: &mut Vec<&Node>, passes: impl Fn(&Node) -> bool) {
    if nodes.iter().any(|node| passes(node)) {
        nodes.retain(|node| passes(node));
    }
}

impl Placement<'_> {
    /// Prefers nodes that run tasks.
    ///
    /// An idle node has the lowest score and attracts tasks, but each node in use beyond the number
    /// needed has a cost. Active nodes are preferred while their mean score shows spare capacity,
    /// except while a node is draining: its tasks need all available capacity.
    pub(super) fn retain_active(&self, nodes: &mut Vec<&Node>) {
        let settings = &self.scheduler.settings;
        if settings.excess_node_cost <= 0.0 {
            return;
        }
        let min_cores = settings.mean_cores / MEAN_CORES_PER_ACTIVE_THRESHOLD;
        let is_active =
            |node: &Node| node.load.requested(self.mean_foreign_load).cores >= min_cores;
        let scores: Vec<f64> = nodes
            .iter()
            .filter(|node| is_active(node))
            .map(|node| self.scheduler.score(node, self.mean_foreign_load))
            .collect();
        let has_spare_capacity =
            scores.iter().sum::<f64>() <= MAX_ACTIVE_SCORE * scores.len() as f64;
        let is_draining = |node: &Node| node.entry.state == NodeStatus::Draining;
        let any_draining = || self.scheduler.nodes.values().any(is_draining);
        if has_spare_capacity && !any_draining() {
            prefer(nodes, is_active);
        }
    }

    /// Prefers nodes that keep some of their memory free.
    ///
    /// Requested memory does not show how much memory is used, and a node that runs out of memory
    /// evicts tasks.
    pub(super) fn retain_with_free_memory(&self, nodes: &mut Vec<&Node>) {
        prefer(nodes, |node| self.leaves_memory_free(node));
    }

    /// Prefers nodes that are expected to start the task within its latency objective.
    ///
    /// A start without the program takes many times longer and misses the latency objective, which
    /// costs as much as many seconds of service. A start behind many others on the same node misses
    /// it, too.
    pub(super) fn retain_timely(&self, nodes: &mut Vec<&Node>) {
        let (scheduler, spec) = (self.scheduler, &self.request.spec);
        let objective_at = self.request.arrived_at + self.class.latency_objective;
        let time_left = objective_at.saturating_sub(scheduler.now) as f64 * OBJECTIVE_SHARE;
        let estimate = |node: &Node| scheduler.start_estimate(node, spec);
        let shortest = nodes
            .iter()
            .map(|node| estimate(node))
            .fold(f64::INFINITY, f64::min);
        let limit = time_left.max(shortest * START_ESTIMATE_TOLERANCE);
        prefer(nodes, |node| estimate(node) <= limit);
    }

    fn leaves_memory_free(&self, node: &Node) -> bool {
        let usage_ratio = self.scheduler.usage_ratio;
        let in_use = node
            .load
            .expected_use(self.mean_foreign_load, usage_ratio)
            .memory;
        let task = usage_ratio.expected_memory(&self.request.spec);
        in_use + task <= MAX_MEMORY_SHARE * node.capacity.memory
    }
}
