//! The hollow instance, and the owners, hosts and journal service that it talks to.

use super::words;
use crate::load::{BEGIN, Cluster, Play, SECOND, Timings, Word};
use crate::row::{At, Basis, Measure};
use anyhow::{Context, Result};
use bytes::{Bytes, BytesMut};
use peppercove::{Micros, Scheduler, ServiceId};
use peppercove_core::Timers;
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_platform::endpoint_watch::{EndpointEvent, LineDecoder, WatchLine, max_line_bytes};
use peppercove_platform::wire::{Message, MessageKind, cause, code, decode};
use peppercove_platform::{Bounds, ClientId, Input, NodeConnectionId, Output, PlatformEngine};
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Bytes of the feed read at a time.
const AT_ONCE: usize = 64 << 10;
/// One way over the network, microseconds.
const AWAY: Micros = 200;
/// Time without starts or changes, microseconds of simulated time.
const REST: Micros = 3 * SECOND;

/// What comes later in simulated time.
#[derive(Debug)]
enum Happens {
    Start,
    Change,
    Up(NodeConnectionId),
    Word(NodeConnectionId, Message),
    Told,
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

/// A desk, and the owners, hosts and journal service that it talks to.
pub struct Rig {
    desk: PlatformEngine<SubsetScheduler>,
    /// Longest line of the feed, bytes.
    longest: usize,
    cluster: Cluster,
    /// What was noted.
    pub timings: Timings,
    agenda: Timers<Happens>,
    now: Micros,
    pos: u64,
    next: u64,
    started: u64,
    fresh: bool,
    services: BTreeMap<u64, ServiceId>,
    /// Tasks that stand, oldest first: the id they go by, and the host.
    standing: VecDeque<(u64, u64)>,
    links: BTreeMap<u64, NodeConnectionId>,
    hosts: BTreeMap<NodeConnectionId, u64>,
    traffic: BTreeMap<&'static str, Traffic>,
    turned_away: u64,
}

impl Rig {
    /// A desk that has just started.
    ///
    /// # Errors
    /// As [`Timings::new`].
    pub fn new(at: &At) -> Result<Rig> {
        let cluster = Cluster::new(at);
        let config = words::config(&cluster);
        let bounds = Bounds::for_config(&config);
        let module = Scheduler::new(config.settings.clone(), config.seed);
        let module = NodeSubset::new(module, &config.settings);
        Ok(Rig {
            longest: max_line_bytes(config.limits.memory_mb),
            desk: PlatformEngine::new(module, config.settings, config.shape, bounds, config.seed),
            cluster,
            timings: Timings::new()?,
            agenda: Timers::default(),
            now: BEGIN,
            pos: 0,
            next: 0,
            started: 0,
            fresh: false,
            services: BTreeMap::new(),
            standing: VecDeque::with_capacity(at.standing as usize),
            links: BTreeMap::new(),
            hosts: BTreeMap::new(),
            traffic: BTreeMap::new(),
            turned_away: 0,
        })
    }

    fn count(&mut self, kind: &'static str, bytes: usize) {
        let traffic = self.traffic.entry(kind).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// Hands the desk what `read` makes of bytes, both within the time of this kind.
    fn input(&mut self, kind: &'static str, read: impl FnOnce() -> Result<Input>) -> Result<()> {
        let (outputs, nanos) = self
            .timings
            .take(|| Ok(self.desk.handle(self.now, read()?)));
        self.timings.note(kind, nanos);
        outputs.map(|outputs: Vec<Output>| {
            outputs
                .into_iter()
                .for_each(|output| self.carry_out(output))
        })
    }

    fn message(
        &mut self,
        kind: &'static str,
        message: &Message,
        to: impl FnOnce(Message) -> Input,
    ) -> Result<()> {
        let mut frame = BytesMut::from(&message.encode()[..]);
        self.input(kind, || {
            Ok(to(decode(&mut frame)?.context("a whole message")?))
        })
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::SendToClient(_, frame) => {
                self.count("owner_out", frame.len());
                // Type and cause of the platform's page; a refusal or failure is a final answer without a task.
                if frame.get(2) == Some(&(MessageKind::Release as u8))
                    && frame.last() != Some(&cause::ORDINARY)
                {
                    self.turned_away += 1;
                }
            }
            Output::SendToNode(link, frame) | Output::Cancel(link, frame) => {
                self.at_host(link, &frame)
            }
            Output::Connect(link, address) => {
                self.hosts.insert(link, words::host_of(address));
                self.agenda.schedule(self.now + AWAY * 3, Happens::Up(link));
            }
            Output::WatchEndpoints => self.agenda.schedule(self.now + AWAY * 4, Happens::Told),
            // No connection breaks here, and none is one too many.
            Output::Close(_) | Output::Log(_) => {}
        }
    }

