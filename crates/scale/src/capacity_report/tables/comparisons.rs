//! Tables that compare predictions with measurements, and hollow roles with real processes.

use crate::capacity_report::curve::{Curve, Subject};
use crate::capacity_report::demand::BaseUnit;
use crate::capacity_report::format::{
    format_count, format_with_unit, markdown_table_or_not_measured,
};
use crate::capacity_report::measurements::Measurements;
use crate::capacity_report::needs::{Comparison, Needs};
use crate::row::{Axis, Row};
use crate::slope::Slope;

/// A prediction is fitted to points of at most this many nodes.
const MAX_FITTED_NODES: u64 = 1_300;

/// Formats the relative difference of `value` from `reference`; a dash if the reference is not above zero.
fn difference_text(value: f64, reference: f64) -> String {
    if reference > 0.0 {
        format!("{:+.0}%", (value / reference - 1.0) * 100.0)
    } else {
        "-".into()
    }
}

/// Generates the table of predictions for the measures that needs use: the figure at the largest number of nodes,
/// predicted from the points up to [`MAX_FITTED_NODES`], compared with the measured one; and sweeps of several axes
/// compared with the sum of the slopes.
pub fn predictions(measurements: &Measurements, needs: &Needs) -> String {
    let is_used = |subject: &Subject| {
        needs.needs.iter().any(|need| {
            let mut measures = need.measures.iter().chain(&need.added_measures);
            need.role == subject.role && measures.any(|m| *m == subject.measure)
        })
    };
    let used = measurements
        .curves()
        .filter(|(subject, _, _)| is_used(subject));
    let rows = used.filter_map(|(subject, axis, curve)| {
        Some(prediction(measurements, subject, axis, curve)?.row(curve))
    });
    markdown_table_or_not_measured(
        &[
            "role",
            "measure",
            "size",
            "points or slopes",
            "foretold",
            "measured",
            "error",
            "file",
        ],
        rows.collect(),
    )
}

/// A prediction of the largest point from smaller ones.
struct Prediction<'a> {
    measured: &'a Row,
    /// The size, and the points or slopes used for the prediction.
    size: String,
    /// The number of points or slopes used.
    support: usize,
    figure: f64,
}

impl Prediction<'_> {
    fn row(self, curve: &Curve) -> Vec<String> {
        let figure = &self.measured.figure;
        vec![
            self.measured.role.clone(),
            figure.name.clone(),
            self.size,
            self.support.to_string(),
            format_with_unit(Some(self.figure), &figure.unit),
            format_with_unit(Some(figure.median), &figure.unit),
            difference_text(self.figure, figure.median),
            curve.file.clone(),
        ]
    }
}

fn prediction<'a>(
    measurements: &Measurements,
    subject: &Subject,
    axis: Axis,
    curve: &'a Curve,
) -> Option<Prediction<'a>> {
    let largest = curve
        .rows
        .last()
        .filter(|r| axis.size_in(&r.sizes) > MAX_FITTED_NODES)?;
    match axis {
        Axis::Nodes => predicted_by_smaller_points(curve, largest),
        Axis::Combined => predicted_by_slopes(measurements, subject, largest),
        Axis::Schedulers
        | Axis::RunningTasks
        | Axis::Starts
        | Axis::Tenants
        | Axis::Classes
        | Axis::Changes
        | Axis::Connections => None,
    }
}

fn predicted_by_smaller_points<'a>(curve: &Curve, largest: &'a Row) -> Option<Prediction<'a>> {
    let fitted = curve
        .rows
        .iter()
        .filter(|r| r.sizes.nodes <= MAX_FITTED_NODES);
    let fitted: Vec<(f64, f64)> = fitted
        .map(|r| (r.sizes.nodes as f64, r.figure.median))
        .collect();
    let nodes = format_count(largest.sizes.nodes);
    let known_nodes = format_count(MAX_FITTED_NODES);
    Some(Prediction {
        measured: largest,
        size: format!("{nodes} machines, from at most {known_nodes}"),
        support: fitted.len(),
        figure: Slope::fit(&fitted)?.predict(largest.sizes.nodes as f64),
    })
}

