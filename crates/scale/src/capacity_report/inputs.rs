//! The inputs of the report: the target, the needs and the stored rows.

use super::measurements::{Measurements, Source};
use super::needs::Needs;
use crate::error::ReportError;
use crate::target::Target;
use std::fs;
use std::path::{Path, PathBuf};

/// Directory of the rows, the target and the needs, relative to the repository's root.
pub const FIGURES_DIR: &str = "bench/scale";

/// The inputs of the report.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// The deployment size that the operators plan for.
    pub target: Target,
    /// The needs of the roles.
    pub needs: Needs,
    /// The stored rows.
    pub measurements: Measurements,
}

impl Inputs {
    /// Reads the inputs of the repository at `root`, with the rows of the given files, or of all `bench/scale/*.jsonl`
    /// if `rows` is empty.
    ///
    /// # Errors
    /// [`ReportError`] that names the file that cannot be read or is invalid.
    pub fn read(root: &Path, rows: &[PathBuf]) -> Result<Inputs, ReportError> {
        let figures = root.join(FIGURES_DIR);
        let rows = if rows.is_empty() {
            all_row_files(&figures)?
        } else {
            rows.to_vec()
        };
        let sources = rows.iter().map(|path| {
            let name = path
                .strip_prefix(root)
                .unwrap_or(path)
                .display()
                .to_string();
            Source::parse(&name, &read_file(path)?)
        });
        let sources = sources.collect::<Result<_, ReportError>>()?;
        Ok(Inputs {
            target: Target::parse(&read_file(&figures.join("target.json"))?)?,
            needs: Needs::parse(&read_file(&figures.join("needs.json"))?)?,
            measurements: Measurements::new(sources),
        })
    }
}

/// Reads a text file.
pub(super) fn read_file(path: &Path) -> Result<String, ReportError> {
    fs::read_to_string(path).map_err(|source| ReportError::File {
        path: path.to_owned(),
        source,
    })
}

fn all_row_files(figures: &Path) -> Result<Vec<PathBuf>, ReportError> {
    let failed = |source| ReportError::File {
        path: figures.to_owned(),
        source,
    };
    let mut rows = Vec::new();
    for entry in fs::read_dir(figures).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_some_and(|e| e == "jsonl") {
            rows.push(path);
        }
    }
    rows.sort();
    Ok(rows)
}
