//! What a role is to a measurement run.

use crate::error::MeasureError;
use crate::row::{Figure, Sizes};
use crate::sweep::Sweep;

/// A role of the program that can be measured.
pub struct Role {
    /// Its name in the rows.
    pub name: &'static str,
    /// Whether a point runs inside the measuring process, without a system process of its own.
    pub is_hollow: bool,
    /// Its sweeps; a quick run has fewer and smaller points.
    pub sweeps: fn(is_quick: bool) -> Vec<Sweep>,
    /// Measures one point in this process; a quick run takes fewer samples.
    pub measure: fn(&Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError>,
}
