//! Messages between controllers, if peers are configured. Each message is one datagram and may be lost.
//!
//! A datagram consists of the sender's number (four bytes, little endian) and the message.

use crate::server::Server;
use peppercove_core::Input;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Maximum length of a message in bytes, as defined by the scheduler's interface.
const MAX_MESSAGE_BYTES: usize = 256;

/// Length of the sender's number in bytes.
const HEADER_BYTES: usize = 4;

/// Sends queued messages and receives messages from peers, until the task is aborted.
pub(crate) async fn exchange(
    server: Rc<Server>,
    socket: UdpSocket,
    mut queue: mpsc::Receiver<Vec<u8>>,
) {
    // One byte more than the longest valid datagram, so that a longer one is detected.
    let mut buffer = [0; HEADER_BYTES + MAX_MESSAGE_BYTES + 1];
    loop {
        tokio::select! {
            Some(message) = queue.recv() => send(&server, &socket, &message).await,
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, sender)) = received {
                    receive(&server, sender, &buffer[..length]);
                }
            }
        }
    }
}

async fn send(server: &Server, socket: &UdpSocket, message: &[u8]) {
    if message.len() > MAX_MESSAGE_BYTES {
        let (length, limit) = (message.len(), MAX_MESSAGE_BYTES);
        tracing::warn!(
            length,
            limit,
            "message to peers not sent: it exceeds the maximum length"
        );
        return;
    }
    let own_number = server.config.scheduler.own_index.to_le_bytes();
    let datagram = [&own_number[..], message].concat();
    for (_, address) in &server.config.peers.peers {
        let _ = socket.send_to(&datagram, address).await;
    }
}

/// Handles a datagram of a configured peer that carries the peer's own number; other datagrams are ignored.
fn receive(server: &Server, sender: SocketAddr, datagram: &[u8]) {
    let peers = &server.config.peers.peers;
    let Some((peer, _)) = peers.iter().find(|(_, address)| *address == sender) else {
        return;
    };
    let Some((number, message)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
        return;
    };
    if *number == peer.to_le_bytes() && message.len() <= MAX_MESSAGE_BYTES {
        server.handle(Input::PeerMessage {
            from: *peer,
            message: message.to_vec(),
        });
    }
}
