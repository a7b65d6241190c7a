//! List and events out: what the journal service sends and a scheduler reads; and the same of the node list, in frames.

use crate::platform::{GRANTED, event, hosts};
use crate::roles::{Role, rising};
use crate::row::{At, Axis, Basis, Measure};
use anyhow::{Context, Result};
use bytes::BytesMut;
use peppercove_platform::endpoint_watch::{
    self, EndpointWatchError, SequenceCheck, WatchLine, check_sequence, max_line_bytes,
};
use peppercove_protocol::codec::{MAX_LIST_FRAME_BYTES, MessageCodec};
use peppercove_protocol::list::{self, FromList, NodeState, Scope, ToList};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;
use tokio_util::codec::{Decoder, Encoder};

/// The role.
pub const ROLE: Role = Role {
    name: "discovery",
    hollow: true,
    sweeps,
    measure,
};

/// Bytes that a scheduler reads at a time (`peppercove-serve`, its feed).
const AT_ONCE: usize = 64 << 10;

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    let points = if quick { 5 } else { 9 };
    let along =
        |axis: Axis, sizes: Vec<u64>| (axis, sizes.into_iter().map(|n| axis.at(n)).collect());
    vec![
        along(Axis::Machines, rising(400, 13_000, points)),
        along(Axis::Changes, rising(1, 256, 5)),
        along(Axis::Schedulers, rising(16, 530, 5)),
    ]
}

/// Lines as one scheduler is sent them: a whole list, one machine that changed, and the number of each second.
pub struct Lines {
    /// The whole list, as the first event.
    pub whole: String,
    /// One machine that changed.
    pub change: String,
    /// The last number alone, as it comes each second.
    pub number: String,
}

/// For a cluster of so many machines.
pub fn lines(machines: u64) -> Lines {
    let whole = format!("{}\n", event(1, true, &hosts(0..machines)));
    let change = format!("{}\n", event(2, false, &hosts(0..1)));
    Lines {
        whole,
        change,
        number: "2\n".into(),
    }
}

/// Reads a line in the parts in which a scheduler reads it, and holds it against the event before.
///
/// # Errors
/// As a scheduler meets it: it ends the connection.
pub fn take(
    text: &str,
    held: u64,
) -> Result<Option<(WatchLine, SequenceCheck)>, EndpointWatchError> {
    let (mut buffer, mut lines) = (
        BytesMut::new(),
        endpoint_watch::LineDecoder::new(max_line_bytes(GRANTED.1)),
    );
    for part in text.as_bytes().chunks(AT_ONCE) {
        buffer.extend_from_slice(part);
        if let Some(line) = lines.next(&mut buffer)? {
            let step = check_sequence(held, &line);
            return Ok(Some((line, step)));
        }
    }
    Ok(None)
}

/// The list of the nodes as frames: the whole, or one node that changed.
pub fn news(nodes: u64, scope: Scope) -> FromList {
    let line = |i: u64| list::ListEntry {
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
        entries: (0..nodes).map(line).collect(),
    }
}

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    let repeats = if quick { 5 } else { 21 };
    let Lines {
        whole,
        change,
        number,
    } = lines(at.machines);
    let counted = |measure, unit, figure: usize| Measure::counted(measure, unit, figure as f64);
    let taken = matches!(take(&whole, 0), Ok(Some((_, SequenceCheck::Apply))));
    let mut out = vec![
        counted("list_bytes", "bytes", whole.len()),
        counted("change_bytes", "bytes", change.len()),
        counted("list_taken", "count", usize::from(taken)),
        Measure::counted(
            "list_of_longest",
            "share",
            whole.len() as f64 / max_line_bytes(GRANTED.1) as f64,
        ),
    ];
    let second = at.changes as usize * change.len() + number.len();
    let schedulers = at.schedulers as usize;
    out.push(counted("change_bytes_each", "bytes/s", second));
    out.push(counted("change_bytes_all", "bytes/s", second * schedulers));
    out.push(counted("list_bytes_all", "bytes", whole.len() * schedulers));
    if taken {
        out.extend(timed("list_read_time", repeats, || {
            take(&whole, 0).context("a list that was taken")
        })?);
    }
    out.extend(timed("change_read_time", repeats * 10, || {
        take(&change, 1).context("a change")
    })?);
    let second = (0..at.changes)
        .map(|_| change.as_str())
        .chain([number.as_str()])
        .collect::<Vec<_>>();
    out.extend(timed("changes_read_time", repeats, || {
        second
            .iter()
            .try_for_each(|text| take(text, 1).map(drop))
            .context("a second's changes")
    })?);
    frames(at, repeats, &mut out)?;
    Ok(out)
}

/// The same of the node list: frames of the codec that both ends share.
fn frames(at: &At, repeats: usize, out: &mut Vec<Measure>) -> Result<()> {
    let encode = |news: &FromList| {
        let mut frame = BytesMut::new();
        MessageCodec::<ToList, FromList>::new(MAX_LIST_FRAME_BYTES)
            .encode(news, &mut frame)
            .map(|()| frame)
    };
    let (whole, change) = (news(at.machines, Scope::Full), news(1, Scope::Delta));
    for (name, news) in [("frame_list", &whole), ("frame_change", &change)] {
        let frame = encode(news)?;
        out.push(Measure::counted(
            &format!("{name}_bytes"),
            "bytes",
            frame.len() as f64,
        ));
        out.extend(timed(&format!("{name}_write_time"), repeats, || {
            encode(news).context("a list")
        })?);
        out.extend(timed(&format!("{name}_read_time"), repeats, || {
            let mut link = MessageCodec::<FromList, ToList>::new(MAX_LIST_FRAME_BYTES);
            link.decode(&mut frame.clone())?.context("a whole frame")
        })?);
    }
    Ok(())
}

/// Times `work`, microseconds.
pub(crate) fn timed<T>(
    name: &str,
    repeats: usize,
    mut work: impl FnMut() -> Result<T>,
) -> Result<Option<Measure>> {
    let mut took = Vec::with_capacity(repeats);
    for _ in 0..repeats {
        let started = Instant::now();
        let done = work()?;
        took.push(started.elapsed().as_secs_f64() * 1e6);
        drop(done);
    }
    Ok(Measure::of(name, "us", Basis::Timed, took))
}
