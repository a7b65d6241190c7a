//! `peppercove scenario`: runs scenarios with faults and checks the rules.

use crate::run_options::run_options;
use crate::settings::read_text;
use crate::tables::new_table;
use crate::workers::run_on_workers;
use anyhow::{Context, Result, bail};
use clap::Args;
use peppercove_day::{
    RunOptions, Scenario, ScenarioReport, built_in_scenarios, run_scenario, runner,
};
use peppercove_kernel::PlacementDelays;
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Maximum number of violations printed for one scenario.
const SHOWN_VIOLATIONS: usize = 10;

/// Maximum number of scenarios that run concurrently.
const MAX_WORKERS: usize = 64;

/// Selects the scenarios and how they run.
#[derive(Args)]
pub struct ScenarioArguments {
    /// The file of a scenario, or the name of a built-in one.
    scenario: Option<String>,
    /// Run every built-in scenario.
    #[arg(long, conflicts_with = "scenario")]
    all: bool,
    /// Seed of the first run; default: the seed in the scenario.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of runs, with consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Scenarios that run concurrently.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Run in simulated time, without sockets.
    #[arg(long)]
    kernel: bool,
    /// Run each controller as a process that crashes by SIGKILL.
    #[arg(long, conflicts_with = "kernel")]
    processes: bool,
    /// Print one line of JSON for each run.
    #[arg(long)]
    json: bool,
    /// Folder for the recordings of the controllers.
    #[arg(long, value_name = "DIR")]
    records: Option<PathBuf>,
}

/// Runs the scenarios and prints their reports; returns exit status 1 if a rule was violated or a request left open.
pub fn run(arguments: &ScenarioArguments) -> Result<ExitCode> {
    let scenarios = read_scenarios(arguments)?;
    if let Some(folder) = &arguments.records {
        std::fs::create_dir_all(folder)
            .with_context(|| format!("cannot create {}", folder.display()))?;
    }
    let mut reports = Vec::new();
    for report in run_all(arguments, &seeded_runs(arguments, &scenarios))? {
        let report = report?;
        if arguments.json {
            println!("{}", serde_json::to_string(&report)?);
        }
        reports.push(report);
    }
    if !arguments.json {
        print_table(&reports);
        print_violations(&reports);
    }
    let is_clean = reports.iter().all(ScenarioReport::is_clean);
    Ok(if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn read_scenarios(arguments: &ScenarioArguments) -> Result<Vec<Scenario>> {
    let here = Path::new(".");
    if arguments.all {
        let parse = |(name, text): &(&str, &str)| {
            Scenario::parse(text, here).with_context(|| format!("built-in scenario {name}"))
        };
        return built_in_scenarios().iter().map(parse).collect();
    }
    let Some(name) = &arguments.scenario else {
        let names: Vec<&str> = built_in_scenarios().iter().map(|(name, _)| *name).collect();
        bail!(
            "expected a scenario file, --all, or the name of a built-in scenario: {}",
            names.join(", ")
        );
    };
    if let Some((_, text)) = built_in_scenarios()
        .iter()
        .find(|(built_in, _)| built_in == name)
    {
        return Ok(vec![Scenario::parse(text, here)?]);
    }
    let path = Path::new(name);
    let folder = path.parent().unwrap_or(here);
    let scenario = Scenario::parse(&read_text(path)?, folder);
    Ok(vec![scenario.with_context(|| {
        format!("{name} is not a valid scenario")
    })?])
}

/// A scenario and the seed to run it with.
struct SeededRun<'a> {
    scenario: &'a Scenario,
    seed: u64,
}

fn seeded_runs<'a>(arguments: &ScenarioArguments, scenarios: &'a [Scenario]) -> Vec<SeededRun<'a>> {
    let mut runs = Vec::new();
    for scenario in scenarios {
        let first = arguments.seed.unwrap_or(scenario.seed);
        runs.extend((0..arguments.seeds).map(|i| SeededRun {
            scenario,
            seed: first + i,
        }));
    }
    runs
}

