//! Phrases on a demand that several tables share.

use crate::capacity_report::curve::Estimate;
use crate::capacity_report::demand::{BaseUnit, Demand};
use crate::capacity_report::format::format_with_unit;
use crate::capacity_report::needs::{Budget, Multiplier};
use crate::target::Target;

/// Measure, axes, kind of run and files behind an estimate; empty without one.
pub fn origin(estimate: Option<&Estimate>) -> String {
    let Some(estimate) = estimate else {
        return String::new();
    };
    let axes = estimate.axes.iter().map(|axis| {
        let is_beyond = estimate.extrapolated_axes.contains(axis);
        let beyond = if is_beyond {
            " (beyond what was measured)"
        } else {
            ""
        };
        format!("{}{beyond}", axis.name())
    });
    format!(
        "{} along {}; {}; {}",
        estimate.subject.measure,
        axes.collect::<Vec<_>>().join(", "),
        kind_of_run(estimate.subject.is_hollow),
        estimate.files.join(", ")
    )
}

/// Whether a figure is of a hollow role or of real processes, as the page says it.
pub fn kind_of_run(is_hollow: bool) -> &'static str {
    if is_hollow { "hollow" } else { "real" }
}

/// The budget of a need and its limit.
pub fn budget_text(demand: &Demand, target: &Target) -> String {
    let budget = demand.need.budget;
    match budget.limit(target) {
        Some(limit) => {
            format!(
                "{}: {}",
                budget.description(),
                format_with_unit(Some(limit.value), limit.unit)
            )
        }
        None => Budget::None.description().into(),
    }
}

/// The demand of one process with its unit.
pub fn amount_text(demand: &Demand, target: &Target) -> String {
    let unit = match demand.need.budget.limit(target) {
        Some(limit) => limit.unit,
        None => unit_without_budget(demand),
    };
    format_with_unit(demand.amount, unit)
}

/// The unit of a demand that has no budget: a rate unless the measure counts once.
fn unit_without_budget(demand: &Demand) -> &'static str {
    let is_rate = demand.need.multiplier != Multiplier::Once;
    match demand.estimate.as_ref().map(|e| BaseUnit::of(&e.unit).name) {
        Some("s") if is_rate => "cores",
        Some("s") => "s",
        Some("bytes") if is_rate => "bytes/s",
        Some("bytes") => "bytes",
        _ => "count",
    }
}
