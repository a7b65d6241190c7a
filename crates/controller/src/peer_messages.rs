//! Messages between controllers, where the settings name peers: one datagram each, which may be lost.
//!
//! A datagram is the sender's number in four bytes, little endian, and the message.

use crate::server::Server;
use peppercove_core::Input;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Longest message in bytes, as the decision module's interface has it.
const MAX_MESSAGE_BYTES: usize = 256;

/// Length of the sender's number in bytes.
const HEADER_BYTES: usize = 4;

/// Sends the queued messages and takes in those that arrive.
pub(crate) async fn exchange(
    server: Rc<Server>,
    socket: UdpSocket,
    mut queue: mpsc::Receiver<Vec<u8>>,
) {
    // One byte more than the longest datagram, so that a longer one is recognized.
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
            "a message to peers is too long and is not sent"
        );
        return;
    }
    let own_number = server.config.scheduler.own_index.to_le_bytes();
    let datagram = [&own_number[..], message].concat();
    for (_, address) in &server.config.peers.peers {
        let _ = socket.send_to(&datagram, address).await;
    }
}

/// Takes in a datagram of a peer in the settings that comes under its own number; others are ignored.
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
