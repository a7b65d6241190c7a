//! `peppercove config`: checks and prints settings and their schema.

use crate::settings::{config_or_default, read_config};
use anyhow::Result;
use clap::Subcommand;
use peppercove_config::{SETTINGS_ELEMENT, embedded_default, schema};
use peppercove_day::scenario::SCENARIO_ELEMENT;
use std::path::PathBuf;
use std::process::ExitCode;

/// Sub-commands of `config`.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Check a settings file; prints every problem with its line, column and element, and the expected value.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Show all settings of a file, including defaults.
    Show {
        /// The settings file; default: the embedded settings.
        file: Option<PathBuf>,
    },
    /// Print the XML schema of settings files, or of scenarios.
    Schema {
        /// Print the schema of scenarios.
        #[arg(long = "day")]
        is_for_scenarios: bool,
    },
    /// Print the embedded settings, as a template.
    Default,
}

/// Runs the sub-command.
pub fn run(command: ConfigCommand) -> Result<ExitCode> {
    match command {
        ConfigCommand::Check { file } => {
            let config = read_config(&file)?;
            println!(
                "{}: valid; controller {}, {} classes, {} kinds of node",
                file.display(),
                config.name,
                config.classes.len(),
                config.node_kinds.len()
            );
        }
        ConfigCommand::Show { file } => println!("{:#?}", config_or_default(file.as_deref())?),
        ConfigCommand::Schema {
            is_for_scenarios: false,
        } => print!("{}", schema::xsd(&SETTINGS_ELEMENT)),
        ConfigCommand::Schema {
            is_for_scenarios: true,
        } => print!("{}", schema::xsd(&SCENARIO_ELEMENT)),
        ConfigCommand::Default => print!("{}", embedded_default()),
    }
    Ok(ExitCode::SUCCESS)
}
