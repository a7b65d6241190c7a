//! The decisions of one scheduler: on which node each task is placed, and when an attempt is given
//! up. The types of its interface are in `src/api/`.
//!
//! The scheduling algorithm is based on L-JBA by Zhou, Shroff and Wierman (2020). The scheduler
//! keeps a table of its own with one entry per node, which may be out of date. The score of a node
//! measures its load. For each task one node is sampled from the feasible nodes whose score does
//! not exceed their mean, with probability proportional to its cores. The task is added to the load
//! of the node at once and dispatched without waiting for an answer. `docs/design.md` describes the
//! changes to the algorithm and the reasons for them.
//!
//! Each module makes one kind of decision and owns the state for it. The modules are listed in the
//! order in which a task passes through them:
//!
//! | module | decides |
//! | --- | --- |
//! | [`node_list`] | which nodes are known, and when the list is polled again |
//! | [`admission`] | whether a request is accepted |
//! | [`queue`] | when queued requests are retried, and in which order |
//! | [`placement`] | the steps of a placement: filter, prefer, score, sample, dispatch |
//! | [`filters`] | which nodes are feasible for a task |
//! | [`topology`] | how many tasks of a service each topology domain holds |
//! | [`slow_start`] | how many attempts a node gets during slow start |
//! | [`preferences`] | which of the feasible nodes are preferred |
//! | [`preferred_nodes`] | which nodes all schedulers prefer for a service |
//! | [`scoring`] | how loaded a node is |
//! | [`sampling`] | which of the candidate nodes is selected |
//! | [`dispatch`] | which state changes when an attempt is sent |
//! | [`timeouts`] | when an attempt times out |
//! | [`start_estimate`] | how long a start on a node is expected to take |
//! | [`load_estimate`] | how much of each node is requested and used |
//! | [`usage_estimate`] | how much of their requested resources tasks use |
//! | [`program_cache`] | which programs a node has |
//! | [`task_reports`] | how placements and updates on tasks are handled |
//! | [`attempt_end`] | how the end of an attempt is handled |
//! | [`rejections`] | what a rejection says about the load of the node |
//! | [`errors`] | whether the node or the task caused an error |
//! | [`headroom`] | how much capacity a class leaves to higher priorities |
//! | [`backoff`] | how long a node is excluded from which tasks |
//! | [`broken_connections`] | whether the process at the address of a node may be another one |
//! | [`health`] | when a node counts as unresponsive, and which nodes are probed |
//! | [`retries`] | whether a request may have another attempt, and its final answer |
//! | [`wake_timer`] | when the scheduler needs to be called again |
//!
//! Shared state and helpers:
//!
//! | module | contains |
//! | --- | --- |
//! | [`node`] | the state kept for one node |
//! | [`request`] | a request and its attempts |
//! | [`hash`] | hash functions that give the same results at every scheduler |

mod admission;
mod attempt_end;
mod backoff;
mod broken_connections;
mod dispatch;
mod errors;
mod filters;
mod hash;
mod headroom;
mod health;
mod load_estimate;
mod node;
mod node_list;
mod placement;
mod preferences;
mod preferred_nodes;
mod program_cache;
mod queue;
mod rejections;
mod request;
mod retries;
mod sampling;
mod scoring;
mod slow_start;
mod start_estimate;
mod task_reports;
mod timeouts;
mod topology;
mod usage_estimate;
mod wake_timer;

pub use preferred_nodes::preferred_node_rank;

use crate::api::{Action, Event, Micros, NodeId, RequestId, Settings, TaskClass};
use attempt_end::AttemptEnd;
use broken_connections::BrokenConnections;
use headroom::Headroom;
use load_estimate::MeanLoad;
use node::Node;
use node_list::ListWatch;
use preferred_nodes::PreferredNodeCounts;
use queue::PlacementQueue;
use request::TrackedRequest;
use start_estimate::StartTimes;
use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};
use topology::ServicePlacements;
use usage_estimate::UsageRatio;

/// Later times are clamped to this one, so that adding a few durations to a time cannot overflow.
const MAX_TIME: Micros = Micros::MAX / 4;

