//! State of requests and their attempts.

use super::recent_ids::RecentIds;
use super::{ClientId, NodeConnectionId};
use crate::wire::Message;
use peppercove::{AttemptOutcome, EndReason, LoadReport, Micros, NodeId, RequestId, TaskKey};
use peppercove_core::TimerId;
use peppercove_core::request_state::RequestState;
use std::collections::BTreeMap;

/// Id of an attempt: its request, and its number in the order of the request's dispatches.
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

/// State of an attempt and where it was sent.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) connection: NodeConnectionId,
    pub(super) state: AttemptState,
    pub(super) expires_at: Micros,
    /// The latest time at which it may be sent.
    pub(super) send_by: Micros,
    /// The timer of its timeout, while it is open.
    pub(super) timeout_timer: Option<TimerId>,
    /// The timer of `send_by`, if that is earlier than the timeout, while it is open.
    pub(super) send_timer: Option<TimerId>,
}

impl Attempt {
    /// Creates an attempt that has neither a connection nor timers.
    pub(super) fn new(node: NodeId, expires_at: Micros, send_by: Micros) -> Attempt {
        Attempt {
            node,
            connection: NodeConnectionId::NONE,
            state: AttemptState::Resolved,
            expires_at,
            send_by,
            timeout_timer: None,
            send_timer: None,
        }
    }

    /// Removes and returns the timers, which no longer apply.
    pub(super) fn take_timers(&mut self) -> [Option<TimerId>; 2] {
        [self.timeout_timer.take(), self.send_timer.take()]
    }
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Waiting for its connection to be established.
    Queued,
    /// Sent over its connection.
    Sent {
        /// Number of bytes sent on the connection before the attempt.
        offset: u64,
        /// Number of bytes sent on the connection including the attempt.
        end: u64,
    },
    /// Ended: the node answered it, or it never reached the node.
    Resolved,
    /// Ended without an answer from the node after it was sent. The node may be running it, or may still send a message
    /// about it.
    Unresolved,
}

impl AttemptState {
    /// Whether the node may still send messages about the attempt.
    fn may_be_reported(self) -> bool {
        matches!(self, AttemptState::Sent { .. } | AttemptState::Unresolved)
    }

    /// Whether the attempt is waiting for an answer.
    pub(super) fn is_open(self) -> bool {
        matches!(self, AttemptState::Queued | AttemptState::Sent { .. })
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) reason: EndReason,
    /// The load report that the node included.
    pub(super) load: Option<LoadReport>,
}

impl From<AttemptOutcome> for AttemptEnd {
    /// An end for which the node gave no reason.
    fn from(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            reason: EndReason::Unknown,
            load: None,
        }
    }
}

/// The cancellation of a running task. Until the node has read it or is gone, the task may still be running and counts
/// as running.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingCancel {
    /// The outcome to report once the task has ended.
    pub(super) outcome: AttemptOutcome,
    /// The cause to send to the node.
    pub(super) cause: u8,
}

/// Id of a health check that was sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HealthCheck {
    pub(super) connection: NodeConnectionId,
    /// Id of the message: the number of bytes sent before it on this connection, plus one.
    pub(super) id: u64,
}

/// A task end that may belong to an earlier attempt.
#[derive(Debug)]
pub(super) struct AmbiguousEnd {
    pub(super) message: Message,
    /// The health check whose answer shows that the end belongs to an earlier attempt.
    pub(super) check: Option<HealthCheck>,
}

/// A request, from its admission until its task ends.
#[derive(Debug)]
pub(super) struct Request {
    /// Id in the platform's messages; the same for all attempts.
    pub(super) wire_id: u64,
    /// The wire id before the task was handed over under another one.
    pub(super) previous_wire_id: Option<u64>,
    pub(super) task: TaskKey,
    pub(super) client: ClientId,
    pub(super) received_at: Micros,
    pub(super) deadline: Micros,
    /// The timer that cancels the request after its deadline, while it is open.
    pub(super) deadline_timer: Option<TimerId>,
    pub(super) state: RequestState,
    pub(super) placed_at: Micros,
    /// The client connection on which the task was handed over, until its node has sent a message about it.
    pub(super) unconfirmed_from: Option<ClientId>,
    /// Present until the request is answered.
    pub(super) payload: Option<Payload>,
    pub(super) attempts: Vec<Attempt>,
    /// Present until it is known which attempt ended.
    pub(super) ambiguous_end: Option<AmbiguousEnd>,
    /// Set while the task is being cancelled at its node. The client gets no further notification.
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

