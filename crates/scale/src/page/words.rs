//! Figures and tables as the page writes them.

use crate::row::Axis;

/// Three digits, with commas; whole numbers of up to five in full. None is `not measured`.
pub fn short(figure: Option<f64>) -> String {
    let Some(figure) = figure.filter(|f| f.is_finite()) else {
        return "not measured".into();
    };
    if figure == 0.0 {
        return "0".into();
    }
    if figure.abs() < 1e-6 {
        return "under 0.000001".into();
    }
    let power = figure.abs().log10().floor() as i32;
    let exact = figure.fract() == 0.0 && power < 5;
    let step = if exact { 1.0 } else { 10f64.powi(power - 2) };
    let rounded = (figure / step).round() * step;
    let power = rounded.abs().log10().floor() as i32;
    let digits = (2 - power).clamp(0, 9) as usize;
    let text = format!("{rounded:.digits$}");
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let part = part.trim_end_matches('0');
    let (sign, whole) = whole.strip_prefix('-').map_or(("", whole), |w| ("-", w));
    let mut commas = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i) % 3 == 0 {
            commas.push(',');
        }
        commas.push(digit);
    }
    if part.is_empty() {
        format!("{sign}{commas}")
    } else {
        format!("{sign}{commas}.{part}")
    }
}

/// With its unit; seconds, cores and bytes in the power that reads best.
pub fn with_unit(figure: Option<f64>, unit: &str) -> String {
    let Some(value) = figure.filter(|f| f.is_finite()) else {
        return short(None);
    };
    let (above, below) = unit
        .split_once('/')
        .map_or((unit, String::new()), |(a, b)| (a, format!("/{b}")));
    let scales: &[(f64, &str)] = match above {
        "s" => &[(1.0, "s"), (1e-3, "ms"), (1e-6, "us")],
        "us" => &[(1e6, "s"), (1e3, "ms"), (1.0, "us")],
        "bytes" => &[(1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (1.0, "bytes")],
        "cores" => &[(1.0, "cores"), (0.01, "% of a core")],
        "count" => return format!("{}{below}", short(figure)),
        _ => return format!("{} {unit}", short(figure)),
    };
    let found = scales
        .iter()
        .find(|(scale, _)| value.abs() >= *scale)
        .or(scales.last());
    let (scale, name) = found.copied().unwrap_or((1.0, unit));
    let gap = if name.starts_with('%') { "" } else { " " };
    format!("{}{gap}{name}{below}", short(Some(value / scale)))
}

/// The name of an axis.
pub fn axis(axis: Axis) -> String {
    format!("{axis:?}").to_lowercase()
}

/// A table of Markdown. Cells keep to one line, and a bar in one does not end it.
pub fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
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