fn predicted_by_slopes<'a>(
    measurements: &Measurements,
    subject: &Subject,
    largest: &'a Row,
) -> Option<Prediction<'a>> {
    let sum = measurements.estimate(subject, &largest.sizes)?;
    let nodes = format_count(largest.sizes.nodes);
    Some(Prediction {
        measured: largest,
        size: format!("{nodes} machines, all axes up; from the sum of the slopes"),
        support: sum.axes.len(),
        figure: sum.figure,
    })
}

/// A row of real processes, and the file that contains it.
#[derive(Clone, Copy)]
struct RealRow<'a> {
    row: &'a Row,
    file: &'a str,
}

/// Generates the table that compares real processes with estimates from hollow roles at the same sizes.
pub fn hollow_and_real(measurements: &Measurements, needs: &Needs) -> String {
    let all = measurements.sources.iter().flat_map(|source| {
        source.rows.iter().map(move |row| RealRow {
            row,
            file: source.name.as_str(),
        })
    });
    let real: Vec<RealRow<'_>> = all
        .filter(|real| !real.row.is_hollow && real.row.axis == Axis::Combined)
        .collect();
    let mut rows = Vec::new();
    for comparison in &needs.comparisons {
        let Some(first) = comparison.real_measures.first() else {
            continue;
        };
        if comparison.hollow_measures.is_empty() {
            continue;
        }
        let is_first = |real: &&RealRow<'_>| {
            real.row.role == comparison.real_role && real.row.figure.name == *first
        };
        for first_row in real.iter().filter(is_first) {
            rows.push(comparison_row(comparison, *first_row, &real, measurements));
        }
    }
    markdown_table_or_not_measured(
        &[
            "size",
            "hollow measure",
            "hollow",
            "real measure",
            "real",
            "difference",
            "file",
        ],
        rows,
    )
}

fn comparison_row(
    comparison: &Comparison,
    first: RealRow<'_>,
    real: &[RealRow<'_>],
    measurements: &Measurements,
) -> Vec<String> {
    let sizes = &first.row.sizes;
    let real_sum = real_sum(comparison, first, real);
    let unit = &first.row.figure.unit;
    let hollow_sum = hollow_sum(comparison, first.row, measurements);
    let hollow_sum = hollow_sum.map(|sum| sum / BaseUnit::of(unit).factor);
    let difference = match (hollow_sum, real_sum) {
        (Some(hollow), Some(real)) => difference_text(real, hollow),
        _ => "-".into(),
    };
    vec![
        format!(
            "{} machines, schedulers: {}",
            format_count(sizes.nodes),
            sizes.schedulers
        ),
        format!(
            "{} {}",
            comparison.hollow_role,
            comparison.hollow_measures.join(" + ")
        ),
        format_with_unit(hollow_sum, unit),
        format!(
            "{} {}",
            comparison.real_role,
            comparison.real_measures.join(" + ")
        ),
        format_with_unit(real_sum, unit),
        difference,
        first.file.to_owned(),
    ]
}

/// Returns the sum of the real measures at the same sizes in the same file; `None` if one has no row.
fn real_sum(comparison: &Comparison, first: RealRow<'_>, real: &[RealRow<'_>]) -> Option<f64> {
    let figure_of = |measure: &String| {
        let is_same = |other: &&RealRow<'_>| {
            other.file == first.file
                && other.row.role == first.row.role
                && other.row.sizes == first.row.sizes
                && other.row.figure.name == *measure
        };
        real.iter()
            .find(is_same)
            .map(|other| other.row.figure.median)
    };
    comparison.real_measures.iter().map(figure_of).sum()
}

/// Returns the sum of the hollow measures at the sizes of `row`, in base units; `None` if one has no rows.
fn hollow_sum(comparison: &Comparison, row: &Row, measurements: &Measurements) -> Option<f64> {
    let figure_of = |measure: &String| {
        let measures = std::slice::from_ref(measure);
        let subject = measurements.subject(&comparison.hollow_role, measures)?;
        let estimate = measurements.estimate(&subject, &row.sizes)?;
        Some(estimate.figure * BaseUnit::of(&estimate.unit).factor)
    };
    comparison.hollow_measures.iter().map(figure_of).sum()
}
