//! The core's entry point: processes an input, calls the scheduler, executes its actions and returns the outputs.
//!
//! [`Core`] is a state machine with one entry point, [`Core::handle`]. Its handlers are split by the state that they
//! own:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `admission` | acceptance of submissions, and tasks submitted for the first time |
//! | `job_control` | hold, release, suspend, resume and terminate |
//! | `requests`, `request_table` | requests, their states and their single answer |
//! | `attempts` | dispatch, cancellation, timeout and end of attempts |
//! | `scheduler_actions` | execution of the scheduler's actions |
//! | `scheduler_events` | events for the scheduler |
//! | `attempt_updates` | updates from nodes on attempts in flight |
//! | `placed_tasks` | updates from nodes on placed tasks, and the end of these tasks |
//! | `unexpected_updates` | updates from nodes on any other attempt |
//! | `orphans` | copies that may run although no attempt in flight represents them |
//! | `adoption` | adoption of running copies, and the previous ids that their nodes may still use |
//! | `connections` | connections to nodes, and the tasks that nodes report when they connect |
//! | `node_list` | additions to and removals from the node list |

mod admission;
mod adoption;
mod attempt_updates;
mod attempts;
mod connections;
mod counters;
mod input;
mod job_control;
mod limits;
mod node_list;
mod orphans;
mod output;
mod placed_tasks;
mod request_table;
mod requests;
mod scheduler_actions;
mod scheduler_events;
mod unexpected_updates;

pub use counters::Counters;
pub use input::{AttemptUpdate, Control, Input, ReportedTask};
pub use limits::Limits;
pub use output::{Output, Rejection};

use crate::Decide;
use crate::attempt_log::{AttemptId, AttemptLog, JournalEntry, TaskCopy};
use crate::jobs::Jobs;
use crate::nodes::Nodes;
use crate::timers::Timers;
use admission::FirstSubmissions;
use adoption::PreviousIds;
use attempts::AttemptEndCounts;
use orphans::Orphans;
use peppercove::{AttemptOutcome, EndReason, Event, ListUpdateKind, Micros, NodeId, RequestId};
use request_table::RequestTable;
use std::collections::BTreeSet;

/// Maximum number of event batches passed to the scheduler for one input. Each failed dispatch causes another batch,
/// and the number of attempts is limited.
const MAX_BATCHES_PER_INPUT: u32 = 10_000;

/// What to do when a timer fires.
#[derive(Debug)]
enum Timer {
    /// Report a timer of the scheduler, by its label.
    Scheduler(u64),
    /// End an attempt whose timeout has passed.
    AttemptTimeout { request: RequestId, number: u16 },
    /// Answer a request whose deadline has passed.
    Deadline(RequestId),
    /// Give up the tasks of a node that has been disconnected for the unreachable timeout.
    NodeUnreachable(NodeId),
}

/// The state of one controller.
pub struct Core<D> {
    decider: D,
    limits: Limits,
    requests: RequestTable,
    jobs: Jobs,
    nodes: Nodes,
    attempt_log: AttemptLog,
    orphans: Orphans,
    previous_ids: PreviousIds,
    first_submissions: FirstSubmissions,
    timers: Timers<Timer>,
    now: Micros,
    /// Whether the scheduler has been called.
    has_started: bool,
    /// Whether new submissions are rejected.
    is_shutting_down: bool,
    /// Requests whose tasks are being stopped in order to be placed again.
    migrating: BTreeSet<RequestId>,
    /// Events to pass to the scheduler, in order.
    events: Vec<Event>,
    /// Outputs of the current input so far, in order.
    outputs: Vec<Output>,
    counters: Counters,
    attempt_ends: AttemptEndCounts,
}

impl<D: Decide> Core<D> {
    /// Creates a core without any jobs or nodes.
    pub fn new(decider: D, limits: Limits) -> Core<D> {
        let Limits {
            ambiguous_retry_delay,
            outcome_retention,
            max_ambiguous_tasks,
            ..
        } = limits;
        Core {
            decider,
            requests: RequestTable::default(),
            jobs: Jobs::new(limits.max_jobs),
            nodes: Nodes::default(),
            attempt_log: AttemptLog::new(
                ambiguous_retry_delay,
                outcome_retention,
                max_ambiguous_tasks,
            ),
            orphans: Orphans::default(),
            previous_ids: PreviousIds::default(),
            first_submissions: FirstSubmissions::default(),
            timers: Timers::default(),
            now: 0,
            has_started: false,
            is_shutting_down: false,
            migrating: BTreeSet::new(),
            events: Vec::new(),
            outputs: Vec::new(),
            counters: Counters::default(),
            attempt_ends: AttemptEndCounts::default(),
            limits,
        }
    }

    // ---- Queries ----

