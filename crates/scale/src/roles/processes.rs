//! The `processes` role: `peppercove serve` processes with nodes, a journal service and clients on loopback.
//!
//! Everything but the schedulers runs in one thread of the point's process. The delay of a start is measured at the
//! client, so it includes the time of that thread and both directions through the network stack. Sizes and figures are
//! per scheduler; the spread of a figure is that over all schedulers of the point.

use crate::error::MeasureError;
use crate::loopback_fleet::byte_counts::{ByteCounts, ByteTotals};
use crate::loopback_fleet::clients::Clients;
use crate::loopback_fleet::journal_service::start_journal_service;
use crate::loopback_fleet::nodes::{TASK_DURATION, start_nodes};
use crate::loopback_fleet::request_ids::ENDLESS_TASK_BIT;
use crate::platform_format::config;
use crate::role::Role;
use crate::row::{Axis, Basis, Figure, Sizes};
use crate::scheduler_process::SchedulerProcess;
use crate::sweep::{Sweep, rising_sizes};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The description of this role.
pub const ROLE: Role = Role {
    name: "processes",
    is_hollow: false,
    sweeps,
    measure,
};

/// Timeout of one point.
const POINT_TIMEOUT: Duration = Duration::from_secs(28);
/// Timeout for the start of one process.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of file descriptors that this process may need: the limit of common systems, with a reserve.
const MAX_DESCRIPTORS: u64 = 19_000;
/// Time after the running tasks are started; longer than the idle time after which a connection with a task is tested.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Duration of the idle measurement. Connections with a task are tested every second, so a duration of whole seconds
/// counts each of them equally often.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Time after the duration of the last task, for its end to arrive.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Running tasks started per second, over all schedulers.
const BRING_UP_RATE: u32 = 500;
/// Minimum number of starts for which a 99th percentile is reported.
const MIN_STARTS_FOR_P99: u64 = 100;

/// One scheduler with few clients, and enough starts that their CPU time is distinguishable from the idle CPU time.
const ONE_SCHEDULER: Sizes = Sizes {
    schedulers: 1,
    starts_per_second: 100,
    connections: 20,
    ..Sizes::BASE
};
/// Many schedulers with a low load, on few nodes.
const MANY_SCHEDULERS: Sizes = Sizes {
    nodes: 32,
    starts_per_second: 2,
    running_tasks: 4,
    connections: 2,
    ..Sizes::BASE
};

fn sweeps(is_quick: bool) -> Vec<Sweep> {
    let points = if is_quick { 3 } else { 5 };
    let max_nodes = if is_quick { 1_000 } else { 3_200 };
    let schedulers = if is_quick {
        vec![2, 8, 32, 128]
    } else {
        vec![2, 8, 32, 128, 256]
    };
    let compared = if is_quick {
        vec![1, 16]
    } else {
        vec![1, 4, 16]
    };
    let few_nodes = Sizes {
        nodes: 100,
        ..ONE_SCHEDULER
    };
    vec![
        sweep_from(
            ONE_SCHEDULER,
            Axis::Nodes,
            rising_sizes(32, max_nodes, points),
        ),
        sweep_from(MANY_SCHEDULERS, Axis::Schedulers, schedulers),
        sweep_from(ONE_SCHEDULER, Axis::Starts, rising_sizes(20, 320, points)),
        sweep_from(few_nodes, Axis::Connections, rising_sizes(10, 316, points)),
        // The same sizes as hollow points, so that the figures can be compared.
        Sweep {
            axis: Axis::Combined,
            points: compared
                .into_iter()
                .map(|n| Axis::Schedulers.at(n))
                .collect(),
        },
    ]
}

fn sweep_from(base: Sizes, axis: Axis, sizes: Vec<u64>) -> Sweep {
    Sweep {
        axis,
        points: sizes
            .into_iter()
            .map(|size| axis.replace_in(base, size))
            .collect(),
    }
}

