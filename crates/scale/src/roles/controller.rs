//! The DRMAA controller without its sockets: the core, the decision module with its node subset, and the frames of nodes
//! and of the node list, in simulated time. Calls of clients come as the inputs that they lead to: their JSON is not in
//! these figures, and neither is what sockets and their buffers take.

mod format;
pub mod harness;

use crate::error::MeasureError;
use crate::harness::{Harness, RunLimits};
use crate::memory::{resident_bytes, resident_per_item};
use crate::role::Role;
use crate::row::{Axis, Figure, Sizes};
use crate::sweep::{Sweep, sweeps_from_base, with_target_fleet_schedulers};
use crate::workload::run_length::RunLength;
use crate::workload::{CHANGES_PER_WINDOW, SECOND, WINDOWS};
use harness::ControllerHarness;
use peppercove::Micros;
use peppercove_protocol::codec::MAX_LIST_FRAME_BYTES;

/// The role.
pub const ROLE: Role = Role {
    name: "controller",
    is_hollow: true,
    sweeps,
    measure,
};

/// Simulated time in which connections come up and the running tasks of an earlier incarnation are adopted, microseconds.
const SETTLE: Micros = SECOND;

/// Most running tasks of a sweep: fewer than the 57,000 of the platform, since adopting that many takes half a minute, a
/// time that is quadratic in their number.
const MOST_RUNNING_TASKS: u64 = 30_000;
const QUICK_MOST_RUNNING_TASKS: u64 = 10_000;

/// Timed figures of the set-up that are kept.
const SET_UP_FIGURES: [&str; 3] = ["first_list_time", "link_up_time", "adopted_time"];

/// The kinds of events of one start; the first is the submission.
const START_EVENTS: [&str; 8] = [
    "submit", "send", "accepted", "running", "refused", "end", "dispose", "tick",
];

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let running = if is_quick {
        QUICK_MOST_RUNNING_TASKS
    } else {
        MOST_RUNNING_TASKS
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
    let SetUp {
        mut figures,
        baseline,
    } = set_up(&mut harness, sizes)?;
    figures.extend(harness.idle_figures()?);
    harness.warm_up(&length)?;
    figures.extend(resident_per_item(
        "resident",
        baseline,
        resident_bytes()?,
        1,
    ));
    run_windows(&mut harness, &length)?;
    let timings = &harness.simulation().timings;
    figures.extend(timings.figures());
    figures.extend(timings.figure_per_first("start_time", &START_EVENTS));
    figures.extend(harness.counted());
    figures.extend(harness.held());
    Ok(figures)
}

/// The figures of the set-up, and the resident memory before it.
struct SetUp {
    figures: Vec<Figure>,
    baseline: u64,
}

/// The first list, the adoption of running tasks, and a second list.
fn set_up(harness: &mut ControllerHarness, sizes: &Sizes) -> Result<SetUp, MeasureError> {
    let (first, second) = (harness.full_list()?, harness.full_list()?);
    let list_bytes = first.len() as f64;
    let mut figures = vec![
        Figure::counted("whole_list_bytes", "bytes", list_bytes),
        // A frame over 1 is refused.
        Figure::counted(
            "whole_list_of_longest",
            "share",
            list_bytes / MAX_LIST_FRAME_BYTES as f64,
        ),
    ];
    let baseline = resident_bytes()?;
    harness.receive_list("first_list", first)?;
    let listed = resident_bytes()?;
    harness.run(RunLimits::span(SETTLE))?;
    let running = resident_bytes()?;
    let figure = resident_per_item;
    figures.extend(figure("resident_machine", baseline, listed, sizes.nodes));
    figures.extend(figure(
        "resident_standing",
        listed,
        running,
        sizes.running_tasks,
    ));
    let timed = harness.simulation().timings.figures().into_iter();
    figures.extend(timed.filter(|figure| SET_UP_FIGURES.contains(&figure.name.as_str())));
    harness.receive_list("whole_list", second)?;
    harness.run(RunLimits::span(SETTLE))?;
    Ok(SetUp { figures, baseline })
}

fn run_windows(harness: &mut ControllerHarness, length: &RunLength) -> Result<(), MeasureError> {
    for window in 0..WINDOWS {
        let list = harness.full_list()?;
        harness.simulation().timings.begin_window(window);
        harness.run(RunLimits::starts(
            length.window_starts,
            Some(length.window_deadline()),
        ))?;
        for _ in 0..CHANGES_PER_WINDOW {
            harness.change_list()?;
        }
        harness.receive_list("whole_list", list)?;
    }
    Ok(())
}