    /// The number of ended attempts for each outcome and reason.
    pub fn attempt_ends(&self) -> impl Iterator<Item = (AttemptOutcome, EndReason, u64)> + '_ {
        self.attempt_ends.iter()
    }

    /// The jobs that clients submitted.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// The nodes of the node list and their connections.
    pub fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// Counters since the core was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.open_count()
    }

    /// Whether `additional` more jobs of a session are within the limits.
    pub fn has_capacity(&self, session: &str, additional: usize) -> bool {
        self.requests.open_count() + additional <= self.limits.max_open_requests
            && self.jobs.unfinished(session) + additional <= self.limits.max_session_jobs
            && self.jobs.total_unfinished() + additional <= self.limits.max_jobs
    }

    /// Number of tasks that are placed and have not ended.
    pub fn placed_tasks(&self) -> usize {
        self.requests.placed_count()
    }

    /// Number of tasks whose outcome is ambiguous.
    pub fn ambiguous_tasks(&self) -> usize {
        self.attempt_log.ambiguous_count()
    }

    /// The nodes at which a logged copy is open.
    pub fn nodes_with_open_copies(&self) -> Vec<NodeId> {
        self.attempt_log
            .nodes_with_open_copies()
            .into_iter()
            .collect()
    }

    /// The latest time at which [`Core::handle`] is to be called next, with [`Input::Tick`] if nothing else happens.
    pub fn next_wake(&self) -> Option<Micros> {
        [
            self.timers.next_deadline(),
            self.attempt_log.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    // ---- Recovery ----

    /// Restores the journal entries of earlier incarnations. To be called before any input; copies that may still run
    /// count as running.
    pub fn recover(&mut self, now: Micros, entries: &[JournalEntry]) {
        self.now = self.now.max(now);
        self.attempt_log.recover(self.now, entries);
        let open: Vec<_> = self.attempt_log.open_copies().collect();
        for (copy, spec) in open {
            self.track_orphan(copy, spec);
        }
    }

    /// Returns the minimal list of journal entries from which the next incarnation can recover.
    pub fn snapshot(&self) -> Vec<JournalEntry> {
        self.attempt_log.snapshot()
    }

    // ---- Inputs ----

    /// Processes one input and returns what to do, in order.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.fire_timers();
        self.process_due_copies();
        self.process(input);
        self.run_scheduler();
        self.flush_journal();
        std::mem::take(&mut self.outputs)
    }

    /// Passes the pending events, including the scheduler's timers, to the scheduler and executes its actions until no
    /// event is pending. The first input calls the scheduler even without an event, so that it can start.
    fn run_scheduler(&mut self) {
        let mut batches = 0;
        while !self.events.is_empty() || !self.has_started {
            self.has_started = true;
            let events = std::mem::take(&mut self.events);
            let actions = self.decider.decide(self.now, &events);
            for action in actions {
                self.execute(action);
            }
            self.flush_journal();
            batches += 1;
            if batches >= MAX_BATCHES_PER_INPUT {
                break;
            }
        }
    }

    /// Invariant: a journal entry is output before any message that depends on it.
    fn flush_journal(&mut self) {
        let entries = self.attempt_log.take_journal();
        if self.limits.has_journal && !entries.is_empty() {
            self.outputs.push(Output::Journal(entries));
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Scheduler(label) => self.events.push(Event::Timer(label)),
                Timer::AttemptTimeout { request, number } => {
                    self.on_attempt_timeout(request, number)
                }
                Timer::Deadline(request) => self.on_missed_deadline(request),
                Timer::NodeUnreachable(node) => self.on_node_unreachable(node),
            }
        }
    }

    fn process(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::NodeList {
                kind,
                generation,
                entries,
            } => self.on_node_list(kind, generation, &entries),
            Input::NodeListFailed => {
                let version = self.nodes.generation;
                self.report_node_list(ListUpdateKind::Failed, version, Vec::new());
            }
            Input::Submit { ticket, submission } => self.on_submit(ticket, *submission),
            Input::Control {
                ticket,
                job,
                control,
            } => self.on_control(ticket, job, control),
            Input::Dispose(job) => {
                self.jobs.remove(job);
            }
            Input::NodeConnected {
                node,
                incarnation,
                is_complete,
                reported_tasks,
            } => {
                self.on_node_connected(node, incarnation, is_complete, reported_tasks);
            }
            Input::NodeDisconnected(node) => self.on_node_disconnected(node),
            Input::AttemptUpdated {
                node,
                request,
                attempt,
                update,
                load,
            } => {
                self.on_attempt_updated(AttemptId::new(node, request, attempt), update, load);
            }
            Input::Probed {
                node,
                answered,
                load,
            } => self.report_probe(node, answered, load),
            Input::DispatchFailed {
                node,
                request,
                attempt,
            } => {
                self.on_dispatch_failed(AttemptId::new(node, request, attempt));
            }
            Input::PeerMessage { from, message } => self.events.push(Event::Peer { from, message }),
            Input::BeginShutdown => self.is_shutting_down = true,
            Input::ShutdownTimeout => self.on_shutdown_timeout(),
        }
    }

    /// The copy of a task that an attempt of this incarnation runs.
    fn own_copy(&self, attempt: AttemptId) -> TaskCopy {
        TaskCopy {
            incarnation: self.limits.incarnation,
            attempt,
        }
    }
}
