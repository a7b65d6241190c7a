//! Peers that send what cannot be read or used.

use crate::Cluster;
use crate::support::peer::{request, running};
use peppercove_platform::wire::{Message, MessageKind, cause};
use std::io::Write;
use std::time::Duration;

#[test]
fn unreadable_bytes_of_a_node_close_their_connection_and_no_other() {
    let cluster = Cluster::start();
    let (mut client, mut node) = cluster.request_one(5, "any");
    client.request(6, "any");
    assert_eq!(node.receive().id, 6);
    node.accept_task(6, b"good");
    // A length that no message has, right behind a good answer.
    node.send_bytes(&[0xff, 0xff, 9, 1, 2, 3]);
    assert_eq!(client.receive(), running(6, b"good"));
    let mut rest = std::iter::from_fn(|| node.next());
    assert!(
        rest.all(|message| message.kind != MessageKind::Answer),
        "it is closed"
    );
    // The task that was offered there may have run: an idempotent one is tried again, over another connection.
    let mut next_connection = cluster.node.peer();
    assert_eq!(next_connection.receive().id, 5);
    next_connection.accept_task(5, b"x");
    assert_eq!(client.receive(), running(5, b"x"));
}

#[test]
fn half_a_message_of_a_node_does_not_hold_up_its_request_for_good() {
    let cluster = Cluster::start();
    let (_client, mut node) = cluster.request_one(5, "any");
    node.send_bytes(&[0x30, 0, 9, 1]);
    let mut next_connection = cluster.node.peer();
    assert_eq!(next_connection.receive().id, 5);
}

#[test]
fn unreadable_clients_are_disconnected() {
    let cluster = Cluster::start();
    let unreadable: [&[u8]; 5] = [
        &[0xff; 64],
        &[0, 0, 0, 0],
        b"GET / HTTP/1.1\r\n\r\n",
        // A parameter that overruns its message.
        &[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 18, 0xff, 0xff],
        // Half a message and then nothing.
        &[0, 200, 1, 0, 0],
    ];
    for bytes in unreadable {
        let mut client = cluster.client();
        client.send_bytes(bytes);
        assert_eq!(client.next(), None, "{bytes:?}");
    }
    // A body without end.
    let mut endless_client = cluster.client();
    let endless = [0x41; 64 << 10];
    while endless_client.stream.write_all(&endless).is_ok() {}
    assert_nothing_has_reached_the_node(&cluster);
}

#[test]
fn unusable_requests_are_rejected() {
    let cluster = Cluster::start();
    let unusable = [
        request(0, "any"),
        request(9, "nothing like it"),
        Message::new(MessageKind::SetUp, 9),
    ];
    for message in unusable {
        let mut client = cluster.client();
        client.send(&message);
        let rejection = Message::release(message.id, cause::TURNED_AWAY);
        assert_eq!(client.receive(), rejection);
    }
    assert_nothing_has_reached_the_node(&cluster);
}

/// The first thing that comes to the node is the request that is sent now.
fn assert_nothing_has_reached_the_node(cluster: &Cluster) {
    let mut client = cluster.client();
    client.request(5, "any");
    assert_eq!(cluster.node.peer().receive().id, 5);
}

/// Invariant: a connection that is closed for half a message first gets the answers that are owed on it.
#[test]
fn a_client_with_an_unfinished_message_gets_the_answers_owed_and_is_disconnected_then() {
    let cluster = Cluster::start();
    let mut client = cluster.client();
    client.request(5, "one");
    client.send_bytes(&request(6, "any").encode()[..20]);
    let mut node = cluster.node.peer();
    assert_eq!(node.receive().id, 5);
    // Longer than a message may take, and than a connection that is owed nothing would be kept.
    std::thread::sleep(Duration::from_millis(2500));
    node.accept_task(5, b"there");
    assert_eq!(client.receive(), running(5, b"there"));
    assert_eq!(client.next(), None, "nothing is owed any more");
}
