//! The demand of a need at the size of a target, and its ratio to the budget.

use super::curve::Estimate;
use super::measurements::Measurements;
use super::needs::{Need, Needs};
use crate::error::ReportError;
use crate::target::{OpenQuantity, Target};

/// The demand of one process of a role at the size of a target.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The need.
    pub need: Need,
    /// The estimated cost of one event; `None` if nothing was measured.
    pub estimate: Option<Estimate>,
    /// How often that cost occurs, per second or in total.
    pub multiplier: f64,
    /// The demand in base units of the measure: seconds, bytes or a count, in total or per second.
    pub amount: Option<f64>,
    /// Demand divided by budget; `None` without a budget or a measurement.
    pub ratio: Option<f64>,
}

impl Demand {
    /// Returns the demand of one need at the size of the target.
    ///
    /// # Errors
    /// [`ReportError::UnitMismatch`] if the unit of the measure cannot be compared with the budget.
    pub fn at_target(
        need: &Need,
        measurements: &Measurements,
        target: &Target,
    ) -> Result<Demand, ReportError> {
        let estimate = estimate_of(need, measurements, target);
        let share = if need.is_start_traffic {
            target.assumed(OpenQuantity::ControlShare)
        } else {
            1.0
        };
        let multiplier = need.multiplier.value(target, &need.role) * share;
        let mut demand = Demand {
            need: need.clone(),
            estimate,
            multiplier,
            amount: None,
            ratio: None,
        };
        let Some(estimate) = &demand.estimate else {
            return Ok(demand);
        };
        let base = BaseUnit::of(&estimate.unit);
        let amount = estimate.figure * base.factor * multiplier;
        demand.amount = Some(amount);
        if let Some(limit) = need.budget.limit(target) {
            if need.budget.base_unit() != base.name {
                return Err(unit_mismatch(need, estimate));
            }
            demand.ratio = Some(amount / limit.value);
        }
        Ok(demand)
    }

    /// Returns the demands of all needs at the size of the target, in the order of the needs.
    ///
    /// # Errors
    /// As [`Demand::at_target`].
    pub fn all(
        needs: &Needs,
        measurements: &Measurements,
        target: &Target,
    ) -> Result<Vec<Demand>, ReportError> {
        needs
            .needs
            .iter()
            .map(|need| Demand::at_target(need, measurements, target))
            .collect()
    }

    /// Returns the cost of one event in seconds, bytes or a count.
    pub fn cost_per_event(&self) -> Option<f64> {
        self.estimate
            .as_ref()
            .map(|e| e.figure * BaseUnit::of(&e.unit).factor)
    }
}

fn estimate_of(need: &Need, measurements: &Measurements, target: &Target) -> Option<Estimate> {
    let sizes = target.sizes();
    let estimate = |measures: &[String]| {
        let subject = measurements.subject(&need.role, measures)?;
        measurements.estimate(&subject, &sizes)
    };
    let first = estimate(&need.measures);
    let added = need
        .added_measures
        .iter()
        .map(|measure| estimate(std::slice::from_ref(measure)));
    added.fold(first, |sum, more| sum?.plus(&more?))
}

fn unit_mismatch(need: &Need, estimate: &Estimate) -> ReportError {
    ReportError::UnitMismatch {
        need: need.name.clone(),
        measure: estimate.subject.measure.clone(),
        role: need.role.clone(),
        unit: estimate.unit.clone(),
        budget: need.budget.description(),
    }
}

/// Returns the demands with a ratio, largest first.
pub fn ranked(demands: &[Demand]) -> Vec<&Demand> {
    let mut ranked: Vec<&Demand> = demands.iter().filter(|d| d.ratio.is_some()).collect();
    ranked.sort_by(|a, b| b.ratio.unwrap_or(0.0).total_cmp(&a.ratio.unwrap_or(0.0)));
    ranked
}

/// The base unit of a unit used in rows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BaseUnit<'a> {
    /// Number of base units in one unit.
    pub factor: f64,
    /// `s`, `bytes`, or the unit itself, without the part after a slash.
    pub name: &'a str,
}

impl<'a> BaseUnit<'a> {
    /// Returns the base unit of `unit`.
    pub fn of(unit: &'a str) -> BaseUnit<'a> {
        let numerator = unit.split('/').next().unwrap_or(unit);
        let (factor, name) = match numerator {
            "ns" => (1e-9, "s"),
            "us" => (1e-6, "s"),
            "ms" => (1e-3, "s"),
            "bytes" | "byte" => (1.0, "bytes"),
            "kB" => (1e3, "bytes"),
            "KiB" => (1024.0, "bytes"),
            "MB" => (1e6, "bytes"),
            other => (1.0, other),
        };
        BaseUnit { factor, name }
    }
}
