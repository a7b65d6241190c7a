//! Requests waiting for admission, in one queue per client connection.
//!
//! The queues are served round-robin, so that a client that sends hundreds of requests at once delays every other
//! client by one request only.

use super::ClientId;
use crate::wire::Message;
use peppercove::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The queues of all client connections.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    queues: BTreeMap<ClientId, VecDeque<Entry>>,
    /// Clients with queued requests, in the order in which they are served.
    rotation: VecDeque<ClientId>,
    /// All queued requests by deadline.
    by_deadline: BTreeMap<DeadlineKey, ClientId>,
    last_sequence: u64,
}

/// A request's deadline, with a sequence number in order of arrival that makes the key unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DeadlineKey {
    deadline: Micros,
    sequence: u64,
}

#[derive(Debug)]
struct Entry {
    key: DeadlineKey,
    received_at: Micros,
    message: Message,
}

/// A request removed from the queue.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    /// The client connection on which the request was received.
    pub(super) client: ClientId,
    /// When the request was received.
    pub(super) received_at: Micros,
    /// The request as received.
    pub(super) message: Message,
}

impl FairQueue {
    /// Appends a request that must be admitted by `deadline`.
    pub(super) fn push(
        &mut self,
        client: ClientId,
        received_at: Micros,
        deadline: Micros,
        message: Message,
    ) {
        let queue = self.queues.entry(client).or_default();
        if queue.is_empty() {
            self.rotation.push_back(client);
        }
        self.last_sequence += 1;
        let key = DeadlineKey {
            deadline,
            sequence: self.last_sequence,
        };
        queue.push_back(Entry {
            key,
            received_at,
            message,
        });
        self.by_deadline.insert(key, client);
    }

    /// Removes and returns the first request of the next client in the rotation.
    pub(super) fn pop_next(&mut self) -> Option<QueuedRequest> {
        let client = self.rotation.pop_front()?;
        let queue = self.queues.get_mut(&client)?;
        let entry = queue.pop_front()?;
        self.by_deadline.remove(&entry.key);
        if queue.is_empty() {
            self.queues.remove(&client);
        } else {
            self.rotation.push_back(client);
        }
        Some(entry.into_request(client))
    }

    /// Removes and returns the request with the earliest deadline if that deadline has been reached, regardless of the
    /// rotation.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<QueuedRequest> {
        let (&key, &client) = self
            .by_deadline
            .first_key_value()
            .filter(|(key, _)| key.deadline <= now)?;
        let queue = self.queues.get_mut(&client)?;
        let position = queue.iter().position(|entry| entry.key == key)?;
        let entry = queue.remove(position)?;
        self.by_deadline.remove(&key);
        if queue.is_empty() {
            self.remove_client(client);
        }
        Some(entry.into_request(client))
    }

    /// The earliest deadline of all queued requests.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.by_deadline
            .first_key_value()
            .map(|(key, _)| key.deadline)
    }

    /// Removes and returns the client's queued requests with this id.
    pub(super) fn cancel(&mut self, client: ClientId, wire_id: u64) -> Vec<Message> {
        let Some(queue) = self.queues.get_mut(&client) else {
            return Vec::new();
        };
        let mut cancelled = Vec::new();
        queue.retain(|entry| {
            let is_cancelled = entry.message.id == wire_id;
            if is_cancelled {
                self.by_deadline.remove(&entry.key);
                cancelled.push(entry.message.clone());
            }
            !is_cancelled
        });
        if queue.is_empty() {
            self.remove_client(client);
        }
        cancelled
    }

    /// Removes all queued requests of a client.
    pub(super) fn remove_client(&mut self, client: ClientId) {
        for entry in self.queues.remove(&client).into_iter().flatten() {
            self.by_deadline.remove(&entry.key);
        }
        self.rotation.retain(|waiting| *waiting != client);
    }

    /// Whether the client has a queued request with this id.
    pub(super) fn contains(&self, client: ClientId, wire_id: u64) -> bool {
        self.queues
            .get(&client)
            .is_some_and(|queue| queue.iter().any(|entry| entry.message.id == wire_id))
    }

    /// The clients that have a queued request with this id.
    pub(super) fn clients_with(&self, wire_id: u64) -> Vec<ClientId> {
        let clients = self.queues.keys().copied();
        clients
            .filter(|client| self.contains(*client, wire_id))
            .collect()
    }

    /// Number of queued requests of a client.
    pub(super) fn len_of(&self, client: ClientId) -> usize {
        self.queues.get(&client).map_or(0, VecDeque::len)
    }

    /// Number of queued requests of all clients.
    pub(super) fn len(&self) -> usize {
        self.by_deadline.len()
    }

    /// Whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.by_deadline.is_empty()
    }
}

impl Entry {
    fn into_request(self, client: ClientId) -> QueuedRequest {
        QueuedRequest {
            client,
            received_at: self.received_at,
            message: self.message,
        }
    }
}
