//! Admission of new requests, and of running tasks that this scheduler takes over.

use super::Scheduler;
use super::request::{AttemptStart, TrackedRequest};
use crate::api::{Action, NodeId, PlacementRequest, TaskReporter};

impl Scheduler {
    /// Tries to place a new request at once and queues it if that fails. Invalid requests are
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

    /// Registers a task that already runs on a node as placed.
    pub(super) fn on_running_task(
        &mut self,
        spec: &PlacementRequest,
        node: NodeId,
        reported_by: TaskReporter,
    ) {
        if !spec.is_valid(&self.settings) || self.requests.contains_key(&spec.id) {
            return;
        }
        let mut request = TrackedRequest::placed(spec, self.now);
        let attempt = self.open_attempt(spec, node, AttemptStart::AlreadyRunning { reported_by });
        // Invariant: each task is counted once. Node lists and load reports already include this
        // task as foreign load. If it were also added as own load, nodes would look full after a
        // restart of this scheduler.
        if let Some(node) = self.nodes.get_mut(&node) {
            let before = node.load.foreign();
            node.load.move_foreign_to_own_history(spec.resources());
            if attempt.is_unconfirmed {
                node.load.add_unconfirmed(spec.resources());
            }
            self.mean_foreign_load.replace(before, node.load.foreign());
        }
        request.attempts.push(attempt);
        self.requests.insert(spec.id, request);
    }
}
