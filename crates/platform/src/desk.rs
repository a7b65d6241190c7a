//! The state machine between the platform's messages and the decision module.
//!
//! It stands where the simulator stood: attempts are numbered in the order of the module's binds, each ends once, each
//! set-up is answered once, and what the module is told has the simulator's meaning. It decides nothing: what it holds
//! are facts of connections, attempts and tasks, and every answer that is not a bound's or a reader's is the module's.

mod hosts;
mod late;
mod line;
mod read;
mod words;

use crate::config::Config;
use crate::endpoint_watch::EndpointEvent;
use crate::wire::{Message, MessageKind, cause, code};
use bytes::Bytes;
use hosts::Hosts;
use late::Late;
use line::Line;
use peppercove::adapter_protocol::RecordSchema;
use peppercove::{
    Action, AttemptOutcome, EndReason, Event, ListUpdateKind, LoadReport, Micros, NodeId,
    RequestId, Settings, TaskKey,
};
use peppercove_core::request_state::RequestState;
use peppercove_core::{Decide, Timers};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use words::Meant;

/// A connection of owners, as the shell numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A connection to a host, as the desk numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeConnectionId(pub u64);

/// How a connection to a host came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// It was refused: no process is there.
    Refused,
    /// It did not come up in time.
    ConnectFailed,
    /// It broke, was closed, or could not be read any more, after so many bytes were written.
    Broken {
        /// Bytes that the system had taken.
        bytes_written: u64,
        /// The peer closed it, and all that it had said was read.
        is_clean: bool,
    },
}

/// Something that happened.
#[derive(Debug)]
pub enum Input {
    /// The start, with the journal service's events so far.
    Start(Vec<EndpointEvent>),
    /// Events of the journal service that follow the last one held; none, where a call was answered with nothing new.
    EndpointEvents(Vec<EndpointEvent>),
    /// The journal service broke off, went silent or was out of reach.
    EndpointWatchFailed,
    /// A message of an owner. A set-up waits for its turn, its time counts from now on.
    ClientMessage(ClientId, Message),
    /// It is the next set-up's turn.
    AdmitNext,
    /// An owner's connection is closed.
    ClientDisconnected(ClientId),
    /// So many connections of owners are open.
    ClientCount(usize),
    /// A connection to a host is up.
    NodeConnected(NodeConnectionId),
    /// A message of a host.
    NodeMessage(NodeConnectionId, Message),
    /// A connection to a host is closed, or never came up.
    NodeDisconnected(NodeConnectionId, Disconnect),
    /// All that came before this time was handed over. Danger: only then may anything be concluded from silence. A loop
    /// that is late sees the clock before it sees what has arrived.
    Tick(Micros),
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to an owner.
    SendToClient(ClientId, Bytes),
    /// Open a connection to a host.
    Connect(NodeConnectionId, SocketAddr),
    /// Write to a host.
    SendToNode(NodeConnectionId, Bytes),
    /// Write to a host what takes a set-up back. Where that does not go out at once, the connection has to end, with
    /// what waits on it: nothing may be sent for a task after its answer.
    Cancel(NodeConnectionId, Bytes),
    /// Close a connection to a host.
    Close(NodeConnectionId),
    /// Call the journal service anew.
    WatchEndpoints,
    /// A line of the module for the people on call.
    Log(String),
}

/// What bounds a desk.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Set-ups without an answer, of all owners.
    pub open_requests: usize,
    /// Set-ups without an answer on one connection.
    pub open_requests_per_client: usize,
    /// Tasks that stand.
    pub running_tasks: usize,
    /// Connections to one host that set-ups are spread over.
    pub connections_per_node: usize,
    /// Connections of both kinds.
    pub connections: usize,
    /// Connections to all hosts, as many as owners leave.
    pub node_connections: usize,
    /// Connections of owners; the shell keeps to it.
    pub client_connections: usize,
    /// Bytes that may wait for readers, all together; the shell keeps to it.
    pub send_buffer_bytes: usize,
    /// A connection to a host with tasks or attempts is tested once it was silent for this long.
    pub health_check_interval: Micros,
    /// A connection whose test is not answered within this time no longer works.
    pub health_check_timeout: Micros,
    /// Tasks on a host that answers no test and takes no connection count as lost after this.
    pub unreachable_timeout: Micros,
    /// An end that could be told to nobody is kept so long.
    pub notification_retention: Micros,
    /// An end that may be an earlier attempt's is taken for the present one's where nothing else is heard for so long.
    pub ambiguity_timeout: Micros,
}

impl Bounds {
    /// The page of the platform lets 8 s pass before an end is told that no host could tell.
    const TOLD_WITHIN: Micros = 8_000_000;
    /// It lets 1 s pass before an end is told that a host has told.
    const PASSED_ON_WITHIN: Micros = 1_000_000;

    /// Connections to hosts beside `open` ones of owners. The third that owners are granted is kept for them: an owner
    /// that comes has no time to wait until a host's connection is closed.
    fn links(connections: usize, owners: usize, open: usize) -> usize {
        connections.saturating_sub(open.max(owners / 2)).max(1)
    }

    /// Bounds for a configuration.
    pub fn for_config(config: &Config) -> Bounds {
        // Some tens of KiB a set-up at the worst: a quarter of the memory may wait for answers.
        let open =
            ((config.limits.memory_mb as usize).saturating_mul(1024) / 4 / 32).clamp(64, 65_536);
        // Owners keep to a third of the descriptors, and those that mean no good take as many again. Some are the
        // program's own: listener, journal service, log, runtime. Connections to hosts have what is left.
        let owners = config.limits.sockets / 3 * 2;
        let connections = config.limits.sockets.saturating_sub(16);
        // Another quarter of the memory may wait for readers.
        let unread = (config.limits.memory_mb as usize).saturating_mul(1 << 20) / 4;
        Bounds {
            open_requests: open,
            open_requests_per_client: (open / 4).clamp(16, 256),
            // A KiB each, in an eighth of the memory. Danger: the end of one beyond that is told by nobody.
            running_tasks: ((config.limits.memory_mb as usize).saturating_mul(1024) / 8).max(1024),
            connections_per_node: 1,
            connections,
            node_connections: Bounds::links(connections, owners, 0),
            client_connections: owners,
            send_buffer_bytes: unread,
            health_check_interval: 0,
            health_check_timeout: 0,
            unreachable_timeout: Bounds::TOLD_WITHIN / 2,
            notification_retention: Bounds::TOLD_WITHIN,
            ambiguity_timeout: Bounds::PASSED_ON_WITHIN / 2,
        }
        .tested_by(config.dial_timeout())
    }

