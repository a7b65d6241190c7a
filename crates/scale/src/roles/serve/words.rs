//! What is said around a hollow instance: its settings, the text of the list, and set-ups.

use crate::load::{Cluster, SECOND};
use crate::row::At;
use peppercove::PlacementRequest;
use peppercove::adapter_protocol::RecordSchema;
use peppercove_platform::config::{Config, InitialEndpoints, Limits};
use peppercove_platform::wire::{Message, MessageKind, code};
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Bytes of a description, which nobody on the way reads.
pub const DESCRIPTION: [u8; 256] = [b'd'; 256];

fn shape(at: &At) -> RecordSchema {
    let names = |letter: char, n: u64| (0..n).map(|i| format!("{letter}{i}")).collect();
    RecordSchema {
        load_fields: ["x0", "x1", "cpu", "waiting"].map(str::to_owned).to_vec(),
        has_free_capacity: true,
        classes: names('c', at.classes),
        kinds: names('k', 1),
        zones: names('z', 44),
        dial_timeout: SECOND / 4,
    }
}

/// The configuration of the instance.
pub fn config(cluster: &Cluster) -> Config {
    let nowhere = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
    Config {
        name: "hollow".to_owned(),
        listen: nowhere,
        seed: 1,
        // Bounds that no size of the sweeps meets.
        limits: Limits {
            cores: 1.0,
            memory_mb: 4 << 10,
            sockets: 1 << 17,
        },
        journal: nowhere,
        known: InitialEndpoints {
            pos: 0,
            entries: Vec::new(),
        },
        settings: cluster.settings(),
        shape: shape(&cluster.at),
    }
}

fn name(i: u64) -> String {
    format!("host-{i:06}")
}

/// Where a host listens.
pub fn address(i: u64) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::from_bits((10 << 24) + i as u32)),
        7_000,
    )
}

/// The host that listens there.
pub fn host_of(address: SocketAddr) -> u64 {
    match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits() & 0x00ff_ffff),
        IpAddr::V6(_) => 0,
    }
}

/// Ids on the wire are no small numbers.
pub fn wire_id(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1
}

/// The text of a list event, with its end of line.
pub fn event(
    cluster: &mut Cluster,
    pos: u64,
    full: bool,
    hosts: impl Iterator<Item = u64>,
) -> String {
    let mut text = format!(
        "{{\"pos\":{0},\"hosts\":{{\"version\":{0},\"full\":{full},\"servers\":[",
        pos
    );
    for (n, i) in hosts.enumerate() {
        let ((rack, zone), [cores, memory]) = (Cluster::place(i), cluster.free(i));
        let comma = if n > 0 { "," } else { "" };
        let (name, address) = (name(i), address(i));
        // Writing to a string fails never.
        let _ = write!(
            text,
            "{comma}{{\"id\":\"{name}\",\"addr\":\"{address}\",\"zone\":\"z{zone}\",\"kind\":\"k0\",\"cell\":{rack},\
             \"state\":\"active\",\"weight\":1,\"started_ms\":0,\"room\":[{cores:.2},{memory:.2}]}}"
        );
    }
    text.push_str("]}}\n");
    text
}

/// A set-up, or the word that its task stands at a host already.
pub fn set_up(id: u64, ask: &PlacementRequest, at: Option<u64>) -> Message {
    let PlacementRequest {
        class,
        service,
        cores,
        memory,
        task,
        ..
    } = ask;
    let mut figures = format!(
        "cores:{cores:.3};memory:{memory:.3};service:{:016x}",
        service.0
    );
    if let Some(host) = at {
        figures.push_str(&format!(";at:{}", name(host)));
    }
    let message = Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, format!("c{class}").as_bytes())
        .with(code::WAIT, b"5000")
        .with(code::TASK, format!("{:016x}", task.0).as_bytes())
        .with(code::KEY, format!("{:016x}", task.0).as_bytes())
        .with(code::FIGURES, figures.as_bytes());
    if at.is_some() {
        message
    } else {
        message.with(code::DESCRIPTION, &DESCRIPTION)
    }
}
