//! The connections of clients, their sessions, and who waits for which job.

use peppercove_core::JobId;
use peppercove_protocol::rpc::{PlacementResult, RpcRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};

/// A connection as those see it that have a message for it.
pub(crate) struct ClientHandle {
    session: Option<String>,
    wants_notifications: bool,
    queue: mpsc::Sender<String>,
    /// Notified when the connection is to be closed.
    close: Rc<Notify>,
}

impl ClientHandle {
    /// A connection without a session.
    pub(crate) fn new(queue: mpsc::Sender<String>, close: Rc<Notify>) -> ClientHandle {
        ClientHandle {
            session: None,
            wants_notifications: false,
            queue,
            close,
        }
    }

    /// Queues a line. A client that does not read loses its connection; no other client is affected.
    fn send(&self, line: String) {
        if self.queue.try_send(line).is_err() {
            self.close.notify_one();
        }
    }

    fn is_flushed(&self) -> bool {
        self.queue.capacity() == self.queue.max_capacity()
    }
}

/// The connections of clients.
#[derive(Default)]
pub(crate) struct ClientRegistry {
    last_connection: u64,
    connections: BTreeMap<u64, ClientHandle>,
    by_session: BTreeMap<String, BTreeSet<u64>>,
    /// Notified when a job is answered or finishes.
    job_changes: BTreeMap<JobId, Rc<Notify>>,
    /// Notified when any job of the session finishes.
    session_changes: BTreeMap<String, Rc<Notify>>,
}

impl ClientRegistry {
    /// Number of connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Number of sessions that have a connection.
    pub(crate) fn sessions(&self) -> usize {
        self.by_session.len()
    }

    pub(crate) fn has_session(&self, session: &str) -> bool {
        self.by_session.contains_key(session)
    }

    /// The session of a connection, if it has opened one.
    pub(crate) fn session_of(&self, connection: u64) -> Option<String> {
        self.connections
            .get(&connection)
            .and_then(|client| client.session.clone())
    }

    /// Adds a connection; returns its number.
    pub(crate) fn add(&mut self, client: ClientHandle) -> u64 {
        self.last_connection += 1;
        self.connections.insert(self.last_connection, client);
        self.last_connection
    }

    /// Puts a connection into a session, and takes it out of the one that it was in.
    pub(crate) fn join_session(
        &mut self,
        connection: u64,
        session: &str,
        wants_notifications: bool,
    ) {
        self.leave_session(connection);
        if let Some(client) = self.connections.get_mut(&connection) {
            client.session = Some(session.into());
            client.wants_notifications = wants_notifications;
            self.by_session
                .entry(session.into())
                .or_default()
                .insert(connection);
        }
    }

    /// Takes a connection out of its session.
    pub(crate) fn leave_session(&mut self, connection: u64) {
        let Some(client) = self.connections.get_mut(&connection) else {
            return;
        };
        if let Some(session) = client.session.take()
            && let Some(connections) = self.by_session.get_mut(&session)
        {
            connections.remove(&connection);
            if connections.is_empty() {
                self.by_session.remove(&session);
                self.session_changes.remove(&session);
            }
        }
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, connection: u64) {
        self.leave_session(connection);
        self.connections.remove(&connection);
        // Forget the jobs that only calls of that connection waited for.
        self.job_changes
            .retain(|_, notify| Rc::strong_count(notify) > 1);
    }

    /// Notified when the job is answered or finishes.
    pub(crate) fn job_change(&mut self, job: JobId) -> Rc<Notify> {
        self.job_changes.entry(job).or_default().clone()
    }

    /// Notified when any job of the session finishes.
    pub(crate) fn session_change(&mut self, session: &str) -> Rc<Notify> {
        self.session_changes
            .entry(session.into())
            .or_default()
            .clone()
    }

    /// Tells those who wait for the job, and the connections of its session that want notifications, of its answer.
    pub(crate) fn notify_answered(&self, session: &str, job: JobId, result: PlacementResult) {
        if let Some(change) = self.job_changes.get(&job) {
            change.notify_waiters();
        }
        let notification = RpcRequest {
            jsonrpc: "2.0".into(),
            id: None,
            method: "settled".into(),
            params: serde_json::to_value(result).unwrap_or_default(),
        };
        let line = serde_json::to_string(&notification).unwrap_or_default();
        for connection in self.by_session.get(session).into_iter().flatten() {
            let client = self.connections.get(connection);
            if let Some(client) = client.filter(|client| client.wants_notifications) {
                client.send(line.clone());
            }
        }
    }

    /// Tells those who wait for the job, or for any of its session, that it has finished.
    pub(crate) fn notify_finished(&mut self, session: &str, job: JobId) {
        if let Some(change) = self.job_changes.remove(&job) {
            change.notify_waiters();
        }
        if let Some(change) = self.session_changes.get(session) {
            change.notify_waiters();
        }
    }

    /// Whether all that was queued for clients has been written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.connections.values().all(ClientHandle::is_flushed)
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for client in self.connections.values() {
            client.close.notify_one();
        }
    }
}
