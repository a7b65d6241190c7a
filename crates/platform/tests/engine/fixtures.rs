//! Limits, names and messages shared by the tests.

use bytes::{Bytes, BytesMut};
use peppercove::adapter_protocol::RecordSchema;
use peppercove::{Micros, NodeId};
use peppercove_platform::Bounds;
use peppercove_platform::endpoint_watch::{EndpointEvent, LineDecoder, WatchLine};
use peppercove_platform::wire::{Message, MessageKind, code, decode};

/// One second.
pub const S: Micros = 1_000_000;
/// One millisecond.
pub const MS: Micros = 1_000;
/// The client timeout of [`request`].
pub const CLIENT_TIMEOUT: Micros = 4 * S;

/// Limits low enough to be reached in tests.
pub fn bounds() -> Bounds {
    Bounds {
        open_requests: 50,
        open_requests_per_client: 5,
        running_tasks: 50,
        completions_per_batch: 100,
        connections_per_node: 1,
        connections: 53,
        node_connections: 3,
        client_connections: 100,
        send_buffer_bytes: 1 << 16,
        receive_buffer_bytes: 1 << 16,
        health_check_interval: 500 * MS,
        health_check_timeout: S,
        unreachable_timeout: 4 * S,
        notification_retention: 8 * S,
        kept_notifications: 100,
        ambiguity_timeout: 500 * MS,
    }
}

/// Names of classes, kinds and zones, and fields of load reports.
pub fn schema() -> RecordSchema {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    RecordSchema {
        load_fields: names(&["x0", "x1", "cpu", "waiting"]),
        has_free_capacity: true,
        classes: names(&["plain", "keyed", "once"]),
        kinds: names(&["std"]),
        zones: names(&["east"]),
        dial_timeout: 250 * MS,
    }
}

/// The id that controllers compute for a node's name.
pub fn node_id(name: &str) -> NodeId {
    NodeId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// A node in a list event, listening on a port of the local host.
pub fn node_json(id: &str, port: u16, state: &str, started_ms: u64) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"east\",\"kind\":\"std\",\"cell\":1,\
         \"state\":\"{state}\",\"weight\":1,\"started_ms\":{started_ms},\"room\":[9,9]}}"
    )
}

/// A list event with nodes made by [`node_json`].
pub fn list_event(pos: u64, full: bool, nodes: &[String]) -> EndpointEvent {
    let nodes = nodes.join(",");
    let line = format!(
        "{{\"pos\":{pos},\"hosts\":{{\"version\":{pos},\"full\":{full},\"servers\":[{nodes}]}}}}\n"
    );
    match LineDecoder::new(usize::MAX).next(&mut BytesMut::from(line.as_str())) {
        Ok(Some(WatchLine::Event(event))) => event,
        other => panic!("{other:?}"),
    }
}

/// A valid request with this class.
pub fn request(id: u64, class: &str) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, class.as_bytes())
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::KEY, b"00ff")
        .with(code::FIGURES, b"cores:1;memory:2;service:00000000000000aa")
        .with(code::DESCRIPTION, b"v=0 \xff opaque")
}

/// A request of class `plain` with these attributes.
pub fn request_with_attributes(id: u64, attributes: &str) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, b"plain")
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::FIGURES, attributes.as_bytes())
}

/// The messages in consecutive frames.
pub fn decode_frames(frames: &Bytes) -> Vec<Message> {
    let mut bytes = BytesMut::from(&frames[..]);
    let next = || decode(&mut bytes).expect("the frame must be decodable");
    let messages: Vec<Message> = std::iter::from_fn(next).collect();
    assert!(bytes.is_empty(), "the last frame must be complete");
    messages
}

/// The message in a frame.
pub fn decode_frame(frame: &Bytes) -> Message {
    decode(&mut BytesMut::from(&frame[..]))
        .expect("the frame must be decodable")
        .expect("the frame must be complete")
}
