//! The tables of roles and of needs.

use super::demand_text::{amount_text, budget_text, origin};
use crate::capacity_report::demand::Demand;
use crate::capacity_report::format::{format_figure, format_with_unit, markdown_table};
use crate::capacity_report::needs::{Budget, Multiplier, Needs};
use crate::target::Target;

/// Generates the table of roles: the number of processes, its origin, and the tasks, starts and connections of one
/// process.
pub fn roles(needs: &Needs, target: &Target) -> String {
    let row = |role: &str| {
        let processes = target.processes(role);
        let per_process = [
            target.running_tasks / processes,
            target.starts_per_second / processes,
            target.connections(role).round(),
        ];
        let mut cells = vec![
            role.to_owned(),
            format_figure(Some(processes)),
            Target::processes_origin(role).to_owned(),
        ];
        cells.extend(per_process.map(|figure| format_figure(Some(figure))));
        cells
    };
    let head = [
        "role",
        "how many",
        "why",
        "standing tasks of one",
        "starts/s of one at the peak",
        "connections of one with machines or schedulers at the peak",
    ];
    markdown_table(&head, needs.roles().into_iter().map(row).collect())
}

/// Generates the table of needs: the figure, budget, origin and mechanism of each.
pub fn needs(demands: &[Demand], target: &Target) -> String {
    let head = [
        "role",
        "need",
        "one, at that size",
        "times",
        "need of one process",
        "budget",
        "need over budget",
        "from",
        "carried by",
    ];
    markdown_table(
        &head,
        demands
            .iter()
            .map(|demand| need_row(demand, target))
            .collect(),
    )
}

fn need_row(demand: &Demand, target: &Target) -> Vec<String> {
    let need = &demand.need;
    let estimate = demand.estimate.as_ref();
    let per_event = match estimate {
        Some(estimate) => format_with_unit(Some(estimate.figure), &estimate.unit),
        None => format_figure(None),
    };
    let description = need.multiplier.description();
    let multiplier = if need.multiplier == Multiplier::Once {
        description.to_owned()
    } else {
        format!("{} {description}", format_figure(Some(demand.multiplier)))
    };
    let has_budget = need.budget != Budget::None;
    let ratio = if has_budget {
        format_figure(demand.ratio)
    } else {
        "-".into()
    };
    let location = if need.code_location.is_empty() {
        String::new()
    } else {
        format!(" (`{}`)", need.code_location)
    };
    vec![
        need.role.clone(),
        need.name.clone(),
        per_event,
        multiplier,
        amount_text(demand, target),
        budget_text(demand, target),
        ratio,
        origin(estimate),
        need.mechanism.clone() + &location,
    ]
}
