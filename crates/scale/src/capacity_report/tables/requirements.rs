//! The tables of the target's requirements and of mechanisms that do not exist yet.

use super::demand_text::amount_text;
use crate::capacity_report::demand::Demand;
use crate::capacity_report::format::{NOT_MEASURED, format_figure, markdown_table};
use crate::capacity_report::needs::{Needs, Requirement};
use crate::error::ReportError;
use crate::target::{OpenQuantity, Target};
use std::collections::BTreeMap;

/// Generates the table of requirements: what serves each, and the measured needs that show it.
///
/// # Errors
/// [`ReportError::Template`] if a requirement uses a figure that the target does not have.
pub fn requirements(
    demands: &[Demand],
    needs: &Needs,
    target: &Target,
) -> Result<String, ReportError> {
    let row = |requirement: &Requirement| {
        Ok(vec![
            render(&requirement.text, target)?,
            requirement.served_by.clone(),
            evidence(requirement, demands, target),
            requirement.missing.clone(),
        ])
    };
    let rows = needs
        .requirements
        .iter()
        .map(row)
        .collect::<Result<Vec<_>, ReportError>>()?;
    let head = [
        "target",
        "carried by",
        "shown by, need over budget",
        "missing, and where that is listed",
    ];
    Ok(markdown_table(&head, rows))
}

fn evidence(requirement: &Requirement, demands: &[Demand], target: &Target) -> String {
    let shown = requirement
        .needs
        .iter()
        .filter_map(|name| demands.iter().find(|d| d.need.name == *name));
    let shown: Vec<String> = shown.map(|demand| demand_text(demand, target)).collect();
    if shown.is_empty() {
        "no run".into()
    } else {
        shown.join("; ")
    }
}

fn demand_text(demand: &Demand, target: &Target) -> String {
    let name = &demand.need.name;
    match demand.ratio {
        Some(ratio) => {
            let files = demand
                .estimate
                .as_ref()
                .map(|e| e.files.join(", "))
                .unwrap_or_default();
            format!(
                "{name}: {} of its budget ({files})",
                format_figure(Some(ratio))
            )
        }
        None => format!("{name}: {}", amount_text(demand, target)),
    }
}

/// Generates the table of mechanisms that do not exist yet, with the demand for each.
///
/// # Errors
/// [`ReportError::Template`] if a demand uses a figure that the target does not have.
pub fn missing_mechanisms(needs: &Needs, target: &Target) -> Result<String, ReportError> {
    let rows = needs.missing.iter().map(|mechanism| {
        Ok(vec![
            mechanism.name.clone(),
            render(&mechanism.demand, target)?,
            mechanism.today.clone(),
            NOT_MEASURED.to_owned(),
            mechanism.next_step.clone(),
        ])
    });
    let rows = rows.collect::<Result<Vec<_>, ReportError>>()?;
    Ok(markdown_table(
        &["what", "its demand", "today", "need over budget", "next"],
        rows,
    ))
}

/// Renders a template with the target's figures.
fn render(text: &str, target: &Target) -> Result<String, ReportError> {
    let mut figures: BTreeMap<String, f64> = target.figures()?.into_iter().collect();
    let starts_of_one = target.starts_per_second / target.assumed(OpenQuantity::Schedulers);
    let derived = [
        ("starts_of_one", starts_of_one),
        ("mean_starts", target.mean_starts()),
        ("configuration_changes", target.configuration_changes()),
        ("list_changes", target.list_changes()),
    ];
    figures.extend(derived.map(|(name, figure)| (name.to_owned(), figure)));
    let mut environment = minijinja::Environment::new();
    environment.set_undefined_behavior(minijinja::UndefinedBehavior::Strict);
    environment.add_filter("short", |figure: f64| format_figure(Some(figure)));
    let rendered = environment.render_str(text, figures);
    rendered.map_err(|source| ReportError::Template {
        text: text.to_owned(),
        source,
    })
}
