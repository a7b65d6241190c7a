//! `peppercove hunt`: random days by seed, in simulated time or on sockets.

use anyhow::{Context, Result};
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use indicatif::{ProgressBar, ProgressStyle};
use peppercove_day::run_scenario as play_on_sockets;
use peppercove_kernel::fuzz::{FuzzSummary, RandomScenario, run_seed, shrink, violated_rules};
use peppercove_kernel::{ScenarioReport, simulate_with_subset};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Args)]
pub(crate) struct HuntArguments {
    /// Seed of the first day.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Days to play.
    #[arg(long, default_value_t = 1000)]
    days: u64,
    /// Days played at once; as many as there are processors where left out.
    #[arg(long)]
    jobs: Option<usize>,
    /// Play them on real sockets, in real time.
    #[arg(long)]
    sockets: bool,
    /// On real sockets, with each controller as a process that is killed by SIGKILL.
    #[arg(long)]
    processes: bool,
    /// Play days without faults of timing in simulated time and on sockets, and compare the answers job by job.
    #[arg(long, conflicts_with_all = ["sockets", "processes"])]
    compare: bool,
    /// Controllers have views of so many machines beside one of each zone and kind, as those of a large fleet have.
    #[arg(long, value_name = "SIZE", conflicts_with_all = ["sockets", "processes", "compare", "out"])]
    view: Option<u64>,
    /// Where the days that failed are written, made smaller.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Failing days that are made smaller, the first ones found.
    #[arg(long, default_value_t = 5)]
    shrink: usize,
    /// Plays that making one smaller may take.
    #[arg(long, default_value_t = 400)]
    shrink_plays: usize,
    /// Print the day of the first seed as XML and play nothing.
    #[arg(long)]
    show: bool,
    /// Stop at the first day that fails.
    #[arg(long)]
    first: bool,
    /// Also show which pairs of faults overlapped, and on how many days.
    #[arg(long)]
    pairs: bool,
}