fn measure(sizes: &Sizes, is_quick: bool) -> Result<Vec<Figure>, MeasureError> {
    // Listeners of nodes, a connection of each scheduler to each node, and client connections. Log files are already
    // closed.
    let needed = sizes.nodes + sizes.schedulers * (sizes.nodes + sizes.connections);
    if needed >= MAX_DESCRIPTORS {
        return Err(MeasureError::TooManyDescriptors { needed });
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let seconds = if is_quick { 2 } else { 5 };
    LocalSet::new().block_on(&runtime, async {
        let measured = timeout(POINT_TIMEOUT, measure_fleet(sizes, seconds)).await;
        measured.map_err(|_| MeasureError::Timeout)?
    })
}

/// The schedulers of a point, and their clients in the same order.
struct Fleet {
    processes: Vec<SchedulerProcess>,
    clients: Vec<Clients>,
    bytes: Rc<ByteCounts>,
}

impl Fleet {
    async fn start(sizes: &Sizes) -> Result<Fleet, MeasureError> {
        let bytes = Rc::new(ByteCounts::default());
        let nodes = start_nodes(sizes.nodes, &bytes).await?;
        let config = config(sizes, start_journal_service(&bytes).await?, &nodes);
        let mut processes = Vec::new();
        for _ in 0..sizes.schedulers {
            processes.push(SchedulerProcess::start("c1", &config)?);
        }
        let mut clients = Vec::new();
        for (i, process) in processes.iter_mut().enumerate() {
            let address = process.address(START_TIMEOUT).await?;
            clients.push(Clients::connect(i, address, sizes.connections, &bytes).await?);
        }
        Ok(Fleet {
            processes,
            clients,
            bytes,
        })
    }

    /// Sends each scheduler `count` requests, one per `interval`, staggered between schedulers.
    async fn request_tasks(&self, sizes: &Sizes, count: u64, interval: Duration, first: u64) {
        let started = Instant::now();
        let schedulers = self.clients.len() as u32;
        for number in 0..count {
            for (i, clients) in (0..).zip(&self.clients) {
                sleep_until(started + interval * number as u32 + interval * i / schedulers).await;
                clients.request_task(sizes, first + number + 1);
            }
        }
    }

    /// Returns the CPU time of each process so far in microseconds.
    fn cpu_times(&self) -> Result<Vec<f64>, MeasureError> {
        self.per_process(SchedulerProcess::cpu_time)
    }

    fn per_process(
        &self,
        figure: fn(&SchedulerProcess) -> Result<f64, MeasureError>,
    ) -> Result<Vec<f64>, MeasureError> {
        self.processes.iter().map(figure).collect()
    }
}

/// CPU time and bytes over an interval.
struct Usage {
    /// Length of the interval in seconds.
    duration: f64,
    /// CPU time per second of each scheduler, in microseconds.
    cpu: Vec<f64>,
    bytes: ByteTotals,
}

/// The counters at the start of an interval.
struct UsageStart {
    at: Instant,
    cpu: Vec<f64>,
    bytes: ByteTotals,
}

impl UsageStart {
    fn now(fleet: &Fleet) -> Result<UsageStart, MeasureError> {
        Ok(UsageStart {
            cpu: fleet.cpu_times()?,
            bytes: fleet.bytes.totals(),
            at: Instant::now(),
        })
    }

    /// Returns the usage since the start, over `duration` seconds.
    fn until_now(self, fleet: &Fleet, duration: f64) -> Result<Usage, MeasureError> {
        let times = fleet.cpu_times()?.into_iter().zip(self.cpu);
        let cpu = times
            .map(|(after, before)| (after - before) / duration)
            .collect();
        Ok(Usage {
            duration,
            cpu,
            bytes: fleet.bytes.totals().since(self.bytes),
        })
    }
}

async fn measure_fleet(sizes: &Sizes, seconds: u64) -> Result<Vec<Figure>, MeasureError> {
    let fleet = Fleet::start(sizes).await?;
    let interval = Duration::from_secs(sizes.schedulers) / BRING_UP_RATE;
    fleet
        .request_tasks(sizes, sizes.running_tasks, interval, ENDLESS_TASK_BIT)
        .await;
    sleep(SETTLE_TIME).await;

    let start = UsageStart::now(&fleet)?;
    sleep(IDLE_TIME).await;
    let idle = start.until_now(&fleet, IDLE_TIME.as_secs_f64())?;

    fleet.clients.iter().for_each(Clients::reset);
    let start = UsageStart::now(&fleet)?;
    let requested = sizes.starts_per_second * seconds;
    let interval = Duration::from_secs(1) / sizes.starts_per_second.max(1) as u32;
    fleet.request_tasks(sizes, requested, interval, 0).await;
    sleep(TASK_DURATION + END_MARGIN).await;
    let duration = start.at.elapsed().as_secs_f64();
    let load = start.until_now(&fleet, duration)?;
    figures(&fleet, sizes, &idle, &load, requested)
}

fn figures(
    fleet: &Fleet,
    sizes: &Sizes,
    idle: &Usage,
    load: &Usage,
    requested: u64,
) -> Result<Vec<Figure>, MeasureError> {
    let placed = fleet
        .clients
        .iter()
        .map(|clients| clients.outcomes().placed as f64);
    let placed: Vec<f64> = placed.collect();
    if placed.iter().any(|placed| *placed <= 0.0) {
        return Err(MeasureError::Implausible(
            "a scheduler placed no task, expected at least one from each".into(),
        ));
    }
    let total = placed.iter().sum();
    let mut figures = counted_figures(fleet, sizes, &load.bytes, total, requested);
    let idle_bytes = idle.bytes.both() as f64 / idle.duration / sizes.schedulers as f64;
    figures.push(Figure::counted("idle_bytes", "bytes/s", idle_bytes));
    let timed = |name, unit, times| Figure::from_repeats(name, unit, Basis::Timed, times);
    let start_times = start_times(idle, load, &placed);
    // This is a difference from the idle CPU time. With few starts it is below the variation of the idle time, and then
    // meaningless.
    if start_times.iter().all(|time| *time > 0.0) {
        figures.extend(timed("start_processor_time", "us", start_times));
    }
    figures.extend(timed("load_processor_time", "us/s", load.cpu.clone()));
    figures.extend(timed("idle_processor_time", "us/s", idle.cpu.clone()));
    let resident = fleet.per_process(SchedulerProcess::resident_bytes)?;
    figures.extend(Figure::from_repeats(
        "resident",
        "bytes",
        Basis::Resident,
        resident,
    ));
    let descriptors = fleet.per_process(SchedulerProcess::open_descriptors)?;
    figures.extend(Figure::from_repeats(
        "descriptors",
        "count",
        Basis::Counted,
        descriptors,
    ));
    figures.extend(start_delay(&fleet.clients));
    Ok(figures)
}

/// Returns the bytes and outcomes of the starts, of which `placed` were placed.
fn counted_figures(
    fleet: &Fleet,
    sizes: &Sizes,
    bytes: &ByteTotals,
    placed: f64,
    requested: u64,
) -> Vec<Figure> {
    let ended: u64 = fleet
        .clients
        .iter()
        .map(|clients| clients.outcomes().ended)
        .sum();
    let open: u64 = fleet.clients.iter().map(Clients::open_connections).sum();
    let requests = (requested * sizes.schedulers) as f64;
    vec![
        Figure::counted("start_bytes_in", "bytes", bytes.sent as f64 / placed),
        Figure::counted("start_bytes_out", "bytes", bytes.received as f64 / placed),
        Figure::counted("placed_share", "count", placed / requests),
        Figure::counted("ended_share", "count", ended as f64 / placed),
        Figure::counted(
            "owners_open",
            "count",
            open as f64 / sizes.schedulers as f64,
        ),
    ]
}

/// Returns the CPU time of a start at each scheduler in microseconds, without the idle CPU time.
fn start_times(idle: &Usage, load: &Usage, placed: &[f64]) -> Vec<f64> {
    let times = load.cpu.iter().zip(&idle.cpu).zip(placed);
    times
        .map(|((load_time, idle_time), placed)| (load_time - idle_time) * load.duration / placed)
        .collect()
}

/// Returns the time from a request to its answer: the median of all starts, with the minimum and maximum of the
/// schedulers' medians.
fn start_delay(clients: &[Clients]) -> Option<Figure> {
    let medians = clients
        .iter()
        .filter_map(|c| quantile(c.delays(), 0.5))
        .collect();
    let starts: Vec<f64> = clients.iter().flat_map(Clients::delays).collect();
    let figure = Figure::from_repeats("start_delay", "us", Basis::Timed, medians)?;
    let samples = starts.len() as u64;
    let median = quantile(starts.clone(), 0.5)?;
    let p99 = if samples >= MIN_STARTS_FOR_P99 {
        quantile(starts, 0.99)
    } else {
        None
    };
    Some(Figure {
        median,
        p99,
        samples,
        ..figure
    })
}

fn quantile(mut values: Vec<f64>, quantile: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values
        .get((values.len() as f64 * quantile) as usize)
        .copied()
}
