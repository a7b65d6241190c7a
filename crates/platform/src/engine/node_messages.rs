//! Messages from nodes.

use super::attempt_matching::{Match, match_message};
use super::request::{AttemptEnd, AttemptId, AttemptState};
use super::{NodeConnectionId, Output, PlatformEngine, request_parsing};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::{AttemptOutcome, Event, NodeId};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

impl<D: Decide> PlatformEngine<D> {
    pub(super) fn on_node_message(&mut self, connection: NodeConnectionId, message: &Message) {
        let Some(node) = self.nodes.on_message(connection, self.now) else {
            return;
        };
        match message.kind {
            MessageKind::Tested => self.on_health_check_passed(connection, message.id),
            MessageKind::Answer | MessageKind::Release | MessageKind::Note => {
                self.on_attempt_message(connection, node, message);
            }
            // Messages that nodes do not send, or that have no effect.
            MessageKind::SetUp
            | MessageKind::Progress
            | MessageKind::Test
            | MessageKind::Move
            | MessageKind::Heard => {}
        }
    }

    fn on_attempt_message(
        &mut self,
        connection: NodeConnectionId,
        node: NodeId,
        message: &Message,
    ) {
        let Some((id, request)) = self.requests.find(message.id) else {
            self.counters.unmatched += 1;
            self.on_untracked_message(node, message);
            return;
        };
        let attempt = |number| AttemptId {
            request: id,
            number,
        };
        match match_message(request, connection, node, message) {
            Match::Attempt(number) => self.apply_message(attempt(number), node, message),
            Match::Ambiguous(number) => self.hold_ambiguous_end(attempt(number), message),
            Match::None => self.counters.unmatched += 1,
        }
    }

    /// Applies a message to the attempt that is open or that placed the task.
    pub(super) fn apply_message(&mut self, id: AttemptId, node: NodeId, message: &Message) {
        self.confirm_handover(id.request);
        match message.kind {
            MessageKind::Answer => self.on_answer(id, node, message),
            MessageKind::Release => self.on_node_release(id, node, message),
            MessageKind::Note => self.on_task_update(id, node, message),
            MessageKind::SetUp
            | MessageKind::Progress
            | MessageKind::Heard
            | MessageKind::Move
            | MessageKind::Test
            | MessageKind::Tested => {}
        }
    }

    fn on_task_update(&mut self, id: AttemptId, node: NodeId, message: &Message) {
        if let Some(update) = request_parsing::task_update(message) {
            self.events.push(Event::TaskUpdated {
                request: id.request,
                attempt: id.number,
                node,
                update,
            });
        }
    }

    /// Handles a node's answer: the task runs, and the node's description of it is forwarded to the client.
    fn on_answer(&mut self, id: AttemptId, node: NodeId, message: &Message) {
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        // Duplicate answers are ignored.
        let RequestState::Dispatched(_) = request.state else {
            return;
        };
        let (client, wire_id) = (request.client, request.wire_id);
        let has_early_end = request.ambiguous_end.is_some();
        let Some(description) = message.get(code::DESCRIPTION) else {
            self.on_answer_without_description(id, node, wire_id);
            return;
        };
        let answer =
            Message::new(MessageKind::Answer, wire_id).with(code::DESCRIPTION, description);
        self.send_to_client(client, &answer);
        self.counters.placed += 1;
        self.mark_placed(id, node);
        if has_early_end {
            self.resolve_ambiguous_end(id);
        }
    }

    /// Ends an attempt whose answer has no description to forward to the client. The task may be running, so it is
    /// cancelled.
    fn on_answer_without_description(&mut self, id: AttemptId, node: NodeId, wire_id: u64) {
        self.cancel_at_node(id, wire_id);
        self.close_attempt(id, AttemptState::Unresolved, false);
        self.report_attempt_end(id, node, AttemptOutcome::Lost.into(), false);
    }

    fn cancel_at_node(&mut self, id: AttemptId, wire_id: u64) {
        let request = self.requests.get(id.request);
        if let Some(attempt) = request.and_then(|r| r.attempt(id.number)) {
            self.send_attempt_cancel(attempt.connection, wire_id);
        }
    }

