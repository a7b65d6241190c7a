//! The decisions of one scheduler: which node each task is dispatched to, and when an attempt is
//! given up. Its interface is `src/api/`.
//!
//! The ordinary way of a task is L-JBA of Zhou, Shroff and Wierman (2020). Each node has one entry
//! in a table of this scheduler's own, which may be out of date. A task is sampled among the
//! feasible nodes whose score is at or below their mean, with probability by cores; it is added to
//! the node's load at once and dispatched without waiting. `docs/design.md` says what was changed,
//! and why.
//!
//! One module for each decision, with the state that it owns, in the order in which a task meets
//! them:
//!
//! | module | decides |
//! | --- | --- |
//! | [`node_list`] | which nodes are known, and when the list is polled again |
//! | [`admission`] | whether a request can be served at all |
//! | [`queue`] | when queued requests are tried again, and in which order |
//! | [`placement`] | the steps of a placement: filter, prefer, score, sample, dispatch |
//! | [`filters`] | which nodes are feasible for a task |
//! | [`topology`] | how many tasks of a service each topology domain holds |
//! | [`slow_start`] | how many attempts a node gets while it warms up |
//! | [`preferences`] | which of the feasible nodes are preferred |
//! | [`preferred_nodes`] | which nodes all schedulers prefer for a service |
//! | [`scoring`] | how loaded a node is |
//! | [`sampling`] | which node is taken |
//! | [`dispatch`] | what an attempt changes at once |
//! | [`timeouts`] | how long an attempt is waited for |
//! | [`start_estimate`] | how long a start on a node will take |
//! | [`load_estimate`] | how much of each node is requested and used |
//! | [`usage_estimate`] | how much of what tasks request they use |
//! | [`program_cache`] | which programs a node has |
//! | [`task_reports`] | what placements and reports of tasks change |
//! | [`attempt_end`] | what the end of an attempt changes |
//! | [`rejections`] | what a node that rejected a task is taken to lack |
//! | [`errors`] | whether the node or the task is at fault |
//! | [`headroom`] | how much capacity a class leaves to higher priorities |
//! | [`backoff`] | how long a part of the work is kept away from a node |
//! | [`health`] | when a node counts as unresponsive, and which are probed |
//! | [`retries`] | whether a request may have another attempt, and its final answer |
//! | [`wake_timer`] | when the scheduler wants to be called again |
//!
//! State that several of them share, and helpers:
//!
//! | module | holds |
//! | --- | --- |
//! | [`node`] | what is known of one node |
//! | [`request`] | a request and its attempts |
//! | [`hash`] | hashes of identifiers that are the same at every scheduler |

mod admission;
mod attempt_end;
mod backoff;
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

/// Later times are taken for this one, so that sums of a time and a few durations cannot overflow.
const LATEST_TIME: Micros = Micros::MAX / 4;

/// One scheduler: a state machine from events to actions.
///
/// It does no input or output and reads no clock. The same settings, seed and events give the same
/// actions.
pub struct Scheduler {
    settings: Settings,
    rng: fastrand::Rng,
    /// Time of the latest batch of events.
    now: Micros,
    /// Time of the first batch of events.
    started_at: Option<Micros>,
    /// Iteration goes by address, so that its order is the same at every run.
    nodes: BTreeMap<NodeId, Node>,
    list_watch: ListWatch,
    requests: BTreeMap<RequestId, TrackedRequest>,
    queue: PlacementQueue,
    /// Mean of the foreign load of the nodes whose foreign load is known.
    mean_foreign_load: MeanLoad,
    services: ServicePlacements,
    /// Nodes that owe an answer to an attempt, and some that have answered since.
    awaited_nodes: BTreeSet<NodeId>,
    usage_ratio: UsageRatio,
    start_times: StartTimes,
    preferred_counts: PreferredNodeCounts,
    headroom: Headroom,
    /// Time of the timer that is set; [`Micros::MAX`] if none is.
    wake_at: Micros,
    comparisons: Cell<u64>,
    /// Actions decided since the batch began, in order.
    actions: Vec<Action>,
}

impl Scheduler {
    /// A scheduler that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Scheduler {
        Scheduler {
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

    /// Takes in what happened up to `now` and returns what to do about it, in order.
    ///
    /// A `now` before that of an earlier call counts as that of the earlier call.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now.min(LATEST_TIME));
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

    /// Nodes that placements have looked at or compared so far: for tests of what a placement
    /// costs.
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
            Event::RunningTask { request, node } => self.on_running_task(request, *node),
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

    /// The shortest latency objective of any class: the time in which things have to happen.
    fn shortest_objective(&self) -> Micros {
        let objectives = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective);
        objectives.min().unwrap_or(self.settings.poll_interval)
    }
}
