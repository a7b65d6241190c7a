//! Dispatch, cancellation and end of attempts.

use super::request::{Attempt, AttemptEnd, AttemptId, AttemptState, Payload};
use super::timers::Timer;
use super::{MICROS_PER_MILLI, NodeConnectionId, Output, PlatformEngine};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::{AttemptOutcome, Event, Micros, NodeId, RequestId};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

impl<D: Decide> PlatformEngine<D> {
    /// Executes a dispatch of the scheduler. Each dispatch gets an attempt number and ends exactly once, even if
    /// nothing can be sent.
    pub(super) fn dispatch(&mut self, id: RequestId, node: NodeId, timeout: Option<Micros>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let answer_by = self.answer_by(request.received_at, request.deadline);
        let expires_at = timeout.map_or(answer_by, |timeout| {
            self.now.saturating_add(timeout).min(answer_by)
        });
        let is_final = !request.state.is_open();
        let can_be_sent = request.state == RequestState::Pending
            && request.attempts.len() < self.settings.max_attempts as usize
            && expires_at > self.now;
        let Some(attempt) = self.add_attempt(id, node, expires_at) else {
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
        }
    }

    fn add_attempt(
        &mut self,
        id: RequestId,
        node: NodeId,
        expires_at: Micros,
    ) -> Option<AttemptId> {
        let request = self.requests.get_mut(id)?;
        let number = request.attempts.len() as u16;
        request.attempts.push(Attempt {
            node,
            connection: NodeConnectionId(0),
            state: AttemptState::Resolved,
            expires_at,
            timeout_timer: None,
        });
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
        self.nodes.queue_attempt(connection, id);
    }

    /// Sends the attempts that were waiting for this connection.
    pub(super) fn send_queued(&mut self, connection: NodeConnectionId) {
        for id in self.nodes.take_queued(connection) {
            let Some(request) = self.requests.get_mut(id.request) else {
                continue;
            };
            let Some(payload) = &request.payload else {
                continue;
            };
            let Some(attempt) = request.attempts.get_mut(usize::from(id.number)) else {
                continue;
            };
            if attempt.state != AttemptState::Queued {
                continue;
            }
            let time_left = attempt.expires_at.saturating_sub(self.now);
            let frame = attempt_message(request.wire_id, payload, time_left).encode();
            let offset = self.nodes.record_sent(connection, frame.len());
            attempt.state = AttemptState::Sent { offset };
            self.nodes.add_sent_attempt(connection, id);
            self.outputs.push(Output::SendToNode(connection, frame));
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
        let timeout_timer = attempt.timeout_timer.take();
        self.nodes.remove_attempt(attempt.connection, id);
        if !is_final {
            let transition = request.state.transition_to(RequestState::Pending);
            debug_assert!(transition.is_ok());
        }
        self.cancel_timer(timeout_timer);
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
