//! Rejections: updates the load estimate or the backoff of a node that rejected a task.

use super::Scheduler;
use super::backoff::BackoffScope;
use crate::api::{EndReason, Micros, NodeId, PlacementRequest, ResourceKind, Resources};

/// Divisor of the requested amount that gives the assumed free amount of a resource that a node
/// lacks. The free amount is between zero and the requested amount, so half of it on average.
const REQUESTED_PER_FREE: f64 = 2.0;

/// Task size that a node rejected for lack of capacity, valid until a certain time.
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

    /// Whether the node is expected to reject a task of this size as well.
    pub(super) fn covers(&self, size: Resources, now: Micros) -> bool {
        let rejected = self.size.filter(|_| now < self.until);
        rejected.is_some_and(|limit| size.cores >= limit.cores && size.memory >= limit.memory)
    }
}

impl Scheduler {
    /// Handles a rejection: records that the node is full, or begins a backoff.
    ///
    /// Otherwise a node with a wrong table entry would receive all queued tasks, and each attempt
    /// would be rejected at once.
    pub(super) fn on_rejected(&mut self, node: NodeId, spec: &PlacementRequest, reason: EndReason) {
        match reason {
            EndReason::InsufficientCores => self.on_insufficient(node, spec, ResourceKind::Cores),
            EndReason::InsufficientMemory => self.on_insufficient(node, spec, ResourceKind::Memory),
            // The node processes attempts too slowly, or is draining before the list reports it.
            EndReason::QueueFull | EndReason::Ineligible => {
                self.back_off(node, BackoffScope::QueueFull);
            }
            // The reason is not visible in the node table.
            EndReason::Unknown | EndReason::Evicted | EndReason::Preempted | EndReason::Drained => {
                self.back_off(node, BackoffScope::of_tasks(spec))
            }
        }
    }

    /// Handles a rejection for lack of a resource. The free amount is between zero and the
    /// requested amount and is assumed to be half of it. The rest of the capacity must be foreign
    /// load.
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
