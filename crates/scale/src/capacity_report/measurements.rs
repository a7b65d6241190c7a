//! The rows of all files, and estimates of measures from them.

use super::curve::{Curve, Estimate, Subject};
use crate::error::ReportError;
use crate::row::{Axis, Row, Sizes};
use std::collections::BTreeMap;

/// A file of rows.
#[derive(Clone, Debug)]
pub struct Source {
    /// The path, as shown on the page.
    pub name: String,
    /// The rows in the file.
    pub rows: Vec<Row>,
}

impl Source {
    /// Parses one JSON object per line. Empty lines are skipped.
    ///
    /// # Errors
    /// [`ReportError`] with the file and line of an invalid row, or of a figure that is negative or not finite.
    pub fn parse(name: &str, text: &str) -> Result<Source, ReportError> {
        let lines = text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty());
        let rows = lines.map(|(i, line)| parse_row(name, i + 1, line));
        Ok(Source {
            name: name.to_owned(),
            rows: rows.collect::<Result<_, _>>()?,
        })
    }
}

fn parse_row(file: &str, line: usize, text: &str) -> Result<Row, ReportError> {
    let row: Row = serde_json::from_str(text).map_err(|source| ReportError::Row {
        file: file.to_owned(),
        line,
        source,
    })?;
    let figure = &row.figure;
    let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
    if ![figure.median, figure.low, figure.high]
        .iter()
        .all(is_valid)
    {
        let measure = figure.name.clone();
        return Err(ReportError::RowFigure {
            file: file.to_owned(),
            line,
            measure,
        });
    }
    Ok(row)
}

/// The rows of all files, grouped by measure and axis.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// The files, sorted by name.
    pub sources: Vec<Source>,
    curves: BTreeMap<(Subject, Axis), Curve>,
}

impl Measurements {
    /// Groups the rows of the sources. If several files contain the same sweep, the one with the largest size is used,
    /// then the one with the most points, then the last by name.
    pub fn new(mut sources: Vec<Source>) -> Measurements {
        sources.sort_by(|a, b| a.name.cmp(&b.name));
        let mut curves: BTreeMap<(Subject, Axis), Curve> = BTreeMap::new();
        for source in &sources {
            for ((subject, axis), rows) in group_rows(source) {
                let curve = Curve::new(axis, &source.name, rows);
                let extent = |c: &Curve| (c.range(axis).1, c.rows.len());
                let known = curves.get(&(subject.clone(), axis));
                if known.is_none_or(|known| extent(&curve) >= extent(known)) {
                    curves.insert((subject, axis), curve);
                }
            }
        }
        Measurements { sources, curves }
    }

    /// Returns the curve of each measure along each axis.
    pub fn curves(&self) -> impl Iterator<Item = (&Subject, Axis, &Curve)> {
        self.curves
            .iter()
            .map(|((subject, axis), curve)| (subject, *axis, curve))
    }

    /// Returns the curves of one measure, without sweeps that increase several axes together.
    fn curves_of(&self, subject: &Subject) -> Vec<(Axis, &Curve)> {
        let own = self
            .curves()
            .filter(|(s, axis, _)| *s == subject && *axis != Axis::Combined);
        own.map(|(_, axis, curve)| (axis, curve)).collect()
    }

    /// Returns the first of the measures that has rows. For each measure, hollow rows are preferred over those of real
    /// processes.
    pub fn subject(&self, role: &str, measures: &[String]) -> Option<Subject> {
        let measured = |measure: &String, is_hollow| {
            let subject = Subject {
                role: role.to_owned(),
                measure: measure.clone(),
                is_hollow,
            };
            (!self.curves_of(&subject).is_empty()).then_some(subject)
        };
        measures
            .iter()
            .find_map(|m| measured(m, true).or_else(|| measured(m, false)))
    }

    /// Estimates the figure at `sizes`: the figure of the first curve at its size, plus along each other axis the
    /// difference from the size that the axis had in the first sweep.
    pub fn estimate(&self, subject: &Subject, sizes: &Sizes) -> Option<Estimate> {
        let curves = self.curves_of(subject);
        let (first_axis, first_curve) = curves.first()?;
        let first_row = first_curve.rows.first()?;
        let mut figure = first_curve.at(*first_axis, first_axis.size_in(sizes) as f64);
        for (axis, curve) in &curves[1..] {
            let base = axis.size_in(&first_row.sizes);
            figure += curve.added(*axis, axis.size_in(sizes) as f64, base as f64);
        }
        let is_outside = |(axis, curve): &&(Axis, &Curve)| {
            let (smallest, largest) = curve.range(*axis);
            !(smallest..=largest).contains(&axis.size_in(sizes))
        };
        let mut files: Vec<String> = curves.iter().map(|(_, curve)| curve.file.clone()).collect();
        files.sort();
        files.dedup();
        Some(Estimate {
            figure: figure.max(0.0),
            unit: first_row.figure.unit.clone(),
            subject: subject.clone(),
            axes: curves.iter().map(|(axis, _)| *axis).collect(),
            extrapolated_axes: curves
                .iter()
                .filter(is_outside)
                .map(|(axis, _)| *axis)
                .collect(),
            files,
        })
    }
}

fn group_rows(source: &Source) -> BTreeMap<(Subject, Axis), Vec<&Row>> {
    let mut groups: BTreeMap<(Subject, Axis), Vec<&Row>> = BTreeMap::new();
    for row in &source.rows {
        let subject = Subject {
            role: row.role.clone(),
            measure: row.figure.name.clone(),
            is_hollow: row.is_hollow,
        };
        groups.entry((subject, row.axis)).or_default().push(row);
    }
    groups
}
