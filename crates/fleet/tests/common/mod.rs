//! Lists, asks, and a stand-in for the decision module that keeps only what it was told.
#![allow(dead_code)]

pub mod site;

use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;
use std::collections::BTreeMap;

pub const SECOND: Micros = 1_000_000;

/// Zones of a test's fleet.
pub const ZONES: u64 = 3;

/// Machine `m`: three zones, racks of eight within them, and every fourth machine of the second kind.
pub fn line(m: u64) -> NodeEntry {
    NodeEntry {
        node: NodeId(m),
        state: NodeStatus::Ready,
        kind: u8::from(m % 4 == 3),
        zone: (m % ZONES) as u8,
        rack: (m / (ZONES * 8)) as u16,
        ..NodeEntry::default()
    }
}

pub fn lines(machines: impl IntoIterator<Item = u64>) -> Vec<NodeEntry> {
    machines.into_iter().map(line).collect()
}

pub fn list(scope: ListUpdateKind, version: u64, lines: Vec<NodeEntry>) -> Event {
    Event::NodeList {
        kind: scope,
        version,
        entries: lines,
    }
}

pub fn settings(schedulers: u32, own_number: u32) -> Settings {
    let kind = NodeKind {
        cores: 16.0,
        memory: 32.0,
    };
    Settings {
        schedulers,
        own_index: own_number,
        node_kinds: vec![kind; 3],
        ..Settings::sample()
    }
}

pub fn ask(request: u64, class: u16, service: u64) -> PlacementRequest {
    PlacementRequest {
        id: RequestId(request),
        task: TaskKey(request),
        service: ServiceId(service),
        class,
        tenant: 0,
        cores: 1.0,
        memory: 2.0,
        deadline_in: 5 * SECOND,
        expected_duration: None,
        is_retry: false,
    }
}

pub fn ended(request: u64, attempt: u16, machine: NodeId, outcome: AttemptOutcome) -> Event {
    let (request, why) = (RequestId(request), EndReason::Unknown);
    Event::AttemptEnded {
        request,
        attempt,
        node: machine,
        outcome,
        reason: why,
        is_final: false,
        load: None,
    }
}

pub fn binds(actions: &[Action]) -> Vec<(u64, NodeId)> {
    let bind = |a: &Action| match a {
        Action::Dispatch {
            request,
            node: machine,
            ..
        } => Some((request.0, *machine)),
        _ => None,
    };
    actions.iter().filter_map(bind).collect()
}

/// Keeps the lines that it is told as the module does, and answers with what a test put into `answer`.
#[derive(Default)]
pub struct Told {
    pub lines: BTreeMap<NodeId, NodeEntry>,
    pub version: u64,
    pub events: Vec<Event>,
    pub answer: Vec<Action>,
}

impl Told {
    /// The module may send there.
    pub fn open(&self, machine: NodeId) -> bool {
        self.lines
            .get(&machine)
            .is_some_and(|line| line.state == NodeStatus::Ready)
    }

    /// Offers that a cold machine may get in a window; `None` is the split among all schedulers.
    pub fn cold_share(&self, machine: NodeId) -> Option<u32> {
        if self.open(machine) {
            self.lines[&machine].slow_start_share
        } else {
            Some(0)
        }
    }
}

impl Decide for Told {
    fn decide(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        for event in events {
            let Event::NodeList {
                kind: scope,
                version,
                entries: lines,
            } = event
            else {
                continue;
            };
            if *scope == ListUpdateKind::Failed
                || *version < self.version && *scope != ListUpdateKind::Cached
            {
                continue;
            }
            self.version = *version;
            if !matches!(
                scope,
                ListUpdateKind::Incremental | ListUpdateKind::SubsetChange
            ) {
                self.lines
                    .values_mut()
                    .for_each(|line| line.state = NodeStatus::Gone);
            }
            self.lines
                .extend(lines.iter().map(|line| (line.node, line.clone())));
        }
        self.events = events.to_vec();
        std::mem::take(&mut self.answer)
    }
}

/// A view of this size around the stand-in.
pub fn told(schedulers: u32, own: u32, size: u64) -> NodeSubset<Told> {
    NodeSubset::with_target_size(Told::default(), &settings(schedulers, own), size)
}

/// A view of this size around the module.
pub fn module(settings: &Settings, size: u64, seed: u64) -> NodeSubset<Scheduler> {
    NodeSubset::with_target_size(Scheduler::new(settings.clone(), seed), settings, size)
}

/// A view around the module that is told things in order, with its timers.
pub struct Driver {
    pub view: NodeSubset<Scheduler>,
    pub now: Micros,
    pub version: u64,
    timers: Vec<(Micros, u64)>,
}

impl Driver {
    pub fn new(settings: &Settings, size: u64, seed: u64) -> Driver {
        Driver {
            view: module(settings, size, seed),
            now: SECOND,
            version: 0,
            timers: Vec::new(),
        }
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let actions = self.view.decide(self.now, &[event]);
        let timer = |a: &Action| {
            if let Action::SetTimer { at, label } = a {
                Some((*at, *label))
            } else {
                None
            }
        };
        self.timers.extend(actions.iter().filter_map(timer));
        actions
    }

    pub fn list(&mut self, scope: ListUpdateKind, lines: Vec<NodeEntry>) -> Vec<Action> {
        self.version += 1;
        self.tell(list(scope, self.version, lines))
    }

    /// Lets time pass up to `until`, or to the first bind; returns what the timers brought.
    pub fn wait(&mut self, until: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        while let Some(next) = self
            .timers
            .iter()
            .copied()
            .filter(|(at, _)| *at <= until)
            .min()
        {
            self.timers.retain(|timer| *timer != next);
            self.now = self.now.max(next.0);
            all.extend(self.tell(Event::Timer(next.1)));
            if !binds(&all).is_empty() {
                return all;
            }
        }
        self.now = until;
        all
    }

    /// Places a task and returns where it goes, if it goes somewhere before `until`.
    pub fn place(&mut self, ask: PlacementRequest, until: Micros) -> Option<NodeId> {
        let mut actions = self.tell(Event::Place(ask));
        if binds(&actions).is_empty() {
            actions = self.wait(until);
        }
        binds(&actions).first().map(|bind| bind.1)
    }
}
