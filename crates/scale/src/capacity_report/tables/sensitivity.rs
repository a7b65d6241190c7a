//! The tables that show how ratios depend on the assumptions and on the size of the fleet.

use crate::capacity_report::demand::{Demand, ranked};
use crate::capacity_report::format::{NOT_MEASURED, format_figure, markdown_table};
use crate::capacity_report::measurements::Measurements;
use crate::capacity_report::needs::Needs;
use crate::error::ReportError;
use crate::target::{OpenQuantity, Target};

/// Ratios that change by less than this share are not shown.
const MIN_SHOWN_CHANGE: f64 = 0.05;

/// The compared fleet sizes, as multiples of the target.
const SIZE_FACTORS: [f64; 3] = [0.1, 1.0, 10.0];

/// Generates the table of assumptions: the needs whose ratio changes by over [`MIN_SHOWN_CHANGE`] at half and at twice
/// the assumed value.
///
/// # Errors
/// As [`Demand::at_target`].
pub fn assumptions(
    needs: &Needs,
    measurements: &Measurements,
    target: &Target,
) -> Result<String, ReportError> {
    let assumed = Demand::all(needs, measurements, target)?;
    let mut rows = Vec::new();
    for assumption in &target.assumptions {
        let value = format_figure(Some(assumption.value));
        let mut cells = vec![
            assumption.question.clone(),
            format!("{value}: {}", assumption.rationale),
        ];
        for factor in [0.5, 2.0] {
            let value = assumption.value * factor;
            if assumption.quantity == OpenQuantity::ControlShare && value > 1.0 {
                cells.push("1 is all there is".into());
                continue;
            }
            let other = target.with_assumed(assumption.quantity, value);
            let mut effects = changed_ratios(&assumed, &Demand::all(needs, measurements, &other)?);
            effects.extend(other_effects(assumption.quantity, target, &other));
            cells.push(effects_text(value, &effects));
        }
        rows.push(cells);
    }
    Ok(markdown_table(
        &[
            "open",
            "taken as",
            "need over budget at half of it",
            "at twice",
        ],
        rows,
    ))
}

fn effects_text(value: f64, effects: &[String]) -> String {
    let effects = match effects {
        [] => "no measured need moves by a twentieth".to_owned(),
        some => some.join("; "),
    };
    format!("{}: {effects}", format_figure(Some(value)))
}

fn changed_ratios(before: &[Demand], after: &[Demand]) -> Vec<String> {
    let changed = |(before, after): (&Demand, &Demand)| {
        let (old, new) = (before.ratio?, after.ratio?);
        ((new - old).abs() > old * MIN_SHOWN_CHANGE).then(|| {
            let (new, old) = (format_figure(Some(new)), format_figure(Some(old)));
            format!("{} {new} (was {old})", before.need.name)
        })
    };
    before.iter().zip(after).filter_map(changed).collect()
}

/// Returns the effects of another assumed value on quantities other than the ratios.
fn other_effects(quantity: OpenQuantity, target: &Target, other: &Target) -> Vec<String> {
    let mut effects = Vec::new();
    let (old_mean, new_mean) = (target.mean_starts(), other.mean_starts());
    if old_mean != new_mean {
        let (new, old) = (format_figure(Some(new_mean)), format_figure(Some(old_mean)));
        effects.push(format!("mean of the day {new} starts/s (was {old})"));
    }
    let value = other.assumed(quantity);
    match quantity {
        OpenQuantity::CoresPerNode => {
            let cores = format_figure(Some(value * target.control_nodes));
            effects.push(format!("{cores} cores set aside in all"));
        }
        OpenQuantity::NodesPerRack => {
            let tasks = format_figure(Some(value * target.running_tasks / target.nodes));
            effects.push(format!("{tasks} tasks on a rack"));
        }
        OpenQuantity::Schedulers
        | OpenQuantity::ControlShare
        | OpenQuantity::TasksPerJob
        | OpenQuantity::ConnectionLifetimeS
        | OpenQuantity::CapacityPeriodS
        | OpenQuantity::Descriptors
        | OpenQuantity::Classes => {}
    }
    effects
}

/// Generates the table of need over budget at a tenth of the target's size, at that size, and at ten times it.
///
/// # Errors
/// As [`Demand::at_target`].
pub fn sizes(
    needs: &Needs,
    measurements: &Measurements,
    target: &Target,
) -> Result<String, ReportError> {
    let targets = SIZE_FACTORS.map(|factor| target.scaled(factor));
    let demands = targets
        .iter()
        .map(|target| Demand::all(needs, measurements, target));
    let demands = demands.collect::<Result<Vec<_>, ReportError>>()?;
    let mut rows = Vec::new();
    for (i, need) in needs.needs.iter().enumerate() {
        if demands.iter().all(|at_size| at_size[i].ratio.is_none()) {
            continue;
        }
        let mut cells = vec![need.role.clone(), need.name.clone()];
        cells.extend(
            demands
                .iter()
                .map(|at_size| format_figure(at_size[i].ratio)),
        );
        rows.push(cells);
    }
    let mut last_row = vec!["**gives out first**".to_owned(), String::new()];
    last_row.extend(demands.iter().map(|at_size| most_over_budget(at_size)));
    rows.push(last_row);
    let heads = targets.map(|target| format!("{} machines", format_figure(Some(target.nodes))));
    let head = [
        "role",
        "need over budget of",
        &heads[0],
        &heads[1],
        &heads[2],
    ];
    Ok(markdown_table(&head, rows))
}

/// Returns the name of the need that exceeds its budget by the largest factor, or a text if none does.
fn most_over_budget(demands: &[Demand]) -> String {
    match ranked(demands).first() {
        Some(demand) if demand.ratio.is_some_and(|ratio| ratio > 1.0) => demand.need.name.clone(),
        Some(_) => "nothing measured".into(),
        None => NOT_MEASURED.into(),
    }
}
