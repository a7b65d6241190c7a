//! The inputs that the platform gives a controller, in its wire format: list entries, list events, a configuration and
//! messages.

use crate::row::Sizes;
use peppercove_platform::wire::{Message, MessageKind, code};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;

/// File descriptors granted to a controller: the platform's limit on scored days.
const DESCRIPTOR_LIMIT: u64 = 1024;
/// Memory granted to a controller, in megabytes: the platform's limit on scored days.
pub const MEMORY_LIMIT_MB: u64 = 192;
/// Length in bytes of a task description, in requests of clients and in answers of nodes.
pub const DESCRIPTION_BYTES: usize = 200;

/// Zone names.
const ZONES: [&str; 3] = ["east", "west", "north"];
/// Nodes per rack.
const NODES_PER_RACK: u64 = 40;
/// Number of services that tasks belong to.
const SERVICES: u64 = 40;
/// The address of node 0, 10.1.0.0.
const FIRST_NODE_ADDRESS: u32 = 0x0a01_0000;
/// The port of nodes.
const NODE_PORT: u16 = 5070;

/// Returns the address of node `number` in a cluster of the platform.
pub fn node_address(number: u64) -> SocketAddr {
    (
        Ipv4Addr::from(FIRST_NODE_ADDRESS + number as u32),
        NODE_PORT,
    )
        .into()
}

/// Returns the complete list entry of a node as the journal service writes it.
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

/// Returns the entries of the nodes with these numbers, at the addresses of [`node_address`].
pub fn node_entries(numbers: Range<u64>) -> Vec<Value> {
    numbers
        .map(|number| node_entry(number, node_address(number)))
        .collect()
}

/// Returns a list event of the journal service, without the line terminator.
pub fn list_event(position: u64, is_full: bool, nodes: &[Value]) -> Value {
    let update = json!({"version": position, "full": is_full, "servers": nodes});
    json!({"pos": position, "hosts": update})
}

/// Returns the configuration of one of `sizes.schedulers` controllers, whose first list event contains `nodes`.
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

/// Returns settings with the classes, tenants and schedulers of a point.
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

/// Returns the part of the settings that only this controller reads.
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

/// Returns a client's request to place a task, with a description of [`DESCRIPTION_BYTES`] bytes.
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

/// Returns a node's answer that a task runs, with a description of [`DESCRIPTION_BYTES`] bytes.
pub fn running_message(id: u64) -> Message {
    Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, &[b'h'; DESCRIPTION_BYTES])
}

/// Returns the answer to a connection test that succeeds.
pub fn tested_message(id: u64) -> Message {
    Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1])
}
