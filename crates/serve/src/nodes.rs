//! Connections to nodes.

use crate::connection::Connection;
use crate::server::Server;
use bytes::BytesMut;
use peppercove_platform::wire::{Message, decode};
use peppercove_platform::{Disconnect, Input, NodeConnectionId};
use peppercove_runtime::{CloseReason, drive};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Spawns a task that connects to a node and handles the connection until it ends.
pub(crate) fn connect(
    server: Rc<Server>,
    id: NodeConnectionId,
    address: SocketAddr,
    connection: Rc<Connection>,
) {
    spawn_local(async move {
        let disconnect = run_connection(&server, id, address, &connection).await;
        server.remove_node_connection(id);
        server.handle(Input::NodeDisconnected(id, disconnect));
    });
}

/// Connects to a node and passes its messages to the engine until the connection ends.
async fn run_connection(
    server: &Server,
    id: NodeConnectionId,
    address: SocketAddr,
    connection: &Connection,
) -> Disconnect {
    let stream = match timeout(server.dial_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Disconnect::Refused;
        }
        Ok(Err(_)) | Err(_) => return Disconnect::ConnectFailed,
    };
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    server.handle(Input::NodeConnected(id));
    let decode = |received: &mut BytesMut| {
        decode_messages(server, connection, received, |message| {
            server.handle(Input::NodeMessage(id, message));
        })
    };
    let (send_buffer, receive_budget) = (&connection.send_buffer, &server.node_receive_budget);
    let reason = drive(&stream, send_buffer, receive_budget, decode).await;
    tracing::debug!(connection = id.0, %address, ?reason, "node connection closed");
    // If the node closed the connection after a complete message, everything that it sent was read.
    let is_clean =
        matches!(reason, CloseReason::ByPeer) && connection.incomplete_since.get().is_none();
    Disconnect::Broken {
        bytes_written: connection.send_buffer.bytes_written(),
        is_clean,
    }
}

/// Removes the complete messages from the buffer and passes them to `on_message`. Returns false if a message cannot be
/// decoded.
pub(crate) fn decode_messages(
    server: &Server,
    connection: &Connection,
    received: &mut BytesMut,
    mut on_message: impl FnMut(Message),
) -> bool {
    let mut has_complete = false;
    let is_decodable = loop {
        match decode(received) {
            Ok(Some(message)) => {
                has_complete = true;
                tracing::trace!(?message, "message received");
                on_message(message);
            }
            Ok(None) => break true,
            Err(error) => {
                tracing::debug!(%error, "message undecodable");
                break false;
            }
        }
    };
    connection.record_read(server.clock.now(), has_complete, !received.is_empty());
    is_decodable
}
