//! Simulates schedulers, nodes and tasks.

mod fleet;
mod requests;
mod statistics;

use super::fake_node::{CORES, FakeNode, MEMORY};
use super::plan::{Plan, SECOND};
use super::row::Row;
use super::subject::Subject;
use anyhow::{Context, Result};
use peppercove::{
    Action, AttemptOutcome, Event, ListUpdateKind, Micros, NodeEntry, NodeId, PlacementRequest,
    RequestId, Settings,
};
use peppercove_core::Timers;
use statistics::{CallKind, Statistics};
use std::collections::BTreeMap;
use std::time::Instant;

/// Start of simulated time, in microseconds.
const START: Micros = 1_000 * SECOND;
/// Interval between samples of the load of all nodes, in microseconds.
const SAMPLE_INTERVAL: Micros = SECOND;
/// The version of the first full list.
const FIRST_LIST_VERSION: u64 = 1;
/// Seed of the random draws.
const SEED: u64 = 43;

/// A request that is open or whose task runs.
struct Job {
    scheduler: usize,
    request: PlacementRequest,
    requested_at: Micros,
    /// Number of attempts so far.
    attempts: u16,
    /// The node of the attempt in flight, or of the running task.
    node: Option<NodeId>,
    is_running: bool,
}

/// An attempt of a request, by number.
#[derive(Clone, Copy)]
struct Attempt {
    request: RequestId,
    number: u16,
}

/// An event in simulated time.
enum SimulationEvent {
    RequestArrives,
    /// A timer that a scheduler has set.
    Timer {
        scheduler: usize,
        label: u64,
    },
    TaskStarts(Attempt),
    AttemptTimesOut(Attempt),
    TaskEnds(RequestId),
    DeadlinePasses(RequestId),
    NodeIsReplaced,
    NodeLeaves(NodeId),
    LoadIsSampled,
}

/// One simulation run.
pub struct Simulation {
    plan: Plan,
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    timers: Timers<SimulationEvent>,
    list_version: u64,
    /// The last number assigned to a request, a task or a new node.
    last_number: u64,
    subjects: Vec<Subject>,
    nodes: BTreeMap<NodeId, FakeNode>,
    jobs: BTreeMap<RequestId, Job>,
    statistics: Statistics,
}

impl Simulation {
    /// Prepares a run.
    pub fn new(plan: Plan) -> Result<Simulation> {
        let settings = plan.settings();
        let mut rng = fastrand::Rng::with_seed(SEED);
        let nodes = (0..plan.nodes).map(|number| {
            let foreign_cores = rng.f64() * plan.max_foreign_cores;
            let entry = NodeEntry {
                free_cores: Some(CORES - foreign_cores),
                free_memory: Some(MEMORY - 2.0 * foreign_cores),
                ..plan.entry(number)
            };
            (entry.node, FakeNode::new(entry, foreign_cores))
        });
        let nodes = nodes.collect();
        let mut simulation = Simulation {
            subjects: (0..plan.real_schedulers as u32)
                .map(|number| new_subject(&plan, &settings, number))
                .collect(),
            statistics: Statistics::new(plan.real_schedulers)?,
            last_number: plan.nodes as u64 + 1,
            plan,
            settings,
            rng,
            now: START,
            timers: Timers::default(),
            list_version: FIRST_LIST_VERSION,
            nodes,
            jobs: BTreeMap::new(),
        };
        simulation.schedule(START, SimulationEvent::RequestArrives);
        simulation.schedule(START + SAMPLE_INTERVAL, SimulationEvent::LoadIsSampled);
        if plan.replacements_per_second > 0.0 {
            simulation.schedule(START + SECOND, SimulationEvent::NodeIsReplaced);
        }
        Ok(simulation)
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.timers.schedule(at, event);
    }

    fn new_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Whether `at` is after the warm-up, so that it counts towards the results.
    fn is_counted(&self, at: Micros) -> bool {
        at >= START + self.plan.warm_up
    }

    /// Passes an event to a scheduler and executes its actions.
    fn notify(&mut self, scheduler: usize, event: Event) {
        let is_first_list =
            matches!(event, Event::NodeList { .. }) && self.list_version == FIRST_LIST_VERSION;
        let call = if is_first_list {
            Some(CallKind::FirstList)
        } else if !self.is_counted(self.now) {
            None
        } else if matches!(event, Event::Place(_)) {
            Some(CallKind::Place)
        } else {
            Some(CallKind::Other)
        };
        let started = Instant::now();
        let actions = self.subjects[scheduler].decide(self.now, event);
        let elapsed = started.elapsed();
        if let Some(call) = call {
            self.statistics.record_call(call, elapsed);
        }
        for action in actions {
            self.execute(scheduler, action);
        }
    }

