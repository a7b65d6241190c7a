//! What the roles without sockets are put under: a cluster with its settings and lines, the tasks that are asked for,
//! and how long machines take; and what is noted of it, times by kind of event and resident memory.
//!
//! Simulated time passes between events and none in them. The same sizes give the same events.

use crate::row::{At, Axis, Basis, Measure};
use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use peppercove::{
    DedupScope, Idempotency, LoadReport, Micros, NodeEntry, NodeId, NodeKind, NodeStatus,
    PlacementRequest, RequestId, ServiceId, Settings, TaskClass, TaskKey, Tenant, TopologySpread,
};
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
/// When the simulated time begins, microseconds since the Unix epoch.
pub const BEGIN: Micros = 1_800_000_000 * SECOND;
/// Cores and memory of a machine.
pub const SIZE: [f64; 2] = [64.0, 256.0];
/// Machines in one rack.
const RACK: u64 = 40;
/// Zones.
const ZONES: u64 = 44;
/// Standing tasks of one service.
const OF_ONE_SERVICE: u64 = 8;
/// Own tasks that stand take at most this share of the cluster.
const OWN_SHARE: f64 = 0.3;
/// Windows that a point's events are split over: the repeats behind its spread.
pub const WINDOWS: u32 = 5;
/// Changes of one line that end a window, so that there are some at each size.
pub const CHANGES: u64 = 10;

/// A cluster of these sizes.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// The sizes.
    pub at: At,
    /// Cores and memory that a task asks for.
    pub asks: [f64; 2],
    services: u64,
    fresh: u64,
    holders: u64,
    rng: fastrand::Rng,
    /// Machines that hold the program of a service.
    warm: HashSet<(NodeId, ServiceId)>,
}

impl Cluster {
    /// Of these sizes. Tasks are small enough that those that stand leave room.
    pub fn new(at: &At) -> Cluster {
        let room = at.machines as f64 * SIZE[0] * OWN_SHARE;
        // Rounded, so that the text of an ask is as long at every size.
        let cores = (room / (at.standing + at.starts * 4).max(1) as f64).clamp(0.001, 1.0);
        let cores = (cores * 1e3).round() / 1e3;
        let services = (at.standing / OF_ONE_SERVICE).max(at.classes).max(50);
        let asks = [cores, cores * SIZE[1] / SIZE[0]];
        let holders = (at.machines - at.machines.div_ceil(5)).max(1);
        Cluster {
            at: *at,
            asks,
            services,
            fresh: 0,
            holders,
            rng: fastrand::Rng::with_seed(1),
            warm: HashSet::new(),
        }
    }

    /// Settings: classes of four sorts by turns, safe, keyed by rack, unsafe, and spread over zones; a fleet has its
    /// price, so that empty machines are kept closed.
    pub fn settings(&self) -> Settings {
        let sample = Settings::sample();
        let plain = TaskClass {
            start_seconds: 20.0,
            ..sample.classes[0].clone()
        };
        let keyed = Idempotency::Keyed {
            scope: DedupScope::Rack,
            window: 4 * SECOND,
        };
        let sorts = [
            plain.clone(),
            TaskClass {
                idempotency: keyed,
                priority: 1,
                ..plain.clone()
            },
            TaskClass {
                idempotency: Idempotency::NonIdempotent,
                priority: 2,
                ..plain.clone()
            },
            TaskClass {
                topology_spread: TopologySpread::Zone,
                max_per_domain: 4,
                ..plain
            },
        ];
        Settings {
            schedulers: self.at.schedulers as u32,
            own_index: 0,
            classes: (0..self.at.classes as usize)
                .map(|i| sorts[i % sorts.len()].clone())
                .collect(),
            node_kinds: vec![NodeKind {
                cores: SIZE[0],
                memory: SIZE[1],
            }],
            tenants: (0..self.at.tenants)
                .map(|_| Tenant {
                    quota_cores: Some(SIZE[0] * 10.0),
                })
                .collect(),
            mean_cores: self.asks[0],
            mean_memory: self.asks[1],
            fleet_price: 0.1,
            migration_price: 0.01,
            rejection_price: 0.01,
            ..sample
        }
    }

    /// One in five machines holds nothing.
    fn is_opened(i: u64) -> bool {
        !i.is_multiple_of(5)
    }

