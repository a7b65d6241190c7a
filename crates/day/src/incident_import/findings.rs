//! What is found in a recording: settings, controllers, nodes, jobs, and symptoms of faults.

use super::symptoms::Symptom;
use peppercove::adapter_protocol::Incoming;
use peppercove::{
    AttemptOutcome, Event, ListUpdateKind, Micros, NodeEntry, NodeId, NodeStatus, PlacementRequest,
    RequestId, Settings, TaskKey,
};
use std::collections::{BTreeMap, BTreeSet};

/// Equal changes of a node that controllers learn of within this time are one change, in microseconds.
const CHANGE_MERGE_WINDOW: Micros = 10_000_000;

/// Number of a scheduler instance in the recording.
type Instance = u16;

/// A job, from the first request for its task.
pub(super) struct Job {
    pub(super) at: Micros,
    pub(super) controller: u64,
    pub(super) request: PlacementRequest,
    /// Time from placement to completion, if both were recorded.
    pub(super) run_time: Option<Micros>,
}

/// A placement request for a job.
#[derive(Clone, Copy)]
struct Request {
    /// Index of the job.
    job: usize,
    placed: Option<Micros>,
}

/// A node, from its entries in the node list.
pub(super) struct Node {
    pub(super) kind: u8,
    pub(super) rack: u16,
    /// Start time of its process, from its last entry.
    started_at: Micros,
    status: NodeStatus,
}

/// Kind of change of a node's process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessChange {
    Drains,
    Dies,
    Restarts,
}

/// A change of a node in the node list.
pub(super) struct NodeChange {
    pub(super) at: Micros,
    pub(super) change: ProcessChange,
    pub(super) node: NodeId,
}

/// A symptom at a node, with its time.
#[derive(Clone, Copy)]
pub(super) struct TimedSymptom {
    pub(super) at: Micros,
    pub(super) symptom: Symptom,
}

/// A start or stop of a controller.
pub(super) struct ControllerChange {
    pub(super) at: Micros,
    pub(super) controller: u64,
}

/// Everything that was found. Times are in microseconds since the first batch.
pub(super) struct Findings {
    /// Only scheduler instances whose number is a multiple of this are imported.
    controller_step: u64,
    begin: Option<Micros>,
    pub(super) settings: Option<Settings>,
    pub(super) controllers: BTreeSet<u64>,
    pub(super) nodes: BTreeMap<NodeId, Node>,
    pub(super) jobs: Vec<Job>,
    job_of_task: BTreeMap<TaskKey, usize>,
    requests: BTreeMap<(Instance, RequestId), Request>,
    pub(super) symptoms: BTreeMap<NodeId, Vec<TimedSymptom>>,
    pub(super) node_changes: Vec<NodeChange>,
    pub(super) list_failures: Vec<Micros>,
    pub(super) controller_stops: Vec<ControllerChange>,
    /// Starts after the first one of each controller.
    pub(super) controller_restarts: Vec<ControllerChange>,
}

impl Findings {
    pub(super) fn new(controller_step: u64) -> Findings {
        Findings {
            controller_step,
            begin: None,
            settings: None,
            controllers: BTreeSet::new(),
            nodes: BTreeMap::new(),
            jobs: Vec::new(),
            job_of_task: BTreeMap::new(),
            requests: BTreeMap::new(),
            symptoms: BTreeMap::new(),
            node_changes: Vec::new(),
            list_failures: Vec::new(),
            controller_stops: Vec::new(),
            controller_restarts: Vec::new(),
        }
    }

    pub(super) fn add_batch(&mut self, time: Micros, records: Vec<(Instance, Incoming)>) {
        if records.is_empty() {
            return;
        }
        let begin = *self.begin.get_or_insert(time);
        let at = time.saturating_sub(begin);
        for (instance, incoming) in records {
            let number = u64::from(instance);
            if number.is_multiple_of(self.controller_step) {
                let controller = number / self.controller_step;
                self.add_record(at, instance, controller, incoming);
            }
        }
    }

    fn add_record(&mut self, at: Micros, instance: Instance, controller: u64, incoming: Incoming) {
        match incoming {
            Incoming::Start { settings, .. } => {
                if !self.controllers.insert(controller) {
                    let restart = ControllerChange { at, controller };
                    self.controller_restarts.push(restart);
                }
                self.settings.get_or_insert(*settings);
            }
            Incoming::Stop => self
                .controller_stops
                .push(ControllerChange { at, controller }),
            Incoming::Event(event) => self.add_event(at, instance, controller, event),
        }
    }