    fn at_host(&mut self, link: NodeConnectionId, frame: &Bytes) {
        let message = decode(&mut BytesMut::from(&frame[..])).ok().flatten();
        let (Some(message), Some(&host)) = (message, self.hosts.get(&link)) else {
            return;
        };
        self.count(
            if message.kind == MessageKind::Test {
                "test_out"
            } else {
                "host_out"
            },
            frame.len(),
        );
        let (after, word) = match message.kind {
            MessageKind::Test => (
                AWAY,
                Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]),
            ),
            MessageKind::SetUp => {
                let service = self.services.get(&message.id).copied().unwrap_or_default();
                let (took, word) = self.cluster.answer(peppercove::NodeId(host), service);
                (took, self.word(host, message.id, word))
            }
            _ => return,
        };
        self.agenda
            .schedule(self.now + AWAY + after, Happens::Word(link, word));
    }

    fn word(&mut self, host: u64, id: u64, word: Word) -> Message {
        match word {
            Word::Runs => {
                Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, &words::DESCRIPTION)
            }
            Word::Refused => self.reported(
                host,
                Message::release(id, cause::FULL).with(code::NOTE, b"no_cores"),
            ),
            Word::Error => self.reported(host, Message::release(id, cause::ERROR)),
        }
    }

    fn reported(&mut self, host: u64, message: Message) -> Message {
        let [cores, memory] = self.cluster.free(host);
        message.with(
            code::REPORT,
            format!("x0:{cores:.2};x1:{memory:.2};cpu:0.5;waiting:0").as_bytes(),
        )
    }

    fn heard(&mut self, link: NodeConnectionId, message: &Message) -> Result<()> {
        let kind = match (message.kind, message.cause()) {
            (MessageKind::Tested, _) => "tested",
            (MessageKind::Answer, _) => "answer",
            (_, Some(cause::ORDINARY)) => "end",
            _ => "refused",
        };
        self.count(
            if kind == "tested" {
                "test_in"
            } else {
                "host_in"
            },
            message.encode().len(),
        );
        if kind == "answer" {
            self.services.remove(&message.id);
            let host = self.hosts.get(&link).copied().unwrap_or(0);
            self.standing.push_back((message.id, host));
        }
        self.message(kind, message, |message| Input::NodeMessage(link, message))
    }

    // ---- The list ----

    fn event(&mut self, full: bool, hosts: impl Iterator<Item = u64>) -> String {
        self.pos += 1;
        words::event(&mut self.cluster, self.pos, full, hosts)
    }

    /// The text of an event with all hosts.
    pub fn whole_list(&mut self) -> String {
        let machines = self.cluster.at.machines;
        self.event(true, 0..machines)
    }

    /// An event of the list comes. The first one is the configuration's.
    ///
    /// # Errors
    /// The feed can't read it.
    pub fn list(&mut self, kind: &'static str, text: &str) -> Result<()> {
        self.count(kind, text.len());
        let mut lines = LineDecoder::new(self.longest);
        let mut read = || -> Result<Vec<EndpointEvent>> {
            let (mut buffer, mut entries) = (BytesMut::new(), Vec::new());
            for part in text.as_bytes().chunks(AT_ONCE) {
                buffer.extend_from_slice(part);
                if let Some(WatchLine::Event(entry)) = lines.next(&mut buffer)? {
                    entries.push(entry);
                }
            }
            Ok(entries)
        };
        self.input(kind, || {
            let entries = read()?;
            Ok(if kind == "first_list" {
                Input::Start(entries)
            } else {
                Input::EndpointEvents(entries)
            })
        })
    }

    /// The line of one host changes.
    ///
    /// # Errors
    /// As [`Rig::list`].
    pub fn change(&mut self) -> Result<()> {
        let host = self.cluster.any();
        let text = self.event(false, std::iter::once(host));
        self.list("list_change", &text)
    }

    // ---- Owners ----

    fn new_id(&mut self) -> u64 {
        self.next += 1;
        words::wire_id(self.next)
    }

    fn owner(&self, n: u64) -> ClientId {
        ClientId(1 + n % self.cluster.at.connections.max(1))
    }

    /// Tasks that stand already are handed over, all on one connection.
    ///
    /// # Errors
    /// A message can't be read.
    pub fn hand_over(&mut self) -> Result<()> {
        for n in 0..self.cluster.at.standing {
            let (id, host) = (self.new_id(), self.cluster.machine_of(n));
            let message = words::set_up(id, &self.cluster.standing(n), Some(host));
            self.standing.push_back((id, host));
            self.message("standing", &message, |message| {
                Input::ClientMessage(ClientId(1), message)
            })?;
        }
        Ok(())
    }

    /// Each connection hands over one more time a task that stands, so that it is known.
    ///
    /// # Errors
    /// A message can't be read.
    pub fn connect(&mut self) -> Result<()> {
        let open = self.cluster.at.connections as usize;
        self.input("owners", || Ok(Input::ClientCount(open)))?;
        for n in 1..self.cluster.at.connections {
            let index = n % self.cluster.at.standing.max(1);
            let id = self.new_id();
            let Some(task) = self.standing.get_mut(index as usize) else {
                return Ok(());
            };
            task.0 = id;
            let message = words::set_up(id, &self.cluster.standing(index), Some(task.1));
            self.message("renamed", &message, |message| {
                Input::ClientMessage(ClientId(1 + n), message)
            })?;
        }
        Ok(())
    }

    fn start(&mut self) -> Result<()> {
        let (id, owner) = (self.new_id(), self.owner(self.next));
        let ask = self.cluster.start(id, self.fresh);
        let message = words::set_up(id, &ask, None);
        self.services.insert(id, ask.service);
        self.started += 1;
        self.count("owner_in", message.encode().len());
        self.message("set_up", &message, |message| {
            Input::ClientMessage(owner, message)
        })?;
        while self.desk.has_queued_requests() {
            self.input("turn", || Ok(Input::AdmitNext))?;
        }
        // One comes and one ends: as many stand as before.
        while self.standing.len() as u64 > self.cluster.at.standing {
            let Some((id, host)) = self.standing.pop_front() else {
                break;
            };
            let Some(&link) = self.links.get(&host) else {
                continue;
            };
            let end = self.reported(host, Message::release(id, cause::ORDINARY));
            self.heard(link, &end)?;
        }
        Ok(())
    }

    // ---- Time ----

    fn happen(&mut self, happens: Happens) -> Result<()> {
        match happens {
            Happens::Start => {
                let wait = self.cluster.next_start();
                self.agenda.schedule(self.now + wait, Happens::Start);
                self.start()
            }
            Happens::Change => {
                self.agenda.schedule(
                    self.now + self.cluster.next_change().unwrap_or(Micros::MAX / 2),
                    Happens::Change,
                );
                self.change()
            }
            Happens::Up(link) => {
                let host = self.hosts.get(&link).copied().unwrap_or(0);
                self.links.insert(host, link);
                self.input("link_up", || Ok(Input::NodeConnected(link)))
            }
            Happens::Word(link, message) => self.heard(link, &message),
            Happens::Told => self.input("told", || Ok(Input::EndpointEvents(Vec::new()))),
        }
    }

    /// Plays until so much simulated time has passed, so many more tasks have come, or wall time is over.
    ///
    /// # Errors
    /// A message can't be read.
    pub fn play(&mut self, span: Micros, starts: u64, until: Option<Instant>) -> Result<()> {
        let (end, last) = (
            self.now.saturating_add(span),
            self.started.saturating_add(starts),
        );
        while self.started < last && until.is_none_or(|until| Instant::now() < until) {
            let next = self
                .agenda
                .next_deadline()
                .into_iter()
                .chain(self.desk.next_wake())
                .min();
            let Some(at) = next.filter(|at| *at <= end) else {
                self.now = end;
                return Ok(());
            };
            self.now = self.now.max(at);
            match self.agenda.pop_due(self.now) {
                Some(happens) => self.happen(happens)?,
                None => self.input("tick", || Ok(Input::Tick(at)))?,
            }
        }
        Ok(())
    }

    /// Tasks and changes come from now on; the first ones all of new services.
    ///
    /// # Errors
    /// A message can't be read.
    pub fn warm_up(&mut self, play: &Play) -> Result<()> {
        self.agenda.schedule(self.now + 1, Happens::Start);
        self.agenda.schedule(
            self.now + self.cluster.next_change().unwrap_or(Micros::MAX / 2),
            Happens::Change,
        );
        self.fresh = true;
        self.play(
            Micros::MAX / 4,
            play.warm,
            Some(Instant::now() + play.bound * 4),
        )?;
        self.fresh = false;
        self.traffic.clear();
        self.turned_away = 0;
        Ok(())
    }

    /// What the desk holds, and the connections that are open.
    pub fn held(&self) -> Vec<Measure> {
        let open = self.cluster.at.connections + self.links.len() as u64;
        vec![
            Measure::counted("held_hosts", "count", self.desk.known_nodes() as f64),
            Measure::counted("held_standing", "count", self.desk.running_tasks() as f64),
            Measure::counted("held_open", "count", self.desk.open_requests() as f64),
            Measure::counted("held_links", "count", self.links.len() as f64),
            Measure::counted("descriptors", "count", open as f64),
        ]
    }

    fn traffic(&self, kind: &str) -> Traffic {
        self.traffic.get(kind).copied().unwrap_or_default()
    }

    /// Messages and bytes at rest, a second of simulated time, and for each connection to a host.
    ///
    /// # Errors
    /// A message can't be read.
    pub fn rest(&mut self) -> Result<Vec<Measure>> {
        self.traffic.clear();
        self.timings.next_window(true);
        self.play(REST, u64::MAX, None)?;
        let seconds = REST as f64 / SECOND as f64;
        let [out, back] = ["test_out", "test_in"].map(|kind| self.traffic(kind));
        let (messages, bytes) = (
            (out.messages + back.messages) as f64,
            (out.bytes + back.bytes) as f64,
        );
        let links = self.links.len().max(1) as f64;
        let mut measures = vec![
            Measure::counted("rest_messages", "messages/s", messages / seconds),
            Measure::counted("rest_bytes", "bytes/s", bytes / seconds),
            Measure::counted(
                "rest_messages_link",
                "messages/s",
                messages / seconds / links,
            ),
            Measure::counted("rest_bytes_link", "bytes/s", bytes / seconds / links),
        ];
        let spent = self.timings.total_micros() / seconds;
        measures.extend(Measure::of("rest_time", "us/s", Basis::Timed, vec![spent]));
        measures.extend(Measure::of(
            "rest_time_link",
            "us/s",
            Basis::Timed,
            vec![spent / links],
        ));
        Ok(measures)
    }

    /// Messages and bytes for each start, by way, and of a list change.
    pub fn counted(&self) -> Vec<Measure> {
        let starts = self.traffic("owner_in").messages.max(1);
        let mut measures = Vec::new();
        for way in ["owner_in", "owner_out", "host_out", "host_in"] {
            let Traffic { messages, bytes } = self.traffic(way);
            let each = |measure: &str, unit, figure| Measure {
                samples: starts,
                ..Measure::counted(
                    &format!("{way}_{measure}"),
                    unit,
                    figure as f64 / starts as f64,
                )
            };
            measures.extend([
                each("messages", "messages", messages),
                each("bytes", "bytes", bytes),
            ]);
        }
        let change = self.traffic("list_change");
        let bytes = change.bytes as f64 / change.messages.max(1) as f64;
        measures.push(Measure {
            samples: change.messages,
            ..Measure::counted("list_change_bytes", "bytes", bytes)
        });
        let part = self.turned_away as f64 / starts as f64;
        measures.push(Measure {
            samples: starts,
            ..Measure::counted("turned_away", "share", part)
        });
        measures
    }
}
