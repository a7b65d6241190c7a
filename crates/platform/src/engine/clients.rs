//! Client messages and client connections.

use super::notifications::SentNotification;
use super::{ClientId, Output, PlatformEngine, request_parsing};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::{AttemptOutcome, RequestId};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;
use std::collections::{BTreeSet, VecDeque};

/// State of a client connection.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// Admitted requests without an answer.
    pub(super) open_requests: BTreeSet<RequestId>,
    /// Whether a valid request was received on this connection.
    pub(super) has_sent_request: bool,
    /// Whether the client has shown on this connection that it owns tasks.
    pub(super) owns_tasks: bool,
    /// Whether a node has sent a message about a task of this connection.
    pub(super) has_confirmed_tasks: bool,
    /// Whether a handover on this connection is not tracked.
    pub(super) has_untracked_tasks: bool,
    /// Whether the client has closed the connection, so that it receives no answers.
    pub(super) is_leaving: bool,
    /// Notifications sent on this connection recently.
    pub(super) recent_notifications: VecDeque<SentNotification>,
}

impl<D: Decide> PlatformEngine<D> {
    pub(super) fn on_client_message(&mut self, client: ClientId, message: Message) {
        match message.kind {
            MessageKind::SetUp => self.on_request_received(client, message),
            MessageKind::Test => {
                let passed = Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]);
                self.send_to_client(client, &passed);
            }
            MessageKind::Release => self.on_client_release(client, &message),
            // Messages that clients do not send, or that have no effect.
            MessageKind::Progress
            | MessageKind::Answer
            | MessageKind::Heard
            | MessageKind::Note
            | MessageKind::Move
            | MessageKind::Tested => {}
        }
    }

    /// Queues a request for admission.
    ///
    /// Admitting a burst of hundreds of requests takes a long time. Queueing keeps node messages, timers and requests
    /// from other clients from waiting until the whole burst is admitted. Handovers of running tasks must take effect
    /// immediately, and requests over a limit are rejected immediately; neither is queued.
    fn on_request_received(&mut self, client: ClientId, message: Message) {
        let is_handover = request_parsing::is_handover(&message);
        let is_leaving = |client: &Client| client.is_leaving;
        if !is_handover && self.clients.get(&client).is_some_and(is_leaving) {
            self.counters.cancelled += 1;
            return;
        }
        if is_handover || self.is_at_limit(client) {
            self.on_request(client, self.now, &message);
            return;
        }
        let timeout = request_parsing::client_timeout(&message).unwrap_or(0);
        let deadline = self.limited_deadline(self.now, timeout);
        let answer_by = self.answer_by(self.now, deadline);
        self.queue.push(client, self.now, answer_by, message);
    }

    /// Whether a limit on open requests, or on requests withdrawn since the last batch, is reached, so that no further
    /// request is accepted on this connection.
    pub(super) fn is_at_limit(&self, client: ClientId) -> bool {
        let admitted = self
            .clients
            .get(&client)
            .map_or(0, |c| c.open_requests.len());
        let open_on_connection = admitted + self.queue.len_of(client);
        open_on_connection >= self.bounds.open_requests_per_client
            || self.open_requests() >= self.bounds.open_requests
            || self
                .completion_backlog
                .is_full_for(client, self.bounds.completions_per_batch)
    }

    /// Handles a release from a client: it cancels an open request or ends a running task.
    fn on_client_release(&mut self, client: ClientId, message: &Message) {
        self.cancel_queued(client, message.id);
        let Some((id, request)) = self.requests.find(message.id) else {
            // The client ends a task that has ended already. It need not be notified of that end any more.
            if let Some(ended) = self.undelivered.remove(message.id) {
                self.on_owner_returned(ended.client, client, ended.evidence);
            }
            return;
        };
        match request.state {
            // An open request can be cancelled only on its own connection: knowing its id does not prove who sent it.
            RequestState::Pending | RequestState::Dispatched(_) if request.client == client => {
                self.cancel_request(id);
            }
            RequestState::Pending | RequestState::Dispatched(_) | RequestState::Completed => {}
            // A running task does not belong to a connection. A client that ends its task is not notified of the end.
            RequestState::Placed(_) => {
                let (owner, evidence) = (request.client, self.evidence_of(request));
                let cause = message.cause().unwrap_or(cause::ORDINARY);
                self.cancel_task(id, AttemptOutcome::Cancelled, cause);
                self.on_owner_returned(owner, client, evidence);
            }
        }
    }

    /// Cancels the requests with this id that are queued. The client owns tasks if they are valid.
    fn cancel_queued(&mut self, client: ClientId, wire_id: u64) {
        let cancelled = self.queue.cancel(client, wire_id);
        if cancelled.is_empty() {
            return;
        }
        self.counters.cancelled += 1;
        if cancelled.iter().any(|message| self.is_valid(message)) {
            self.on_owner_active(client);
        }
    }

    /// Cancels the requests of a client that has closed its connection, although messages are left to read. Its releases
    /// and handovers still take effect.
    ///
    /// Invariant: no request is placed for a client that has left.
    pub(super) fn on_client_leaving(&mut self, client: ClientId) {
        self.queue.remove_client(client);
        let state = self.clients.entry(client).or_default();
        state.is_leaving = true;
        for request in state.open_requests.clone() {
            self.cancel_request(request);
        }
    }

    pub(super) fn on_client_disconnected(&mut self, client: ClientId) {
        self.queue.remove_client(client);
        let Some(disconnected) = self.clients.remove(&client) else {
            return;
        };
        for request in disconnected.open_requests {
            self.cancel_request(request);
        }
        // Race: a notification sent just before its connection is closed may never be received, and the client would
        // believe that the task is still running. Recent notifications are sent again on another connection. Nodes
        // report task ends twice for the same reason.
        for sent in disconnected.recent_notifications {
            let retry_until = sent
                .sent_at
                .saturating_add(self.bounds.health_check_timeout);
            if retry_until > self.now {
                self.notify(sent.notification);
            }
        }
    }

    /// Adjusts the limit of node connections, which may use the descriptors that client connections do not need.
    pub(super) fn on_client_count(&mut self, open_clients: usize) {
        self.bounds.set_open_clients(open_clients);
        self.nodes
            .shrink_to(self.bounds.node_connections, &mut self.outputs);
    }

    pub(super) fn send_to_client(&mut self, client: ClientId, message: &Message) {
        self.outputs
            .push(Output::SendToClient(client, message.encode()));
    }
}
