//! The configuration, list events and messages for a hollow instance.

use crate::row::Sizes;
use crate::workload::SECOND;
use crate::workload::cluster::{Cluster, Location};
use peppercove::PlacementRequest;
use peppercove::adapter_protocol::RecordSchema;
use peppercove_platform::config::{Config, InitialEndpoints, Limits};
use peppercove_platform::wire::{Message, MessageKind, code};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A task description, which is forwarded without being parsed.
pub const DESCRIPTION: [u8; 256] = [b'd'; 256];

/// Number of zones in the configuration.
const ZONES: u64 = 44;
/// The port of nodes.
const NODE_PORT: u16 = 7_000;
/// The address of node 0, 10.0.0.0.
const FIRST_NODE_ADDRESS: u32 = 10 << 24;
/// The bits of an address that hold the node number.
const NODE_NUMBER_MASK: u32 = 0x00ff_ffff;

fn schema(sizes: &Sizes) -> RecordSchema {
    let names = |letter: char, n: u64| (0..n).map(|i| format!("{letter}{i}")).collect();
    RecordSchema {
        load_fields: ["x0", "x1", "cpu", "waiting"].map(str::to_owned).to_vec(),
        has_free_capacity: true,
        classes: names('c', sizes.classes),
        kinds: names('k', 1),
        zones: names('z', ZONES),
        dial_timeout: SECOND / 4,
    }
}

/// Returns the configuration of the instance, with limits that no sweep reaches.
pub fn config(cluster: &Cluster) -> Config {
    let unused = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
    Config {
        name: "hollow".to_owned(),
        listen: unused,
        seed: 1,
        limits: Limits {
            cores: 1.0,
            memory_mb: 4 << 10,
            sockets: 1 << 17,
        },
        journal: unused,
        initial_endpoints: InitialEndpoints {
            pos: 0,
            entries: Vec::new(),
        },
        settings: cluster.settings(),
        schema: schema(&cluster.sizes),
    }
}

fn node_name(i: u64) -> String {
    format!("host-{i:06}")
}

/// Returns the address of node `i`.
fn node_address(i: u64) -> SocketAddr {
    let ip = Ipv4Addr::from_bits(FIRST_NODE_ADDRESS + i as u32);
    SocketAddr::new(IpAddr::V4(ip), NODE_PORT)
}

/// Returns the number of the node that listens at an address.
pub fn node_at(address: SocketAddr) -> u64 {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits() & NODE_NUMBER_MASK),
        IpAddr::V6(_) => 0,
    }
}

/// Returns the wire id of the `n`-th request. Ids on the wire are large numbers that are not consecutive.
pub fn wire_id(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1
}

/// Returns a list event with the entries of these nodes, including the line terminator.
pub fn list_event(
    cluster: &mut Cluster,
    position: u64,
    is_full: bool,
    nodes: impl Iterator<Item = u64>,
) -> String {
    let mut text = format!(
        "{{\"pos\":{position},\"hosts\":{{\"version\":{position},\"full\":{is_full},\"servers\":["
    );
    for (n, i) in nodes.enumerate() {
        let Location { rack, zone } = Location::of_node(i);
        let free = cluster.free_capacity(i);
        let comma = if n > 0 { "," } else { "" };
        let (name, address) = (node_name(i), node_address(i));
        let (cores, memory) = (free.cores, free.memory);
        // Writing to a string never fails.
        let _ = write!(
            text,
            "{comma}{{\"id\":\"{name}\",\"addr\":\"{address}\",\"zone\":\"z{zone}\",\"kind\":\"k0\",\"cell\":{rack},\
             \"state\":\"active\",\"weight\":1,\"started_ms\":0,\"room\":[{cores:.2},{memory:.2}]}}"
        );
    }
    text.push_str("]}}\n");
    text
}

/// Returns a client's message: a request to place a task, or with `node` the notification that the task already runs
/// there.
pub fn request_message(id: u64, request: &PlacementRequest, node: Option<u64>) -> Message {
    let PlacementRequest {
        class,
        service,
        cores,
        memory,
        task,
        ..
    } = request;
    let mut figures = format!(
        "cores:{cores:.3};memory:{memory:.3};service:{:016x}",
        service.0
    );
    if let Some(node) = node {
        figures.push_str(&format!(";at:{}", node_name(node)));
    }
    let task = format!("{:016x}", task.0);
    let message = Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, format!("c{class}").as_bytes())
        .with(code::WAIT, b"5000")
        .with(code::TASK, task.as_bytes())
        .with(code::KEY, task.as_bytes())
        .with(code::FIGURES, figures.as_bytes());
    if node.is_some() {
        message
    } else {
        message.with(code::DESCRIPTION, &DESCRIPTION)
    }
}
