//! `peppercove bench`: figures of this machine.

use anyhow::Result;
use clap::Subcommand;
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum BenchCommand {
    /// Placings a second, the delay that the controller adds, memory and CPU, beside a bare echo of the same frames.
    Placing,
}

pub(crate) fn run(command: &BenchCommand) -> Result<ExitCode> {
    match command {
        BenchCommand::Placing => Ok(ExitCode::SUCCESS),
    }
}
