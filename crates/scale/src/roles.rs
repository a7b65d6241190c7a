//! One module a role of the program.

pub mod client;
pub mod configuration;
pub mod controller;
pub mod discovery;
pub mod machine;
pub mod module;
pub mod processes;
pub mod serve;

use crate::row::{At, Axis, Measure};
use anyhow::Result;

/// A role that can be measured.
pub struct Role {
    /// Its name in the rows.
    pub name: &'static str,
    /// No system process of its own stands behind a point.
    pub hollow: bool,
    /// The sweeps, each with its rising points; fewer and smaller ones for a quick run.
    pub sweeps: fn(quick: bool) -> Vec<(Axis, Vec<At>)>,
    /// Measures one point in this process.
    pub measure: fn(&At, quick: bool) -> Result<Vec<Measure>>,
}

/// All of them, in the order in which they are played.
pub const ROLES: &[Role] = &[
    module::ROLE,
    serve::ROLE,
    controller::ROLE,
    discovery::ROLE,
    configuration::ROLE,
    machine::ROLE,
    client::ROLE,
    processes::ROLE,
];

/// Points that rise geometrically from `least` to `most`, both among them.
pub fn rising(least: u64, most: u64, points: u32) -> Vec<u64> {
    let factor =
        (most as f64 / least as f64).powf(1.0 / f64::from(points.saturating_sub(1).max(1)));
    (0..points)
        .map(|i| (least as f64 * factor.powi(i as i32)).round() as u64)
        .collect()
}
