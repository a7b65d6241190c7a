//! `peppercove replay`: replays a controller's recording through the core.

use crate::settings::{config_or_default, read_text};
use anyhow::{Context, Result};
use peppercove::Scheduler;
use peppercove_controller::core_limits;
use peppercove_core::recording::{self, RecordingHeader};
use peppercove_fleet::NodeSubset;
use std::path::Path;
use std::process::ExitCode;

/// Prints the outputs of the core for the recorded inputs, one a line, each with its time in microseconds. `config` is
/// the file of the settings that the recording was made with.
pub fn run(file: &Path, config: Option<&Path>) -> Result<ExitCode> {
    let config = config_or_default(config)?;
    let text = read_text(file)?;
    let (first, inputs) = text
        .split_once('\n')
        .context("expected a recording, found an empty file")?;
    let header: RecordingHeader =
        serde_json::from_str(first).context("the first line is not the header of a recording")?;
    let limits = core_limits(&config, header.incarnation);
    let settings = header.scheduler_settings(&config.scheduler);
    let scheduler = NodeSubset::new(Scheduler::new(settings.clone(), header.seed), &settings);
    recording::replay(&header, inputs, scheduler, limits, |input, outputs| {
        for output in outputs {
            println!("{} {output:?}", input.at);
        }
    })?;
    Ok(ExitCode::SUCCESS)
}
