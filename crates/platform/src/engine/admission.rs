//! Admission of new requests.

use super::request::{Payload, Request};
use super::request_parsing::{self, ParsedRequest};
use super::timers::Timer;
use super::{ClientId, PlatformEngine};
use crate::wire::{Message, cause};
use peppercove::{Event, Idempotency, Micros, PlacementRequest};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

impl<D: Decide> PlatformEngine<D> {
    /// Admits the next queued request.
    pub(super) fn admit_next(&mut self) {
        if let Some(queued) = self.queue.pop_next() {
            self.on_request(queued.client, queued.received_at, &queued.message);
        }
    }

    /// Admits or rejects a request, or adopts a running task that is handed over.
    pub(super) fn on_request(&mut self, client: ClientId, received_at: Micros, message: &Message) {
        let id = self.requests.next_id();
        match request_parsing::parse_request(message, id, &self.settings, &self.schema) {
            Err(_) => self.on_invalid_request(client, message),
            Ok(ParsedRequest {
                request,
                running_on: Some(node_name),
                payload: _,
            }) => self.on_handover(client, message.id, request, &node_name),
            Ok(ParsedRequest {
                request,
                running_on: None,
                payload,
            }) => self.on_new_request(client, received_at, message.id, request, payload),
        }
    }

    /// Whether this is a valid request.
    pub(super) fn is_valid(&self, message: &Message) -> bool {
        let id = self.requests.next_id();
        request_parsing::parse_request(message, id, &self.settings, &self.schema).is_ok()
    }

    fn on_invalid_request(&mut self, client: ClientId, message: &Message) {
        self.counters.invalid += 1;
        // Handovers are never answered. Neither is a request with the same id as an open request on the same
        // connection, because the client would mistake the rejection for the answer to the open request.
        let existing = self.requests.find(message.id);
        let is_on_same_connection = existing.is_some_and(|(_, request)| request.client == client);
        if !is_on_same_connection && !request_parsing::is_handover(message) {
            self.reject(client, message.id);
        }
    }

    fn on_new_request(
        &mut self,
        client: ClientId,
        received_at: Micros,
        wire_id: u64,
        request: PlacementRequest,
        payload: Payload,
    ) {
        let existing = self.requests.find(wire_id);
        if existing.is_some() || self.queue.contains(client, wire_id) {
            // The open request with this id is not affected. On its own connection nothing is sent, because the client
            // would take a rejection for the answer to the open request.
            let is_of_another_client = existing.is_some_and(|(_, r)| r.client != client);
            self.counters.invalid += 1;
            if is_of_another_client {
                self.reject(client, wire_id);
            }
            return;
        }
        if self.may_run_twice(wire_id, request.class) {
            self.counters.invalid += 1;
            self.send_to_client(client, &Message::release(wire_id, cause::CUT));
            return;
        }
        if self.is_at_limit(client) {
            self.counters.over_limit += 1;
            self.reject(client, wire_id);
            self.on_request_sent(client);
            return;
        }
        self.admit(client, received_at, wire_id, request, payload);
    }

    /// Whether a task with this id may have run, or may still be running, and a second run does harm. Clients use a new id
    /// for each request, so only a faulty one sends an id again.
    fn may_run_twice(&self, wire_id: u64, class: u16) -> bool {
        let class = self.settings.classes.get(usize::from(class));
        let is_idempotent = class.is_none_or(|c| c.idempotency == Idempotency::Idempotent);
        !is_idempotent && self.requests.is_recent(wire_id)
    }

    fn admit(
        &mut self,
        client: ClientId,
        received_at: Micros,
        wire_id: u64,
        mut placement: PlacementRequest,
        payload: Payload,
    ) {
        let id = placement.id;
        let sender = self.clients.entry(client).or_default();
        sender.open_requests.insert(id);
        sender.has_sent_request = true;
        self.requests.open += 1;
        self.counters.admitted += 1;
        // The deadline counts from the receipt of the request, not from its admission.
        let deadline = self.limited_deadline(received_at, placement.deadline_in);
        let answer_by = self.answer_by(received_at, deadline);
        placement.deadline_in = answer_by.saturating_sub(self.now);
        // Clients normally cancel requests themselves at the deadline. The timer covers clients that are unreachable.
        let grace = self.settings.answer_slack + self.bounds.health_check_interval;
        let give_up_at = deadline.saturating_add(grace);
        let deadline_timer = self.timers.schedule(give_up_at, Timer::RequestDeadline(id));
        self.requests.insert(Request {
            wire_id,
            previous_wire_id: None,
            task: placement.task,
            client,
            received_at,
            deadline,
            deadline_timer: Some(deadline_timer),
            state: RequestState::Pending,
            placed_at: 0,
            unconfirmed_from: None,
            payload: Some(payload),
            attempts: Vec::new(),
            ambiguous_end: None,
            pending_cancel: None,
        });
        self.events.push(Event::Place(placement));
    }

    pub(super) fn reject(&mut self, client: ClientId, wire_id: u64) {
        self.send_to_client(client, &Message::release(wire_id, cause::TURNED_AWAY));
    }
}
