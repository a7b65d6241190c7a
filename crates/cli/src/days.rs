//! `peppercove day` and `peppercove trouble`.

use anyhow::{Context, Result, bail};
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use peppercove_day::{
    RunOptions, Scenario, ScenarioReport, built_in_scenarios, incident_import, run_scenario,
};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;

#[derive(Args)]
pub(crate) struct DayArguments {
    /// A day's file, or the name of a shipped one.
    day: Option<String>,
    /// Play every shipped day.
    #[arg(long, conflicts_with = "day")]
    all: bool,
    /// Seed of the day; that of its file where left out.
    #[arg(long)]
    seed: Option<u64>,
    /// Play it with so many seeds, one after the other from the first.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Days played at once.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Play in simulated time, without sockets.
    #[arg(long)]
    kernel: bool,
    /// Run each controller as a process, and kill it by SIGKILL.
    #[arg(long, conflicts_with = "kernel")]
    processes: bool,
    /// One JSON object a day, a line each.
    #[arg(long)]
    json: bool,
    /// Folder for the records of the controllers.
    #[arg(long, value_name = "DIR")]
    records: Option<PathBuf>,
}

/// Plays the days and prints what they came to; exit status 1 when a rule is broken or a job left open.
pub(crate) fn run(arguments: &DayArguments) -> Result<ExitCode> {
    let scripts = scripts(arguments)?;
    if let Some(folder) = &arguments.records {
        std::fs::create_dir_all(folder)
            .with_context(|| format!("cannot make {}", folder.display()))?;
    }
    let mut queue: Vec<(&Scenario, u64)> = Vec::new();
    for script in &scripts {
        let first = arguments.seed.unwrap_or(script.seed);
        queue.extend((0..arguments.seeds).map(|i| (script, first + i)));
    }
    queue.reverse();
    let (queue, reports) = (Mutex::new(queue), Mutex::new(Vec::new()));
    let how = how(arguments.records.clone(), arguments.processes)?;
    let workers = arguments.jobs.clamp(1, 64);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().ok().and_then(|mut q| q.pop());
                    let Some((script, seed)) = next else { return };
                    let report = if arguments.kernel {
                        let (report, events) =
                            peppercove_kernel::simulate_with_events(script, seed);
                        match &arguments.records {
                            Some(folder) => peppercove_day::runner::write_captured_events(
                                &folder.join(format!("taps-{}-{seed}.txt", script.name)),
                                &events,
                            )
                            .map(|()| report)
                            .map_err(Into::into),
                            None => Ok(report),
                        }
                    } else {
                        run_scenario(script, seed, &how)
                    };
                    if let Ok(mut reports) = reports.lock() {
                        reports.push((script.name.clone(), seed, report));
                    }
                }
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_default();
    let order = |name: &str| scripts.iter().position(|s| s.name == name);
    reports.sort_by_key(|(name, seed, _)| (order(name), *seed));
    let mut clean = true;
    let mut played = Vec::new();
    for (name, seed, report) in reports {
        let report = report.with_context(|| format!("day {name}, seed {seed}"))?;
        clean &= report.is_clean();
        if arguments.json {
            println!("{}", serde_json::to_string(&report)?);
        }
        played.push(report);
    }
    if !arguments.json {
        show(&played);
    }
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// How controllers run: in this process, or each as one of this very program.
pub(crate) fn how(records: Option<PathBuf>, processes: bool) -> Result<RunOptions> {
    let own = || std::env::current_exe().context("the program does not find itself");
    Ok(RunOptions {
        records,
        program: processes.then(own).transpose()?,
    })
}

fn scripts(arguments: &DayArguments) -> Result<Vec<Scenario>> {
    let here = Path::new(".");
    if arguments.all {
        let parse = |(name, text): &(&str, &str)| {
            Scenario::parse(text, here).with_context(|| format!("day {name}"))
        };
        return built_in_scenarios().iter().map(parse).collect();
    }
    let Some(day) = &arguments.day else {
        let names: Vec<&str> = built_in_scenarios().iter().map(|(n, _)| *n).collect();
        bail!("name a day's file, --all, or one of: {}", names.join(", "));
    };
    if let Some((_, text)) = built_in_scenarios().iter().find(|(name, _)| name == day) {
        return Ok(vec![Scenario::parse(text, here)?]);
    }
    let path = Path::new(day);
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {day}"))?;
    let folder = path.parent().unwrap_or(here);
    Ok(vec![
        Scenario::parse(&text, folder).with_context(|| format!("{day} is not a day"))?,
    ])
}

fn show(reports: &[ScenarioReport]) {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header([
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
    for r in reports {
        let v = &r.audit;
        let placed: u64 = r.delays.values().map(|d| d.count).sum();
        let of = |f: fn(&peppercove_kernel::PlacementDelays) -> u64| {
            r.delays
                .values()
                .map(f)
                .max()
                .map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e3))
        };
        let rules: Vec<String> = (1..=5)
            .map(|n| v.violations_of_rule(n).to_string())
            .collect();
        table.add_row([
            r.scenario.clone(),
            r.seed.to_string(),
            format!("{}x{}", r.controllers, r.nodes),
            r.jobs.to_string(),
            placed.to_string(),
            v.refused.to_string(),
            v.failed.to_string(),
            r.retries.to_string(),
            v.dispatches.to_string(),
            of(|d| d.p50),
            of(|d| d.p99),
            rules.join(" "),
            r.unanswered_requests.to_string(),
        ]);
    }
    println!("{table}");
    for r in reports {
        for b in r.audit.violations.iter().take(10) {
            println!(
                "{} seed {}: rule {} at {:.3} s: {}",
                r.scenario,
                r.seed,
                b.rule,
                b.at as f64 / 1e6,
                b.description
            );
        }
        let c = &r.counters;
        if c.missed_deadlines + c.invalid_transitions + c.unsafe_rejections > 0 {
            println!(
                "{} seed {}: the controllers count faults of their own: {c:?}",
                r.scenario, r.seed
            );
        }
    }
}

/// Turns a recording of the bench into a day and its settings.
pub(crate) fn import(tap: &Path, out: &Path, seconds: f64, thin: u64) -> Result<ExitCode> {
    let bytes = std::fs::read(tap).with_context(|| format!("cannot read {}", tap.display()))?;
    let name = out
        .file_stem()
        .and_then(|n| n.to_str())
        .unwrap_or("imported")
        .to_owned();
    let imported = incident_import::import_recording(&bytes, &name, seconds, thin)
        .with_context(|| format!("{} is not a recording of the bench", tap.display()))?;
    let settings = out.with_file_name(format!("{name}-settings.xml"));
    std::fs::write(out, imported.scenario)
        .with_context(|| format!("cannot write {}", out.display()))?;
    std::fs::write(&settings, imported.settings)
        .with_context(|| format!("cannot write {}", settings.display()))?;
    println!("{}: {}", out.display(), imported.summary);
    Ok(ExitCode::SUCCESS)
}
