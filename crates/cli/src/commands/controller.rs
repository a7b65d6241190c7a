//! `peppercove controller`: the controller daemon.

use crate::logging::log_to_stderr;
use crate::settings::read_config_with;
use anyhow::{Context, Result};
use peppercove_config::Config;
use peppercove_controller::Controller;
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Runs a controller until SIGTERM or SIGINT. `values` override settings of the file, each as `PATH=VALUE`.
pub fn run(file: &Path, values: &[String]) -> Result<ExitCode> {
    let values = values
        .iter()
        .map(|text| parse_value(text))
        .collect::<Result<Vec<_>>>()?;
    let config = read_config_with(file, &values)?;
    log_to_stderr(config.log_format, &config.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(config))?;
    Ok(ExitCode::SUCCESS)
}

fn parse_value(text: &str) -> Result<(String, String)> {
    let parts = text
        .split_once('=')
        .map(|(path, value)| (path.to_owned(), value.to_owned()));
    parts.with_context(|| format!("--set {text}: expected PATH=VALUE"))
}

async fn serve(config: Config) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let controller = Controller::start(config).await?;
    // Scripts that start it on port 0 read the address from here.
    println!("listening {}", controller.address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let summary = controller.shut_down().await;
    println!(
        "stopped: {} asks answered at the end, {} tasks run on, {} in doubt",
        summary.forced_answers, summary.running_tasks, summary.ambiguous_tasks
    );
    Ok(())
}
