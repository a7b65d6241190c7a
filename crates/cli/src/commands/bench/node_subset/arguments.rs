//! The arguments of `peppercove bench view`.

use clap::Args;

/// What to measure of node subsets.
#[derive(Args)]
pub struct NodeSubsetArguments {
    /// Shorter runs.
    #[arg(long)]
    pub quick: bool,
    /// What bounded subsets do to the quality of placements, in place of what they cost.
    #[arg(long = "worth")]
    pub measures_quality: bool,
    /// Services whose tasks come to one scheduler.
    #[arg(long, default_value_t = 256)]
    pub services: u64,
    /// One JSON object a line.
    #[arg(long)]
    pub json: bool,
}
