//! Curves of one measure of one role along one axis, and estimates from the curves of all axes.

use crate::row::{Axis, Basis, Row};
use crate::slope::Slope;
use std::collections::BTreeMap;

/// A timed figure counts as growing along an axis if its exponent is over this many standard errors.
const SIGNIFICANT_STANDARD_ERRORS: f64 = 2.0;

/// One measure of one role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// The role.
    pub role: String,
    /// The measure.
    pub measure: String,
    /// Whether the role was hollow. Figures of hollow roles and of real processes are kept apart.
    pub is_hollow: bool,
}

/// The points of one measure along one axis.
#[derive(Clone, Debug)]
pub struct Curve {
    /// The file that contains the rows.
    pub file: String,
    /// Rows in order of size, one per size.
    pub rows: Vec<Row>,
    /// The fitted power law; `None` if fewer than two figures are above zero.
    pub slope: Option<Slope>,
}

impl Curve {
    /// Creates the curve of the rows of one sweep. If several rows have the same size, the last is used.
    pub(super) fn new(axis: Axis, file: &str, rows: Vec<&Row>) -> Curve {
        let by_size: BTreeMap<u64, Row> = rows
            .into_iter()
            .map(|r| (axis.size_in(&r.sizes), r.clone()))
            .collect();
        let points: Vec<(f64, f64)> = by_size
            .iter()
            .map(|(size, r)| (*size as f64, r.figure.median))
            .collect();
        Curve {
            file: file.to_owned(),
            rows: by_size.into_values().collect(),
            slope: Slope::fit(&points),
        }
    }

    fn points(&self, axis: Axis) -> Vec<(f64, f64)> {
        self.rows
            .iter()
            .map(|r| (axis.size_in(&r.sizes) as f64, r.figure.median))
            .collect()
    }

    /// Returns the largest spread of the repeats of a point, as a share of its median.
    pub fn widest_spread(&self) -> f64 {
        let figures = self
            .rows
            .iter()
            .map(|r| &r.figure)
            .filter(|f| f.median > 0.0);
        figures
            .map(|f| (f.high - f.low) / f.median)
            .fold(0.0, f64::max)
    }

    /// Returns the smallest and the largest measured size.
    pub fn range(&self, axis: Axis) -> (u64, u64) {
        let size = |row: Option<&Row>| row.map_or(0, |r| axis.size_in(&r.sizes));
        (size(self.rows.first()), size(self.rows.last()))
    }

    /// Returns the increase of the figure between the sizes `base` and `size`.
    ///
    /// It is zero if the figure decreases along the axis, which is noise or the effect of another measure, and if the
    /// growth of a timed figure is not significant.
    pub(super) fn added(&self, axis: Axis, size: f64, base: f64) -> f64 {
        let is_timed = self.rows.iter().any(|r| r.figure.basis == Basis::Timed);
        let grows = self.slope.is_some_and(|s| {
            !is_timed || s.exponent > SIGNIFICANT_STANDARD_ERRORS * s.standard_error.max(0.0)
        });
        let added = self.at(axis, size) - self.at(axis, base);
        if grows && added * (size - base) > 0.0 {
            added
        } else {
            0.0
        }
    }

    /// Returns the figure at a size; NaN for a curve without points.
    ///
    /// Between two points it is interpolated linearly on logarithmic axes, or on linear axes if a value is zero.
    /// Outside the measured range it is extrapolated from the nearest point with the exponent of all points. A single
    /// point gives its figure at every size.
    pub fn at(&self, axis: Axis, size: f64) -> f64 {
        let points = self.points(axis);
        let (Some(first), Some(last)) = (points.first(), points.last()) else {
            return f64::NAN;
        };
        if size < first.0 {
            return self.extrapolated(*first, size);
        }
        if size == first.0 {
            return first.1;
        }
        match points.iter().position(|p| p.0 >= size) {
            Some(above) => interpolated(points[above - 1], points[above], size),
            None => self.extrapolated(*last, size),
        }
    }

    fn extrapolated(&self, (nearest, figure): (f64, f64), size: f64) -> f64 {
        let exponent = self.slope.map_or(0.0, |s| s.exponent);
        if nearest > 0.0 {
            figure * (size / nearest).powf(exponent)
        } else {
            figure
        }
    }
}

fn interpolated((x0, y0): (f64, f64), (x1, y1): (f64, f64), size: f64) -> f64 {
    if x0 > 0.0 && y0 > 0.0 && y1 > 0.0 {
        y0 * (y1 / y0).powf((size / x0).ln() / (x1 / x0).ln())
    } else {
        y0 + (y1 - y0) * (size - x0) / (x1 - x0)
    }
}

/// The estimate of a measure at one point, from its curves.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// The figure, in [`Estimate::unit`].
    pub figure: f64,
    /// The unit used in the rows.
    pub unit: String,
    /// The measure.
    pub subject: Subject,
    /// The axes along which it was measured.
    pub axes: Vec<Axis>,
    /// The axes whose size is outside the measured range.
    pub extrapolated_axes: Vec<Axis>,
    /// The files of the rows.
    pub files: Vec<String>,
}

impl Estimate {
    /// Returns the sum of both estimates; `None` if their units differ.
    pub fn plus(mut self, other: &Estimate) -> Option<Estimate> {
        self.figure += other.figure;
        self.subject.measure += &format!(" + {}", other.subject.measure);
        merge_sorted(&mut self.axes, &other.axes);
        merge_sorted(&mut self.extrapolated_axes, &other.extrapolated_axes);
        merge_sorted(&mut self.files, &other.files);
        (self.unit == other.unit).then_some(self)
    }
}

fn merge_sorted<T: Clone + Ord>(all: &mut Vec<T>, more: &[T]) {
    all.extend_from_slice(more);
    all.sort();
    all.dedup();
}
