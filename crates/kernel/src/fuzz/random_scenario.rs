//! Random scenarios and their generation from a seed. Any change to the order of the random draws changes the scenario
//! of every seed.

use crate::scenario::FaultKind;

/// Kinds of faults in random scenarios: all but misbehaving clients, which the simulation does not have.
pub const FAULT_KINDS: &[FaultKind] = FaultKind::ALL.split_at(22).0;

/// Names of the classes in the embedded settings.
const CLASSES: [&str; 3] = ["fill", "render", "update"];

/// Maximum arrival rates of these classes before scaling, in jobs per second.
const MAX_RATES: [f64; 3] = [20.0, 16.0, 8.0];

/// Mixed into the seed, so that the draws differ from those of other generators with the same seed.
const SEED_SALT: u64 = 0x6875_6e74;

/// Like [`SEED_SALT`], for the additional draws of timing-independent scenarios.
const TIMING_INDEPENDENT_SEED_SALT: u64 = 0x7469_6d65;

/// A group of nodes of one kind.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NodeGroup {
    pub(super) count: u64,
    pub(super) kind: &'static str,
    pub(super) racks: u64,
    pub(super) first_rack: u64,
    pub(super) drain: &'static str,
    pub(super) start_ms: u64,
}

/// Jobs of one class that arrive at random times.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Workload {
    pub(super) class: &'static str,
    pub(super) rate: f64,
    pub(super) run_time_ms: u64,
    pub(super) services: u64,
}

/// One job that is submitted at a fixed time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Job {
    pub(super) at_ms: u64,
    pub(super) class: &'static str,
    pub(super) service: u64,
    pub(super) run_time_ms: u64,
    pub(super) controller: u64,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Fault {
    pub(super) kind: FaultKind,
    pub(super) at_ms: u64,
    pub(super) duration_ms: u64,
    pub(super) target: Target,
    pub(super) class: Option<&'static str>,
    pub(super) magnitude: f64,
}

impl Fault {
    /// Whether both faults are active at the same time at some point.
    fn overlaps(&self, other: &Fault) -> bool {
        self.at_ms <= other.at_ms + other.duration_ms
            && other.at_ms <= self.at_ms + self.duration_ms
    }
}

/// What a fault affects: a share of all nodes or controllers, or one node, rack or controller by its index.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Target {
    Share(f64),
    Node(u64),
    Rack(u64),
    Controller(u64),
}

/// A random scenario, in a form that can be written as XML and shrunk.
#[derive(Clone, Debug, PartialEq)]
pub struct RandomScenario {
    pub(super) seed: u64,
    pub(super) duration_ms: u64,
    pub(super) controllers: u64,
    pub(super) list_delay_ms: u64,
    pub(super) confirms: &'static str,
    pub(super) preempts: bool,
    /// Share of the clients with keyed and non-idempotent tasks that fail over when they lose their controller.
    pub(super) failover_share: f64,
    pub(super) node_groups: Vec<NodeGroup>,
    pub(super) workloads: Vec<Workload>,
    pub(super) faults: Vec<Fault>,
    /// Jobs at fixed times, in place of workloads.
    pub(super) jobs: Vec<Job>,
}

impl RandomScenario {
    /// Generates the scenario of a seed, with 2 to 12 faults that may overlap.
    pub fn random(seed: u64) -> RandomScenario {
        let mut rng = fastrand::Rng::with_seed(seed ^ SEED_SALT);
        let duration_ms = rng.u64(4_000..12_000);
        let controllers = *pick(&mut rng, &[1, 2, 2, 3, 4, 6]);
        let node_groups = draw_node_groups(&mut rng);
        let workloads = draw_workloads(&mut rng);
        let mut scenario = RandomScenario {
            seed: rng.u64(1..1 << 40),
            duration_ms,
            controllers,
            list_delay_ms: *pick(&mut rng, &[50, 300, 300, 1_000]),
            confirms: pick::<&str>(&mut rng, &["running", "running", "running", "accepted"]),
            preempts: rng.u32(0..4) == 0,
            failover_share: 0.0,
            node_groups,
            workloads,
            faults: Vec::new(),
            jobs: Vec::new(),
        };
        scenario.draw_faults(seed, &mut rng);
        if rng.u32(0..4) == 0 {
            scenario.failover_share = 0.4;
        }
        scenario
    }

