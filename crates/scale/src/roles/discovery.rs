//! The `discovery` role: the lines of the endpoint list, which the journal service sends and a scheduler reads, and the
//! frames of the node list.

use crate::error::MeasureError;
use crate::platform_format::{MEMORY_LIMIT_MB, list_event, node_entries};
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, point_count, rising_sizes};
use crate::wall_time::time_repeats;
use bytes::BytesMut;
use peppercove_platform::endpoint_watch::{
    EndpointWatchError, LineDecoder, SequenceCheck, WatchLine, check_sequence, max_line_bytes,
};
use peppercove_protocol::codec::{MAX_LIST_FRAME_BYTES, MessageCodec};
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope, ToList};
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio_util::codec::{Decoder, Encoder};

/// The description of this role.
pub const ROLE: Role = Role {
    name: "discovery",
    is_hollow: true,
    sweeps,
    measure,
};

/// Read buffer size of a scheduler in bytes, as in the endpoint watch of `peppercove-serve`.
const READ_SIZE: usize = 64 << 10;

/// Points of a full run along [`Axis::Nodes`].
const NODE_POINTS: u32 = 9;

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let points = if is_quick {
        point_count(is_quick)
    } else {
        NODE_POINTS
    };
    vec![
        Sweep::along(Axis::Nodes, rising_sizes(400, 13_000, points)),
        Sweep::along(Axis::Changes, rising_sizes(1, 256, 5)),
        Sweep::along(Axis::Schedulers, rising_sizes(16, 530, 5)),
    ]
}

/// Lines of the endpoint list as sent to one scheduler.
pub struct ListLines {
    /// The first event, with the full list.
    pub full: String,
    /// An event about one changed node.
    pub change: String,
    /// A line with only the last sequence number, as sent every second.
    pub heartbeat: String,
}

impl ListLines {
    /// Returns the lines for a cluster of `nodes` nodes.
    pub fn new(nodes: u64) -> ListLines {
        ListLines {
            full: format!("{}\n", list_event(1, true, &node_entries(0..nodes))),
            change: format!("{}\n", list_event(2, false, &node_entries(0..1))),
            heartbeat: "2\n".into(),
        }
    }
}

/// A line of the endpoint list, and its position relative to the last applied event.
pub struct ReceivedLine {
    /// The line.
    pub line: WatchLine,
    /// Whether the line is to be applied.
    pub check: SequenceCheck,
}

/// Decodes a line in chunks of the size that a scheduler reads, and checks its sequence number against the last applied
/// event; `None` if the line is incomplete.
///
/// # Errors
/// [`EndpointWatchError`], on which a scheduler closes the connection.
pub fn receive_line(
    text: &str,
    last_applied: u64,
) -> Result<Option<ReceivedLine>, EndpointWatchError> {
    let mut buffer = BytesMut::new();
    let mut lines = LineDecoder::new(max_line_bytes(MEMORY_LIMIT_MB));
    for chunk in text.as_bytes().chunks(READ_SIZE) {
        buffer.extend_from_slice(chunk);
        if let Some(line) = lines.next(&mut buffer)? {
            let check = check_sequence(last_applied, &line);
            return Ok(Some(ReceivedLine { line, check }));
        }
    }
    Ok(None)
}

fn receive_complete_line(text: &str, last_applied: u64) -> Result<ReceivedLine, MeasureError> {
    let line = receive_line(text, last_applied)?;
    line.ok_or(MeasureError::Incomplete("a line of the endpoint list"))
}

/// Returns an update of the node list with `nodes` entries.
pub fn list_update(nodes: u64, scope: Scope) -> FromList {
    let entry = |i: u64| ListEntry {
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 + i as u32), 5070),
        name: format!("s-{i:08x}"),
        state: NodeState::Ready,
        kind: 0,
        rack: (i / 40) as u16,
        zone: (i % 3) as u8,
        incarnation: 1,
        age: None,
        free_cores: Some(32.0),
        free_memory: Some(64.0),
    };
    FromList::Update {
        generation: 1,
        scope,
        entries: (0..nodes).map(entry).collect(),
    }
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    let repeats = if is_quick { 5 } else { 21 };
    let lines = ListLines::new(sizes.nodes);
    let received = receive_line(&lines.full, 0);
    let is_applied =
        matches!(&received, Ok(Some(received)) if received.check == SequenceCheck::Apply);
    drop(received);
    let mut figures = line_sizes(sizes, &lines, is_applied);
    if is_applied {
        let read = || receive_complete_line(&lines.full, 0);
        figures.extend(time_repeats("list_read_time", repeats, read)?);
    }
    let read = || receive_complete_line(&lines.change, 1);
    figures.extend(time_repeats("change_read_time", repeats * 10, read)?);
    let changes = (0..sizes.changes_per_second).map(|_| lines.change.as_str());
    let one_second: Vec<&str> = changes.chain([lines.heartbeat.as_str()]).collect();
    figures.extend(time_repeats("changes_read_time", repeats, || {
        for text in &one_second {
            receive_line(text, 1)?;
        }
        Ok(())
    })?);
    figures.extend(frame_figures(sizes, repeats)?);
    Ok(figures)
}

fn line_sizes(sizes: &Sizes, lines: &ListLines, is_applied: bool) -> Vec<Figure> {
    let counted = |name, unit, figure: usize| Figure::counted(name, unit, figure as f64);
    let share_of_longest = lines.full.len() as f64 / max_line_bytes(MEMORY_LIMIT_MB) as f64;
    let bytes_per_second =
        sizes.changes_per_second as usize * lines.change.len() + lines.heartbeat.len();
    let schedulers = sizes.schedulers as usize;
    vec![
        counted("list_bytes", "bytes", lines.full.len()),
        counted("change_bytes", "bytes", lines.change.len()),
        counted("list_taken", "count", usize::from(is_applied)),
        Figure::counted("list_of_longest", "share", share_of_longest),
        counted("change_bytes_each", "bytes/s", bytes_per_second),
        counted("change_bytes_all", "bytes/s", bytes_per_second * schedulers),
        counted("list_bytes_all", "bytes", lines.full.len() * schedulers),
    ]
}

/// Returns the sizes and the encoding and decoding times of node list frames, with the codec that both ends use.
fn frame_figures(sizes: &Sizes, repeats: usize) -> Result<Vec<Figure>, MeasureError> {
    let full = list_update(sizes.nodes, Scope::Full);
    let change = list_update(1, Scope::Delta);
    let mut figures = Vec::new();
    for (name, update) in [("frame_list", &full), ("frame_change", &change)] {
        let frame = encode(update)?;
        figures.push(Figure::counted(
            &format!("{name}_bytes"),
            "bytes",
            frame.len() as f64,
        ));
        let write = || encode(update);
        figures.extend(time_repeats(&format!("{name}_write_time"), repeats, write)?);
        figures.extend(time_repeats(&format!("{name}_read_time"), repeats, || {
            let mut codec = MessageCodec::<FromList, ToList>::new(MAX_LIST_FRAME_BYTES);
            let update = codec.decode(&mut frame.clone())?;
            update.ok_or(MeasureError::Incomplete("a frame of the node list"))
        })?);
    }
    Ok(figures)
}

fn encode(update: &FromList) -> Result<BytesMut, MeasureError> {
    let mut frame = BytesMut::new();
    MessageCodec::<ToList, FromList>::new(MAX_LIST_FRAME_BYTES).encode(update, &mut frame)?;
    Ok(frame)
}
