//! The description of a role: its name, sweeps and measurement.

use crate::error::MeasureError;
use crate::row::{Figure, Sizes};
use crate::sweep::Sweep;

/// A measurable role of the program.
pub struct Role {
    /// The name of the role in rows.
    pub name: &'static str,
    /// Whether a point runs inside the measuring process instead of in system processes of its own.
    pub is_hollow: bool,
    /// Returns the sweeps of the role. A quick run has fewer and smaller points.
    pub sweeps: fn(is_quick: bool) -> Vec<Sweep>,
    /// Measures one point in the current process. A quick run takes fewer samples.
    pub measure: fn(&Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError>,
}
