//! Preferences: which of the feasible nodes are preferred.
//!
//! A preference that no node meets is passed over, so that preferences never leave a task without a
//! node.

use super::node::Node;
use super::placement::Placement;
use crate::api::NodeStatus;

/// Share of a node's memory filled by choice: the last tenth is left for tasks that grow after they
/// start.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Share of the latency objective that an expected start may take; the rest covers what the
/// estimate cannot see.
const OBJECTIVE_SHARE: f64 = 0.5;
/// Starts within this factor of the soonest count as equally soon, so that sampling keeps its
/// randomness.
const NEAR_SOONEST: f64 = 1.3;
/// Idle nodes stay unused while the mean score of active ones is below this; the rest is for
/// variation and for nodes that leave.
const MAX_ACTIVE_SCORE: f64 = 0.7;
/// A node is active if its tasks request at least this part of a mean task's cores.
const ACTIVE_PART_OF_TASK: f64 = 2.0;

/// Keeps the nodes that pass, unless none does.
fn prefer(nodes: &mut Vec<&Node>, passes: impl Fn(&Node) -> bool) {
    if nodes.iter().any(|node| passes(node)) {
        nodes.retain(|node| passes(node));
    }
}

impl Placement<'_> {
    /// Prefers nodes that run tasks.
    ///
    /// An idle node always has the lowest score and attracts tasks, and each one used beyond those
    /// needed has its price. Active nodes are preferred while their mean score leaves capacity to
    /// spare, unless a node drains: its tasks need all the capacity there is.
    pub(super) fn retain_active(&self, nodes: &mut Vec<&Node>) {
        let settings = &self.scheduler.settings;
        if settings.fleet_price <= 0.0 {
            return;
        }
        let min_cores = settings.mean_cores / ACTIVE_PART_OF_TASK;
        let is_active =
            |node: &Node| node.load.requested(self.mean_foreign_load).cores >= min_cores;
        let scores: Vec<f64> = nodes
            .iter()
            .filter(|node| is_active(node))
            .map(|node| self.scheduler.score(node, self.mean_foreign_load))
            .collect();
        let has_spare = scores.iter().sum::<f64>() <= MAX_ACTIVE_SCORE * scores.len() as f64;
        let is_draining = |node: &Node| node.entry.state == NodeStatus::Draining;
        let any_draining = || self.scheduler.nodes.values().any(is_draining);
        if has_spare && !any_draining() {
            prefer(nodes, is_active);
        }
    }

    /// Prefers nodes that would keep a part of their memory free.
    ///
    /// Requested memory does not show how much is used, and a node that runs out of it evicts
    /// tasks.
    pub(super) fn retain_with_free_memory(&self, nodes: &mut Vec<&Node>) {
        prefer(nodes, |node| self.leaves_memory_free(node));
    }

    /// Prefers nodes that are expected to start the task in time.
    ///
    /// A start without the program takes many times longer and misses the latency objective, which
    /// is worth many seconds of service; so does a start behind many others.
    pub(super) fn retain_timely(&self, nodes: &mut Vec<&Node>) {
        let (scheduler, spec) = (self.scheduler, &self.request.spec);
        let objective_at = self.request.arrived_at + self.class.latency_objective;
        let time_left = objective_at.saturating_sub(scheduler.now) as f64 * OBJECTIVE_SHARE;
        let estimate = |node: &Node| scheduler.start_estimate(node, spec);
        let soonest = nodes
            .iter()
            .map(|node| estimate(node))
            .fold(f64::INFINITY, f64::min);
        let limit = time_left.max(soonest * NEAR_SOONEST);
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
