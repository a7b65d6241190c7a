//! CPU time by event kind, split into windows whose medians give the spread.

use crate::error::MeasureError;
use crate::row::{Basis, Figure};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

/// Significant digits of the histograms' values.
const HISTOGRAM_DIGITS: u8 = 2;

/// Number of clock readings; the median difference is the cost of one.
const CLOCK_READINGS: usize = 1_000;

/// Returns the CPU time used by the current thread in nanoseconds.
fn thread_cpu_nanos() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// Returns the cost of one clock reading in nanoseconds.
fn clock_cost_nanos() -> u64 {
    let readings: Vec<u64> = (0..CLOCK_READINGS).map(|_| thread_cpu_nanos()).collect();
    let mut costs: Vec<u64> = readings.windows(2).map(|pair| pair[1] - pair[0]).collect();
    costs.sort_unstable();
    costs[costs.len() / 2]
}

/// The events of one kind in one window.
#[derive(Debug)]
struct EventTimes {
    /// Times in nanoseconds.
    histogram: Histogram<u64>,
    /// Sum of all times in nanoseconds.
    total: u64,
}

type Window = BTreeMap<&'static str, EventTimes>;

/// CPU time by event kind and window.
#[derive(Debug)]
pub struct Timings {
    clock_cost: u64,
    empty: Histogram<u64>,
    windows: Vec<Window>,
}

impl Timings {
    /// Creates empty timings and measures the cost of a clock reading, which is subtracted from each time.
    ///
    /// # Errors
    /// [`MeasureError::Histogram`]; does not occur, because the precision is valid.
    pub fn new() -> Result<Timings, MeasureError> {
        Ok(Timings {
            clock_cost: clock_cost_nanos(),
            empty: Histogram::new(HISTOGRAM_DIGITS)?,
            windows: vec![Window::new()],
        })
    }

    /// Begins a window. Window 0 discards everything recorded before.
    pub fn begin_window(&mut self, number: u32) {
        if number == 0 {
            self.windows.clear();
        }
        self.windows.push(Window::new());
    }

    /// Runs `work` and returns its result and its CPU time in nanoseconds.
    pub fn time<T>(&self, work: impl FnOnce() -> T) -> (T, u64) {
        let before = thread_cpu_nanos();
        let result = work();
        (
            result,
            (thread_cpu_nanos() - before).saturating_sub(self.clock_cost),
        )
    }

    /// Records an event of `kind` that took `nanos` nanoseconds, in the current window.
    pub fn record(&mut self, kind: &'static str, nanos: u64) {
        let Some(window) = self.windows.last_mut() else {
            return;
        };
        let new = || EventTimes {
            histogram: self.empty.clone(),
            total: 0,
        };
        let times = window.entry(kind).or_insert_with(new);
        // The histogram resizes automatically, so no value is out of range.
        times.histogram.record(nanos.max(1)).ok();
        times.total += nanos;
    }

    /// Returns the CPU time in microseconds of each event kind, `<kind>_time`, and of the longest event of any kind.
    pub fn figures(&self) -> Vec<Figure> {
        let kinds: BTreeSet<&'static str> = self
            .windows
            .iter()
            .flat_map(|window| window.keys().copied())
            .collect();
        let mut figures: Vec<Figure> = kinds
            .into_iter()
            .filter_map(|kind| self.figure_of(kind))
            .collect();
        let longest = |window: &Window| window.values().map(|times| times.histogram.max()).max();
        let longest = self
            .windows
            .iter()
            .filter_map(longest)
            .map(nanos_to_micros)
            .collect();
        figures.extend(Figure::from_repeats(
            "longest_turn",
            "us",
            Basis::Timed,
            longest,
        ));
        figures
    }

    fn figure_of(&self, kind: &str) -> Option<Figure> {
        let windows: Vec<&EventTimes> = self
            .windows
            .iter()
            .filter_map(|window| window.get(kind))
            .collect();
        let median = |times: &&EventTimes| nanos_to_micros(times.histogram.value_at_quantile(0.5));
        let medians = windows.iter().map(median).collect();
        let mut all = self.empty.clone();
        for times in &windows {
            all += &times.histogram;
        }
        let figure = Figure::from_repeats(&format!("{kind}_time"), "us", Basis::Timed, medians)?;
        let p99 = Some(nanos_to_micros(all.value_at_quantile(0.99)));
        Some(Figure {
            p99,
            samples: all.len(),
            ..figure
        })
    }

    /// Returns the total time recorded in the current window, in microseconds.
    pub fn window_micros(&self) -> f64 {
        let times = self.windows.last().into_iter().flat_map(BTreeMap::values);
        nanos_to_micros(times.map(|times| times.total).sum::<u64>())
    }

    /// Returns the total time of all events of these kinds divided by the number of events of the first kind, in
    /// microseconds.
    pub fn figure_per_first(&self, name: &str, kinds: &[&str]) -> Option<Figure> {
        let of_window = |window: &Window| {
            let total: u64 = kinds
                .iter()
                .filter_map(|k| window.get(k))
                .map(|t| t.total)
                .sum();
            let events = window.get(kinds.first()?)?.histogram.len();
            Some(nanos_to_micros(total) / events.max(1) as f64)
        };
        let repeats = self.windows.iter().filter_map(of_window).collect();
        Figure::from_repeats(name, "us", Basis::Timed, repeats)
    }
}

fn nanos_to_micros(nanos: u64) -> f64 {
    nanos as f64 / 1e3
}
