//! Handles placements and updates on running tasks.

use super::Scheduler;
use super::backoff::BackoffScope;
use crate::api::{NodeId, PlacementAck, RequestId, ResourceKind, Resources, TaskUpdate};

impl Scheduler {
    pub(super) fn on_placed(&mut self, id: RequestId, attempt: u16, node_id: NodeId) {
        self.on_contact(node_id);
        if let Some(node) = self.nodes.get_mut(&node_id) {
            node.unanswered.remove(&id);
        }
        if self.settings.placement_ack == PlacementAck::Running {
            self.on_started(id, attempt);
        }
        let initial_backoff = self.initial_backoff();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.confirm_placement() {
            return;
        }
        let tasks = BackoffScope::of_tasks(&request.spec);
        if let Some(node) = self.nodes.get_mut(&node_id) {
            node.errors.clear(tasks);
            let scopes = [BackoffScope::QueueFull, tasks];
            node.backoffs.shorten(scopes, initial_backoff, self.now);
        }
    }

    /// Records that a handed-over task has ended, or that its node has reported on it.
    pub(super) fn remove_unconfirmed_load(&mut self, node: NodeId, size: Resources) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.load.remove_unconfirmed(size);
        }
    }

    pub(super) fn on_task_updated(
        &mut self,
        id: RequestId,
        attempt: u16,
        node: NodeId,
        update: TaskUpdate,
    ) {
        self.on_contact(node);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let requested = request.spec.resources();
        let reported = request.attempts.get_mut(usize::from(attempt));
        if reported.is_some_and(|a| std::mem::replace(&mut a.is_unconfirmed, false)) {
            self.remove_unconfirmed_load(node, requested);
        }
        match update {
            TaskUpdate::Running => self.on_started(id, attempt),
            TaskUpdate::CoresUsed(used) => {
                self.usage_ratio
                    .learn(ResourceKind::Cores, used, requested.cores);
            }
            TaskUpdate::MemoryUsed(used) => {
                self.usage_ratio
                    .learn(ResourceKind::Memory, used, requested.memory);
            }
            TaskUpdate::ServedShare(_) | TaskUpdate::NodeMemoryShare(_) => {}
        }
    }
}
