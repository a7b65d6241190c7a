//! What is sent, awaited and received on one connection to a node.

use super::{NodeConnectionId, NodeConnections};
use crate::engine::request::{AttemptId, HealthCheck};
use peppercove::{Micros, NodeId, NodeStatus, RequestId};
use std::collections::BTreeSet;

/// One connection to a node.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) node: NodeId,
    /// The connection is established.
    is_up: bool,
    /// The connection is being closed by this side: nothing more is sent on it.
    pub(super) is_closing: bool,
    /// Attempts that wait until the connection is established.
    queued_attempts: Vec<AttemptId>,
    /// Attempts that were sent and wait for an answer.
    pub(super) sent_attempts: BTreeSet<AttemptId>,
    /// Bytes sent so far.
    bytes_sent: u64,
    /// Cancellations that the node may not have read.
    unread_cancels: Vec<UnreadCancel>,
    /// Ends that a health check on this connection is to resolve, by its id.
    ambiguous_ends: BTreeSet<(u64, RequestId)>,
    /// When a health check was sent, while nothing was received since.
    pub(super) health_check_sent_at: Option<Micros>,
    pub(super) last_contact_at: Micros,
}

/// A cancellation that was sent after so many bytes.
#[derive(Debug)]
struct UnreadCancel {
    offset: u64,
    request: RequestId,
}

/// A connection that has ended.
#[derive(Debug)]
pub(in crate::engine) struct ClosedConnection {
    pub(in crate::engine) node: NodeId,
    /// Attempts that waited for the connection or for an answer on it.
    pub(in crate::engine) attempts: Vec<AttemptId>,
}

/// An ambiguous end, with the health check that was to resolve it.
#[derive(Debug)]
pub(in crate::engine) struct AmbiguousRequest {
    pub(in crate::engine) request: RequestId,
    pub(in crate::engine) check: HealthCheck,
}

impl Connection {
    /// A connection that is to be established.
    pub(super) fn new(node: NodeId) -> Connection {
        Connection {
            node,
            is_up: false,
            is_closing: false,
            queued_attempts: Vec::new(),
            sent_attempts: BTreeSet::new(),
            bytes_sent: 0,
            unread_cancels: Vec::new(),
            ambiguous_ends: BTreeSet::new(),
            health_check_sent_at: None,
            last_contact_at: 0,
        }
    }

    /// The connection is established and is not being closed.
    pub(super) fn is_usable(&self) -> bool {
        self.is_up && !self.is_closing
    }

    /// The connection can be closed without loss.
    pub(super) fn is_idle(&self) -> bool {
        self.is_usable() && self.queued_attempts.is_empty() && self.sent_attempts.is_empty()
    }

    /// Number of attempts that wait for the connection or for an answer on it.
    pub(super) fn open_attempts(&self) -> usize {
        self.sent_attempts.len() + self.queued_attempts.len()
    }
}

impl NodeConnections {
    /// A connection is established; returns its node.
    pub(in crate::engine) fn on_connected(
        &mut self,
        id: NodeConnectionId,
        now: Micros,
    ) -> Option<NodeId> {
        let connection = self.connections.get_mut(&id)?;
        connection.is_up = true;
        connection.last_contact_at = now;
        let node = self.nodes.get_mut(&connection.node)?;
        node.last_contact_at = now;
        node.needs_connection_from = node.needs_connection_from.filter(|first| id < *first);
        node.backoff.reset();
        Some(connection.node)
    }

    /// A message arrived on a connection; returns its node.
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

    /// A connection has ended: it is removed. Cancellations that were not read on it wait for another one.
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
        })
    }

    /// Counts bytes given to a connection; returns how many were sent before them.
    pub(in crate::engine) fn record_sent(&mut self, id: NodeConnectionId, bytes: usize) -> u64 {
        let Some(connection) = self.connections.get_mut(&id) else {
            return 0;
        };
        let offset = connection.bytes_sent;
        connection.bytes_sent += bytes as u64;
        offset
    }

    /// An attempt waits until the connection is established.
    pub(in crate::engine) fn queue_attempt(&mut self, id: NodeConnectionId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued_attempts.push(attempt);
        }
    }

    /// Takes the attempts that wait for a connection.
    pub(in crate::engine) fn take_queued(&mut self, id: NodeConnectionId) -> Vec<AttemptId> {
        let connection = self.connections.get_mut(&id);
        connection
            .map(|c| std::mem::take(&mut c.queued_attempts))
            .unwrap_or_default()
    }

    /// Attempts that wait for a connection to a node that accepts no new tasks.
    pub(in crate::engine) fn queued_for_unready_node(&self, node: NodeId) -> Vec<AttemptId> {
        let Some(node) = self.nodes.get(&node) else {
            return Vec::new();
        };
        if node.entry.state == NodeStatus::Ready {
            return Vec::new();
        }
        let connections = node.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id))
            .flat_map(|connection| connection.queued_attempts.iter().copied())
            .collect()
    }

    /// An attempt was sent on a connection.
    pub(in crate::engine) fn add_sent_attempt(&mut self, id: NodeConnectionId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent_attempts.insert(attempt);
        }
    }

    /// An attempt waits on a connection no more.
    pub(in crate::engine) fn remove_attempt(&mut self, id: NodeConnectionId, attempt: AttemptId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent_attempts.remove(&attempt);
            connection.queued_attempts.retain(|other| *other != attempt);
        }
    }

    /// A health check is about to be sent; returns its id.
    ///
    /// The id says how many bytes were sent before it, so that its answer shows what the node has read. It is one
    /// greater, since 0 is no id.
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

    /// No connection to the node can take the cancellation of a task now.
    pub(in crate::engine) fn add_pending_cancel(&mut self, node: NodeId, request: RequestId) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.pending_cancels.insert(request);
        }
    }

    /// Takes the tasks whose cancellation waits for a connection.
    pub(in crate::engine) fn take_pending_cancels(&mut self, node: NodeId) -> BTreeSet<RequestId> {
        let node = self.nodes.get_mut(&node);
        node.map(|n| std::mem::take(&mut n.pending_cancels))
            .unwrap_or_default()
    }

    /// The cancellation of a task was sent after so many bytes.
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

    /// A health check was answered: takes the tasks whose cancellation was sent before it.
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

    /// A health check is to resolve the ambiguous end of a task.
    pub(in crate::engine) fn add_ambiguous(&mut self, check: HealthCheck, request: RequestId) {
        if let Some(connection) = self.connections.get_mut(&check.connection) {
            connection.ambiguous_ends.insert((check.id, request));
        }
    }

    /// A health check was answered: takes the ambiguous ends that it, or one before it, was to resolve.
    pub(in crate::engine) fn take_ambiguous(
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