    fn add_event(&mut self, at: Micros, instance: Instance, controller: u64, event: Event) {
        match event {
            Event::Place(request) => self.add_request(at, instance, controller, request, None),
            Event::RunningTask { request, .. } => {
                self.add_request(at, instance, controller, request, Some(at));
            }
            Event::Placed { request, node, .. } => {
                if let Some(request) = self.requests.get_mut(&(instance, request)) {
                    request.placed = Some(at);
                }
                self.add_symptom(at, node, Symptom::Responsive);
            }
            Event::AttemptEnded {
                request,
                node,
                outcome,
                ..
            } => self.add_end(at, (instance, request), node, outcome),
            Event::NodeList { kind, entries, .. } => match kind {
                ListUpdateKind::Failed => self.list_failures.push(at),
                ListUpdateKind::Incremental
                | ListUpdateKind::Full
                | ListUpdateKind::Cached
                | ListUpdateKind::SubsetChange => {
                    for entry in entries {
                        self.add_list_entry(at, kind, &entry);
                    }
                }
            },
            Event::TaskUpdated { .. }
            | Event::NodeConnectionsBroken { .. }
            | Event::RequestCancelled(_)
            | Event::Timer(_)
            | Event::Probed { .. }
            | Event::Peer { .. } => {}
        }
    }

    fn add_symptom(&mut self, at: Micros, node: NodeId, symptom: Symptom) {
        let symptoms = self.symptoms.entry(node).or_default();
        symptoms.push(TimedSymptom { at, symptom });
    }

    /// Adds a request. A retry of a known task is not a new job, since the clients of the scenario retry by themselves.
    fn add_request(
        &mut self,
        at: Micros,
        instance: Instance,
        controller: u64,
        request: PlacementRequest,
        placed: Option<Micros>,
    ) {
        let key = (instance, request.id);
        let jobs = &mut self.jobs;
        let job = *self.job_of_task.entry(request.task).or_insert_with(|| {
            jobs.push(Job {
                at,
                controller,
                request,
                run_time: None,
            });
            jobs.len() - 1
        });
        self.requests.insert(key, Request { job, placed });
    }

    fn add_end(
        &mut self,
        at: Micros,
        key: (Instance, RequestId),
        node: NodeId,
        outcome: AttemptOutcome,
    ) {
        let request = self.requests.get(&key).copied();
        let job = request.and_then(|request| self.jobs.get_mut(request.job));
        let class = job.as_ref().map_or(0, |job| job.request.class);
        if outcome == AttemptOutcome::Completed
            && let Some(placed) = request.and_then(|request| request.placed)
            && let Some(job) = job
        {
            job.run_time = Some(at.saturating_sub(placed));
        }
        match outcome {
            AttemptOutcome::TimedOut => self.add_symptom(at, node, Symptom::Unresponsive),
            AttemptOutcome::Error => self.add_symptom(at, node, Symptom::Error { class }),
            AttemptOutcome::Completed | AttemptOutcome::Rejected => {
                self.add_symptom(at, node, Symptom::Responsive);
            }
            AttemptOutcome::Unreachable
            | AttemptOutcome::Lost
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent => {}
        }
    }

    fn add_list_entry(&mut self, at: Micros, kind: ListUpdateKind, entry: &NodeEntry) {
        let is_known = self.nodes.contains_key(&entry.node);
        let node = self.nodes.entry(entry.node).or_insert(Node {
            kind: entry.kind,
            rack: entry.rack,
            started_at: entry.started_at,
            status: entry.state,
        });
        let has_restarted = is_known && node.started_at != entry.started_at;
        let is_unchanged = is_known && !has_restarted && node.status == entry.state;
        node.started_at = entry.started_at;
        node.status = entry.state;
        // A cached list holds old states. A node that appears later is in the scenario from the start, like the others.
        if kind == ListUpdateKind::Cached || is_unchanged {
            return;
        }
        let change = match entry.state {
            NodeStatus::Draining => ProcessChange::Drains,
            NodeStatus::Gone => ProcessChange::Dies,
            NodeStatus::Ready if has_restarted => ProcessChange::Restarts,
            NodeStatus::Ready => return,
        };
        self.add_node_change(at, change, entry.node);
    }

    /// Adds a change. Each controller learns of it at its own time; only the first report is kept.
    fn add_node_change(&mut self, at: Micros, change: ProcessChange, node: NodeId) {
        let is_same = |other: &NodeChange| {
            other.change == change && other.node == node && at - other.at < CHANGE_MERGE_WINDOW
        };
        if !self.node_changes.iter().any(is_same) {
            self.node_changes.push(NodeChange { at, change, node });
        }
    }
}
