//! `peppercove fuzz`: runs random scenarios by seed, in simulated time or on sockets.

pub mod arguments;
mod comparison;
mod summary;

use crate::run_options::run_options;
use crate::workers::run_on_workers;
use anyhow::{Context, Error, Result};
use arguments::FuzzArguments;
use indicatif::{ProgressBar, ProgressStyle};
use peppercove_day::{RunOptions, run_scenario};
use peppercove_kernel::fuzz::{FuzzSummary, RandomScenario, run_seed, shrink, violated_rules};
use peppercove_kernel::{ScenarioReport, simulate_with_subset};
use std::ops::ControlFlow;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Maximum number of scenarios that run concurrently.
const MAX_WORKERS: usize = 256;
/// Maximum number of failed scenarios whose violations are printed.
const SHOWN_FAILURES: usize = 20;
/// Maximum number of violations printed for one scenario.
const SHOWN_VIOLATIONS: usize = 3;

/// Runs the scenarios; returns exit status 1 if a scenario failed.
pub fn run(arguments: &FuzzArguments) -> Result<ExitCode> {
    if arguments.show {
        print!("{}", RandomScenario::random(arguments.from).to_xml());
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.compare {
        return comparison::run(arguments);
    }
    let started = Instant::now();
    let Outcome { summary, failures } = run_all(arguments)?;
    summary::print(&summary, started.elapsed().as_secs_f64(), arguments.pairs);
    print_failures(&failures);
    if let Some(folder) = &arguments.out {
        write_shrunk(folder, &failures, arguments)?;
    }
    Ok(if failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// A scenario that violated a rule or left a request open.
struct Failure {
    seed: u64,
    scenario: RandomScenario,
    report: ScenarioReport,
}

/// The results of the scenarios of one worker, or of all workers.
#[derive(Default)]
struct Outcome {
    summary: FuzzSummary,
    failures: Vec<Failure>,
}

/// The state of a worker, and the error that stopped it, if any.
#[derive(Default)]
struct Worker {
    outcome: Outcome,
    error: Option<Error>,
}

fn run_all(arguments: &FuzzArguments) -> Result<Outcome> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    let workers = arguments.jobs.unwrap_or(processors).clamp(1, MAX_WORKERS);
    let options = run_options(None, arguments.processes)?;
    let bar = progress_bar(arguments.scenarios);
    let failed = AtomicUsize::new(0);
    let states = run_on_workers(
        workers,
        arguments.scenarios,
        |worker: &mut Worker, index| {
            if arguments.stops_at_first && failed.load(Ordering::Relaxed) > 0 {
                return ControlFlow::Break(());
            }
            let seed = arguments.from + index;
            match run_random(arguments, seed, &options) {
                Ok((scenario, report)) => {
                    worker.outcome.summary.add(&scenario, &report);
                    if !report.is_clean() {
                        let count = failed.fetch_add(1, Ordering::Relaxed) + 1;
                        bar.set_message(format!("{count} failed"));
                        worker.outcome.failures.push(Failure {
                            seed,
                            scenario,
                            report,
                        });
                    }
                    bar.inc(1);
                    ControlFlow::Continue(())
                }
                Err(error) => {
                    worker.error = Some(error);
                    ControlFlow::Break(())
                }
            }
        },
    );
    bar.finish_and_clear();
    merge(states)
}

fn progress_bar(scenarios: u64) -> ProgressBar {
    let bar = ProgressBar::new(scenarios);
    let template = "{bar:40} {pos}/{len} scenarios, {per_sec}, {msg}, {eta} left";
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

fn run_random(
    arguments: &FuzzArguments,
    seed: u64,
    options: &RunOptions,
) -> Result<(RandomScenario, ScenarioReport)> {
    if arguments.sockets || arguments.processes {
        let random = RandomScenario::random(seed);
        let scenario = random.to_scenario();
        let report = run_scenario(&scenario, scenario.seed, options);
        return Ok((
            random,
            report.with_context(|| format!("scenario with seed {seed}"))?,
        ));
    }
    let Some(subset_size) = arguments.subset_size else {
        return Ok(run_seed(seed));
    };
    let random = RandomScenario::random(seed);
    let report = simulate_with_subset(&random.to_scenario(), seed, subset_size);
    Ok((random, report))
}

fn merge(workers: Vec<Worker>) -> Result<Outcome> {
    let mut all = Outcome::default();
    for worker in workers {
        if let Some(error) = worker.error {
            return Err(error);
        }
        all.summary.merge(worker.outcome.summary);
        all.failures.extend(worker.outcome.failures);
    }
    all.failures.sort_by_key(|failure| failure.seed);
    Ok(all)
}

fn print_failures(failures: &[Failure]) {
    for Failure { seed, report, .. } in failures.iter().take(SHOWN_FAILURES) {
        println!("seed {seed}: rules {:?}", violated_rules(report));
        for violation in report.audit.violations.iter().take(SHOWN_VIOLATIONS) {
            let at = violation.at as f64 / 1e6;
            println!(
                "  rule {} at {at:.3} s: {}",
                violation.rule, violation.description
            );
        }
    }
}

/// Shrinks the first failed scenarios as far as they still fail, and writes them to files.
fn write_shrunk(folder: &Path, failures: &[Failure], arguments: &FuzzArguments) -> Result<()> {
    std::fs::create_dir_all(folder)
        .with_context(|| format!("cannot create {}", folder.display()))?;
    for failure in failures.iter().take(arguments.max_shrunk) {
        let (scenario, report) = shrink(&failure.scenario, arguments.max_shrink_runs);
        let file = folder.join(format!("hunt-{}.xml", failure.seed));
        std::fs::write(&file, scenario.to_xml())
            .with_context(|| format!("cannot write {}", file.display()))?;
        let violation = report.audit.violations.first();
        let description = violation.map_or("asks left open", |v| v.description.as_str());
        println!("{}: {description}", file.display());
    }
    Ok(())
}
