//! `peppercove incident`: recordings of incidents turned into scenarios.

use anyhow::{Context, Result};
use clap::Subcommand;
use peppercove_day::incident_import::import_recording;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What to do with a recording.
#[derive(Subcommand)]
pub enum IncidentCommand {
    /// Turn what the bench recorded with `--tap` into a scenario.
    Import {
        /// The recording.
        #[arg(value_name = "RECORDING")]
        tap: PathBuf,
        /// Where the scenario is written. Its settings are written beside it.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// Only the first so many seconds.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Every so many-th controller and its share of the jobs.
        #[arg(long, default_value_t = 1)]
        thin: u64,
    },
}

/// Runs the sub-command.
pub fn run(command: &IncidentCommand) -> Result<ExitCode> {
    match command {
        IncidentCommand::Import {
            tap,
            out,
            seconds,
            thin,
        } => import(tap, out, *seconds, *thin)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn import(recording: &Path, out: &Path, seconds: f64, thin: u64) -> Result<()> {
    let bytes = std::fs::read(recording);
    let bytes = bytes.with_context(|| format!("cannot read {}", recording.display()))?;
    let name = out
        .file_stem()
        .and_then(|name| name.to_str())
        .unwrap_or("imported")
        .to_owned();
    let imported = import_recording(&bytes, &name, seconds, thin)
        .with_context(|| format!("{} is not a recording of the bench", recording.display()))?;
    write(out, &imported.scenario)?;
    write(
        &out.with_file_name(format!("{name}-settings.xml")),
        &imported.settings,
    )?;
    println!("{}: {}", out.display(), imported.summary);
    Ok(())
}

fn write(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
}
