//! Connections of clients.

use crate::connection::Connection;
use crate::nodes::decode_messages;
use crate::server::Server;
use peppercove_platform::{ClientId, Input};
use peppercove_runtime::drive;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Wait after a connection could not be accepted, as where no descriptor is free: trying again at once would only spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections; never returns.
pub(crate) async fn accept(server: Rc<Server>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "client connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        // Without a descriptor to spare, it is closed at once: the client can connect again.
        let Some((id, connection)) = server.admit_client() else {
            continue;
        };
        if server.is_crowded() {
            // Race: connections must not be accepted faster than those to nodes are closed that make room for them.
            tokio::task::yield_now().await;
        }
        spawn_local(run_connection(server.clone(), id, connection, stream));
    }
}

/// Passes on messages until the connection ends.
async fn run_connection(
    server: Rc<Server>,
    id: ClientId,
    connection: Rc<Connection>,
    stream: TcpStream,
) {
    let stream = Rc::new(stream);
    drive(&stream, &connection.send_buffer, |received| {
        server.record_activity();
        decode_messages(&server, &connection, received, |message| {
            server.on_client_message(id, &connection, message);
        })
    })
    .await;
    drop(stream);
    server.remove_client(id);
    server.handle(Input::ClientDisconnected(id));
}