    /// No more machines than these hold the tasks that stand.
    #[must_use]
    pub fn held_by(self, most: u64) -> Cluster {
        Cluster {
            holders: self.holders.min(most.max(1)),
            ..self
        }
    }

    /// Where the standing task `n` is: spread over the opened machines.
    pub fn machine_of(&self, n: u64) -> u64 {
        let k = n % self.holders;
        k + k / 4 + 1
    }

    fn own(&self, i: u64) -> u64 {
        if !Cluster::is_opened(i) || i - i / 5 > self.holders {
            return 0;
        }
        self.at.standing / self.holders + u64::from(i - i / 5 <= self.at.standing % self.holders)
    }

    /// Free cores and memory of machine `i`: others take three to six tenths of an opened one, and the tasks that stand
    /// take theirs.
    pub fn free(&mut self, i: u64) -> [f64; 2] {
        let others = if Cluster::is_opened(i) {
            0.3 + 0.3 * self.rng.f64()
        } else {
            0.0
        };
        let own = self.own(i) as f64;
        [0, 1].map(|r| SIZE[r] * (1.0 - others) - own * self.asks[r])
    }

    /// Rack and zone of machine `i`.
    pub fn place(i: u64) -> (u16, u8) {
        ((i / RACK) as u16, (i / RACK % ZONES) as u8)
    }

    /// Line of machine `i` under this id.
    pub fn line(&mut self, i: u64, machine: NodeId) -> NodeEntry {
        let (rack, zone) = Cluster::place(i);
        let [cores, memory] = self.free(i);
        let (free_cores, free_memory) = (Some(cores), Some(memory));
        let (state, kind, started_at, life, cold_share) = (NodeStatus::Ready, 0, 0, 0, None);
        NodeEntry {
            node: machine,
            state,
            kind,
            rack,
            zone,
            started_at,
            incarnation: life,
            free_cores,
            free_memory,
            slow_start_share: cold_share,
        }
    }

    /// The load report of machine `i`.
    pub fn load(&mut self, i: u64) -> LoadReport {
        let [cores, memory] = self.free(i);
        LoadReport {
            free_cores: Some(cores),
            free_memory: Some(memory),
            cpu_utilization: Some(0.5),
            queue_depth: Some(0.0),
        }
    }

    /// The ask of the standing task `n`.
    pub fn standing(&self, n: u64) -> PlacementRequest {
        self.request(n, n / OF_ONE_SERVICE % self.services)
    }

    /// The ask of a task that comes: one in fifty, and all while `fresh`, of a service that was not there before.
    pub fn start(&mut self, n: u64, fresh: bool) -> PlacementRequest {
        let new = fresh || self.rng.u8(0..50) == 0;
        self.fresh += u64::from(new);
        let service = if new {
            (1 << 32) + self.fresh
        } else {
            self.rng.u64(0..self.services)
        };
        self.request(n, service)
    }

    fn request(&self, n: u64, service: u64) -> PlacementRequest {
        PlacementRequest {
            id: RequestId(n),
            task: TaskKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            service: ServiceId(service + 1),
            class: (service % self.at.classes) as u16,
            tenant: (service % self.at.tenants.max(1)) as u32,
            cores: self.asks[0],
            memory: self.asks[1],
            deadline_in: 5 * SECOND,
            expected_duration: None,
            is_retry: false,
        }
    }

    /// The time until the next task comes, microseconds: as many a second as the sizes say, at random.
    pub fn next_start(&mut self) -> Micros {
        let wait = -(1.0 - self.rng.f64()).ln() / self.at.starts.max(1) as f64;
        (wait * 1e6) as Micros + 1
    }

    /// The time until the next change of the list, microseconds.
    pub fn next_change(&self) -> Option<Micros> {
        SECOND.checked_div(self.at.changes)
    }

    /// A machine whose line changes.
    pub fn any(&mut self) -> u64 {
        self.rng.u64(0..self.at.machines)
    }

    /// What a machine makes of an offer, and after how long in microseconds. It takes 150 ms where the program is there
    /// and 700 ms where it is not, which is in time as well: homes then grow as far as they may, the most that the draw
    /// has to go through. Two in a hundred are refused and one errs.
    pub fn answer(&mut self, machine: NodeId, service: ServiceId) -> (Micros, Word) {
        let [took, word] = match self.rng.u8(0..100) {
            0 | 1 => return (5_000, Word::Refused),
            2 => return (5_000, Word::Error),
            _ if self.warm.insert((machine, service)) => [700_000, 70_000],
            _ => [150_000, 15_000],
        };
        (took + self.rng.u64(0..word), Word::Runs)
    }
}

