//! Formatting of numbers, units and Markdown tables for the page.

use crate::row::Axis;

/// The text for a figure without a stored row.
pub const NOT_MEASURED: &str = "not measured";

/// Significant digits of a figure.
const DIGITS: i32 = 3;

/// Whole numbers below ten to this power are written in full.
const FULL_BELOW_POWER: i32 = 5;

/// The smallest figure that is written as a number.
const SMALLEST_WRITTEN: f64 = 1e-6;

/// Formats a figure with three significant digits and thousands separators; whole numbers of up to five digits are
/// written in full. `None` and figures that are not finite give [`NOT_MEASURED`].
pub fn format_figure(figure: Option<f64>) -> String {
    let Some(figure) = figure.filter(|f| f.is_finite()) else {
        return NOT_MEASURED.into();
    };
    if figure == 0.0 {
        return "0".into();
    }
    if figure.abs() < SMALLEST_WRITTEN {
        return "under 0.000001".into();
    }
    let text = round_to_digits(figure);
    let (integer, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let fraction = fraction.trim_end_matches('0');
    let (sign, integer) = integer
        .strip_prefix('-')
        .map_or(("", integer), |rest| ("-", rest));
    let integer = with_separators(integer);
    if fraction.is_empty() {
        format!("{sign}{integer}")
    } else {
        format!("{sign}{integer}.{fraction}")
    }
}

fn round_to_digits(figure: f64) -> String {
    let power = figure.abs().log10().floor() as i32;
    let is_exact = figure.fract() == 0.0 && power < FULL_BELOW_POWER;
    let step = if is_exact {
        1.0
    } else {
        10f64.powi(power - (DIGITS - 1))
    };
    let rounded = (figure / step).round() * step;
    let power = rounded.abs().log10().floor() as i32;
    let decimals = (DIGITS - 1 - power).clamp(0, 9) as usize;
    format!("{rounded:.decimals$}")
}

fn with_separators(digits: &str) -> String {
    let mut text = String::new();
    for (i, digit) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Formats a count as [`format_figure`] does.
pub fn format_count(count: u64) -> String {
    format_figure(Some(count as f64))
}

/// Formats a figure with its unit. Seconds, cores and bytes are scaled to a suitable prefix.
pub fn format_with_unit(figure: Option<f64>, unit: &str) -> String {
    let Some(value) = figure.filter(|f| f.is_finite()) else {
        return format_figure(None);
    };
    let (numerator, per) = unit
        .split_once('/')
        .map_or((unit, String::new()), |(a, b)| (a, format!("/{b}")));
    let scales: &[(f64, &str)] = match numerator {
        "s" => &[(1.0, "s"), (1e-3, "ms"), (1e-6, "us")],
        "us" => &[(1e6, "s"), (1e3, "ms"), (1.0, "us")],
        "bytes" => &[(1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (1.0, "bytes")],
        "cores" => &[(1.0, "cores"), (0.01, "% of a core")],
        "count" => return format!("{}{per}", format_figure(figure)),
        _ => return format!("{} {unit}", format_figure(figure)),
    };
    let fitting = scales
        .iter()
        .find(|(scale, _)| value.abs() >= *scale)
        .or(scales.last());
    let (scale, name) = fitting.copied().unwrap_or((1.0, unit));
    let gap = if name.starts_with('%') { "" } else { " " };
    format!("{}{gap}{name}{per}", format_figure(Some(value / scale)))
}

/// Formats the names of axes, separated by commas.
pub fn format_axes(axes: impl IntoIterator<Item = Axis>) -> String {
    axes.into_iter()
        .map(Axis::name)
        .collect::<Vec<_>>()
        .join(", ")
}

/// Formats a Markdown table. Line breaks in cells become spaces, and vertical bars are escaped.
pub fn markdown_table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let line = |cells: Vec<String>| {
        let cells: Vec<String> = cells
            .iter()
            .map(|c| c.replace('|', "\\|").replace('\n', " "))
            .collect();
        format!("| {} |\n", cells.join(" | "))
    };
    let rule = format!("|{}\n", " --- |".repeat(head.len()));
    let head = line(head.iter().map(|h| (*h).to_owned()).collect());
    head + &rule + &rows.into_iter().map(line).collect::<String>()
}

/// Formats a Markdown table as [`markdown_table`] does, with a single row that says [`NOT_MEASURED`] if there are no
/// rows.
pub fn markdown_table_or_not_measured(head: &[&str], mut rows: Vec<Vec<String>>) -> String {
    if rows.is_empty() {
        let mut row = vec![String::new(); head.len()];
        row[0] = NOT_MEASURED.into();
        rows.push(row);
    }
    markdown_table(head, rows)
}
