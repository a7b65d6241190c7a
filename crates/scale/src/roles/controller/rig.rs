//! The hollow controller, and the clients, nodes and node list that it talks to.

use super::words::{address, config, encoded, host_of, name, submission};
use crate::load::{BEGIN, Cluster, Play, SECOND, Timings, Word};
use crate::row::{At, Basis, Measure};
use anyhow::{Context, Result};
use bytes::{Bytes, BytesMut};
use peppercove::{Micros, NodeId, Scheduler};
use peppercove_config::Config;
use peppercove_core::nodes::node_id_of;
use peppercove_core::{Core, Input, Output, Timers};
use peppercove_exchange::{
    DecodedMessage, Handshake, HandshakeProgress, core_limits, decode_message, encode_output,
    node_list_input, work_of,
};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_protocol::VERSION;
use peppercove_protocol::codec::{MAX_LIST_FRAME_BYTES, MAX_NODE_FRAME_BYTES, MessageCodec};
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope, ToList};
use peppercove_protocol::node::{
    AttemptId, FromNode, NodeLoad, NodeReason, ProcessIdentity, TaskExit, ToNode, Usage,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;
use tokio_util::codec::Decoder;

/// One way over the network, microseconds.
const AWAY: Micros = 200;
/// Time without starts or changes, microseconds of simulated time.
const REST: Micros = 3 * SECOND;
/// Life of the controller, and the one before, whose tasks stand.
const LIFE: u64 = 2;
/// Most nodes that hold tasks when the links come up: each link goes through all that stand, and at the largest sizes
/// the set-up would take minutes.
const HOLDERS: u64 = 2_000;

/// What comes later in simulated time.
#[derive(Debug)]
enum Happens {
    Start,
    Change,
    Up(u64),
    News(u64, Box<FromNode>),
}

/// A controller's core, and all that talks to it.
pub struct Rig {
    core: Core<SubsetScheduler>,
    config: Config,
    cluster: Cluster,
    /// What was noted.
    pub timings: Timings,
    agenda: Timers<Happens>,
    now: Micros,
    generation: u64,
    next: u64,
    started: u64,
    fresh: bool,
    /// Tasks that stand, oldest first, and their nodes.
    standing: VecDeque<(AttemptId, u64)>,
    /// Tasks of the earlier life, by the node that has yet to tell of them.
    held: BTreeMap<u64, Vec<u64>>,
    links: u64,
    /// Messages and bytes by kind.
    traffic: BTreeMap<&'static str, (u64, u64)>,
}

impl Rig {
    /// A controller that has just started.
    ///
    /// # Errors
    /// None that depends on the sizes.
    pub fn new(at: &At) -> Result<Rig> {
        let cluster = Cluster::new(at).held_by(HOLDERS);
        let config = config(&cluster)?;
        let module = NodeSubset::new(
            Scheduler::new(config.scheduler.clone(), 1),
            &config.scheduler,
        );
        let mut held: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for n in 0..at.standing {
            held.entry(cluster.machine_of(n)).or_default().push(n);
        }
        Ok(Rig {
            core: Core::new(module, core_limits(&config, LIFE)),
            config,
            cluster,
            timings: Timings::new()?,
            agenda: Timers::default(),
            now: BEGIN,
            generation: 0,
            next: 0,
            started: 0,
            fresh: false,
            standing: VecDeque::with_capacity(at.standing as usize),
            held,
            links: 0,
            traffic: BTreeMap::new(),
        })
    }

    fn count(&mut self, kind: &'static str, messages: usize, bytes: usize) {
        let traffic = self.traffic.entry(kind).or_default();
        traffic.0 += messages as u64;
        traffic.1 += bytes as u64;
    }

    /// Hands the core what `read` makes of bytes, both within the time of this kind.
    fn input(&mut self, kind: &'static str, read: impl FnOnce() -> Result<Input>) -> Result<()> {
        let (outputs, nanos) = self
            .timings
            .take(|| Ok(self.core.handle(self.now, read()?)));
        self.timings.note(kind, nanos);
        let outputs: Result<Vec<Output>> = outputs;
        outputs?
            .into_iter()
            .try_for_each(|output| self.carry_out(&output))
    }

    fn carry_out(&mut self, output: &Output) -> Result<()> {
        match output {
            Output::Connect { node, .. } => {
                let node = host_of(*node);
                // Those that hold nothing come first: their links would go through all that stands as well.
                let after = if self.held.contains_key(&node) {
                    SECOND / 2
                } else {
                    AWAY * 3
                };
                self.agenda.schedule(self.now + after, Happens::Up(node));
            }
            Output::Journal(entries) => self.count("journal", entries.len(), 0),
            Output::Accepted { .. } | Output::Answered { .. } => self.count("client_out", 1, 0),
            Output::Rejected { .. } => self.count("turned_away", 1, 0),
            Output::Finished(job) => {
                self.count("client_out", 1, 0);
                let job = *job;
                return self.input("dispose", || Ok(Input::Dispose(job)));
            }
            _ => return self.send(output),
        }
        Ok(())
    }

    /// What is for a node goes there.
    fn send(&mut self, output: &Output) -> Result<()> {
        let (sent, nanos) = self.timings.take(|| {
            let job = |job| self.core.jobs().get(job);
            let Some((node, message)) = encode_output(&self.config, 0, output, job) else {
                return Ok(None);
            };
            Ok(Some((
                node,
                encoded(&message, MAX_NODE_FRAME_BYTES)?,
                message,
            )))
        });
        let sent: Result<Option<(NodeId, BytesMut, ToNode)>> = sent;
        let Some((node, bytes, message)) = sent? else {
            return Ok(());
        };
        self.timings.note("send", nanos);
        self.count("node_out", 1, bytes.len());
        self.at_node(host_of(node), &message);
        Ok(())
    }

    fn at_node(&mut self, node: u64, message: &ToNode) {
        match message {
            ToNode::Offer {
                attempt,
                task: work,
                ..
            } => {
                let attempt = *attempt;
                let service = peppercove::ServiceId(work.service);
                let (took, word) = self.cluster.answer(NodeId(node), service);
                let load = Some(self.report(node));
                let news = match word {
                    Word::Runs => {
                        let accepted = FromNode::Accepted {
                            attempt,
                            load: None,
                        };
                        self.agenda
                            .schedule(self.now + AWAY * 2, Happens::News(node, Box::new(accepted)));
                        FromNode::Running {
                            attempt,
                            load: None,
                        }
                    }
                    Word::Refused => FromNode::Rejected {
                        attempt,
                        reason: NodeReason::InsufficientCores,
                        load,
                    },
                    Word::Error => FromNode::Ended {
                        attempt,
                        end: TaskExit::Error,
                        load,
                    },
                };
                self.agenda.schedule(
                    self.now + AWAY * 2 + took,
                    Happens::News(node, Box::new(news)),
                );
            }
            ToNode::Adopt {
                new_attempt: named, ..
            } => self.standing.push_back((*named, node)),
            _ => {}
        }
    }

    fn report(&mut self, node: u64) -> NodeLoad {
        let [cores, memory] = self.cluster.free(node);
        NodeLoad {
            free_cores: Some(cores),
            free_memory: Some(memory),
            cpu_utilization: Some(0.5),
            queue_depth: Some(0.0),
        }
    }

    fn news(&mut self, node: u64, message: &FromNode) -> Result<()> {
        let kind = match message {
            FromNode::Accepted { .. } => "accepted",
            FromNode::Running { attempt, .. } => {
                self.standing.push_back((*attempt, node));
                "running"
            }
            FromNode::Ended {
                end: TaskExit::Exited { .. },
                ..
            } => "end",
            _ => "refused",
        };
        let mut bytes = encoded(message, MAX_NODE_FRAME_BYTES)?;
        self.count("node_in", 1, bytes.len());
        let machine = node_id_of(address(node));
        let mut reply = None;
        self.input(kind, || {
            let message =
                MessageCodec::<FromNode, ToNode>::new(MAX_NODE_FRAME_BYTES).decode(&mut bytes)?;
            let DecodedMessage {
                input,
                reply: answer,
            } = decode_message(machine, message.context("a whole frame")?);
            reply = answer;
            input.context("news")
        })?;
        if let Some(reply) = reply {
            self.count("node_out", 1, encoded(&reply, MAX_NODE_FRAME_BYTES)?.len());
        }
        Ok(())
    }

    // ---- The list and the links ----

    fn lines(&mut self, nodes: impl Iterator<Item = u64>, scope: Scope) -> Result<Bytes> {
        let mut lines = Vec::new();
        for i in nodes {
            let ((rack, zone), [cores, memory]) = (Cluster::place(i), self.cluster.free(i));
            let (free_cores, free_memory) = (Some(cores), Some(memory));
            let (state, kind, life, age) = (NodeState::Ready, 0, 1, None);
            let (address, name) = (address(i), name(i));
            lines.push(ListEntry {
                address,
                name,
                state,
                kind,
                rack,
                zone,
                incarnation: life,
                age,
                free_cores,
                free_memory,
            });
        }
        self.generation += 1;
        let news = FromList::Update {
            generation: self.generation,
            scope,
            entries: lines,
        };
        Ok(encoded(&news, MAX_LIST_FRAME_BYTES)?.freeze())
    }

    /// The frame of the whole list.
    ///
    /// # Errors
    /// It's longer than a frame may be.
    pub fn whole_list(&mut self) -> Result<Bytes> {
        let machines = self.cluster.at.machines;
        self.lines(0..machines, Scope::Full)
    }

    /// News of the list.
    ///
    /// # Errors
    /// The frame can't be read.
    pub fn list(&mut self, kind: &'static str, frame: Bytes) -> Result<()> {
        self.count(kind, 1, frame.len());
        let mut bytes = BytesMut::from(&frame[..]);
        self.input(kind, || {
            let news =
                MessageCodec::<FromList, ToList>::new(MAX_LIST_FRAME_BYTES).decode(&mut bytes)?;
            node_list_input(news.context("a whole frame")?).context("news of the list")
        })
    }

    /// The line of one node changes.
    ///
    /// # Errors
    /// As [`Rig::list`].
    pub fn change(&mut self) -> Result<()> {
        let node = self.cluster.any();
        let frame = self.lines(std::iter::once(node), Scope::Delta)?;
        self.list("list_change", frame)
    }

    /// A node greets, and tells the tasks of the controller's earlier life that it holds.
    fn greet(&mut self, node: u64) -> Result<()> {
        let tasks = self.held.remove(&node).unwrap_or_default();
        let kind = if tasks.is_empty() {
            "link_up"
        } else {
            "adopted"
        };
        self.links += 1;
        let party = ProcessIdentity {
            name: name(node),
            incarnation: 1,
        };
        let standing = tasks.len() as u32;
        let mut bytes = encoded(
            &FromNode::Welcome {
                version: VERSION,
                node: party,
                known_tasks: standing,
                is_complete: true,
            },
            MAX_NODE_FRAME_BYTES,
        )?;
        for task in tasks {
            let submission = submission(&self.cluster, task, &self.cluster.standing(task));
            let work = work_of(&self.config, &submission);
            let attempt = AttemptId {
                request: task,
                number: 0,
            };
            let told = FromNode::KnownTask {
                incarnation: LIFE - 1,
                attempt,
                task: work,
                ended: None,
            };
            bytes.extend_from_slice(&encoded(&told, MAX_NODE_FRAME_BYTES)?);
        }
        let (machine, name, most) = (
            node_id_of(address(node)),
            name(node),
            self.config.limits.jobs,
        );
        self.input(kind, || {
            let mut greeting = Handshake::new(machine, &name, most);
            let mut codec = MessageCodec::<FromNode, ToNode>::new(MAX_NODE_FRAME_BYTES);
            loop {
                let message = codec.decode(&mut bytes)?.context("a whole greeting")?;
                if let HandshakeProgress::Complete(_, up) = greeting.on_message(message)? {
                    return Ok(up);
                }
            }
        })
    }

    // ---- Clients ----

    fn start(&mut self) -> Result<()> {
        self.next += 1;
        let ticket = self.next + self.cluster.at.standing;
        let ask = self.cluster.start(ticket, self.fresh);
        let submission = Box::new(submission(&self.cluster, ticket, &ask));
        self.started += 1;
        self.count("client_in", 1, 0);
        self.input("submit", || Ok(Input::Submit { ticket, submission }))?;
        // One comes and one ends: as many stand as before.
        while self.standing.len() as u64 > self.cluster.at.standing {
            let Some((attempt, node)) = self.standing.pop_front() else {
                break;
            };
            let usage = Usage {
                wall: 60 * SECOND,
                cpu: SECOND,
                memory: self.cluster.asks[1],
            };
            let load = Some(self.report(node));
            self.news(
                node,
                &FromNode::Ended {
                    attempt,
                    end: TaskExit::Exited { status: 0, usage },
                    load,
                },
            )?;
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
            Happens::Up(node) => self.greet(node),
            Happens::News(node, message) => self.news(node, &message),
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
                .chain(self.core.next_wake())
                .min();
            let Some(at) = next.filter(|at| *at <= end) else {
                self.now = end;
                return Ok(());
            };
            self.now = self.now.max(at);
            match self.agenda.pop_due(self.now) {
                Some(happens) => self.happen(happens)?,
                None => self.input("tick", || Ok(Input::Tick))?,
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
        Ok(())
    }

    /// What a second of rest takes.
    ///
    /// # Errors
    /// A message can't be read.
    pub fn rest(&mut self) -> Result<Vec<Measure>> {
        self.traffic.clear();
        self.timings.next_window(true);
        self.play(REST, u64::MAX, None)?;
        let seconds = REST as f64 / SECOND as f64;
        let messages: u64 = self.traffic.values().map(|t| t.0).sum();
        let spent = self.timings.total_micros() / seconds;
        let mut measures = vec![Measure::counted(
            "rest_messages",
            "messages/s",
            messages as f64 / seconds,
        )];
        measures.extend(Measure::of("rest_time", "us/s", Basis::Timed, vec![spent]));
        Ok(measures)
    }

    /// What the core holds, and the connections that are open.
    pub fn held(&self) -> Vec<Measure> {
        let open = self.links + self.cluster.at.connections;
        vec![
            Measure::counted(
                "held_nodes",
                "count",
                self.core.nodes().iter().count() as f64,
            ),
            Measure::counted("held_jobs", "count", self.core.jobs().len() as f64),
            Measure::counted("held_standing", "count", self.core.placed_tasks() as f64),
            Measure::counted("held_open", "count", self.core.open_requests() as f64),
            Measure::counted("descriptors", "count", open as f64),
        ]
    }

    /// Messages and bytes for each start, by way, and of a list change.
    pub fn counted(&self) -> Vec<Measure> {
        let of = |way: &str| self.traffic.get(way).copied().unwrap_or_default();
        let starts = of("client_in").0.max(1);
        let each = |measure: String, unit, figure| Measure {
            samples: starts,
            ..Measure::counted(&measure, unit, figure as f64 / starts as f64)
        };
        let mut measures = Vec::new();
        for way in ["node_out", "node_in"] {
            let (messages, bytes) = of(way);
            measures.push(each(format!("{way}_messages"), "messages", messages));
            measures.push(each(format!("{way}_bytes"), "bytes", bytes));
        }
        measures.push(each(
            "client_out_messages".into(),
            "messages",
            of("client_out").0,
        ));
        measures.push(each("journal_entries".into(), "count", of("journal").0));
        measures.push(each("turned_away".into(), "share", of("turned_away").0));
        let (messages, bytes) = of("list_change");
        let bytes = bytes as f64 / messages.max(1) as f64;
        measures.push(Measure {
            samples: messages,
            ..Measure::counted("list_change_bytes", "bytes", bytes)
        });
        measures
    }
}
