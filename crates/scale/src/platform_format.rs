//! What the platform hands a controller, in its own words: list entries, events, a configuration and requests.

use crate::row::Sizes;
use peppercove_platform::wire::{Message, MessageKind, code};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;

/// Descriptors that a controller is granted: the platform's limit on scored days.
const DESCRIPTOR_LIMIT: u64 = 1024;
/// Megabytes that a controller is granted: the platform's limit on scored days.
pub const MEMORY_LIMIT_MB: u64 = 192;
/// Bytes of a description of a task, a client's and a node's.
pub const DESCRIPTION_BYTES: usize = 200;

/// Names of the zones.
const ZONES: [&str; 3] = ["east", "west", "north"];
/// Nodes in one rack.
const NODES_PER_RACK: u64 = 40;
/// Services that tasks are of.
const SERVICES: u64 = 40;
/// The first address of nodes, 10.1.0.0.
const FIRST_NODE_ADDRESS: u32 = 0x0a01_0000;
/// Where nodes listen.
const NODE_PORT: u16 = 5070;

/// Where node `number` listens in a cluster of the platform.
pub fn node_address(number: u64) -> SocketAddr {
    (
        Ipv4Addr::from(FIRST_NODE_ADDRESS + number as u32),
        NODE_PORT,
    )
        .into()
}

/// The complete list entry of a node, as the journal service writes it.
pub fn node_entry(number: u64, address: SocketAddr) -> Value {
    json!({
        "id": format!("s-{number:08x}"),
        "addr": address,
        "zone": ZONES[number as usize % ZONES.len()],
        "kind": "std",
        "cell": number / NODES_PER_RACK,
        "state": "active",
        "weight": 4,
        "started_ms": 0,
        "room": [32.0, 64.0],
    })
}

/// The entries of nodes of these numbers, at the addresses of [`node_address`].
pub fn node_entries(numbers: Range<u64>) -> Vec<Value> {
    numbers
        .map(|number| node_entry(number, node_address(number)))
        .collect()
}

/// An event of the journal service, without the end of its line.
pub fn list_event(position: u64, is_full: bool, nodes: &[Value]) -> Value {
    let update = json!({"version": position, "full": is_full, "servers": nodes});
    json!({"pos": position, "hosts": update})
}

/// The configuration of one of `sizes.schedulers` controllers, with `nodes` known from the first event.
pub fn config(sizes: &Sizes, journal: SocketAddr, nodes: &[Value]) -> String {
    let known = json!({"pos": 1, "entries": [list_event(1, true, nodes)]});
    let limits = json!({
        "cores": 1.0,
        "memory_mb": MEMORY_LIMIT_MB,
        "sockets": DESCRIPTOR_LIMIT,
    });
    let config = json!({
        "name": "c1",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "journal": journal,
        "known": known,
        "limits": limits,
        "settings": settings(sizes),
    });
    config.to_string()
}

/// Settings with the classes, tenants and schedulers of a point.
pub fn settings(sizes: &Sizes) -> Value {
    let tenants = (0..sizes.tenants)
        .map(|i| json!({"name": format!("tenant-{i}"), "quota-per-s": 2.0, "share": 1.0}));
    let caps = json!({
        "dial-timeout": 250_000,
        "max-attempts": 3,
        "may-cancel": true,
        "may-duplicate": false,
    });
    let guarantees = json!({
        "answer-slack": 5000,
        "ask-every": 10_000_000,
        "cold-from": 0.2,
        "fall-multiple": 2.5,
        "stop-sending-within": 250_000,
        "tip-after": 2_000_000,
        "warm-within": 9_000_000,
    });
    json!({
        "areas": ZONES,
        "flavors": ["std"],
        "fleet-size": sizes.schedulers,
        "registry-mode": "pushed",
        "tick": 2000,
        "classes": (0..sizes.classes).map(class).collect::<Vec<_>>(),
        "tenants": tenants.collect::<Vec<_>>(),
        "caps": caps,
        "guarantees": guarantees,
        "report": {"fields": ["x0", "x1"]},
        "specifics": specifics(sizes),
    })
}

fn class(i: u64) -> Value {
    let repeat = ["idempotent", "deduplicated", "at_most_once"][i as usize % 3];
    json!({
        "name": class_name(i),
        "deadline": 4_000_000,
        "group": "cell",
        "objective": 900_000,
        "repeat": repeat,
        "window": 3_000_000,
        "worth": 1.0,
    })
}

/// The part of the settings that only this controller reads.
fn specifics(sizes: &Sizes) -> Value {
    fn for_each_class<T: Clone>(sizes: &Sizes, value: T) -> Vec<T> {
        vec![value; sizes.classes as usize]
    }
    json!({
        "accepts-memory": 1.5,
        "admit-cores": 2.0,
        "apart-by": for_each_class(sizes, "off"),
        "class-calm": for_each_class(sizes, 1.0),
        "class-fade": for_each_class(sizes, 1.0),
        "class-kind": for_each_class(sizes, -1),
        "class-most": for_each_class(sizes, 9),
        "cold-bears": 28.0,
        "confirms": "running",
        "makes-room": false,
        "make-sure": 3_000_000,
        "mean-memory": 2.0,
        "memory-by-kind": [64.0],
        "priority-by-class": for_each_class(sizes, 1),
        "report-counts": "asked",
        "size-cores": [32.0],
        "start-seconds": for_each_class(sizes, 5.0),
        "tenant-quota-cores": vec![40.0; sizes.tenants as usize],
        "usual-cores": 1.0,
        "view": true,
    })
}

fn class_name(number: u64) -> String {
    format!("class-{number}")
}

/// A client's request to place a task, with a description of [`DESCRIPTION_BYTES`].
pub fn request_message(sizes: &Sizes, id: u64) -> Message {
    let figures = format!("cores:1;memory:2;service:{:016x}", id % SERVICES);
    Message::new(MessageKind::SetUp, id)
        .with(
            code::CLASS,
            class_name(id % sizes.classes.max(1)).as_bytes(),
        )
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::KEY, format!("{id:032x}").as_bytes())
        .with(code::FIGURES, figures.as_bytes())
        .with(code::DESCRIPTION, &[b'd'; DESCRIPTION_BYTES])
}

/// A node's answer that a task runs, with a description of [`DESCRIPTION_BYTES`].
pub fn running_message(id: u64) -> Message {
    Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, &[b'h'; DESCRIPTION_BYTES])
}

/// The answer to a test of a connection that works.
pub fn tested_message(id: u64) -> Message {
    Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1])
}
