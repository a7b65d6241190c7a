//! State of one connection to a node: open attempts, unconfirmed cancellations and health checks.

use super::{NodeConnectionId, NodeConnections};
use crate::engine::request::{AttemptId, HealthCheck};
use peppercove::{Micros, NodeId, RequestId};
use std::collections::BTreeSet;

/// One connection to a node.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) node: NodeId,
    is_established: bool,
    /// Whether this side is closing the connection. Nothing more is sent on it.
    pub(super) is_closing: bool,
    /// Whether this side is closing the connection because its descriptor is needed.
    pub(super) is_evicted: bool,
    /// Attempts that wait until the connection is established.
    queued_attempts: Vec<AttemptId>,
    /// Attempts that were sent and wait for an answer.
    pub(super) sent_attempts: BTreeSet<AttemptId>,
    /// Number of bytes sent so far.
    bytes_sent: u64,
    /// Cancellations that the node may not have read yet.
    unread_cancels: Vec<UnreadCancel>,
    /// Ambiguous ends that wait for a health check on this connection, as the id of the check and the request.
    ambiguous_ends: BTreeSet<(u64, RequestId)>,
    /// When the first unanswered health check was sent. Reset by any message from the node.
    pub(super) health_check_sent_at: Option<Micros>,
    pub(super) last_contact_at: Micros,
}

/// A cancellation that the node may not have read yet.
#[derive(Debug)]
struct UnreadCancel {
    /// Number of bytes sent on the connection before it.
    offset: u64,
    request: RequestId,
}

/// A connection that has ended.
#[derive(Debug)]
pub(in crate::engine) struct ClosedConnection {
    pub(in crate::engine) node: NodeId,
    /// Attempts that were waiting for the connection or for an answer on it.
    pub(in crate::engine) attempts: Vec<AttemptId>,
    /// Whether this side closed it because its descriptor was needed.
    pub(in crate::engine) was_evicted: bool,
}

/// A request with an ambiguous end, and the health check that resolves it.
#[derive(Debug)]
pub(in crate::engine) struct AmbiguousRequest {
    pub(in crate::engine) request: RequestId,
    pub(in crate::engine) check: HealthCheck,
}

impl Connection {
    /// Creates the state of a connection that is not established yet.
    pub(super) fn new(node: NodeId) -> Connection {
        Connection {
            node,
            is_established: false,
            is_closing: false,
            is_evicted: false,
            queued_attempts: Vec::new(),
            sent_attempts: BTreeSet::new(),
            bytes_sent: 0,
            unread_cancels: Vec::new(),
            ambiguous_ends: BTreeSet::new(),
            health_check_sent_at: None,
            last_contact_at: 0,
        }
    }

    /// Whether the connection is established and not being closed.
    pub(super) fn is_usable(&self) -> bool {
        self.is_established && !self.is_closing
    }

    /// Whether the connection has no open attempts and can be closed without losing any.
    pub(super) fn is_idle(&self) -> bool {
        self.is_usable() && self.queued_attempts.is_empty() && self.sent_attempts.is_empty()
    }

    /// Number of attempts that are waiting for the connection or for an answer on it.
    pub(super) fn open_attempts(&self) -> usize {
        self.sent_attempts.len() + self.queued_attempts.len()
    }
}

impl NodeConnections {
    /// Records that a connection was established. Returns its node.
    pub(in crate::engine) fn on_connected(
        &mut self,
        id: NodeConnectionId,
        now: Micros,
    ) -> Option<NodeId> {
        let connection = self.connections.get_mut(&id)?;
        connection.is_established = true;
        connection.last_contact_at = now;
        let node = self.nodes.get_mut(&connection.node)?;
        node.last_contact_at = now;
        node.needs_connection_from = node.needs_connection_from.filter(|first| id < *first);
        node.backoff.reset();
        Some(connection.node)
    }

    /// Records that a message arrived on a connection. Returns its node.
    pub(in crate::engine) fn on_message(
        &mut self,
        id: NodeConnectionId,
        now: Micros,
    ) -> Option<NodeId> {
        let connection = self.connections.get_mut(&id)?;
        connection.health_check_sent_at = None;
        connection.last_contact_at = now;
        if let Some(node) = self.nodes.get_mut(&connection.node) {
            node.last_contact_at = now;
        }
        Some(connection.node)
    }

    /// Removes a connection that has ended. Its unread cancellations are queued for another connection.
    pub(in crate::engine) fn on_disconnected(
        &mut self,
        id: NodeConnectionId,
    ) -> Option<ClosedConnection> {
        let connection = self.connections.remove(&id)?;
        if let Some(node) = self.nodes.get_mut(&connection.node) {
            node.connections.retain(|other| *other != id);
            let unread = connection.unread_cancels.into_iter().map(|c| c.request);
            let running = unread.filter(|request| node.running_tasks.contains_key(request));
            node.pending_cancels.extend(running);
        }
        let queued = connection.queued_attempts.into_iter();
        Some(ClosedConnection {
            node: connection.node,
            attempts: queued.chain(connection.sent_attempts).collect(),
            was_evicted: connection.is_evicted,
        })
    }

    /// Adds to the number of bytes sent on a connection. Returns the number of bytes sent before.
    pub(in crate::engine) fn record_sent(&mut self, id: NodeConnectionId, bytes: usize) -> u64 {
        let Some(connection) = self.connections.get_mut(&id) else {
            return 0;
        };
        let offset = connection.bytes_sent;
        connection.bytes_sent += bytes as u64;
        offset
    }

