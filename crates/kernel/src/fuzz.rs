//! Random days: made from a seed, written as the XML that `peppercove day` plays too, and made smaller while they fail.

use crate::report::ScenarioReport;
use crate::scenario::Scenario;
use crate::simulator::simulate;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Kinds of faults that a random day draws from.
pub const FAULT_KINDS: &[&str] = &[
    "hang",
    "answers-lost",
    "never-confirms",
    "class-error",
    "class-silence",
    "false-refusals",
    "ageing",
    "reports-late",
    "neighbour",
    "repeats",
    "lies",
    "dies",
    "restarts",
    "drains",
    "flush",
    "cut",
    "cut-midframe",
    "rack-cut",
    "list-down",
    "list-stale",
    "controller-killed",
    "burst",
];

/// Nodes of one kind.
#[derive(Clone, Debug, PartialEq)]
struct Group {
    count: u64,
    kind: &'static str,
    racks: u64,
    first_rack: u64,
    drain: &'static str,
    start_ms: u64,
}

/// Jobs of one class.
#[derive(Clone, Debug, PartialEq)]
struct Load {
    class: &'static str,
    rate: f64,
    life_ms: u64,
    services: u64,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
struct Fault {
    kind: &'static str,
    at_ms: u64,
    for_ms: u64,
    hits: Hits,
    class: Option<&'static str>,
    size: f64,
}

#[derive(Clone, Debug, PartialEq)]
enum Hits {
    Share(f64),
    Node(u64),
    Rack(u64),
    Controller(u64),
}

/// A random day, as it can be written down and made smaller.
#[derive(Clone, Debug, PartialEq)]
pub struct RandomScenario {
    seed: u64,
    length_ms: u64,
    controllers: u64,
    late_ms: u64,
    confirms: &'static str,
    preempts: bool,
    /// Share of owners who ask another controller when theirs is gone.
    moves: f64,
    groups: Vec<Group>,
    loads: Vec<Load>,
    faults: Vec<Fault>,
    /// Jobs at stated times in place of loads: time, class, service, life, controller.
    stated: Vec<(u64, &'static str, u64, u64, u64)>,
}

/// All pairs of kinds, each with itself included: day after day begins with the next one, so that none is left out.
fn pair(seed: u64) -> [&'static str; 2] {
    let n = FAULT_KINDS.len() as u64;
    let mut i = seed % (n * (n + 1) / 2);
    for first in 0..n {
        let seconds = n - first;
        if i < seconds {
            return [
                FAULT_KINDS[first as usize],
                FAULT_KINDS[(first + i) as usize],
            ];
        }
        i -= seconds;
    }
    [FAULT_KINDS[0]; 2]
}

impl RandomScenario {
    /// The day of a seed: 1 to 12 faults that overlap as they will.
    pub fn random(seed: u64) -> RandomScenario {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x6875_6e74);
        let length_ms = rng.u64(4_000..12_000);
        let controllers = *pick(&mut rng, &[1, 2, 2, 3, 4, 6]);
        let racks = rng.u64(1..6);
        let group = |rng: &mut fastrand::Rng, kind, count| Group {
            count,
            kind,
            racks,
            first_rack: 0,
            drain: pick::<&str>(rng, &["at-once", "at-once", "paced", "none"]),
            start_ms: *pick(rng, &[10, 30, 30, 100]),
        };
        let count = rng.u64(2..13);
        let mut groups = vec![group(&mut rng, "small", count)];
        let count = rng.u64(0..5);
        if count > 0 {
            groups.push(group(&mut rng, "large", count));
        }
        let scale = rng.f64() * 2.0 + 0.3;
        let mut loads = Vec::new();
        for (class, most) in [("fill", 20.0), ("render", 16.0), ("update", 8.0)] {
            if rng.u32(0..8) > 0 {
                loads.push(Load {
                    class,
                    rate: ((rng.f64() * most * scale).max(0.5) * 10.0).round() / 10.0,
                    life_ms: rng.u64(200..4_000),
                    services: rng.u64(1..10),
                });
            }
        }
        let mut plan = RandomScenario {
            seed: rng.u64(1..1 << 40),
            length_ms,
            controllers,
            late_ms: *pick(&mut rng, &[50, 300, 300, 1_000]),
            confirms: pick::<&str>(&mut rng, &["running", "running", "running", "accepted"]),
            preempts: rng.u32(0..4) == 0,
            moves: 0.0,
            groups,
            loads,
            faults: Vec::new(),
            stated: Vec::new(),
        };
        let more = rng.usize(0..11);
        let first = pair(seed);
        let together = rng.u64(300..length_ms.max(1_000) - 500);
        for kind in first {
            let at = together + rng.u64(0..400);
            let fault = plan.fault(&mut rng, kind, at);
            plan.faults.push(fault);
        }
        for _ in 0..more {
            let kind = *pick(&mut rng, FAULT_KINDS);
            // Half of them close to the first two: what overlaps is what breaks.
            let at = if rng.bool() {
                (together + rng.u64(0..1_500)).saturating_sub(500)
            } else {
                rng.u64(200..length_ms)
            };
            let fault = plan.fault(&mut rng, kind, at);
            plan.faults.push(fault);
        }
        plan.faults.sort_by_key(|f| f.at_ms);
        if rng.u32(0..4) == 0 {
            plan.moves = 0.4;
        }
        plan
    }

