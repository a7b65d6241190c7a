//! `peppercove alerts`: prints the shipped alert rules and checks rule files.

use crate::settings::read_text;
use anyhow::{Result, bail};
use clap::Subcommand;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Sub-commands of `alerts`.
#[derive(Subcommand)]
pub enum AlertsCommand {
    /// Check a rule file: its expressions, and every metric and label in them.
    Check {
        /// The rule file.
        file: PathBuf,
    },
    /// Print the shipped rule file.
    Show,
}

/// Runs the sub-command.
pub fn run(command: AlertsCommand) -> Result<ExitCode> {
    match command {
        AlertsCommand::Show => print!("{}", peppercove_alerts::rule_file()),
        AlertsCommand::Check { file } => check(&file)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn check(file: &Path) -> Result<()> {
    match peppercove_alerts::check(&read_text(file)?) {
        Ok(count) => println!("{}: valid; {count} rules", file.display()),
        Err(problems) => {
            let lines = problems
                .iter()
                .map(|problem| format!("{}: {problem}", file.display()));
            bail!(
                "alert rules are not valid\n{}",
                lines.collect::<Vec<_>>().join("\n")
            )
        }
    }
    Ok(())
}