    /// Number of the attempt that placed the task, while the task runs.
    pub(super) fn placed_attempt(&self) -> Option<u16> {
        match self.state {
            RequestState::Placed(number) => Some(number),
            RequestState::Pending | RequestState::Dispatched(_) | RequestState::Completed => None,
        }
    }

    /// Number of the attempt that is waiting for an answer.
    pub(super) fn dispatched_attempt(&self) -> Option<u16> {
        match self.state {
            RequestState::Dispatched(number) => Some(number),
            RequestState::Pending | RequestState::Placed(_) | RequestState::Completed => None,
        }
    }

    /// Whether an earlier attempt was sent and ended without an answer.
    pub(super) fn has_unresolved_attempt(&self) -> bool {
        let is_unresolved = |attempt: &Attempt| attempt.state == AttemptState::Unresolved;
        self.attempts.iter().any(is_unresolved)
    }

    /// Whether another attempt was sent to the same node and ended without an answer. Messages from the node may then
    /// be about either attempt.
    pub(super) fn has_unresolved_sibling(&self, number: u16) -> bool {
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

/// All requests, indexed by the engine's id and by wire id.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    by_wire_id: BTreeMap<u64, RequestId>,
    /// Completed requests, to be removed once the scheduler has been informed.
    completed: Vec<RequestId>,
    /// Wire ids of answered requests and of ended tasks, about which nodes may still send messages.
    ended: RecentIds,
    /// Wire ids of requests that their client withdrew, about which nodes may still send messages. Kept separately,
    /// since a client can withdraw requests much faster than tasks end.
    withdrawn: RecentIds,
    next_id: u64,
    /// Number of admitted requests without an answer.
    pub(super) open: usize,
}

impl RequestTable {
    /// Creates an empty table that remembers this many ids of completed requests.
    pub(super) fn new(remembered_ids: usize) -> RequestTable {
        RequestTable {
            requests: BTreeMap::new(),
            by_wire_id: BTreeMap::new(),
            completed: Vec::new(),
            ended: RecentIds::new(remembered_ids),
            withdrawn: RecentIds::new(remembered_ids),
            next_id: 1,
            open: 0,
        }
    }

    /// The id that the next inserted request gets.
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

    /// The request with this wire id.
    pub(super) fn find(&self, wire_id: u64) -> Option<(RequestId, &Request)> {
        let id = *self.by_wire_id.get(&wire_id)?;
        Some((id, self.requests.get(&id)?))
    }

    /// Changes the wire id of a request. The previous wire id remains valid until the next change.
    pub(super) fn change_wire_id(&mut self, id: RequestId, wire_id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(previous) = request.previous_wire_id.replace(request.wire_id) {
            self.by_wire_id.remove(&previous);
        }
        request.wire_id = wire_id;
        self.by_wire_id.insert(wire_id, id);
    }

    /// Marks a request as completed and invalidates its wire ids.
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

    /// Remembers the ids of a request that was answered or whose task has ended.
    pub(super) fn remember_ended(&mut self, id: RequestId) {
        for wire_id in self.reportable_ids(id) {
            self.ended.insert(wire_id);
        }
    }

    /// Remembers the ids of a request that its client has withdrawn.
    pub(super) fn remember_withdrawn(&mut self, id: RequestId) {
        for wire_id in self.reportable_ids(id) {
            self.withdrawn.insert(wire_id);
        }
    }

    /// Whether a request with this wire id was completed recently and nodes may still send messages about it.
    pub(super) fn is_recent(&self, wire_id: u64) -> bool {
        self.ended.contains(wire_id) || self.withdrawn.contains(wire_id)
    }

    /// The wire ids of a completed request if a node may still send messages about it: an attempt reached a node and was
    /// not answered, or the task ran.
    fn reportable_ids(&self, id: RequestId) -> Vec<u64> {
        let request = self.requests.get(&id);
        let Some(request) = request.filter(|request| {
            let mut attempts = request.attempts.iter();
            request.placed_at > 0 || attempts.any(|attempt| attempt.state.may_be_reported())
        }) else {
            return Vec::new();
        };
        let ids = [Some(request.wire_id), request.previous_wire_id];
        ids.into_iter().flatten().collect()
    }

    /// Removes the completed requests.
    pub(super) fn remove_completed(&mut self) {
        for id in std::mem::take(&mut self.completed) {
            self.requests.remove(&id);
        }
    }
}
