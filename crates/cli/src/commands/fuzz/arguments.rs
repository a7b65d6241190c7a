//! The arguments of `peppercove fuzz`.

use clap::Args;
use std::path::PathBuf;

/// Which scenarios to run, and how.
#[derive(Args)]
pub struct FuzzArguments {
    /// Seed of the first scenario.
    #[arg(long, default_value_t = 1)]
    pub from: u64,
    /// Scenarios to run.
    #[arg(long = "days", default_value_t = 1000)]
    pub scenarios: u64,
    /// Scenarios run at once; as many as there are processors where left out.
    #[arg(long)]
    pub jobs: Option<usize>,
    /// Run them on real sockets, in real time.
    #[arg(long)]
    pub sockets: bool,
    /// On real sockets, with each controller as a process that is killed by SIGKILL.
    #[arg(long)]
    pub processes: bool,
    /// Run scenarios without faults of timing in simulated time and on sockets, and compare the answers job by job.
    #[arg(long, conflicts_with_all = ["sockets", "processes"])]
    pub compare: bool,
    /// Controllers see subsets of so many nodes beside one of each zone and kind, as those of a large fleet do.
    #[arg(long = "view", value_name = "SIZE", conflicts_with_all = ["sockets", "processes", "compare", "out"])]
    pub subset_size: Option<u64>,
    /// Where the scenarios that failed are written, made smaller.
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
    /// Failing scenarios that are made smaller, the first ones found.
    #[arg(long, default_value_t = 5)]
    pub shrink: usize,
    /// Runs that making one smaller may take.
    #[arg(long, default_value_t = 400)]
    pub shrink_plays: usize,
    /// Print the scenario of the first seed as XML and run nothing.
    #[arg(long)]
    pub show: bool,
    /// Stop at the first scenario that fails.
    #[arg(long)]
    pub first: bool,
    /// Also show which pairs of faults overlapped, and in how many scenarios.
    #[arg(long)]
    pub pairs: bool,
}