    /// With tests of connections that follow the settings' own word on how long the network may take to bring something
    /// up. Tested after one of these, six hundred times in twenty seconds, hosts served less (docs/results.md). Danger:
    /// where they are slow, a host that is well would count as lost before its test is answered. A host may be silent for
    /// two rounds before it is tested, and then has its time.
    pub fn tested_by(self, dial_timeout: Micros) -> Bounds {
        let test_every = (dial_timeout * 4).min(self.unreachable_timeout / 4);
        let test_within = (dial_timeout * 2).min(self.unreachable_timeout / 8 * 3);
        Bounds {
            health_check_interval: test_every,
            health_check_timeout: test_within,
            ..self
        }
    }
}

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Set-ups taken in.
    pub taken: u64,
    /// Set-ups that could be read but not be used.
    pub unusable: u64,
    /// Set-ups turned away by a bound.
    pub surplus: u64,
    /// Attempts sent or queued.
    pub binds: u64,
    /// Answers passed on.
    pub placed: u64,
    /// Refusals.
    pub refused: u64,
    /// Failures.
    pub failed: u64,
    /// Set-ups that their owners gave up.
    pub abandoned: u64,
    /// Ends told to owners.
    pub ended: u64,
    /// Words of hosts that belong to nothing open.
    pub stray: u64,
    /// Tasks that ended with their host.
    pub lost: u64,
}

/// What is kept of a set-up until it is answered, to pass it on unchanged.
#[derive(Debug)]
struct Body {
    class: Box<[u8]>,
    task: Box<[u8]>,
    key: Option<Box<[u8]>>,
    description: Option<Box<[u8]>>,
}

/// One attempt.
#[derive(Debug)]
struct Try {
    machine: NodeId,
    link: NodeConnectionId,
    stage: Stage,
    expires: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its connection is not up yet.
    Queued,
    /// Written to the connection's queue behind so many bytes.
    Out(u64),
    /// Its host gave the word that it waited for, or nothing of it was ever at its host.
    Settled,
    /// It was out and ended without a word of its host, which may hold it, or have something to say of it still.
    Loose,
}

impl Stage {
    fn is_open(self) -> bool {
        matches!(self, Stage::Queued | Stage::Out(_))
    }
}

/// One set-up, until its task is over.
#[derive(Debug)]
struct Ask {
    wire: u64,
    /// The id before its owner handed it over under another one.
    former: Option<u64>,
    task: TaskKey,
    owner: ClientId,
    came: Micros,
    deadline: Micros,
    life: RequestState,
    placed_at: Micros,
    body: Option<Body>,
    tries: Vec<Try>,
    /// An end that may be an earlier attempt's, until its host has said which.
    doubtful: Option<Doubt>,
    /// Its owner is owed nothing more, and its host is to cut it.
    cut: Option<Cut>,
}

/// The cut of a standing task. Until its host has read it, or is gone, the task may go on there, and counts.
#[derive(Clone, Copy, Debug)]
struct Cut {
    outcome: AttemptOutcome,
    cause: u8,
}

#[derive(Debug)]
struct Doubt {
    word: Message,
    /// The test that clears it, and the connection it went over.
    asked: Option<(NodeConnectionId, u64)>,
}

#[derive(Debug, Default)]
struct Owner {
    open: BTreeSet<RequestId>,
    /// It has brought a set-up that could be used.
    usual: bool,
    /// Ends told on it lately, and when.
    told: VecDeque<(Micros, Bytes)>,
}

#[derive(Debug)]
enum Alarm {
    Module(u64),
    Try(RequestId, u16),
    Deadline(RequestId),
    Doubt(RequestId, NodeConnectionId, u64),
    Watch(NodeId),
    Redial(NodeId),
    Forget(NodeId),
}

/// One controller on the platform, around a decision module.
#[derive(Debug)]
pub struct PlatformEngine<D> {
    module: D,
    settings: Settings,
    shape: RecordSchema,
    bounds: Bounds,
    now: Micros,
    consulted: Option<Micros>,
    events: Vec<Event>,
    asks: BTreeMap<RequestId, Ask>,
    wires: BTreeMap<u64, RequestId>,
    /// Asks that are over, to be forgotten once the module has been told.
    over: Vec<RequestId>,
    owners: BTreeMap<ClientId, Owner>,
    line: Line,
    /// Ends that no connection could be found for, and until when they are worth telling.
    untold: VecDeque<(Micros, Bytes)>,
    hosts: Hosts,
    alarms: Timers<Alarm>,
    late: Late,
    next_request: u64,
    open: usize,
    counters: Counters,
    out: Vec<Output>,
}

impl<D: Decide> PlatformEngine<D> {
    /// A desk that has just started.
    pub fn new(
        module: D,
        settings: Settings,
        shape: RecordSchema,
        bounds: Bounds,
        seed: u64,
    ) -> PlatformEngine<D> {
        let longest = settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        PlatformEngine {
            late: Late::new(longest),
            module,
            settings,
            shape,
            bounds,
            now: 0,
            consulted: None,
            events: Vec::new(),
            asks: BTreeMap::new(),
            wires: BTreeMap::new(),
            over: Vec::new(),
            owners: BTreeMap::new(),
            line: Line::default(),
            untold: VecDeque::new(),
            hosts: Hosts::new(seed),
            alarms: Timers::default(),
            next_request: 1,
            open: 0,
            counters: Counters::default(),
            out: Vec::new(),
        }
    }

