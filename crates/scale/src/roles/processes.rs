//! `peppercove serve` as processes, among hosts, a journal service and owners on loopback.
//!
//! All that is around the schedulers is one thread of the point's process: a start's delay is that of the owner and
//! holds that thread's own time and both ways through the system. Sizes of a figure are of one scheduler, spread over
//! all of the point.

use crate::fleet::{Bytes, LASTING, LIFE, Owners, start_hosts, start_journal};
use crate::platform::config;
use crate::process::Process;
use crate::roles::{Role, rising};
use crate::row::{At, Axis, Basis, Measure};
use anyhow::{Context, Result, ensure};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The role.
pub const ROLE: Role = Role {
    name: "processes",
    hollow: false,
    sweeps,
    measure,
};

/// No point takes longer.
const BOUND: Duration = Duration::from_secs(28);
/// Descriptors that this process may need: the limit of common systems, with something left.
const DESCRIPTORS: u64 = 19_000;
/// Longer than a connection with a task is silent before it is tested.
const SETTLED: Duration = Duration::from_millis(1200);
/// Time at rest that is measured: connections with a task are tested each second, and each counts as often as the others.
const RESTS: Duration = Duration::from_secs(2);
/// Tasks a second that are brought to stand, over all schedulers.
const BROUGHT: u64 = 500;

/// One scheduler with few owners, and starts enough that their time stands out from that at rest.
const ONE: At = At {
    schedulers: 1,
    starts: 100,
    connections: 20,
    ..At::BASE
};
/// Schedulers that have little to do, on few machines.
const MANY: At = At {
    machines: 32,
    starts: 2,
    standing: 4,
    connections: 2,
    ..At::BASE
};

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    let points = if quick { 3 } else { 5 };
    let along = |base: At, axis: Axis, sizes: Vec<u64>| {
        let at = |n| match axis {
            Axis::Machines => At {
                machines: n,
                ..base
            },
            Axis::Schedulers | Axis::Together => At {
                schedulers: n,
                ..base
            },
            Axis::Starts => At { starts: n, ..base },
            _ => At {
                connections: n,
                ..base
            },
        };
        (axis, sizes.into_iter().map(at).collect::<Vec<_>>())
    };
    let most = if quick { 1_000 } else { 3_200 };
    let schedulers = if quick {
        vec![2, 8, 32, 128]
    } else {
        vec![2, 8, 32, 128, 256]
    };
    let both_ways = if quick { vec![1, 16] } else { vec![1, 4, 16] };
    vec![
        along(ONE, Axis::Machines, rising(32, most, points)),
        along(MANY, Axis::Schedulers, schedulers),
        along(ONE, Axis::Starts, rising(20, 320, points)),
        along(
            At {
                machines: 100,
                ..ONE
            },
            Axis::Connections,
            rising(10, 316, points),
        ),
        // The same sizes as without processes: the figures of both can be held against each other.
        along(At::BASE, Axis::Together, both_ways),
    ]
}

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    // Listeners of hosts, a connection of each scheduler to each of them, and owners; logs are closed by then.
    let most = at.machines + at.schedulers * (at.machines + at.connections);
    ensure!(
        most < DESCRIPTORS,
        "up to {most} descriptors in one process"
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let played = async {
        timeout(BOUND, play(at, if quick { 2 } else { 5 }))
            .await
            .context("not over in time")?
    };
    LocalSet::new().block_on(&runtime, played)
}

/// What the system says of all processes: processor time so far, microseconds.
fn processor_times(processes: &[Process]) -> Result<Vec<f64>> {
    processes.iter().map(Process::processor_time).collect()
}

fn less(after: Vec<f64>, before: Vec<f64>, per: impl Fn(usize) -> f64) -> Vec<f64> {
    after
        .into_iter()
        .zip(before)
        .enumerate()
        .map(|(i, (a, b))| (a - b) / per(i))
        .collect()
}

