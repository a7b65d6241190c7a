//! `peppercove fuzz --compare`: compares the answers in simulated time with those on real sockets, job by job.

use super::arguments::FuzzArguments;
use crate::run_options::run_options;
use crate::workers::run_on_workers;
use anyhow::Result;
use peppercove_day::{RunOptions, run_scenario};
use peppercove_kernel::fuzz::RandomScenario;
use std::collections::BTreeSet;
use std::ops::ControlFlow;
use std::process::ExitCode;

/// Scenarios that run concurrently if `--jobs` is not given.
const DEFAULT_WORKERS: usize = 8;
/// Maximum number of scenarios that run concurrently.
const MAX_WORKERS: usize = 64;

/// How the answers of the two runs of one scenario differ.
struct Comparison {
    seed: u64,
    jobs: usize,
    differing: usize,
    /// The answers of the first differing job, or the error of the run on sockets.
    first_difference: String,
}

/// Runs each scenario twice; returns exit status 1 if the answers of any job differ.
pub fn run(arguments: &FuzzArguments) -> Result<ExitCode> {
    let workers = arguments
        .jobs
        .unwrap_or(DEFAULT_WORKERS)
        .clamp(1, MAX_WORKERS);
    let options = run_options(None, false)?;
    let compare_index = |comparisons: &mut Vec<Comparison>, index: u64| {
        comparisons.push(compare(arguments.from + index, &options));
        ControlFlow::Continue(())
    };
    let comparisons = run_on_workers(workers, arguments.scenarios, compare_index);
    let mut comparisons: Vec<Comparison> = comparisons.into_iter().flatten().collect();
    comparisons.sort_by_key(|comparison| comparison.seed);
    let jobs: usize = comparisons.iter().map(|comparison| comparison.jobs).sum();
    let differing: usize = comparisons
        .iter()
        .map(|comparison| comparison.differing)
        .sum();
    println!(
        "{} days, {jobs} jobs: {differing} answered otherwise in simulated time than on sockets",
        comparisons.len()
    );
    for comparison in comparisons
        .iter()
        .filter(|comparison| comparison.differing > 0)
    {
        let Comparison {
            seed,
            differing,
            first_difference,
            ..
        } = comparison;
        println!("seed {seed}: {differing} jobs, the first {first_difference}");
    }
    Ok(if differing == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn compare(seed: u64, options: &RunOptions) -> Comparison {
    let scenario = RandomScenario::timing_independent(seed).to_scenario();
    let simulated = peppercove_kernel::simulate(&scenario, scenario.seed).answers_by_job;
    let on_sockets = match run_scenario(&scenario, scenario.seed, options) {
        Ok(report) => report.answers_by_job,
        Err(error) => {
            let first_difference = error.to_string();
            return Comparison {
                seed,
                jobs: 0,
                differing: 1,
                first_difference,
            };
        }
    };
    let jobs: BTreeSet<u64> = simulated.keys().chain(on_sockets.keys()).copied().collect();
    let differs = |job: &&u64| simulated.get(*job) != on_sockets.get(*job);
    let differing: Vec<&u64> = jobs.iter().filter(differs).collect();
    let first_difference = match differing.first() {
        Some(job) => format!("{:?} and {:?}", simulated.get(job), on_sockets.get(job)),
        None => String::new(),
    };
    Comparison {
        seed,
        jobs: jobs.len(),
        differing: differing.len(),
        first_difference,
    }
}
