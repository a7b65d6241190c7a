//! The scheduler with simulated nodes, node list and clients.

use crate::error::MeasureError;
use crate::harness::{Harness, Simulation};
use crate::row::{Figure, Sizes};
use crate::workload::answer::{DelayedAnswer, NodeAnswer};
use crate::workload::cluster::Cluster;
use peppercove::{
    Action, AttemptOutcome, EndReason, Event, ListUpdateKind, Micros, NodeEntry, NodeId,
    PlacementRequest, RequestId, Scheduler, ServiceId, TaskReporter,
};
use std::collections::{BTreeMap, VecDeque};

/// Seed of the scheduler.
const SEED: u64 = 1;

/// Events that are delivered to the scheduler.
#[derive(Debug)]
pub enum Delivery {
    /// A timer set by the scheduler.
    Timer(u64),
    /// A node's answer to an attempt.
    Answer(Attempt, NodeAnswer),
}

/// One attempt to place a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    request: RequestId,
    number: u16,
    node: NodeId,
}

/// A request that has not been placed yet.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    service: ServiceId,
    /// Attempts so far.
    attempts: u16,
}

/// Number of events of one kind, and of the actions that the scheduler returned for them.
#[derive(Clone, Copy, Debug, Default)]
struct EventCount {
    events: u64,
    actions: u64,
}

/// A scheduler with its simulated peers.
pub struct ModuleHarness {
    simulation: Simulation<Delivery>,
    scheduler: Scheduler,
    list_version: u64,
    last_request: u64,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Attempts of running tasks, oldest first.
    running: VecDeque<Attempt>,
    counts: BTreeMap<&'static str, EventCount>,
    /// Requests that were not placed.
    rejected: u64,
    /// [`Scheduler::comparisons`] when the counters were last reset.
    comparisons_at_reset: u64,
}

fn node_id(i: u64) -> NodeId {
    NodeId(i + 1)
}

fn node_number(node: NodeId) -> u64 {
    node.0 - 1
}

impl ModuleHarness {
    /// Creates a scheduler without nodes or tasks.
    ///
    /// # Errors
    /// As [`Simulation::new`].
    pub fn new(sizes: &Sizes) -> Result<ModuleHarness, MeasureError> {
        let cluster = Cluster::new(sizes);
        Ok(ModuleHarness {
            scheduler: Scheduler::new(cluster.settings(), SEED),
            simulation: Simulation::new(cluster)?,
            list_version: 0,
            last_request: 1,
            open: BTreeMap::new(),
            running: VecDeque::with_capacity(sizes.running_tasks as usize),
            counts: BTreeMap::new(),
            rejected: 0,
            comparisons_at_reset: 0,
        })
    }

    /// Passes one event to the scheduler and executes its actions.
    fn handle(&mut self, kind: &'static str, event: Event) {
        let now = self.simulation.now;
        let scheduler = &mut self.scheduler;
        let (actions, nanos) = self
            .simulation
            .timings
            .time(|| scheduler.handle(now, std::slice::from_ref(&event)));
        let has_dispatch = actions.iter().any(|a| matches!(a, Action::Dispatch { .. }));
        let timed_kind = if kind == "place" && has_dispatch {
            "bind"
        } else {
            kind
        };
        self.simulation.timings.record(timed_kind, nanos);
        let count = self.counts.entry(kind).or_default();
        count.events += 1;
        count.actions += actions.len() as u64;
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, node, .. } => self.dispatch(request, node),
            Action::SetTimer { label, at } => {
                self.simulation.deliver_at(at, Delivery::Timer(label));
            }
            Action::Reject { request, .. } | Action::Fail(request) => {
                self.open.remove(&request);
                self.rejected += 1;
            }
            // No attempt times out here, no task is migrated, and the remaining actions do not affect the simulation.
            Action::CancelAttempt { .. }
            | Action::Migrate(_)
            | Action::WatchNodes
            | Action::Probe(_)
            | Action::Broadcast(_)
            | Action::Log(_) => {}
        }
    }

    fn dispatch(&mut self, request: RequestId, node: NodeId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let attempt = Attempt {
            request,
            number: open.attempts,
            node,
        };
        open.attempts += 1;
        let DelayedAnswer { delay, answer } = self.simulation.cluster.answer(node, open.service);
        self.simulation
            .deliver_after(delay, Delivery::Answer(attempt, answer));
    }

    /// Notifies the scheduler of tasks that already run.
    pub fn add_running_tasks(&mut self) {
        for n in 0..self.simulation.sizes().running_tasks {
            let node = node_id(self.simulation.cluster.node_of_task(n));
            let request = PlacementRequest {
                id: self.new_request_id(),
                ..self.simulation.cluster.running_task(n)
            };
            self.running.push_back(Attempt {
                request: request.id,
                number: 0,
                node,
            });
            let running = Event::RunningTask {
                request,
                node,
                reported_by: TaskReporter::Node,
            };
            self.handle("standing", running);
        }
    }

    fn new_request_id(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// Changes the list entry of one node.
    fn change_entry(&mut self) {
        let i = self.simulation.cluster.random_node();
        let entries = vec![self.simulation.cluster.entry(i, node_id(i))];
        self.list_version += 1;
        let version = self.list_version;
        self.handle(
            "list_change",
            Event::NodeList {
                kind: ListUpdateKind::Incremental,
                version,
                entries,
            },
        );
    }

    fn start(&mut self) {
        let id = self.new_request_id();
        let only_new_services = self.simulation.only_new_services;
        let task = self.simulation.cluster.next_task(id.0, only_new_services);
        let request = PlacementRequest { id, ..task };
        self.open.insert(
            id,
            OpenRequest {
                service: request.service,
                attempts: 0,
            },
        );
        self.handle("place", Event::Place(request));
        while self.running.len() as u64 > self.simulation.sizes().running_tasks {
            let Some(attempt) = self.running.pop_front() else {
                break;
            };
            self.end_attempt("end", attempt, AttemptOutcome::Completed);
        }
    }

    /// Ends an attempt. A rejected or failed attempt has not run, so its request stays open.
    fn end_attempt(&mut self, kind: &'static str, attempt: Attempt, outcome: AttemptOutcome) {
        let Attempt {
            request,
            number,
            node,
        } = attempt;
        let reason = if outcome == AttemptOutcome::Rejected {
            EndReason::InsufficientCores
        } else {
            EndReason::Unknown
        };
        let is_final = outcome == AttemptOutcome::Completed;
        let load = Some(self.simulation.cluster.load_report(node_number(node)));
        self.handle(
            kind,
            Event::AttemptEnded {
                request,
                attempt: number,
                node,
                outcome,
                reason,
                is_final,
                load,
            },
        );
    }
}

