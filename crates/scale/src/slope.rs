//! The growth of a figure along its axis: a power law fitted to the medians of a sweep.

/// The power law `figure = at_one * size ^ exponent`, fitted by least squares on logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// The figure at size one.
    pub at_one: f64,
    /// The exponent.
    pub exponent: f64,
    /// Standard error of the exponent; NaN for two points.
    pub standard_error: f64,
    /// Number of points used for the fit.
    pub points: usize,
}

impl Slope {
    /// Fits (size, figure) pairs; `None` if fewer than two points at different sizes are above zero.
    pub fn fit(points: &[(f64, f64)]) -> Option<Slope> {
        let positive = points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs: Vec<(f64, f64)> = positive.map(|(x, y)| (x.ln(), y.ln())).collect();
        let n = logs.len() as f64;
        let mean_x = logs.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = logs.iter().map(|p| p.1).sum::<f64>() / n;
        let sum_xx: f64 = logs.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if logs.len() < 2 || sum_xx < 1e-12 {
            return None;
        }
        let sum_xy = logs
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum::<f64>();
        let exponent = sum_xy / sum_xx;
        let intercept = mean_y - exponent * mean_x;
        let residual: f64 = logs
            .iter()
            .map(|p| (p.1 - intercept - exponent * p.0).powi(2))
            .sum();
        let standard_error = if logs.len() > 2 {
            (residual / (n - 2.0) / sum_xx).sqrt()
        } else {
            f64::NAN
        };
        Some(Slope {
            at_one: intercept.exp(),
            exponent,
            standard_error,
            points: logs.len(),
        })
    }

    /// Returns the fitted figure at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.at_one * size.powf(self.exponent)
    }
}
