//! What the report is made of: the target, the needs and the stored rows.

use super::measurements::{Measurements, Source};
use super::needs::Needs;
use crate::error::ReportError;
use crate::target::Target;
use std::fs;
use std::path::{Path, PathBuf};

/// Directory of rows, target and needs, from the repository's root.
pub const FIGURES_DIR: &str = "bench/scale";

/// The inputs of the report.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// The operators' target.
    pub target: Target,
    /// What the roles need.
    pub needs: Needs,
    /// The stored rows.
    pub measurements: Measurements,
}

impl Inputs {
    /// Reads them under the root of a repository; rows from the files named, or from all of `bench/scale/*.jsonl` where
    /// none is named.
    ///
    /// # Errors
    /// [`ReportError`] that names the file that cannot be read or makes no sense.
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

/// The text of a file.
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
