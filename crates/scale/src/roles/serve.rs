//! The `serve` role: a hollow instance of the platform's controller in simulated time. It consists of the platform
//! engine, the scheduler with its node subset, and the encoded messages of clients, nodes and the endpoint list. The
//! figures do not include sockets and their buffers.
//!
//! There is no sweep along tenants, because requests of the platform name none.

mod format;
pub mod harness;

use crate::error::MeasureError;
use crate::harness::{Harness, RunLimits};
use crate::hollow_measurement::{FULL_LIST, StartEvents, measure_starts, setup_figures};
use crate::memory::{resident_bytes, resident_per_item};
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, sweeps_from_base, with_target_fleet_schedulers};
use crate::workload::SECOND;
use crate::workload::run_length::RunLength;
use harness::ServeHarness;
use peppercove::Micros;
use std::rc::Rc;

/// The description of this role.
pub const ROLE: Role = Role {
    name: "serve",
    is_hollow: true,
    sweeps,
    measure,
};

/// Microseconds of simulated time after which the effects of a full list are complete.
const SETTLE_TIME: Micros = 3 * SECOND;

/// Microseconds between two list events; longer than the minimum time between two batches.
const BATCH_INTERVAL: Micros = 2_000;

/// Timed figures of the setup that are reported.
const SETUP_FIGURES: [&str; 3] = ["first_list_time", "standing_time", "link_up_time"];

const START_EVENTS: StartEvents<'_> = StartEvents {
    kinds: &[
        "set_up", "turn", "tick", "link_up", "answer", "refused", "end",
    ],
    batch_interval: Some(BATCH_INTERVAL),
};

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let axes = [
        (Axis::Nodes, 13_000),
        (Axis::Schedulers, 512),
        (Axis::RunningTasks, 57_000),
        (Axis::Starts, 800),
        (Axis::Classes, 96),
        (Axis::Changes, 32),
        (Axis::Connections, 20_000),
    ];
    with_target_fleet_schedulers(sweeps_from_base(&axes, is_quick))
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    let length = RunLength::for_sizes(sizes, is_quick);
    let mut harness = ServeHarness::new(sizes)?;
    let Setup {
        mut figures,
        baseline,
        lists,
    } = set_up(&mut harness, sizes)?;
    figures.extend(harness.idle_figures()?);
    let mut start_figures = measure_starts(&mut harness, &length, baseline, &START_EVENTS)?;
    // Few connections are established during the windows; the reported figure is that of the setup.
    start_figures.retain(|figure| figure.name != "link_up_time");
    figures.extend(start_figures);
    figures.extend(harness.table_sizes());
    drop(lists);
    Ok(figures)
}

/// The figures of the setup, and the resident memory before it.
struct Setup {
    figures: Vec<Figure>,
    baseline: u64,
    /// The lists of the setup. The baseline includes them, so they must stay allocated while memory is compared with
    /// it.
    lists: [Rc<String>; 2],
}

/// Delivers the first list, adds the running tasks and the client connections, and delivers a second list.
fn set_up(harness: &mut ServeHarness, sizes: &Sizes) -> Result<Setup, MeasureError> {
    let (first, second) = (harness.full_list()?, harness.full_list()?);
    let mut figures = vec![Figure::counted(
        "whole_list_bytes",
        "bytes",
        first.len() as f64,
    )];
    let baseline = resident_bytes()?;
    harness.receive_full_list("first_list", first.clone())?;
    let listed = resident_bytes()?;
    harness.add_running_tasks()?;
    harness.run(RunLimits::span(SETTLE_TIME))?;
    let running = resident_bytes()?;
    harness.connect_clients()?;
    let connected = resident_bytes()?;
    let figure = resident_per_item;
    figures.extend(figure("resident_machine", baseline, listed, sizes.nodes));
    figures.extend(figure(
        "resident_standing",
        listed,
        running,
        sizes.running_tasks,
    ));
    figures.extend(figure(
        "resident_connection",
        running,
        connected,
        sizes.connections,
    ));
    figures.extend(setup_figures(harness, &SETUP_FIGURES));
    harness.receive_full_list(FULL_LIST, second.clone())?;
    harness.run(RunLimits::span(SETTLE_TIME))?;
    Ok(Setup {
        figures,
        baseline,
        lists: [first, second],
    })
}
