//! Attempts: dispatch, cancellation, timeout and end.

use super::{Core, Output, Timer};
use crate::Decide;
use crate::attempt_log::{AttemptId, ClientInterest, TaskSpec};
use crate::jobs::JobId;
use crate::request_state::{Attempt, RequestState};
use peppercove::{AttemptOutcome, EndReason, LoadReport, Micros, NodeId, RequestId};
use std::collections::BTreeMap;

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) reason: EndReason,
    /// The load report that the node sent with it.
    pub(super) load: Option<LoadReport>,
}

impl AttemptEnd {
    /// Creates an end with everything that the node reported.
    pub(super) fn new(
        outcome: AttemptOutcome,
        reason: EndReason,
        load: Option<LoadReport>,
    ) -> AttemptEnd {
        AttemptEnd {
            outcome,
            reason,
            load,
        }
    }

    /// Creates an end for which no node gave a reason.
    pub(super) fn without_reason(outcome: AttemptOutcome, load: Option<LoadReport>) -> AttemptEnd {
        AttemptEnd::new(outcome, EndReason::Unknown, load)
    }
}

impl From<AttemptOutcome> for AttemptEnd {
    /// Creates an end that no node reported.
    fn from(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd::without_reason(outcome, None)
    }
}

/// Number of ended attempts, by outcome and reason.
#[derive(Debug, Default)]
pub(super) struct AttemptEndCounts {
    counts: BTreeMap<EndKey, (AttemptOutcome, EndReason, u64)>,
}

/// Sort key: outcome and reason by their discriminants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndKey {
    outcome: u8,
    reason: u8,
}

impl AttemptEndCounts {
    /// Counts an ended attempt.
    pub(super) fn count(&mut self, outcome: AttemptOutcome, reason: EndReason) {
        let key = EndKey {
            outcome: outcome as u8,
            reason: reason as u8,
        };
        let (.., count) = self.counts.entry(key).or_insert((outcome, reason, 0));
        *count += 1;
    }

    /// The counts, ordered by outcome and reason.
    pub(super) fn iter(&self) -> impl Iterator<Item = (AttemptOutcome, EndReason, u64)> + '_ {
        self.counts.values().copied()
    }
}

impl<D: Decide> Core<D> {
    // ---- Dispatch ----

    /// Executes a dispatch of the scheduler.
    pub(super) fn dispatch(&mut self, request: RequestId, node: NodeId, timeout: Option<Micros>) {
        let is_connected = self.nodes.is_connected(node);
        let Some(entry) = self.requests.get_mut(request) else {
            self.counters.ignored_actions += 1;
            return;
        };
        let number = u16::try_from(entry.attempts.len()).unwrap_or(u16::MAX);
        let answer_by = entry.deadline.saturating_sub(self.limits.deadline_margin);
        let expires_at = answer_by.min(timeout.map_or(answer_by, |t| self.now.saturating_add(t)));
        let has_attempts_left = entry.attempts.len() < self.limits.max_attempts as usize;
        let can_dispatch =
            entry.state == RequestState::Pending && has_attempts_left && answer_by > self.now;
        let job = entry.job;
        entry.attempts.push(Attempt::new(node));
        let attempt = AttemptId::new(node, request, number);
        if !can_dispatch {
            self.counters.ignored_actions += 1;
            self.end_attempt(attempt, AttemptOutcome::NotSent.into());
            return;
        }
        self.transition(request, RequestState::Dispatched(number));
        if !is_connected {
            self.counters.unreachable += 1;
            self.end_attempt(attempt, AttemptOutcome::Unreachable.into());
            return;
        }
        self.send(attempt, job, expires_at);
    }

    fn send(&mut self, attempt: AttemptId, job: JobId, expires_at: Micros) {
        let AttemptId {
            request, number, ..
        } = attempt;
        self.counters.dispatched += 1;
        self.log_sent(attempt);
        self.timers
            .schedule(expires_at, Timer::AttemptTimeout { request, number });
        let expires_in = expires_at - self.now;
        self.outputs
            .push(Output::dispatch(attempt, expires_in, job));
    }

    /// Invariant: a copy is in the journal before it is sent.
    fn log_sent(&mut self, attempt: AttemptId) {
        let Some(spec) = self
            .requests
            .get(attempt.request)
            .map(|entry| TaskSpec::from(&entry.request))
        else {
            return;
        };
        if self.is_logged(spec.class) {
            let node_incarnation = self.nodes.reported_incarnation(attempt.node);
            self.attempt_log
                .record_sent(self.own_copy(attempt), node_incarnation, spec);
            self.flush_journal();
        }
    }

    /// Handles a dispatch that could not be written to the connection, and thus never left.
    pub(super) fn on_dispatch_failed(&mut self, attempt: AttemptId) {
        if self.requests.is_in_flight(attempt) {
            self.counters.unreachable += 1;
            self.end_attempt(attempt, AttemptOutcome::Unreachable.into());
        }
    }

    // ---- Ends ----

    /// Stops waiting for an attempt. Its node may nevertheless have started the task.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, number: u16) {
        match self.requests.in_flight(request, number) {
            Some(attempt) => self.cancel_in_flight(attempt, AttemptOutcome::Cancelled),
            None => self.counters.ignored_actions += 1,
        }
    }

    /// Cancels an attempt if it is still in flight at its timeout.
    pub(super) fn on_attempt_timeout(&mut self, request: RequestId, number: u16) {
        let Some(attempt) = self.requests.in_flight(request, number) else {
            return;
        };
        self.counters.timed_out += 1;
        self.cancel_in_flight(attempt, AttemptOutcome::TimedOut);
    }

    fn cancel_in_flight(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        self.outputs.push(Output::cancel_attempt(attempt));
        self.end_attempt(attempt, outcome.into());
    }

    /// Ends an attempt in flight. Its request becomes pending again unless it is completed.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let AttemptId {
            node,
            request,
            number,
        } = attempt;
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let (state, spec) = (entry.state, TaskSpec::from(&entry.request));
        let Some(ended) = entry
            .attempts
            .get_mut(usize::from(number))
            .filter(|a| a.ended.is_none())
        else {
            return;
        };
        ended.ended = Some(end.outcome);
        let never_ran = ended.never_ran();
        self.resolve_copy(attempt, spec, never_ran, state);
        if state == RequestState::Dispatched(number) {
            self.transition(request, RequestState::Pending);
        }
        self.resolve_by_late_report(request);
        let is_final = self.requests.get_open(request).is_none();
        self.report_end(attempt, end, is_final);
        self.forget_if_done(request);
        self.forget_node(node);
    }

    /// Closes the copy of an ended attempt, or makes it an orphan.
    fn resolve_copy(
        &mut self,
        attempt: AttemptId,
        spec: TaskSpec,
        never_ran: bool,
        state: RequestState,
    ) {
        let copy = self.own_copy(attempt);
        if never_ran {
            self.close_copy(copy);
        } else if self.attempt_log.is_open(copy) {
            self.track_orphan(copy, spec);
            if state == RequestState::Completed {
                self.attempt_log
                    .abandon(self.now, copy, ClientInterest::MayReturn);
            }
        }
    }
}
