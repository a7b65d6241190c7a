//! Rows of all files, and what they say of a size.

use crate::row::{At, Axis, Basis, Row};
use crate::slope::Slope;
use anyhow::{Context, Result};
use std::collections::BTreeMap;

/// A file of rows.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its path, as the page names it.
    pub name: String,
    /// What stands in it.
    pub rows: Vec<Row>,
}

impl Source {
    /// Reads one JSON object a line.
    ///
    /// # Errors
    /// Names file and line of what is no row, or of a figure that is no number.
    pub fn parse(name: &str, text: &str) -> Result<Source> {
        let rows = text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
            .map(|(i, line)| {
                let row: Row =
                    serde_json::from_str(line).with_context(|| format!("{name}:{}", i + 1))?;
                let figure = &row.figure;
                let whole = [figure.median, figure.low, figure.high]
                    .iter()
                    .all(|f| f.is_finite() && *f >= 0.0);
                anyhow::ensure!(
                    whole,
                    "{name}:{}: {} is no figure of zero or more",
                    i + 1,
                    figure.measure
                );
                Ok(row)
            });
        Ok(Source {
            name: name.to_owned(),
            rows: rows.collect::<Result<_>>()?,
        })
    }
}

/// One measure of one role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// The role.
    pub role: String,
    /// The measure.
    pub measure: String,
    /// Real processes do not mix with hollow ones.
    pub hollow: bool,
}

/// How one measure of one role runs along one axis.
#[derive(Clone, Debug)]
pub struct Curve {
    /// The file.
    pub file: String,
    /// Rows by rising size, one a size.
    pub rows: Vec<Row>,
    /// The power law through them; none for one point or zeros.
    pub slope: Option<Slope>,
}

impl Curve {
    fn new(axis: Axis, file: &str, rows: Vec<&Row>) -> Curve {
        let by_size: BTreeMap<u64, Row> = rows
            .into_iter()
            .map(|r| (axis.of(&r.at), r.clone()))
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
            .map(|r| (axis.of(&r.at) as f64, r.figure.median))
            .collect()
    }

    /// The widest spread of a point's repeats, as a share of its median.
    pub fn spread(&self) -> f64 {
        let repeats = self
            .rows
            .iter()
            .map(|r| &r.figure)
            .filter(|f| f.median > 0.0);
        repeats
            .map(|f| (f.high - f.low) / f.median)
            .fold(0.0, f64::max)
    }

    /// The least and the largest size measured.
    pub fn range(&self, axis: Axis) -> (u64, u64) {
        let size = |row: Option<&Row>| row.map_or(0, |r| axis.of(&r.at));
        (size(self.rows.first()), size(self.rows.last()))
    }

    /// What a size adds to a figure beside where the axis stood: never against the axis, since a figure that falls while
    /// its axis rises is noise or another measure's doing, and nothing by which a time does not grow beyond its error.
    fn adds(&self, axis: Axis, size: f64, stood: f64) -> f64 {
        let timed = self.rows.iter().any(|r| r.figure.basis == Basis::Timed);
        let grows = self
            .slope
            .is_some_and(|s| !timed || s.exponent > 2.0 * s.error.max(0.0));
        let more = self.at(axis, size) - self.at(axis, stood);
        if grows && more * (size - stood) > 0.0 {
            more
        } else {
            0.0
        }
    }

    /// The figure at a size: between two points a straight line on logarithmic axes (on plain ones where one is zero);
    /// outside them by the exponent of all points, from the nearest. One point alone says the same everywhere.
    pub fn at(&self, axis: Axis, size: f64) -> f64 {
        let points = self.points(axis);
        let (Some(first), Some(last)) = (points.first(), points.last()) else {
            return f64::NAN;
        };
        let beyond = |near: &(f64, f64)| {
            let exponent = self.slope.map_or(0.0, |s| s.exponent);
            if near.0 > 0.0 {
                near.1 * (size / near.0).powf(exponent)
            } else {
                near.1
            }
        };
        if size <= first.0 {
            return if size == first.0 {
                first.1
            } else {
                beyond(first)
            };
        }
        let Some(above) = points.iter().position(|p| p.0 >= size) else {
            return beyond(last);
        };
        let ((x0, y0), (x1, y1)) = (points[above - 1], points[above]);
        if x0 > 0.0 && y0 > 0.0 && y1 > 0.0 {
            y0 * (y1 / y0).powf((size / x0).ln() / (x1 / x0).ln())
        } else {
            y0 + (y1 - y0) * (size - x0) / (x1 - x0)
        }
    }
}