    /// Generates the scenario of a seed with jobs at fixed times, and only with faults whose effect does not depend on
    /// timing: its jobs must have the same outcomes in simulated time and on sockets.
    pub fn timing_independent(seed: u64) -> RandomScenario {
        let mut rng = fastrand::Rng::with_seed(seed ^ TIMING_INDEPENDENT_SEED_SALT);
        let mut scenario = RandomScenario::random(seed);
        scenario.faults.clear();
        scenario.failover_share = 0.0;
        scenario.duration_ms = scenario.duration_ms.min(5_000);
        // Enough capacity for all jobs: with less, timing would decide which of them are placed.
        let small_nodes = &mut scenario.node_groups[0];
        small_nodes.count = small_nodes.count.max(6);
        for workload in std::mem::take(&mut scenario.workloads) {
            scenario.draw_jobs(&workload, &mut rng);
        }
        scenario.jobs.sort_unstable();
        if rng.bool() {
            scenario.faults.push(Fault {
                kind: FaultKind::ClassError,
                at_ms: 0,
                duration_ms: scenario.duration_ms + 30_000,
                target: Target::Share(1.0),
                class: Some(*pick(&mut rng, &CLASSES)),
                magnitude: 1.0,
            });
        }
        scenario
    }

    /// Draws jobs at fixed times in place of a workload.
    fn draw_jobs(&mut self, workload: &Workload, rng: &mut fastrand::Rng) {
        let jobs = (workload.rate.min(6.0) * self.duration_ms as f64 / 1e3) as u64;
        for _ in 0..jobs {
            self.jobs.push(Job {
                at_ms: rng.u64(0..self.duration_ms),
                class: workload.class,
                service: rng.u64(0..workload.services),
                run_time_ms: workload.run_time_ms.min(800),
                controller: rng.u64(0..self.controllers),
            });
        }
    }

    /// Draws two faults of the pair of kinds of this seed, at about the same time, and up to ten others.
    fn draw_faults(&mut self, seed: u64, rng: &mut fastrand::Rng) {
        let others = rng.usize(0..11);
        let focus = rng.u64(300..self.duration_ms.max(1_000) - 500);
        for kind in pair_of_kinds(seed) {
            let at_ms = focus + rng.u64(0..400);
            let fault = self.draw_fault(rng, kind, at_ms);
            self.faults.push(fault);
        }
        for _ in 0..others {
            let kind = *pick(rng, FAULT_KINDS);
            // Half of them are close to the first two: overlapping faults find the most violations.
            let at_ms = if rng.bool() {
                (focus + rng.u64(0..1_500)).saturating_sub(500)
            } else {
                rng.u64(200..self.duration_ms)
            };
            let fault = self.draw_fault(rng, kind, at_ms);
            self.faults.push(fault);
        }
        self.faults.sort_by_key(|fault| fault.at_ms);
    }

