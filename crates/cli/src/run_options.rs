//! How scenarios run on sockets.

use anyhow::{Context, Result};
use peppercove_day::RunOptions;
use std::path::PathBuf;

/// Controllers run in this process, or each as a process of this very program; their records go to a folder.
pub fn run_options(records: Option<PathBuf>, as_processes: bool) -> Result<RunOptions> {
    let own_program = || std::env::current_exe().context("the program does not find itself");
    Ok(RunOptions {
        records,
        program: as_processes.then(own_program).transpose()?,
    })
}
