//! A client's side: messages, bytes and connections of its requests, on both fronts.
//!
//! As in [`machine`](crate::roles::machine), points of few machines are of the DRMAA front.

use crate::roles::machine::NODES;
use crate::roles::{Role, rising};
use crate::row::{At, Axis, Measure};
use crate::{hollow, standins};
use anyhow::Result;

/// The role.
pub const ROLE: Role = Role {
    name: "client",
    hollow: true,
    sweeps,
    measure,
};

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    let points = if quick { 5 } else { 7 };
    let along =
        |axis: Axis, sizes: Vec<u64>| (axis, sizes.into_iter().map(|n| axis.at(n)).collect());
    vec![
        along(Axis::Machines, rising(400, 13_000, points)),
        along(Axis::Starts, rising(5, 320, points)),
        along(Axis::Machines, rising(4, 32, 4)),
    ]
}

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    if at.machines <= NODES {
        return drmaa(at, if quick { 20 } else { 200 });
    }
    let starts = if quick { 200 } else { 1000 };
    let crossed = hollow::play(at, starts)?;
    let (messages, bytes) = (crossed.owner.messages as f64, crossed.owner.bytes as f64);
    let (each, second) = (1.0 / starts as f64, at.starts as f64 / starts as f64);
    Ok(vec![
        Measure::counted("wire_messages_per_request", "messages", messages * each),
        Measure::counted("wire_bytes_per_request", "bytes", bytes * each),
        Measure::counted("wire_messages", "messages/s", messages * second),
        Measure::counted("wire_bytes", "bytes/s", bytes * second),
        Measure::counted("wire_placed", "count", crossed.placed as f64 * each),
    ])
}

/// A session that submits a job, waits for its placing and then for its end.
fn drmaa(at: &At, jobs: u64) -> Result<Vec<Measure>> {
    let wires = standins::play(at.machines as usize, jobs)?;
    let [stands, ended] = wires.client;
    let each = |after: u64, before: u64| (after - before) as f64 / jobs as f64;
    Ok(vec![
        Measure::counted("drmaa_connections", "count", ended.connections as f64),
        Measure::counted("drmaa_session_bytes", "bytes", stands.traffic.bytes as f64),
        Measure::counted(
            "drmaa_messages_per_request",
            "messages",
            each(ended.traffic.messages, stands.traffic.messages),
        ),
        Measure::counted(
            "drmaa_bytes_per_request",
            "bytes",
            each(ended.traffic.bytes, stands.traffic.bytes),
        ),
    ])
}
