//! What tests of the desk share: bounds, names and messages.
#![allow(dead_code, reason = "each test takes what it needs")]

use bytes::{Bytes, BytesMut};
use peppercove::Micros;
use peppercove::adapter_protocol::RecordSchema;
use peppercove_platform::Bounds;
use peppercove_platform::endpoint_watch::{EndpointEvent, LineDecoder, WatchLine};
use peppercove_platform::wire::{Message, MessageKind, code, decode};

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;
/// Owners' wait in the tests' set-ups.
pub const WAIT: Micros = 4 * S;

pub fn bounds() -> Bounds {
    Bounds {
        open_requests: 50,
        open_requests_per_client: 5,
        running_tasks: 50,
        connections_per_node: 1,
        connections: 53,
        node_connections: 3,
        client_connections: 100,
        send_buffer_bytes: 1 << 16,
        health_check_interval: 500 * MS,
        health_check_timeout: S,
        unreachable_timeout: 4 * S,
        notification_retention: 8 * S,
        ambiguity_timeout: 500 * MS,
    }
}

pub fn shape() -> RecordSchema {
    let names = |n: &[&str]| n.iter().map(|x| (*x).to_owned()).collect();
    RecordSchema {
        load_fields: names(&["x0", "x1", "cpu", "waiting"]),
        has_free_capacity: true,
        classes: names(&["plain", "keyed", "once"]),
        kinds: names(&["std"]),
        zones: names(&["east"]),
        dial_timeout: 250 * MS,
    }
}

pub fn entry(text: &str) -> EndpointEvent {
    match LineDecoder::new(usize::MAX).next(&mut BytesMut::from(format!("{text}\n").as_str())) {
        Ok(Some(WatchLine::Event(entry))) => entry,
        other => panic!("{other:?}"),
    }
}

pub fn host(id: &str, port: u16, state: &str, started_ms: u64) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"east\",\"kind\":\"std\",\"cell\":1,\
         \"state\":\"{state}\",\"weight\":1,\"started_ms\":{started_ms},\"room\":[9,9]}}"
    )
}

pub fn event(pos: u64, full: bool, hosts: &[String]) -> EndpointEvent {
    entry(&format!(
        "{{\"pos\":{pos},\"hosts\":{{\"version\":{pos},\"full\":{full},\"servers\":[{}]}}}}",
        hosts.join(",")
    ))
}

pub fn set_up(id: u64, class: &str) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, class.as_bytes())
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::KEY, b"00ff")
        .with(code::FIGURES, b"cores:1;memory:2;service:00000000000000aa")
        .with(code::DESCRIPTION, b"v=0 \xff opaque")
}

pub fn read(frame: &Bytes) -> Message {
    decode(&mut BytesMut::from(&frame[..]))
        .expect("readable")
        .expect("whole")
}
