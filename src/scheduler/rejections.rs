//! Rejections: what a node that rejected a task is taken to lack.

use super::Scheduler;
use super::backoff::BackoffScope;
use crate::api::{EndReason, Micros, NodeId, PlacementRequest, ResourceKind, Resources};

/// Of a resource that it lacks, a node has between nothing and the requested amount free: half of
/// it in the mean.
const REQUESTED_PER_FREE: f64 = 2.0;

/// The smallest size that a node rejected for lack of capacity.
#[derive(Default)]
pub(super) struct RejectedSize {
    size: Option<Resources>,
    until: Micros,
}

impl RejectedSize {
    pub(super) fn set(&mut self, size: Resources, until: Micros) {
        (self.size, self.until) = (Some(size), until);
    }

    pub(super) fn clear(&mut self) {
        self.size = None;
    }

    /// Whether a task of this size would be rejected as well.
    pub(super) fn covers(&self, size: Resources, now: Micros) -> bool {
        let rejected = self.size.filter(|_| now < self.until);
        rejected.is_some_and(|least| size.cores >= least.cores && size.memory >= least.memory)
    }
}

impl Scheduler {
    /// A rejection marks the node as full, or keeps the like of the task away from it.
    ///
    /// A table that is wrong about one node would send it everything that is queued, and each
    /// attempt would be rejected at once.
    pub(super) fn on_rejected(&mut self, node: NodeId, spec: &PlacementRequest, reason: EndReason) {
        match reason {
            EndReason::InsufficientCores => self.on_insufficient(node, spec, ResourceKind::Cores),
            EndReason::InsufficientMemory => self.on_insufficient(node, spec, ResourceKind::Memory),
            // It looks at attempts too slowly, or drains before the list says so.
            EndReason::QueueFull | EndReason::Ineligible => {
                self.back_off(node, BackoffScope::QueueFull);
            }
            // For no reason that the table could show.
            EndReason::Unknown | EndReason::Evicted | EndReason::Preempted | EndReason::Drained => {
                self.back_off(node, BackoffScope::of_tasks(spec))
            }
        }
    }

    /// The node has less of a resource free than the task requests: between nothing and that, so
    /// half of it in the mean. The rest must be foreign load.
    fn on_insufficient(&mut self, node: NodeId, spec: &PlacementRequest, kind: ResourceKind) {
        let until = self.now + self.shortest_objective();
        let overcommit = self.settings.overcommit();
        let Some(node) = self.nodes.get_mut(&node) else {
            return;
        };
        let size = spec.resources();
        let before = node.load.foreign();
        let accepted = overcommit[kind] * node.capacity[kind];
        node.load
            .raise_foreign(kind, accepted, size[kind] / REQUESTED_PER_FREE);
        self.mean_foreign_load.replace(before, node.load.foreign());
        let mut rejected = Resources::ZERO;
        rejected[kind] = size[kind];
        node.rejected_size.set(rejected, until);
        node.load.set_observed_at(self.now);
    }
}
