//! One connection to a host.

use crate::connection::Connection;
use crate::shell::Shell;
use bytes::BytesMut;
use peppercove_platform::wire::{Message, decode};
use peppercove_platform::{Disconnect, Input, NodeConnectionId};
use peppercove_runtime::{Closed, carry};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Opens a connection and keeps it until it ends.
pub(crate) fn dial(
    shell: Rc<Shell>,
    link: NodeConnectionId,
    address: SocketAddr,
    connection: Rc<Connection>,
) {
    spawn_local(keep(shell, link, address, connection));
}

/// Connects and carries messages both ways until the connection ends.
async fn keep(
    shell: Rc<Shell>,
    link: NodeConnectionId,
    address: SocketAddr,
    connection: Rc<Connection>,
) {
    let how = match timeout(shell.dial_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            let stream = Rc::new(stream);
            shell.input(Input::NodeConnected(link));
            let end = carry(&stream, &connection.outbox, |buffer| {
                read(&shell, &connection, buffer, |message| {
                    shell.input(Input::NodeMessage(link, message))
                })
            });
            let end = end.await;
            tracing::debug!(link = link.0, %address, ?end, "connection to a host ended");
            // What a host said is all read where it closed behind a whole message.
            let whole = matches!(end, Closed::Peer) && connection.half_since.get().is_none();
            Disconnect::Broken {
                bytes_written: connection.outbox.written(),
                is_clean: whole,
            }
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Disconnect::Refused,
        Ok(Err(_)) | Err(_) => Disconnect::ConnectFailed,
    };
    shell.drop_link(link);
    shell.input(Input::NodeDisconnected(link, how));
}

/// Takes whole messages off the buffer; false where they cannot be read.
pub(crate) fn read(
    shell: &Shell,
    connection: &Connection,
    buffer: &mut BytesMut,
    mut take: impl FnMut(Message),
) -> bool {
    let mut whole = false;
    let readable = loop {
        match decode(buffer) {
            Ok(Some(message)) => {
                whole = true;
                tracing::trace!(?message, "read");
                take(message);
            }
            Ok(None) => break true,
            Err(error) => {
                tracing::debug!(%error, "unreadable");
                break false;
            }
        }
    };
    connection.read(shell.clock.now(), whole, !buffer.is_empty());
    readable
}
