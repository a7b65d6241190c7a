//! The types that the decision module keeps its state in, and plain helpers. No decision lives here.

use crate::interface::*;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::VecDeque;

/// One offer of a task to a machine.
pub(crate) struct Attempt {
    pub(crate) machine: NodeId,
    pub(crate) rack: u16,
    pub(crate) zone: u8,
    pub(crate) sent_at: Micros,
    pub(crate) warm: bool,
    pub(crate) open: bool,
    pub(crate) starting: bool,
    pub(crate) may_have_run: bool,
    pub(crate) erred: bool,
}

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Held,
    Offered,
    Placed,
    Over,
}

/// A request and its attempts.
pub(crate) struct Task {
    pub(crate) ask: PlacementRequest,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) rests_until: Micros,
    pub(crate) stage: Stage,
    pub(crate) attempts: Vec<Attempt>,
}

impl Task {
    pub(crate) fn new(
        ask: &PlacementRequest,
        arrived: Micros,
        deadline: Micros,
        stage: Stage,
    ) -> Task {
        Task {
            ask: ask.clone(),
            arrived,
            deadline,
            rests_until: 0,
            stage,
            attempts: Vec::new(),
        }
    }
}

/// A part of what a machine is sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Part {
    /// All of it: nothing is answered.
    Silent,
    /// All of it: too many offers wait, or it takes none.
    Line,
    /// One tenant's tasks of one class.
    Asks(u16, u32),
}

impl Part {
    pub(crate) fn of(ask: &PlacementRequest) -> Part {
        Part::Asks(ask.class, ask.tenant)
    }
}

/// How long a part is left alone, and until when.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rest {
    pub(crate) until: Micros,
    pub(crate) wait: Micros,
}

/// One entry of the table.
#[derive(Default)]
pub(crate) struct Machine {
    pub(crate) listed: bool,
    pub(crate) line: NodeEntry,
    pub(crate) cores: f64,
    pub(crate) memory: f64,
    pub(crate) own: [f64; 2],
    pub(crate) history: VecDeque<(Micros, [f64; 2])>,
    pub(crate) others: Option<[f64; 2]>,
    pub(crate) excess: [f64; 2],
    pub(crate) refused: Option<[f64; 2]>,
    pub(crate) refused_until: Micros,
    pub(crate) starting: Table<RequestId, (Micros, f64)>,
    pub(crate) unanswered: Table<RequestId, Micros>,
    pub(crate) heard_at: Micros,
    pub(crate) told_at: Micros,
    pub(crate) rests: Table<Part, Rest>,
    pub(crate) errors: Table<Part, u32>,
    pub(crate) offers: VecDeque<Micros>,
    pub(crate) programs: Table<ServiceId, (u32, Micros)>,
}

impl Machine {
    pub(crate) fn new(machine: NodeId) -> Machine {
        let line = NodeEntry {
            node: machine,
            ..NodeEntry::default()
        };
        Machine {
            line,
            ..Machine::default()
        }
    }

    pub(crate) fn asked(&self, others: [f64; 2]) -> [f64; 2] {
        let others = self.others.unwrap_or(others);
        [self.own[0] + others[0], self.own[1] + others[1]]
    }

    /// Cores and memory in use, where tasks use this share of what they ask for.
    pub(crate) fn expected_use(&self, others: [f64; 2], ratio: [f64; 2]) -> [f64; 2] {
        let asked = self.asked(others);
        let used = |i: usize| (asked[i] * ratio[i] + self.excess[i]).max(0.0);
        [used(0), used(1)]
    }

    /// Adds or takes off a task of this scheduler's own; what was before `keep` ago is forgotten.
    pub(crate) fn add_own(&mut self, now: Micros, ask: &PlacementRequest, sign: f64, keep: Micros) {
        self.history.retain(|(at, _)| at + keep > now);
        self.history.push_back((now, self.own));
        self.own[0] = (self.own[0] + sign * ask.cores).max(0.0);
        self.own[1] = (self.own[1] + sign * ask.memory).max(0.0);
    }

    /// A task just added was there before: it moves from the others' asks to the past of own ones.
    pub(crate) fn was_own_before(&mut self, ask: &PlacementRequest) {
        let asks = [ask.cores, ask.memory];
        for i in 0..2 {
            for (_, own) in &mut self.history {
                own[i] += asks[i];
            }
            if let Some(others) = &mut self.others {
                others[i] = (others[i] - asks[i]).max(0.0);
            }
        }
    }

    pub(crate) fn own_at(&self, then: Micros) -> [f64; 2] {
        self.history
            .iter()
            .find(|(at, _)| *at > then)
            .map_or(self.own, |(_, own)| *own)
    }

    /// One task of the service less; of the programs without a task, the last `keep` stay known.
    pub(crate) fn end_program(&mut self, service: ServiceId, now: Micros, keep: usize) {
        if let Some(program) = self.programs.get_mut(&service) {
            *program = (program.0.saturating_sub(1), now);
        }
        let idle = self.programs.iter().filter(|(_, p)| p.0 == 0);
        let mut idle: Vec<(Micros, ServiceId)> = idle.map(|(s, p)| (p.1, *s)).collect();
        idle.sort();
        for (_, service) in idle.iter().rev().skip(keep) {
            self.programs.remove(service);
        }
        if !self.programs.values().any(|p| p.0 > 0) {
            self.own = [0.0; 2];
        }
    }

