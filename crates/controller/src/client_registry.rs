//! Registry of client connections, their sessions, and the calls that wait for a job.

use peppercove_core::JobId;
use peppercove_protocol::rpc::{PlacementResult, RpcRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};

/// Handle of a connection, used to send lines to the client and to close the connection.
pub(crate) struct ClientHandle {
    session: Option<String>,
    wants_notifications: bool,
    queue: mpsc::Sender<String>,
    /// Notified when the connection is to be closed.
    close: Rc<Notify>,
}

impl ClientHandle {
    /// Creates the handle of a connection that has no session yet.
    pub(crate) fn new(queue: mpsc::Sender<String>, close: Rc<Notify>) -> ClientHandle {
        ClientHandle {
            session: None,
            wants_notifications: false,
            queue,
            close,
        }
    }

    /// Queues a line. If the queue is full because the client does not read, its connection is closed; other clients
    /// are not affected.
    fn send(&self, line: String) {
        if self.queue.try_send(line).is_err() {
            self.close.notify_one();
        }
    }

    fn is_flushed(&self) -> bool {
        self.queue.capacity() == self.queue.max_capacity()
    }
}

/// All client connections.
#[derive(Default)]
pub(crate) struct ClientRegistry {
    last_connection: u64,
    connections: BTreeMap<u64, ClientHandle>,
    by_session: BTreeMap<String, BTreeSet<u64>>,
    /// Notified when the job's placement request is answered or the job finishes.
    job_changes: BTreeMap<JobId, Rc<Notify>>,
    /// Notified when any job of the session finishes.
    session_changes: BTreeMap<String, Rc<Notify>>,
}

impl ClientRegistry {
    /// Returns the number of connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of sessions with at least one connection.
    pub(crate) fn sessions(&self) -> usize {
        self.by_session.len()
    }

    pub(crate) fn has_session(&self, session: &str) -> bool {
        self.by_session.contains_key(session)
    }

    /// Returns the session of a connection, if it has joined one.
    pub(crate) fn session_of(&self, connection: u64) -> Option<String> {
        self.connections
            .get(&connection)
            .and_then(|client| client.session.clone())
    }

    /// Adds a connection and returns its number.
    pub(crate) fn add(&mut self, client: ClientHandle) -> u64 {
        self.last_connection += 1;
        self.connections.insert(self.last_connection, client);
        self.last_connection
    }

    /// Adds a connection to a session, and removes it from its previous one.
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

    /// Removes a connection from its session.
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
        // Drop the entries of jobs that only calls on this connection waited for.
        self.job_changes
            .retain(|_, notify| Rc::strong_count(notify) > 1);
    }

    /// Returns the `Notify` that is triggered when the job's placement request is answered or the job finishes.
    pub(crate) fn job_change(&mut self, job: JobId) -> Rc<Notify> {
        self.job_changes.entry(job).or_default().clone()
    }

    /// Returns the `Notify` that is triggered when any job of the session finishes.
    pub(crate) fn session_change(&mut self, session: &str) -> Rc<Notify> {
        self.session_changes
            .entry(session.into())
            .or_default()
            .clone()
    }

    /// Wakes the calls that wait for the job, and sends its placement result to the connections of its session that
    /// asked for notifications.
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

    /// Wakes the calls that wait for the job or for any job of its session, after the job has finished.
    pub(crate) fn notify_finished(&mut self, session: &str, job: JobId) {
        if let Some(change) = self.job_changes.remove(&job) {
            change.notify_waiters();
        }
        if let Some(change) = self.session_changes.get(session) {
            change.notify_waiters();
        }
    }

    /// Whether all lines queued for clients have been taken from their queues.
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
