//! The `module` role: the scheduler alone, without the node subset that limits which nodes of a large fleet it sees. It
//! takes events and returns actions.
//!
//! Each event is handled in a separate batch, so its time includes the fixed cost of a batch.

pub mod harness;

use crate::error::MeasureError;
use crate::harness::Harness;
use crate::hollow_measurement::{FULL_LIST, StartEvents, measure_starts, setup_figures};
use crate::memory::{resident_bytes, resident_per_item};
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, sweeps_from_base};
use crate::workload::run_length::RunLength;
use harness::ModuleHarness;
use peppercove::NodeEntry;

/// The description of this role.
pub const ROLE: Role = Role {
    name: "module",
    is_hollow: true,
    sweeps,
    measure,
};

/// Timed figures of the setup that are reported.
const SETUP_FIGURES: [&str; 2] = ["first_list_time", "standing_time"];

const START_EVENTS: StartEvents<'_> = StartEvents {
    kinds: &[
        "bind", "place", "placed", "refused", "error", "end", "timer",
    ],
    batch_interval: None,
};

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let axes = [
        (Axis::Nodes, 13_000),
        (Axis::Schedulers, 512),
        (Axis::RunningTasks, 57_000),
        (Axis::Starts, 800),
        (Axis::Tenants, 530),
        (Axis::Classes, 96),
    ];
    sweeps_from_base(&axes, is_quick)
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    let length = RunLength::for_sizes(sizes, is_quick);
    let mut harness = ModuleHarness::new(sizes)?;
    let (first, second) = (harness.full_list()?, harness.full_list()?);
    let entry_bytes = size_of::<NodeEntry>() as f64;
    let entries = first.len() as f64;
    let mut figures = vec![
        Figure::counted("whole_list_lines", "count", entries),
        Figure::counted("whole_list_bytes", "bytes", entries * entry_bytes),
        Figure::counted("list_change_bytes", "bytes", entry_bytes),
    ];
    let baseline = resident_bytes()?;
    harness.receive_full_list(FULL_LIST, first)?;
    let listed = resident_bytes()?;
    harness.add_running_tasks();
    let running = resident_bytes()?;
    figures.extend(resident_per_item(
        "resident_machine",
        baseline,
        listed,
        sizes.nodes,
    ));
    figures.extend(resident_per_item(
        "resident_standing",
        listed,
        running,
        sizes.running_tasks,
    ));
    harness.receive_full_list(FULL_LIST, second)?;
    figures.extend(setup_figures(&mut harness, &SETUP_FIGURES));
    figures.extend(measure_starts(
        &mut harness,
        &length,
        baseline,
        &START_EVENTS,
    )?);
    Ok(figures)
}