    /// The place that it is part of.
    pub(crate) fn place(&self, spread: TopologySpread) -> u64 {
        match spread {
            TopologySpread::Node | TopologySpread::Off => self.line.node.0,
            TopologySpread::Rack => u64::from(self.line.zone) << 16 | u64::from(self.line.rack),
            TopologySpread::Zone => u64::from(self.line.zone),
        }
    }

    pub(crate) fn holds_program(&self, service: ServiceId) -> bool {
        self.programs.contains_key(&service)
    }
}

/// The mean of what others asked for on the machines that were heard, kept as that changes.
#[derive(Clone, Copy, Default)]
pub(crate) struct Mean {
    sum: [f64; 2],
    heard: f64,
}

impl Mean {
    /// From anew: sums that are kept take on what rounding leaves.
    pub(crate) fn of(heard: impl Iterator<Item = [f64; 2]>) -> Mean {
        let mut mean = Mean::default();
        for others in heard {
            mean.change(None, Some(others));
        }
        mean
    }

    pub(crate) fn change(&mut self, before: Option<[f64; 2]>, after: Option<[f64; 2]>) {
        for (sign, others) in [(-1.0, before), (1.0, after)] {
            if let Some(others) = others {
                self.heard += sign;
                self.sum[0] += sign * others[0];
                self.sum[1] += sign * others[1];
            }
        }
    }

    pub(crate) fn get(&self) -> [f64; 2] {
        if self.heard > 0.0 {
            self.sum.map(|sum| (sum / self.heard).max(0.0))
        } else {
            [0.0; 2]
        }
    }
}

/// Tasks of a service by place, and those whose place is not known.
#[derive(Default)]
pub(crate) struct Counts {
    anywhere: u32,
    places: Vec<(u64, u32)>,
}

impl Counts {
    pub(crate) fn of(tasks: impl Iterator<Item = (Option<u64>, u32)>) -> Counts {
        let mut counts = Counts::default();
        for (place, n) in tasks {
            match place {
                None => counts.anywhere += n,
                Some(place) => match counts.places.iter_mut().find(|(p, _)| *p == place) {
                    Some((_, count)) => *count += n,
                    None => counts.places.push((place, n)),
                },
            }
        }
        counts
    }

    pub(crate) fn at(&self, place: u64) -> u32 {
        let there = self.places.iter().find(|(p, _)| *p == place);
        self.anywhere + there.map_or(0, |(_, n)| *n)
    }
}

/// Leaves the first `n` in this order, sorted.
pub(crate) fn first<T>(set: &mut Vec<T>, n: usize, order: impl Fn(&T, &T) -> Ordering) {
    if n < set.len() {
        if n > 0 {
            set.select_nth_unstable_by(n - 1, &order);
        }
        set.truncate(n);
    }
    set.sort_unstable_by(order);
}

/// Keeps those that pass, unless none does.
pub(crate) fn narrow(set: &mut Vec<&Machine>, passes: impl Fn(&Machine) -> bool) {
    if set.iter().any(|m| passes(m)) {
        set.retain(|m| passes(m));
    }
}

/// Homes of a service, to be held against many machines.
pub(crate) struct Homes<'a> {
    sorted: Vec<NodeId>,
    compared: &'a Cell<u64>,
}

impl<'a> Homes<'a> {
    /// Counts what is compared in `compared`.
    pub(crate) fn of(homes: impl Iterator<Item = NodeId>, compared: &'a Cell<u64>) -> Homes<'a> {
        let mut sorted: Vec<NodeId> = homes.collect();
        sorted.sort_unstable();
        Homes { sorted, compared }
    }

    pub(crate) fn hold(&self, machine: NodeId) -> bool {
        let compare = |home: &NodeId| {
            self.compared.set(self.compared.get() + 1);
            home.cmp(&machine)
        };
        self.sorted.binary_search_by(compare).is_ok()
    }
}

/// Where a machine stands among the homes of a service, the highest first: larger ones ahead in proportion.
pub fn preferred_node_rank(service: ServiceId, machine: NodeId, cores: f64) -> f64 {
    unit(scatter(service.0 ^ scatter(machine.0)))
        .max(f64::MIN_POSITIVE)
        .ln()
        / cores.max(1e-9)
}

/// A fixed mixing of an id's bits (the finish of splitmix64), equal at every scheduler.
pub(crate) fn scatter(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The bits of a scattered id as a number from 0 up to 1.
fn unit(x: u64) -> f64 {
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// Takes one task of a service off the count of a machine; what is empty goes.
pub(crate) fn release(
    services: &mut Table<ServiceId, Table<NodeId, u32>>,
    service: ServiceId,
    machine: NodeId,
) {
    if let Some(held) = services.get_mut(&service) {
        if let Some(n) = held.get_mut(&machine) {
            *n = n.saturating_sub(1);
        }
        held.retain(|_, n| *n > 0);
        if held.is_empty() {
            services.remove(&service);
        }
    }
}
