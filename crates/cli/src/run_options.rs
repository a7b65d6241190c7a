//! Options for scenarios that run on sockets.

use anyhow::{Context, Result};
use peppercove_day::RunOptions;
use std::path::PathBuf;

/// Runs the controllers in this process, or each as a process of this executable. `records` is the folder for their
/// recordings.
pub fn run_options(records: Option<PathBuf>, as_processes: bool) -> Result<RunOptions> {
    let executable =
        || std::env::current_exe().context("cannot determine the path of this executable");
    Ok(RunOptions {
        records,
        program: as_processes.then(executable).transpose()?,
    })
}
