//! Clients that send at full speed on one connection, without a pause and without regard to answers.

use crate::Cluster;
use crate::support::TIMEOUT;
use crate::support::peer::{Peer, request, request_with_attributes, test, tested};
use peppercove_platform::wire::{Message, MessageKind, cause, code};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Instant;

/// Number of different messages that a flood consists of; they are sent again and again.
const MESSAGES: u64 = 50_000;
/// The first id of a flood.
const FIRST_ID: u64 = 0xbad << 48;

/// A client that sends until it is stopped, and discards what it receives.
struct Flood {
    is_over: Arc<AtomicBool>,
    sender: JoinHandle<bool>,
}

impl Flood {
    /// Starts to send the messages that `message` makes of a number, over and over.
    fn start(address: SocketAddr, message: impl Fn(u64) -> Vec<u8>) -> Flood {
        let bytes: Vec<u8> = (0..MESSAGES).flat_map(message).collect();
        let mut stream = TcpStream::connect(address).expect("cannot connect to the controller");
        let mut answers = stream.try_clone().expect("cannot use the socket twice");
        let mut discarded = vec![0; 64 << 10];
        std::thread::spawn(move || while answers.read(&mut discarded).is_ok_and(|n| n > 0) {});
        let is_over = Arc::new(AtomicBool::new(false));
        let sender = std::thread::spawn({
            let is_over = is_over.clone();
            move || {
                let deadline = Instant::now() + TIMEOUT;
                for chunk in bytes.chunks(64 << 10).cycle() {
                    if is_over.load(Ordering::Relaxed) || Instant::now() > deadline {
                        break;
                    }
                    stream
                        .write_all(chunk)
                        .expect("the connection of the flood was closed");
                }
                is_over.load(Ordering::Relaxed)
            }
        });
        Flood { is_over, sender }
    }

    /// Stops sending. Returns false if the flood had stopped by itself, after [`TIMEOUT`].
    fn stop(self) -> bool {
        self.is_over.store(true, Ordering::Relaxed);
        self.sender.join().expect("the flood failed")
    }
}

fn flood_request(number: u64, figures: &str) -> Message {
    let id = FIRST_ID + number;
    request_with_attributes(id, &format!("cores:1;memory:2;service:{id:016x}{figures}"))
}

/// As a node: waits for the request with this id. Skips other requests, and answers connection tests.
fn receive_request(node: &mut Peer, id: u64, flood: &str) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        assert!(
            Instant::now() < deadline,
            "{flood}: {id} did not reach the node"
        );
        let message = node.next().expect("the connection was closed");
        match message.kind {
            MessageKind::Test => node.send(&tested(message.id)),
            _ if message.id == id => return,
            _ => {}
        }
    }
}

/// Guards against a client that keeps all others waiting for as long as it sends: their requests are answered, and the
/// messages of nodes and the timers handled, only when it stops. Also guards against requests that are rejected because of
/// tasks that no node runs.
#[test]
fn client_is_served_while_another_one_sends_at_full_speed() {
    type MakeMessage = fn(u64) -> Vec<u8>;
    let floods: [(&str, MakeMessage); 8] = [
        ("connection tests", |n| test(FIRST_ID + n).encode().to_vec()),
        ("messages without effect", |n| {
            Message::new(MessageKind::Progress, FIRST_ID + n)
                .encode()
                .to_vec()
        }),
        ("releases of unknown tasks", |n| {
            Message::release(FIRST_ID + n, cause::ORDINARY)
                .encode()
                .to_vec()
        }),
        ("requests of an unknown class", |n| {
            let unknown = Message::new(MessageKind::SetUp, FIRST_ID + n);
            unknown.with(code::CLASS, b"unknown").encode().to_vec()
        }),
        ("requests without an id", |_| {
            request(0, "any").encode().to_vec()
        }),
        ("withdrawn requests", |n| {
            let withdrawal = Message::release(FIRST_ID + n, cause::ORDINARY);
            [flood_request(n, "").encode(), withdrawal.encode()].concat()
        }),
        ("handovers on a listed node", |n| {
            flood_request(n, ";at:a").encode().to_vec()
        }),
        ("handovers on unlisted nodes", |n| {
            let figures = format!(";at:s-{n:08x}");
            flood_request(n, &figures).encode().to_vec()
        }),
    ];
    for (name, message) in floods {
        let cluster = Cluster::start();
        let (mut client, mut node) = cluster.run_one(5, "any");
        let flood = Flood::start(cluster.controller.address, message);
        for number in 0..10 {
            client.request(10 + number, "any");
            receive_request(&mut node, 10 + number, name);
            node.accept_task(10 + number, b"x");
            let answer = client.receive_for(10 + number);
            assert_eq!(answer.kind, MessageKind::Answer, "{name}");
        }
        assert!(
            flood.stop(),
            "{name}: served only when the flood had stopped"
        );
    }
}
