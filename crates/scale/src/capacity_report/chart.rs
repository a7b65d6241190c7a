//! One chart per role: need over budget against the size of the fleet, with the budget as a line.

use super::demand::Demand;
use super::format::format_figure;
use super::inputs::Inputs;
use super::needs::Budget;
use crate::error::ReportError;
use crate::target::Target;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Drawn sizes per power of ten. A chart ranges from a tenth to ten times the target.
const STEPS_PER_DECADE: i32 = 8;

/// A ratio below this is drawn at the lower edge.
const MIN_RATIO: f64 = 1e-4;

/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (1_000, 520);

/// Width in pixels of the area with the curves. The legend is next to it, so that it covers none of them.
const CURVES_WIDTH: u32 = 680;

/// Distance between two lines of the legend in pixels.
const LEGEND_LINE_HEIGHT: i32 = 18;

/// The chart of one role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chart {
    /// The role.
    pub role: String,
    /// The image as SVG.
    pub svg: String,
}

impl Chart {
    /// Returns the name of the image file.
    pub fn file_name(&self) -> String {
        format!("{}.svg", self.role)
    }
}

/// Returns the drawn sizes as multiples of the target.
fn size_factors() -> impl Iterator<Item = f64> {
    (-STEPS_PER_DECADE..=STEPS_PER_DECADE)
        .map(|i| 10f64.powf(f64::from(i) / f64::from(STEPS_PER_DECADE)))
}

/// The ratio of a need to its budget, by number of nodes in the fleet.
struct NeedCurve {
    need: String,
    points: Vec<(f64, f64)>,
}

/// The range of the ratio axis.
#[derive(Clone, Copy)]
struct RatioRange {
    low: f64,
    high: f64,
}

impl RatioRange {
    /// Returns a range of whole powers of ten that includes all ratios and 1, with a small margin at both ends.
    fn around(curves: &[NeedCurve]) -> RatioRange {
        let ratios = curves
            .iter()
            .flat_map(|curve| curve.points.iter().map(|p| p.1));
        let (smallest, largest) =
            ratios.fold((1.0f64, 1.0f64), |(low, high), r| (low.min(r), high.max(r)));
        let power_of_ten = |power: f64| 10f64.powf(power);
        RatioRange {
            low: power_of_ten(smallest.max(MIN_RATIO).log10().floor() - 0.1),
            high: power_of_ten(largest.log10().ceil() + 0.1),
        }
    }
}

/// Returns the curves of a role. Needs without a budget or a measurement are omitted.
fn need_curves(role: &str, inputs: &Inputs) -> Result<Vec<NeedCurve>, ReportError> {
    let Inputs {
        target,
        needs,
        measurements,
    } = inputs;
    let mut curves = Vec::new();
    for need in needs
        .needs
        .iter()
        .filter(|n| n.role == role && n.budget != Budget::None)
    {
        let mut points = Vec::new();
        for factor in size_factors() {
            let size = target.scaled(factor);
            let ratio = Demand::at_target(need, measurements, &size)?.ratio;
            let ratio = ratio.filter(|ratio| *ratio > 0.0 && ratio.is_finite());
            points.extend(ratio.map(|ratio| (size.nodes, ratio)));
        }
        if !points.is_empty() {
            curves.push(NeedCurve {
                need: need.name.clone(),
                points,
            });
        }
    }
    Ok(curves)
}

/// Draws the chart of a role; `None` if no need with a budget was measured.
///
/// # Errors
/// [`ReportError`] if a unit cannot be compared with the budget, or the drawing library fails.
pub fn draw(role: &str, inputs: &Inputs) -> Result<Option<Chart>, ReportError> {
    let curves = need_curves(role, inputs)?;
    if curves.is_empty() {
        return Ok(None);
    }
    let mut svg = String::new();
    let drawn = draw_svg(&mut svg, role, &curves, &inputs.target);
    drawn.map_err(|e| ReportError::Chart {
        role: role.to_owned(),
        reason: e.to_string(),
    })?;
    Ok(Some(Chart {
        role: role.to_owned(),
        svg: svg + "\n",
    }))
}

/// The result of a drawing operation, whose error type depends on the drawn element.
type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw_svg(svg: &mut String, role: &str, curves: &[NeedCurve], target: &Target) -> DrawResult {
    let range = RatioRange::around(curves);
    let image = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
    image.fill(&WHITE)?;
    let (area, legend) = image.split_horizontally(CURVES_WIDTH);
    let mut legend = Legend {
        area: legend,
        lines: 0,
    };
    let (from, to) = (target.scaled(0.1).nodes, target.scaled(10.0).nodes);
    let title = format!("{role}: need over budget against the size of the fleet");
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d((from..to).log_scale(), (range.low..range.high).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("machines of the fleet, all else in proportion")
        .y_desc("need over budget")
        .x_label_formatter(&|x| format_figure(Some(*x)))
        .y_label_formatter(&|y| format_figure(Some(*y)))
        .draw()?;
    for line in chart_lines(curves, target, range) {
        chart.draw_series(LineSeries::new(line.points, line.style))?;
        legend.add(line.name, line.style)?;
    }
    image.present()?;
    Ok(())
}

/// A line of a chart and its legend text.
struct ChartLine<'a> {
    name: &'a str,
    style: ShapeStyle,
    points: Vec<(f64, f64)>,
}

/// Returns the lines for the budget, the size of the target, and each need.
fn chart_lines<'a>(
    curves: &'a [NeedCurve],
    target: &Target,
    range: RatioRange,
) -> Vec<ChartLine<'a>> {
    let (from, to) = (target.scaled(0.1).nodes, target.scaled(10.0).nodes);
    let mut lines = vec![
        ChartLine {
            name: "budget",
            style: BLACK.stroke_width(2),
            points: vec![(from, 1.0), (to, 1.0)],
        },
        ChartLine {
            name: "the target's size",
            style: BLACK.mix(0.3).stroke_width(1),
            points: vec![(target.nodes, range.low), (target.nodes, range.high)],
        },
    ];
    for (i, curve) in curves.iter().enumerate() {
        let points = curve
            .points
            .iter()
            .map(|&(nodes, ratio)| (nodes, ratio.max(range.low)));
        lines.push(ChartLine {
            name: &curve.need,
            style: Palette99::pick(i).stroke_width(2),
            points: points.collect(),
        });
    }
    lines
}

/// The legend, with one text line per chart line.
struct Legend<'a> {
    area: DrawingArea<SVGBackend<'a>, Shift>,
    lines: i32,
}

impl Legend<'_> {
    fn add(&mut self, text: &str, style: ShapeStyle) -> DrawResult {
        let y = 48 + LEGEND_LINE_HEIGHT * self.lines;
        self.lines += 1;
        self.area
            .draw(&PathElement::new([(4, y + 6), (22, y + 6)], style))?;
        self.area
            .draw(&Text::new(text.to_owned(), (28, y), ("sans-serif", 14)))?;
        Ok(())
    }
}
