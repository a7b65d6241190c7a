//! What the engine keeps of a request and of its attempts.

use super::{ClientId, NodeConnectionId};
use crate::wire::Message;
use peppercove::{AttemptOutcome, EndReason, LoadReport, Micros, NodeId, RequestId, TaskKey};
use peppercove_core::request_state::RequestState;
use std::collections::BTreeMap;

/// One attempt, by its number in the order of the request's dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: u16,
}

/// Parameters of a request that are forwarded to nodes unchanged.
#[derive(Debug)]
pub(super) struct Payload {
    pub(super) class: Box<[u8]>,
    pub(super) task: Box<[u8]>,
    pub(super) key: Option<Box<[u8]>>,
    pub(super) description: Option<Box<[u8]>>,
}

/// What the engine keeps of an attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) connection: NodeConnectionId,
    pub(super) state: AttemptState,
    pub(super) expires_at: Micros,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Its connection is not established yet.
    Queued,
    /// Given to its connection.
    Sent {
        /// Bytes that were given to the connection before it.
        offset: u64,
    },
    /// Its node answered it, or it never reached its node.
    Resolved,
    /// It was sent and ended without an answer of its node, which may run it, or may still send a message about it.
    Unresolved,
}

impl AttemptState {
    /// The attempt waits for an answer.
    pub(super) fn is_open(self) -> bool {
        matches!(self, AttemptState::Queued | AttemptState::Sent { .. })
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) reason: EndReason,
    /// The load report that the node sent along.
    pub(super) load: Option<LoadReport>,
}

impl From<AttemptOutcome> for AttemptEnd {
    /// An end of which the node gave no reason.
    fn from(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            reason: EndReason::Unknown,
            load: None,
        }
    }
}

/// The cancellation of a running task. Until its node has read it, or is gone, the task may run on, and counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingCancel {
    /// The outcome to report once the task has ended.
    pub(super) outcome: AttemptOutcome,
    /// The cause to send to the node.
    pub(super) cause: u8,
}

/// A health check that was sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HealthCheck {
    pub(super) connection: NodeConnectionId,
    /// Id of the message: the number of bytes sent before it on this connection, plus one.
    pub(super) id: u64,
}

/// The end of a task that may be the end of an earlier attempt.
#[derive(Debug)]
pub(super) struct AmbiguousEnd {
    pub(super) message: Message,
    /// The check whose answer shows that the end belongs to an earlier attempt.
    pub(super) check: Option<HealthCheck>,
}

/// A request, from its admission until its task has ended.
#[derive(Debug)]
pub(super) struct Request {
    /// Id in the platform's messages, the same for all attempts.
    pub(super) wire_id: u64,
    /// The id before the task was handed over under another one.
    pub(super) previous_wire_id: Option<u64>,
    pub(super) task: TaskKey,
    pub(super) client: ClientId,
    pub(super) received_at: Micros,
    pub(super) deadline: Micros,
    pub(super) state: RequestState,
    pub(super) placed_at: Micros,
    /// Kept until the request is answered.
    pub(super) payload: Option<Payload>,
    pub(super) attempts: Vec<Attempt>,
    /// Kept until it is known which attempt ended.
    pub(super) ambiguous_end: Option<AmbiguousEnd>,
    /// Set once the client is owed no further notification and the node is to end the task.
    pub(super) pending_cancel: Option<PendingCancel>,
}

impl Request {
    /// The attempt with this number.
    pub(super) fn attempt(&self, number: u16) -> Option<&Attempt> {
        self.attempts.get(usize::from(number))
    }

    /// The attempt with this number.
    pub(super) fn attempt_mut(&mut self, number: u16) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(number))
    }

    /// Number of the attempt that placed the task, while it runs.
    pub(super) fn placed_attempt(&self) -> Option<u16> {
        match self.state {
            RequestState::Placed(number) => Some(number),
            RequestState::Pending | RequestState::Dispatched(_) | RequestState::Completed => None,
        }
    }

    /// Number of the attempt that waits for an answer.
    pub(super) fn dispatched_attempt(&self) -> Option<u16> {
        match self.state {
            RequestState::Dispatched(number) => Some(number),
            RequestState::Pending | RequestState::Placed(_) | RequestState::Completed => None,
        }
    }

    /// Another attempt was sent to the node of this attempt and ended without an answer: messages of the node may be
    /// about either.
    pub(super) fn has_rival(&self, number: u16) -> bool {
        let Some(node) = self.attempt(number).map(|a| a.node) else {
            return false;
        };
        self.attempts.iter().enumerate().any(|(other, attempt)| {
            other != usize::from(number)
                && attempt.node == node
                && attempt.state == AttemptState::Unresolved
        })
    }
}

/// All requests, by the engine's id and by the id in messages.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    by_wire_id: BTreeMap<u64, RequestId>,
    /// Requests that have ended, to be removed once the decision module has been informed.
    completed: Vec<RequestId>,
    next_id: u64,
    /// Number of requests without an answer.
    pub(super) open: usize,
}

impl Default for RequestTable {
    fn default() -> RequestTable {
        RequestTable {
            requests: BTreeMap::new(),
            by_wire_id: BTreeMap::new(),
            completed: Vec::new(),
            next_id: 1,
            open: 0,
        }
    }
}

impl RequestTable {
    /// The id of the next request that is inserted.
    pub(super) fn next_id(&self) -> RequestId {
        RequestId(self.next_id)
    }

    /// Inserts a request under the next id.
    pub(super) fn insert(&mut self, request: Request) {
        let id = self.next_id();
        self.next_id += 1;
        self.by_wire_id.insert(request.wire_id, id);
        self.requests.insert(id, request);
    }

    /// The request with this id.
    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// The request with this id.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// The request with this id in messages.
    pub(super) fn find(&self, wire_id: u64) -> Option<(RequestId, &Request)> {
        let id = *self.by_wire_id.get(&wire_id)?;
        Some((id, self.requests.get(&id)?))
    }

    /// Gives a request another id in messages. The one before is understood until the next change.
    pub(super) fn rename(&mut self, id: RequestId, wire_id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(previous) = request.previous_wire_id.replace(request.wire_id) {
            self.by_wire_id.remove(&previous);
        }
        request.wire_id = wire_id;
        self.by_wire_id.insert(wire_id, id);
    }

    /// Notes that a request has ended: its ids in messages mean nothing any more.
    pub(super) fn mark_completed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.by_wire_id.remove(&request.wire_id);
        if let Some(previous) = request.previous_wire_id {
            self.by_wire_id.remove(&previous);
        }
        self.completed.push(id);
    }

    /// Removes the requests that have ended.
    pub(super) fn remove_completed(&mut self) {
        for id in std::mem::take(&mut self.completed) {
            self.requests.remove(&id);
        }
    }
}
