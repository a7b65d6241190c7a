//! The measurement of a hollow role after its set-up: a warm-up, and windows of starts and list changes.

use crate::error::MeasureError;
use crate::harness::{Harness, RunLimits};
use crate::memory::{resident_bytes, resident_per_item};
use crate::row::Figure;
use crate::workload::run_length::RunLength;
use crate::workload::{CHANGES_PER_WINDOW, WINDOWS};
use peppercove::Micros;

/// The kind of event of each full list after the first.
pub const FULL_LIST: &str = "whole_list";

/// The timed figures of these names, as they are after the set-up.
pub fn set_up_figures<H: Harness>(harness: &mut H, names: &[&str]) -> Vec<Figure> {
    let figures = harness.simulation().timings.figures().into_iter();
    figures
        .filter(|figure| names.contains(&figure.name.as_str()))
        .collect()
}

/// What is particular to the starts of a role.
pub struct StartEvents<'a> {
    /// The kinds of events of one start; the first comes once for each.
    pub kinds: &'a [&'a str],
    /// Simulated time after each list event that puts it into a batch of its own, microseconds; `None` where every event
    /// is handled at once.
    pub batch: Option<Micros>,
}

/// Warms up, runs the windows, and gives resident memory beyond `baseline`, the times of all events, the time of a start,
/// and what was counted.
///
/// # Errors
/// Where a message cannot be read.
pub fn measure_starts<H: Harness>(
    harness: &mut H,
    length: &RunLength,
    baseline: u64,
    events: &StartEvents<'_>,
) -> Result<Vec<Figure>, MeasureError> {
    harness.warm_up(length)?;
    let mut figures = Vec::new();
    figures.extend(resident_per_item(
        "resident",
        baseline,
        resident_bytes()?,
        1,
    ));
    for window in 0..WINDOWS {
        run_window(harness, length, window, events.batch)?;
    }
    let timings = &harness.simulation().timings;
    figures.extend(timings.figures());
    figures.extend(timings.figure_per_first("start_time", events.kinds));
    figures.extend(harness.counted());
    Ok(figures)
}

/// Starts, then changes of one entry, then a full list.
fn run_window<H: Harness>(
    harness: &mut H,
    length: &RunLength,
    window: u32,
    batch: Option<Micros>,
) -> Result<(), MeasureError> {
    let list = harness.full_list()?;
    harness.simulation().timings.begin_window(window);
    harness.run(RunLimits::starts(
        length.window_starts,
        Some(length.window_deadline()),
    ))?;
    for _ in 0..CHANGES_PER_WINDOW {
        harness.change_list()?;
        finish_batch(harness, batch)?;
    }
    harness.receive_full_list(FULL_LIST, list)?;
    finish_batch(harness, batch)
}

fn finish_batch<H: Harness>(harness: &mut H, batch: Option<Micros>) -> Result<(), MeasureError> {
    match batch {
        Some(span) => harness.run(RunLimits::span(span)),
        None => Ok(()),
    }
}
