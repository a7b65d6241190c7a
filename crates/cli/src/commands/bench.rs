//! `peppercove bench`: measurements of this program on this machine.

mod node_subset;
mod placing;

use anyhow::{Context, Result};
use clap::Subcommand;
use node_subset::arguments::NodeSubsetArguments;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

/// What to measure.
#[derive(Subcommand)]
pub enum BenchCommand {
    /// Placements a second, the delay that the controller adds, memory and CPU, beside a bare relay of the same frames.
    Placing {
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// One JSON object a line.
        #[arg(long)]
        json: bool,
    },
    /// The program's roles at rising sizes, hollow or real: one JSON object a figure.
    Scale {
        /// Fewer and smaller points.
        #[arg(long)]
        quick: bool,
        /// Only this role; may be repeated.
        #[arg(long, value_name = "ROLE")]
        role: Vec<String>,
        /// Where the rows are written; standard output where left out.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// The tables and charts of docs/CAPACITY.md, from the rows of `scale`.
    Capacity {
        /// A file of rows; may be repeated. All of bench/scale/*.jsonl where left out.
        #[arg(long, value_name = "FILE")]
        rows: Vec<PathBuf>,
        /// Writes nothing, and fails where page or charts are not what the figures make.
        #[arg(long)]
        check: bool,
        /// The repository.
        #[arg(long, value_name = "DIR", default_value = ".")]
        root: PathBuf,
    },
    /// What a bounded subset of a large fleet costs and saves, hollow and in simulated time.
    View(NodeSubsetArguments),
    /// One point of `scale`, in a process of its own.
    #[command(hide = true)]
    ScalePoint {
        /// The role.
        role: String,
        /// Its sizes, as JSON.
        at: String,
        /// Fewer samples.
        #[arg(long)]
        quick: bool,
    },
    /// The bare relay that `placing` measures beside the controller.
    #[command(hide = true)]
    Relay {
        /// Addresses of the nodes.
        nodes: Vec<SocketAddrV4>,
    },
}

/// Runs the sub-command.
pub fn run(command: &BenchCommand) -> Result<ExitCode> {
    match command {
        BenchCommand::Placing { seconds, json } => {
            placing::run(&runtime()?, Duration::from_secs(*seconds), *json)?;
        }
        BenchCommand::Scale { quick, role, out } => {
            peppercove_scale::runner::run_sweeps(role, *quick, &mut open(out.as_deref())?)?;
        }
        BenchCommand::Capacity { rows, check, root } => {
            peppercove_scale::capacity_report::files::run(root, rows, *check)?;
        }
        BenchCommand::ScalePoint { role, at, quick } => {
            peppercove_scale::runner::run_point(role, at, *quick)?;
        }
        BenchCommand::View(arguments) => node_subset::run(arguments)?,
        BenchCommand::Relay { nodes } => {
            LocalSet::new().block_on(&runtime()?, placing::relay::run(nodes))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn runtime() -> Result<Runtime> {
    Ok(tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?)
}

/// The file to write to, or standard output.
fn open(file: Option<&Path>) -> Result<Box<dyn Write>> {
    let Some(path) = file else {
        return Ok(Box::new(std::io::stdout()));
    };
    let file = File::create(path).with_context(|| path.display().to_string())?;
    Ok(Box::new(file))
}
