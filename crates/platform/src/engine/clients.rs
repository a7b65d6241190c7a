//! Messages and connections of clients.

use super::notifications::SentNotification;
use super::{ClientId, Output, PlatformEngine, request_parsing};
use crate::wire::{Message, MessageKind, cause, code};
use peppercove::{AttemptOutcome, Event, Micros, RequestId};
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

    /// When the final answer to a request must be decided.
    ///
    /// An event loop that is late decides it later than its deadline by as much, so that time is kept in reserve. Half
    /// of the client's time at the least is left for a placement.
    pub(super) fn answer_by(&self, received_at: Micros, deadline: Micros) -> Micros {
        let half_of_time = deadline.saturating_sub(received_at) / 2;
        deadline - self.timer_lag.max().min(half_of_time)
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

    /// The client waits no more: it is owed no answer.
    pub(super) fn cancel_request(&mut self, request: RequestId) {
        self.counters.cancelled += 1;
        self.events.push(Event::RequestCancelled(request));
        self.close_request(request);
    }

    /// Sends the module's final answer; false where none is owed any more.
    pub(super) fn answer(&mut self, id: RequestId, mut message: Message) -> bool {
        let Some(request) = self.requests.get(id).filter(|r| r.state.is_open()) else {
            return false;
        };
        message.id = request.wire_id;
        let client = request.client;
        self.send_to_client(client, &message);
        self.close_request(id);
        true
    }

    /// A request without a placement is over; its open attempt is cancelled.
    fn close_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.state.is_open() {
            return;
        }
        let dispatched = request.dispatched_attempt();
        let transition = request.state.transition_to(RequestState::Completed);
        debug_assert!(transition.is_ok());
        request.payload = None;
        let client = request.client;
        self.remove_open_request(client, id);
        self.requests.mark_completed(id);
        if let Some(number) = dispatched {
            let request = id;
            let attempt = super::request::AttemptId { request, number };
            self.abandon_attempt(attempt, AttemptOutcome::Cancelled, true);
        }
    }

    /// The client has its final answer to this request, or wants none.
    pub(super) fn remove_open_request(&mut self, client: ClientId, request: RequestId) {
        self.requests.open -= 1;
        if let Some(client) = self.clients.get_mut(&client) {
            client.open_requests.remove(&request);
        }
    }

    pub(super) fn send_to_client(&mut self, client: ClientId, message: &Message) {
        self.outputs
            .push(Output::SendToClient(client, message.encode()));
    }
}