    /// The day of a seed with jobs at stated times and only faults whose effect does not hang on moments, so that two
    /// ways to play it must come to the same answers.
    pub fn timing_independent(seed: u64) -> RandomScenario {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x7469_6d65);
        let mut plan = RandomScenario::random(seed);
        plan.faults.clear();
        plan.moves = 0.0;
        plan.length_ms = plan.length_ms.min(5_000);
        // Room for all: where it is short, moments decide who gets it.
        plan.groups[0].count = plan.groups[0].count.max(6);
        for load in std::mem::take(&mut plan.loads) {
            let jobs = (load.rate.min(6.0) * plan.length_ms as f64 / 1e3) as u64;
            for _ in 0..jobs {
                let (at, service) = (rng.u64(0..plan.length_ms), rng.u64(0..load.services));
                let (life, controller) = (load.life_ms.min(800), rng.u64(0..plan.controllers));
                plan.stated
                    .push((at, load.class, service, life, controller));
            }
        }
        plan.stated.sort_unstable();
        if rng.bool() {
            let class = Some(*pick(&mut rng, &["fill", "render", "update"]));
            let hits = Hits::Share(1.0);
            let for_ms = plan.length_ms + 30_000;
            plan.faults.push(Fault {
                kind: "class-error",
                at_ms: 0,
                for_ms,
                hits,
                class,
                size: 1.0,
            });
        }
        plan
    }

    fn fault(&self, rng: &mut fastrand::Rng, kind: &'static str, at_ms: u64) -> Fault {
        let nodes: u64 = self.groups.iter().map(|g| g.count).sum();
        let hits = match (kind, rng.u32(0..4)) {
            ("controller-killed", 0) => Hits::Share((rng.f64() * 100.0).round() / 100.0),
            ("controller-killed", _) => Hits::Controller(rng.u64(0..self.controllers)),
            ("rack-cut", _) => Hits::Rack(rng.u64(0..self.groups[0].racks)),
            (_, 0) => Hits::Node(rng.u64(0..nodes)),
            (_, 1) => Hits::Rack(rng.u64(0..self.groups[0].racks)),
            _ => Hits::Share((rng.f64() * 100.0).round() / 100.0),
        };
        let class = kind
            .starts_with("class-")
            .then(|| *pick(rng, &["fill", "render", "update"]));
        let size = match kind {
            "list-stale" | "reports-late" => rng.f64() * 4.0,
            "burst" => 1.5 + rng.f64() * 2.0,
            "ageing" => rng.f64() * 0.3,
            "neighbour" => rng.f64() * 0.7,
            _ => rng.f64(),
        };
        let for_ms = match kind {
            "controller-killed" | "restarts" => rng.u64(50..1_500),
            _ => rng.u64(200..5_000),
        };
        Fault {
            kind,
            at_ms,
            for_ms,
            hits,
            class,
            size: (size * 100.0).round() / 100.0,
        }
    }

    /// The day as a file.
    pub fn to_xml(&self) -> String {
        let mut x = String::new();
        let p = self;
        let _ = writeln!(
            x,
            "<day name=\"hunt\" length=\"{}ms\" after=\"25s\" seed=\"{}\">",
            p.length_ms, p.seed
        );
        let _ = writeln!(
            x,
            "  <fleet controllers=\"{}\" list-late=\"{}ms\" confirms=\"{}\" preempts=\"{}\" owners-move=\"{}\">",
            p.controllers, p.late_ms, p.confirms, p.preempts, p.moves
        );
        for g in &p.groups {
            let _ = writeln!(
                x,
                "    <nodes count=\"{}\" kind=\"{}\" racks=\"{}\" first-rack=\"{}\" drain=\"{}\" start=\"{}ms\"/>",
                g.count, g.kind, g.racks, g.first_rack, g.drain, g.start_ms
            );
        }
        x += "  </fleet>\n";
        for l in &p.loads {
            let _ = writeln!(
                x,
                "  <load class=\"{}\" rate=\"{}\" life=\"{}ms\" services=\"{}\"/>",
                l.class, l.rate, l.life_ms, l.services
            );
        }
        for (at, class, service, life, controller) in &p.stated {
            let _ = writeln!(
                x,
                "  <job at=\"{at}ms\" class=\"{class}\" service=\"s{service}\" life=\"{life}ms\" controller=\"{controller}\"/>"
            );
        }
        for f in &p.faults {
            let hits = match &f.hits {
                Hits::Share(share) => format!("share=\"{share}\""),
                Hits::Node(n) => format!("node=\"n{n}\""),
                Hits::Rack(r) => format!("rack=\"{r}\""),
                Hits::Controller(c) => format!("controller=\"{c}\""),
            };
            let class = f.class.map_or(String::new(), |c| format!(" class=\"{c}\""));
            let _ = writeln!(
                x,
                "  <fault kind=\"{}\" at=\"{}ms\" for=\"{}ms\" {hits}{class} size=\"{}\"/>",
                f.kind, f.at_ms, f.for_ms, f.size
            );
        }
        x + "</day>\n"
    }

