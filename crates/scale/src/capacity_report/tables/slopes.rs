//! The table of the exponents of all curves.

use super::demand_text::kind_of_run;
use crate::capacity_report::curve::{Curve, Subject};
use crate::capacity_report::format::{
    format_axes, format_figure, format_with_unit, markdown_table_or_not_measured,
};
use crate::capacity_report::measurements::Measurements;
use crate::capacity_report::needs::Needs;
use crate::row::{Axis, Basis, Row};
use crate::slope::Slope;
use std::collections::BTreeMap;

/// A curve is flat if the absolute value of its exponent is below this.
const FLAT_EXPONENT_BELOW: f64 = 0.05;

/// An exponent counts as over 1 only if it is above this.
const SUPERLINEAR_EXPONENT_ABOVE: f64 = 1.05;

/// A role and one of its measures.
type Measure<'a> = (&'a String, &'a String);

/// Generates the table of curves that are not flat, with their exponent, spread, points, and the responsible code if
/// the exponent is over 1. Below it are the names of flat curves, and the measures with a single size.
pub fn slopes(measurements: &Measurements, needs: &Needs) -> String {
    let mut rows = Vec::new();
    let mut flat: BTreeMap<Measure<'_>, Vec<Axis>> = BTreeMap::new();
    let mut single: BTreeMap<Measure<'_>, String> = BTreeMap::new();
    // Axes that are increased together grow by different factors, so an exponent is meaningless.
    let curves = measurements
        .curves()
        .filter(|(_, axis, _)| *axis != Axis::Combined);
    for (subject, axis, curve) in curves {
        let (Some(first), Some(last)) = (curve.rows.first(), curve.rows.last()) else {
            continue;
        };
        let measure = (&subject.role, &subject.measure);
        if curve.rows.len() == 1 {
            let figure = format_with_unit(Some(first.figure.median), &first.figure.unit);
            single.insert(measure, figure);
        } else if is_flat(curve, first, last) {
            flat.entry(measure).or_default().push(axis);
        } else {
            rows.push(slope_row(subject, axis, curve, needs));
        }
    }
    let head = [
        "role",
        "measure",
        "along",
        "sizes",
        "at the least",
        "at the largest",
        "exponent",
        "widest spread",
        "points",
        "basis",
        "line of code",
    ];
    markdown_table_or_not_measured(&head, rows) + &flat_text(flat) + &single_text(single)
}

fn is_flat(curve: &Curve, first: &Row, last: &Row) -> bool {
    match curve.slope {
        Some(slope) => slope.exponent.abs() < FLAT_EXPONENT_BELOW,
        None => first.figure.median == last.figure.median,
    }
}

fn slope_row(subject: &Subject, axis: Axis, curve: &Curve, needs: &Needs) -> Vec<String> {
    let (first, last) = (
        &curve.rows[0].figure,
        &curve.rows[curve.rows.len() - 1].figure,
    );
    let basis = match first.basis {
        Basis::Counted => "counted",
        Basis::Timed => "timed",
        Basis::Resident => "resident",
    };
    let (smallest, largest) = curve.range(axis);
    vec![
        subject.role.clone(),
        subject.measure.clone(),
        axis.name().to_owned(),
        format!(
            "{} to {}",
            format_figure(Some(smallest as f64)),
            format_figure(Some(largest as f64))
        ),
        format_with_unit(Some(first.median), &first.unit),
        format_with_unit(Some(last.median), &first.unit),
        exponent_text(curve.slope),
        format!("{:.0}%", curve.widest_spread() * 100.0),
        curve.rows.len().to_string(),
        format!("{basis}, {}", kind_of_run(subject.is_hollow)),
        superlinear_code(subject, axis, curve, needs),
    ]
}

fn exponent_text(slope: Option<Slope>) -> String {
    let Some(slope) = slope else {
        return "-".to_owned();
    };
    let error = if slope.standard_error.is_finite() {
        format!(" ± {:.2}", slope.standard_error)
    } else {
        String::new()
    };
    format!("{:.2}{error}", slope.exponent)
}

/// Returns the code that causes an exponent over 1; empty if the exponent is not over 1.
fn superlinear_code(subject: &Subject, axis: Axis, curve: &Curve, needs: &Needs) -> String {
    if !curve.slope.is_some_and(is_superlinear) {
        return String::new();
    }
    let known = needs.superlinear.iter().find(|code| {
        code.role == subject.role && code.measure == subject.measure && code.axis == axis
    });
    known
        .map_or("over 1: line not known", |known| {
            known.code_location.as_str()
        })
        .to_owned()
}

/// Returns whether an exponent is significantly over 1: by a twentieth and by two standard errors. A curve of two
/// points has no standard error.
fn is_superlinear(slope: Slope) -> bool {
    slope.exponent > SUPERLINEAR_EXPONENT_ABOVE
        && slope.exponent - 2.0 * slope.standard_error.max(0.0) > 1.0
}

fn flat_text(flat: BTreeMap<Measure<'_>, Vec<Axis>>) -> String {
    if flat.is_empty() {
        return String::new();
    }
    let flat = flat
        .into_iter()
        .map(|((role, name), axes)| format!("{role} {name} ({})", format_axes(axes)));
    let flat = flat.collect::<Vec<_>>().join("; ");
    format!("\nFlat, exponent below 0.05 either way: {flat}.\n")
}

fn single_text(single: BTreeMap<Measure<'_>, String>) -> String {
    if single.is_empty() {
        return String::new();
    }
    let single = single
        .into_iter()
        .map(|((role, name), figure)| format!("{role} {name} {figure}"));
    let single = single.collect::<Vec<_>>().join("; ");
    format!("\nMeasured at one size alone: {single}.\n")
}
