//! More connections than descriptors.

use crate::Cluster;
use crate::support::peer::Peer;
use peppercove_platform::wire::{Message, MessageKind, cause, code};

/// Descriptors of a controller that runs short of them.
const FEW_SOCKETS: usize = 64;

#[test]
fn silent_connections_do_not_keep_out_clients_that_send_requests() {
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
        "each is disconnected"
    );
}

#[test]
fn where_descriptors_run_short_no_connection_with_an_open_request_is_closed() {
    let cluster = Cluster::with_sockets(FEW_SOCKETS);
    let (mut first, mut node) = cluster.request_one(1000, "one");
    // Each requests one task, and holds its connection for good.
    let mut clients: Vec<Peer> = Vec::new();
    for id in 1..60 {
        let mut client = cluster.client();
        client.request(id, "any");
        assert_eq!(node.receive().id, id);
        node.send(&Message::release(id, cause::ORDINARY).with(code::DESCRIPTION, b"ran"));
        assert_eq!(client.receive().kind, MessageKind::Answer);
        clients.push(client);
    }
    node.accept_task(1000, b"x");
    assert_eq!(first.receive().kind, MessageKind::Answer);
}
