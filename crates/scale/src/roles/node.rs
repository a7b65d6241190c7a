//! The node role, `machine` in rows: connections, messages and bytes that a node exchanges with all schedulers.
//!
//! For the platform, the traffic of one scheduler is counted in simulated time; the figures assume that each scheduler
//! sends the same, spread evenly over the nodes. Points with at most [`MAX_FAKE_NODES`] nodes measure the DRMAA
//! controller: a real controller and fake nodes on loopback.

use crate::drmaa_loopback::{self, MAX_FAKE_NODES};
use crate::error::MeasureError;
use crate::hollow_scheduler;
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, point_count, rising_sizes};

/// The description of this role.
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
    // Starts per second at one node from all schedulers.
    let starts_at_node = (sizes.schedulers * sizes.starts_per_second) as f64 / sizes.nodes as f64;
    let messages = per_start(counts.nodes.messages);
    let bytes = per_start(counts.nodes.bytes);
    // A scheduler tests its connection to each node that runs one of its tasks. The figure is per node, over all
    // schedulers.
    let idle = hollow_scheduler::run_idle(sizes, seconds)?;
    let per_node_second = sizes.schedulers as f64 / (seconds * sizes.nodes) as f64;
    // The mean number of open connections per node after the starts.
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

/// Measures the handshakes and frames that a DRMAA controller exchanges with its nodes.
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
