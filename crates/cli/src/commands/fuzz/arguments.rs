//! The arguments of `peppercove fuzz`.

use clap::Args;
use std::path::PathBuf;

/// Selects the scenarios and how they run.
#[derive(Args)]
pub struct FuzzArguments {
    /// Seed of the first scenario.
    #[arg(long, default_value_t = 1)]
    pub from: u64,
    /// Number of scenarios.
    #[arg(long = "days", default_value_t = 1000)]
    pub scenarios: u64,
    /// Scenarios that run concurrently; default: the number of processors.
    #[arg(long)]
    pub jobs: Option<usize>,
    /// Run on real sockets, in real time.
    #[arg(long)]
    pub sockets: bool,
    /// Run on real sockets, with each controller as a process that crashes by SIGKILL.
    #[arg(long)]
    pub processes: bool,
    /// Run scenarios whose answers do not depend on timing both in simulated time and on sockets, and compare the
    /// answers of each job.
    #[arg(long, conflicts_with_all = ["sockets", "processes"])]
    pub compare: bool,
    /// Give each controller a subset of SIZE nodes and one more for each zone and kind, as in a large fleet.
    #[arg(long = "view", value_name = "SIZE", conflicts_with_all = ["sockets", "processes", "compare", "out"])]
    pub subset_size: Option<u64>,
    /// Folder for failed scenarios, which are shrunk first.
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
    /// Maximum number of failed scenarios that are shrunk, in the order of their seeds.
    #[arg(long = "shrink", value_name = "SHRINK", default_value_t = 5)]
    pub max_shrunk: usize,
    /// Maximum number of runs to shrink one scenario.
    #[arg(
        long = "shrink-plays",
        value_name = "SHRINK_PLAYS",
        default_value_t = 400
    )]
    pub max_shrink_runs: usize,
    /// Print the scenario of the first seed as XML without running it.
    #[arg(long)]
    pub show: bool,
    /// Stop at the first scenario that fails.
    #[arg(long = "first")]
    pub stops_at_first: bool,
    /// Also print which pairs of faults overlapped, and in how many scenarios.
    #[arg(long)]
    pub pairs: bool,
}
