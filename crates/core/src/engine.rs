//! The core: inputs in, the decision module asked, its actions carried out, outputs out.

use crate::Decide;
use crate::alarms::Timers;
use crate::attempt_log::{
    AttemptId, Completion, Evidence, JournalEntry, Of, Stray, TaskCopy, Verdict,
};
use crate::jobs::{Answer, JobId, JobState, Jobs, Submission, TaskEnd};
use crate::nodes::{ConnectionState, ListedNode, Nodes};
use crate::request_state::{After, Ask, Attempt, RequestState};
use peppercove::{
    Action, AttemptOutcome, EndReason, Event, Idempotency, ListUpdateKind, LoadReport, Micros,
    NodeId, NodeStatus, PlacementAck, PlacementRequest, RequestId, TaskClass, TaskKey, TaskUpdate,
    TopologySpread,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// What bounds a core, all from the settings.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Another number after each start of the controller.
    pub life: u64,
    /// The classes, as the decision module has them.
    pub classes: Vec<TaskClass>,
    /// What confirms a placing.
    pub confirms: PlacementAck,
    /// Attempts allowed for one ask.
    pub max_attempts: u32,
    /// Asks that may be open at once.
    pub most_open: usize,
    /// Jobs kept, finished ones included.
    pub most_jobs: usize,
    /// Jobs of one session that may be unfinished at once.
    pub most_session_jobs: usize,
    /// The module answers this long before its owner gives up, so that the answer still travels.
    pub answer_reserve: Micros,
    /// Advice to a client that met a bound.
    pub retry_after: Micros,
    /// How long owners wait before they ask again for a task whose fate is not known.
    pub settle: Micros,
    /// How long a fate is remembered.
    pub fate_memory: Micros,
    /// Copies of tasks that nobody waits for and whose fate may be open at once.
    pub most_fates: usize,
    /// What is sent is written down, and the next life is told of it.
    pub journal: bool,
    /// A task on a node that cannot be reached counts as lost after this.
    pub lost_after: Micros,
}

/// A task that a node says it holds of this controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Life of the controller that placed it.
    pub life: u64,
    /// The ask in that life.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u16,
    /// The task, as far as the node knows it.
    pub submission: Submission,
    /// It ended while nobody could be told.
    pub ended: Option<TaskEnd>,
    /// Why, where its node gave it up.
    pub why: EndReason,
}

/// What a node says of one attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeNews {
    /// It is accepted.
    Accepted,
    /// It runs.
    Running,
    /// Refused, or handed back before it ran.
    Refused(EndReason),
    /// The node answers with an error.
    Error,
    /// The task ended.
    Ended(TaskEnd, EndReason),
    /// News of the running task.
    Note(TaskUpdate),
}

