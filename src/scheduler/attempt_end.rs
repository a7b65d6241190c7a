//! What the end of an attempt changes.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::request::{Attempt, RequestState, TrackedRequest};
use crate::api::{
    AttemptOutcome, EndReason, NodeId, PlacementRequest, RequestId, ResourceKind, Resources,
};

/// What is reported of an attempt's end.
pub(super) struct AttemptEnd {
    pub(super) request: RequestId,
    pub(super) attempt: u16,
    pub(super) node: NodeId,
    pub(super) outcome: AttemptOutcome,
    pub(super) reason: EndReason,
    pub(super) is_final: bool,
}

impl AttemptOutcome {
    /// The node itself reported it.
    fn is_contact(self) -> bool {
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

    /// The task may have started.
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
        if end.outcome.is_contact() {
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

    /// Learns about the node and the class. `has_no_contact` if no message of the node has arrived
    /// since the attempt was sent.
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
        let was_in_flight = request.state == RequestState::Dispatched;
        match end.outcome {
            AttemptOutcome::Rejected => self.on_rejected(node, spec, end.reason),
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable if has_no_contact => {
                self.on_unresponsive(node);
            }
            AttemptOutcome::Error if was_in_flight => self.on_error(node, request),
            // The node answers others, so that what was sent is at fault.
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

    /// Retries a request, answers it, or forgets it.
    fn continue_request(&mut self, mut request: TrackedRequest, end: &AttemptEnd) {
        let id = end.request;
        let is_unplaced = !end.is_final && request.state == RequestState::Dispatched;
        if is_unplaced {
            request.state = RequestState::Queued;
        } else if end.is_final {
            request.state = RequestState::Completed;
        }
        if request.state == RequestState::Completed && !request.has_open_attempt() {
            return;
        }
        let is_hopeless = request.attempts.len() >= self.settings.max_attempts as usize
            || end.outcome == AttemptOutcome::NotSent
            || !self.may_retry(&request);
        self.requests.insert(id, request);
        if is_unplaced && is_hopeless {
            self.answer_unplaced(id);
        } else if is_unplaced && !self.try_place(id, None) {
            self.enqueue(id);
        }
    }

    /// An error keeps the like of the task away from the node.
    ///
    /// A task that no node can run fails wherever it is sent, and a few of them would close a whole
    /// cluster to their class. What fails on a second node speaks against the task: neither node
    /// backs off, unless another error came there since its last placement.
    fn on_error(&mut self, node: NodeId, request: &TrackedRequest) {
        let scope = BackoffScope::of_tasks(&request.spec);
        if let Some(known) = self.nodes.get_mut(&node) {
            *known.errors.entry(scope).or_insert(0) += 1;
        }
        let failed = request.attempts.iter().filter(|attempt| attempt.has_failed);
        let mut failed_elsewhere = failed
            .map(|attempt| attempt.node)
            .filter(|other| *other != node)
            .peekable();
        let is_first_node = failed_elsewhere.peek().is_none();
        for other in failed_elsewhere {
            if self.has_single_error(other, scope)
                && let Some(known) = self.nodes.get_mut(&other)
            {
                known.backoffs.remove(scope);
            }
        }
        if is_first_node || !self.has_single_error(node, scope) {
            self.back_off(node, scope);
        }
    }

    /// At most one error came to this work on the node since its last placement; false if it is not
    /// known.
    fn has_single_error(&self, node: NodeId, scope: BackoffScope) -> bool {
        let node = self.nodes.get(&node);
        node.is_some_and(|node| node.errors.get(&scope).is_none_or(|errors| *errors <= 1))
    }

    /// A rejection marks the node as full, or keeps the like of the task away from it.
    ///
    /// A table that is wrong about one node would send it everything that is queued, and each
    /// attempt would be rejected at once.
    fn on_rejected(&mut self, node: NodeId, spec: &PlacementRequest, reason: EndReason) {
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
        /// Part of the requested amount that is taken to be free.
        const FREE_PARTS: f64 = 2.0;
        let until = self.now + self.shortest_objective();
        let overcommit = self.settings.overcommit();
        let Some(node) = self.nodes.get_mut(&node) else {
            return;
        };
        let size = spec.resources();
        let before = node.load.foreign();
        let accepted = overcommit[kind] * node.capacity[kind];
        node.load
            .raise_foreign(kind, accepted, size[kind] / FREE_PARTS);
        self.mean_foreign_load.replace(before, node.load.foreign());
        let mut rejected = Resources::ZERO;
        rejected[kind] = size[kind];
        node.rejected_size.set(rejected, until);
        node.load.set_observed_at(self.now);
    }
}
