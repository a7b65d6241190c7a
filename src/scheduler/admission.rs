//! New requests, and running tasks that this scheduler takes over.

use super::Scheduler;
use super::request::{AttemptStart, TrackedRequest};
use crate::api::{Action, NodeId, PlacementRequest};

impl Scheduler {
    /// Places a task at once where possible, and queues it otherwise. An invalid request is
    /// rejected.
    pub(super) fn on_place(&mut self, spec: &PlacementRequest) {
        if !spec.is_valid(&self.settings) {
            self.actions.push(Action::Reject {
                request: spec.id,
                retry_after: None,
            });
            return;
        }
        if self.requests.contains_key(&spec.id) {
            return;
        }
        self.requests
            .insert(spec.id, TrackedRequest::queued(spec, self.now));
        if !self.try_place(spec.id, None) {
            self.enqueue(spec.id);
        }
    }

    pub(super) fn on_running_task(&mut self, spec: &PlacementRequest, node: NodeId) {
        if !spec.is_valid(&self.settings) || self.requests.contains_key(&spec.id) {
            return;
        }
        let mut request = TrackedRequest::placed(spec, self.now);
        let attempt = self.open_attempt(spec, node, AttemptStart::AlreadyRunning);
        // Invariant: a task counts once. Lists and reports already count it, as foreign load;
        // counted as own load besides, nodes would look full after a restart of this scheduler.
        if let Some(node) = self.nodes.get_mut(&node) {
            let before = node.load.foreign();
            node.load.move_foreign_to_own_past(spec.resources());
            self.mean_foreign_load.replace(before, node.load.foreign());
        }
        request.attempts.push(attempt);
        self.requests.insert(spec.id, request);
    }
}