impl Harness for ModuleHarness {
    type Delivery = Delivery;
    type List = Vec<NodeEntry>;

    fn simulation(&mut self) -> &mut Simulation<Delivery> {
        &mut self.simulation
    }

    /// The scheduler is driven by events only; its timers are delivered as events.
    fn next_wake(&self) -> Option<Micros> {
        None
    }

    fn tick(&mut self, _due: Micros) -> Result<(), MeasureError> {
        Ok(())
    }

    fn start_task(&mut self) -> Result<(), MeasureError> {
        self.start();
        Ok(())
    }

    fn change_list(&mut self) -> Result<(), MeasureError> {
        self.change_entry();
        Ok(())
    }

    fn deliver(&mut self, delivery: Delivery) -> Result<(), MeasureError> {
        match delivery {
            Delivery::Timer(label) => self.handle("timer", Event::Timer(label)),
            Delivery::Answer(attempt, NodeAnswer::Running) => {
                let Attempt {
                    request,
                    number,
                    node,
                } = attempt;
                self.open.remove(&request);
                self.running.push_back(attempt);
                self.handle(
                    "placed",
                    Event::Placed {
                        request,
                        attempt: number,
                        node,
                    },
                );
            }
            Delivery::Answer(attempt, NodeAnswer::Rejected) => {
                self.end_attempt("refused", attempt, AttemptOutcome::Rejected);
            }
            Delivery::Answer(attempt, NodeAnswer::Failed) => {
                self.end_attempt("error", attempt, AttemptOutcome::Error);
            }
        }
        Ok(())
    }

    fn full_list(&mut self) -> Result<Vec<NodeEntry>, MeasureError> {
        let cluster = &mut self.simulation.cluster;
        let entries = (0..cluster.sizes.nodes)
            .map(|i| cluster.entry(i, node_id(i)))
            .collect();
        Ok(entries)
    }

    fn receive_full_list(
        &mut self,
        kind: &'static str,
        entries: Vec<NodeEntry>,
    ) -> Result<(), MeasureError> {
        self.list_version += 1;
        let version = self.list_version;
        self.handle(
            kind,
            Event::NodeList {
                kind: ListUpdateKind::Full,
                version,
                entries,
            },
        );
        Ok(())
    }

    /// Returns the actions per event of each kind, the share of requests that were not placed, and the number of nodes
    /// that the scheduler examined or compared with each other per start.
    fn counted(&self) -> Vec<Figure> {
        let actions = |(kind, count): (&&str, &EventCount)| {
            let mean = count.actions as f64 / count.events as f64;
            Figure::counted(&format!("actions_for_{kind}"), "count", mean)
                .with_samples(count.events)
        };
        let mut figures: Vec<Figure> = self.counts.iter().map(actions).collect();
        let requests = self.counts.get("place").map_or(0, |count| count.events);
        let per_request = |figure: u64| figure as f64 / requests.max(1) as f64;
        let comparisons = self.scheduler.comparisons() - self.comparisons_at_reset;
        figures.extend([
            Figure::counted("turned_away", "share", per_request(self.rejected))
                .with_samples(requests),
            Figure::counted("compared_for_start", "count", per_request(comparisons))
                .with_samples(requests),
        ]);
        figures
    }

    fn reset_counts(&mut self) {
        self.counts.clear();
        self.rejected = 0;
        self.comparisons_at_reset = self.scheduler.comparisons();
    }
}
