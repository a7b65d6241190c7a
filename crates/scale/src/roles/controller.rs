//! The `controller` role: the DRMAA controller without its sockets, in simulated time. It consists of the core, the
//! scheduler with its node subset, and the frames of nodes and of the node list. Client calls are passed to the core as
//! inputs, so the figures do not include their JSON, nor sockets and their buffers.

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
use harness::ControllerHarness;
use peppercove::Micros;
use peppercove_protocol::codec::MAX_LIST_FRAME_BYTES;

/// The description of this role.
pub const ROLE: Role = Role {
    name: "controller",
    is_hollow: true,
    sweeps,
    measure,
};

/// Microseconds of simulated time in which nodes connect and the running tasks of the earlier incarnation are adopted.
const SETTLE_TIME: Micros = SECOND;

/// Maximum number of running tasks in a sweep. It is below the platform's 57,000, because the time to adopt tasks is
/// quadratic in their number and 57,000 take half a minute.
const MAX_RUNNING_TASKS: u64 = 30_000;
const QUICK_MAX_RUNNING_TASKS: u64 = 10_000;

/// Timed figures of the setup that are reported.
const SETUP_FIGURES: [&str; 3] = ["first_list_time", "link_up_time", "adopted_time"];

const START_EVENTS: StartEvents<'_> = StartEvents {
    kinds: &[
        "submit", "send", "accepted", "running", "refused", "end", "dispose", "tick",
    ],
    batch_interval: None,
};

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let running = if is_quick {
        QUICK_MAX_RUNNING_TASKS
    } else {
        MAX_RUNNING_TASKS
    };
    let axes = [
        (Axis::Nodes, 13_000),
        (Axis::RunningTasks, running),
        (Axis::Starts, 800),
        (Axis::Tenants, 530),
        (Axis::Classes, 96),
        (Axis::Connections, 20_000),
    ];
    with_target_fleet_schedulers(sweeps_from_base(&axes, is_quick))
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    let length = RunLength::for_sizes(sizes, is_quick);
    let mut harness = ControllerHarness::new(sizes)?;
    let Setup {
        mut figures,
        baseline,
    } = set_up(&mut harness, sizes)?;
    figures.extend(harness.idle_figures()?);
    figures.extend(measure_starts(
        &mut harness,
        &length,
        baseline,
        &START_EVENTS,
    )?);
    figures.extend(harness.table_sizes());
    Ok(figures)
}

/// The figures of the setup, and the resident memory before it.
struct Setup {
    figures: Vec<Figure>,
    baseline: u64,
}

/// Delivers the first list, lets running tasks be adopted, and delivers a second list.
fn set_up(harness: &mut ControllerHarness, sizes: &Sizes) -> Result<Setup, MeasureError> {
    let (first, second) = (harness.full_list()?, harness.full_list()?);
    let list_bytes = first.len() as f64;
    let mut figures = vec![
        Figure::counted("whole_list_bytes", "bytes", list_bytes),
        // A frame with a share over 1 is rejected.
        Figure::counted(
            "whole_list_of_longest",
            "share",
            list_bytes / MAX_LIST_FRAME_BYTES as f64,
        ),
    ];
    let baseline = resident_bytes()?;
    harness.receive_full_list("first_list", first)?;
    let listed = resident_bytes()?;
    harness.run(RunLimits::span(SETTLE_TIME))?;
    let running = resident_bytes()?;
    let figure = resident_per_item;
    figures.extend(figure("resident_machine", baseline, listed, sizes.nodes));
    figures.extend(figure(
        "resident_standing",
        listed,
        running,
        sizes.running_tasks,
    ));
    figures.extend(setup_figures(harness, &SETUP_FIGURES));
    harness.receive_full_list(FULL_LIST, second)?;
    harness.run(RunLimits::span(SETTLE_TIME))?;
    Ok(Setup { figures, baseline })
}
