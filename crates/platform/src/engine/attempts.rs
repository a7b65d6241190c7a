//! Dispatch, cancellation and end of attempts.

use super::request::{Attempt, AttemptEnd, AttemptId, AttemptState, Payload};
use super::timers::Timer;
use super::{MICROS_PER_MILLI, NodeConnectionId, Output, PlatformEngine};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::{AttemptOutcome, Event, Micros, NodeId, RequestId};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

/// The time limits that the scheduler sets for an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// Time after which the attempt times out; `None` means the deadline of the client.
    pub(super) timeout: Option<Micros>,
    /// The latest time at which the attempt may be sent; `None` means until it times out.
    pub(super) send_by: Option<Micros>,
}

impl<D: Decide> PlatformEngine<D> {
    /// Executes a dispatch of the scheduler. Each dispatch gets an attempt number and ends exactly once, even if
    /// nothing can be sent.
    pub(super) fn dispatch(&mut self, id: RequestId, node: NodeId, limits: AttemptLimits) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let answer_by = self.answer_by(request.received_at, request.deadline);
        let expires_at = limits.timeout.map_or(answer_by, |timeout| {
            self.now.saturating_add(timeout).min(answer_by)
        });
        let send_by = limits.send_by.unwrap_or(expires_at).min(expires_at);
        let is_final = !request.state.is_open();
        let can_be_sent = request.state == RequestState::Pending
            && request.attempts.len() < self.settings.max_attempts as usize
            && send_by > self.now;
        let attempt = Attempt::new(node, expires_at, send_by);
        let Some(attempt) = self.add_attempt(id, attempt) else {
            return;
        };
        if !can_be_sent {
            let end = AttemptOutcome::NotSent.into();
            self.report_attempt_end(attempt, node, end, is_final);
            return;
        }
        let Some(connection) = self.select_connection(id, node) else {
            let end = AttemptOutcome::Unreachable.into();
            self.report_attempt_end(attempt, node, end, false);
            return;
        };
        self.queue_attempt(attempt, connection);
        self.start_monitoring(node);
        if self.nodes.is_connected(connection) {
            self.send_queued(connection);
        } else if !self.nodes.accepts_tasks(node) {
            // Race: the list has changed after the scheduler's decision. The node may still be sent what is under way, but
            // not what waits for a connection.
            self.abandon_attempt(attempt, AttemptOutcome::Unreachable, false);
        }
    }

    fn add_attempt(&mut self, id: RequestId, attempt: Attempt) -> Option<AttemptId> {
        let request = self.requests.get_mut(id)?;
        let number = request.attempts.len() as u16;
        request.attempts.push(attempt);
        Some(AttemptId {
            request: id,
            number,
        })
    }

    /// Selects a connection to the node that has not carried an attempt of this request.
    fn select_connection(&mut self, id: RequestId, node: NodeId) -> Option<NodeConnectionId> {
        let request = self.requests.get(id)?;
        let used: Vec<NodeConnectionId> = request.attempts.iter().map(|a| a.connection).collect();
        self.nodes
            .select_connection(node, &used, self.now, self.bounds, &mut self.outputs)
    }

    fn queue_attempt(&mut self, id: AttemptId, connection: NodeConnectionId) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        self.counters.dispatched += 1;
        // An end received before this attempt cannot be about it.
        request.ambiguous_end = None;
        let transition = request
            .state
            .transition_to(RequestState::Dispatched(id.number));
        debug_assert!(transition.is_ok());
        let Some(attempt) = request.attempt_mut(id.number) else {
            return;
        };
        attempt.connection = connection;
        attempt.state = AttemptState::Queued;
        let timeout = Timer::AttemptTimeout(id);
        attempt.timeout_timer = Some(self.timers.schedule(attempt.expires_at, timeout));
        if attempt.send_by < attempt.expires_at {
            let send_by = Timer::SendBy(id);
            attempt.send_timer = Some(self.timers.schedule(attempt.send_by, send_by));
        }
        self.nodes.queue_attempt(connection, id);
    }

    /// Sends the attempts that were waiting for this connection.
    pub(super) fn send_queued(&mut self, connection: NodeConnectionId) {
        for id in self.nodes.take_queued(connection) {
            self.send_attempt(connection, id);
        }
    }

    /// Sends a queued attempt, unless it may no longer be sent.
    fn send_attempt(&mut self, connection: NodeConnectionId, id: AttemptId) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        let Some(payload) = &request.payload else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(usize::from(id.number)) else {
            return;
        };
        if attempt.state != AttemptState::Queued {
            return;
        }
        if attempt.send_by <= self.now {
            // Race: the connection was established before the timer fired.
            self.abandon_attempt(id, AttemptOutcome::Unreachable, false);
            return;
        }
        let time_left = attempt.expires_at.saturating_sub(self.now);
        let frame = attempt_message(request.wire_id, payload, time_left).encode();
        let offset = self.nodes.record_sent(connection, frame.len());
        let end = offset + frame.len() as u64;
        attempt.state = AttemptState::Sent { offset, end };
        self.nodes.add_sent_attempt(connection, id);
        self.outputs.push(Output::SendToNode(connection, frame));
    }

    /// Handles the end of the time within which an attempt may be sent.
    ///
    /// Invariant: an attempt that waits for its connection, or for a full socket, is not sent any more afterwards.
    pub(super) fn on_send_limit(&mut self, id: AttemptId) {
        let request = self.requests.get(id.request);
        let Some(attempt) = request.and_then(|request| request.attempt(id.number)) else {
            return;
        };
        match attempt.state {
            AttemptState::Queued => {
                self.abandon_attempt(id, AttemptOutcome::Unreachable, false);
            }
            AttemptState::Sent { offset: _, end } => {
                let unless_written = end;
                self.outputs.push(Output::CloseUnlessWritten(
                    attempt.connection,
                    unless_written,
                ));
            }
            AttemptState::Resolved | AttemptState::Unresolved => {}
        }
    }

    /// Prevents the attempts at a node that accepts no new tasks from being sent from now on.
    ///
    /// Queued attempts would be sent as soon as their connection is established, and sent ones may wait for a full
    /// socket.
    pub(super) fn stop_sending_to(&mut self, node: NodeId) {
        for attempt in self.nodes.queued_for(node) {
            self.abandon_attempt(attempt, AttemptOutcome::Unreachable, false);
        }
        for id in self.nodes.sent_to(node) {
            let request = self.requests.get(id.request);
            let attempt = request.and_then(|request| request.attempt(id.number));
            if let Some(attempt) = attempt
                && let AttemptState::Sent { offset, end: _ } = attempt.state
            {
                let first_byte_end = offset + 1;
                self.outputs.push(Output::CloseUnlessWritten(
                    attempt.connection,
                    first_byte_end,
                ));
            }
        }
    }

    /// Stops waiting for an open attempt and cancels it at its node. Does nothing if the attempt is not open.
    /// `is_final` means that the request is completed as well.
    pub(super) fn abandon_attempt(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        is_final: bool,
    ) {
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        let Some(attempt) = request.attempt(id.number).filter(|a| a.state.is_open()) else {
            return;
        };
        let (connection, node, wire_id) = (attempt.connection, attempt.node, request.wire_id);
        let was_sent = attempt.state != AttemptState::Queued;
        if was_sent {
            self.send_attempt_cancel(connection, wire_id);
        }
        let state = if was_sent {
            AttemptState::Unresolved
        } else {
            AttemptState::Resolved
        };
        // An attempt that was never sent cannot have run, so it ends as unreachable unless it was cancelled.
        let outcome = if was_sent || outcome == AttemptOutcome::Cancelled {
            outcome
        } else {
            AttemptOutcome::Unreachable
        };
        self.close_attempt(id, state, is_final);
        self.report_attempt_end(id, node, outcome.into(), is_final);
    }

    /// Cancels an attempt at its node if its connection is established.
    pub(super) fn send_attempt_cancel(&mut self, connection: NodeConnectionId, wire_id: u64) {
        if self.nodes.is_connected(connection) {
            let frame = Message::release(wire_id, cause::ORDINARY).encode();
            self.nodes.record_sent(connection, frame.len());
            self.outputs.push(Output::Cancel(connection, frame));
        }
    }

    /// Removes an attempt from its connection. Unless `is_final`, the request becomes pending again.
    pub(super) fn close_attempt(&mut self, id: AttemptId, state: AttemptState, is_final: bool) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        let Some(attempt) = request.attempt_mut(id.number) else {
            return;
        };
        attempt.state = state;
        let timers = attempt.take_timers();
        self.nodes.remove_attempt(attempt.connection, id);
        if !is_final {
            let transition = request.state.transition_to(RequestState::Pending);
            debug_assert!(transition.is_ok());
        }
        self.cancel_timers(timers);
    }

    /// Reports the end of an attempt to the scheduler.
    pub(super) fn report_attempt_end(
        &mut self,
        id: AttemptId,
        node: NodeId,
        end: AttemptEnd,
        is_final: bool,
    ) {
        self.events.push(Event::AttemptEnded {
            request: id.request,
            attempt: id.number,
            node,
            outcome: end.outcome,
            reason: end.reason,
            is_final,
            load: end.load,
        });
    }
}

fn attempt_message(wire_id: u64, payload: &Payload, time_left: Micros) -> Message {
    // Rounded up, so that the node does not give up on an attempt before this side does.
    let wait_ms = time_left.div_ceil(MICROS_PER_MILLI);
    let mut message = Message::new(MessageKind::SetUp, wire_id)
        .with(code::CLASS, &payload.class)
        .with(code::WAIT, wait_ms.to_string().as_bytes())
        .with(code::TASK, &payload.task);
    if let Some(key) = &payload.key {
        message = message.with(code::KEY, key);
    }
    if let Some(description) = &payload.description {
        message = message.with(code::DESCRIPTION, description);
    }
    message
}
