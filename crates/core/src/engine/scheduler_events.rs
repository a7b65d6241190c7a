//! Events for the scheduler, queued in order.

use super::Core;
use super::attempts::AttemptEnd;
use crate::Decide;
use crate::attempt_log::AttemptId;
use peppercove::{Event, ListUpdateKind, LoadReport, NodeEntry, NodeId, TaskUpdate};

impl<D: Decide> Core<D> {
    /// Reports an update of the node list.
    pub(super) fn report_node_list(
        &mut self,
        kind: ListUpdateKind,
        version: u64,
        entries: Vec<NodeEntry>,
    ) {
        self.events.push(Event::NodeList {
            kind,
            version,
            entries,
        });
    }

    /// Reports that an attempt placed its task.
    pub(super) fn report_placed(&mut self, attempt: AttemptId) {
        self.events.push(Event::Placed {
            request: attempt.request,
            attempt: attempt.number,
            node: attempt.node,
        });
    }

    /// Counts the end of an attempt and reports it; `is_final` if its request is completed with it.
    pub(super) fn report_end(&mut self, attempt: AttemptId, end: AttemptEnd, is_final: bool) {
        self.attempt_ends.count(end.outcome, end.reason);
        self.report_uncounted_end(attempt, end, is_final);
    }

    /// Reports an end without counting it: that of an orphan, which has a request id of its own but is no attempt.
    pub(super) fn report_uncounted_end(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd,
        is_final: bool,
    ) {
        self.events.push(Event::AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            node: attempt.node,
            outcome: end.outcome,
            reason: end.reason,
            is_final,
            load: end.load,
        });
    }

    /// Reports an update on a running task.
    pub(super) fn report_task_update(&mut self, attempt: AttemptId, update: TaskUpdate) {
        self.events.push(Event::TaskUpdated {
            request: attempt.request,
            attempt: attempt.number,
            node: attempt.node,
            update,
        });
    }

    /// Reports that a node answered a probe, or failed to.
    pub(super) fn report_probe(&mut self, node: NodeId, answered: bool, load: Option<LoadReport>) {
        self.events.push(Event::Probed {
            node,
            answered,
            load,
        });
    }

    /// Reports the load that a node sent with another message as an answer to a probe.
    pub(super) fn report_load(&mut self, node: NodeId, load: Option<LoadReport>) {
        if load.is_some() {
            self.report_probe(node, true, load);
        }
    }
}
