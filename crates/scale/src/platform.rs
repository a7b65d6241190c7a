//! What the platform hands a controller: hosts, events and a configuration, in the words of its page.

use crate::row::At;
use peppercove_platform::wire::{Message, MessageKind, code};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};

/// Descriptors and megabytes that a controller is granted; the platform's limits on scored days.
pub const GRANTED: (u64, u64) = (1024, 192);
/// Names of the zones.
const ZONES: [&str; 3] = ["east", "west", "north"];

/// Where the host of this number listens in a cluster of the platform.
pub fn address(number: u64) -> SocketAddr {
    (Ipv4Addr::from(0x0a01_0000 + number as u32), 5070).into()
}

/// A whole line of the list on one host, as the journal service words it.
pub fn host(number: u64, address: SocketAddr) -> Value {
    json!({
        "id": format!("s-{number:08x}"), "addr": address, "zone": ZONES[number as usize % ZONES.len()], "kind": "std",
        "cell": number / 40, "state": "active", "weight": 4, "started_ms": 0, "room": [32.0, 64.0],
    })
}

/// Hosts of these numbers, at the addresses of [`address`].
pub fn hosts(numbers: std::ops::Range<u64>) -> Vec<Value> {
    numbers.map(|n| host(n, address(n))).collect()
}

/// An event of the journal service, without the end of its line.
pub fn event(pos: u64, full: bool, hosts: &[Value]) -> Value {
    json!({"pos": pos, "hosts": {"version": pos, "full": full, "servers": hosts}})
}

/// The configuration of one of `at.schedulers` controllers, with `hosts` known from the first event.
pub fn config(at: &At, journal: SocketAddr, hosts: &[Value]) -> String {
    let known = json!({"pos": 1, "entries": [event(1, true, hosts)]});
    let (sockets, memory) = GRANTED;
    let text = json!({
        "name": "c1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "journal": journal, "known": known,
        "limits": {"cores": 1.0, "memory_mb": memory, "sockets": sockets}, "settings": settings(at),
    });
    text.to_string()
}

/// Settings with the classes, tenants and schedulers of a point.
pub fn settings(at: &At) -> Value {
    fn each<T: Clone>(at: &At, value: T) -> Vec<T> {
        vec![value; at.classes as usize]
    }
    let classes = (0..at.classes).map(|i| {
        let repeat = ["idempotent", "deduplicated", "at_most_once"][i as usize % 3];
        json!({"name": class(i), "deadline": 4_000_000, "group": "cell", "objective": 900_000, "repeat": repeat,
            "window": 3_000_000, "worth": 1.0})
    });
    let tenants = (0..at.tenants)
        .map(|i| json!({"name": format!("tenant-{i}"), "quota-per-s": 2.0, "share": 1.0}));
    json!({
        "areas": ZONES, "flavors": ["std"], "fleet-size": at.schedulers, "registry-mode": "pushed", "tick": 2000,
        "classes": classes.collect::<Vec<_>>(), "tenants": tenants.collect::<Vec<_>>(),
        "caps": {"dial-timeout": 250_000, "max-attempts": 3, "may-cancel": true, "may-duplicate": false},
        "guarantees": {"answer-slack": 5000, "ask-every": 10_000_000, "cold-from": 0.2, "fall-multiple": 2.5,
            "stop-sending-within": 250_000, "tip-after": 2_000_000, "warm-within": 9_000_000},
        "report": {"fields": ["x0", "x1"]},
        "specifics": {"accepts-memory": 1.5, "admit-cores": 2.0, "apart-by": each(at, "off"), "class-calm": each(at, 1.0),
            "class-fade": each(at, 1.0), "class-kind": each(at, -1), "class-most": each(at, 9), "cold-bears": 28.0,
            "confirms": "running", "makes-room": false, "make-sure": 3_000_000, "mean-memory": 2.0,
            "memory-by-kind": [64.0], "priority-by-class": each(at, 1), "report-counts": "asked", "size-cores": [32.0],
            "start-seconds": each(at, 5.0), "tenant-quota-cores": vec![40.0; at.tenants as usize], "usual-cores": 1.0,
            "view": true},
    })
}

/// Name of a class.
pub fn class(number: u64) -> String {
    format!("class-{number}")
}

/// A task's set-up as its owner sends it, with a description of `description` bytes.
pub fn set_up(at: &At, id: u64, description: usize) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, class(id % at.classes.max(1)).as_bytes())
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::KEY, format!("{id:032x}").as_bytes())
        .with(
            code::FIGURES,
            format!("cores:1;memory:2;service:{:016x}", id % 40).as_bytes(),
        )
        .with(code::DESCRIPTION, &vec![b'd'; description])
}