    /// Queues an attempt until the connection is established.
    pub(in crate::engine) fn queue_attempt(&mut self, id: NodeConnectionId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued_attempts.push(attempt);
        }
    }

    /// Removes and returns the attempts that are queued for a connection.
    pub(in crate::engine) fn take_queued(&mut self, id: NodeConnectionId) -> Vec<AttemptId> {
        let connection = self.connections.get_mut(&id);
        connection
            .map(|c| std::mem::take(&mut c.queued_attempts))
            .unwrap_or_default()
    }

    /// The attempts queued for connections to the node.
    pub(in crate::engine) fn queued_for(&self, node: NodeId) -> Vec<AttemptId> {
        self.connections_to(node)
            .flat_map(|connection| connection.queued_attempts.iter().copied())
            .collect()
    }

    /// The attempts sent on connections to the node that wait for an answer.
    pub(in crate::engine) fn sent_to(&self, node: NodeId) -> Vec<AttemptId> {
        self.connections_to(node)
            .flat_map(|connection| connection.sent_attempts.iter().copied())
            .collect()
    }

    fn connections_to(&self, node: NodeId) -> impl Iterator<Item = &Connection> {
        let node = self.nodes.get(&node);
        let connections = node.into_iter().flat_map(|node| &node.connections);
        connections.filter_map(|id| self.connections.get(id))
    }

    /// Records that an attempt was sent on a connection.
    pub(in crate::engine) fn add_sent_attempt(&mut self, id: NodeConnectionId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent_attempts.insert(attempt);
        }
    }

    /// Removes an attempt from a connection, whether it is queued or sent.
    pub(in crate::engine) fn remove_attempt(&mut self, id: NodeConnectionId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent_attempts.remove(&attempt);
            connection.queued_attempts.retain(|other| *other != attempt);
        }
    }

    /// Records that a health check is about to be sent. Returns its id.
    ///
    /// The id encodes the number of bytes sent before the check, so that its answer shows what the node has read. One
    /// is added because 0 is not a valid id.
    pub(in crate::engine) fn start_health_check(
        &mut self,
        id: NodeConnectionId,
        now: Micros,
    ) -> u64 {
        let Some(connection) = self.connections.get_mut(&id) else {
            return 0;
        };
        let sent_at = connection.health_check_sent_at.unwrap_or(now);
        connection.health_check_sent_at = Some(sent_at);
        connection.bytes_sent + 1
    }

    /// Queues the cancellation of a task until a connection to the node is established.
    pub(in crate::engine) fn add_pending_cancel(&mut self, node: NodeId, request: RequestId) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.pending_cancels.insert(request);
        }
    }

    /// Removes and returns the tasks whose cancellation waits for a connection to the node.
    pub(in crate::engine) fn take_pending_cancels(&mut self, node: NodeId) -> BTreeSet<RequestId> {
        let node = self.nodes.get_mut(&node);
        node.map(|n| std::mem::take(&mut n.pending_cancels))
            .unwrap_or_default()
    }

    /// Records that the cancellation of a task was sent at this offset in the connection's byte stream.
    pub(in crate::engine) fn add_unread_cancel(
        &mut self,
        id: NodeConnectionId,
        offset: u64,
        request: RequestId,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let cancel = UnreadCancel { offset, request };
            connection.unread_cancels.push(cancel);
        }
    }

    /// Removes and returns the tasks whose cancellation was sent before a health check that was answered.
    pub(in crate::engine) fn take_read_cancels(&mut self, passed: HealthCheck) -> Vec<RequestId> {
        let Some(connection) = self.connections.get_mut(&passed.connection) else {
            return Vec::new();
        };
        let cancels = std::mem::take(&mut connection.unread_cancels);
        let is_read = |cancel: &UnreadCancel| cancel.offset < passed.id;
        let (read, unread): (Vec<_>, Vec<_>) = cancels.into_iter().partition(is_read);
        connection.unread_cancels = unread;
        read.into_iter().map(|cancel| cancel.request).collect()
    }

    /// Records that a health check is going to resolve the ambiguous end of a task.
    pub(in crate::engine) fn add_ambiguous_end(&mut self, check: HealthCheck, request: RequestId) {
        if let Some(connection) = self.connections.get_mut(&check.connection) {
            connection.ambiguous_ends.insert((check.id, request));
        }
    }

    /// Removes and returns the ambiguous ends that are resolved by a health check that was answered, or by an earlier
    /// one.
    pub(in crate::engine) fn take_ambiguous_ends(
        &mut self,
        passed: HealthCheck,
    ) -> impl Iterator<Item = AmbiguousRequest> + use<> {
        let connection = passed.connection;
        let first_unresolved = (passed.id.saturating_add(1), RequestId(0));
        let resolved = match self.connections.get_mut(&connection) {
            Some(connection) => {
                let unresolved = connection.ambiguous_ends.split_off(&first_unresolved);
                std::mem::replace(&mut connection.ambiguous_ends, unresolved)
            }
            None => BTreeSet::new(),
        };
        resolved.into_iter().map(move |(id, request)| {
            let check = HealthCheck { connection, id };
            AmbiguousRequest { request, check }
        })
    }
}
