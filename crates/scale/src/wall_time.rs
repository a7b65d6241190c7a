//! Wall-clock timing of repeated work.

use crate::error::MeasureError;
use crate::row::{Basis, Figure};
use std::time::Instant;

/// Runs `work` `repeats` times and returns its wall time in microseconds; `None` if `repeats` is zero. Dropping the
/// result of `work` is not timed.
///
/// # Errors
/// The first error of `work`.
pub fn time_repeats<T>(
    name: &str,
    repeats: usize,
    mut work: impl FnMut() -> Result<T, MeasureError>,
) -> Result<Option<Figure>, MeasureError> {
    let mut times = Vec::with_capacity(repeats);
    for _ in 0..repeats {
        let started = Instant::now();
        let result = work()?;
        times.push(started.elapsed().as_secs_f64() * 1e6);
        drop(result);
    }
    Ok(Figure::from_repeats(name, "us", Basis::Timed, times))
}
