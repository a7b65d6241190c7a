//! The `client` role: messages, bytes and connections of its requests, for the platform and for DRMAA.
//!
//! As in [`node`](crate::roles::node), points with at most [`MAX_FAKE_NODES`] nodes measure the DRMAA controller.

use crate::drmaa_loopback::{self, MAX_FAKE_NODES};
use crate::error::MeasureError;
use crate::hollow_scheduler;
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, point_count, rising_sizes};

/// The description of this role.
pub const ROLE: Role = Role {
    name: "client",
    is_hollow: true,
    sweeps,
    measure,
};

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let points = point_count(is_quick);
    vec![
        Sweep::along(Axis::Nodes, rising_sizes(400, 13_000, points)),
        Sweep::along(Axis::Starts, rising_sizes(5, 320, points)),
        Sweep::along(Axis::Nodes, rising_sizes(4, 32, 4)),
    ]
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    if sizes.nodes <= MAX_FAKE_NODES {
        return measure_drmaa(sizes, if is_quick { 20 } else { 200 });
    }
    let starts = if is_quick { 200 } else { 1000 };
    let counts = hollow_scheduler::run_starts(sizes, starts)?;
    let (messages, bytes) = (counts.client.messages as f64, counts.client.bytes as f64);
    let per_start = 1.0 / starts as f64;
    let per_second = sizes.starts_per_second as f64 / starts as f64;
    Ok(vec![
        Figure::counted(
            "wire_messages_per_request",
            "messages",
            messages * per_start,
        ),
        Figure::counted("wire_bytes_per_request", "bytes", bytes * per_start),
        Figure::counted("wire_messages", "messages/s", messages * per_second),
        Figure::counted("wire_bytes", "bytes/s", bytes * per_second),
        Figure::counted("wire_placed", "count", counts.placed as f64 * per_start),
    ])
}

/// Measures a session that submits jobs and waits for each to be placed and then to end.
fn measure_drmaa(sizes: &Sizes, jobs: u64) -> Result<Vec<Figure>, MeasureError> {
    let counts = drmaa_loopback::run_jobs(sizes.nodes as usize, jobs)?.client;
    let (before, after) = (counts.before_jobs, counts.after_jobs);
    let per_job = |after: u64, before: u64| (after - before) as f64 / jobs as f64;
    let messages = per_job(after.traffic.messages, before.traffic.messages);
    let bytes = per_job(after.traffic.bytes, before.traffic.bytes);
    Ok(vec![
        Figure::counted("drmaa_connections", "count", after.connections as f64),
        Figure::counted("drmaa_session_bytes", "bytes", before.traffic.bytes as f64),
        Figure::counted("drmaa_messages_per_request", "messages", messages),
        Figure::counted("drmaa_bytes_per_request", "bytes", bytes),
    ])
}
