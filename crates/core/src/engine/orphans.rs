//! Copies that may run although no attempt in flight represents them.

use super::{Control, Core, Output};
use crate::Decide;
use crate::attempt_log::{AttemptId, Completion, TaskCopy, TaskSpec};
use crate::jobs::TaskEnd;
use peppercove::{
    AttemptOutcome, EndReason, Event, NodeId, PlacementRequest, RequestId, TaskReporter,
};
use std::collections::BTreeMap;

/// The orphans that the scheduler counts as running tasks, with the request id under which it knows each.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    requests: BTreeMap<TaskCopy, RequestId>,
}

impl<D: Decide> Core<D> {
    /// Makes the scheduler count a copy whose class has a topology spread as a running task until it is known to have
    /// ended, so that neither its place in the topology spread nor its capacity is allocated twice.
    pub(super) fn track_orphan(&mut self, copy: TaskCopy, spec: TaskSpec) {
        if !self.has_topology_spread(spec.class) || self.orphans.requests.contains_key(&copy) {
            return;
        }
        let id = self.requests.next_id();
        self.orphans.requests.insert(copy, id);
        let request = orphan_request(id, spec);
        self.events.push(Event::RunningTask {
            request,
            node: copy.attempt.node,
            reported_by: TaskReporter::Node,
        });
    }

    /// Stops counting the copy as an orphan: it has ended, or a request waits for it again.
    pub(super) fn release_orphan(&mut self, copy: TaskCopy) {
        let Some(request) = self.orphans.requests.remove(&copy) else {
            return;
        };
        let attempt = AttemptId::new(copy.attempt.node, request, 0);
        self.report_uncounted_end(attempt, AttemptOutcome::Cancelled.into(), true);
    }

    /// Closes a copy that provably never ran, or that was stopped before its end.
    pub(super) fn close_copy(&mut self, copy: TaskCopy) {
        self.attempt_log.record_closed(copy);
        self.release_orphan(copy);
    }

    /// Closes a copy that has ended, or may have.
    pub(super) fn end_copy(&mut self, copy: TaskCopy, completion: Completion) {
        self.attempt_log.record_end(self.now, copy, completion);
        self.release_orphan(copy);
    }

    /// Closes a copy according to the end that its node reported.
    pub(super) fn resolve_ended_copy(&mut self, copy: TaskCopy, end: TaskEnd, reason: EndReason) {
        match end {
            TaskEnd::Exited { .. } => {
                self.end_copy(copy, Completion::Ended(copy.attempt.node, end))
            }
            // The node reported that it stopped the task before its end, and why.
            TaskEnd::Evicted if is_stopped_by_node(reason) => self.close_copy(copy),
            TaskEnd::Signalled { .. } | TaskEnd::Evicted | TaskEnd::Lost => {
                self.end_copy(copy, Completion::MayHaveRun);
            }
        }
    }

    /// Stops counting the copies at a disconnected node that the node list no longer contains, until it returns.
    pub(super) fn release_orphans_of(&mut self, node: NodeId) {
        for copy in self.attempt_log.on_node_removed(self.now, node) {
            self.release_orphan(copy);
        }
        self.forget_previous_ids(node);
    }

    // ---- Orphans that were not claimed ----

    /// Stops the orphans whose retention is over, and queries nodes about those in an unknown state.
    pub(super) fn process_due_copies(&mut self) {
        let due = self.attempt_log.take_due(self.now, self.limits.incarnation);
        for copy in due.stop {
            if copy.incarnation == self.limits.incarnation {
                self.stop_orphan(copy.attempt);
            }
        }
        for copy in due.query {
            if self.nodes.is_connected(copy.attempt.node) {
                // The node answers with what it knows of the attempt, or with a rejection that it will not revoke.
                self.outputs.push(Output::cancel_attempt(copy.attempt));
            }
        }
    }

    /// Stops a copy that no request waits for.
    pub(super) fn stop_orphan(&mut self, attempt: AttemptId) {
        self.counters.orphans_stopped += 1;
        self.outputs
            .push(Output::control_task(attempt, Control::Terminate));
    }
}

/// Whether the reason means that the node stopped the task before its end.
fn is_stopped_by_node(reason: EndReason) -> bool {
    match reason {
        EndReason::Evicted | EndReason::Preempted | EndReason::Drained => true,
        EndReason::Unknown
        | EndReason::InsufficientCores
        | EndReason::InsufficientMemory
        | EndReason::QueueFull
        | EndReason::Ineligible => false,
    }
}

fn orphan_request(id: RequestId, spec: TaskSpec) -> PlacementRequest {
    let TaskSpec {
        task,
        service,
        class,
        tenant,
        cores,
        memory,
    } = spec;
    PlacementRequest {
        id,
        task,
        service,
        class,
        tenant,
        cores,
        memory,
        deadline_in: 0,
        expected_duration: None,
        is_retry: true,
    }
}