async fn play(at: &At, seconds: u64) -> Result<Vec<Measure>> {
    let bytes = Rc::new(Bytes::default());
    let hosts = start_hosts(at.machines, &bytes).await?;
    let config = config(at, start_journal(&bytes).await?, &hosts);
    let mut processes = Vec::new();
    for _ in 0..at.schedulers {
        processes.push(Process::start("c1", &config)?);
    }
    let mut all = Vec::new();
    for (i, process) in processes.iter_mut().enumerate() {
        let address = process.address(Duration::from_secs(10)).await?;
        all.push(Owners::connect(i, address, at.connections, &bytes).await?);
    }
    let pace = Duration::from_secs(at.schedulers) / BROUGHT as u32;
    ask(at, &all, at.standing, pace, LASTING).await;
    sleep(SETTLED).await;

    let idle = RESTS;
    let (before, crossed) = (processor_times(&processes)?, bytes.now());
    sleep(idle).await;
    let idle_times = less(processor_times(&processes)?, before, |_| idle.as_secs_f64());
    let idle_bytes = (bytes.now().0 + bytes.now().1 - crossed.0 - crossed.1) as f64
        / idle.as_secs_f64()
        / at.schedulers as f64;

    all.iter().for_each(Owners::begin);
    let (before, crossed, began) = (processor_times(&processes)?, bytes.now(), Instant::now());
    let asked = at.starts * seconds;
    ask(
        at,
        &all,
        asked,
        Duration::from_secs(1) / at.starts.max(1) as u32,
        0,
    )
    .await;
    sleep(LIFE + Duration::from_millis(300)).await;
    let placed: Vec<f64> = all.iter().map(|o| o.outcomes()[0] as f64).collect();
    ensure!(
        placed.iter().all(|p| *p > 0.0),
        "a scheduler placed nothing"
    );
    let lasted = began.elapsed().as_secs_f64();
    let loads = less(processor_times(&processes)?, before, |_| lasted);
    // What it takes at rest is not the starts'.
    let times = loads
        .iter()
        .zip(&idle_times)
        .zip(&placed)
        .map(|((load, idle), placed)| (load - idle) * lasted / placed);
    let times: Vec<f64> = times.collect();
    let total: f64 = placed.iter().sum();
    let (to, from) = (
        (bytes.now().0 - crossed.0) as f64,
        (bytes.now().1 - crossed.1) as f64,
    );
    let ended: u64 = all.iter().map(|o| o.outcomes()[2]).sum();
    let open: u64 = all.iter().map(Owners::open).sum();
    let each = |figure: fn(&Process) -> Result<f64>| {
        processes.iter().map(figure).collect::<Result<Vec<_>>>()
    };

    let mut out = vec![
        Measure::counted("start_bytes_in", "bytes", to / total),
        Measure::counted("start_bytes_out", "bytes", from / total),
        Measure::counted(
            "placed_share",
            "count",
            total / (asked * at.schedulers) as f64,
        ),
        Measure::counted("ended_share", "count", ended as f64 / total),
        Measure::counted("owners_open", "count", open as f64 / at.schedulers as f64),
        Measure::counted("idle_bytes", "bytes/s", idle_bytes),
    ];
    // A difference from the time at rest: with few starts it is less than that wavers, and says nothing.
    if times.iter().all(|time| *time > 0.0) {
        out.extend(Measure::of(
            "start_processor_time",
            "us",
            Basis::Timed,
            times,
        ));
    }
    out.extend(Measure::of(
        "load_processor_time",
        "us/s",
        Basis::Timed,
        loads,
    ));
    out.extend(Measure::of(
        "idle_processor_time",
        "us/s",
        Basis::Timed,
        idle_times,
    ));
    out.extend(Measure::of(
        "resident",
        "bytes",
        Basis::Resident,
        each(Process::resident)?,
    ));
    out.extend(Measure::of(
        "descriptors",
        "count",
        Basis::Counted,
        each(Process::descriptors)?,
    ));
    out.extend(delay(&all));
    Ok(out)
}

/// Asks each scheduler for `count` tasks, one each `pace`, and not all schedulers at once.
async fn ask(at: &At, all: &[Owners], count: u64, pace: Duration, first: u64) {
    let (began, schedulers) = (Instant::now(), all.len() as u32);
    for number in 0..count {
        for (i, owners) in (0..).zip(all) {
            sleep_until(began + pace * number as u32 + pace * i / schedulers).await;
            owners.ask(at, first + number + 1);
        }
    }
}

/// From a set-up to its answer: of all starts, and low and high of the schedulers' medians.
fn delay(all: &[Owners]) -> Option<Measure> {
    let middle = |mut delays: Vec<f64>, share: f64| {
        delays.sort_by(f64::total_cmp);
        delays.get((delays.len() as f64 * share) as usize).copied()
    };
    let medians = all.iter().filter_map(|o| middle(o.delays(), 0.5)).collect();
    let starts: Vec<f64> = all.iter().flat_map(Owners::delays).collect();
    let of = Measure::of("start_delay", "us", Basis::Timed, medians)?;
    let (samples, median) = (starts.len() as u64, middle(starts.clone(), 0.5)?);
    let p99 = if samples >= 100 {
        middle(starts, 0.99)
    } else {
        None
    };
    Some(Measure {
        median,
        p99,
        samples,
        ..of
    })
}
