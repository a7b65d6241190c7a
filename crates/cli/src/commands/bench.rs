//! `peppercove bench`: benchmarks of this program on this machine.

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

/// Sub-commands of `bench`.
#[derive(Subcommand)]
pub enum BenchCommand {
    /// Measure a controller's placements per second, added delay, memory and CPU time, compared with a relay that
    /// passes on the same frames.
    Placing {
        /// Duration of each measurement, in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Print one JSON object per line.
        #[arg(long)]
        json: bool,
    },
    /// Measure the program's roles at increasing sizes, hollow or real; writes one JSON object per measurement.
    Scale {
        /// Measure fewer and smaller points.
        #[arg(long)]
        quick: bool,
        /// Measure only this role; may be repeated.
        #[arg(long, value_name = "ROLE")]
        role: Vec<String>,
        /// File for the rows; default: standard output.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Generate the tables and charts of docs/CAPACITY.md from the rows of `scale`.
    Capacity {
        /// A file of rows; may be repeated. Default: all files bench/scale/*.jsonl.
        #[arg(long, value_name = "FILE")]
        rows: Vec<PathBuf>,
        /// Write nothing; fail if the page or a chart differs from what would be generated.
        #[arg(long)]
        check: bool,
        /// The root folder of the repository.
        #[arg(long, value_name = "DIR", default_value = ".")]
        root: PathBuf,
    },
    /// Measure the cost and benefit of a bounded node subset in a large fleet, hollow and in simulated time.
    #[command(name = "view")]
    NodeSubset(NodeSubsetArguments),
    /// Measure one point of `scale`, in a process of its own.
    #[command(hide = true)]
    ScalePoint {
        /// The role.
        role: String,
        /// The sizes of the point, as JSON.
        #[arg(value_name = "AT")]
        sizes: String,
        /// Take fewer samples.
        #[arg(long)]
        quick: bool,
    },
    /// Run the relay that `placing` compares the controller with.
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
            peppercove_scale::runner::run_sweeps(role, *quick, &mut open_output(out.as_deref())?)?;
        }
        BenchCommand::Capacity { rows, check, root } => {
            peppercove_scale::capacity_report::files::run(root, rows, *check)?;
        }
        BenchCommand::ScalePoint { role, sizes, quick } => {
            peppercove_scale::runner::run_point(role, sizes, *quick)?;
        }
        BenchCommand::NodeSubset(arguments) => node_subset::run(arguments)?,
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

/// Creates the file to write to; standard output if no file is given.
fn open_output(file: Option<&Path>) -> Result<Box<dyn Write>> {
    let Some(path) = file else {
        return Ok(Box::new(std::io::stdout()));
    };
    let file = File::create(path).with_context(|| format!("cannot create {}", path.display()))?;
    Ok(Box::new(file))
}
