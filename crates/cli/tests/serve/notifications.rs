//! Ends of tasks whose clients have lost their connections.

use crate::Cluster;
use crate::memory::assert_within_memory_limit;
use crate::support::peer::{Peer, request_with_attributes, test};
use peppercove_platform::wire::{Message, MessageKind, cause};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Maximum time between an end and its notification, if the client is connected by then.
const NOTIFICATION_TIME: Duration = Duration::from_secs(1);

fn handover(id: u64) -> Message {
    request_with_attributes(id, "cores:1;memory:2;service:aa;at:a")
}

fn end(id: u64) -> Message {
    Message::release(id, cause::ORDINARY)
}

/// Sends these handovers, and waits until they are read.
fn hand_over(client: &mut Peer, ids: impl Iterator<Item = u64>) {
    let frames: Vec<u8> = ids.flat_map(|id| handover(id).encode()).collect();
    client.send_bytes(&frames);
    client.pass_test(1);
}

/// Reads until the ends of all these tasks were received. Fails if one is received twice.
fn receive_ends(client: &mut Peer, ids: impl Iterator<Item = u64>) {
    let mut missing: BTreeSet<u64> = ids.collect();
    let wanted = missing.clone();
    while !missing.is_empty() {
        let message = client.receive();
        if message.kind == MessageKind::Release && wanted.contains(&message.id) {
            assert!(missing.remove(&message.id), "{message:?} is received twice");
        }
    }
}

/// Guards against ends that reach one of the clients that have lost their connection, and not the others.
#[test]
fn ends_reach_clients_on_the_connections_that_they_have_or_open() {
    const OWNERS: u64 = 12;
    const TASKS_EACH: u64 = 10;
    let cluster = Cluster::start();
    let tasks = |owner: u64| (owner + 1) * 100..(owner + 1) * 100 + TASKS_EACH;
    let mut owners: Vec<Peer> = (0..OWNERS).map(|_| cluster.client()).collect();
    for (owner, client) in (0..).zip(&mut owners) {
        hand_over(client, tasks(owner));
    }
    let mut node = cluster.node.peer();
    drop(owners);
    // A third of them come back before the ends, each in its own way, and the others afterwards.
    let come_back = |owner: u64| {
        let mut client = cluster.client();
        match owner % 4 {
            0 => client.request(9000 + owner, "any"),
            1 => client.pass_test(1),
            2 => client.send(&handover(tasks(owner).start)),
            _ => {}
        }
        client
    };
    let mut returned: Vec<Peer> = (0..4).map(come_back).collect();
    assert_eq!(node.receive().id, 9000);
    node.accept_task(9000, b"x");
    for id in (0..OWNERS).flat_map(tasks) {
        node.send(&end(id));
    }
    let ended_at = Instant::now();
    for (owner, client) in (0..4).zip(&mut returned) {
        receive_ends(client, tasks(owner));
    }
    assert!(ended_at.elapsed() < NOTIFICATION_TIME);
    for owner in 4..OWNERS {
        receive_ends(&mut come_back(owner), tasks(owner));
    }
}

/// Guards against notifications for clients that do not read, which use memory or keep others from connecting.
#[test]
fn ends_reach_their_client_while_all_other_connections_are_not_read() {
    const SILENT_CLIENTS: usize = 200;
    const TASKS: std::ops::Range<u64> = 1000..4500;
    let cluster = Cluster::start();
    let mut owner = cluster.client();
    hand_over(&mut owner, TASKS);
    let mut node = cluster.node.peer();
    drop(owner);
    let connect = |_| {
        let mut client = cluster.client();
        client.send(&test(1));
        client
    };
    let _unread: Vec<Peer> = (0..SILENT_CLIENTS).map(connect).collect();
    let mut returned = cluster.client();
    returned.pass_test(1);
    let ends: Vec<u8> = TASKS.flat_map(|id| end(id).encode()).collect();
    node.send_bytes(&ends);
    receive_ends(&mut returned, TASKS);
    let _more_unread: Vec<Peer> = (0..SILENT_CLIENTS).map(connect).collect();
    let mut client = cluster.client();
    receive_ends(&mut client, TASKS);
    client.request(9000, "any");
    assert_eq!(node.receive().id, 9000);
    node.accept_task(9000, b"x");
    assert_eq!(client.receive_for(9000).kind, MessageKind::Answer);
    assert_within_memory_limit(&cluster);
}

/// Guards against an end that a client takes for the answer to the first request on its connection.
#[test]
fn request_is_read_before_ends_are_sent_on_its_connection() {
    const REPETITIONS: u64 = 20;
    let cluster = Cluster::start();
    let mut owner = cluster.client();
    hand_over(&mut owner, 1..=REPETITIONS);
    let mut node = cluster.node.peer();
    drop(owner);
    let mut other = cluster.client();
    other.pass_test(1);
    for id in 1..=REPETITIONS {
        node.send(&end(id));
        receive_ends(&mut other, id..=id);
        // The class may run again.
        let mut client = cluster.client();
        client.request(id, "any");
        assert_eq!(node.receive().id, id);
        node.accept_task(id, b"again");
        assert_eq!(client.receive_for(id).kind, MessageKind::Answer);
    }
}
