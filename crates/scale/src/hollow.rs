//! One scheduler of the platform among hosts and an owner without sockets, in simulated time: counts what crosses its
//! wires. Hosts answer each set-up, and close no connection by themselves.

use crate::platform::{address, config, hosts, set_up};
use crate::row::At;
use anyhow::{Result, ensure};
use bytes::BytesMut;
use peppercove::{Micros, Scheduler};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_platform::config::Config;
use peppercove_platform::wire::{Message, MessageKind, cause, code, decode};
use peppercove_platform::{
    Bounds, ClientId, Disconnect, Input, NodeConnectionId, Output, PlatformEngine,
};
use std::collections::BTreeMap;

/// From a host's answer to the end of the task, microseconds: shorter than the silence after which a connection with a
/// task is tested.
const LIFE: Micros = 500_000;
/// From a set-up's arrival at a host to its answer, and from a dial to its connection.
const SOON: Micros = 500;
/// Bytes of a description, an owner's and a host's.
pub const DESCRIPTION: usize = 200;
const OWNER: ClientId = ClientId(1);

/// Messages of a wire, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What crossed the wires of one scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crossed {
    /// Tasks asked for, each once.
    pub asked: u64,
    /// Tasks answered by a host.
    pub placed: u64,
    /// Ends told to the owner.
    pub ended: u64,
    /// To and from the owner.
    pub owner: Traffic,
    /// To and from hosts.
    pub hosts: Traffic,
    /// Tests of connections among them.
    pub tests: u64,
    /// Connections opened to hosts.
    pub dials: u64,
    /// Connections to hosts that are open at the end.
    pub links: u64,
}

struct Play {
    /// How long tasks stand; none is for good.
    life: Option<Micros>,
    desk: PlatformEngine<SubsetScheduler>,
    now: Micros,
    due: BTreeMap<(Micros, u64), Input>,
    next: u64,
    /// Open connections, and bytes written to each.
    links: BTreeMap<NodeConnectionId, u64>,
    crossed: Crossed,
}

/// Asks one of `at.schedulers` schedulers for `starts` tasks, `at.starts` a second, and plays until all have ended.
pub fn play(at: &At, starts: u64) -> Result<Crossed> {
    let mut play = Play::begin(at, Some(LIFE))?;
    play.ask(at, starts);
    play.until(play.now + starts * 1_000_000 / at.starts.max(1) + 6 * LIFE);
    let Crossed {
        asked,
        placed,
        ended,
        ..
    } = play.crossed;
    ensure!(
        asked == starts && ended == placed,
        "{asked} of {starts} asked, {placed} placed, {ended} ended"
    );
    Ok(play.over())
}

/// Brings `at.standing` tasks to stand, and counts what crosses during so many seconds in which nothing is asked.
pub fn stand(at: &At, seconds: u64) -> Result<Crossed> {
    let mut play = Play::begin(at, None)?;
    let at = At { starts: 100, ..*at };
    play.ask(&at, at.standing);
    play.until(play.now + at.standing * 1_000_000 / at.starts + 5_000_000);
    let Crossed { placed, ended, .. } = play.crossed;
    ensure!(
        placed == at.standing && ended == 0,
        "{placed} of {} stand, {ended} ended",
        at.standing
    );
    play.crossed = Crossed::default();
    play.until(play.now + seconds * 1_000_000);
    Ok(play.over())
}

impl Play {
    fn begin(at: &At, life: Option<Micros>) -> Result<Play> {
        let config = Config::parse(&config(at, address(0), &hosts(0..at.machines)), None, None)?;
        let bounds = Bounds::for_config(&config);
        let module = NodeSubset::new(
            Scheduler::new(config.settings.clone(), config.seed),
            &config.settings,
        );
        let desk = PlatformEngine::new(module, config.settings, config.shape, bounds, config.seed);
        let (due, links, crossed) = (BTreeMap::new(), BTreeMap::new(), Crossed::default());
        let mut play = Play {
            life,
            desk,
            now: 1_000_000,
            due,
            next: 0,
            links,
            crossed,
        };
        play.input(Input::Start(config.known.entries));
        Ok(play)
    }

