//! How one measure of one role runs along one axis, and what the curves of all axes say of one point.

use crate::row::{Axis, Basis, Row};
use crate::slope::Slope;
use std::collections::BTreeMap;

/// A timed figure grows along an axis where its exponent is over this many standard errors.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// One measure of one role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// The role.
    pub role: String,
    /// The measure.
    pub measure: String,
    /// Whether it was measured without processes of its own; figures of real processes do not mix with those.
    pub is_hollow: bool,
}

/// The points of one measure along one axis.
#[derive(Clone, Debug)]
pub struct Curve {
    /// The file that holds them.
    pub file: String,
    /// Rows by rising size, one a size.
    pub rows: Vec<Row>,
    /// The power law through them; `None` for a single point or zeros.
    pub slope: Option<Slope>,
}

impl Curve {
    /// The curve through `rows` of one sweep; of rows at the same size the last counts.
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

    /// The widest spread of the repeats of a point, as a share of its median.
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

    /// The smallest and the largest size measured.
    pub fn range(&self, axis: Axis) -> (u64, u64) {
        let size = |row: Option<&Row>| row.map_or(0, |r| axis.size_in(&r.sizes));
        (size(self.rows.first()), size(self.rows.last()))
    }

    /// What going from the size `base` to `size` adds to the figure.
    ///
    /// Zero where the figure moves against the axis: that is noise or the effect of another measure. Zero also where a
    /// timed figure does not grow beyond its standard error.
    pub(super) fn added(&self, axis: Axis, size: f64, base: f64) -> f64 {
        let is_timed = self.rows.iter().any(|r| r.figure.basis == Basis::Timed);
        let grows = self.slope.is_some_and(|s| {
            !is_timed || s.exponent > SIGNIFICANT_ERRORS * s.standard_error.max(0.0)
        });
        let added = self.at(axis, size) - self.at(axis, base);
        if grows && added * (size - base) > 0.0 {
            added
        } else {
            0.0
        }
    }

    /// The figure at a size; not a number for a curve without points.
    ///
    /// Between two points it is interpolated linearly on logarithmic axes (on plain ones where a value is zero); outside
    /// them it is continued from the nearest point with the exponent of all points. A single point gives its figure at
    /// every size.
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

/// What the curves of a measure say of one point.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// The figure, in [`Estimate::unit`].
    pub figure: f64,
    /// The unit of the rows.
    pub unit: String,
    /// The measure.
    pub subject: Subject,
    /// The axes along which it was measured.
    pub axes: Vec<Axis>,
    /// The axes whose size lies outside of what was measured.
    pub extrapolated_axes: Vec<Axis>,
    /// The files of the rows.
    pub files: Vec<String>,
}

impl Estimate {
    /// The sum of both; `None` where their units differ.
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
