//! Generates the page and the charts, compares them with the stored files, and writes them.

use super::chart::{self, Chart};
use super::format::NOT_MEASURED;
use super::inputs::{Inputs, read_file};
use super::page::fill;
use super::tables::{self, Table};
use crate::error::ReportError;
use std::fs;
use std::path::{Path, PathBuf};

/// Path of the page, relative to the repository's root.
pub const PAGE: &str = "docs/CAPACITY.md";

/// Directory of the charts, relative to the repository's root.
pub const CHARTS_DIR: &str = "docs/capacity";

/// A generated file of the report.
#[derive(Clone, Debug, PartialEq, Eq)]
struct GeneratedFile {
    /// Path relative to the repository's root.
    path: PathBuf,
    text: String,
}

/// Returns all tables of the page.
///
/// # Errors
/// [`ReportError`] if a unit does not match its budget, a template cannot be rendered, or a chart cannot be drawn.
pub fn tables(inputs: &Inputs) -> Result<Vec<Table>, ReportError> {
    let mut all = tables::all(inputs)?;
    all.push(Table {
        name: "charts",
        text: chart_list(&charts(inputs)?),
    });
    Ok(all)
}

/// Draws a chart for each role with a measured need that has a budget.
///
/// # Errors
/// [`ReportError`] if a chart cannot be drawn.
pub fn charts(inputs: &Inputs) -> Result<Vec<Chart>, ReportError> {
    let roles = inputs.needs.roles().into_iter();
    let charts = roles
        .map(|role| chart::draw(role, inputs))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(charts.into_iter().flatten().collect())
}

/// Returns the Markdown images of the page, one per chart.
fn chart_list(charts: &[Chart]) -> String {
    if charts.is_empty() {
        return format!("{NOT_MEASURED}\n");
    }
    let dir = CHARTS_DIR.strip_prefix("docs/").unwrap_or(CHARTS_DIR);
    let image = |chart: &Chart| format!("![{}]({dir}/{})\n", chart.role, chart.file_name());
    charts.iter().map(image).collect::<Vec<_>>().join("\n")
}

/// Generates the page and the charts.
fn generate(root: &Path, inputs: &Inputs) -> Result<Vec<GeneratedFile>, ReportError> {
    let page = fill(&read_file(&root.join(PAGE))?, &tables(inputs)?);
    let page = page.map_err(|source| ReportError::Page { page: PAGE, source })?;
    let mut files = vec![GeneratedFile {
        path: PathBuf::from(PAGE),
        text: page,
    }];
    files.extend(charts(inputs)?.into_iter().map(|chart| GeneratedFile {
        path: Path::new(CHARTS_DIR).join(chart.file_name()),
        text: chart.svg,
    }));
    Ok(files)
}

/// Returns the paths of stored files that differ from the generated ones, including stored charts that are not
/// generated.
///
/// # Errors
/// [`ReportError`] if the report cannot be generated.
pub fn out_of_date(root: &Path, inputs: &Inputs) -> Result<Vec<PathBuf>, ReportError> {
    let files = generate(root, inputs)?;
    let stored = |path: &Path| fs::read_to_string(root.join(path)).unwrap_or_default();
    let differing = files.iter().filter(|file| stored(&file.path) != file.text);
    let mut paths: Vec<PathBuf> = differing.map(|file| file.path.clone()).collect();
    paths.extend(stale_charts(root, &files)?);
    Ok(paths)
}

/// Returns the paths of stored charts that are not among the generated files.
fn stale_charts(root: &Path, files: &[GeneratedFile]) -> Result<Vec<PathBuf>, ReportError> {
    let Ok(dir) = fs::read_dir(root.join(CHARTS_DIR)) else {
        return Ok(Vec::new());
    };
    let mut stale = Vec::new();
    for entry in dir {
        let entry = entry.map_err(|source| file_error(CHARTS_DIR, source))?;
        let path = Path::new(CHARTS_DIR).join(entry.file_name());
        let is_chart = path.extension().is_some_and(|e| e == "svg");
        if is_chart && files.iter().all(|file| file.path != path) {
            stale.push(path);
        }
    }
    Ok(stale)
}

fn file_error(path: impl Into<PathBuf>, source: std::io::Error) -> ReportError {
    ReportError::File {
        path: path.into(),
        source,
    }
}

/// Writes the page and the charts, and removes stored charts that are not generated.
///
/// # Errors
/// [`ReportError`] if the report cannot be generated or a file cannot be written or removed.
pub fn write(root: &Path, inputs: &Inputs) -> Result<(), ReportError> {
    let files = generate(root, inputs)?;
    for stale in stale_charts(root, &files)? {
        fs::remove_file(root.join(&stale)).map_err(|source| file_error(stale, source))?;
    }
    let charts = root.join(CHARTS_DIR);
    fs::create_dir_all(&charts).map_err(|source| file_error(charts, source))?;
    for file in files {
        let path = root.join(&file.path);
        fs::write(&path, file.text).map_err(|source| file_error(path, source))?;
    }
    Ok(())
}

/// Writes the report, or with `check` only compares it with the stored files.
///
/// # Errors
/// [`ReportError::OutOfDate`] with the files that differ if `check` is set; other variants if the report cannot be
/// generated.
pub fn run(root: &Path, rows: &[PathBuf], check: bool) -> Result<(), ReportError> {
    let inputs = Inputs::read(root, rows)?;
    if !check {
        return write(root, &inputs);
    }
    let differing = out_of_date(root, &inputs)?;
    if differing.is_empty() {
        return Ok(());
    }
    let files: Vec<String> = differing
        .iter()
        .map(|path| path.display().to_string())
        .collect();
    Err(ReportError::OutOfDate {
        files: files.join(", "),
    })
}
