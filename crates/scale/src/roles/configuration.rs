//! A configuration's way into force at one scheduler.
//!
//! It reaches each as a file, and the processes hand none on to each other: there is no figure for its spread. Read anew
//! at SIGHUP it brings the address of the journal service alone; settings and machines of it come into force at a start.

use crate::platform::{address, config, event, hosts, settings};
use crate::roles::discovery::timed;
use crate::roles::{Role, rising};
use crate::row::{At, Axis, Basis, Measure};
use anyhow::Result;
use peppercove::Scheduler;
use peppercove_fleet::NodeSubset;
use peppercove_platform::config::Config;
use peppercove_platform::{Bounds, Input, PlatformEngine};
use std::time::Instant;

/// The role.
pub const ROLE: Role = Role {
    name: "configuration",
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
        along(Axis::Classes, rising(3, 192, points)),
        along(Axis::Tenants, rising(10, 530, points)),
    ]
}

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    let repeats = if quick { 5 } else { 21 };
    let hosts = hosts(0..at.machines);
    let text = config(at, address(0), &hosts);
    let counted = |name, figure: usize| Measure::counted(name, "bytes", figure as f64);
    let mut out = vec![
        counted("config_bytes", text.len()),
        counted("config_settings_bytes", settings(at).to_string().len()),
        counted(
            "config_known_bytes",
            event(1, true, &hosts).to_string().len(),
        ),
    ];
    out.extend(timed("config_read_time", repeats, || {
        Ok(Config::parse(&text, None, None)?)
    })?);
    // All that a start does before it listens, but for its sockets; and the part of it that comes after reading.
    let mut listed = Vec::new();
    out.extend(timed("config_in_force_time", repeats, || {
        let config = Config::parse(&text, None, None)?;
        let read = Instant::now();
        let bounds = Bounds::for_config(&config);
        let module = NodeSubset::new(
            Scheduler::new(config.settings.clone(), config.seed),
            &config.settings,
        );
        let mut desk =
            PlatformEngine::new(module, config.settings, config.shape, bounds, config.seed);
        desk.handle(0, Input::Start(config.known.entries));
        listed.push(read.elapsed().as_secs_f64() * 1e6);
        Ok(desk)
    })?);
    out.extend(Measure::of(
        "config_listed_time",
        "us",
        Basis::Timed,
        listed,
    ));
    Ok(out)
}
