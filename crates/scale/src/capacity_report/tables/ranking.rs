//! The ranking of needs by their ratio to the budget.

use super::demand_text::{amount_text, budget_text};
use crate::capacity_report::demand::{Demand, ranked};
use crate::capacity_report::format::{NOT_MEASURED, format_figure, markdown_table};
use crate::capacity_report::needs::{Budget, Needs};
use crate::target::Target;

/// Need over budget, the largest first; then what was not measured, then what does not exist.
pub fn ranking(demands: &[Demand], needs: &Needs, target: &Target) -> String {
    let mut rows: Vec<Vec<String>> = Vec::new();
    for (rank, demand) in (1..).zip(ranked(demands)) {
        rows.push(ranked_row(rank, demand, target));
    }
    let unmeasured = demands
        .iter()
        .filter(|d| d.estimate.is_none() && d.need.budget != Budget::None);
    for demand in unmeasured {
        rows.push(vec![
            "-".into(),
            demand.need.role.clone(),
            demand.need.name.clone(),
            NOT_MEASURED.into(),
            budget_text(demand, target),
            NOT_MEASURED.into(),
            demand.need.next_step.clone(),
        ]);
    }
    for mechanism in &needs.missing {
        rows.push(vec![
            "-".into(),
            "-".into(),
            mechanism.name.clone(),
            "does not exist".into(),
            String::new(),
            NOT_MEASURED.into(),
            mechanism.next_step.clone(),
        ]);
    }
    let head = [
        "rank",
        "role",
        "need",
        "need of one process",
        "budget",
        "need over budget",
        "next",
    ];
    markdown_table(&head, rows)
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
