//! The table of row files, with the commands that write them.

use crate::capacity_report::format::{format_axes, markdown_table_or_not_measured};
use crate::capacity_report::measurements::{Measurements, Source};
use crate::row::Axis;
use std::collections::BTreeSet;

/// Generates the table of row files: the command that writes each, its roles, axes and number of rows.
pub fn sources(measurements: &Measurements) -> String {
    markdown_table_or_not_measured(
        &["file", "command", "roles", "axes", "rows"],
        measurements.sources.iter().map(source_row).collect(),
    )
}

fn source_row(source: &Source) -> Vec<String> {
    let roles: BTreeSet<&str> = source.rows.iter().map(|r| r.role.as_str()).collect();
    let axes: BTreeSet<Axis> = source.rows.iter().map(|r| r.axis).collect();
    vec![
        source.name.clone(),
        command(source, &roles),
        roles.iter().copied().collect::<Vec<_>>().join(", "),
        format_axes(axes),
        source.rows.len().to_string(),
    ]
}

fn command(source: &Source, roles: &BTreeSet<&str>) -> String {
    let has_all = crate::roles::ROLES
        .iter()
        .all(|role| roles.contains(role.name));
    let only = if has_all {
        String::new()
    } else {
        roles.iter().map(|role| format!(" --role {role}")).collect()
    };
    let quick = if source.name.contains("quick") {
        " --quick"
    } else {
        ""
    };
    format!(
        "`peppercove bench scale{quick}{only} --out {}`",
        source.name
    )
}
