//! Ends of which it is not known to which attempt they belong.
//!
//! All attempts of a request carry one id, and messages on two connections may overtake each other. The rules are in
//! `docs/design/platform.md`.

use super::request::{AmbiguousEnd, AttemptId, HealthCheck};
use super::timers::Timer;
use super::{NodeConnectionId, PlatformEngine};
use crate::wire::{Message, MessageKind};
use peppercove::RequestId;
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// Keeps the end of a task that came over another connection than the attempt's and may be an earlier attempt's.
    /// Only the first is kept.
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

    /// Finds out to which attempt the end of a running task belongs.
    ///
    /// A node reports over another connection only where the attempt's own is closed on its side. So the end belongs
    /// to the attempt only if that connection no longer exists at the node, which a health check there shows.
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
        self.nodes.add_ambiguous(check, id.request);
        let at = self.now + self.bounds.ambiguity_timeout;
        let request = id.request;
        self.timers
            .schedule(at, Timer::AmbiguityTimeout { request, check });
    }

    /// Takes an ambiguous end for the end of the running task, since nothing was received that says otherwise.
    ///
    /// Invariant: each end reaches its client. Nodes do not report it again, so that it would be lost if it were
    /// dropped; where the task runs on after all, it is cancelled.
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

    /// The request has an ambiguous end that this check is to resolve.
    pub(super) fn is_ambiguous(&self, id: RequestId, check: HealthCheck) -> bool {
        let end = self.requests.get(id).and_then(|r| r.ambiguous_end.as_ref());
        end.is_some_and(|end| end.check == Some(check))
    }

    /// A node has read all that was sent on a connection before a health check: cancellations sent before are
    /// confirmed, and ends that it reported over another connection before are not of attempts on this one.
    pub(super) fn on_health_check_passed(&mut self, connection: NodeConnectionId, id: u64) {
        let passed = HealthCheck { connection, id };
        for request in self.nodes.take_read_cancels(passed) {
            self.on_cancel_confirmed(request);
        }
        for ambiguous in self.nodes.take_ambiguous(passed) {
            if self.is_ambiguous(ambiguous.request, ambiguous.check)
                && let Some(request) = self.requests.get_mut(ambiguous.request)
            {
                request.ambiguous_end = None;
            }
        }
    }
}