/// A scheduler: a state machine that turns events into actions.
///
/// It performs no I/O and reads no clock. The same settings, seed and events always give the same
/// actions.
pub struct Scheduler {
    settings: Settings,
    rng: fastrand::Rng,
    /// Time of the latest batch of events.
    now: Micros,
    /// Time of the first batch of events.
    started_at: Option<Micros>,
    /// Ordered by address, so that iteration is deterministic.
    nodes: BTreeMap<NodeId, Node>,
    broken_connections: BrokenConnections,
    list_watch: ListWatch,
    requests: BTreeMap<RequestId, TrackedRequest>,
    queue: PlacementQueue,
    /// Mean foreign load over the nodes whose foreign load is known.
    mean_foreign_load: MeanLoad,
    services: ServicePlacements,
    /// All nodes with unanswered attempts. It may also contain nodes that have answered since.
    awaited_nodes: BTreeSet<NodeId>,
    usage_ratio: UsageRatio,
    start_times: StartTimes,
    preferred_counts: PreferredNodeCounts,
    headroom: Headroom,
    /// Time of the pending timer; [`Micros::MAX`] if there is none.
    wake_at: Micros,
    /// Number of nodes examined or compared by placements.
    comparisons: Cell<u64>,
    /// Actions of the current batch, in order.
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler that has no state besides its settings.
    pub fn new(settings: Settings, seed: u64) -> Scheduler {
        Scheduler {
            broken_connections: BrokenConnections::new(&settings),
            usage_ratio: UsageRatio::new(&settings),
            start_times: StartTimes::new(&settings.classes),
            preferred_counts: PreferredNodeCounts::new(settings.classes.len()),
            headroom: Headroom::new(settings.classes.len()),
            rng: fastrand::Rng::with_seed(seed),
            settings,
            now: 0,
            started_at: None,
            nodes: BTreeMap::new(),
            list_watch: ListWatch::default(),
            requests: BTreeMap::new(),
            queue: PlacementQueue::default(),
            mean_foreign_load: MeanLoad::default(),
            services: ServicePlacements::default(),
            awaited_nodes: BTreeSet::new(),
            wake_at: Micros::MAX,
            comparisons: Cell::new(0),
            actions: Vec::new(),
        }
    }

    /// Processes the events that happened up to `now` and returns the resulting actions, in order.
    ///
    /// If `now` is earlier than in a previous call, the time of the previous call is used.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now.min(MAX_TIME));
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            self.list_watch.start(&self.settings, self.now);
        }
        for event in events {
            self.on_event(event);
        }
        self.poll_node_list();
        self.check_responsiveness();
        self.process_queue();
        self.set_wake_timer();
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of nodes that placements have examined or compared so far. Tests use it
    /// to measure the cost of a placement.
    pub fn comparisons(&self) -> u64 {
        self.comparisons.get()
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::NodeList {
                kind,
                version,
                entries,
            } => {
                self.on_node_list(*kind, *version, entries);
            }
            Event::Place(request) => self.on_place(request),
            Event::RunningTask {
                request,
                node,
                reported_by,
            } => self.on_running_task(request, *node, *reported_by),
            Event::Placed {
                request,
                attempt,
                node,
            } => self.on_placed(*request, *attempt, *node),
            Event::TaskUpdated {
                request,
                attempt,
                node,
                update,
            } => {
                self.on_task_updated(*request, *attempt, *node, *update);
            }
            Event::AttemptEnded {
                request,
                attempt,
                node,
                outcome,
                reason,
                is_final,
                load,
            } => {
                self.on_attempt_ended(&AttemptEnd {
                    request: *request,
                    attempt: *attempt,
                    node: *node,
                    outcome: *outcome,
                    reason: *reason,
                    is_final: *is_final,
                });
                if let Some(load) = load {
                    self.on_load_report(*node, load);
                }
            }
            Event::NodeConnectionsBroken { node } => {
                self.broken_connections.record(*node, self.now);
            }
            Event::RequestCancelled(request) => self.complete(*request),
            Event::Timer(_) => self.on_wake_timer(),
            Event::Probed {
                node,
                answered,
                load,
            } => {
                if *answered {
                    self.on_contact(*node);
                }
                if let Some(load) = load {
                    self.on_load_report(*node, load);
                }
            }
            Event::Peer { .. } => {}
        }
    }

    fn class(&self, index: u16) -> &TaskClass {
        &self.settings.classes[usize::from(index)]
    }

    /// Returns the shortest latency objective of all classes, from which other time limits are
    /// derived.
    fn shortest_objective(&self) -> Micros {
        let objectives = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective);
        objectives.min().unwrap_or(self.settings.poll_interval)
    }
}
