//! One chart a role: need over budget against the size of the fleet, with the budget as a line.

use crate::page::book::Book;
use crate::page::need::{Budget, Needs, Worked};
use crate::page::words::short;
use crate::target::Target;
use anyhow::{Result, anyhow};
use plotters::prelude::*;

/// Sizes drawn: a tenth to ten times the target.
const STEPS: i32 = 8;

/// A need below this part of its budget is drawn at the lower edge.
const LEAST: f64 = 1e-4;

/// The sizes, as multiples of the target.
pub fn factors() -> Vec<f64> {
    (-STEPS..=STEPS)
        .map(|i| 10f64.powf(f64::from(i) / f64::from(STEPS)))
        .collect()
}

/// A need's name and its need over budget by machines of the fleet.
type Line = (String, Vec<(f64, f64)>);

/// The lines of a role's chart; needs without budget or measurement are left out.
fn lines(role: &str, needs: &Needs, book: &Book, target: &Target) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    for need in needs
        .needs
        .iter()
        .filter(|n| n.role == role && n.budget != Budget::None)
    {
        let mut points = Vec::new();
        for factor in factors() {
            let size = target.scaled(factor);
            let ratio = Worked::out(need, book, &size)?
                .ratio
                .filter(|r| *r > 0.0 && r.is_finite());
            points.extend(ratio.map(|r| (size.machines, r)));
        }
        if !points.is_empty() {
            lines.push((need.name.clone(), points));
        }
    }
    Ok(lines)
}

/// The SVG of a role; none where nothing of it was measured.
///
/// # Errors
/// Where a unit makes no sense, or the backend fails.
pub fn draw(role: &str, needs: &Needs, book: &Book, target: &Target) -> Result<Option<String>> {
    let lines = lines(role, needs, book, target)?;
    if lines.is_empty() {
        return Ok(None);
    }
    let ratios = lines
        .iter()
        .flat_map(|(_, points)| points.iter().map(|p| p.1));
    let (least, most) = ratios.fold((1.0f64, 1.0f64), |(l, m), r| (l.min(r), m.max(r)));
    let tens = |power: f64| 10f64.powf(power);
    let edges = (
        tens(least.max(LEAST).log10().floor() - 0.1),
        tens(most.log10().ceil() + 0.1),
    );
    let mut svg = String::new();
    drawn(&mut svg, role, &lines, edges, target)
        .map_err(|e| anyhow!("the chart of {role}: {e}"))?;
    Ok(Some(svg + "\n"))
}

fn drawn(
    svg: &mut String,
    role: &str,
    lines: &[Line],
    (low, high): (f64, f64),
    target: &Target,
) -> Result<(), Box<dyn std::error::Error>> {
    let whole = SVGBackend::with_string(svg, (1_000, 520)).into_drawing_area();
    whole.fill(&WHITE)?;
    // Beside the lines, so that none is hidden.
    let (area, legend) = whole.split_horizontally(680);
    let mut named = 0;
    let mut name = |text: &str, style: ShapeStyle| {
        let y = 48 + 18 * named;
        named += 1;
        legend.draw(&PathElement::new([(4, y + 6), (22, y + 6)], style))?;
        legend.draw(&Text::new(text.to_owned(), (28, y), ("sans-serif", 14)))
    };
    let (from, to) = (target.scaled(0.1).machines, target.scaled(10.0).machines);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{role}: need over budget against the size of the fleet"),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d((from..to).log_scale(), (low..high).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("machines of the fleet, all else in proportion")
        .y_desc("need over budget")
        .x_label_formatter(&|x| short(Some(*x)))
        .y_label_formatter(&|y| short(Some(*y)))
        .draw()?;
    let budget = BLACK.stroke_width(2);
    chart.draw_series(LineSeries::new([(from, 1.0), (to, 1.0)], budget))?;
    name("budget", budget)?;
    let size = BLACK.mix(0.3).stroke_width(1);
    chart.draw_series(LineSeries::new(
        [(target.machines, low), (target.machines, high)],
        size,
    ))?;
    name("the target's size", size)?;
    for (i, (need, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).stroke_width(2);
        chart.draw_series(LineSeries::new(
            points.iter().map(|&(x, y)| (x, y.max(low))),
            color,
        ))?;
        name(need, color)?;
    }
    whole.present()?;
    Ok(())
}