/// What a machine says to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// The task runs.
    Runs,
    /// No room.
    Refused,
    /// An error.
    Error,
}

/// How long a point is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Starts before anything is noted.
    pub warm: u64,
    /// Starts in a window.
    pub starts: u64,
    /// Wall time after which a window ends early, and the starts before the first.
    pub bound: Duration,
}

impl Play {
    /// As many starts as fit into a fraction of a second (of some seconds, where it is not quick) by what a start costs
    /// on this many machines, and no fewer than make a median.
    pub fn of(at: &At, quick: bool) -> Play {
        let (fit, bound) = if quick {
            (300_000, 700)
        } else {
            (900_000, 1_500)
        };
        let starts = (fit / at.machines.max(1)).clamp(60, if quick { 400 } else { 1_000 });
        // Homes grow by a tenth with each start in time, for each class by itself; and as many come as end once the
        // longest start is over.
        let warm = (at.classes * 100).max(at.starts * 2).min(2_000);
        Play {
            warm,
            starts,
            bound: Duration::from_millis(bound),
        }
    }

    /// When a window that begins now ends at the latest.
    pub fn until(&self) -> Instant {
        Instant::now() + self.bound
    }
}

/// Schedulers of a fleet of the target's size.
const MANY: u64 = 400;

/// Sweeps of a role with a bounded view. The more schedulers, the smaller a view: at the base's sixteen it holds two in five
/// machines of a large fleet, and the sum of the slopes would not know that it holds one in eight among many. Machines rise
/// among as many as share a fleet of the target's size.
pub fn among_many(mut sweeps: Vec<(Axis, Vec<At>)>) -> Vec<(Axis, Vec<At>)> {
    let machines = sweeps
        .iter_mut()
        .filter(|(axis, _)| *axis == Axis::Machines);
    machines
        .flat_map(|(_, points)| points)
        .for_each(|at| at.schedulers = MANY);
    sweeps
}

/// The sweeps of these axes and of all of them together: each up to its size on the platform, in five points of a quick
/// run and seven of another.
pub fn sweeps(axes: &[(Axis, u64)], quick: bool) -> Vec<(Axis, Vec<At>)> {
    let points = if quick { 5 } else { 7 };
    let rising = |axis: Axis, most| crate::roles::rising(axis.of(&At::BASE), most, points);
    let mut sweeps: Vec<(Axis, Vec<At>)> = axes
        .iter()
        .map(|&(axis, most)| {
            (
                axis,
                rising(axis, most).into_iter().map(|n| axis.at(n)).collect(),
            )
        })
        .collect();
    let together = (0..points as usize).map(|i| {
        axes.iter().fold(At::BASE, |at, &(axis, most)| {
            axis.set(at, rising(axis, most)[i])
        })
    });
    let together = together.collect();
    sweeps.push((Axis::Together, together));
    sweeps
}

/// Nanoseconds of processor time that this thread has used.
fn spent() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// Events of one kind in one window.
#[derive(Debug)]
struct Window {
    times: Histogram<u64>,
    sum: u64,
}

/// Processor time by kind of event and window.
#[derive(Debug)]
pub struct Timings {
    /// What reading the clock itself costs, nanoseconds.
    own: u64,
    empty: Histogram<u64>,
    windows: Vec<BTreeMap<&'static str, Window>>,
}

impl Timings {
    /// Nothing noted yet.
    ///
    /// # Errors
    /// None: two digits are within what a histogram takes.
    pub fn new() -> Result<Timings> {
        let mut own: Vec<u64> = (0..1_000).map(|_| spent()).collect();
        own = own.windows(2).map(|pair| pair[1] - pair[0]).collect();
        own.sort_unstable();
        Ok(Timings {
            own: own[own.len() / 2],
            empty: Histogram::new(2)?,
            windows: vec![BTreeMap::new()],
        })
    }

    /// What is noted from now on is another window's; what was noted before the first counts for nothing.
    pub fn next_window(&mut self, first: bool) {
        if first {
            self.windows.clear();
        }
        self.windows.push(BTreeMap::new());
    }

