//! The state of the simulation, and the effects of the engine's outputs.

use super::node::description;
use super::scheduler::PersistentScheduler;
use crate::harness::*;
use peppercove::TaskKey;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    Starting,
    Running,
    Ended(Micros),
}

/// An attempt, as known to its node.
#[derive(Debug)]
pub(super) struct NodeAttempt {
    pub(super) id: u64,
    /// Number of the connection on which the node received it.
    pub(super) connection: u64,
    pub(super) state: AttemptState,
}

/// An event in transit to the engine.
#[derive(Debug)]
pub(super) enum Transit {
    /// The node accepted the connection.
    Accepted,
    Message(Message),
    /// The node closed the connection; everything that it sent before arrives.
    Closed,
    /// The connection broke; everything in transit is lost.
    Broken,
}

/// A connection: the messages in transit, and which sides have it open.
#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) to_node: VecDeque<(Micros, Message)>,
    pub(super) to_engine: VecDeque<(Micros, Transit)>,
    pub(super) is_open_at_node: bool,
    pub(super) is_open_at_engine: bool,
    /// Number of repeated ends in transit. The platform's nodes report an end only twice, so losing the repetition as
    /// well would lose the end for good; the simulated network does not break a connection that carries one.
    pub(super) repeated_ends: usize,
}

/// An engine, one node, and the network between them.
pub(super) struct World {
    pub(super) engine: PlatformEngine<PersistentScheduler>,
    pub(super) ended_tasks: Rc<RefCell<Vec<TaskKey>>>,
    pub(super) rng: fastrand::Rng,
    pub(super) now: Micros,
    pub(super) connecting: Vec<u64>,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) attempts: Vec<NodeAttempt>,
    /// Ends that the node will repeat over the next connection that is opened.
    pub(super) repeated_ends: Vec<Message>,
    /// The attempt whose answer was forwarded to the client, by request id.
    pub(super) placed_by: BTreeMap<u64, usize>,
    /// When the engine first received the end of a placed task, by request id.
    pub(super) reported_at: BTreeMap<u64, Micros>,
    pub(super) notified_at: BTreeMap<u64, Micros>,
    pub(super) violations: Vec<String>,
}

impl World {
    pub(super) fn new(seed: u64) -> World {
        let node = node_id("a");
        let ended_tasks = Rc::new(RefCell::new(Vec::new()));
        let (dispatches, tasks) = (BTreeMap::new(), BTreeMap::new());
        let scheduler = PersistentScheduler {
            rng: fastrand::Rng::with_seed(!seed),
            node,
            dispatches,
            tasks,
            ended_tasks: ended_tasks.clone(),
        };
        let settings = Settings {
            max_attempts: 4,
            ..Settings::sample()
        };
        let mut world = World {
            engine: PlatformEngine::new(scheduler, settings, schema(), bounds(), seed),
            ended_tasks,
            rng: fastrand::Rng::with_seed(seed),
            now: 1000 * S,
            connecting: Vec::new(),
            connections: BTreeMap::new(),
            attempts: Vec::new(),
            repeated_ends: Vec::new(),
            placed_by: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            notified_at: BTreeMap::new(),
            violations: Vec::new(),
        };
        world.input(Input::Start(vec![list_event(
            1,
            true,
            &[node_json("a", 1, "active", 0)],
        )]));
        world
    }

    pub(super) fn input(&mut self, input: Input) {
        let mut outputs = self.engine.handle(self.now, input);
        while self.engine.has_queued_requests() {
            outputs.extend(self.engine.handle(self.now, Input::AdmitNext));
        }
        for task in std::mem::take(&mut *self.ended_tasks.borrow_mut()) {
            let placed = self.placed_by.iter().find(|(id, _)| TaskKey(**id) == task);
            if placed.is_some_and(|(_, n)| self.attempts[*n].state == AttemptState::Running) {
                self.violations.push(format!(
                    "{task:?} was reported to the scheduler as ended but is running"
                ));
            }
        }
        for output in outputs {
            match output {
                Output::Connect(number, _) => self.connecting.push(number.0),
                Output::SendToNode(number, frame) | Output::Cancel(number, frame) => {
                    if let Some(connection) =
                        self.connections.get_mut(&number.0).filter(|connection| {
                            connection.is_open_at_engine && connection.is_open_at_node
                        })
                    {
                        connection
                            .to_node
                            .push_back((self.now, decode_frame(&frame)));
                    }
                }
                Output::Close(number) => self.close_from_engine(number.0),
                Output::SendToClient(_, frames) | Output::SendNotifications(_, frames) => {
                    for message in decode_frames(&frames) {
                        self.on_client_message(&message);
                    }
                }
                Output::NotificationsPending => {
                    for client in self.engine.clients_to_notify() {
                        self.input(Input::SendNotifications(client));
                    }
                }
                // Messages are written at once.
                Output::CloseUnlessWritten(..) | Output::WatchEndpoints | Output::Log(_) => {}
            }
        }
    }

    /// The engine closes a connection: messages that the node has not read may be lost.
    pub(super) fn close_from_engine(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.to_engine = VecDeque::from([(self.now, Transit::Broken)]);
        let arriving = self.rng.usize(0..=connection.to_node.len());
        connection.to_node.truncate(arriving);
        while let Some((_, message)) = self
            .connections
            .get_mut(&number)
            .and_then(|connection| connection.to_node.pop_front())
        {
            self.on_node_read(number, &message);
        }
        self.on_node_disconnected(number);
    }

    pub(super) fn on_client_message(&mut self, message: &Message) {
        let id = message.id;
        match message.kind {
            MessageKind::Answer => {
                // The description identifies the attempt whose answer is forwarded.
                let n = self.attempts.iter().position(|attempt| {
                    description(attempt) == message.get(code::DESCRIPTION).unwrap_or_default()
                });
                self.placed_by
                    .insert(id, n.expect("the node must have reported the attempt"));
            }
            MessageKind::Release if self.placed_by.contains_key(&id) => {
                if self.notified_at.insert(id, self.now).is_some() {
                    self.violations.push(format!("{id} was notified twice"));
                }
                let placed = &self.attempts[self.placed_by[&id]];
                if matches!(placed.state, AttemptState::Ended(_)) {
                    return;
                }
                // The client is notified although the task has not ended. This is allowed only if no health check could
                // resolve the ambiguity.
                let has_connection = |attempt: &NodeAttempt| {
                    self.connections
                        .get(&attempt.connection)
                        .is_some_and(|connection| connection.is_open_at_node)
                };
                let mut earlier = self
                    .attempts
                    .iter()
                    .filter(|attempt| attempt.id == id && attempt.connection != placed.connection);
                if has_connection(placed) && earlier.all(has_connection) {
                    self.violations
                        .push(format!("{id} was ended by another attempt's message"));
                }
            }
            _ => {}
        }
    }
}
