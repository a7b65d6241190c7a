//! Behaviour of one node, without sockets or clock: messages come in with their time, and messages go out.
//!
//! A node admits one offer at a time, as long as the requested resources stay within multiples of its capacity. It
//! starts a few tasks at a time, keeps some programs in a cache, starts slowly where the program is not cached or the
//! node is warming up, crashes when it is offered too much during slow start, and reports its load late.
//!
//! The methods for messages and time return the messages that leave the node at that moment. The caller calls
//! [`NodeModel::tick`] at the time that [`NodeModel::next_wake`] gives.

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

/// Microseconds since the beginning of the run.
pub type Micros = u64;

/// State of one node.
#[derive(Debug)]
pub struct NodeModel {
    spec: NodeSpec,
    fleet: FleetState,
    rng: fastrand::Rng,
    incarnation: u64,
    /// `None`: long before the run.
    started: Option<Micros>,
    faults: Faults,
    /// When the faults last changed.
    faults_since: Micros,
    is_draining: bool,
    /// Earliest time of the next eviction of a draining node.
    next_eviction: Micros,
    /// Crashed by overload, and down until it is restarted.
    has_crashed: bool,
    tasks: BTreeMap<TaskId, Task>,
    /// Offers that wait for admission.
    admission_queue: VecDeque<TaskId>,
    current_admission: Option<CurrentAdmission>,
    /// Accepted tasks that wait for their start.
    start_queue: VecDeque<TaskId>,
    program_cache: ProgramCache,
    /// Times of the offers within the overload window.
    recent_offers: VecDeque<Micros>,
    load_history: LoadHistory,
    /// The newest link of each controller, by its name.
    connections: BTreeMap<String, Connection>,
    completed: CompletedTasks,
    /// Messages that leave when the node no longer hangs.
    withheld: VecDeque<Pending>,
    outbox: Vec<Pending>,
}

impl NodeModel {
    /// A node at full pace without tasks.
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

    /// Number of the process: another one after each start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When the process started; `None` if that was long before the run.
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// The node was crashed by overload and has not been restarted.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Tasks that were admitted and have not ended.
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

    /// Removes this share of the programs that no task uses from the cache.
    pub fn flush(&mut self, share: f64) {
        let in_use = self.services_in_use();
        self.program_cache.flush(share, &in_use, &mut self.rng);
    }

    /// The process ends, and with it all its state.
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

    /// The process starts again and warms up.
    pub fn restart(&mut self, now: Micros, incarnation: u64) {
        self.die(now);
        self.incarnation = incarnation;
        self.started = Some(now);
        self.is_draining = false;
        self.has_crashed = false;
    }

    /// The node drains from now on: it admits nothing new and evicts its tasks as its policy says.
    pub fn drain(&mut self, now: Micros) -> Vec<Outgoing> {
        self.is_draining = true;
        self.next_eviction = now;
        self.advance(now)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        self.advance(now)
    }

    /// Time of the next [`NodeModel::tick`].
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

    /// Does everything that is due, in a fixed order, and takes the messages that leave the node.
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
