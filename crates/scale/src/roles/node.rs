//! A node's side: connections, messages and bytes that it sees of all schedulers.
//!
//! What a scheduler of the platform sends is counted on one of them in simulated time; each of the schedulers is taken to
//! do the same, evenly over the nodes. Points of at most [`MAX_FAKE_NODES`] nodes are of the DRMAA front: a controller and
//! fake nodes as they are, on loopback.

use crate::drmaa_loopback::{self, MAX_FAKE_NODES};
use crate::error::MeasureError;
use crate::hollow_scheduler;
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, point_count, rising_sizes};

/// The role.
pub const ROLE: Role = Role {
    name: "machine",
    is_hollow: true,
    sweeps,
    measure,
};

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let points = point_count(is_quick);
    vec![
        Sweep::along(Axis::Nodes, rising_sizes(400, 13_000, points)),
        Sweep::along(Axis::Schedulers, rising_sizes(16, 530, points)),
        Sweep::along(Axis::Starts, rising_sizes(5, 320, points)),
        Sweep::along(Axis::RunningTasks, rising_sizes(10, 1000, points)),
        Sweep::along(Axis::Nodes, rising_sizes(4, 32, 4)),
    ]
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    if sizes.nodes <= MAX_FAKE_NODES {
        return measure_drmaa(sizes, if is_quick { 20 } else { 200 });
    }
    let (starts, seconds) = if is_quick { (200, 10) } else { (1000, 30) };
    let counts = hollow_scheduler::run_starts(sizes, starts)?;
    let per_start = |total: u64| total as f64 / starts as f64;
    // Starts a second at one node, of all schedulers together.
    let starts_at_node = (sizes.schedulers * sizes.starts_per_second) as f64 / sizes.nodes as f64;
    let messages = per_start(counts.nodes.messages);
    let bytes = per_start(counts.nodes.bytes);
    // A scheduler tests its connection to a node that runs one of its tasks; for each node, of all schedulers.
    let idle = hollow_scheduler::run_idle(sizes, seconds)?;
    let per_node_second = sizes.schedulers as f64 / (seconds * sizes.nodes) as f64;
    // The mean over the nodes, after the starts.
    let open = (counts.open_connections * sizes.schedulers) as f64 / sizes.nodes as f64;
    let idle_messages = idle.nodes.messages as f64 * per_node_second;
    let idle_bytes = idle.nodes.bytes as f64 * per_node_second;
    Ok(vec![
        Figure::counted("wire_messages_per_start", "messages", messages),
        Figure::counted("wire_bytes_per_start", "bytes", bytes),
        Figure::counted("wire_standing_messages", "messages/s", idle_messages),
        Figure::counted("wire_standing_bytes", "bytes/s", idle_bytes),
        Figure::counted("wire_dials_per_start", "count", per_start(counts.connects)),
        Figure::counted("wire_messages", "messages/s", messages * starts_at_node),
        Figure::counted("wire_bytes", "bytes/s", bytes * starts_at_node),
        Figure::counted("wire_connections", "count", open),
    ])
}

/// The handshakes and frames of a controller, as its nodes see them.
fn measure_drmaa(sizes: &Sizes, jobs: u64) -> Result<Vec<Figure>, MeasureError> {
    let run = drmaa_loopback::run_jobs(sizes.nodes as usize, jobs)?;
    let (before, after) = (run.nodes.before_jobs, run.nodes.after_jobs);
    let per_start = |after: u64, before: u64| (after - before) as f64 / run.placed as f64;
    let per_handshake = |total: u64| total as f64 / before.connections.max(1) as f64;
    let connections = before.connections as f64 / sizes.nodes as f64;
    let messages = per_start(after.traffic.messages, before.traffic.messages);
    let bytes = per_start(after.traffic.bytes, before.traffic.bytes);
    Ok(vec![
        Figure::counted("node_connections", "count", connections),
        Figure::counted(
            "node_greeting_messages",
            "messages",
            per_handshake(before.traffic.messages),
        ),
        Figure::counted(
            "node_greeting_bytes",
            "bytes",
            per_handshake(before.traffic.bytes),
        ),
        Figure::counted("node_messages_per_start", "messages", messages),
        Figure::counted("node_bytes_per_start", "bytes", bytes),
    ])
}
