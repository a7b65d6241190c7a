//! A soak with clients that lose their connections again and again, beside clients that do not read, while nodes die. Each
//! task that was answered must be notified as ended, on whatever connection its client has by then.
//!
//! The sequence of faults follows from a seed. `SOAK_SECONDS` sets the duration, `SOAK_SEED` the seed.

use crate::node::Node;
use crate::record::NodeRecord;
use crate::support::configuration::{Configuration, SETTINGS, list_entry, replaced};
use crate::support::journal_service::JournalService;
use crate::support::peer::{request_with_attributes, test};
use crate::support::process::Controller;
use bytes::BytesMut;
use peppercove_platform::wire::{Message, MessageKind, cause, code, decode};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

const DEFAULT_SECONDS: u64 = 45;
const DEFAULT_SEED: u64 = 1;
const OWNERS: u64 = 12;
const UNREAD_CLIENTS: u64 = 150;
const NODES: usize = 5;
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 256;
/// Time between the deaths of two nodes.
const NODE_LIFETIME: Duration = Duration::from_secs(6);
/// Maximum time between the end of a task and its notification, if the client is connected by then.
const MAX_NOTIFICATION_TIME: Duration = Duration::from_secs(8);
/// Receive buffer of clients that do not read, in bytes.
const SMALL_RECEIVE_BUFFER: u32 = 2048;

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name);
    value.map_or(default, |value| value.parse().expect("expected a number"))
}

/// What a client knows of its tasks.
#[derive(Default)]
struct Tasks {
    /// Descriptions of the tasks that were answered as running, by the id of the request.
    running: BTreeMap<u64, Vec<u8>>,
    answered: BTreeSet<u64>,
    ended: BTreeSet<u64>,
    faults: Vec<String>,
}

impl Tasks {
    /// Records a message of a connection, on which `received` has arrived before.
    fn on_message(&mut self, received: &mut BTreeSet<(u8, u64)>, message: &Message) {
        let is_own = self.answered.contains(&message.id);
        let is_repeated = !received.insert((message.kind as u8, message.id));
        if is_repeated && message.kind != MessageKind::Tested {
            self.faults
                .push(format!("{message:?} twice on a connection"));
        }
        match message.kind {
            MessageKind::Answer if is_own => self.faults.push(format!("{message:?} again")),
            MessageKind::Answer => {
                self.answered.insert(message.id);
                let description = message.get(code::DESCRIPTION).unwrap_or_default();
                self.running.insert(message.id, description.to_vec());
            }
            MessageKind::Release => {
                self.running.remove(&message.id);
                self.ended.insert(message.id);
            }
            _ => {}
        }
    }
}

/// A client that loses its connection from time to time, and comes back in different ways.
struct Owner {
    number: u64,
    controller: SocketAddr,
    rng: fastrand::Rng,
    next_id: u64,
    tasks: Rc<RefCell<Tasks>>,
    /// When the clients stop sending requests.
    stops_at: Instant,
}

impl Owner {
    async fn run(mut self) {
        loop {
            let Ok(stream) = TcpStream::connect(self.controller).await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            self.use_connection(stream).await;
            // The time without a connection is shorter than that for which notifications are kept.
            sleep(Duration::from_millis(self.rng.u64(0..3000))).await;
        }
    }

    /// Uses a connection until it is lost. A third of them are used for requests, a third for a test alone, and the
    /// others for nothing.
    async fn use_connection(&mut self, mut stream: TcpStream) {
        let lost_at = Instant::now() + Duration::from_millis(self.rng.u64(100..4000));
        let usage = self.rng.u8(0..3);
        let (mut buffer, mut received) = (BytesMut::new(), BTreeSet::new());
        if usage == 1 && stream.write_all(&test(1).encode()).await.is_err() {
            return;
        }
        while Instant::now() < lost_at || Instant::now() >= self.stops_at {
            if usage == 0 && Instant::now() < self.stops_at {
                let request = self.next_request();
                if stream.write_all(&request.encode()).await.is_err() {
                    return;
                }
            }
            let pause = Duration::from_millis(self.rng.u64(20..200));
            match tokio::time::timeout(pause, stream.read_buf(&mut buffer)).await {
                Ok(Ok(1..)) => {
                    while let Some(message) = decode(&mut buffer).expect("cannot decode a message")
                    {
                        self.tasks.borrow_mut().on_message(&mut received, &message);
                    }
                }
                Ok(_) => return,
                Err(_) => {}
            }
        }
    }

    fn next_request(&mut self) -> Message {
        self.next_id += 1;
        let service = self.rng.u64(1..40);
        let attributes = format!("cores:0.5;memory:1;service:{service:016x}");
        request_with_attributes(self.number << 32 | self.next_id, &attributes)
    }
}

