//! Messages and connections of clients.

use super::notifications::SentNotification;
use super::{ClientId, Output, PlatformEngine, request_parsing};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::{AttemptOutcome, RequestId};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;
use std::collections::{BTreeSet, VecDeque};

/// What is kept of a client connection.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// Requests that were admitted and have no answer.
    pub(super) open_requests: BTreeSet<RequestId>,
    /// The client has sent a valid request.
    pub(super) has_sent_request: bool,
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
            // Clients do not send these, or they mean nothing.
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
    /// Hundreds of requests that arrive together take long to admit; messages of nodes, timers and the requests of
    /// others must not wait behind them all. A running task that is handed over has to be known at once, and a request
    /// over a limit is rejected at once.
    fn on_request_received(&mut self, client: ClientId, message: Message) {
        if request_parsing::is_handover(&message) || self.is_at_limit(client) {
            self.on_request(client, self.now, &message);
            return;
        }
        let timeout = request_parsing::client_timeout(&message).unwrap_or(0);
        let deadline = self.now.saturating_add(timeout);
        let answer_by = self.answer_by(self.now, deadline);
        self.queue.push(client, self.now, answer_by, message);
    }

    /// No further request is accepted on this connection.
    pub(super) fn is_at_limit(&self, client: ClientId) -> bool {
        let admitted = self
            .clients
            .get(&client)
            .map_or(0, |c| c.open_requests.len());
        let open_on_connection = admitted + self.queue.len_of(client);
        open_on_connection >= self.bounds.open_requests_per_client
            || self.open_requests() >= self.bounds.open_requests
    }

    /// A client cancels its request, or ends its task.
    fn on_client_release(&mut self, client: ClientId, message: &Message) {
        if self.queue.cancel(client, message.id) {
            self.counters.cancelled += 1;
        }
        let Some((id, request)) = self.requests.find(message.id) else {
            return;
        };
        match request.state {
            // A request can be cancelled on its own connection only: its id does not prove who sent it.
            RequestState::Pending | RequestState::Dispatched(_) if request.client == client => {
                self.cancel_request(id);
            }
            RequestState::Pending | RequestState::Dispatched(_) | RequestState::Completed => {}
            // A running task belongs to no connection. The client is owed no notification of its end.
            RequestState::Placed(_) => {
                let cause = message.cause().unwrap_or(cause::ORDINARY);
                self.cancel_task(id, AttemptOutcome::Cancelled, cause);
            }
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
        // Race: a notification that crosses the close of its connection reaches nobody, and its client goes on to hold
        // the task for running. It is sent again on another connection. Nodes report ends twice for the same reason.
        for notification in disconnected.recent_notifications {
            let retry_until = notification
                .sent_at
                .saturating_add(self.bounds.health_check_timeout);
            if retry_until > self.now {
                self.notify(client, notification.frame);
            }
        }
    }

    /// Connections to nodes use the descriptors that client connections leave.
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
