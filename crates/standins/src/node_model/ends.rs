//! Removal of tasks from the node: rejection, eviction and the end of a program.

use super::task::{Task, TaskId, TaskState};
use super::{Micros, NodeModel};
use peppercove_protocol::node::{Idempotency, NodeReason, TaskExit};

impl NodeModel {
    /// Removes a task that has not run and reports it as rejected.
    pub(super) fn reject(&mut self, now: Micros, id: &TaskId, reason: NodeReason) {
        self.remove(now, id);
        self.send_rejected(now, id, reason);
    }

    /// Removes a task in any state. It is reported as rejected if it has not run, and as ended otherwise.
    pub(super) fn evict(&mut self, now: Micros, id: &TaskId, reason: NodeReason) {
        match self.tasks.get(id).map(|task| task.state) {
            Some(TaskState::Queued | TaskState::Accepted | TaskState::Starting { .. }) => {
                self.reject(now, id, reason);
            }
            Some(TaskState::Running { .. } | TaskState::Suspended { .. }) => {
                self.end(now, id, TaskExit::Evicted(reason));
            }
            None => {}
        }
    }

    /// Ends a task that has run and reports its end. A task that is still starting is rejected instead.
    pub(super) fn end(&mut self, now: Micros, id: &TaskId, exit: TaskExit) {
        let state = self.tasks.get(id).map(|task| task.state);
        if let Some(TaskState::Starting { .. }) = state {
            return self.reject(now, id, NodeReason::Ineligible);
        }
        if let (Some(TaskState::Running { start, .. }), TaskExit::Exited { .. }) = (state, exit) {
            self.fleet.start_log.borrow_mut().mark_completed(start);
        }
        let offered = self.tasks.get(id).map(|task| task.offered.clone());
        self.remove(now, id);
        if let Some(offered) = offered {
            self.completed.insert(now, id.clone(), offered, exit);
        }
        self.send_ended(now, id, exit);
    }

    /// Removes a task from all queues and tables.
    pub(super) fn remove(&mut self, now: Micros, id: &TaskId) {
        self.admission_queue.retain(|other| other != id);
        self.start_queue.retain(|other| other != id);
        let current = self.current_admission.as_ref();
        if current.is_some_and(|admission| admission.id == *id) {
            self.current_admission = None;
        }
        let Some(task) = self.tasks.remove(id) else {
            return;
        };
        self.record_removal(now, &task);
        let used = self.services_in_use();
        self.program_cache.release(now, task.offered.service, &used);
    }

    /// Updates the shared state of the fleet for a task that is no longer on the node.
    pub(super) fn record_removal(&self, now: Micros, task: &Task) {
        let start = task.state.start();
        if task.offered.idempotency == Idempotency::Keyed && task.is_active() {
            let key = self.dedup_key(&task.offered);
            let mut dedup = self.fleet.dedup.borrow_mut();
            // `end` marks copies that ran to completion.
            let log = self.fleet.start_log.borrow();
            if start.is_some_and(|start| log.is_completed(start)) {
                dedup.complete(key, now + self.spec.dedup_window);
            } else {
                dedup.release(key);
            }
        }
        if let Some(start) = start {
            self.fleet.start_log.borrow_mut().mark_ended(start, now);
        }
    }
}