/// What the slopes say of one size.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// The figure, in `unit`.
    pub figure: f64,
    /// As in the rows.
    pub unit: String,
    /// Whose it is.
    pub subject: Subject,
    /// The axes it was measured along.
    pub axes: Vec<Axis>,
    /// Axes whose size lies outside of what was measured.
    pub outside: Vec<Axis>,
    /// The files.
    pub files: Vec<String>,
}

impl Estimate {
    /// Both together; none where their units differ.
    pub fn plus(mut self, other: &Estimate) -> Option<Estimate> {
        fn join<T: Clone + Ord>(all: &mut Vec<T>, more: &[T]) {
            all.extend_from_slice(more);
            all.sort();
            all.dedup();
        }
        self.figure += other.figure;
        self.subject.measure += &format!(" + {}", other.subject.measure);
        join(&mut self.axes, &other.axes);
        join(&mut self.outside, &other.outside);
        join(&mut self.files, &other.files);
        (self.unit == other.unit).then_some(self)
    }
}

/// Rows of all files.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// As they were read, by name.
    pub sources: Vec<Source>,
    curves: BTreeMap<(Subject, Axis), Curve>,
}

impl Book {
    /// Of several files that hold the same sweep, the one that reaches furthest counts, then the one with more points,
    /// then the last by name.
    pub fn new(mut sources: Vec<Source>) -> Book {
        sources.sort_by(|a, b| a.name.cmp(&b.name));
        let mut curves: BTreeMap<(Subject, Axis), Curve> = BTreeMap::new();
        for source in &sources {
            let mut groups: BTreeMap<(Subject, Axis), Vec<&Row>> = BTreeMap::new();
            for row in &source.rows {
                let (role, measure) = (row.role.clone(), row.figure.measure.clone());
                let subject = Subject {
                    role,
                    measure,
                    hollow: row.hollow,
                };
                groups.entry((subject, row.sweep)).or_default().push(row);
            }
            for ((subject, axis), rows) in groups {
                let curve = Curve::new(axis, &source.name, rows);
                let reach = |c: &Curve| (c.range(axis).1, c.rows.len());
                if curves
                    .get(&(subject.clone(), axis))
                    .is_none_or(|old| reach(&curve) >= reach(old))
                {
                    curves.insert((subject, axis), curve);
                }
            }
        }
        Book { sources, curves }
    }

    /// Each measure's curve along each axis.
    pub fn curves(&self) -> impl Iterator<Item = (&Subject, Axis, &Curve)> {
        self.curves
            .iter()
            .map(|((subject, axis), curve)| (subject, *axis, curve))
    }

    /// One measure's curves; runs with several axes up together left out.
    fn along(&self, subject: &Subject) -> Vec<(Axis, &Curve)> {
        let own = self
            .curves()
            .filter(|(s, axis, _)| *s == subject && *axis != Axis::Together);
        own.map(|(_, axis, curve)| (axis, curve)).collect()
    }

    /// The first of the measures that has rows, hollow ones before real ones.
    pub fn subject(&self, role: &str, measures: &[String]) -> Option<Subject> {
        let found = |measure: &String, hollow| {
            let subject = Subject {
                role: role.to_owned(),
                measure: measure.clone(),
                hollow,
            };
            (!self.along(&subject).is_empty()).then_some(subject)
        };
        measures
            .iter()
            .find_map(|m| found(m, true).or_else(|| found(m, false)))
    }

    /// The sum of the slopes: along each axis the figure at its size, less what the other axes' sweeps hold already.
    pub fn estimate(&self, subject: &Subject, at: &At) -> Option<Estimate> {
        let along = self.along(subject);
        let mut rest = along.iter();
        let (first, curve) = rest.next()?;
        let mut figure = curve.at(*first, first.of(at) as f64);
        for (axis, curve) in rest {
            // Where this axis stood while the first one rose.
            let stood = along[0].1.rows.first().map_or(0, |r| axis.of(&r.at));
            figure += curve.adds(*axis, axis.of(at) as f64, stood as f64);
        }
        let outside = along.iter().filter(|(axis, curve)| {
            let (least, most) = curve.range(*axis);
            !(least..=most).contains(&axis.of(at))
        });
        let mut files: Vec<String> = along.iter().map(|(_, curve)| curve.file.clone()).collect();
        files.sort();
        files.dedup();
        Some(Estimate {
            figure: figure.max(0.0),
            unit: along[0].1.rows.first()?.figure.unit.clone(),
            subject: subject.clone(),
            outside: outside.map(|(axis, _)| *axis).collect(),
            axes: along.iter().map(|(axis, _)| *axis).collect(),
            files,
        })
    }
}
