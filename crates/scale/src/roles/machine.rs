//! A machine's side: connections, messages and bytes that it sees of all schedulers.
//!
//! What a scheduler of the platform sends is counted on one of them in simulated time; each of `at.schedulers` is taken
//! to do the same, evenly over the machines. Points of at most [`NODES`] machines are of the DRMAA front: a controller
//! and stand-in nodes as they are, on loopback.

use crate::roles::{Role, rising};
use crate::row::{At, Axis, Measure};
use crate::{hollow, standins};
use anyhow::Result;

/// The role.
pub const ROLE: Role = Role {
    name: "machine",
    hollow: true,
    sweeps,
    measure,
};

/// Stand-in nodes, at most.
pub const NODES: u64 = 64;

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    let points = if quick { 5 } else { 7 };
    let along =
        |axis: Axis, sizes: Vec<u64>| (axis, sizes.into_iter().map(|n| axis.at(n)).collect());
    vec![
        along(Axis::Machines, rising(400, 13_000, points)),
        along(Axis::Schedulers, rising(16, 530, points)),
        along(Axis::Starts, rising(5, 320, points)),
        along(Axis::Standing, rising(10, 1000, points)),
        along(Axis::Machines, rising(4, 32, 4)),
    ]
}

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    if at.machines <= NODES {
        return node(at, if quick { 20 } else { 200 });
    }
    let (starts, seconds) = if quick { (200, 10) } else { (1000, 30) };
    let crossed = hollow::play(at, starts)?;
    let each = |total: u64| total as f64 / starts as f64;
    // Starts a second at one machine, of all schedulers together.
    let seen = (at.schedulers * at.starts) as f64 / at.machines as f64;
    let (messages, bytes) = (each(crossed.hosts.messages), each(crossed.hosts.bytes));
    // Schedulers that have a machine's task stand there test the connection; for each machine, of all schedulers.
    let still = hollow::stand(at, seconds)?;
    let all = at.schedulers as f64 / (seconds * at.machines) as f64;
    let open = (crossed.links * at.schedulers) as f64 / at.machines as f64;
    Ok(vec![
        Measure::counted("wire_messages_per_start", "messages", messages),
        Measure::counted("wire_bytes_per_start", "bytes", bytes),
        Measure::counted(
            "wire_standing_messages",
            "messages/s",
            still.hosts.messages as f64 * all,
        ),
        Measure::counted(
            "wire_standing_bytes",
            "bytes/s",
            still.hosts.bytes as f64 * all,
        ),
        Measure::counted("wire_dials_per_start", "count", each(crossed.dials)),
        Measure::counted("wire_messages", "messages/s", messages * seen),
        Measure::counted("wire_bytes", "bytes/s", bytes * seen),
        // Means over the machines, after the starts that were played.
        Measure::counted("wire_connections", "count", open),
    ])
}

/// A controller's greetings and frames, as its nodes see them.
fn node(at: &At, jobs: u64) -> Result<Vec<Measure>> {
    let wires = standins::play(at.machines as usize, jobs)?;
    let [greeted, ended] = wires.nodes;
    let each = |after: u64, before: u64| (after - before) as f64 / wires.placed as f64;
    let greeting = |total: u64| total as f64 / greeted.connections.max(1) as f64;
    Ok(vec![
        Measure::counted(
            "node_connections",
            "count",
            greeted.connections as f64 / at.machines as f64,
        ),
        Measure::counted(
            "node_greeting_messages",
            "messages",
            greeting(greeted.traffic.messages),
        ),
        Measure::counted(
            "node_greeting_bytes",
            "bytes",
            greeting(greeted.traffic.bytes),
        ),
        Measure::counted(
            "node_messages_per_start",
            "messages",
            each(ended.traffic.messages, greeted.traffic.messages),
        ),
        Measure::counted(
            "node_bytes_per_start",
            "bytes",
            each(ended.traffic.bytes, greeted.traffic.bytes),
        ),
    ])
}
