//! The `configuration` role: the cost of applying a configuration at one scheduler.
//!
//! Each scheduler reads its configuration from a file, and processes do not forward it to each other, so there is no
//! figure for its distribution. Reloading on SIGHUP changes only the address of the endpoint list; settings and nodes
//! take effect at startup.

use crate::error::MeasureError;
use crate::platform_format::{config, list_event, node_address, node_entries, settings};
use crate::role::Role;
use crate::row::{Axis, Basis, Figure, Sizes};
use crate::sweep::{Sweep, point_count, rising_sizes};
use crate::wall_time::time_repeats;
use peppercove::Scheduler;
use peppercove_fleet::NodeSubset;
use peppercove_platform::config::Config;
use peppercove_platform::{Bounds, Input, PlatformEngine};
use std::time::Instant;

/// The description of this role.
pub const ROLE: Role = Role {
    name: "configuration",
    is_hollow: true,
    sweeps,
    measure,
};

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let points = point_count(is_quick);
    vec![
        Sweep::along(Axis::Nodes, rising_sizes(400, 13_000, points)),
        Sweep::along(Axis::Classes, rising_sizes(3, 192, points)),
        Sweep::along(Axis::Tenants, rising_sizes(10, 530, points)),
    ]
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    let repeats = if is_quick { 5 } else { 21 };
    let nodes = node_entries(0..sizes.nodes);
    let text = config(sizes, node_address(0), &nodes);
    let bytes = |name, length: usize| Figure::counted(name, "bytes", length as f64);
    let mut figures = vec![
        bytes("config_bytes", text.len()),
        bytes("config_settings_bytes", settings(sizes).to_string().len()),
        bytes(
            "config_known_bytes",
            list_event(1, true, &nodes).to_string().len(),
        ),
    ];
    let read_time = time_repeats("config_read_time", repeats, || {
        Ok(Config::parse(&text, None, None)?)
    })?;
    figures.extend(read_time);
    // Everything that startup does before the scheduler listens, except for sockets; `applied_times` covers the part
    // after parsing.
    let mut applied_times = Vec::new();
    figures.extend(time_repeats("config_in_force_time", repeats, || {
        let config = Config::parse(&text, None, None)?;
        let parsed_at = Instant::now();
        let bounds = Bounds::for_config(&config);
        let scheduler = Scheduler::new(config.settings.clone(), config.seed);
        let subset = NodeSubset::new(scheduler, &config.settings);
        let (settings, schema) = (config.settings, config.schema);
        let mut engine = PlatformEngine::new(subset, settings, schema, bounds, config.seed);
        engine.handle(0, Input::Start(config.initial_endpoints.entries));
        applied_times.push(parsed_at.elapsed().as_secs_f64() * 1e6);
        Ok(engine)
    })?);
    let applied_time =
        Figure::from_repeats("config_listed_time", "us", Basis::Timed, applied_times);
    figures.extend(applied_time);
    Ok(figures)
}
