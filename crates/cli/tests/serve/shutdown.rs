//! Graceful shutdown: which requests are answered before the process exits.

use crate::support::configuration::{config, list_entry};
use crate::support::listener::Listener;
use crate::support::peer::{Peer, tested};
use crate::{Cluster, SOCKETS};
use peppercove_platform::wire::{Message, MessageKind, cause};
use std::time::Duration;

/// Longer than the controller waits for new requests after SIGTERM.
const SHUTDOWN_TIME: Duration = Duration::from_millis(1500);

#[test]
fn shutdown_answers_open_requests_and_requests_that_arrive_later() {
    let mut cluster = Cluster::start();
    let (mut client, mut node) = cluster.request_one(5, "one");
    cluster.controller.signal("-TERM");
    client.request(6, "one");
    assert_eq!(node.receive().id, 6);
    let mut late_client = cluster.client();
    late_client.request(7, "one");
    assert_eq!(node.receive().id, 7);
    // Longer than new requests are accepted, so only the open requests keep the process alive.
    std::thread::sleep(SHUTDOWN_TIME);
    for id in [5, 6, 7] {
        assert!(
            cluster.controller.is_alive(),
            "the controller exited while a request was open"
        );
        node.accept_task(id, b"x");
    }
    let answered = [
        client.receive().id,
        client.receive().id,
        late_client.receive().id,
    ];
    assert_eq!(answered, [5, 6, 7]);
    assert!(cluster.controller.exit_status().success());
}

/// The kernel accepts connections and bytes for a process that is stopped (SIGSTOP). When the process resumes after the
/// shutdown timeout, it finds its expired timers and the readable sockets at the same time.
#[test]
fn shutdown_answers_requests_that_the_kernel_has_accepted_but_the_process_has_not_read() {
    const CLIENTS: std::ops::Range<u64> = 6..46;
    let mut cluster = Cluster::start();
    let (mut client, mut node) = cluster.run_one(5, "one");
    cluster.controller.signal("-TERM");
    std::thread::sleep(Duration::from_millis(200));
    cluster.controller.pause();
    let mut new_clients: Vec<Peer> = CLIENTS.map(|_| cluster.client()).collect();
    client.request(50, "one");
    for (id, client) in CLIENTS.zip(&mut new_clients) {
        client.request(id, "one");
    }
    std::thread::sleep(SHUTDOWN_TIME);
    cluster.controller.resume();
    let node = std::thread::spawn(move || {
        for _ in 0..=CLIENTS.count() {
            let id = node.receive().id;
            node.accept_task(id, b"x");
        }
    });
    assert_eq!(client.receive().id, 50);
    for (id, client) in CLIENTS.zip(&mut new_clients) {
        assert_eq!(client.receive().id, id);
    }
    node.join().expect("the node did not receive every request");
    assert!(cluster.controller.exit_status().success());
}

#[test]
fn shutdown_without_open_requests_answers_a_request_sent_after_the_signal() {
    let mut cluster = Cluster::start();
    let mut client = cluster.client();
    client.pass_test(1);
    cluster.controller.while_paused(|| {
        cluster.controller.signal("-TERM");
        client.request(5, "one");
    });
    let mut node = cluster.node.peer();
    node.receive();
    node.accept_task(5, b"x");
    assert_eq!(client.receive().kind, MessageKind::Answer);
    assert!(cluster.controller.exit_status().success());
}

/// Requests that arrive shortly before clients must know of the shutdown, sent this long after SIGTERM.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(560);

/// Guards against a process that ends before the deadline of a request that waits at a node which does not answer.
#[test]
fn shutdown_answers_a_late_request_at_a_node_that_hangs() {
    let mut cluster = Cluster::start();
    let (mut client, mut node) = cluster.run_one(5, "one");
    cluster.controller.signal("-TERM");
    std::thread::sleep(LATE_REQUEST_DELAY);
    client.request(6, "one");
    // The node passes connection tests and answers nothing else.
    let node = std::thread::spawn(move || {
        while let Some(message) = node.next() {
            if message.kind == MessageKind::Test {
                node.send(&tested(message.id));
            }
        }
    });
    let answer = client.receive();
    assert_eq!(answer, Message::release(6, cause::CUT));
    assert!(cluster.controller.exit_status().success());
    node.join().expect("the node failed");
}

/// Guards against a request that arrives after the request window and is unanswered at the earliest possible kill, which
/// comes before its deadline and before that of a request from within the window.
#[test]
fn shutdown_answers_a_request_from_after_the_request_window_first() {
    let mut cluster = Cluster::start();
    let (mut client, mut node) = cluster.run_one(5, "one");
    cluster.controller.signal("-TERM");
    client.request(6, "one");
    std::thread::sleep(SHUTDOWN_TIME);
    client.request(7, "one");
    let node = std::thread::spawn(move || {
        while let Some(message) = node.next() {
            if message.kind == MessageKind::Test {
                node.send(&tested(message.id));
            }
        }
    });
    let answered = [client.receive(), client.receive()];
    let expected = [7, 6].map(|id| Message::release(id, cause::CUT));
    assert_eq!(answered, expected);
    assert!(cluster.controller.exit_status().success());
    node.join().expect("the node failed");
}

/// Guards against a process that ends before the deadline of a request that waits because all nodes are full.
#[test]
fn shutdown_answers_a_late_request_while_all_nodes_are_full() {
    let mut cluster = Cluster::start();
    let (mut client, first_connection) = cluster.run_one(5, "one");
    cluster.controller.signal("-TERM");
    std::thread::sleep(LATE_REQUEST_DELAY);
    for id in 6..9 {
        client.request(id, "one");
    }
    std::thread::spawn(move || reject_all(first_connection));
    let listener = cluster
        .node
        .0
        .try_clone()
        .expect("cannot clone the listener");
    listener
        .set_nonblocking(false)
        .expect("cannot set the blocking mode");
    // Each further attempt of a request uses a new connection. The thread ends with the test process.
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            std::thread::spawn(move || reject_all(Peer::new(stream)));
        }
    });
    for _ in 6..9 {
        let answer = client.receive();
        assert_eq!(answer.cause(), Some(cause::TURNED_AWAY), "{answer:?}");
    }
    assert!(cluster.controller.exit_status().success());
}

/// As a full node: passes connection tests and rejects all requests.
fn reject_all(mut node: Peer) {
    while let Some(message) = node.next() {
        match message.kind {
            MessageKind::Test => node.send(&tested(message.id)),
            MessageKind::SetUp => node.send(&Message::release(message.id, cause::FULL)),
            _ => {}
        }
    }
}

/// Guards against a node list that stands still during a shutdown because SIGHUP is not handled.
#[test]
fn shutdown_follows_the_journal_service_to_another_address() {
    let cluster = Cluster::start();
    let (mut client, mut node) = cluster.request_one(5, "one");
    cluster.controller.signal("-TERM");
    let other_journal = Listener::new();
    let entries = [list_entry("a", cluster.node.address(), "active")];
    cluster
        .controller
        .configure(&config(other_journal.address(), &entries, SOCKETS));
    let (_journal, call) = other_journal.accept_call();
    assert_eq!(call, "tail 1");
    node.accept_task(5, b"x");
    assert_eq!(client.receive().id, 5);
}
