//! Ambiguous task ends: reports that may belong to either of two attempts.
//!
//! All attempts of a request have the same id, and messages on different connections may arrive in any order. The rules
//! are described in `docs/design/platform.md`.

use super::request::{AmbiguousEnd, AttemptId, HealthCheck};
use super::timers::Timer;
use super::{NodeConnectionId, PlatformEngine};
use crate::wire::{Message, MessageKind};
use peppercove::RequestId;
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// Stores a task end that arrived on a connection other than the attempt's own and may belong to an earlier
    /// attempt. Only the first such end is stored.
    pub(super) fn hold_ambiguous_end(&mut self, id: AttemptId, message: &Message) {
        let Some(request) = self.requests.get_mut(id.request) else {
            return;
        };
        if message.kind != MessageKind::Release || request.ambiguous_end.is_some() {
            return;
        }
        request.ambiguous_end = Some(AmbiguousEnd {
            message: message.clone(),
            check: None,
        });
        if !request.state.is_open() {
            self.resolve_ambiguous_end(id);
        }
    }

    /// Determines to which attempt the ambiguous end of a running task belongs.
    ///
    /// A node reports over another connection only if the attempt's own connection is closed on the node's side. So the
    /// end belongs to the attempt only if that connection no longer exists at the node, which a health check on it
    /// reveals.
    pub(super) fn resolve_ambiguous_end(&mut self, id: AttemptId) {
        let Some(request) = self.requests.get(id.request) else {
            return;
        };
        let Some(connection) = request.attempt(id.number).map(|a| a.connection) else {
            return;
        };
        if !self.nodes.is_connected(connection) {
            self.accept_end(id.request);
            return;
        }
        let check = self.send_health_check(connection);
        if let Some(request) = self.requests.get_mut(id.request)
            && let Some(end) = &mut request.ambiguous_end
        {
            end.check = Some(check);
        }
        self.nodes.add_ambiguous_end(check, id.request);
        let at = self.now + self.bounds.ambiguity_timeout;
        let request = id.request;
        self.timers
            .schedule(at, Timer::AmbiguityTimeout { request, check });
    }

    /// Treats an ambiguous end as the end of the running task, because no evidence to the contrary was received.
    ///
    /// Invariant: the client is notified of every end. Nodes do not report the end again, so dropping it would lose it.
    /// If the task is in fact still running, it is cancelled.
    pub(super) fn accept_end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(AmbiguousEnd { message, check: _ }) = request.ambiguous_end.take() else {
            return;
        };
        let Some(number) = request.placed_attempt() else {
            return;
        };
        let Some(node) = request.attempt(number).map(|a| a.node) else {
            return;
        };
        let attempt = AttemptId {
            request: id,
            number,
        };
        self.apply_message(attempt, node, &message);
    }

    /// Whether the request has an ambiguous end that waits for this health check.
    pub(super) fn has_ambiguous_end(&self, id: RequestId, check: HealthCheck) -> bool {
        let end = self.requests.get(id).and_then(|r| r.ambiguous_end.as_ref());
        end.is_some_and(|end| end.check == Some(check))
    }

    /// Handles the answer to a health check. The node has read everything that was sent before the check on this
    /// connection: earlier cancellations are confirmed, and ends that it reported over other connections before do not
    /// belong to attempts on this one.
    pub(super) fn on_health_check_passed(&mut self, connection: NodeConnectionId, id: u64) {
        let passed = HealthCheck { connection, id };
        for request in self.nodes.take_read_cancels(passed) {
            self.on_cancel_confirmed(request);
        }
        for ambiguous in self.nodes.take_ambiguous_ends(passed) {
            if self.has_ambiguous_end(ambiguous.request, ambiguous.check)
                && let Some(request) = self.requests.get_mut(ambiguous.request)
            {
                request.ambiguous_end = None;
            }
        }
    }
}
