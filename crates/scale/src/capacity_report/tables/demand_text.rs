//! Texts about a demand that several tables share.

use crate::capacity_report::curve::Estimate;
use crate::capacity_report::demand::{BaseUnit, Demand};
use crate::capacity_report::format::format_with_unit;
use crate::capacity_report::needs::{Budget, Multiplier};
use crate::target::Target;

/// Formats the measure, axes, kind of run and files of an estimate; empty if there is none.
pub fn origin(estimate: Option<&Estimate>) -> String {
    let Some(estimate) = estimate else {
        return String::new();
    };
    let axes = estimate.axes.iter().map(|axis| {
        let is_extrapolated = estimate.extrapolated_axes.contains(axis);
        let suffix = if is_extrapolated {
            " (beyond what was measured)"
        } else {
            ""
        };
        format!("{}{suffix}", axis.name())
    });
    format!(
        "{} along {}; {}; {}",
        estimate.subject.measure,
        axes.collect::<Vec<_>>().join(", "),
        kind_of_run(estimate.subject.is_hollow),
        estimate.files.join(", ")
    )
}

/// Returns the text for a figure of a hollow role or of real processes.
pub fn kind_of_run(is_hollow: bool) -> &'static str {
    if is_hollow { "hollow" } else { "real" }
}

/// Formats the budget of a need and its limit.
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

/// Formats the demand of one process with its unit.
pub fn amount_text(demand: &Demand, target: &Target) -> String {
    let unit = match demand.need.budget.limit(target) {
        Some(limit) => limit.unit,
        None => unit_without_budget(demand),
    };
    format_with_unit(demand.amount, unit)
}

/// Returns the unit of a demand without a budget: a rate unless the multiplier is [`Multiplier::Once`].
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