    /// Does something and gives what it comes to and the processor time it took, in nanoseconds.
    pub fn take<T>(&self, act: impl FnOnce() -> T) -> (T, u64) {
        let before = spent();
        let done = act();
        (done, (spent() - before).saturating_sub(self.own))
    }

    /// Notes an event.
    pub fn note(&mut self, kind: &'static str, nanos: u64) {
        let Some(window) = self.windows.last_mut() else {
            return;
        };
        let window = window.entry(kind).or_insert_with(|| Window {
            times: self.empty.clone(),
            sum: 0,
        });
        // The histogram grows by itself, so that no figure is out of its bounds.
        window.times.record(nanos.max(1)).ok();
        window.sum += nanos;
    }

    /// How many events of a kind were noted.
    pub fn events(&self, kind: &str) -> u64 {
        self.windows
            .iter()
            .filter_map(|w| w.get(kind))
            .map(|w| w.times.len())
            .sum()
    }

    /// Processor time of each kind of event, `<kind>_time`, and of the longest of all, in microseconds.
    pub fn measures(&self) -> Vec<Measure> {
        let kinds: Vec<&'static str> = self
            .windows
            .iter()
            .flat_map(|w| w.keys().copied())
            .collect();
        let kinds: std::collections::BTreeSet<&'static str> = kinds.into_iter().collect();
        let mut measures = Vec::new();
        for kind in kinds {
            let of: Vec<&Window> = self.windows.iter().filter_map(|w| w.get(kind)).collect();
            let medians = of
                .iter()
                .map(|w| w.times.value_at_quantile(0.5) as f64 / 1e3)
                .collect();
            let mut all = self.empty.clone();
            for window in &of {
                all += &window.times;
            }
            let measure = Measure::of(&format!("{kind}_time"), "us", Basis::Timed, medians);
            let p99 = Some(all.value_at_quantile(0.99) as f64 / 1e3);
            measures.extend(measure.map(|m| Measure {
                p99,
                samples: all.len(),
                ..m
            }));
        }
        let longest = |w: &BTreeMap<&str, Window>| w.values().map(|k| k.times.max()).max();
        let longest = self
            .windows
            .iter()
            .filter_map(longest)
            .map(|nanos| nanos as f64 / 1e3)
            .collect();
        measures.extend(Measure::of("longest_turn", "us", Basis::Timed, longest));
        measures
    }

    /// The time of all that was noted in the last window, microseconds.
    pub fn total_micros(&self) -> f64 {
        let last = self
            .windows
            .iter()
            .next_back()
            .into_iter()
            .flat_map(BTreeMap::values);
        last.map(|kind| kind.sum).sum::<u64>() as f64 / 1e3
    }

    /// The time of all events of these kinds for each event of the first of them, microseconds.
    pub fn for_each(&self, measure: &str, kinds: &[&str]) -> Option<Measure> {
        let one = |w: &BTreeMap<&str, Window>| {
            let sum: u64 = kinds.iter().filter_map(|k| w.get(k)).map(|k| k.sum).sum();
            let events = w.get(kinds.first()?)?.times.len();
            Some(sum as f64 / 1e3 / events.max(1) as f64)
        };
        Measure::of(
            measure,
            "us",
            Basis::Timed,
            self.windows.iter().filter_map(one).collect(),
        )
    }
}

/// Resident bytes of this process, as the kernel counts its pages.
pub fn resident() -> Result<u64> {
    let rollup =
        std::fs::read_to_string("/proc/self/smaps_rollup").context("/proc/self/smaps_rollup")?;
    let line = rollup
        .lines()
        .find_map(|l| l.strip_prefix("Rss:"))
        .context("no Rss in smaps_rollup")?;
    let kib: u64 = line
        .trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .context("Rss in smaps_rollup")?;
    Ok(kib * 1024)
}

/// Resident bytes that so many items added, for each of them; none for none.
pub fn resident_each(measure: &str, before: u64, after: u64, items: u64) -> Option<Measure> {
    let each = after.saturating_sub(before) as f64 / items as f64;
    (items > 0).then(|| Measure {
        basis: Basis::Resident,
        ..Measure::counted(measure, "bytes", each)
    })
}