    fn execute(&mut self, scheduler: usize, action: Action) {
        match action {
            Action::Dispatch {
                request,
                node,
                timeout,
                // The simulation sends at once.
                send_by: _,
            } => {
                self.dispatch(scheduler, request, node, timeout);
            }
            Action::SetTimer { label, at } => {
                let at = at.max(self.now + 1);
                self.schedule(at, SimulationEvent::Timer { scheduler, label });
            }
            Action::Reject { request, .. } | Action::Fail(request) => self.reject(request),
            Action::CancelAttempt {
                request,
                attempt: number,
            } => {
                self.give_up(Attempt { request, number }, AttemptOutcome::Cancelled);
            }
            Action::Migrate(request) => self.migrate(request),
            Action::WatchNodes | Action::Probe(_) | Action::Broadcast(_) | Action::Log(_) => {}
        }
    }

    fn apply(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrives => {
                let wait = -(1.0 - self.rng.f64()).ln() / self.plan.starts_per_second;
                self.schedule(
                    self.now + (wait * 1e6) as Micros,
                    SimulationEvent::RequestArrives,
                );
                self.request_new_task();
            }
            SimulationEvent::Timer { scheduler, label } => {
                self.notify(scheduler, Event::Timer(label))
            }
            SimulationEvent::TaskStarts(attempt) => self.start_task(attempt),
            SimulationEvent::AttemptTimesOut(attempt) => {
                self.give_up(attempt, AttemptOutcome::TimedOut);
            }
            SimulationEvent::TaskEnds(request) => self.end_task(request, AttemptOutcome::Completed),
            SimulationEvent::DeadlinePasses(request) => self.cancel_overdue(request),
            SimulationEvent::NodeIsReplaced => {
                let wait = 1e6 / self.plan.replacements_per_second;
                self.schedule(self.now + wait as Micros, SimulationEvent::NodeIsReplaced);
                self.drain_random_node();
            }
            SimulationEvent::NodeLeaves(node) => self.replace_node(node),
            SimulationEvent::LoadIsSampled => {
                self.schedule(self.now + SAMPLE_INTERVAL, SimulationEvent::LoadIsSampled);
                self.sample_load();
            }
        }
    }

    /// Runs the simulation and returns the results.
    pub fn run(mut self) -> Result<Row> {
        let entries: Vec<NodeEntry> = self.nodes.values().map(|node| node.entry.clone()).collect();
        for scheduler in 0..self.subjects.len() {
            let entries = entries.clone();
            let (kind, version) = (ListUpdateKind::Full, FIRST_LIST_VERSION);
            self.notify(
                scheduler,
                Event::NodeList {
                    kind,
                    version,
                    entries,
                },
            );
        }
        let first_entries = self.list_entries();
        let end = self.now + self.plan.warm_up + self.plan.duration;
        let (started, cpu_before) = (Instant::now(), thread_cpu_seconds()?);
        while let Some(due) = self.timers.next_deadline().filter(|due| *due <= end) {
            self.now = due;
            if let Some(event) = self.timers.pop_due(due) {
                self.apply(event);
            }
        }
        let cpu_share = (thread_cpu_seconds()? - cpu_before) / started.elapsed().as_secs_f64();
        let later_entries = self.list_entries() - first_entries;
        self.statistics.row(
            &self.plan,
            &self.settings,
            &self.subjects,
            later_entries,
            cpu_share,
        )
    }

    /// Number of list entries that all schedulers have received so far.
    fn list_entries(&self) -> u64 {
        self.subjects
            .iter()
            .map(|subject| subject.scheduler().list_entries())
            .sum()
    }
}

fn new_subject(plan: &Plan, settings: &Settings, number: u32) -> Subject {
    // The real schedulers are distributed evenly over the indexes of all schedulers.
    let index_step = plan.schedulers / (plan.real_schedulers as u32).max(1);
    let settings = Settings {
        own_index: number * index_step,
        own_zone: (number % plan.zones as u32) as u8,
        ..settings.clone()
    };
    Subject::new(&settings, u64::from(number) + 1, plan.subset_size)
}

/// Processor time of this thread so far, in seconds.
fn thread_cpu_seconds() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split_whitespace().next().context(
        "expected the processor time in /proc/thread-self/schedstat, found an empty file",
    )?;
    Ok(nanos.parse::<f64>()? / 1e9)
}
