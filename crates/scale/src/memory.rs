//! Resident memory of the current process.

use crate::error::MeasureError;
use crate::row::{Basis, Figure};

/// The kernel file with the memory totals of the current process.
const SMAPS_ROLLUP: &str = "/proc/self/smaps_rollup";

/// Returns the resident memory of the current process in bytes.
///
/// # Errors
/// [`MeasureError`] if the file cannot be read or has no `Rss` line.
pub fn resident_bytes() -> Result<u64, MeasureError> {
    let failed = |source| MeasureError::File {
        path: SMAPS_ROLLUP.to_owned(),
        source,
    };
    let rollup = std::fs::read_to_string(SMAPS_ROLLUP).map_err(failed)?;
    let line = rollup.lines().find_map(|line| line.strip_prefix("Rss:"));
    let kib = line.and_then(|line| {
        line.trim()
            .trim_end_matches("kB")
            .trim()
            .parse::<u64>()
            .ok()
    });
    let kib = kib.ok_or(MeasureError::FileContent {
        path: SMAPS_ROLLUP.to_owned(),
        expected: "Rss in kB",
    })?;
    Ok(kib * 1024)
}

/// Returns the resident bytes that each of `items` added between two readings; `None` if there are no items.
pub fn resident_per_item(name: &str, before: u64, after: u64, items: u64) -> Option<Figure> {
    let bytes = after.saturating_sub(before) as f64 / items as f64;
    let figure = Figure {
        basis: Basis::Resident,
        ..Figure::counted(name, "bytes", bytes)
    };
    (items > 0).then_some(figure)
}