/// What the owner of a job may do to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Stop its clock.
    Suspend,
    /// Let it go on.
    Resume,
    /// Make no ask for it.
    Hold,
    /// Ask for it.
    Release,
    /// End it.
    Terminate,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// News of the node list.
    #[serde(rename = "List")]
    NodeList {
        /// How it relates to the list held.
        scope: ListUpdateKind,
        /// Its version.
        generation: u64,
        /// The lines.
        lines: Vec<ListedNode>,
    },
    /// A call to the list failed or the subscription broke.
    #[serde(rename = "ListFailed")]
    NodeListFailed,
    /// A job is submitted.
    Submit {
        /// Comes back with the answer.
        ticket: u64,
        /// The job.
        submission: Box<Submission>,
    },
    /// The owner acts on a job.
    Control {
        /// Comes back with the answer.
        ticket: u64,
        /// The job.
        job: JobId,
        /// What to do.
        control: Control,
    },
    /// A finished job's client has taken note of it.
    Dispose(JobId),
    /// The link to a node stands, and the node has told what it holds.
    #[serde(rename = "LinkUp")]
    NodeConnected {
        /// The node.
        node: NodeId,
        /// Its life.
        life: u64,
        /// It has forgotten nothing that it held of this controller.
        whole: bool,
        /// What it holds.
        standing: Vec<Standing>,
    },
    /// The link to a node broke.
    #[serde(rename = "LinkDown")]
    NodeDisconnected(NodeId),
    /// A node speaks of an attempt.
    News {
        /// The node.
        node: NodeId,
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// What it says.
        news: NodeNews,
        /// A load report that came along.
        load: Option<LoadReport>,
    },
    /// A probe came back, or did not.
    Probed {
        /// The node.
        node: NodeId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: Option<LoadReport>,
    },
    /// An offer could not be written: it never left.
    #[serde(rename = "Unsent")]
    DispatchFailed {
        /// The node.
        node: NodeId,
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// A message of another controller.
    #[serde(rename = "Peer")]
    PeerMessage {
        /// Its number.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// Take nothing new.
    #[serde(rename = "Stop")]
    BeginShutdown,
    /// The grace of the stop is over: answer all that is open.
    #[serde(rename = "Abandon")]
    ShutdownTimeout,
}

/// Why a submission or a control was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A bound is met; come again after this long.
    LimitReached(Micros),
    /// The controller stops; come again after this long, or ask another.
    ShuttingDown(Micros),
    /// An earlier attempt of the task may run; come again after this long.
    OutcomeAmbiguous(Micros),
    /// The task ran, or may have: it will not be started again.
    AlreadyRan,
    /// The task was asked for before, and what became of it is not known here: without a journal, not by this life.
    OutcomeUnknown,
    /// Another controller was asked for the task before and may have started it: that one can tell.
    RequestedElsewhere,
    /// The task is another job's, which is not finished.
    TaskInUse(JobId),
    /// There is no such job.
    NoSuchJob,
    /// The job's state does not allow it.
    InvalidState(JobState),
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The job is taken in.
    Accepted {
        /// Of the submission.
        ticket: u64,
        /// The job.
        job: JobId,
    },
    /// The control is carried out or on its way.
    ControlAccepted {
        /// Of the control.
        ticket: u64,
    },
    /// The submission or control is turned away.
    Rejected {
        /// Of the call.
        ticket: u64,
        /// Why.
        reason: Rejection,
    },
    /// The one final answer to the job's ask.
    Answered {
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// The job is done or failed.
    Finished(JobId),
    /// Keep a link to this node.
    Connect {
        /// The node.
        node: NodeId,
        /// Where it listens.
        address: SocketAddrV4,
        /// The name it must answer to.
        name: String,
    },
    /// Keep it no longer.
    Disconnect(NodeId),
    /// Offer a task.
    Dispatch {
        /// The node.
        node: NodeId,
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// How long it is waited for.
        expires_in: Micros,
        /// The job whose task it is.
        job: JobId,
    },
    /// Wait for an attempt no longer.
    CancelAttempt {
        /// The node.
        node: NodeId,
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Act on a task that runs.
    ControlTask {
        /// The node.
        node: NodeId,
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// What to do: suspend, resume or terminate.
        control: Control,
    },
    /// Call a standing task by a number of this life.
    Adopt {
        /// The node.
        node: NodeId,
        /// Life of the controller that placed it.
        life: u64,
        /// The ask in that life.
        was: RequestId,
        /// The attempt in that life.
        attempt: u16,
        /// The ask in this life; its attempt is 0.
        request: RequestId,
    },
    /// Stop a standing task of an earlier life that nobody knows, or take note of its end.
    DiscardOrphan {
        /// The node.
        node: NodeId,
        /// Life of the controller that placed it.
        life: u64,
        /// The ask in that life.
        was: RequestId,
        /// The attempt in that life.
        attempt: u16,
    },
    /// Write these down before anything that follows is sent.
    Journal(Vec<JournalEntry>),
    /// Subscribe to the node list.
    Watch,
    /// Ask a node for its load.
    Probe(NodeId),
    /// Tell all other controllers something.
    Broadcast(Vec<u8>),
    /// A line for the people on call.
    Log(String),
}

/// What happened so far, in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Jobs taken in.
    pub submitted: u64,
    /// Submissions turned away at the door.
    #[serde(rename = "turned_away")]
    pub submissions_rejected: u64,
    /// Asks placed.
    pub placed: u64,
    /// Asks refused.
    #[serde(rename = "refused")]
    pub requests_rejected: u64,
    /// Asks failed.
    pub failed: u64,
    /// Asks ended by their owner before they were placed.
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Offers made.
    #[serde(rename = "offers")]
    pub dispatched: u64,
    /// Offers that found no link.
    pub unreachable: u64,
    /// Attempts that nobody answered in time.
    pub timed_out: u64,
    /// Tasks taken over from an earlier life or a doubtful attempt.
    pub adopted: u64,
    /// Copies stopped that nobody waited for.
    #[serde(rename = "strays")]
    pub orphans_stopped: u64,
    /// What nodes said of attempts that they were never sent, or that were over.
    #[serde(rename = "out_of_place")]
    pub unexpected_messages: u64,
    /// Asks that the module left without an answer at their deadline: always a fault.
    #[serde(rename = "overdue")]
    pub missed_deadlines: u64,
    /// Actions of the module that could not be carried out.
    #[serde(rename = "void_actions")]
    pub ignored_actions: u64,
    /// Refusals that could not be promised and went out as failures: always a fault.
    #[serde(rename = "broken_promises")]
    pub unsafe_rejections: u64,
    /// Steps of a life that did not follow: always a fault.
    #[serde(rename = "illegal_steps")]
    pub invalid_transitions: u64,
}

impl Counters {
    /// The sum of two, figure by figure.
    pub fn plus(&self, other: &Counters) -> Counters {
        Counters {
            submitted: self.submitted + other.submitted,
            submissions_rejected: self.submissions_rejected + other.submissions_rejected,
            placed: self.placed + other.placed,
            requests_rejected: self.requests_rejected + other.requests_rejected,
            failed: self.failed + other.failed,
            cancelled: self.cancelled + other.cancelled,
            dispatched: self.dispatched + other.dispatched,
            unreachable: self.unreachable + other.unreachable,
            timed_out: self.timed_out + other.timed_out,
            adopted: self.adopted + other.adopted,
            orphans_stopped: self.orphans_stopped + other.orphans_stopped,
            unexpected_messages: self.unexpected_messages + other.unexpected_messages,
            missed_deadlines: self.missed_deadlines + other.missed_deadlines,
            ignored_actions: self.ignored_actions + other.ignored_actions,
            unsafe_rejections: self.unsafe_rejections + other.unsafe_rejections,
            invalid_transitions: self.invalid_transitions + other.invalid_transitions,
        }
    }
}

#[derive(Debug)]
enum Alarm {
    Module(u64),
    Attempt(RequestId, u16),
    Deadline(RequestId),
    Lost(NodeId),
}

/// One controller, without its sockets.
pub struct Core<D> {
    decider: D,
    limits: Limits,
    asks: BTreeMap<RequestId, Ask>,
    open: usize,
    jobs: Jobs,
    nodes: Nodes,
    evidence: Evidence,
    /// Copies that may run and that the module counts as standing, by the ask that it was told of.
    ghosts: BTreeMap<TaskCopy, RequestId>,
    /// Copies that were adopted, by the number that their nodes know until they have heard of the new one.
    former: BTreeMap<TaskCopy, AttemptId>,
    /// Tasks that this life saw asked for the first time; the oldest are forgotten.
    first_seen: (BTreeSet<TaskKey>, VecDeque<TaskKey>),
    alarms: Timers<Alarm>,
    next_request: u64,
    now: Micros,
    born: Option<Micros>,
    begun: bool,
    stopping: bool,
    moving: BTreeMap<RequestId, ()>,
    events: Vec<Event>,
    out: Vec<Output>,
    counters: Counters,
    attempt_ends: BTreeMap<(u8, u8), (AttemptOutcome, EndReason, u64)>,
}

/// Rounds of events and actions that one input may cause; each failed bind is one, and attempts are bounded.
const MOST_ROUNDS: u32 = 10_000;

impl<D: Decide> Core<D> {
    /// A core that knows nothing yet.
    pub fn new(decider: D, limits: Limits) -> Core<D> {
        Core {
            decider,
            jobs: Jobs::new(limits.most_jobs),
            evidence: Evidence::new(limits.settle, limits.fate_memory, limits.most_fates),
            ghosts: BTreeMap::new(),
            former: BTreeMap::new(),
            first_seen: Default::default(),
            limits,
            asks: BTreeMap::new(),
            open: 0,
            nodes: Nodes::default(),
            alarms: Timers::default(),
            next_request: 0,
            now: 0,
            born: None,
            begun: false,
            stopping: false,
            moving: BTreeMap::new(),
            events: Vec::new(),
            out: Vec::new(),
            counters: Counters::default(),
            attempt_ends: BTreeMap::new(),
        }
    }

    /// Attempts that ended, by how and why.
    pub fn attempt_ends(&self) -> impl Iterator<Item = (AttemptOutcome, EndReason, u64)> + '_ {
        self.attempt_ends.values().copied()
    }

    /// The jobs.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// The nodes.
    pub fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// What happened so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Asks without a final answer.
    pub fn open_requests(&self) -> usize {
        self.open
    }

    /// So many more jobs of a session stay within the bounds.
    pub fn has_capacity(&self, session: &str, more: usize) -> bool {
        self.open + more <= self.limits.most_open
            && self.jobs.unfinished(session) + more <= self.limits.most_session_jobs
            && self.jobs.all_unfinished() + more <= self.limits.most_jobs
    }

    /// Tasks that are placed and have not ended.
    pub fn placed_tasks(&self) -> usize {
        self.asks
            .values()
            .filter(|a| matches!(a.life, RequestState::Placed(_)))
            .count()
    }

    /// Tasks whose fate is in doubt.
    pub fn ambiguous_tasks(&self) -> usize {
        self.evidence.doubtful()
    }

    /// Nodes that hold, or may hold, a copy of a task that is followed.
    pub fn nodes_with_open_copies(&self) -> Vec<NodeId> {
        self.evidence.nodes().into_iter().collect()
    }

    /// When it wants to be called at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        [self.alarms.next_deadline(), self.evidence.next()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes one input in and answers with what to do, in order.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.born.get_or_insert(self.now);
        self.ring();
        self.take_in(input);
        // As on the bench's wire, the module is asked where something happened to it, its own timers included. Its
        // first call is its start.
        let mut rounds = 0;
        while !self.events.is_empty() || !self.begun {
            self.begun = true;
            let events = std::mem::take(&mut self.events);
            let actions = self.decider.decide(self.now, &events);
            for action in actions {
                self.act(action);
            }
            self.write_down();
            rounds += 1;
            if rounds >= MOST_ROUNDS {
                break;
            }
        }
        self.write_down();
        std::mem::take(&mut self.out)
    }

    /// What is known must be on its way to the disk before a message that leaves because of it.
    fn write_down(&mut self) {
        let entries = self.evidence.take_journal();
        if self.limits.journal && !entries.is_empty() {
            self.out.push(Output::Journal(entries));
        }
    }

    /// Takes in what earlier lives wrote down, before anything else: their copies may run, and are counted.
    pub fn recover(&mut self, now: Micros, entries: &[JournalEntry]) {
        self.now = self.now.max(now);
        self.evidence.recover(self.now, entries);
        let open: Vec<(TaskCopy, Of)> = self.evidence.open().collect();
        for (copy, of) in open {
            self.haunt(copy, of);
        }
    }

    /// All that the next life must know, in as few entries as can say it.
    pub fn snapshot(&self) -> Vec<JournalEntry> {
        self.evidence.snapshot()
    }

    fn ring(&mut self) {
        while let Some(alarm) = self.alarms.pop_due(self.now) {
            match alarm {
                Alarm::Module(label) => self.events.push(Event::Timer(label)),
                Alarm::Attempt(request, attempt) => self.on_expired(request, attempt),
                Alarm::Deadline(request) => self.on_overdue(request),
                Alarm::Lost(node) => self.on_lost(node),
            }
        }
        let due = self.evidence.due(self.now, self.limits.life);
        for copy in due.stop {
            self.stop_copy(copy);
        }
        for TaskCopy { attempt: at, .. } in due.recall {
            if self.nodes.is_up(at.node) {
                // Its node answers with what it knows of the attempt, or refuses it for ever.
                let AttemptId {
                    node,
                    request,
                    number: attempt,
                } = at;
                self.out.push(Output::CancelAttempt {
                    node,
                    request,
                    attempt,
                });
            }
        }
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::NodeList {
                scope,
                generation,
                lines,
            } => self.on_list(scope, generation, &lines),
            Input::NodeListFailed => {
                let (scope, version) = (ListUpdateKind::Failed, self.nodes.generation);
                self.events.push(Event::NodeList {
                    kind: scope,
                    version,
                    entries: Vec::new(),
                });
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
                life,
                whole,
                standing,
            } => self.on_link_up(node, life, whole, standing),
            Input::NodeDisconnected(node) => self.on_link_down(node),
            Input::News {
                node,
                request,
                attempt,
                news,
                load,
            } => {
                self.on_news(
                    AttemptId {
                        node,
                        request,
                        number: attempt,
                    },
                    news,
                    load,
                );
            }
            Input::Probed {
                node,
                answered,
                load,
            } => {
                self.events.push(Event::Probed {
                    node: node,
                    answered,
                    load,
                });
            }
            Input::DispatchFailed {
                node,
                request,
                attempt,
            } => {
                if self.out_at(AttemptId {
                    node,
                    request,
                    number: attempt,
                }) {
                    self.counters.unreachable += 1;
                    self.end_attempt(
                        request,
                        attempt,
                        AttemptOutcome::Unreachable,
                        EndReason::Unknown,
                        None,
                    );
                }
            }
            Input::PeerMessage { from, message } => self.events.push(Event::Peer { from, message }),
            Input::BeginShutdown => self.stopping = true,
            Input::ShutdownTimeout => self.on_abandon(),
        }
    }

    // ---- The node list ----

    fn on_list(&mut self, scope: ListUpdateKind, generation: u64, lines: &[ListedNode]) {
        let (told, changes) = self.nodes.take_in(self.now, scope, generation, lines);
        self.events.push(Event::NodeList {
            kind: scope,
            version: generation,
            entries: told,
        });
        for node in changes.added {
            for (copy, of) in self.evidence.back(node) {
                self.haunt(copy, of);
            }
            if let Some(n) = self.nodes.get(node) {
                self.out.push(Output::Connect {
                    node,
                    address: n.address,
                    name: n.name.clone(),
                });
            }
        }
        if scope != ListUpdateKind::Incremental {
            // Nodes of an earlier life that no list names any more can tell nothing.
            let unknown = self
                .evidence
                .nodes()
                .into_iter()
                .filter(|n| self.nodes.get(*n).is_none());
            for node in unknown.collect::<Vec<_>>() {
                self.node_is_gone(node);
            }
        }
        for node in changes.gone {
            if self.nodes.is_up(node) {
                self.let_go(node);
            } else {
                self.lose_placed(node);
            }
        }
    }

    /// A node that the list names no more keeps its link while it holds anything of ours: its answers count.
    fn let_go(&mut self, node: NodeId) {
        let gone = self
            .nodes
            .get(node)
            .is_some_and(|n| n.line.state == NodeStatus::Gone);
        let holds = |a: &Ask| {
            a.attempts
                .iter()
                .any(|t| t.node == node && t.ended.is_none())
        };
        if gone && !self.asks.values().any(holds) {
            self.node_is_gone(node);
            self.nodes.forget(node);
            self.out.push(Output::Disconnect(node));
        }
    }

    // ---- Submission and control ----

    fn on_submit(&mut self, ticket: u64, submission: Submission) {
        if let Some(job) = self.jobs.by_key(&submission.session, &submission.key) {
            self.out.push(Output::Accepted { ticket, job });
            return;
        }
        if let Some(job) = self.jobs.claimed(&submission) {
            // A task of an earlier life that runs on is its owner's again.
            self.out.push(Output::Accepted { ticket, job });
            if let Some(Answer::Placed(node)) = self.jobs.get(job).and_then(|j| j.answer) {
                self.counters.placed += 1;
                self.out.push(Output::Answered {
                    job,
                    answer: Answer::Placed(node),
                });
            }
            return;
        }
        let strict = self.is_strict(submission.class);
        let verdict = self.evidence.ask(submission.task, strict);
        if let Some(why) = self.turned_away(&submission, verdict) {
            self.remember_first(&submission);
            self.counters.submissions_rejected += 1;
            self.out.push(Output::Rejected {
                ticket,
                reason: why,
            });
            return;
        }
        self.remember_first(&submission);
        self.counters.submitted += 1;
        let held = submission.on_hold && matches!(verdict, Verdict::Free);
        let state = if held {
            JobState::OnHold
        } else {
            JobState::Queued
        };
        let job = self.jobs.add(submission, state);
        self.out.push(Output::Accepted { ticket, job });
        match verdict {
            Verdict::TakeOver(copy) => self.take_over(job, copy),
            Verdict::Ran(node, end) => {
                self.settle_job(job, Answer::Placed(node));
                if let Some(j) = self.jobs.get_mut(job) {
                    j.end = Some(end);
                }
                self.finish(job, JobState::Done);
            }
            _ if !held => self.ask(job),
            _ => {}
        }
    }

    /// A second effect of the class's tasks would do harm, or is harmless only within its group and window.
    fn is_strict(&self, class: u16) -> bool {
        self.class(class)
            .is_none_or(|c| c.idempotency != Idempotency::Idempotent)
    }

    /// Copies of the class are kept in the evidence.
    fn is_kept(&self, class: u16) -> bool {
        self.is_strict(class)
            || self
                .class(class)
                .is_some_and(|c| c.topology_spread != TopologySpread::Off)
    }

    fn remember_first(&mut self, submission: &Submission) {
        if submission.is_retry || self.limits.journal || !self.is_strict(submission.class) {
            return;
        }
        let (seen, order) = &mut self.first_seen;
        if seen.insert(submission.task) {
            order.push_back(submission.task);
        }
        while order.len() > self.limits.most_jobs {
            if let Some(oldest) = order.pop_front() {
                seen.remove(&oldest);
            }
        }
    }

    /// Without a journal a life does not know what earlier ones sent. A task that was asked for before, and not first
    /// in this life, waits until each node has told what it holds; after that it is found among that, or nobody knows.
    fn not_known(&self, submission: &Submission) -> Option<Rejection> {
        let known = self.limits.journal
            || !submission.is_retry
            || !self.is_strict(submission.class)
            || self.first_seen.0.contains(&submission.task)
            || self.evidence.copies(submission.task).next().is_some();
        if known {
            return None;
        }
        let told = self.nodes.generation > 0
            && self.nodes.iter().all(|(_, n)| {
                n.link == ConnectionState::Connected || n.line.state == NodeStatus::Gone
            });
        Some(if told {
            Rejection::OutcomeUnknown
        } else {
            Rejection::OutcomeAmbiguous(self.limits.settle)
        })
    }

    fn turned_away(&self, submission: &Submission, verdict: Verdict) -> Option<Rejection> {
        let unfinished = self.jobs.unfinished(&submission.session);
        if self.stopping {
            return Some(Rejection::ShuttingDown(self.limits.retry_after));
        }
        if let Some(job) = self.jobs.by_task(submission.task) {
            return Some(Rejection::TaskInUse(job));
        }
        match verdict {
            Verdict::Later(after) => return Some(Rejection::OutcomeAmbiguous(after)),
            Verdict::Never => return Some(Rejection::AlreadyRan),
            // Controllers share no evidence, and a start elsewhere could not be told from none.
            Verdict::Free if submission.requested_elsewhere && self.is_strict(submission.class) => {
                return Some(Rejection::RequestedElsewhere);
            }
            Verdict::Free => {
                if let Some(why) = self.not_known(submission) {
                    return Some(why);
                }
            }
            Verdict::TakeOver(_) | Verdict::Ran(..) => {}
        }
        let full = self.open >= self.limits.most_open
            || !self.jobs.has_room()
            || unfinished >= self.limits.most_session_jobs
            || (self.is_kept(submission.class) && self.evidence.is_full());
        full.then_some(Rejection::LimitReached(self.limits.retry_after))
    }

    /// Asks the module to place a job's task.
    fn ask(&mut self, job: JobId) {
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        let request = RequestId(self.next_request);
        self.next_request += 1;
        (j.ask, j.state, j.requested_at) = (Some(request), JobState::Queued, self.now);
        let deadline_in = j.submission.deadline_in;
        let request = request_of(
            &j.submission,
            request,
            deadline_in.saturating_sub(self.limits.answer_reserve),
        );
        let deadline = self.now.saturating_add(deadline_in);
        let ask = Ask {
            request: request.clone(),
            job,
            deadline,
            life: RequestState::Pending,
            attempts: Vec::new(),
        };
        self.alarms.schedule(deadline, Alarm::Deadline(request.id));
        self.asks.insert(request.id, ask);
        self.open += 1;
        self.events.push(Event::Place(request));
    }

    fn on_control(&mut self, ticket: u64, job: JobId, control: Control) {
        let Some(j) = self.jobs.get(job) else {
            self.out.push(Output::Rejected {
                ticket,
                reason: Rejection::NoSuchJob,
            });
            return;
        };
        let (state, ask) = (j.state, j.ask);
        let placed = ask.and_then(|r| self.asks.get(&r)).and_then(placed_at);
        let ok = match (control, state) {
            (Control::Hold, JobState::Queued) => {
                // What may run cannot be held back any more.
                let held_back = |a: &Ask| a.life == RequestState::Pending && a.never_ran();
                let waiting = ask.filter(|r| self.asks.get(r).is_some_and(held_back));
                if let Some(request) = waiting {
                    self.call_off(request);
                    if let Some(j) = self.jobs.get_mut(job) {
                        (j.state, j.ask) = (JobState::OnHold, None);
                    }
                }
                waiting.is_some()
            }
            (Control::Release, JobState::OnHold) => {
                self.ask(job);
                true
            }
            (Control::Suspend, JobState::Running) | (Control::Resume, JobState::Suspended) => {
                if let Some(at) = placed.filter(|at| self.nodes.is_up(at.node)) {
                    self.out.push(act(at, control));
                    let to = if control == Control::Suspend {
                        JobState::Suspended
                    } else {
                        JobState::Running
                    };
                    if let Some(j) = self.jobs.get_mut(job) {
                        j.state = to;
                    }
                    true
                } else {
                    false
                }
            }
            (Control::Terminate, JobState::OnHold) => {
                self.settle_job(job, Answer::Cancelled);
                true
            }
            (Control::Terminate, JobState::Queued) => {
                if let Some(request) = ask {
                    self.terminate_open(request);
                }
                true
            }
            (Control::Terminate, JobState::Running | JobState::Suspended) => {
                if let Some(at) = placed {
                    // A node that cannot be reached is told when its link stands again.
                    self.out.push(act(at, control));
                    self.moving.remove(&at.request);
                }
                true
            }
            _ => false,
        };
        let wrong = Output::Rejected {
            ticket,
            reason: Rejection::InvalidState(state),
        };
        self.out.push(if ok {
            Output::ControlAccepted { ticket }
        } else {
            wrong
        });
    }

    /// An ask that never left is forgotten, unanswered: its job makes another one later.
    fn call_off(&mut self, request: RequestId) {
        self.events.push(Event::RequestCancelled(request));
        self.leave(request, false);
        self.step(request, RequestState::Completed);
        self.forget_if_done(request);
    }

    fn terminate_open(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let (life, job) = (ask.life, ask.job);
        self.events.push(Event::RequestCancelled(request));
        self.leave(request, false);
        self.step(request, RequestState::Completed);
        self.settle_job(job, Answer::Cancelled);
        if let RequestState::Dispatched(attempt) = life {
            self.withdraw(request, attempt);
        }
        self.forget_if_done(request);
    }

    // ---- The module's actions ----

    fn act(&mut self, action: Action) {
        match action {
            Action::WatchNodes => self.out.push(Output::Watch),
            Action::Dispatch {
                request,
                node: machine,
                timeout,
            } => self.bind(request, machine, timeout),
            Action::CancelAttempt { request, attempt } => self.withdraw(request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => self.answer(request, Answer::Rejected(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::Migrate(request) => match self.asks.get(&request).and_then(placed_at) {
                Some(at) if self.nodes.is_up(at.node) => {
                    self.moving.insert(request, ());
                    self.out.push(act(at, Control::Terminate));
                }
                _ => self.counters.ignored_actions += 1,
            },
            Action::SetTimer { label, at } => self
                .alarms
                .schedule(at.max(self.now + 1), Alarm::Module(label)),
            Action::Probe(node) => {
                if self.nodes.is_up(node) {
                    self.out.push(Output::Probe(node));
                } else {
                    self.events.push(Event::Probed {
                        node: node,
                        answered: false,
                        load: None,
                    });
                }
            }
            Action::Broadcast(message) => self.out.push(Output::Broadcast(message)),
            Action::Log(line) => self.out.push(Output::Log(line)),
        }
    }

    fn bind(&mut self, request: RequestId, node: NodeId, timeout: Option<Micros>) {
        let up = self.nodes.is_up(node);
        let Some(ask) = self.asks.get_mut(&request) else {
            self.counters.ignored_actions += 1;
            return;
        };
        let number = u16::try_from(ask.attempts.len()).unwrap_or(u16::MAX);
        let until = ask.deadline.saturating_sub(self.limits.answer_reserve);
        let expires_at = until.min(timeout.map_or(until, |t| self.now.saturating_add(t)));
        let spent = ask.attempts.len() >= self.limits.max_attempts as usize;
        let sent = ask.life == RequestState::Pending && !spent && until > self.now;
        let attempt = Attempt {
            node,
            sent_at: self.now,
            expires_at,
            accepted: false,
            ended: None,
            after: After::Nothing,
        };
        ask.attempts.push(attempt);
        if !sent {
            self.counters.ignored_actions += 1;
            self.end_attempt(
                request,
                number,
                AttemptOutcome::NotSent,
                EndReason::Unknown,
                None,
            );
            return;
        }
        let job = ask.job;
        self.step(request, RequestState::Dispatched(number));
        if !up {
            self.counters.unreachable += 1;
            self.end_attempt(
                request,
                number,
                AttemptOutcome::Unreachable,
                EndReason::Unknown,
                None,
            );
            return;
        }
        self.counters.dispatched += 1;
        self.intend(
            request,
            AttemptId {
                node,
                request,
                number: number,
            },
        );
        self.alarms
            .schedule(expires_at, Alarm::Attempt(request, number));
        let expires_in = expires_at - self.now;
        self.out.push(Output::Dispatch {
            node,
            request,
            attempt: number,
            expires_in,
            job,
        });
    }

    /// What is about to be sent is known, and written down, before it leaves.
    fn intend(&mut self, request: RequestId, at: AttemptId) {
        let Some(of) = self.asks.get(&request).map(|a| of(&a.request)) else {
            return;
        };
        if self.is_kept(of.class) {
            let node_life = self
                .nodes
                .get(at.node)
                .and_then(|n| n.own_life)
                .unwrap_or(0);
            let copy = self.copy(at);
            self.evidence.sent(copy, node_life, of);
            self.write_down();
        }
    }

    /// Stops waiting for an attempt; the node may still have started it.
    fn withdraw(&mut self, request: RequestId, attempt: u16) {
        let Some(at) = self.out_trace(request, attempt) else {
            self.counters.ignored_actions += 1;
            return;
        };
        self.out.push(Output::CancelAttempt {
            node: at.node,
            request,
            attempt,
        });
        self.end_attempt(
            request,
            attempt,
            AttemptOutcome::Cancelled,
            EndReason::Unknown,
            None,
        );
    }

    /// The final answer of the module to an ask that is not placed.
    fn answer(&mut self, request: RequestId, answer: Answer) {
        let open = self.asks.get(&request).filter(|a| a.life.is_open());
        let Some(ask) = open else {
            self.counters.ignored_actions += 1;
            return;
        };
        let harmful = !ask.never_ran()
            && self
                .class(ask.request.class)
                .is_none_or(|c| c.idempotency == Idempotency::NonIdempotent);
        let (job, mut answer) = (ask.job, answer);
        if harmful && matches!(answer, Answer::Rejected(_)) {
            // Guard of the second rule: a refusal promises that a retry does no harm.
            self.counters.unsafe_rejections += 1;
            answer = Answer::Failed;
        }
        self.leave(request, true);
        self.step(request, RequestState::Completed);
        self.settle_job(job, answer);
        self.forget_if_done(request);
    }

    fn copy(&self, at: AttemptId) -> TaskCopy {
        TaskCopy {
            incarnation: self.limits.life,
            attempt: at,
        }
    }

    /// An ask ends here: nobody waits for the copies that may run.
    fn leave(&mut self, request: RequestId, wanted: bool) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let traces = ask
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| !a.never_ran());
        let traces: Vec<AttemptId> = traces
            .map(|(i, a)| AttemptId {
                node: a.node,
                request,
                number: i as u16,
            })
            .collect();
        for at in traces {
            let copy = self.copy(at);
            self.evidence.left(self.now, copy, wanted);
        }
    }

    // ---- Copies that may run ----

    /// A copy may run that no open attempt stands for: the module counts it as standing until it is known to be over,
    /// so that neither spread nor room is given away twice.
    fn haunt(&mut self, copy: TaskCopy, of: Of) {
        if self
            .class(of.class)
            .is_none_or(|c| c.topology_spread == TopologySpread::Off)
            || self.ghosts.contains_key(&copy)
        {
            return;
        }
        let id = self.new_request();
        let Of {
            task,
            service,
            class,
            tenant,
            cores,
            memory,
        } = of;
        let (deadline_in, life_hint, again) = (0, None, true);
        let request = PlacementRequest {
            id: id,
            task,
            service,
            class,
            tenant,
            cores,
            memory,
            deadline_in,
            expected_duration: life_hint,
            is_retry: again,
        };
        self.ghosts.insert(copy, id);
        self.events.push(Event::RunningTask {
            request,
            node: copy.attempt.node,
        });
    }

    /// The copy is over, or somebody's again.
    fn lay(&mut self, copy: TaskCopy) {
        let Some(request) = self.ghosts.remove(&copy) else {
            return;
        };
        let (machine, outcome, why) = (
            copy.attempt.node,
            AttemptOutcome::Cancelled,
            EndReason::Unknown,
        );
        let (attempt, over, load) = (0, true, None);
        self.events.push(Event::AttemptEnded {
            request,
            attempt,
            node: machine,
            outcome,
            reason: why,
            is_final: over,
            load,
        });
    }

    /// It is proved that the copy never ran, or was stopped before its end.
    fn copy_closed(&mut self, copy: TaskCopy) {
        self.evidence.closed(copy);
        self.lay(copy);
    }

    fn copy_over(&mut self, copy: TaskCopy, past: Completion) {
        self.evidence.over(self.now, copy, past);
        self.lay(copy);
    }

    /// The node told how an attempt ended.
    fn copy_ended(&mut self, copy: TaskCopy, end: TaskEnd, why: EndReason) {
        match end {
            TaskEnd::Exited { .. } => {
                self.copy_over(copy, Completion::Ended(copy.attempt.node, end))
            }
            // Its node says that it gave it up before its end, and why.
            TaskEnd::GivenUp
                if matches!(
                    why,
                    EndReason::Evicted | EndReason::Preempted | EndReason::Drained
                ) =>
            {
                self.copy_closed(copy);
            }
            TaskEnd::Signalled { .. } | TaskEnd::GivenUp | TaskEnd::Lost => {
                self.copy_over(copy, Completion::MayHaveRun)
            }
        }
    }

    fn node_is_gone(&mut self, node: NodeId) {
        for copy in self.evidence.gone(self.now, node) {
            self.lay(copy);
        }
        self.forget_former(node);
    }

    /// The one place where a job's ask is answered.
    fn settle_job(&mut self, job: JobId, answer: Answer) {
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        // A task that was moved or came again was answered when it was first placed.
        if j.answer.is_none() {
            j.answer = Some(answer);
            match answer {
                Answer::Placed(_) => self.counters.placed += 1,
                Answer::Rejected(_) => self.counters.requests_rejected += 1,
                Answer::Failed => self.counters.failed += 1,
                Answer::Cancelled => self.counters.cancelled += 1,
            }
            self.out.push(Output::Answered { job, answer });
        }
        match answer {
            Answer::Placed(_) => j.state = JobState::Running,
            _ => self.finish(job, JobState::Failed),
        }
    }

    fn finish(&mut self, job: JobId, state: JobState) {
        self.jobs.finish(job, state);
        self.out.push(Output::Finished(job));
    }

    // ---- Attempts ----

    fn class(&self, class: u16) -> Option<&TaskClass> {
        self.limits.classes.get(usize::from(class))
    }

    fn step(&mut self, request: RequestId, to: RequestState) -> bool {
        let Some(ask) = self.asks.get_mut(&request) else {
            return false;
        };
        let was_open = ask.life.is_open();
        let legal = ask.life.transition_to(to);
        self.open -= usize::from(was_open && !ask.life.is_open());
        if let Err(step) = &legal {
            debug_assert!(false, "{step}");
            self.counters.invalid_transitions += 1;
            self.out.push(Output::Log(format!("fault: {step}")));
        }
        legal.is_ok()
    }

    fn out_trace(&self, request: RequestId, attempt: u16) -> Option<AttemptId> {
        let a = self
            .asks
            .get(&request)?
            .attempts
            .get(usize::from(attempt))?;
        let placed = self.asks.get(&request)?.life == RequestState::Placed(attempt);
        (a.ended.is_none() && !placed).then_some(AttemptId {
            node: a.node,
            request,
            number: attempt,
        })
    }

    fn out_at(&self, trace: AttemptId) -> bool {
        self.out_trace(trace.request, trace.number)
            .is_some_and(|t| t.node == trace.node)
    }

    /// An attempt that is out ends: the ask waits again, if it is not over.
    fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        why: EndReason,
        load: Option<LoadReport>,
    ) {
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        let Some(a) = ask
            .attempts
            .get_mut(usize::from(attempt))
            .filter(|a| a.ended.is_none())
        else {
            return;
        };
        a.ended = Some(outcome);
        let (machine, life, of) = (a.node, ask.life, of(&ask.request));
        let copy = self.copy(AttemptId {
            node: machine,
            request,
            number: attempt,
        });
        if matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        ) {
            self.copy_closed(copy);
        } else if self.evidence.is_open(copy) {
            self.haunt(copy, of);
            if matches!(life, RequestState::Completed) {
                self.evidence.left(self.now, copy, true);
            }
        }
        if life == RequestState::Dispatched(attempt) {
            self.step(request, RequestState::Pending);
        }
        self.settle_by_what_was_found(request);
        let over = self.asks.get(&request).is_none_or(|a| !a.life.is_open());
        self.count_end(outcome, why);
        self.events.push(Event::AttemptEnded {
            request,
            attempt,
            node: machine,
            outcome,
            reason: why,
            is_final: over,
            load,
        });
        self.forget_if_done(request);
        self.let_go(machine);
    }

    fn count_end(&mut self, outcome: AttemptOutcome, why: EndReason) {
        let key = (outcome as u8, why as u8);
        self.attempt_ends.entry(key).or_insert((outcome, why, 0)).2 += 1;
    }

    fn on_expired(&mut self, request: RequestId, attempt: u16) {
        let Some(at) = self.out_trace(request, attempt) else {
            return;
        };
        self.counters.timed_out += 1;
        self.out.push(Output::CancelAttempt {
            node: at.node,
            request,
            attempt,
        });
        self.end_attempt(
            request,
            attempt,
            AttemptOutcome::TimedOut,
            EndReason::Unknown,
            None,
        );
    }

    /// Guard of the first rule: the module had until the reserve before this.
    fn on_overdue(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get(&request).filter(|a| a.life.is_open()) else {
            return;
        };
        let (job, life) = (ask.job, ask.life);
        self.counters.missed_deadlines += 1;
        self.out.push(Output::Log(format!(
            "fault: ask {} was left without an answer",
            request.0
        )));
        self.events.push(Event::RequestCancelled(request));
        self.leave(request, true);
        self.step(request, RequestState::Completed);
        self.settle_job(job, Answer::Failed);
        if let RequestState::Dispatched(attempt) = life {
            self.withdraw(request, attempt);
        }
        self.forget_if_done(request);
    }

    fn forget_if_done(&mut self, request: RequestId) {
        if self.asks.get(&request).is_some_and(Ask::is_done) {
            self.asks.remove(&request);
            self.moving.remove(&request);
        }
    }

    // ---- What nodes say ----

    fn on_news(&mut self, at: AttemptId, news: NodeNews, load: Option<LoadReport>) {
        // A node that uses the new number has heard of it.
        self.former.retain(|_, named| *named != at);
        let at = self.former.get(&self.copy(at)).copied().unwrap_or(at);
        let running = self.asks.get(&at.request).and_then(placed_at) == Some(at);
        match (self.out_at(at), running) {
            (true, _) => self.on_news_of_offer(at, news, load),
            (_, true) => self.on_news_of_placed(at, news, load),
            _ => self.on_news_out_of_place(at, &news),
        }
    }

    fn on_news_of_offer(&mut self, at: AttemptId, news: NodeNews, load: Option<LoadReport>) {
        let AttemptId {
            node,
            request,
            number: attempt,
        } = at;
        let over = self
            .asks
            .get(&request)
            .is_none_or(|a| a.life == RequestState::Completed);
        match news {
            NodeNews::Accepted => {
                if let Some(a) = self
                    .asks
                    .get_mut(&request)
                    .and_then(|a| a.attempts.get_mut(usize::from(attempt)))
                {
                    a.accepted = true;
                }
                if self.limits.confirms == PlacementAck::Accepted && !over {
                    self.on_confirmed(at);
                }
                self.report(node, load);
            }
            NodeNews::Running if over => {
                // Answered meanwhile: nobody waits for this copy.
                self.end_attempt(
                    request,
                    attempt,
                    AttemptOutcome::Cancelled,
                    EndReason::Unknown,
                    load,
                );
                self.on_news_out_of_place(at, &NodeNews::Running);
            }
            NodeNews::Running => {
                self.on_confirmed(at);
                if self.limits.confirms == PlacementAck::Accepted {
                    self.events.push(Event::TaskUpdated {
                        request,
                        attempt,
                        node: node,
                        update: TaskUpdate::Running,
                    });
                }
                self.report(node, load);
            }
            NodeNews::Refused(why) => {
                self.end_attempt(request, attempt, AttemptOutcome::Rejected, why, load);
            }
            NodeNews::Error => {
                // It may have started; its node is asked what it knows of it once nobody waits for it.
                self.end_attempt(
                    request,
                    attempt,
                    AttemptOutcome::Error,
                    EndReason::Unknown,
                    load,
                );
            }
            NodeNews::Ended(end, why) if over => {
                let copy = self.copy(at);
                self.copy_ended(copy, end, why);
                self.end_attempt(
                    request,
                    attempt,
                    AttemptOutcome::Completed,
                    EndReason::Unknown,
                    load,
                );
            }
            NodeNews::Ended(..) => {
                // It ran and ended before its start was told.
                self.on_confirmed(at);
                self.on_news_of_placed(at, news, load);
            }
            NodeNews::Note(note) => self.events.push(Event::TaskUpdated {
                request,
                attempt,
                node: node,
                update: note,
            }),
        }
    }

    fn report(&mut self, node: NodeId, load: Option<LoadReport>) {
        if load.is_some() {
            self.events.push(Event::Probed {
                node: node,
                answered: true,
                load,
            });
        }
    }

    fn on_confirmed(&mut self, at: AttemptId) {
        let AttemptId {
            node,
            request,
            number: attempt,
        } = at;
        if !self.step(request, RequestState::Placed(attempt)) {
            return;
        }
        let copy = self.copy(at);
        // Earlier attempts that may run as well are nobody's.
        self.leave(request, false);
        self.evidence.claimed(copy);
        self.events.push(Event::Placed {
            request,
            attempt,
            node: node,
        });
        if let Some(job) = self.asks.get(&request).map(|a| a.job) {
            self.settle_job(job, Answer::Placed(node));
        }
    }

    fn on_news_of_placed(&mut self, at: AttemptId, news: NodeNews, load: Option<LoadReport>) {
        let AttemptId {
            node,
            request,
            number: attempt,
        } = at;
        let (outcome, end, why) = match news {
            NodeNews::Accepted => return self.report(node, load),
            NodeNews::Running => {
                if self.limits.confirms == PlacementAck::Accepted {
                    self.events.push(Event::TaskUpdated {
                        request,
                        attempt,
                        node: node,
                        update: TaskUpdate::Running,
                    });
                }
                return self.report(node, load);
            }
            NodeNews::Note(note) => {
                self.events.push(Event::TaskUpdated {
                    request,
                    attempt,
                    node: node,
                    update: note,
                });
                return;
            }
            NodeNews::Ended(end @ TaskEnd::Exited { .. }, why) => {
                (AttemptOutcome::Completed, end, why)
            }
            NodeNews::Ended(end @ TaskEnd::Signalled { .. }, why) => {
                (AttemptOutcome::Cancelled, end, why)
            }
            NodeNews::Ended(end, why) => (AttemptOutcome::Lost, end, why),
            NodeNews::Refused(why) => {
                // Handed back before it ran.
                let copy = self.copy(at);
                self.copy_closed(copy);
                (AttemptOutcome::Lost, TaskEnd::GivenUp, why)
            }
            NodeNews::Error => (AttemptOutcome::Error, TaskEnd::Lost, EndReason::Unknown),
        };
        if let NodeNews::Ended(..) = news {
            let copy = self.copy(at);
            // What was stopped to be placed anew is known to be stopped.
            match self.moving.contains_key(&request) && matches!(end, TaskEnd::Signalled { .. }) {
                true => self.copy_closed(copy),
                false => self.copy_ended(copy, end, why),
            }
        }
        self.end_placed(at, outcome, end, why, load);
    }

    fn end_placed(
        &mut self,
        at: AttemptId,
        outcome: AttemptOutcome,
        end: TaskEnd,
        why: EndReason,
        load: Option<LoadReport>,
    ) {
        let AttemptId {
            node,
            request,
            number: attempt,
        } = at;
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        let (job, of) = (ask.job, of(&ask.request));
        if let Some(a) = ask.attempts.get_mut(usize::from(attempt)) {
            a.ended = Some(outcome);
        }
        self.step(request, RequestState::Completed);
        let copy = self.copy(at);
        if self.evidence.is_open(copy) {
            // Lost sight of, not known to be over.
            self.haunt(copy, of);
            self.evidence.left(self.now, copy, true);
        }
        self.count_end(outcome, why);
        self.events.push(Event::AttemptEnded {
            request,
            attempt,
            node: node,
            outcome,
            reason: why,
            is_final: true,
            load,
        });
        // Moved, it is asked for again only where it is known to be stopped before its end.
        let stopped = !matches!(end, TaskEnd::Exited { .. })
            && (!self.is_strict(of.class) || self.evidence.ask(of.task, true) == Verdict::Free);
        let moved = self.moving.remove(&request).is_some() && stopped;
        self.forget_if_done(request);
        if moved {
            self.ask(job);
        } else {
            if let Some(j) = self.jobs.get_mut(job) {
                j.end = Some(end);
            }
            let done = matches!(end, TaskEnd::Exited { .. } | TaskEnd::Signalled { .. });
            self.finish(
                job,
                if done {
                    JobState::Done
                } else {
                    JobState::Failed
                },
            );
        }
        self.let_go(node);
    }

    /// News of an attempt that is over, was another node's, or never was. It settles doubts; a copy that runs and
    /// that nobody waits for is stopped, so that it does not hold its room.
    fn on_news_out_of_place(&mut self, at: AttemptId, news: &NodeNews) {
        self.counters.unexpected_messages += 1;
        // A node that names another's attempt is not to be told anything about it.
        let known = self
            .asks
            .get(&at.request)
            .and_then(|a| a.attempts.get(usize::from(at.number)));
        if known.is_some_and(|a| a.node != at.node) {
            self.out.push(Output::Log(format!(
                "node {:x} speaks of an attempt that is not its own",
                at.node.0
            )));
            return;
        }
        match news {
            NodeNews::Running if self.went_on(at) => self.found(at, After::Runs),
            NodeNews::Running => {
                let copy = self.copy(at);
                match self.evidence.runs(self.now, copy) {
                    Stray::Kept => {}
                    Stray::Unwanted | Stray::Unknown => self.stop_stray(at),
                }
            }
            NodeNews::Refused(_) => {
                let copy = self.copy(at);
                self.copy_closed(copy);
            }
            NodeNews::Ended(end, why) => {
                let (copy, went_on) = (self.copy(at), self.went_on(at));
                let of = self.asks.get(&at.request).map(|a| of(&a.request));
                self.copy_ended(copy, *end, *why);
                let ran = of.is_some_and(|of| {
                    match self.evidence.ask(of.task, self.is_strict(of.class)) {
                        Verdict::Ran(..) | Verdict::Never => true,
                        // A second run of what does no harm is not needed either.
                        _ => matches!(end, TaskEnd::Exited { .. }),
                    }
                });
                if went_on {
                    self.found(
                        at,
                        if ran {
                            After::Ended(*end)
                        } else {
                            After::Nothing
                        },
                    );
                }
            }
            // An error proves nothing: its node's record does.
            NodeNews::Error => {}
            NodeNews::Accepted | NodeNews::Note(_) => {}
        }
    }

    /// The attempt was given up or its link broke, and its ask is still to be placed.
    fn went_on(&self, at: AttemptId) -> bool {
        let ask = self.asks.get(&at.request).filter(|a| a.life.is_open());
        let attempt = ask.and_then(|a| a.attempts.get(usize::from(at.number)));
        attempt.is_some_and(|a| a.node == at.node && a.ended.is_some())
    }

    /// News of an attempt that was given up: what its ask waits for runs after all, or has run.
    fn found(&mut self, at: AttemptId, after: After) {
        let copy = self.copy(at);
        if after == After::Runs {
            self.evidence.confirmed(copy);
        }
        let Some(ask) = self.asks.get_mut(&at.request) else {
            return;
        };
        if let Some(a) = ask.attempts.get_mut(usize::from(at.number)) {
            a.after = after;
        }
        self.settle_by_what_was_found(at.request);
    }

    /// An ask that waits is not offered again where one of its attempts is known to run or to have run: the module is
    /// told that it is no longer wanted, and of the standing task in its place. While another attempt is out, that one
    /// comes to its end first: two answers must not be in the making.
    fn settle_by_what_was_found(&mut self, request: RequestId) {
        let Some(ask) = self
            .asks
            .get(&request)
            .filter(|a| a.life == RequestState::Pending)
        else {
            return;
        };
        let found = ask
            .attempts
            .iter()
            .enumerate()
            .find(|(_, a)| a.after != After::Nothing);
        let Some((i, a)) = found else { return };
        let (job, at, after) = (
            ask.job,
            AttemptId {
                node: a.node,
                request,
                number: i as u16,
            },
            a.after,
        );
        self.call_off(request);
        match after {
            After::Runs => self.take_over(job, self.copy(at)),
            After::Ended(end) => {
                let exited = matches!(end, TaskEnd::Exited { .. });
                self.settle_job(
                    job,
                    if exited {
                        Answer::Placed(at.node)
                    } else {
                        Answer::Failed
                    },
                );
                if exited {
                    if let Some(j) = self.jobs.get_mut(job) {
                        j.end = Some(end);
                    }
                    self.finish(job, JobState::Done);
                }
            }
            After::Nothing => {}
        }
    }

    fn stop_copy(&mut self, copy: TaskCopy) {
        if copy.incarnation == self.limits.life {
            self.stop_stray(copy.attempt);
        }
    }

    fn stop_stray(&mut self, at: AttemptId) {
        self.counters.orphans_stopped += 1;
        self.out.push(act(at, Control::Terminate));
    }

    // ---- Links ----

    fn on_link_up(&mut self, node: NodeId, life: u64, whole: bool, standing: Vec<Standing>) {
        if self.nodes.is_up(node) {
            // A second link stands for the first: what was under way on that one is as lost as if it had broken.
            self.on_link_down(node);
        }
        let Some(n) = self.nodes.get_mut(node) else {
            return;
        };
        (n.link, n.own_life) = (ConnectionState::Connected, Some(life));
        // The list tells of a restart seconds later; until then all controllers would push a cold node over.
        if let Some(line) = n.restarted(self.now, life) {
            let (scope, version) = (ListUpdateKind::Incremental, self.nodes.generation);
            self.events.push(Event::NodeList {
                kind: scope,
                version,
                entries: vec![line],
            });
        }
        let standing: Vec<Standing> = standing
            .into_iter()
            .filter_map(|s| self.by_its_present_number(node, s))
            .collect();
        let own = |s: &&Standing| s.life == self.limits.life;
        let trace = |s: &Standing| AttemptId {
            node,
            request: s.request,
            number: s.attempt,
        };
        let held: Vec<AttemptId> = standing.iter().filter(own).map(trace).collect();
        let named: Vec<TaskCopy> = standing
            .iter()
            .map(|s| TaskCopy {
                incarnation: s.life,
                attempt: trace(s),
            })
            .collect();
        for copy in self.evidence.greeted(self.now, node, life, whole, &named) {
            self.lay(copy);
        }
        let placed: Vec<AttemptId> = self
            .asks
            .values()
            .filter_map(placed_at)
            .filter(|t| t.node == node && !held.contains(t))
            .collect();
        for at in placed {
            self.end_placed(
                at,
                AttemptOutcome::Lost,
                TaskEnd::Lost,
                EndReason::Unknown,
                None,
            );
        }
        for s in standing {
            if s.life == self.limits.life {
                let at = trace(&s);
                // Its attempt ended with the link; if it still counts, the ask is open and takes it back.
                if self.asks.get(&at.request).and_then(placed_at) != Some(at) && !self.out_at(at) {
                    self.on_news_out_of_place(at, &NodeNews::Running);
                }
            } else if let Some(end) = s.ended {
                self.learn_of_past(node, s, end);
            } else {
                self.adopt(node, s);
            }
        }
        self.forget_former(node);
    }

    /// Danger: the word that a copy goes by a new number can be lost with its link. Its node then names it by the former
    /// one, and the job would be taken for lost and the copy for a stray: stopped, and counted no more while it goes on.
    fn by_its_present_number(&mut self, node: NodeId, s: Standing) -> Option<Standing> {
        let (life, was, attempt) = (s.life, s.request, s.attempt);
        let copy = TaskCopy {
            incarnation: life,
            attempt: AttemptId {
                node,
                request: was,
                number: attempt,
            },
        };
        let Some(&named) = self.former.get(&copy) else {
            return Some(s);
        };
        if let Some(end) = s.ended {
            self.out.push(Output::DiscardOrphan {
                node,
                life,
                was,
                attempt,
            });
            self.on_news(named, NodeNews::Ended(end, s.why), None);
            return None;
        }
        self.out.push(Output::Adopt {
            node,
            life,
            was,
            attempt,
            request: named.request,
        });
        Some(Standing {
            life: self.limits.life,
            request: named.request,
            attempt: named.number,
            ..s
        })
    }

    /// Nothing that a node may still call by a former number is remembered for longer than the copy matters.
    fn forget_former(&mut self, node: NodeId) {
        let Core {
            asks,
            evidence,
            former,
            limits,
            ..
        } = self;
        former.retain(|_, named| {
            let stands = asks.get(&named.request).and_then(placed_at) == Some(*named);
            named.node != node
                || stands
                || evidence.is_open(TaskCopy {
                    incarnation: limits.life,
                    attempt: *named,
                })
        });
    }

    /// A task of an earlier life ran and ended: its job is known again under its key, and one that must not run
    /// twice is not started again for an owner who never heard of it.
    fn learn_of_past(&mut self, node: NodeId, s: Standing, end: TaskEnd) {
        let ran = matches!(end, TaskEnd::Exited { .. } | TaskEnd::Signalled { .. });
        let (life, was, attempt) = (s.life, s.request, s.attempt);
        let copy = TaskCopy {
            incarnation: life,
            attempt: AttemptId {
                node,
                request: was,
                number: attempt,
            },
        };
        if self.evidence.is_open(copy) {
            self.copy_ended(copy, end, s.why);
        } else if self.is_strict(s.submission.class) && ran {
            let past = if matches!(end, TaskEnd::Exited { .. }) {
                Completion::Ended(node, end)
            } else {
                Completion::MayHaveRun
            };
            self.evidence.ran(self.now, s.submission.task, past);
        }
        self.write_down();
        self.out.push(Output::DiscardOrphan {
            node,
            life,
            was,
            attempt,
        });
        let known = self
            .jobs
            .by_key(&s.submission.session, &s.submission.key)
            .is_some();
        if known || self.jobs.by_task(s.submission.task).is_some() || !self.jobs.has_room() {
            return;
        }
        let job = self.jobs.add(s.submission, JobState::Queued);
        if let Some(j) = self.jobs.get_mut(job) {
            (j.answer, j.end) = (Some(Answer::Placed(node)), Some(end));
        }
        self.finish(
            job,
            if ran {
                JobState::Done
            } else {
                JobState::Failed
            },
        );
    }

    fn new_request(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request - 1)
    }

    /// A task that an earlier life placed runs on; its job is found again under its key.
    fn adopt(&mut self, node: NodeId, s: Standing) {
        let Standing {
            life,
            request: was,
            attempt,
            submission,
            ..
        } = s;
        let copy = TaskCopy {
            incarnation: life,
            attempt: AttemptId {
                node,
                request: was,
                number: attempt,
            },
        };
        let known = self.class(submission.class).is_some();
        let taken = self.jobs.by_task(submission.task).is_some();
        if !known || taken || !self.jobs.has_room() {
            self.counters.orphans_stopped += 1;
            self.copy_over(copy, Completion::MayHaveRun);
            self.write_down();
            self.out.push(Output::DiscardOrphan {
                node,
                life,
                was,
                attempt,
            });
            return;
        }
        let job = self.jobs.add_unclaimed(submission);
        let request = self.stand(job, copy);
        if let Some(j) = self.jobs.get_mut(job) {
            (j.answer, j.state) = (Some(Answer::Placed(node)), JobState::Running);
        }
        self.write_down();
        self.out.push(Output::Adopt {
            node,
            life,
            was,
            attempt,
            request,
        });
    }

    /// A doubtful copy was found running and its owner asks again: that copy is the new job's.
    fn take_over(&mut self, job: JobId, copy: TaskCopy) {
        let request = self.stand(job, copy);
        self.settle_job(job, Answer::Placed(copy.attempt.node));
        self.write_down();
        let (life, was, attempt) = (copy.incarnation, copy.attempt.request, copy.attempt.number);
        self.out.push(Output::Adopt {
            node: copy.attempt.node,
            life,
            was,
            attempt,
            request,
        });
    }

    fn stand(&mut self, job: JobId, copy: TaskCopy) -> RequestId {
        let (id, node) = (self.new_request(), copy.attempt.node);
        self.counters.adopted += 1;
        self.lay(copy);
        let Some(j) = self.jobs.get_mut(job) else {
            return id;
        };
        j.ask = Some(id);
        let request = request_of(&j.submission, id, 0);
        let named = self.copy(AttemptId {
            node,
            request: id,
            number: 0,
        });
        for later in self
            .former
            .values_mut()
            .filter(|n| **n == copy.attempt && copy.incarnation == self.limits.life)
        {
            *later = named.attempt;
        }
        self.former.insert(copy, named.attempt);
        if self.evidence.is_open(copy) {
            self.evidence.renamed(copy, named);
        } else if self.is_kept(request.class) {
            let node_life = self.nodes.get(node).and_then(|n| n.own_life).unwrap_or(0);
            self.evidence.sent(named, node_life, of(&request));
            self.evidence.confirmed(named);
        }
        let attempt = Attempt {
            node,
            sent_at: self.now,
            expires_at: self.now,
            accepted: true,
            ended: None,
            after: After::Nothing,
        };
        let (deadline, attempts) = (self.now, vec![attempt]);
        let ask = Ask {
            request: request.clone(),
            job,
            deadline,
            life: RequestState::Pending,
            attempts,
        };
        self.asks.insert(id, ask);
        self.open += 1;
        self.step(id, RequestState::Placed(0));
        self.events.push(Event::RunningTask {
            request,
            node: node,
        });
        id
    }

    fn on_link_down(&mut self, node: NodeId) {
        let Some(n) = self.nodes.get_mut(node) else {
            return;
        };
        if n.link == ConnectionState::Connected {
            n.link = ConnectionState::Disconnected(self.now);
            self.alarms.schedule(
                self.now.saturating_add(self.limits.lost_after),
                Alarm::Lost(node),
            );
        }
        let out: Vec<(RequestId, u16)> = self
            .asks
            .iter()
            .flat_map(|(r, a)| {
                a.attempts
                    .iter()
                    .enumerate()
                    .map(move |(i, t)| (*r, a, i as u16, t))
            })
            .filter(|(_, a, i, t)| {
                t.node == node && t.ended.is_none() && a.life != RequestState::Placed(*i)
            })
            .map(|(r, _, i, _)| (r, i))
            .collect();
        for (request, attempt) in out {
            self.end_attempt(
                request,
                attempt,
                AttemptOutcome::Lost,
                EndReason::Unknown,
                None,
            );
        }
        if self
            .nodes
            .get(node)
            .is_some_and(|n| n.line.state == NodeStatus::Gone)
        {
            self.lose_placed(node);
        }
    }

    fn on_lost(&mut self, node: NodeId) {
        let Some(ConnectionState::Disconnected(since)) = self.nodes.get(node).map(|n| n.link)
        else {
            return;
        };
        if since.saturating_add(self.limits.lost_after) <= self.now {
            self.lose_placed(node);
        }
    }

    /// Tasks on a node that is gone, or was out of reach for too long, count as lost; whether they still run
    /// stays in doubt until the node is heard again or gone for good.
    fn lose_placed(&mut self, node: NodeId) {
        let placed: Vec<AttemptId> = self
            .asks
            .values()
            .filter_map(placed_at)
            .filter(|t| t.node == node)
            .collect();
        for at in placed {
            self.end_placed(
                at,
                AttemptOutcome::Lost,
                TaskEnd::Lost,
                EndReason::Unknown,
                None,
            );
        }
        self.let_go(node);
    }

    // ---- The end ----

    fn on_abandon(&mut self) {
        self.stopping = true;
        let open: Vec<RequestId> = self
            .asks
            .values()
            .filter(|a| a.life.is_open())
            .map(Ask::id)
            .collect();
        for request in open {
            self.events.push(Event::RequestCancelled(request));
            let harmless = self.asks.get(&request).is_some_and(Ask::never_ran);
            let retry_after = Some(self.limits.retry_after);
            self.answer(
                request,
                if harmless {
                    Answer::Rejected(retry_after)
                } else {
                    Answer::Failed
                },
            );
        }
    }
}

fn placed_at(ask: &Ask) -> Option<AttemptId> {
    let RequestState::Placed(attempt) = ask.life else {
        return None;
    };
    let node = ask.attempts.get(usize::from(attempt))?.node;
    Some(AttemptId {
        node,
        request: ask.id(),
        number: attempt,
    })
}

fn act(at: AttemptId, control: Control) -> Output {
    Output::ControlTask {
        node: at.node,
        request: at.request,
        attempt: at.number,
        control,
    }
}

/// What a copy of the ask is of.
fn of(r: &PlacementRequest) -> Of {
    let PlacementRequest {
        task,
        service,
        class,
        tenant,
        cores,
        memory,
        ..
    } = *r;
    Of {
        task,
        service,
        class,
        tenant,
        cores,
        memory,
    }
}

fn request_of(s: &Submission, request: RequestId, deadline_in: Micros) -> PlacementRequest {
    let Submission {
        task,
        service,
        class,
        tenant,
        cores,
        memory,
        expected_duration: life_hint,
        is_retry: again,
        ..
    } = s.clone();
    PlacementRequest {
        id: request,
        task,
        service,
        class,
        tenant,
        cores,
        memory,
        deadline_in,
        expected_duration: life_hint,
        is_retry: again,
    }
}