    fn ask(&mut self, at: &At, starts: u64) {
        for i in 1..=starts {
            let message = set_up(at, i, DESCRIPTION);
            self.later(
                i * 1_000_000 / at.starts.max(1),
                Input::ClientMessage(OWNER, message),
            );
        }
    }

    fn over(mut self) -> Crossed {
        self.crossed.links = self.links.len() as u64;
        self.crossed
    }

    fn later(&mut self, after: Micros, input: Input) {
        self.next += 1;
        self.due.insert((self.now + after, self.next), input);
    }

    fn until(&mut self, end: Micros) {
        loop {
            let due = self.due.first_key_value().map(|(key, _)| key.0);
            let wake = self.desk.next_wake();
            let Some(at) = due.into_iter().chain(wake).min().filter(|at| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            match self.due.first_entry().filter(|e| e.key().0 <= self.now) {
                Some(entry) => {
                    let input = entry.remove();
                    self.heard(&input);
                    self.input(input);
                }
                None => self.input(Input::Tick(self.now)),
            }
            while self.desk.has_queued_requests() {
                self.input(Input::AdmitNext);
            }
        }
    }

    fn heard(&mut self, input: &Input) {
        match input {
            Input::ClientMessage(_, message) => {
                self.crossed.asked += 1;
                self.crossed.owner.add(message.encode().len());
            }
            Input::NodeMessage(link, message) if self.links.contains_key(link) => {
                self.crossed.hosts.add(message.encode().len());
            }
            _ => {}
        }
    }

    fn input(&mut self, input: Input) {
        for output in self.desk.handle(self.now, input) {
            match output {
                Output::SendToClient(_, frame) => {
                    self.crossed.owner.add(frame.len());
                    match decode(&mut BytesMut::from(&frame[..])) {
                        Ok(Some(m)) if m.kind == MessageKind::Answer => self.crossed.placed += 1,
                        Ok(Some(m))
                            if m.kind == MessageKind::Release
                                && m.cause() == Some(cause::ORDINARY) =>
                        {
                            self.crossed.ended += 1;
                        }
                        _ => {}
                    }
                }
                Output::Connect(link, _) => {
                    self.crossed.dials += 1;
                    self.links.insert(link, 0);
                    self.later(SOON, Input::NodeConnected(link));
                }
                Output::SendToNode(link, frame) | Output::Cancel(link, frame) => {
                    self.at_host(link, &frame)
                }
                Output::Close(link) => {
                    if let Some(written) = self.links.remove(&link) {
                        self.later(
                            SOON,
                            Input::NodeDisconnected(
                                link,
                                Disconnect::Broken {
                                    bytes_written: written,
                                    is_clean: true,
                                },
                            ),
                        );
                    }
                }
                Output::WatchEndpoints | Output::Log(_) => {}
            }
        }
    }

    fn at_host(&mut self, link: NodeConnectionId, frame: &[u8]) {
        let Some(written) = self.links.get_mut(&link) else {
            return;
        };
        *written += frame.len() as u64;
        self.crossed.hosts.add(frame.len());
        let Ok(Some(message)) = decode(&mut BytesMut::from(frame)) else {
            return;
        };
        match message.kind {
            MessageKind::SetUp => {
                let answer = Message::new(MessageKind::Answer, message.id);
                let answer = answer.with(code::DESCRIPTION, &[b'h'; DESCRIPTION]);
                self.later(SOON, Input::NodeMessage(link, answer));
                if let Some(life) = self.life {
                    let end = Message::release(message.id, cause::ORDINARY);
                    self.later(SOON + life, Input::NodeMessage(link, end));
                }
            }
            MessageKind::Test => {
                self.crossed.tests += 1;
                let tested = Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]);
                self.later(SOON, Input::NodeMessage(link, tested));
            }
            _ => {}
        }
    }
}
