//! The state of the test, and what the engine does to it.

use super::module::PersistentModule;
use super::node::description;
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

/// An attempt as its node has it.
#[derive(Debug)]
pub(super) struct NodeAttempt {
    pub(super) id: u64,
    /// Number of the connection that brought it.
    pub(super) connection: u64,
    pub(super) state: AttemptState,
}

/// What is in transit to the engine.
#[derive(Debug)]
pub(super) enum Transit {
    /// The node accepted the connection.
    Accepted,
    Message(Message),
    /// The node closed: all that it sent before arrives.
    Closed,
    /// The connection broke, with all that was in transit.
    Broken,
}

/// A connection: what is in transit on it, and which side has it open.
#[derive(Debug, Default)]
pub(super) struct Connection {
    pub(super) to_node: VecDeque<(Micros, Message)>,
    pub(super) to_engine: VecDeque<(Micros, Transit)>,
    pub(super) node_has: bool,
    pub(super) engine_has: bool,
    /// Repeated ends in transit. Where they are lost as well, nobody will ever receive them: the platform's nodes report
    /// an end twice and no more, so the network here does not break a connection with one on it.
    pub(super) repeated_ends: usize,
}

/// An engine, one node, and the network between them.
pub(super) struct World {
    pub(super) engine: PlatformEngine<PersistentModule>,
    pub(super) ended_tasks: Rc<RefCell<Vec<TaskKey>>>,
    pub(super) rng: fastrand::Rng,
    pub(super) now: Micros,
    pub(super) connecting: Vec<u64>,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) attempts: Vec<NodeAttempt>,
    /// Ends that the node reports once more over the next connection that is opened.
    pub(super) repeated_ends: Vec<Message>,
    /// The attempt that each client's answer came from.
    pub(super) placed_by: BTreeMap<u64, usize>,
    /// When the engine first received the end of a task that runs for its client.
    pub(super) reported_at: BTreeMap<u64, Micros>,
    pub(super) notified_at: BTreeMap<u64, Micros>,
    pub(super) faults: Vec<String>,
}

impl World {
    pub(super) fn new(seed: u64) -> World {
        let node = node_id("a");
        let ended_tasks = Rc::new(RefCell::new(Vec::new()));
        let (dispatches, tasks) = (BTreeMap::new(), BTreeMap::new());
        let module = PersistentModule {
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
            engine: PlatformEngine::new(module, settings, schema(), bounds(), seed),
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
            faults: Vec::new(),
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
                self.faults
                    .push(format!("{task:?} has ended for the module and runs on"));
            }
        }
        for output in outputs {
            match output {
                Output::Connect(number, _) => self.connecting.push(number.0),
                Output::SendToNode(number, frame) | Output::Cancel(number, frame) => {
                    if let Some(connection) = self
                        .connections
                        .get_mut(&number.0)
                        .filter(|connection| connection.engine_has && connection.node_has)
                    {
                        connection
                            .to_node
                            .push_back((self.now, decode_frame(&frame)));
                    }
                }
                Output::Close(number) => self.close_from_engine(number.0),
                Output::SendToClient(_, frame) => self.on_client_message(&decode_frame(&frame)),
                Output::WatchEndpoints | Output::Log(_) => {}
            }
        }
    }

    /// The engine closes a connection: what the node has not read may be lost.
    pub(super) fn close_from_engine(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.to_engine = VecDeque::from([(self.now, Transit::Broken)]);
        let arrives = self.rng.usize(0..=connection.to_node.len());
        connection.to_node.truncate(arrives);
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
                // The answer that is forwarded is the one that just arrived.
                let n = self.attempts.iter().position(|attempt| {
                    description(attempt) == message.get(code::DESCRIPTION).unwrap_or_default()
                });
                self.placed_by.insert(id, n.expect("made by the node"));
            }
            MessageKind::Release if self.placed_by.contains_key(&id) => {
                if self.notified_at.insert(id, self.now).is_some() {
                    self.faults.push(format!("{id} notified twice"));
                }
                let placed = &self.attempts[self.placed_by[&id]];
                if matches!(placed.state, AttemptState::Ended(_)) {
                    return;
                }
                // The client is notified of an end that was not: only where no health check could resolve the ambiguity.
                let has = |attempt: &NodeAttempt| {
                    self.connections
                        .get(&attempt.connection)
                        .is_some_and(|connection| connection.node_has)
                };
                let mut earlier = self
                    .attempts
                    .iter()
                    .filter(|attempt| attempt.id == id && attempt.connection != placed.connection);
                if has(placed) && earlier.all(has) {
                    self.faults
                        .push(format!("{id} ended by another attempt's message"));
                }
            }
            _ => {}
        }
    }
}
