//! Placements, and reports of running tasks.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::request::RequestState;
use crate::api::{NodeId, PlacementAck, RequestId, ResourceKind, TaskUpdate};

impl Scheduler {
    pub(super) fn on_placed(&mut self, id: RequestId, attempt: u16, node_id: NodeId) {
        self.on_contact(node_id);
        if let Some(node) = self.nodes.get_mut(&node_id) {
            node.unanswered.remove(&id);
        }
        if self.settings.placement_ack == PlacementAck::Running {
            self.on_started(id, attempt);
        }
        let first_backoff = self.first_backoff();
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|request| request.state == RequestState::Dispatched)
        else {
            return;
        };
        request.state = RequestState::Placed;
        let tasks = BackoffScope::of_tasks(&request.spec);
        if let Some(node) = self.nodes.get_mut(&node_id) {
            node.errors.remove(&tasks);
            node.backoffs
                .shorten([BackoffScope::QueueFull, tasks], first_backoff, self.now);
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
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let requested = request.spec.resources();
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