/// The reports of all runs, in order. The outer error means that the runs could not start; each inner result is that of
/// one run.
fn run_all(
    arguments: &ScenarioArguments,
    runs: &[SeededRun<'_>],
) -> Result<Vec<Result<ScenarioReport>>> {
    let options = run_options(arguments.records.clone(), arguments.processes)?;
    let workers = arguments.jobs.clamp(1, MAX_WORKERS);
    let run = |reports: &mut Vec<(u64, Result<ScenarioReport>)>, index: u64| {
        let report = run_one(arguments, &runs[index as usize], &options);
        reports.push((index, report));
        ControlFlow::Continue(())
    };
    let reports = run_on_workers(workers, runs.len() as u64, run);
    let mut reports: Vec<_> = reports.into_iter().flatten().collect();
    reports.sort_by_key(|(index, _)| *index);
    let with_context = |((_, report), run): ((u64, Result<ScenarioReport>), &SeededRun<'_>)| {
        report.with_context(|| format!("scenario {}, seed {}", run.scenario.name, run.seed))
    };
    Ok(reports.into_iter().zip(runs).map(with_context).collect())
}

fn run_one(
    arguments: &ScenarioArguments,
    run: &SeededRun<'_>,
    options: &RunOptions,
) -> Result<ScenarioReport> {
    let SeededRun { scenario, seed } = run;
    if !arguments.kernel {
        return Ok(run_scenario(scenario, *seed, options)?);
    }
    let (report, events) = peppercove_kernel::simulate_with_events(scenario, *seed);
    if let Some(folder) = &arguments.records {
        let file = folder.join(format!("taps-{}-{seed}.txt", scenario.name));
        runner::write_captured_events(&file, &events)?;
    }
    Ok(report)
}

fn print_table(reports: &[ScenarioReport]) {
    let mut table = new_table([
        "day",
        "seed",
        "fleet",
        "jobs",
        "placed",
        "refused",
        "failed",
        "again",
        "offers",
        "p50 ms",
        "p99 ms",
        "rules 1 2 3 4 5",
        "open",
    ]);
    for report in reports {
        let audit = &report.audit;
        let placed: u64 = report.delays.values().map(|delays| delays.count).sum();
        let violations: Vec<String> = (1..=5)
            .map(|rule| audit.violations_of_rule(rule).to_string())
            .collect();
        table.add_row([
            report.scenario.clone(),
            report.seed.to_string(),
            format!("{}x{}", report.controllers, report.nodes),
            report.jobs.to_string(),
            placed.to_string(),
            audit.refused.to_string(),
            audit.failed.to_string(),
            report.retries.to_string(),
            audit.dispatches.to_string(),
            longest_millis(report, |delays| delays.p50),
            longest_millis(report, |delays| delays.p99),
            violations.join(" "),
            report.unanswered_requests.to_string(),
        ]);
    }
    println!("{table}");
}

/// The maximum of a delay over the classes, in milliseconds; a dash if nothing was placed.
fn longest_millis(report: &ScenarioReport, delay: fn(&PlacementDelays) -> u64) -> String {
    let longest = report.delays.values().map(delay).max();
    longest.map_or("-".into(), |micros| format!("{:.1}", micros as f64 / 1e3))
}

fn print_violations(reports: &[ScenarioReport]) {
    for report in reports {
        let (name, seed) = (&report.scenario, report.seed);
        for violation in report.audit.violations.iter().take(SHOWN_VIOLATIONS) {
            let at = violation.at as f64 / 1e6;
            let (rule, description) = (violation.rule, &violation.description);
            println!("{name} seed {seed}: rule {rule} at {at:.3} s: {description}");
        }
        let counters = &report.counters;
        let own_faults =
            counters.missed_deadlines + counters.invalid_transitions + counters.unsafe_rejections;
        if own_faults > 0 {
            println!("{name} seed {seed}: the controllers count faults of their own: {counters:?}");
        }
    }
}
