//! The tables of the page, one module per group of tables.

mod comparisons;
mod demand_text;
mod faults;
mod needs;
mod ranking;
mod requirements;
mod sensitivity;
mod slopes;
mod sources;
mod totals;

use super::demand::Demand;
use super::inputs::Inputs;
use crate::error::ReportError;

/// A generated table of the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// The name in the marker.
    pub name: &'static str,
    /// The table in Markdown.
    pub text: String,
}

/// Returns all tables except the list of charts.
///
/// # Errors
/// [`ReportError`] if a unit does not match its budget or a template cannot be rendered.
pub(super) fn all(inputs: &Inputs) -> Result<Vec<Table>, ReportError> {
    let Inputs {
        target,
        needs,
        measurements,
    } = inputs;
    let demands = Demand::all(needs, measurements, target)?;
    let table = |name, text| Table { name, text };
    Ok(vec![
        table("ranking", ranking::ranking(&demands, needs, target)),
        table("roles", needs::roles(needs, target)),
        table("needs", needs::needs(&demands, target)),
        table("together", totals::totals(&demands, target)),
        table(
            "target",
            requirements::requirements(&demands, needs, target)?,
        ),
        table("absent", requirements::missing_mechanisms(needs, target)?),
        table(
            "assumptions",
            sensitivity::assumptions(needs, measurements, target)?,
        ),
        table("trouble", faults::faults(&demands, needs, target)),
        table("sizes", sensitivity::sizes(needs, measurements, target)?),
        table("predictions", comparisons::predictions(measurements, needs)),
        table(
            "both-ways",
            comparisons::hollow_and_real(measurements, needs),
        ),
        table("slopes", slopes::slopes(measurements, needs)),
        table("sources", sources::sources(measurements)),
    ])
}
