//! Behaviour of one node, without sockets or a clock: the caller passes in messages with their time and sends the
//! messages that are returned.
//!
//! A node decides on one offer at a time, and admits it if the requested resources stay within its overcommit limits.
//! It starts a limited number of tasks at a time and caches programs. Starts take longer when the program is not cached
//! or the node is in slow start. A node crashes when it gets too many offers during slow start. Load reports are
//! delayed.
//!
//! Methods that take the time return the messages that the node sends at that time. The caller must call
//! [`NodeModel::tick`] at the time that [`NodeModel::next_wake`] returns.

mod admission;
mod completed;
mod connections;
mod ends;
mod execution;
mod faults;
mod fleet_state;
mod load;
mod output;
mod program_cache;
mod requests;
mod resources;
mod spec;
mod task;

#[cfg(test)]
mod tests;

pub use faults::{ClassFault, Faults};
pub use fleet_state::{DedupRegistry, FleetState, OverloadCrash, StartLog, TaskStart};
pub use output::Outgoing;
pub use resources::Resources;
pub use spec::{EvictionPolicy, NodeSpec, ShareRange};

use admission::CurrentAdmission;
use completed::CompletedTasks;
use connections::Connection;
use load::LoadHistory;
use output::Pending;
use program_cache::ProgramCache;
use std::collections::{BTreeMap, VecDeque};
use task::{Task, TaskId};

/// Microseconds since the start of the run.
pub type Micros = u64;

/// State of one node.
#[derive(Debug)]
pub struct NodeModel {
    spec: NodeSpec,
    fleet: FleetState,
    rng: fastrand::Rng,
    incarnation: u64,
    /// When the process started; `None`: long before the run.
    started: Option<Micros>,
    faults: Faults,
    /// When the faults last changed.
    faults_since: Micros,
    is_draining: bool,
    /// Earliest time of the next eviction of a draining node.
    next_eviction: Micros,
    /// The node crashed by overload and has not been restarted.
    has_crashed: bool,
    tasks: BTreeMap<TaskId, Task>,
    /// Offers that wait for admission.
    admission_queue: VecDeque<TaskId>,
    current_admission: Option<CurrentAdmission>,
    /// Accepted tasks that wait to be started.
    start_queue: VecDeque<TaskId>,
    program_cache: ProgramCache,
    /// Times of the offers within the overload window.
    recent_offers: VecDeque<Micros>,
    load_history: LoadHistory,
    /// The newest link of each controller, by controller name.
    connections: BTreeMap<String, Connection>,
    completed: CompletedTasks,
    /// Messages that are sent when the node no longer hangs.
    withheld: VecDeque<Pending>,
    outbox: Vec<Pending>,
}

impl NodeModel {
    /// Creates a node that runs at full speed and has no tasks.
    pub fn new(spec: NodeSpec, fleet: FleetState, incarnation: u64, seed: u64) -> NodeModel {
        NodeModel {
            program_cache: ProgramCache::new(spec.program_cache_limit),
            spec,
            fleet,
            rng: fastrand::Rng::with_seed(seed),
            incarnation,
            started: None,
            faults: Faults::default(),
            faults_since: 0,
            is_draining: false,
            next_eviction: 0,
            has_crashed: false,
            tasks: BTreeMap::new(),
            admission_queue: VecDeque::new(),
            current_admission: None,
            start_queue: VecDeque::new(),
            recent_offers: VecDeque::new(),
            load_history: LoadHistory::default(),
            connections: BTreeMap::new(),
            completed: CompletedTasks::default(),
            withheld: VecDeque::new(),
            outbox: Vec::new(),
        }
    }

    /// Fixed properties of the node.
    pub fn spec(&self) -> &NodeSpec {
        &self.spec
    }

    /// Incarnation of the process, which changes with each start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When the process started; `None` if that was long before the run.
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// Whether the node crashed by overload and has not been restarted.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Number of tasks that were admitted and have not ended.
    pub fn active_tasks(&self) -> usize {
        self.tasks.values().filter(|task| task.is_active()).count()
    }

    /// Replaces the active faults.
    pub fn set_faults(&mut self, now: Micros, faults: Faults) -> Vec<Outgoing> {
        self.faults_since = now;
        self.faults = faults;
        if !self.faults.hangs {
            self.release_withheld();
        }
        self.advance(now)
    }

    /// The active faults.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Evicts about this share of the programs that no task uses from the program cache, chosen at random.
    pub fn flush(&mut self, share: f64) {
        let in_use = self.services_in_use();
        self.program_cache.flush(share, &in_use, &mut self.rng);
    }

    /// Ends the process. All its state is lost.
    pub fn die(&mut self, now: Micros) {
        for task in std::mem::take(&mut self.tasks).into_values() {
            self.record_removal(now, &task);
        }
        self.admission_queue.clear();
        self.start_queue.clear();
        self.current_admission = None;
        self.program_cache.clear();
        self.recent_offers.clear();
        self.load_history.clear();
        self.connections.clear();
        self.completed.clear();
        self.withheld.clear();
        self.outbox.clear();
    }

    /// Restarts the process, in slow start.
    pub fn restart(&mut self, now: Micros, incarnation: u64) {
        self.die(now);
        self.incarnation = incarnation;
        self.started = Some(now);
        self.is_draining = false;
        self.has_crashed = false;
    }

    /// Starts to drain the node: it admits no new tasks and evicts its tasks according to its policy.
    pub fn drain(&mut self, now: Micros) -> Vec<Outgoing> {
        self.is_draining = true;
        self.next_eviction = now;
        self.advance(now)
    }

    /// Does everything that is due at this time.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        self.advance(now)
    }

    /// Time at which [`NodeModel::tick`] must be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        if self.has_crashed {
            return None;
        }
        let hangs = self.faults.hangs;
        let task_change = self
            .tasks
            .values()
            .filter_map(|task| task.state.next_change());
        let admission = self.current_admission.as_ref().filter(|_| !hangs);
        let evicts = self.is_draining && self.active_tasks() > 0;
        let evicts = evicts && self.spec.eviction != EvictionPolicy::None;
        let resends = !self.connections.is_empty() && !hangs;
        let resend = self.completed.next_resend().filter(|_| resends);
        let measures = !self.tasks.is_empty();
        task_change
            .chain(resend)
            .chain(admission.map(|admission| admission.decided_at))
            .chain(evicts.then_some(self.next_eviction))
            .chain(measures.then(|| self.load_history.next_measurement()))
            .min()
    }

    /// Does everything that is due, in a fixed order, and returns the messages that the node sends.
    fn advance(&mut self, now: Micros) -> Vec<Outgoing> {
        self.measure_load(now);
        self.resend_ends(now);
        loop {
            let messages = self.outbox.len();
            let has_acted = self.advance_admission(now)
                | self.begin_next_start(now)
                | self.complete_next_due(now)
                | self.evict_next_drained(now);
            if !has_acted && self.outbox.len() == messages {
                break;
            }
        }
        self.take_outgoing()
    }
}