    /// Takes in what happened at `now`, in microseconds since the Unix epoch, and returns what to do about it.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Start(entries) => self.begin(entries),
            Input::EndpointEvents(entries) => self.on_list(entries),
            Input::EndpointWatchFailed => {
                let (scope, version, lines) = (ListUpdateKind::Failed, 0, Vec::new());
                self.events.push(Event::NodeList {
                    kind: scope,
                    version,
                    entries: lines,
                });
            }
            Input::ClientMessage(owner, message) => self.on_owner(owner, message),
            Input::AdmitNext => {
                if let Some((owner, came, message)) = self.line.next() {
                    self.on_set_up(owner, came, &message);
                }
            }
            Input::ClientDisconnected(owner) => self.on_owner_gone(owner),
            Input::ClientCount(open) => {
                let Bounds {
                    connections,
                    client_connections: owners,
                    ..
                } = self.bounds;
                self.bounds.node_connections = Bounds::links(connections, owners, open);
                self.hosts
                    .keep_to(self.bounds.node_connections, &mut self.out);
            }
            Input::NodeConnected(link) => self.on_link_up(link),
            Input::NodeMessage(link, message) => self.on_host(link, &message),
            Input::NodeDisconnected(link, how) => self.on_link_down(link, how),
            Input::Tick(until) => {
                self.late.seen(self.now, until);
                let until = until.min(self.now);
                while let Some(alarm) = self.alarms.pop_due(until) {
                    self.on_alarm(alarm);
                }
                // Danger: where little of a core is left, the line may be longer than its owners wait.
                while let Some((owner, came, message)) = self.line.due(until) {
                    self.on_set_up(owner, came, &message);
                }
            }
        }
        self.consult();
        std::mem::take(&mut self.out)
    }

    /// When it wants to be called at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        let batch = (!self.events.is_empty()).then(|| self.next_batch());
        [self.alarms.next_deadline(), self.line.next_end(), batch]
            .into_iter()
            .flatten()
            .min()
    }

    /// What happened so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Set-ups without an answer.
    pub fn open_requests(&self) -> usize {
        self.open + self.line.len()
    }

    /// A set-up waits for its turn.
    pub fn has_queued_requests(&self) -> bool {
        self.line.len() > 0
    }

    /// Tasks that stand.
    pub fn running_tasks(&self) -> usize {
        self.hosts.standing()
    }

    /// Hosts that something is kept of.
    pub fn known_nodes(&self) -> usize {
        self.hosts.len()
    }

    /// An owner's connection has a set-up without an answer.
    pub fn has_open_requests(&self, owner: ClientId) -> bool {
        self.line.of(owner) > 0 || self.owners.get(&owner).is_some_and(|o| !o.open.is_empty())
    }

    /// An owner's connection has brought a set-up that could be used.
    pub fn has_sent_request(&self, owner: ClientId) -> bool {
        self.owners.get(&owner).is_some_and(|o| o.usual)
    }

    // ---- The module ----

    fn next_batch(&self) -> Micros {
        self.consulted
            .map_or(0, |at| at.saturating_add(self.settings.tick))
    }

    /// Hands the module what has come since its last batch, and carries its actions out.
    fn consult(&mut self) {
        if self.events.is_empty() || self.now < self.next_batch() {
            return;
        }
        self.consulted = Some(self.now);
        let events = std::mem::take(&mut self.events);
        for action in self.module.decide(self.now, &events) {
            self.carry_out(action);
        }
        // The module knows of their end: it names them no more.
        for request in std::mem::take(&mut self.over) {
            self.asks.remove(&request);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::WatchNodes => self.out.push(Output::WatchEndpoints),
            Action::Dispatch {
                request,
                node: machine,
                timeout,
            } => self.bind(request, machine, timeout),
            Action::CancelAttempt { request, attempt } => {
                // The one that placed the task cannot be withdrawn any more.
                let open = |a: &Ask| {
                    a.tries
                        .get(usize::from(attempt))
                        .is_some_and(|t| t.stage.is_open())
                };
                if self.asks.get(&request).is_some_and(open) {
                    self.give_up(request, attempt, AttemptOutcome::Cancelled, false);
                }
            }
            Action::Reject { request, .. } => {
                if self.answer(request, Message::release(0, cause::TURNED_AWAY)) {
                    self.counters.refused += 1;
                }
            }
            Action::Fail(request) => {
                if self.answer(request, Message::release(0, cause::CUT)) {
                    self.counters.failed += 1;
                }
            }
            Action::Migrate(request) => self.move_on(request),
            Action::SetTimer { label, at } => self
                .alarms
                .schedule(at.max(self.now + 1), Alarm::Module(label)),
            Action::Log(line) => self.out.push(Output::Log(line)),
            // Hosts here have no load to be asked for, and controllers no way to each other.
            Action::Probe(_) | Action::Broadcast(_) => {}
        }
    }

    fn on_alarm(&mut self, alarm: Alarm) {
        match alarm {
            Alarm::Module(label) => self.events.push(Event::Timer(label)),
            Alarm::Try(request, attempt) => {
                let open = |a: &Ask| {
                    a.tries
                        .get(usize::from(attempt))
                        .is_some_and(|t| t.stage.is_open())
                };
                if self.asks.get(&request).is_some_and(open) {
                    self.give_up(request, attempt, AttemptOutcome::TimedOut, false);
                }
            }
            Alarm::Deadline(request) => {
                if self.asks.get(&request).is_some_and(|a| a.life.is_open()) {
                    self.abandon(request);
                }
            }
            Alarm::Doubt(request, link, test) => {
                // Not of a doubt that was cleared: a later one has its own time.
                if self.in_doubt(request, link, test) {
                    self.believe(request);
                }
            }
            Alarm::Watch(machine) => self.watch(machine),
            Alarm::Redial(machine) => self.redial(machine),
            Alarm::Forget(machine) => self.forget(machine),
        }
    }

    // ---- The list ----

    fn begin(&mut self, entries: Vec<EndpointEvent>) {
        let version = entries.last().map_or(0, |e| e.pos);
        for hosts in entries.into_iter().filter_map(|e| e.hosts) {
            self.hosts.learn(&hosts, &self.shape);
        }
        let lines = self.hosts.lines();
        self.events.push(Event::NodeList {
            kind: ListUpdateKind::Cached,
            version,
            entries: lines,
        });
    }

    fn on_list(&mut self, entries: Vec<EndpointEvent>) {
        if entries.is_empty() {
            // A call that brings nothing new is answered all the same.
            let version = self.hosts.version;
            let (scope, lines) = (ListUpdateKind::Incremental, Vec::new());
            self.events.push(Event::NodeList {
                kind: scope,
                version,
                entries: lines,
            });
        }
        for entry in entries {
            let version = entry.pos;
            self.hosts.version = version;
            let Some(hosts) = entry.hosts else { continue };
            let scope = if hosts.full {
                ListUpdateKind::Full
            } else {
                ListUpdateKind::Incremental
            };
            let news = self.hosts.learn(&hosts, &self.shape);
            let named: Vec<NodeId> = news.lines.iter().map(|l| l.node).collect();
            self.events.push(Event::NodeList {
                kind: scope,
                version,
                entries: news.lines,
            });
            for machine in named.iter().chain(&news.gone) {
                // Danger: a connection that comes up late would bring there what was bound before this was told.
                for (request, attempt) in self.hosts.unsent_to_leaving(*machine) {
                    self.give_up(request, attempt, AttemptOutcome::Unreachable, false);
                }
            }
            for machine in named {
                // Tasks may have been handed over there before the list told its address.
                self.redial(machine);
            }
            for (machine, started_at) in news.restarted {
                // A process that starts anew holds nothing of its earlier life.
                self.lose(machine, started_at);
            }
            for machine in news.gone {
                // What it still has to say on an open connection comes first.
                self.alarms.schedule(
                    self.now + self.bounds.health_check_timeout,
                    Alarm::Forget(machine),
                );
            }
        }
    }

    // ---- Owners ----

    fn on_owner(&mut self, from: ClientId, message: Message) {
        match message.kind {
            // Danger: hundreds of set-ups that come at once take long, and words of hosts, alarms and the set-ups of
            // others would come after them all. What stands already has to be known at once, and so has what is beyond
            // a bound.
            MessageKind::SetUp if read::names_host(&message) || self.is_full(from) => {
                self.on_set_up(from, self.now, &message);
            }
            MessageKind::SetUp => {
                let deadline = self.now.saturating_add(read::wait(&message).unwrap_or(0));
                self.line
                    .push(from, self.now, self.answer_by(self.now, deadline), message);
            }
            MessageKind::Test => {
                let passed = Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]);
                self.out.push(Output::SendToClient(from, passed.encode()));
            }
            MessageKind::Release => self.on_owner_release(from, &message),
            // Nothing that an owner would send, or nothing that means anything.
            MessageKind::Progress
            | MessageKind::Answer
            | MessageKind::Heard
            | MessageKind::Note
            | MessageKind::Move
            | MessageKind::Tested => {}
        }
    }

    /// No more set-ups of this connection are taken.
    fn is_full(&self, from: ClientId) -> bool {
        let of_it = self.owners.get(&from).map_or(0, |o| o.open.len()) + self.line.of(from);
        of_it >= self.bounds.open_requests_per_client
            || self.open_requests() >= self.bounds.open_requests
    }

    fn on_set_up(&mut self, from: ClientId, came: Micros, message: &Message) {
        let read = read::set_up(message, &self.settings, &self.shape);
        let turn_away = Message::release(message.id, cause::TURNED_AWAY).encode();
        let (mut request, at, body) = match read {
            Ok(read) => read,
            Err(_) => {
                self.counters.unusable += 1;
                // One that names a host is answered by nobody; neither is one that would answer for another.
                let held = self.wires.get(&message.id).and_then(|r| self.asks.get(r));
                if held.is_none_or(|a| a.owner != from) && !read::names_host(message) {
                    self.out.push(Output::SendToClient(from, turn_away));
                }
                return;
            }
        };
        request.id = RequestId(self.next_request);
        let held = self.wires.get(&message.id).and_then(|r| self.asks.get(r));
        if let Some(host) = at {
            let machine = self.hosts.named(&host);
            if held.is_none() {
                match self.hosts.holding(machine, request.task) {
                    Some(known) => self.rename(known, from, message.id),
                    None if self.hosts.standing() < self.bounds.running_tasks => {
                        self.stand(from, message.id, request, machine);
                    }
                    None => {}
                }
            }
            return;
        }
        if held.is_some() || self.line.holds(from, message.id) {
            // Under the id of an open set-up: the first is not disturbed. On its own connection its answer is the
            // only one that may carry the id.
            self.counters.unusable += 1;
            if held.is_some_and(|h| h.owner != from) {
                self.out.push(Output::SendToClient(from, turn_away));
            }
            return;
        }
        if self.is_full(from) {
            self.counters.surplus += 1;
            self.out.push(Output::SendToClient(from, turn_away));
            return;
        }
        let owner = self.owners.entry(from).or_default();
        owner.open.insert(request.id);
        owner.usual = true;
        self.next_request += 1;
        self.open += 1;
        self.counters.taken += 1;
        // Its owner counts from when it sent it, and it has waited here since it came.
        let deadline = came.saturating_add(request.deadline_in);
        request.deadline_in = self.answer_by(came, deadline).saturating_sub(self.now);
        // The owner gives up by itself; this is for one that is cut off.
        self.alarms.schedule(
            deadline.saturating_add(self.settings.answer_slack + self.bounds.health_check_interval),
            Alarm::Deadline(request.id),
        );
        self.wires.insert(message.id, request.id);
        let ask = Ask {
            wire: message.id,
            former: None,
            task: request.task,
            owner: from,
            came,
            deadline,
            life: RequestState::Pending,
            placed_at: 0,
            body: Some(body),
            tries: Vec::new(),
            doubtful: None,
            cut: None,
        };
        self.asks.insert(request.id, ask);
        self.events.push(Event::Place(request));
        self.tell_untold(from);
    }

    /// When the last word on a set-up has to be decided. Danger: where the loop is late, an answer that waits for the
    /// deadline comes after it by as much. Half of its time at the least is left to be placed in.
    fn answer_by(&self, came: Micros, deadline: Micros) -> Micros {
        deadline - self.late.most().min(deadline.saturating_sub(came) / 2)
    }

    /// A task that a host holds already is this controller's from now on.
    fn stand(
        &mut self,
        from: ClientId,
        wire: u64,
        request: peppercove::PlacementRequest,
        machine: NodeId,
    ) {
        let id = request.id;
        self.next_request += 1;
        self.owners.entry(from).or_default().usual = true;
        let (task, link) = (request.task, NodeConnectionId(0));
        let first = Try {
            machine,
            link,
            stage: Stage::Settled,
            expires: self.now,
        };
        let ask = Ask {
            wire,
            former: None,
            task,
            owner: from,
            came: self.now,
            deadline: self.now,
            life: RequestState::Placed(0),
            placed_at: self.now,
            body: None,
            tries: vec![first],
            doubtful: None,
            cut: None,
        };
        self.wires.insert(wire, id);
        self.asks.insert(id, ask);
        self.events.push(Event::RunningTask {
            request,
            node: machine,
        });
        self.stands_at(machine, id, task);
    }

    /// A task that is held already is handed over under another id: its owner did not learn where it stands, or was told
    /// that it is over, and has found it there. Danger: its host speaks of it by the new id from now on; unknown, the end
    /// would be told to nobody. Words of the host that cross this still carry the former one.
    fn rename(&mut self, request: RequestId, from: ClientId, wire: u64) {
        self.owners.entry(from).or_default().usual = true;
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        if let Some(former) = ask.former.replace(ask.wire) {
            self.wires.remove(&former);
        }
        (ask.wire, ask.owner) = (wire, from);
        self.wires.insert(wire, request);
        if ask.cut.is_some() {
            // It goes on being cut, which its owner has to learn under this id as well.
            self.tell_end(request, cause::CUT);
            self.bring_cut(request);
        }
    }

    fn on_owner_release(&mut self, from: ClientId, message: &Message) {
        if self.line.give_up(from, message.id) {
            self.counters.abandoned += 1;
        }
        let Some(&request) = self.wires.get(&message.id) else {
            return;
        };
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        match ask.life {
            // A set-up is given up on its own connection alone: an id is no proof of who sends it.
            RequestState::Pending | RequestState::Dispatched(_) if ask.owner == from => {
                self.abandon(request)
            }
            RequestState::Pending | RequestState::Dispatched(_) | RequestState::Completed => {}
            // A standing task belongs to no connection. Its host is told, and owes its owner nothing.
            RequestState::Placed(_) => {
                self.cut(
                    request,
                    AttemptOutcome::Cancelled,
                    message.cause().unwrap_or(cause::ORDINARY),
                );
            }
        }
    }

    fn on_owner_gone(&mut self, owner: ClientId) {
        self.line.forget(owner);
        let Some(gone) = self.owners.remove(&owner) else {
            return;
        };
        for request in gone.open {
            self.abandon(request);
        }
        // Danger: an end that crosses the close of its connection is told to nobody, and its owner holds the task for
        // running. Hosts say theirs twice for the same reason.
        for (at, frame) in gone.told {
            if at.saturating_add(self.bounds.health_check_timeout) > self.now {
                self.tell(owner, frame);
            }
        }
    }

    /// The owner waits no more: no answer is owed.
    fn abandon(&mut self, request: RequestId) {
        self.counters.abandoned += 1;
        self.events.push(Event::RequestCancelled(request));
        self.close(request);
    }

    /// The set-up is over without a placed task: what is out is given up.
    fn close(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        if !ask.life.is_open() {
            return;
        }
        let out = match ask.life {
            RequestState::Dispatched(n) => Some(n),
            _ => None,
        };
        let stepped = ask.life.transition_to(RequestState::Completed);
        debug_assert!(stepped.is_ok());
        ask.body = None;
        self.open -= 1;
        self.wires.remove(&ask.wire);
        if let Some(owner) = self.owners.get_mut(&ask.owner) {
            owner.open.remove(&request);
        }
        self.over.push(request);
        if let Some(attempt) = out {
            self.give_up(request, attempt, AttemptOutcome::Cancelled, true);
        }
    }

    /// The module's final answer, at once; false where none is owed any more.
    fn answer(&mut self, request: RequestId, mut message: Message) -> bool {
        let Some(ask) = self.asks.get(&request).filter(|a| a.life.is_open()) else {
            return false;
        };
        message.id = ask.wire;
        self.out
            .push(Output::SendToClient(ask.owner, message.encode()));
        self.close(request);
        true
    }

    // ---- Attempts ----

    fn bind(&mut self, request: RequestId, machine: NodeId, timeout: Option<Micros>) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let answer_by = self.answer_by(ask.came, ask.deadline);
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        let attempt = ask.tries.len() as u16;
        let expires = timeout.map_or(answer_by, |t| self.now.saturating_add(t).min(answer_by));
        let over = !ask.life.is_open();
        let possible = ask.life == RequestState::Pending
            && ask.tries.len() < self.settings.max_attempts as usize
            && expires > self.now;
        ask.tries.push(Try {
            machine,
            link: NodeConnectionId(0),
            stage: Stage::Settled,
            expires,
        });
        if !possible {
            self.ended(
                request,
                attempt,
                machine,
                AttemptOutcome::NotSent,
                EndReason::Unknown,
                over,
                None,
            );
            return;
        }
        let carried: Vec<NodeConnectionId> = ask.tries.iter().map(|t| t.link).collect();
        let Some(link) =
            self.hosts
                .link_for(machine, &carried, self.now, self.bounds, &mut self.out)
        else {
            self.ended(
                request,
                attempt,
                machine,
                AttemptOutcome::Unreachable,
                EndReason::Unknown,
                false,
                None,
            );
            return;
        };
        self.counters.binds += 1;
        // What was said before this attempt is not of it.
        ask.doubtful = None;
        let stepped = ask.life.transition_to(RequestState::Dispatched(attempt));
        debug_assert!(stepped.is_ok());
        let new = &mut ask.tries[usize::from(attempt)];
        (new.link, new.stage) = (link, Stage::Queued);
        self.alarms.schedule(expires, Alarm::Try(request, attempt));
        self.hosts.queue(link, request, attempt);
        self.look_after(machine);
        if self.hosts.is_up(link) {
            self.send_queued(link);
        }
    }

    /// Writes the set-ups that waited for their connection.
    fn send_queued(&mut self, link: NodeConnectionId) {
        for (request, attempt) in self.hosts.queued(link) {
            let Some(ask) = self.asks.get_mut(&request) else {
                continue;
            };
            let Some(t) = ask
                .tries
                .get_mut(usize::from(attempt))
                .filter(|t| t.stage == Stage::Queued)
            else {
                continue;
            };
            let Some(body) = &ask.body else { continue };
            // Rounded up: a host that stops early would turn away what this side still waits for.
            let wait = t.expires.saturating_sub(self.now).div_ceil(1000);
            let mut message = Message::new(MessageKind::SetUp, ask.wire)
                .with(code::CLASS, &body.class)
                .with(code::WAIT, wait.to_string().as_bytes())
                .with(code::TASK, &body.task);
            if let Some(key) = &body.key {
                message = message.with(code::KEY, key);
            }
            if let Some(description) = &body.description {
                message = message.with(code::DESCRIPTION, description);
            }
            let frame = message.encode();
            t.stage = Stage::Out(self.hosts.sent(link, frame.len()));
            self.hosts.out(link, request, attempt);
            self.out.push(Output::SendToNode(link, frame));
        }
    }

    /// Stops waiting for an attempt that is out, and tells its host.
    fn give_up(&mut self, request: RequestId, attempt: u16, outcome: AttemptOutcome, over: bool) {
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        let Some(t) = ask
            .tries
            .get_mut(usize::from(attempt))
            .filter(|t| t.stage.is_open())
        else {
            return;
        };
        let (link, machine, wire) = (t.link, t.machine, ask.wire);
        let sent = t.stage != Stage::Queued;
        if sent {
            self.release(link, wire);
        }
        let stage = if sent { Stage::Loose } else { Stage::Settled };
        // What never left its queue is known not to have run, whatever ended the wait.
        let outcome = if sent || outcome == AttemptOutcome::Cancelled {
            outcome
        } else {
            AttemptOutcome::Unreachable
        };
        self.end_try(request, attempt, stage, over);
        self.ended(
            request,
            attempt,
            machine,
            outcome,
            EndReason::Unknown,
            over,
            None,
        );
    }

    /// Tells a host to give an attempt up, where its connection is up.
    fn release(&mut self, link: NodeConnectionId, wire: u64) {
        if self.hosts.is_up(link) {
            let frame = Message::release(wire, cause::ORDINARY).encode();
            self.hosts.sent(link, frame.len());
            self.out.push(Output::Cancel(link, frame));
        }
    }

    /// Takes an attempt off its connection; the set-up waits again unless it is over.
    fn end_try(&mut self, request: RequestId, attempt: u16, stage: Stage, over: bool) {
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        let Some(t) = ask.tries.get_mut(usize::from(attempt)) else {
            return;
        };
        t.stage = stage;
        self.hosts.off(t.link, request, attempt);
        if !over {
            let stepped = ask.life.transition_to(RequestState::Pending);
            debug_assert!(stepped.is_ok());
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        request: RequestId,
        attempt: u16,
        machine: NodeId,
        outcome: AttemptOutcome,
        why: EndReason,
        over: bool,
        load: Option<LoadReport>,
    ) {
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

    // ---- Standing tasks ----

    /// A task that stood is over: the module is told, the task forgotten.
    fn finish(
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
        if ask.life.transition_to(RequestState::Completed).is_err() {
            return;
        }
        let Some(machine) = ask.tries.get(usize::from(attempt)).map(|t| t.machine) else {
            return;
        };
        self.wires.remove(&ask.wire);
        if let Some(former) = ask.former {
            self.wires.remove(&former);
        }
        self.hosts.stands_no_more(machine, request);
        self.over.push(request);
        self.ended(request, attempt, machine, outcome, why, true, load);
    }

    /// Tells the owner that its task is over.
    fn tell_end(&mut self, request: RequestId, cause: u8) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        self.counters.ended += 1;
        let (owner, frame) = (ask.owner, Message::release(ask.wire, cause).encode());
        self.tell(owner, frame);
    }

    /// Tells an end to its owner. Where its connection is closed, any other will do: none owns a standing task.
    fn tell(&mut self, owner: ClientId, frame: Bytes) {
        let own = self.owners.contains_key(&owner).then_some(owner);
        let other = || {
            self.owners
                .iter()
                .rev()
                .find(|(_, o)| o.usual)
                .map(|(id, _)| *id)
        };
        let Some(to) = own.or_else(other) else {
            self.untold.push_back((
                self.now.saturating_add(self.bounds.notification_retention),
                frame,
            ));
            // Each is the end of a task that stood. Danger: one that is dropped is never told.
            while self.untold.len() > self.bounds.running_tasks {
                self.untold.pop_front();
            }
            return;
        };
        if let Some(owner) = self.owners.get_mut(&to) {
            let late = self.now.saturating_sub(self.bounds.health_check_timeout);
            owner.told.retain(|(at, _)| *at > late);
            owner.told.push_back((self.now, frame.clone()));
        }
        self.out.push(Output::SendToClient(to, frame));
    }

    /// Ends that nobody could be told are told to the first owner that comes.
    fn tell_untold(&mut self, owner: ClientId) {
        for (until, frame) in std::mem::take(&mut self.untold) {
            if until > self.now {
                self.out.push(Output::SendToClient(owner, frame));
            }
        }
    }

    /// Cuts a standing task at its host. Danger: a host that is out of reach goes on with it, and room or spread given
    /// away before it has read that would be given away twice; so the module is told of the end only then.
    fn cut(&mut self, request: RequestId, outcome: AttemptOutcome, cause: u8) {
        let Some(ask) = self.asks.get_mut(&request).filter(|a| a.cut.is_none()) else {
            return;
        };
        let RequestState::Placed(_) = ask.life else {
            return;
        };
        (ask.cut, ask.doubtful) = (Some(Cut { outcome, cause }), None);
        self.bring_cut(request);
    }

    /// Sends a cut over the connection of the attempt that placed the task, over another one, or over the next.
    fn bring_cut(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let RequestState::Placed(attempt) = ask.life else {
            return;
        };
        let Some(t) = ask.tries.get(usize::from(attempt)) else {
            return;
        };
        let (machine, link) = (t.machine, t.link);
        let link = Some(link)
            .filter(|l| self.hosts.is_up(*l))
            .or_else(|| self.hosts.any_up(machine));
        match link {
            Some(link) => self.send_cut(link, request),
            None => {
                // Told on the next connection that comes up.
                self.hosts.owe(machine, request);
                self.redial(machine);
            }
        }
    }

    /// Cuts a task over a connection, and asks whether that was read: where the connection ends before, it is told again.
    fn send_cut(&mut self, link: NodeConnectionId, request: RequestId) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let Some(Cut { cause, .. }) = ask.cut else {
            return;
        };
        let at = self.send(link, &Message::release(ask.wire, cause));
        self.hosts.unread(link, at, request);
        self.test(link);
    }

    /// A host has read a cut, or can hold nothing any more.
    fn is_cut(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        if let (Some(Cut { outcome, .. }), RequestState::Placed(attempt)) = (ask.cut, ask.life) {
            self.finish(request, attempt, outcome, EndReason::Unknown, None);
        }
    }

    fn move_on(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get(&request).filter(|a| a.cut.is_none()) else {
            return;
        };
        let RequestState::Placed(_) = ask.life else {
            return;
        };
        let (owner, wire) = (ask.owner, ask.wire);
        self.out.push(Output::SendToClient(
            owner,
            Message::new(MessageKind::Move, wire).encode(),
        ));
        self.cut(request, AttemptOutcome::Cancelled, cause::CALLED_OFF);
    }

    fn stands_at(&mut self, machine: NodeId, request: RequestId, task: TaskKey) {
        self.hosts.stands(machine, request, task);
        self.look_after(machine);
        self.redial(machine);
    }

    /// Connections of this machine are watched from now on, while anything of ours is there.
    fn look_after(&mut self, machine: NodeId) {
        if self.hosts.look_after(machine, self.now) {
            self.alarms.schedule(
                self.now + self.bounds.health_check_interval,
                Alarm::Watch(machine),
            );
        }
    }

    /// Tasks that stood on a machine before `since` are lost with its process.
    fn lose(&mut self, machine: NodeId, since: Micros) {
        for request in self.hosts.standing_at(machine) {
            let Some(ask) = self.asks.get(&request) else {
                continue;
            };
            let RequestState::Placed(attempt) = ask.life else {
                continue;
            };
            if ask.cut.is_some() {
                self.is_cut(request);
            } else if ask.placed_at < since {
                self.counters.lost += 1;
                self.tell_end(request, cause::CUT);
                self.finish(
                    request,
                    attempt,
                    AttemptOutcome::Lost,
                    EndReason::Unknown,
                    None,
                );
            }
        }
    }

    /// A machine is silent for so long that the owners of its tasks must be told. Whether they go on is not known.
    fn lose_sight(&mut self, machine: NodeId) {
        if !self.hosts.is_known(machine) {
            // Nobody has ever heard of it, and there is no way to it.
            return self.lose(machine, Micros::MAX);
        }
        for request in self.hosts.standing_at(machine) {
            if self.asks.get(&request).is_some_and(|a| a.cut.is_none()) {
                self.counters.lost += 1;
                self.tell_end(request, cause::CUT);
                self.cut(request, AttemptOutcome::Lost, cause::ORDINARY);
            }
        }
    }

    // ---- Connections to hosts ----

    /// Writes to a host; returns how many bytes went before on that connection.
    fn send(&mut self, link: NodeConnectionId, message: &Message) -> u64 {
        let frame = message.encode();
        let before = self.hosts.sent(link, frame.len());
        self.out.push(Output::SendToNode(link, frame));
        before
    }

    /// Tests a connection; returns the test's id.
    fn test(&mut self, link: NodeConnectionId) -> u64 {
        let id = self.hosts.tested(link, self.now);
        self.send(
            link,
            &Message::new(MessageKind::Test, id).with(code::CAUSE, &[0]),
        );
        id
    }

    fn on_link_up(&mut self, link: NodeConnectionId) {
        if let Some(machine) = self.hosts.up(link, self.now) {
            self.send_owed(machine);
        }
        self.send_queued(link);
    }

    /// Cuts that wait for a connection go over any that is up.
    fn send_owed(&mut self, machine: NodeId) {
        if let Some(link) = self.hosts.any_up(machine) {
            for request in self.hosts.take_owed(machine) {
                self.send_cut(link, request);
            }
        }
    }

    fn on_link_down(&mut self, link: NodeConnectionId, how: Disconnect) {
        let Some(down) = self.hosts.down(link) else {
            return;
        };
        for (request, attempt) in down.tries {
            let Some(ask) = self.asks.get(&request) else {
                continue;
            };
            let Some(t) = ask.tries.get(usize::from(attempt)) else {
                continue;
            };
            let outcome = match (t.stage, how) {
                (Stage::Queued, _) => AttemptOutcome::Unreachable,
                // Not one byte of it had left.
                (
                    Stage::Out(at),
                    Disconnect::Broken {
                        bytes_written: written,
                        ..
                    },
                ) if written <= at => AttemptOutcome::Unreachable,
                (Stage::Out(_), _) => AttemptOutcome::Lost,
                (Stage::Settled | Stage::Loose, _) => continue,
            };
            let stage = if outcome == AttemptOutcome::Lost {
                Stage::Loose
            } else {
                Stage::Settled
            };
            self.end_try(request, attempt, stage, false);
            self.ended(
                request,
                attempt,
                down.machine,
                outcome,
                EndReason::Unknown,
                false,
                None,
            );
        }
        if how == Disconnect::Refused || self.hosts.is_gone(down.machine) {
            // No process is there any more: its tasks went with it.
            self.lose(down.machine, Micros::MAX);
        }
        if !matches!(how, Disconnect::Broken { is_clean: true, .. }) {
            self.hosts.missed(down.machine);
        }
        // Danger: with another connection up none is dialled, and a cut that its host never read would wait for good.
        self.send_owed(down.machine);
        if let Some(wait) = self.hosts.wait_to_redial(down.machine) {
            self.alarms
                .schedule(self.now + wait, Alarm::Redial(down.machine));
        }
    }

    /// Where tasks stand a connection is kept over which their ends can come, and where some are to be cut, one for that.
    fn redial(&mut self, machine: NodeId) {
        self.hosts.keep_link(machine, self.bounds, &mut self.out);
    }

    /// Tests silent connections of a machine on which tasks stand.
    fn watch(&mut self, machine: NodeId) {
        let Some(watched) = self.hosts.watch(machine, self.now, self.bounds) else {
            // Danger: a set-up may name any host; one that no list has named is forgotten with its last task.
            return self.hosts.forget(machine);
        };
        self.alarms.schedule(
            self.now + self.bounds.health_check_interval,
            Alarm::Watch(machine),
        );
        for link in watched.test {
            self.test(link);
        }
        self.out.extend(watched.hang.into_iter().map(Output::Close));
        // Danger: no descriptor was free when its connection was to be dialled anew, and nothing else would ask again.
        self.redial(machine);
        if watched.lost {
            self.lose_sight(machine);
        }
    }

    /// A machine that left keeps nothing.
    fn forget(&mut self, machine: NodeId) {
        if !self.hosts.is_gone(machine) {
            return;
        }
        self.lose(machine, Micros::MAX);
        let links = self.hosts.links_of(machine);
        self.out.extend(links.into_iter().map(Output::Close));
        self.hosts.forget(machine);
    }

    // ---- Words of hosts ----

    fn on_host(&mut self, link: NodeConnectionId, message: &Message) {
        let Some(machine) = self.hosts.heard(link, self.now) else {
            return;
        };
        match message.kind {
            MessageKind::Tested => self.on_tested(link, message.id),
            MessageKind::Answer | MessageKind::Release | MessageKind::Note => {
                self.on_word(link, machine, message)
            }
            // Nothing that a host would send, or nothing that means anything.
            MessageKind::SetUp
            | MessageKind::Progress
            | MessageKind::Test
            | MessageKind::Move
            | MessageKind::Heard => {}
        }
    }

    /// A host has read all that was written on a connection before a test. Words in doubt that it said over another
    /// one before are not of attempts on this one.
    fn on_tested(&mut self, link: NodeConnectionId, test: u64) {
        for request in self.hosts.read(link, test) {
            self.is_cut(request);
        }
        for (asked, request) in self.hosts.passed(link, test) {
            if self.in_doubt(request, link, asked)
                && let Some(ask) = self.asks.get_mut(&request)
            {
                ask.doubtful = None;
            }
        }
    }

    fn in_doubt(&self, request: RequestId, link: NodeConnectionId, test: u64) -> bool {
        let doubt = self.asks.get(&request).and_then(|a| a.doubtful.as_ref());
        doubt.is_some_and(|d| d.asked == Some((link, test)))
    }

    fn on_word(&mut self, link: NodeConnectionId, machine: NodeId, message: &Message) {
        let ask = self
            .wires
            .get(&message.id)
            .and_then(|r| Some((*r, self.asks.get(r)?)));
        let meant = ask.map(|(request, ask)| (request, words::meant(ask, link, machine, message)));
        match meant {
            Some((request, Meant::Of(attempt))) => self.word(request, attempt, machine, message),
            Some((request, Meant::Doubtful(attempt))) => self.doubt(request, attempt, message),
            Some((_, Meant::Nobodys)) | None => self.counters.stray += 1,
        }
    }

    /// A word of a host on the attempt that is out or that placed its task.
    fn word(&mut self, request: RequestId, attempt: u16, machine: NodeId, message: &Message) {
        match message.kind {
            MessageKind::Answer => self.on_answer(request, attempt, machine, message),
            MessageKind::Release => self.on_release(request, attempt, machine, message),
            _ => {
                if let Some(note) = read::note(message) {
                    self.events.push(Event::TaskUpdated {
                        request,
                        attempt,
                        node: machine,
                        update: note,
                    });
                }
            }
        }
    }

    /// An end came over another connection than that of the attempt it may be about, and may be an earlier one's.
    fn doubt(&mut self, request: RequestId, attempt: u16, message: &Message) {
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        if message.kind != MessageKind::Release || ask.doubtful.is_some() {
            return;
        }
        ask.doubtful = Some(Doubt {
            word: message.clone(),
            asked: None,
        });
        if !ask.life.is_open() {
            self.clear_up(request, attempt);
        }
    }

    /// Of two connections, the word on one may arrive before what was said on the other. It is of the attempt that
    /// placed the task only where the host has that one's connection no more: that is asked there.
    fn clear_up(&mut self, request: RequestId, attempt: u16) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let Some(link) = ask.tries.get(usize::from(attempt)).map(|t| t.link) else {
            return;
        };
        if self.hosts.is_up(link) {
            let test = self.test(link);
            if let Some(doubt) = self
                .asks
                .get_mut(&request)
                .and_then(|a| a.doubtful.as_mut())
            {
                doubt.asked = Some((link, test));
            }
            self.hosts.doubted(link, test, request);
            self.alarms.schedule(
                self.now + self.bounds.ambiguity_timeout,
                Alarm::Doubt(request, link, test),
            );
        } else {
            self.believe(request);
        }
    }

    /// Nothing was heard that clears a doubt. Dropped, an end would be told to nobody, for its host does not say it
    /// again; so it is taken for true, and made true where it was not.
    fn believe(&mut self, request: RequestId) {
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        let Some(Doubt { word, .. }) = ask.doubtful.take() else {
            return;
        };
        let RequestState::Placed(attempt) = ask.life else {
            return;
        };
        let Some(machine) = ask.tries.get(usize::from(attempt)).map(|t| t.machine) else {
            return;
        };
        self.word(request, attempt, machine, &word);
    }

    fn on_answer(&mut self, request: RequestId, attempt: u16, machine: NodeId, message: &Message) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        // A second copy says nothing new.
        let RequestState::Dispatched(_) = ask.life else {
            return;
        };
        let Some(description) = message.get(code::DESCRIPTION) else {
            // It has no description to be passed on: the task may stand, but cannot be answered for.
            let (link, wire) = (ask.tries[usize::from(attempt)].link, ask.wire);
            self.release(link, wire);
            self.end_try(request, attempt, Stage::Loose, false);
            self.ended(
                request,
                attempt,
                machine,
                AttemptOutcome::Lost,
                EndReason::Unknown,
                false,
                None,
            );
            return;
        };
        let (owner, wire, early) = (ask.owner, ask.wire, ask.doubtful.is_some());
        let answer = Message::new(MessageKind::Answer, wire).with(code::DESCRIPTION, description);
        self.out.push(Output::SendToClient(owner, answer.encode()));
        self.counters.placed += 1;
        self.place(request, attempt, machine);
        if early {
            self.clear_up(request, attempt);
        }
    }

    /// The attempt that is out stands from now on, and its owner has the final answer.
    fn place(&mut self, request: RequestId, attempt: u16, machine: NodeId) {
        let Some(ask) = self.asks.get_mut(&request) else {
            return;
        };
        let stepped = ask.life.transition_to(RequestState::Placed(attempt));
        debug_assert!(stepped.is_ok());
        (ask.placed_at, ask.body) = (self.now, None);
        let (owner, task) = (ask.owner, ask.task);
        let t = &mut ask.tries[usize::from(attempt)];
        t.stage = Stage::Settled;
        self.hosts.off(t.link, request, attempt);
        self.open -= 1;
        if let Some(owner) = self.owners.get_mut(&owner) {
            owner.open.remove(&request);
        }
        self.events.push(Event::Placed {
            request,
            attempt,
            node: machine,
        });
        self.stands_at(machine, request, task);
    }

    /// The end of a task came before its answer, which is late or was lost on its way: it stood, and is over. Danger: sent
    /// on, a second copy stands under an id whose task is over, and nobody tells its owner so; and what has run to its
    /// end runs once more.
    fn over_unanswered(
        &mut self,
        request: RequestId,
        attempt: u16,
        machine: NodeId,
        outcome: AttemptOutcome,
        message: &Message,
    ) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let failed = Message::release(ask.wire, cause::CUT).encode();
        self.out.push(Output::SendToClient(ask.owner, failed));
        self.counters.failed += 1;
        self.place(request, attempt, machine);
        self.finish(
            request,
            attempt,
            outcome,
            read::why(message),
            read::load(message, &self.shape),
        );
    }

    fn on_release(&mut self, request: RequestId, attempt: u16, machine: NodeId, message: &Message) {
        let Some(ask) = self.asks.get(&request) else {
            return;
        };
        let (why, load) = (read::why(message), read::load(message, &self.shape));
        let cause = message.cause();
        if ask.life.is_open()
            && cause == Some(cause::ORDINARY)
            && message.get(code::DESCRIPTION).is_some()
        {
            // A short task has come to its end before its start was told: one word brings the description and the
            // end. Its key is known from now on, so that each further try would be discarded.
            self.on_answer(request, attempt, machine, message);
            self.tell_end(request, cause::ORDINARY);
            self.finish(request, attempt, AttemptOutcome::Completed, why, load);
            return;
        }
        if ask.life.is_open() {
            let outcome = match cause {
                Some(cause::FULL) => AttemptOutcome::Rejected,
                Some(cause::ERROR) => AttemptOutcome::Error,
                Some(cause::MOOT) => AttemptOutcome::NotSent,
                _ => AttemptOutcome::Lost,
            };
            let (link, wire) = (ask.tries[usize::from(attempt)].link, ask.wire);
            let rival = words::has_rival(ask, attempt);
            if let Some(outcome) = read::end_of_what_stood(message).filter(|_| !rival) {
                return self.over_unanswered(request, attempt, machine, outcome, message);
            }
            let mut stage = Stage::Settled;
            if outcome == AttemptOutcome::Lost && rival {
                // The cut may be that of an earlier attempt at the same host, and this one may go on there.
                stage = Stage::Loose;
                self.release(link, wire);
            }
            self.end_try(request, attempt, stage, false);
            self.ended(request, attempt, machine, outcome, why, false, load);
            return;
        }
        let outcome = match cause {
            Some(cause::ORDINARY) => AttemptOutcome::Completed,
            Some(cause::CALLED_OFF) => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Lost,
        };
        let rival = words::has_rival(ask, attempt);
        if ask.cut.is_some() {
            // Nobody waits for this any more. With a rival it may be that one's end: the cut decides.
            if !rival {
                self.finish(request, attempt, outcome, why, load);
            }
            return;
        }
        self.tell_end(request, cause.unwrap_or(cause::CUT));
        match rival {
            // Whichever attempt that was, nothing may go on there under an id that its owner is told is over.
            true => self.cut(request, outcome, cause::ORDINARY),
            false => self.finish(request, attempt, outcome, why, load),
        }
    }
}