    /// The day as it is played.
    ///
    /// # Panics
    /// Never: a plan is made so that it can be read.
    pub fn to_scenario(&self) -> Scenario {
        match Scenario::parse(&self.to_xml(), Path::new(".")) {
            Ok(script) => script,
            Err(error) => unreachable!(
                "a random day that cannot be read: {error}\n{}",
                self.to_xml()
            ),
        }
    }

    /// Pairs of kinds that overlap in time.
    pub fn pairs(&self) -> Vec<(&'static str, &'static str)> {
        let mut pairs = Vec::new();
        for (i, a) in self.faults.iter().enumerate() {
            for b in &self.faults[i + 1..] {
                if a.at_ms <= b.at_ms + b.for_ms && b.at_ms <= a.at_ms + a.for_ms {
                    pairs.push((a.kind.min(b.kind), a.kind.max(b.kind)));
                }
            }
        }
        pairs.sort_unstable();
        pairs.dedup();
        pairs
    }

    /// Smaller days, the greatest steps first.
    fn smaller(&self) -> Vec<RandomScenario> {
        let mut all = Vec::new();
        let mut with = |change: &dyn Fn(&mut RandomScenario)| {
            let mut plan = self.clone();
            change(&mut plan);
            if plan != *self {
                all.push(plan);
            }
        };
        let half = self.faults.len() / 2;
        if half > 0 {
            with(&|p| p.faults.truncate(half));
            with(&|p| drop(p.faults.drain(..half)));
        }
        for i in 0..self.faults.len() {
            with(&|p| {
                p.faults.remove(i);
            });
        }
        for i in 0..self.loads.len() {
            if self.loads.len() > 1 {
                with(&|p| {
                    p.loads.remove(i);
                });
            }
        }
        if self.groups.len() > 1 && !self.faults.iter().any(|f| matches!(f.hits, Hits::Node(_))) {
            with(&|p| p.groups.truncate(p.groups.len() - 1));
        }
        let controller = |f: &Fault| {
            if let Hits::Controller(c) = f.hits {
                c + 1
            } else {
                0
            }
        };
        let least = self.faults.iter().map(controller).max().unwrap_or(0).max(1);
        with(&|p| p.controllers = least.max(p.controllers / 2));
        with(&|p| p.controllers = least.max(p.controllers - 1));
        let node = |f: &Fault| if let Hits::Node(n) = f.hits { n + 1 } else { 0 };
        let least = self.faults.iter().map(node).max().unwrap_or(0).max(1);
        with(&|p| p.groups[0].count = least.max(p.groups[0].count / 2));
        with(&|p| p.groups[0].count = least.max(p.groups[0].count - 1));
        let last = self
            .faults
            .iter()
            .map(|f| f.at_ms + 300)
            .max()
            .unwrap_or(500);
        with(&|p| p.length_ms = last.max(p.length_ms / 2));
        for i in 0..self.loads.len() {
            with(&|p| p.loads[i].rate = (p.loads[i].rate * 5.0).round().max(5.0) / 10.0);
        }
        all
    }
}

fn pick<'a, T>(rng: &mut fastrand::Rng, from: &'a [T]) -> &'a T {
    &from[rng.usize(0..from.len())]
}