    fn on_node_release(&mut self, id: AttemptId, node: NodeId, message: &Message) {
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        if !request.state.is_open() {
            self.on_task_end(id, message);
        } else if message.cause() == Some(cause::ORDINARY)
            && message.get(code::DESCRIPTION).is_some()
        {
            self.on_answer_with_end(id, node, message);
        } else {
            self.on_attempt_end(id, node, message);
        }
    }

    /// Handles a message that is both answer and end, for a short task that ended before its start was reported. The
    /// node now knows the task's key and would discard a further attempt.
    fn on_answer_with_end(&mut self, id: AttemptId, node: NodeId, message: &Message) {
        let end = self.attempt_end(AttemptOutcome::Completed, message);
        self.on_answer(id, node, message);
        self.notify_end(id.request, cause::ORDINARY);
        self.complete_task(id, end);
    }

    /// Handles a release of an attempt that was not answered.
    fn on_attempt_end(&mut self, id: AttemptId, node: NodeId, message: &Message) {
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        let (wire_id, has_unresolved_sibling) =
            (request.wire_id, request.has_unresolved_sibling(id.number));
        if let Some(outcome) = request_parsing::end_of_started_task(message)
            && !has_unresolved_sibling
        {
            self.on_end_before_answer(id, node, outcome, message);
            return;
        }
        let outcome = match message.cause() {
            Some(cause::FULL) => AttemptOutcome::Rejected,
            Some(cause::ERROR) => AttemptOutcome::Error,
            Some(cause::MOOT) => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Lost,
        };
        let mut state = AttemptState::Resolved;
        if outcome == AttemptOutcome::Lost && has_unresolved_sibling {
            // The message may be about an earlier attempt at this node, while this one is still running.
            state = AttemptState::Unresolved;
            self.cancel_at_node(id, wire_id);
        }
        let end = self.attempt_end(outcome, message);
        self.close_attempt(id, state, false);
        self.report_attempt_end(id, node, end, false);
    }

    /// Handles the end of a task whose answer is late or was lost: the task has run and ended.
    ///
    /// Invariant: no further attempt is made. It would run the task a second time, under an id that is already
    /// completed, so that no client would be notified of its end.
    fn on_end_before_answer(
        &mut self,
        id: AttemptId,
        node: NodeId,
        outcome: AttemptOutcome,
        message: &Message,
    ) {
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        let frame = Message::release(request.wire_id, cause::CUT).encode();
        self.outputs
            .push(Output::SendToClient(request.client, frame));
        self.counters.failed += 1;
        self.mark_placed(id, node);
        let end = self.attempt_end(outcome, message);
        self.complete_task(id, end);
    }

    /// Handles the end of a running task.
    fn on_task_end(&mut self, id: AttemptId, message: &Message) {
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        let outcome = match message.cause() {
            Some(cause::ORDINARY) => AttemptOutcome::Completed,
            Some(cause::CALLED_OFF) => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Lost,
        };
        let has_unresolved_sibling = request.has_unresolved_sibling(id.number);
        let end = self.attempt_end(outcome, message);
        if request.pending_cancel.is_some() {
            // The client is not notified. If the end may belong to another attempt at the same node, the task counts as
            // ended only once the cancellation is confirmed.
            if !has_unresolved_sibling {
                self.complete_task(id, end);
            }
            return;
        }
        self.notify_end(id.request, message.cause().unwrap_or(cause::CUT));
        if has_unresolved_sibling {
            // Either attempt may have ended. The client was notified of the end, so whatever still runs under this id
            // must be cancelled.
            self.cancel_task(id.request, outcome, cause::ORDINARY);
        } else {
            self.complete_task(id, end);
        }
    }

    /// Builds the end that a node's message reports, with its reason and load report.
    fn attempt_end(&self, outcome: AttemptOutcome, message: &Message) -> AttemptEnd {
        AttemptEnd {
            outcome,
            reason: request_parsing::end_reason(message),
            load: request_parsing::load_report(message, &self.schema),
        }
    }
}
