//! More client connections than file descriptors.

use crate::Cluster;
use crate::support::peer::Peer;
use peppercove_platform::wire::{Message, MessageKind, cause, code};

/// Descriptor limit of a controller that runs out of them.
const FEW_SOCKETS: usize = 64;

#[test]
fn silent_connections_do_not_block_clients_that_send_requests() {
    let cluster = Cluster::with_sockets(FEW_SOCKETS);
    // One client with an open request, and more silent ones than there are descriptors.
    let (mut first, mut node) = cluster.request_one(5, "one");
    let mut silent: Vec<Peer> = (0..150).map(|_| cluster.client()).collect();
    let mut client = cluster.client();
    client.request(6, "one");
    assert_eq!(node.receive().id, 6);
    for id in [5, 6] {
        node.accept_task(id, b"x");
    }
    assert_eq!((first.receive().id, client.receive().id), (5, 6));
    assert!(
        silent.iter_mut().all(|client| client.next().is_none()),
        "expected every silent client to be disconnected"
    );
}

#[test]
fn connections_with_open_requests_stay_open_when_descriptors_run_out() {
    let cluster = Cluster::with_sockets(FEW_SOCKETS);
    let (mut first, mut node) = cluster.request_one(1000, "one");
    // Each client requests one task and keeps its connection open.
    let mut clients: Vec<Peer> = Vec::new();
    for id in 1..60 {
        let mut client = cluster.client();
        client.request(id, "any");
        assert_eq!(node.receive().id, id);
        node.send(&Message::release(id, cause::ORDINARY).with(code::DESCRIPTION, b"ran"));
        assert_eq!(client.receive_for(id).kind, MessageKind::Answer);
        clients.push(client);
    }
    node.accept_task(1000, b"x");
    assert_eq!(first.receive_for(1000).kind, MessageKind::Answer);
}