/// Opens connections, sends on them, and never reads.
async fn send_without_reading(controller: SocketAddr, mut rng: fastrand::Rng) {
    loop {
        let socket = TcpSocket::new_v4().expect("cannot create a socket");
        socket
            .set_recv_buffer_size(SMALL_RECEIVE_BUFFER)
            .expect("cannot set the size of the buffer");
        if let Ok(mut stream) = socket.connect(controller).await {
            let id = 1 << 60 | rng.u64(0..1 << 40);
            let request = request_with_attributes(id, "cores:0.5;memory:1;service:ff");
            let withdrawn = [request, Message::release(id, cause::ORDINARY)];
            let sent: Vec<u8> = match rng.u8(0..3) {
                0 => withdrawn.iter().flat_map(Message::encode).collect(),
                1 => test(1).encode().to_vec(),
                _ => Vec::new(),
            };
            let _ = stream.write_all(&sent).await;
            sleep(Duration::from_millis(rng.u64(500..6000))).await;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// The nodes, of which one after the other dies and is replaced.
struct Nodes {
    alive: Vec<Node>,
    started: usize,
    record: Rc<RefCell<NodeRecord>>,
}

impl Nodes {
    async fn start() -> Nodes {
        let mut nodes = Nodes {
            alive: Vec::new(),
            started: 0,
            record: Rc::default(),
        };
        for _ in 0..NODES {
            nodes.add().await;
        }
        nodes
    }

    async fn add(&mut self) -> &Node {
        let name = format!("h{}", self.started);
        self.started += 1;
        let node = Node::start(&name, 1, self.record.clone()).await;
        self.alive.push(node);
        &self.alive[self.alive.len() - 1]
    }

    /// Lets the oldest node die. The list shows its replacement at once, and its departure later.
    async fn replace_oldest(&mut self, journal: &JournalService) {
        let oldest = self.alive.remove(0);
        oldest.die();
        journal.publish_node(
            Duration::from_secs(1),
            &oldest.name,
            oldest.addresses[0],
            "left",
        );
        let node = self.add().await;
        journal.publish_node(Duration::ZERO, &node.name, node.addresses[0], "active");
    }

    fn runs(&self, description: &[u8]) -> bool {
        self.alive.iter().any(|node| node.runs(description))
    }
}

async fn start_controller(nodes: &Nodes) -> (Controller, JournalService) {
    let entry = |node: &Node| list_entry(&node.name, node.addresses[0], "active");
    let journal = JournalService::start(nodes.alive.iter().map(entry).collect()).await;
    let settings = replaced(
        SETTINGS,
        r#""dial-timeout":5000000"#,
        r#""dial-timeout":250000"#,
    );
    let configuration = Configuration {
        name: "c0",
        journal: journal.address,
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
        known: journal.known(),
        settings: &settings,
    };
    let controller = Controller::start_with("c0", &configuration.text());
    (controller, journal)
}

/// Tasks that have ended at their node, and of whose end their clients do not know.
fn missing_ends(tasks: &[Rc<RefCell<Tasks>>], nodes: &Nodes) -> Vec<u64> {
    let mut missing = Vec::new();
    for tasks in tasks {
        for (id, description) in &tasks.borrow().running {
            if !nodes.runs(description) {
                missing.push(*id);
            }
        }
    }
    missing
}

async fn soak(duration: Duration, seed: u64) {
    let mut nodes = Nodes::start().await;
    let (mut controller, journal) = start_controller(&nodes).await;
    let stops_at = Instant::now() + duration;
    let mut owners = Vec::new();
    for number in 1..=OWNERS {
        let owner = Owner {
            number,
            controller: controller.address,
            rng: fastrand::Rng::with_seed(seed << 16 | number),
            next_id: 0,
            tasks: Rc::default(),
            stops_at,
        };
        owners.push(owner.tasks.clone());
        spawn_local(owner.run());
    }
    for number in 0..UNREAD_CLIENTS {
        let rng = fastrand::Rng::with_seed(seed << 16 | 1 << 8 | number);
        spawn_local(send_without_reading(controller.address, rng));
    }
    while Instant::now() + NODE_LIFETIME < stops_at {
        sleep(NODE_LIFETIME).await;
        nodes.replace_oldest(&journal).await;
    }
    // From now on the clients keep the connections that they open.
    sleep(stops_at.saturating_duration_since(Instant::now())).await;
    sleep(MAX_NOTIFICATION_TIME * 2).await;
    // A task may end just now.
    let missing = missing_ends(&owners, &nodes);
    sleep(MAX_NOTIFICATION_TIME).await;
    let still_missing = missing_ends(&owners, &nodes);
    let lost: Vec<&u64> = missing
        .iter()
        .filter(|id| still_missing.contains(id))
        .collect();
    let (answered, ended) = owners.iter().fold((0, 0), |(answered, ended), tasks| {
        let tasks = tasks.borrow();
        let own_ends = tasks.ended.intersection(&tasks.answered).count();
        (answered + tasks.answered.len(), ended + own_ends)
    });
    let peak_kib = controller.peak_memory_kib();
    println!(
        "seed {seed}: {answered} tasks answered, {ended} ended, {} ends lost, peak {peak_kib} KiB",
        lost.len()
    );
    for tasks in &owners {
        assert_eq!(tasks.borrow().faults, [] as [String; 0]);
    }
    assert!(lost.is_empty(), "no end was received for {lost:x?}");
    assert!(controller.is_alive(), "the controller has exited");
    assert!(peak_kib < MEMORY_MB * 1024, "the peak was {peak_kib} KiB");
    assert!(ended > 100, "only {ended} of {answered} tasks have ended");
}

/// Guards against ends that are lost with the connections of their clients, or sent twice on one of them.
#[test]
fn ends_reach_clients_that_lose_their_connections_while_others_do_not_read() {
    let duration = Duration::from_secs(variable("SOAK_SECONDS", DEFAULT_SECONDS));
    let seed = variable("SOAK_SEED", DEFAULT_SEED);
    peppercove_test_support::loopback::run_local(soak(duration, seed));
}