/// Rules that a report breaks; 0 stands for asks left open.
pub fn violated_rules(report: &ScenarioReport) -> Vec<u8> {
    let mut rules: Vec<u8> = report.audit.violations.iter().map(|b| b.rule).collect();
    if report.unanswered_requests > 0 {
        rules.push(0);
    }
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// Makes a failing day smaller while it still breaks one of the same rules, within so many plays.
pub fn shrink(plan: &RandomScenario, budget: usize) -> (RandomScenario, ScenarioReport) {
    let mut best = (plan.clone(), simulate(&plan.to_scenario(), plan.seed));
    let wanted = violated_rules(&best.1);
    let mut left = budget;
    'smaller: loop {
        for candidate in best.0.smaller() {
            // Another draw of the same smaller day may do as well: what is drawn shifts with each change.
            for seed in 0..4 {
                if left == 0 {
                    return best;
                }
                left -= 1;
                let mut candidate = candidate.clone();
                candidate.seed = plan.seed + seed;
                let report = simulate(&candidate.to_scenario(), candidate.seed);
                if violated_rules(&report).iter().any(|r| wanted.contains(r)) {
                    best = (candidate, report);
                    continue 'smaller;
                }
            }
        }
        return best;
    }
}

/// Plays the day of a seed.
pub fn run_seed(seed: u64) -> (RandomScenario, ScenarioReport) {
    let plan = RandomScenario::random(seed);
    let report = simulate(&plan.to_scenario(), plan.seed);
    (plan, report)
}

/// What a hunt came to, added up day by day.
#[derive(Clone, Debug, Default)]
pub struct FuzzSummary {
    /// Days played.
    pub days: u64,
    /// Days with a rule broken or an ask left open.
    pub broken: u64,
    /// Days that broke each rule; 0 stands for asks left open.
    pub by_rule: BTreeMap<u8, u64>,
    /// Days on which each hard case did happen.
    pub hazards: BTreeMap<&'static str, u64>,
    /// Days on which each pair of kinds overlapped.
    pub pairs: BTreeMap<(&'static str, &'static str), u64>,
    /// Answers, by class and answer.
    pub answers: BTreeMap<String, u64>,
    /// Submissions turned away, by error.
    pub turned_away: BTreeMap<&'static str, u64>,
    /// Jobs asked for.
    pub jobs: u64,
    /// Offers made.
    pub offers: u64,
    /// Placing delays in microseconds: sums of the days' medians and 99th percentiles, by class, and their count.
    pub delays: BTreeMap<String, (u64, u64, u64)>,
}

impl FuzzSummary {
    /// Adds a day.
    pub fn add(&mut self, plan: &RandomScenario, report: &ScenarioReport) {
        self.days += 1;
        let rules = violated_rules(report);
        self.broken += u64::from(!rules.is_empty());
        for rule in rules {
            *self.by_rule.entry(rule).or_insert(0) += 1;
        }
        for hazard in report.hazards.keys() {
            *self.hazards.entry(hazard).or_insert(0) += 1;
        }
        for pair in plan.pairs() {
            *self.pairs.entry(pair).or_insert(0) += 1;
        }
        for (answer, n) in &report.answers {
            *self.answers.entry(answer.clone()).or_insert(0) += n;
        }
        for (errno, n) in &report.rejections {
            *self.turned_away.entry(errno).or_insert(0) += n;
        }
        for (class, d) in &report.delays {
            let sum = self.delays.entry(class.clone()).or_default();
            *sum = (sum.0 + d.p50, sum.1 + d.p99, sum.2 + 1);
        }
        self.jobs += report.jobs;
        self.offers += report.audit.dispatches;
    }

    /// Adds another sum.
    pub fn merge(&mut self, other: FuzzSummary) {
        self.days += other.days;
        self.broken += other.broken;
        self.jobs += other.jobs;
        self.offers += other.offers;
        let add = |a: &mut u64, n: u64| *a += n;
        other
            .by_rule
            .into_iter()
            .for_each(|(k, n)| add(self.by_rule.entry(k).or_insert(0), n));
        other
            .hazards
            .into_iter()
            .for_each(|(k, n)| add(self.hazards.entry(k).or_insert(0), n));
        other
            .pairs
            .into_iter()
            .for_each(|(k, n)| add(self.pairs.entry(k).or_insert(0), n));
        other
            .answers
            .into_iter()
            .for_each(|(k, n)| add(self.answers.entry(k).or_insert(0), n));
        other
            .turned_away
            .into_iter()
            .for_each(|(k, n)| add(self.turned_away.entry(k).or_insert(0), n));
        for (k, d) in other.delays {
            let sum = self.delays.entry(k).or_default();
            *sum = (sum.0 + d.0, sum.1 + d.1, sum.2 + d.2);
        }
    }

    /// The share of broken days, and the ends of its interval of 95 in 100 after Wilson (1927).
    pub fn share(&self) -> (f64, f64, f64) {
        let (n, z) = (self.days.max(1) as f64, 1.96_f64);
        let p = self.broken as f64 / n;
        let middle = (p + z * z / (2.0 * n)) / (1.0 + z * z / n);
        let half = z / (1.0 + z * z / n) * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        (p, (middle - half).max(0.0), (middle + half).min(1.0))
    }
}
