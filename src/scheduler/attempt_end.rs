//! Handles the end of attempts.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::request::{Attempt, TrackedRequest};
use crate::api::{AttemptOutcome, EndReason, NodeId, RequestId};

/// The reported end of an attempt.
pub(super) struct AttemptEnd {
    pub(super) request: RequestId,
    pub(super) attempt: u16,
    pub(super) node: NodeId,
    pub(super) outcome: AttemptOutcome,
    pub(super) reason: EndReason,
    pub(super) is_final: bool,
}

impl AttemptOutcome {
    /// Whether the outcome was reported by the node itself.
    fn is_reported_by_node(self) -> bool {
        match self {
            AttemptOutcome::Completed
            | AttemptOutcome::Error
            | AttemptOutcome::Rejected
            | AttemptOutcome::Lost => true,
            AttemptOutcome::TimedOut
            | AttemptOutcome::Unreachable
            | AttemptOutcome::NotSent
            | AttemptOutcome::Cancelled => false,
        }
    }

    /// Whether the task may have started.
    fn may_have_run(self) -> bool {
        match self {
            AttemptOutcome::Completed
            | AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Lost
            | AttemptOutcome::Cancelled => true,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent => {
                false
            }
        }
    }
}

impl Attempt {
    fn end(&mut self, outcome: AttemptOutcome) {
        self.is_open = false;
        self.is_starting = false;
        self.has_failed = outcome == AttemptOutcome::Error;
        self.may_have_run = outcome.may_have_run();
    }
}

impl Scheduler {
    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd) {
        if end.outcome.is_reported_by_node() {
            self.on_contact(end.node);
        }
        let Some(mut request) = self.requests.remove(&end.request) else {
            return;
        };
        let attempt = request.attempts.get_mut(usize::from(end.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_open) else {
            self.requests.insert(end.request, request);
            return;
        };
        attempt.end(end.outcome);
        let (node, sent_at) = (attempt.node, attempt.sent_at);
        let was_unconfirmed = std::mem::replace(&mut attempt.is_unconfirmed, false);
        if was_unconfirmed {
            self.remove_unconfirmed_load(node, request.spec.resources());
        }
        self.release_attempt(&request.spec, node);
        let has_no_contact = self
            .nodes
            .get(&node)
            .is_none_or(|known| known.last_contact <= sent_at);
        self.learn_from_end(end, node, &request, has_no_contact);
        if end.outcome == AttemptOutcome::Rejected {
            request.backoff_until = self.backoff_after_rejection(&request);
        }
        self.continue_request(request, end);
    }

    /// Updates the headroom of the class, and the backoffs and load estimate of the node.
    /// `has_no_contact` means that no message from the node has arrived since the attempt was sent.
    fn learn_from_end(
        &mut self,
        end: &AttemptEnd,
        node: NodeId,
        request: &TrackedRequest,
        has_no_contact: bool,
    ) {
        let spec = &request.spec;
        let was_preempted = end.reason == EndReason::Preempted;
        if end.outcome == AttemptOutcome::Completed || was_preempted {
            self.headroom.learn(spec.class, was_preempted);
        }
        let was_in_flight = request.is_dispatched();
        match end.outcome {
            AttemptOutcome::Rejected => self.on_rejected(node, spec, end.reason),
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable if has_no_contact => {
                self.on_unresponsive(node);
            }
            AttemptOutcome::Error if was_in_flight => self.on_error(node, request),
            // The node has sent other messages since, so the fault is limited to this kind of task.
            AttemptOutcome::TimedOut | AttemptOutcome::Lost if was_in_flight => {
                self.back_off(node, BackoffScope::of_tasks(spec));
            }
            AttemptOutcome::Completed
            | AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Lost
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => {}
        }
    }

    /// Retries the request, gives its final answer, or forgets it.
    fn continue_request(&mut self, mut request: TrackedRequest, end: &AttemptEnd) {
        let id = end.request;
        let needs_attempt = request.end_attempt(end.is_final);
        if request.is_completed() && !request.has_open_attempt() {
            return;
        }
        let cannot_retry = request.attempts.len() >= self.settings.max_attempts as usize
            || end.outcome == AttemptOutcome::NotSent
            || !self.may_retry(&request);
        self.requests.insert(id, request);
        if needs_attempt && cannot_retry {
            self.answer_unplaced(id);
        } else if needs_attempt && !self.try_place(id, None) {
            self.enqueue(id);
        }
    }
}
