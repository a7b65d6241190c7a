//! The measurement of a hollow role after its setup: a warm-up, and windows of starts and list changes.

use crate::error::MeasureError;
use crate::harness::{Harness, RunLimits};
use crate::memory::{resident_bytes, resident_per_item};
use crate::row::Figure;
use crate::workload::run_length::RunLength;
use crate::workload::{CHANGES_PER_WINDOW, WINDOWS};
use peppercove::Micros;

/// The event kind of each full list after the first.
pub const FULL_LIST: &str = "whole_list";

/// Returns the timed figures with these names, as recorded during the setup.
pub fn setup_figures<H: Harness>(harness: &mut H, names: &[&str]) -> Vec<Figure> {
    let figures = harness.simulation().timings.figures().into_iter();
    figures
        .filter(|figure| names.contains(&figure.name.as_str()))
        .collect()
}

/// The events that make up a start in a role.
pub struct StartEvents<'a> {
    /// The event kinds of one start; the first occurs exactly once per start.
    pub kinds: &'a [&'a str],
    /// Microseconds of simulated time after each list event, so that each is handled in a separate batch; `None` if the
    /// role handles each event immediately.
    pub batch_interval: Option<Micros>,
}

/// Runs the warm-up and the windows. Returns the resident memory above `baseline`, the times of all events, the time of
/// a start, and the counted figures.
///
/// # Errors
/// If a message cannot be decoded.
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
        run_window(harness, length, window, events.batch_interval)?;
    }
    let timings = &harness.simulation().timings;
    figures.extend(timings.figures());
    figures.extend(timings.figure_per_first("start_time", events.kinds));
    figures.extend(harness.counted());
    Ok(figures)
}

/// Runs one window: starts, then single-entry list changes, then a full list.
fn run_window<H: Harness>(
    harness: &mut H,
    length: &RunLength,
    window: u32,
    batch_interval: Option<Micros>,
) -> Result<(), MeasureError> {
    let list = harness.full_list()?;
    harness.simulation().timings.begin_window(window);
    harness.run(RunLimits::starts(
        length.window_starts,
        Some(length.window_deadline()),
    ))?;
    for _ in 0..CHANGES_PER_WINDOW {
        harness.change_list()?;
        finish_batch(harness, batch_interval)?;
    }
    harness.receive_full_list(FULL_LIST, list)?;
    finish_batch(harness, batch_interval)
}

fn finish_batch<H: Harness>(
    harness: &mut H,
    batch_interval: Option<Micros>,
) -> Result<(), MeasureError> {
    match batch_interval {
        Some(span) => harness.run(RunLimits::span(span)),
        None => Ok(()),
    }
}