/// Plays the days; exit status 1 when a rule was broken.
pub(crate) fn run(arguments: &HuntArguments) -> Result<ExitCode> {
    if arguments.show {
        print!("{}", RandomScenario::random(arguments.from).to_xml());
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.compare {
        return compare(arguments);
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = arguments.jobs.unwrap_or(cores).clamp(1, 256);
    let bar = ProgressBar::new(arguments.days);
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos}/{len} days, {per_sec}, {msg}, {eta} left")
    {
        bar.set_style(style);
    }
    let (next, sum, failed) = (
        AtomicU64::new(0),
        Mutex::new(FuzzSummary::default()),
        Mutex::new(Vec::<(u64, RandomScenario, ScenarioReport)>::new()),
    );
    let error: Mutex<Option<anyhow::Error>> = Mutex::new(None);
    let how = crate::days::how(None, arguments.processes)?;
    let began = std::time::Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                let mut own = FuzzSummary::default();
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let enough = arguments.first && failed.lock().is_ok_and(|f| !f.is_empty());
                    if i >= arguments.days || enough {
                        break;
                    }
                    let seed = arguments.from + i;
                    let (plan, report) = if arguments.sockets || arguments.processes {
                        let plan = RandomScenario::random(seed);
                        let script = plan.to_scenario();
                        match play_on_sockets(&script, script.seed, &how) {
                            Ok(report) => (plan, report),
                            Err(e) => {
                                if let Ok(mut error) = error.lock() {
                                    *error =
                                        Some(anyhow::Error::new(e).context(format!("day {seed}")));
                                }
                                break;
                            }
                        }
                    } else if let Some(size) = arguments.view {
                        let plan = RandomScenario::random(seed);
                        let report = simulate_with_subset(&plan.to_scenario(), seed, size);
                        (plan, report)
                    } else {
                        run_seed(seed)
                    };
                    own.add(&plan, &report);
                    if !report.is_clean()
                        && let Ok(mut failed) = failed.lock()
                    {
                        failed.push((seed, plan, report));
                        bar.set_message(format!("{} broken", failed.len()));
                    }
                    bar.inc(1);
                }
                if let Ok(mut sum) = sum.lock() {
                    sum.merge(own);
                }
            });
        }
    });
    bar.finish_and_clear();
    if let Some(error) = error.into_inner().unwrap_or_default() {
        return Err(error);
    }
    let (sum, mut failed) = (
        sum.into_inner().unwrap_or_default(),
        failed.into_inner().unwrap_or_default(),
    );
    failed.sort_by_key(|(seed, ..)| *seed);
    show(&sum, began.elapsed().as_secs_f64(), arguments.pairs);
    for (seed, _, report) in failed.iter().take(20) {
        println!("seed {seed}: rules {:?}", violated_rules(report));
        for b in report.audit.violations.iter().take(3) {
            println!(
                "  rule {} at {:.3} s: {}",
                b.rule,
                b.at as f64 / 1e6,
                b.description
            );
        }
    }
    if let Some(out) = &arguments.out {
        std::fs::create_dir_all(out).with_context(|| format!("cannot make {}", out.display()))?;
        for (seed, plan, _) in failed.iter().take(arguments.shrink) {
            let (plan, report) = shrink(plan, arguments.shrink_plays);
            let file = out.join(format!("hunt-{seed}.xml"));
            std::fs::write(&file, plan.to_xml())
                .with_context(|| format!("cannot write {}", file.display()))?;
            let what = report
                .audit
                .violations
                .first()
                .map_or("asks left open", |b| b.description.as_str());
            println!("{}: {what}", file.display());
        }
    }
    Ok(if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Plays each day twice; exit status 1 when any job was answered otherwise.
fn compare(arguments: &HuntArguments) -> Result<ExitCode> {
    let jobs = arguments.jobs.unwrap_or(8).clamp(1, 64);
    let how = crate::days::how(None, false)?;
    let (next, lines) = (
        AtomicU64::new(0),
        Mutex::new(Vec::<(u64, usize, usize, String)>::new()),
    );
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    if i >= arguments.days {
                        break;
                    }
                    let seed = arguments.from + i;
                    let script = RandomScenario::timing_independent(seed).to_scenario();
                    let kernel = peppercove_kernel::simulate(&script, script.seed);
                    let line = match play_on_sockets(&script, script.seed, &how) {
                        Ok(sockets) => {
                            let all = kernel
                                .answers_by_job
                                .keys()
                                .chain(sockets.answers_by_job.keys());
                            let all: std::collections::BTreeSet<&u64> = all.collect();
                            let other = |t: &&&u64| {
                                kernel.answers_by_job.get(*t) != sockets.answers_by_job.get(*t)
                            };
                            let others: Vec<&&u64> = all.iter().filter(other).collect();
                            let first = others.first().map_or(String::new(), |t| {
                                format!(
                                    "{:?} and {:?}",
                                    kernel.answers_by_job.get(**t),
                                    sockets.answers_by_job.get(**t)
                                )
                            });
                            (seed, all.len(), others.len(), first)
                        }
                        Err(error) => (seed, 0, 1, error.to_string()),
                    };
                    if let Ok(mut lines) = lines.lock() {
                        lines.push(line);
                    }
                }
            });
        }
    });
    let mut lines = lines.into_inner().unwrap_or_default();
    lines.sort();
    let (jobs, others) = lines.iter().fold((0, 0), |(a, b), (_, jobs, others, _)| {
        (a + jobs, b + others)
    });
    println!(
        "{} days, {jobs} jobs: {others} answered otherwise in simulated time than on sockets",
        lines.len()
    );
    for (seed, _, others, first) in lines.iter().filter(|(_, _, others, _)| *others > 0) {
        println!("seed {seed}: {others} jobs, the first {first}");
    }
    Ok(if others == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn show(sum: &FuzzSummary, took: f64, pairs: bool) {
    let (share, least, most) = sum.share();
    println!(
        "{} days in {took:.1} s, {} broken: {:.4}, with 95 in 100 between {least:.4} and {most:.4}",
        sum.days, sum.broken, share
    );
    let rules: Vec<String> = (0..=5)
        .map(|r| {
            let name = if r == 0 {
                "left open".into()
            } else {
                format!("rule {r}")
            };
            format!("{name} {}", sum.by_rule.get(&r).unwrap_or(&0))
        })
        .collect();
    println!("days by rule: {}", rules.join(", "));
    println!("jobs {}, offers {}", sum.jobs, sum.offers);
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header([
        "class",
        "placed",
        "refused",
        "failed",
        "placed a job answered",
        "p50 ms",
        "p99 ms",
    ]);
    for (class, (p50, p99, n)) in &sum.delays {
        let of = |answer: &str| {
            sum.answers
                .get(&format!("{class} {answer}"))
                .copied()
                .unwrap_or(0)
        };
        let (placed, refused, failed) = (of("placed"), of("refused"), of("failed"));
        let all = (placed + refused + failed).max(1) as f64;
        let mean = |sum: u64| format!("{:.1}", sum as f64 / (*n).max(1) as f64 / 1e3);
        table.add_row([
            class.clone(),
            placed.to_string(),
            refused.to_string(),
            failed.to_string(),
            format!("{:.4}", placed as f64 / all),
            mean(*p50),
            mean(*p99),
        ]);
    }
    println!("{table}");
    for (errno, n) in &sum.turned_away {
        println!("turned away {errno}: {n}");
    }
    for (hazard, days) in &sum.hazards {
        println!("{days} days: {hazard}");
    }
    if pairs {
        let all = peppercove_kernel::fuzz::FAULT_KINDS.len();
        println!(
            "{} of {} pairs of faults overlapped",
            sum.pairs.len(),
            all * (all + 1) / 2
        );
        for ((a, b), days) in &sum.pairs {
            println!("{a} with {b}: {days}");
        }
    }
}
