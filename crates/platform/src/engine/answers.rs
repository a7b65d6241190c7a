//! Final answers. Each request gets exactly one by its deadline, unless its client cancels it first.
//!
//! A request is open until it is answered with a placement (`mark_placed` in `running_tasks`), answered otherwise, or
//! cancelled. Requests that are not open are never answered again.

use super::request::AttemptId;
use super::{ClientId, PlatformEngine};
use crate::wire::Message;
use peppercove::{AttemptOutcome, Event, Micros, RequestId};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

impl<D: Decide> PlatformEngine<D> {
    /// The time by which the final answer to a request must be decided.
    ///
    /// The recent timer lag is subtracted from the deadline, since a late event loop sends the answer late by as much.
    /// At least half of the client's timeout is left for the placement.
    pub(super) fn answer_by(&self, received_at: Micros, deadline: Micros) -> Micros {
        let half_of_client_time = deadline.saturating_sub(received_at) / 2;
        deadline - self.timer_lag.max().min(half_of_client_time)
    }

    /// Cancels a request whose client no longer waits for it. No answer is sent.
    pub(super) fn cancel_request(&mut self, request: RequestId) {
        self.counters.cancelled += 1;
        if let Some(client) = self.requests.get(request).map(|r| r.client) {
            self.completion_backlog.add(client);
        }
        self.events.push(Event::RequestCancelled(request));
        self.close_request(request);
        self.requests.remember_withdrawn(request);
    }

    /// Sends the scheduler's final answer. Returns false if the request is no longer open.
    pub(super) fn answer(&mut self, id: RequestId, mut message: Message) -> bool {
        let Some(request) = self.requests.get(id).filter(|r| r.state.is_open()) else {
            return false;
        };
        message.id = request.wire_id;
        let client = request.client;
        self.send_to_client(client, &message);
        self.close_request(id);
        self.requests.remember_ended(id);
        true
    }

    /// Completes a request without a placement and cancels its open attempt, if any.
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
        let deadline_timer = request.deadline_timer.take();
        self.cancel_timers([deadline_timer]);
        self.remove_open_request(client, id);
        self.requests.mark_completed(id);
        if let Some(number) = dispatched {
            let attempt = AttemptId {
                request: id,
                number,
            };
            self.abandon_attempt(attempt, AttemptOutcome::Cancelled, true);
        }
    }

    /// Removes a request that was answered or cancelled from the open requests of its client.
    pub(super) fn remove_open_request(&mut self, client: ClientId, request: RequestId) {
        self.requests.open -= 1;
        if let Some(client) = self.clients.get_mut(&client) {
            client.open_requests.remove(&request);
        }
    }
}
