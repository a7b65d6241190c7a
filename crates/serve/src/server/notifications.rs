//! Sends logged notifications to the clients that read them.

use super::Server;
use peppercove::Micros;
use peppercove_platform::{ClientId, Input};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// How long a connection is open without any message before it is sent notifications. A client that opens a connection to
/// send a request would otherwise get a notification before that request is read.
const SILENCE_BEFORE_NOTIFICATIONS: Micros = 100_000;

impl Server {
    /// The client connections that have not been sent all notifications and have nothing else to write. A peer that does
    /// not read therefore uses no memory for further notifications.
    pub(super) fn clients_ready_for_notifications(&self) -> Vec<ClientId> {
        let clients = self.clients.borrow();
        let is_ready = |id: &ClientId| {
            let buffer = clients.get(id).map(|connection| &connection.send_buffer);
            buffer.is_some_and(|buffer| buffer.is_empty() && !buffer.is_closing())
        };
        let mut pending = self.engine.borrow().clients_to_notify();
        pending.retain(is_ready);
        pending
    }

    /// Reports client connections without any message to the engine, and looks again for connections that could not take
    /// notifications before.
    pub(super) fn sweep_notifications(&self) {
        let now = self.clock.now();
        let mut silent = Vec::new();
        for (id, connection) in self.clients.borrow().iter() {
            let is_silent = connection.has_sent_nothing_for(SILENCE_BEFORE_NOTIFICATIONS, now)
                && connection.incomplete_since.get().is_none();
            if is_silent && !connection.is_reported_silent.replace(true) {
                silent.push(*id);
            }
        }
        for id in silent {
            self.handle(Input::ClientSilent(id));
        }
        if !self.clients_ready_for_notifications().is_empty() {
            self.notifications_pending.notify_one();
        }
    }
}

/// Moves the clients up to the one that was served last to the end.
///
/// While ends arrive all the time, the first connections always have something to send. If each slice began with them,
/// the last ones would get nothing.
fn rotate_after(clients: &mut [ClientId], last_served: ClientId) {
    let first = clients.partition_point(|client| *client <= last_served);
    clients.rotate_left(first);
}

/// Sends notifications in time slices, with input that arrived in the meantime handled after each slice. Never returns.
pub(crate) async fn send_notifications(server: Rc<Server>) {
    let slice = u64::try_from(server.admission_slice.as_micros()).unwrap_or(0);
    let mut last_served = ClientId(0);
    loop {
        server.notifications_pending.notified().await;
        loop {
            // The runtime polls the sockets during the yield. A request that has arrived already must be known before a
            // notification with its id is sent on its connection.
            tokio::task::yield_now().await;
            let mut ready = server.clients_ready_for_notifications();
            if ready.is_empty() {
                break;
            }
            rotate_after(&mut ready, last_served);
            let slice_end = server.clock.now() + slice;
            for client in ready {
                last_served = client;
                server.handle(Input::SendNotifications(client));
                if server.clock.now() >= slice_end {
                    break;
                }
            }
        }
    }
}