    #[expect(
        clippy::wildcard_enum_match_arm,
        reason = "all other kinds, including new ones, share a default range"
    )]
    fn draw_fault(&self, rng: &mut fastrand::Rng, kind: FaultKind, at_ms: u64) -> Fault {
        let target = self.draw_target(rng, kind);
        let class = kind.needs_class().then(|| *pick(rng, &CLASSES));
        let magnitude = match kind {
            FaultKind::ListStale | FaultKind::LateReports => rng.f64() * 4.0,
            FaultKind::Burst => 1.5 + rng.f64() * 2.0,
            FaultKind::Slowdown => rng.f64() * 0.3,
            FaultKind::ForeignLoad => rng.f64() * 0.7,
            _ => rng.f64(),
        };
        let duration_ms = match kind {
            FaultKind::ControllerKilled | FaultKind::Restarts => rng.u64(50..1_500),
            _ => rng.u64(200..5_000),
        };
        Fault {
            kind,
            at_ms,
            duration_ms,
            target,
            class,
            magnitude: (magnitude * 100.0).round() / 100.0,
        }
    }

    fn draw_target(&self, rng: &mut fastrand::Rng, kind: FaultKind) -> Target {
        let nodes: u64 = self.node_groups.iter().map(|group| group.count).sum();
        let racks = self.node_groups[0].racks;
        match (kind, rng.u32(0..4)) {
            (FaultKind::ControllerKilled, 0) => Target::Share(draw_percentage(rng)),
            (FaultKind::ControllerKilled, _) => Target::Controller(rng.u64(0..self.controllers)),
            (FaultKind::Partition, _) => Target::Rack(rng.u64(0..racks)),
            (_, 0) => Target::Node(rng.u64(0..nodes)),
            (_, 1) => Target::Rack(rng.u64(0..racks)),
            (_, _) => Target::Share(draw_percentage(rng)),
        }
    }

    /// Returns the pairs of kinds, by name, of which faults overlap in time. Names and pairs are in ascending order.
    pub fn overlapping_pairs(&self) -> Vec<(&'static str, &'static str)> {
        let mut pairs = Vec::new();
        for (i, first) in self.faults.iter().enumerate() {
            for second in &self.faults[i + 1..] {
                if first.overlaps(second) {
                    let (a, b) = (first.kind.name(), second.kind.name());
                    pairs.push((a.min(b), a.max(b)));
                }
            }
        }
        pairs.sort_unstable();
        pairs.dedup();
        pairs
    }
}

/// Returns the pair of kinds of a seed. Consecutive seeds iterate over all pairs, including each kind with itself.
fn pair_of_kinds(seed: u64) -> [FaultKind; 2] {
    let kinds = FAULT_KINDS.len() as u64;
    let mut index = seed % (kinds * (kinds + 1) / 2);
    for first in 0..kinds {
        let seconds = kinds - first;
        if index < seconds {
            return [
                FAULT_KINDS[first as usize],
                FAULT_KINDS[(first + index) as usize],
            ];
        }
        index -= seconds;
    }
    [FAULT_KINDS[0]; 2]
}

fn draw_node_groups(rng: &mut fastrand::Rng) -> Vec<NodeGroup> {
    let racks = rng.u64(1..6);
    let mut draw_group = |kind, counts| {
        let count = rng.u64(counts);
        (count > 0).then(|| NodeGroup {
            count,
            kind,
            racks,
            first_rack: 0,
            drain: pick::<&str>(rng, &["at-once", "at-once", "paced", "none"]),
            start_ms: *pick(rng, &[10, 30, 30, 100]),
        })
    };
    let small = draw_group("small", 2..13);
    let large = draw_group("large", 0..5);
    small.into_iter().chain(large).collect()
}

fn draw_workloads(rng: &mut fastrand::Rng) -> Vec<Workload> {
    let scale = rng.f64() * 2.0 + 0.3;
    let mut workloads = Vec::new();
    for (class, max_rate) in CLASSES.into_iter().zip(MAX_RATES) {
        if rng.u32(0..8) > 0 {
            workloads.push(Workload {
                class,
                rate: ((rng.f64() * max_rate * scale).max(0.5) * 10.0).round() / 10.0,
                run_time_ms: rng.u64(200..4_000),
                services: rng.u64(1..10),
            });
        }
    }
    workloads
}

/// Draws a share in whole percents.
fn draw_percentage(rng: &mut fastrand::Rng) -> f64 {
    (rng.f64() * 100.0).round() / 100.0
}

fn pick<'a, T>(rng: &mut fastrand::Rng, from: &'a [T]) -> &'a T {
    &from[rng.usize(0..from.len())]
}
