//! Messages between controllers, where the settings name peers: one datagram each, which may be lost.

use crate::server::Server;
use peppercove_core::Input;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Longest message, in bytes, as the decision module's interface has it.
const LONGEST: usize = 256;

/// Carries messages both ways: four bytes of the sender's number, little endian, then the message.
pub(crate) async fn carry(shell: Rc<Server>, socket: UdpSocket, mut told: mpsc::Receiver<Vec<u8>>) {
    let mut buffer = [0; 4 + LONGEST + 1];
    let number = shell.config.scheduler.own_index.to_le_bytes();
    loop {
        tokio::select! {
            Some(message) = told.recv() => {
                if message.len() > LONGEST {
                    tracing::warn!(length = message.len(), "a message longer than {LONGEST} bytes is not sent");
                    continue;
                }
                let datagram = [&number[..], &message].concat();
                for (_, address) in &shell.config.peers.peers {
                    let _ = socket.send_to(&datagram, address).await;
                }
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((n, from)) = received else { continue };
                // Only a peer of the settings is heard, under its own number, and only whole messages.
                let known = shell.config.peers.peers.iter().find(|(_, address)| *address == from);
                let Some((peer, _)) = known.filter(|_| (4..=4 + LONGEST).contains(&n)) else { continue };
                if buffer[..4] == peer.to_le_bytes() {
                    shell.input(Input::PeerMessage { from: *peer, message: buffer[4..n].to_vec() });
                }
            }
        }
    }
}
