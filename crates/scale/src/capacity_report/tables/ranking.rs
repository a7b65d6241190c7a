//! The ranking of needs by their ratio to the budget.

use super::demand_text::{amount_text, budget_text};
use crate::capacity_report::demand::{Demand, ranked};
use crate::capacity_report::format::{NOT_MEASURED, format_figure, markdown_table};
use crate::capacity_report::needs::{Budget, MissingMechanism, Needs};
use crate::target::Target;

/// Generates the ranking: needs by their ratio to the budget, largest first, then needs that were not measured, then
/// mechanisms that do not exist.
pub fn ranking(demands: &[Demand], needs: &Needs, target: &Target) -> String {
    let is_unmeasured =
        |demand: &&Demand| demand.estimate.is_none() && demand.need.budget != Budget::None;
    let ranked = (1..)
        .zip(ranked(demands))
        .map(|(rank, demand)| ranked_row(rank, demand, target));
    let unmeasured = demands
        .iter()
        .filter(is_unmeasured)
        .map(|d| unmeasured_row(d, target));
    let missing = needs.missing.iter().map(missing_row);
    let head = [
        "rank",
        "role",
        "need",
        "need of one process",
        "budget",
        "need over budget",
        "next",
    ];
    markdown_table(&head, ranked.chain(unmeasured).chain(missing).collect())
}

fn unmeasured_row(demand: &Demand, target: &Target) -> Vec<String> {
    vec![
        "-".into(),
        demand.need.role.clone(),
        demand.need.name.clone(),
        NOT_MEASURED.into(),
        budget_text(demand, target),
        NOT_MEASURED.into(),
        demand.need.next_step.clone(),
    ]
}

fn missing_row(mechanism: &MissingMechanism) -> Vec<String> {
    vec![
        "-".into(),
        "-".into(),
        mechanism.name.clone(),
        "does not exist".into(),
        String::new(),
        NOT_MEASURED.into(),
        mechanism.next_step.clone(),
    ]
}

fn ranked_row(rank: usize, demand: &Demand, target: &Target) -> Vec<String> {
    let is_over_budget = demand.ratio.is_some_and(|ratio| ratio > 1.0);
    let next = if is_over_budget {
        demand.need.next_step.clone()
    } else {
        "within budget".to_owned()
    };
    vec![
        rank.to_string(),
        demand.need.role.clone(),
        demand.need.name.clone(),
        amount_text(demand, target),
        budget_text(demand, target),
        format_figure(demand.ratio),
        next,
    ]
}
