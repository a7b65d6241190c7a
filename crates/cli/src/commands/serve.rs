//! `peppercove serve`: a controller of the users' platform.

use crate::logging::log_to_stderr;
use anyhow::{Context, Result, anyhow};
use peppercove_config::LogFormat;
use peppercove_serve::Environment;
use std::path::Path;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Serves with the configuration file that the environment variable `LB_CONFIG` names.
pub fn run(log_level: &str) -> Result<ExitCode> {
    log_to_stderr(LogFormat::Text, log_level);
    let path = std::env::var_os("LB_CONFIG");
    let path = path.context("LB_CONFIG is not set; expected the path of the configuration file")?;
    let variable = |name| std::env::var(name).ok();
    let environment = Environment {
        name: variable("LB_NAME"),
        listen: variable("LB_LISTEN"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let served = LocalSet::new().block_on(
        &runtime,
        peppercove_serve::run(Path::new(&path), &environment),
    );
    // The error message already includes its cause; printing the chain would repeat it over several lines.
    served.map_err(|error| anyhow!("{error}"))?;
    Ok(ExitCode::SUCCESS)
}
