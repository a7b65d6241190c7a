//! `peppercove incident`: converts recordings of incidents to scenarios.

use anyhow::{Context, Result};
use clap::Subcommand;
use peppercove_day::incident_import::import_recording;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Sub-commands of `incident`.
#[derive(Subcommand)]
pub enum IncidentCommand {
    /// Convert a recording that the bench made with `--tap` to a scenario.
    Import {
        /// The recording.
        recording: PathBuf,
        /// The scenario file to write. Its settings are written to the same folder.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// Import only this many seconds from the start of the recording.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Import only every n-th controller and its share of the jobs.
        #[arg(long = "thin", value_name = "THIN", default_value_t = 1)]
        controller_step: u64,
    },
}

/// Runs the sub-command.
pub fn run(command: &IncidentCommand) -> Result<ExitCode> {
    match command {
        IncidentCommand::Import {
            recording,
            out,
            seconds,
            controller_step,
        } => import(recording, out, *seconds, *controller_step)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn import(recording: &Path, out: &Path, seconds: f64, controller_step: u64) -> Result<()> {
    let bytes = std::fs::read(recording);
    let bytes = bytes.with_context(|| format!("cannot read {}", recording.display()))?;
    let name = out
        .file_stem()
        .and_then(|name| name.to_str())
        .unwrap_or("imported")
        .to_owned();
    let imported =
        import_recording(&bytes, &name, seconds, controller_step).with_context(|| {
            format!(
                "{} is not a valid recording of the bench",
                recording.display()
            )
        })?;
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
