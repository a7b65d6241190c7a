//! How a figure grows with its axis: a power law fitted to the medians of a sweep.

use crate::row::{Axis, Row};

/// `figure = at_one * size ^ exponent`, by least squares on logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// The figure at size one.
    pub at_one: f64,
    /// The exponent.
    pub exponent: f64,
    /// Standard error of the exponent.
    pub error: f64,
    /// Points behind it.
    pub points: usize,
}

impl Slope {
    /// From (size, figure); none for fewer than two points above zero at different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Slope> {
        let logs = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs: Vec<(f64, f64)> = logs.map(|(x, y)| (x.ln(), y.ln())).collect();
        let n = logs.len() as f64;
        let (mx, my) = (
            logs.iter().map(|p| p.0).sum::<f64>() / n,
            logs.iter().map(|p| p.1).sum::<f64>() / n,
        );
        let sxx: f64 = logs.iter().map(|p| (p.0 - mx).powi(2)).sum();
        if logs.len() < 2 || sxx < 1e-12 {
            return None;
        }
        let exponent = logs.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / sxx;
        let start = my - exponent * mx;
        let left: f64 = logs
            .iter()
            .map(|p| (p.1 - start - exponent * p.0).powi(2))
            .sum();
        let error = if logs.len() > 2 {
            (left / (n - 2.0) / sxx).sqrt()
        } else {
            f64::NAN
        };
        Some(Slope {
            at_one: start.exp(),
            exponent,
            error,
            points: logs.len(),
        })
    }

    /// Of one measure of one role along one axis, over the points up to `most` of it.
    pub fn of(rows: &[Row], role: &str, axis: Axis, measure: &str, most: u64) -> Option<Slope> {
        let rows = rows
            .iter()
            .filter(|r| r.role == role && r.sweep == axis && r.figure.measure == measure);
        let points = rows
            .map(|r| (axis.of(&r.at), r.figure.median))
            .filter(|(x, _)| *x <= most);
        Slope::fit(&points.map(|(x, y)| (x as f64, y)).collect::<Vec<_>>())
    }

    /// The figure at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.at_one * size.powf(self.exponent)
    }
}
