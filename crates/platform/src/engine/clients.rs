//! Client messages and client connections.

use super::{ClientId, Output, PlatformEngine, request_parsing};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::{AttemptOutcome, RequestId};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;
use std::collections::BTreeSet;

/// State of a client connection.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// Admitted requests without an answer.
    pub(super) open_requests: BTreeSet<RequestId>,
    /// Whether a valid request, or the release of a task, was received on this connection.
    pub(super) has_sent_request: bool,
    /// Whether a node has sent a message about a task of this connection.
    pub(super) has_confirmed_tasks: bool,
    /// Whether the client has closed the connection, so that it receives no answers.
    pub(super) is_leaving: bool,
    /// Sequence number of the first logged notification that was not sent on this connection.
    pub(super) next_notification: u64,
    /// Ids that the client uses for other requests or tasks than the logged notifications with these ids are about.
    pub(super) reused_ids: BTreeSet<u64>,
}

impl<D: Decide> PlatformEngine<D> {
    pub(super) fn on_client_message(&mut self, client: ClientId, message: Message) {
        self.on_client_active(client);
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
        if !is_handover {
            self.on_id_used(client, message.id);
        }
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
                let cause = message.cause().unwrap_or(cause::ORDINARY);
                self.cancel_task(id, AttemptOutcome::Cancelled, cause);
                self.on_request_sent(client);
            }
        }
    }

    /// Cancels the requests with this id that are queued.
    fn cancel_queued(&mut self, client: ClientId, wire_id: u64) {
        let cancelled = self.queue.cancel(client, wire_id);
        if cancelled.is_empty() {
            return;
        }
        self.counters.cancelled += 1;
        if cancelled.iter().any(|message| self.is_valid(message)) {
            self.on_request_sent(client);
        }
    }

    /// Cancels the requests of a client that has closed its connection, although messages are left to read. Its releases
    /// and handovers still take effect.
    ///
    /// Invariant: no request is placed for a client that has left.
    pub(super) fn on_client_leaving(&mut self, client: ClientId) {
        self.on_client_active(client);
        self.queue.remove_client(client);
        let state = self.clients.entry(client).or_default();
        state.is_leaving = true;
        for request in state.open_requests.clone() {
            self.cancel_request(request);
        }
        self.log_lost_notifications(client, false);
    }

    pub(super) fn on_client_disconnected(&mut self, client: ClientId, is_broken: bool) {
        self.queue.remove_client(client);
        let Some(disconnected) = self.clients.remove(&client) else {
            return;
        };
        for request in disconnected.open_requests {
            self.cancel_request(request);
        }
        self.log_lost_notifications(client, is_broken);
    }

    /// Records that a client has sent a valid request, or the release of a task.
    pub(super) fn on_request_sent(&mut self, client: ClientId) {
        self.clients.entry(client).or_default().has_sent_request = true;
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
