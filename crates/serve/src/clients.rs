//! Client connections.

use crate::connection::Connection;
use crate::nodes::decode_messages;
use crate::server::Server;
use bytes::BytesMut;
use peppercove_platform::{ClientId, Input};
use peppercove_runtime::{CloseReason, drive};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Delay after a failed accept. If no descriptor is free, retrying immediately would busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections; never returns.
pub(crate) async fn accept(server: Rc<Server>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "cannot accept client connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        // If no descriptor can be spared, the connection is closed immediately; the client can connect again.
        let Some((id, connection)) = server.admit_client() else {
            continue;
        };
        if server.clients_use_node_descriptors() {
            // Race: connections must not be accepted faster than node connections are closed to free their descriptors.
            tokio::task::yield_now().await;
        }
        spawn_local(run_connection(server.clone(), id, connection, stream));
    }
}

/// Passes the messages of a client to the engine until the connection ends.
async fn run_connection(
    server: Rc<Server>,
    id: ClientId,
    connection: Rc<Connection>,
    stream: TcpStream,
) {
    let stream = Rc::new(stream);
    let is_leaving = Cell::new(false);
    let decode = |received: &mut BytesMut| {
        server.record_activity();
        if connection.send_buffer.is_closed_by_peer() && !is_leaving.replace(true) {
            server.handle(Input::ClientLeaving(id));
        }
        decode_messages(&server, &connection, received, |message| {
            server.on_client_message(id, &connection, message);
        })
    };
    let (send_buffer, receive_budget) = (&connection.send_buffer, &server.client_receive_budget);
    let reason = drive(&stream, send_buffer, receive_budget, decode).await;
    drop(stream);
    server.remove_client(id);
    let is_broken = matches!(reason, CloseReason::Failed(_))
        || !send_buffer.is_empty()
        || connection.has_lost_answers.get();
    server.handle(match is_broken {
        true => Input::ClientBroken(id),
        false => Input::ClientDisconnected(id),
    });
}
