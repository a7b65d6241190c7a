//! The decision module alone, without the subset that bounds what it sees of a large fleet: events in, actions out.
//!
//! Each event is a batch of its own, so that its time includes what a batch costs beside it.

pub mod harness;

use crate::error::MeasureError;
use crate::harness::{Harness, RunLimits};
use crate::memory::{resident_bytes, resident_per_item};
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, sweeps_from_base};
use crate::workload::run_length::RunLength;
use crate::workload::{CHANGES_PER_WINDOW, WINDOWS};
use harness::ModuleHarness;
use peppercove::NodeEntry;

/// The role.
pub const ROLE: Role = Role {
    name: "module",
    is_hollow: true,
    sweeps,
    measure,
};

/// Timed figures of the set-up that are kept.
const SET_UP_FIGURES: [&str; 2] = ["first_list_time", "standing_time"];

/// The kinds of events of one start; the first is the bind.
const START_EVENTS: [&str; 7] = [
    "bind", "place", "placed", "refused", "error", "end", "timer",
];

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
    let mut figures = set_up(&mut harness)?;
    let before_warm_up = figures.baseline;
    harness.warm_up(&length)?;
    figures.all.extend(resident_per_item(
        "resident",
        before_warm_up,
        resident_bytes()?,
        1,
    ));
    run_windows(&mut harness, &length)?;
    figures.all.extend(harness.simulation().timings.figures());
    let per_start = harness
        .simulation()
        .timings
        .figure_per_first("start_time", &START_EVENTS);
    figures.all.extend(per_start);
    figures.all.extend(harness.counted());
    Ok(figures.all)
}

/// The figures of the set-up, and the resident memory before it.
struct SetUp {
    all: Vec<Figure>,
    baseline: u64,
}

/// The first list, the running tasks, and a second list.
fn set_up(harness: &mut ModuleHarness) -> Result<SetUp, MeasureError> {
    let (first, second) = (harness.full_list(), harness.full_list());
    let entry_bytes = size_of::<NodeEntry>() as f64;
    let entries = first.len() as f64;
    let mut all = vec![
        Figure::counted("whole_list_lines", "count", entries),
        Figure::counted("whole_list_bytes", "bytes", entries * entry_bytes),
        Figure::counted("list_change_bytes", "bytes", entry_bytes),
    ];
    let sizes = *harness.simulation().sizes();
    let baseline = resident_bytes()?;
    harness.receive_list(first);
    let listed = resident_bytes()?;
    harness.add_running_tasks();
    let running = resident_bytes()?;
    all.extend(resident_per_item(
        "resident_machine",
        baseline,
        listed,
        sizes.nodes,
    ));
    all.extend(resident_per_item(
        "resident_standing",
        listed,
        running,
        sizes.running_tasks,
    ));
    harness.receive_list(second);
    let timed = harness.simulation().timings.figures().into_iter();
    all.extend(timed.filter(|figure| SET_UP_FIGURES.contains(&figure.name.as_str())));
    Ok(SetUp { all, baseline })
}

fn run_windows(harness: &mut ModuleHarness, length: &RunLength) -> Result<(), MeasureError> {
    for window in 0..WINDOWS {
        let list = harness.full_list();
        harness.simulation().timings.begin_window(window);
        harness.run(RunLimits::starts(
            length.window_starts,
            Some(length.window_deadline()),
        ))?;
        for _ in 0..CHANGES_PER_WINDOW {
            harness.change_list()?;
        }
        harness.receive_list(list);
    }
    Ok(())
}
