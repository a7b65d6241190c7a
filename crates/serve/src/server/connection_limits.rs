//! Limits of connections: how many clients may connect, and which connections are closed because they are of no use.

use super::Server;
use crate::connection::Connection;
use peppercove::Micros;
use peppercove_platform::{ClientId, Input};
use std::rc::Rc;
use std::time::Duration;

/// A message that is not complete within this time after its first bytes never will be.
const INCOMPLETE_MESSAGE_TIMEOUT: Micros = 1_000_000;
/// A client connection on which nothing was received within this time is of no use.
const FIRST_MESSAGE_TIMEOUT: Micros = 2_000_000;
/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl Server {
    /// Registers a client connection; `None` where there is no descriptor to spare for it.
    pub(crate) fn admit_client(&self) -> Option<(ClientId, Rc<Connection>)> {
        let is_full = self.clients.borrow().len() >= self.bounds.client_connections;
        if is_full && !self.close_idle_client() {
            return None;
        }
        self.record_activity();
        let id = ClientId(self.next_client.get());
        self.next_client.set(id.0 + 1);
        let connection = Connection::new(self.clock.now(), &self.send_budget);
        self.clients.borrow_mut().insert(id, connection.clone());
        self.report_client_count();
        Some((id, connection))
    }

    /// A client connection has ended.
    pub(crate) fn remove_client(&self, id: ClientId) {
        self.clients.borrow_mut().remove(&id);
        self.report_client_count();
    }

    /// Clients have taken descriptors that node connections may use while they are free.
    pub(crate) fn is_crowded(&self) -> bool {
        self.clients.borrow().len() > self.bounds.client_connections / 2
    }

    /// Informs the engine of the number of clients, where that takes descriptors from node connections or did before.
    fn report_client_count(&self) {
        let is_crowded = self.is_crowded();
        if is_crowded || self.was_crowded.get() {
            self.was_crowded.set(is_crowded);
            let count = self.clients.borrow().len();
            self.handle(Input::ClientCount(count));
        }
    }

    /// Closes the client connection that was silent for longest, those that never sent a valid request first; false
    /// where there is none to close. A connection with an open request or something left to send is not closed.
    fn close_idle_client(&self) -> bool {
        let engine = self.engine.borrow();
        let clients = self.clients.borrow();
        let is_idle = |id: ClientId, connection: &Connection| {
            let send_buffer = &connection.send_buffer;
            !send_buffer.is_closing() && send_buffer.is_empty() && !engine.has_open_requests(id)
        };
        let rank = |id: ClientId, connection: &Connection| {
            let last_message_at = connection.last_message_at.get();
            let silent_since = last_message_at.unwrap_or(connection.opened_at);
            (engine.has_sent_request(id), silent_since)
        };
        let idle = clients.iter().filter(|(id, c)| is_idle(**id, c));
        let Some((_, connection)) = idle.min_by_key(|(id, c)| rank(**id, c)) else {
            return false;
        };
        // It is read once more before it ends, and is registered until then.
        connection.send_buffer.close_after_flush();
        true
    }

    /// Closes the connections that are of no use.
    fn sweep(&self) {
        let now = self.clock.now();
        for connection in self.node_connections.borrow().values() {
            // A message that never ends takes in all that follows on the connection.
            if connection.is_incomplete_for(INCOMPLETE_MESSAGE_TIMEOUT, now) {
                connection.send_buffer.close();
            }
        }
        let engine = self.engine.borrow();
        for (id, connection) in self.clients.borrow().iter() {
            let send_buffer = &connection.send_buffer;
            let is_incomplete = connection.is_incomplete_for(INCOMPLETE_MESSAGE_TIMEOUT, now);
            let is_owed_nothing = || !engine.has_open_requests(*id);
            if connection.is_incomplete_for(INCOMPLETE_MESSAGE_TIMEOUT * 2, now)
                && is_owed_nothing()
            {
                send_buffer.close();
            } else if connection.is_mute_for(FIRST_MESSAGE_TIMEOUT, now)
                || is_incomplete && is_owed_nothing()
            {
                // Invariant: the client gets the answers to what it asked before, and to what came since the last read.
                send_buffer.close_after_flush();
            }
        }
    }
}

impl Connection {
    /// A part of a message has waited for the rest for this long.
    fn is_incomplete_for(&self, time: Micros, now: Micros) -> bool {
        let since = self.incomplete_since.get();
        since.is_some_and(|since| since + time <= now)
    }

    /// No complete message has come for this long, and none before.
    fn is_mute_for(&self, time: Micros, now: Micros) -> bool {
        self.last_message_at.get().is_none() && self.opened_at + time <= now
    }
}

/// Closes the connections that are of no use, again and again; never returns.
pub(crate) async fn sweep_connections(server: Rc<Server>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        server.sweep();
    }
}
