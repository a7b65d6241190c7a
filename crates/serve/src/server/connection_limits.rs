//! Connection limits: how many clients may connect, and which idle or stuck connections are closed.

use super::Server;
use crate::connection::Connection;
use peppercove::Micros;
use peppercove_platform::{ClientId, Input};
use std::rc::Rc;
use std::time::Duration;

/// Time within which a message must be complete after its first bytes were received.
const INCOMPLETE_MESSAGE_TIMEOUT: Micros = 1_000_000;
/// Time within which the first message must be received on a client connection.
const FIRST_MESSAGE_TIMEOUT: Micros = 2_000_000;
/// Interval between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl Server {
    /// Registers a client connection. Returns `None` if no descriptor can be spared for it.
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

    /// Removes a client connection that has ended.
    pub(crate) fn remove_client(&self, id: ClientId) {
        self.clients.borrow_mut().remove(&id);
        self.report_client_count();
    }

    /// Whether clients use descriptors that are available to node connections while there are fewer clients.
    pub(crate) fn clients_use_node_descriptors(&self) -> bool {
        self.clients.borrow().len() > self.bounds.client_connections / 2
    }

    /// Reports the number of clients to the engine if clients use descriptors of node connections, or did so at the
    /// last report.
    fn report_client_count(&self) {
        let clients_use_node_descriptors = self.clients_use_node_descriptors();
        if clients_use_node_descriptors || self.clients_used_node_descriptors.get() {
            self.clients_used_node_descriptors
                .set(clients_use_node_descriptors);
            let count = self.clients.borrow().len();
            self.handle(Input::ClientCount(count));
        }
    }

    /// Closes the client connection that has been silent for the longest time, preferring those that never sent a valid
    /// request. Connections with open requests or unsent answers are not closed. Returns false if there is none to close.
    fn close_idle_client(&self) -> bool {
        let engine = self.engine.borrow();
        let clients = self.clients.borrow();
        let is_idle = |id: ClientId, connection: &Connection| {
            !connection.send_buffer.is_closing()
                && !connection.has_unsent_answers()
                && !engine.has_open_requests(id)
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
        // The connection is read once more before it is closed, and stays registered until then.
        connection.close_after_answers();
        true
    }

    /// Closes connections that are unused or stuck in an incomplete message.
    fn sweep(&self) {
        let now = self.clock.now();
        for connection in self.node_connections.borrow().values() {
            // Everything that follows on the connection would be taken for the rest of the incomplete message.
            if connection.is_incomplete_for(INCOMPLETE_MESSAGE_TIMEOUT, now) {
                connection.send_buffer.close();
            }
        }
        let engine = self.engine.borrow();
        for (id, connection) in self.clients.borrow().iter() {
            let send_buffer = &connection.send_buffer;
            let is_incomplete = connection.is_incomplete_for(INCOMPLETE_MESSAGE_TIMEOUT, now);
            let has_no_open_requests = || !engine.has_open_requests(*id);
            if connection.is_incomplete_for(INCOMPLETE_MESSAGE_TIMEOUT * 2, now)
                && has_no_open_requests()
            {
                send_buffer.close();
            } else if connection.has_sent_nothing_for(FIRST_MESSAGE_TIMEOUT, now)
                || is_incomplete && has_no_open_requests()
            {
                // Invariant: the client gets the answers to its earlier requests and to those received since the last
                // read.
                connection.close_after_answers();
            }
        }
    }
}

impl Connection {
    /// Whether a message has been incomplete for this long.
    fn is_incomplete_for(&self, time: Micros, now: Micros) -> bool {
        let since = self.incomplete_since.get();
        since.is_some_and(|since| since + time <= now)
    }

    /// Whether the connection has been open for this long without a complete message.
    pub(super) fn has_sent_nothing_for(&self, time: Micros, now: Micros) -> bool {
        self.last_message_at.get().is_none() && self.opened_at + time <= now
    }
}

/// Periodically closes connections that are unused or stuck. Never returns.
pub(crate) async fn sweep_connections(server: Rc<Server>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        server.sweep();
        server.sweep_notifications();
    }
}
