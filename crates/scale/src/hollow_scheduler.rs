//! One hollow scheduler of the platform with simulated nodes and a simulated client, without sockets and in simulated
//! time. Counts the messages it sends and receives. Nodes answer each request and never close a connection.

use crate::error::MeasureError;
use crate::platform_format::{
    config, node_address, node_entries, request_message, running_message, tested_message,
};
use crate::row::Sizes;
use crate::traffic::Traffic;
use bytes::BytesMut;
use peppercove::{Micros, Scheduler};
use peppercove_core::Timers;
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_platform::config::Config;
use peppercove_platform::wire::{Message, MessageKind, cause, decode};
use peppercove_platform::{
    Bounds, ClientId, Disconnect, Input, NodeConnectionId, Output, PlatformEngine,
};
use std::collections::BTreeMap;

/// One second in microseconds.
const SECOND: Micros = 1_000_000;
/// Start of the run in microseconds.
const START: Micros = SECOND;
/// Microseconds from a node's answer to the end of the task. It is shorter than the idle time after which a connection
/// with a running task is tested.
const TASK_DURATION: Micros = 500_000;
/// Microseconds from the arrival of a request at a node to its answer, and from a connect to the established
/// connection.
const NODE_DELAY: Micros = 500;
/// Requests per second while the running tasks are started.
const BRING_UP_RATE: u64 = 100;
/// Microseconds of simulated time from the last request until all tasks run.
const BRING_UP_MARGIN: Micros = 5 * SECOND;
const CLIENT: ClientId = ClientId(1);

/// Traffic, connections and outcomes of one scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WireCounts {
    /// Requests sent by the client.
    pub requested: u64,
    /// Tasks that a node reported as running.
    pub placed: u64,
    /// Task ends that the client was notified of.
    pub ended: u64,
    /// Traffic to and from the client.
    pub client: Traffic,
    /// Traffic to and from nodes.
    pub nodes: Traffic,
    /// Connection tests sent to nodes; included in [`WireCounts::nodes`].
    pub tests: u64,
    /// Connections opened to nodes.
    pub connects: u64,
    /// Connections to nodes that are open at the end of the run.
    pub open_connections: u64,
}

/// Sends `starts` requests to one of `sizes.schedulers` schedulers, at `sizes.starts_per_second`, and runs until all
/// tasks have ended.
///
/// # Errors
/// [`MeasureError::Implausible`] if a request is lost or a task does not end; [`MeasureError::PlatformConfig`] if the
/// configuration is invalid.
pub fn run_starts(sizes: &Sizes, starts: u64) -> Result<WireCounts, MeasureError> {
    let mut scheduler = HollowScheduler::new(sizes, Some(TASK_DURATION))?;
    scheduler.request_tasks(sizes, starts);
    let requests_end = scheduler.now + starts * SECOND / sizes.starts_per_second.max(1);
    scheduler.run_until(requests_end + 6 * TASK_DURATION);
    let WireCounts {
        requested,
        placed,
        ended,
        ..
    } = scheduler.counts;
    if requested != starts || ended != placed {
        return Err(MeasureError::Implausible(format!(
            "{requested} of {starts} requests were sent, {placed} tasks were placed, {ended} ended; \
             expected all to be sent and each placed task to end"
        )));
    }
    Ok(scheduler.into_counts())
}

/// Starts `sizes.running_tasks` tasks, and counts the messages during the given number of seconds without requests.
///
/// # Errors
/// As [`run_starts`].
pub fn run_idle(sizes: &Sizes, seconds: u64) -> Result<WireCounts, MeasureError> {
    let mut scheduler = HollowScheduler::new(sizes, None)?;
    let sizes = Sizes {
        starts_per_second: BRING_UP_RATE,
        ..*sizes
    };
    let tasks = sizes.running_tasks;
    scheduler.request_tasks(&sizes, tasks);
    let requests_end = scheduler.now + tasks * SECOND / BRING_UP_RATE;
    scheduler.run_until(requests_end + BRING_UP_MARGIN);
    let WireCounts { placed, ended, .. } = scheduler.counts;
    if placed != tasks || ended != 0 {
        return Err(MeasureError::Implausible(format!(
            "{placed} of {tasks} tasks were placed, {ended} ended; expected all to be placed and none to end"
        )));
    }
    scheduler.counts = WireCounts::default();
    scheduler.run_until(scheduler.now + seconds * SECOND);
    Ok(scheduler.into_counts())
}

struct HollowScheduler {
    /// How long tasks run; `None` if they do not end.
    task_duration: Option<Micros>,
    engine: PlatformEngine<SubsetScheduler>,
    now: Micros,
    timers: Timers<Input>,
    /// Bytes written to each open connection.
    connections: BTreeMap<NodeConnectionId, u64>,
    counts: WireCounts,
}

impl HollowScheduler {
    fn new(sizes: &Sizes, task_duration: Option<Micros>) -> Result<HollowScheduler, MeasureError> {
        let text = config(sizes, node_address(0), &node_entries(0..sizes.nodes));
        let config = Config::parse(&text, None, None)?;
        let bounds = Bounds::for_config(&config);
        let scheduler = Scheduler::new(config.settings.clone(), config.seed);
        let subset = NodeSubset::new(scheduler, &config.settings);
        let engine =
            PlatformEngine::new(subset, config.settings, config.schema, bounds, config.seed);
        let mut scheduler = HollowScheduler {
            task_duration,
            engine,
            now: START,
            timers: Timers::default(),
            connections: BTreeMap::new(),
            counts: WireCounts::default(),
        };
        scheduler.input(Input::Start(config.initial_endpoints.entries));
        Ok(scheduler)
    }

    fn request_tasks(&mut self, sizes: &Sizes, tasks: u64) {
        for i in 1..=tasks {
            let delay = i * SECOND / sizes.starts_per_second.max(1);
            self.input_after(
                delay,
                Input::ClientMessage(CLIENT, request_message(sizes, i)),
            );
        }
    }

    fn into_counts(self) -> WireCounts {
        WireCounts {
            open_connections: self.connections.len() as u64,
            ..self.counts
        }
    }

    fn input_after(&mut self, delay: Micros, input: Input) {
        self.timers.schedule(self.now + delay, input);
    }

    fn run_until(&mut self, end: Micros) {
        loop {
            let next = self
                .timers
                .next_deadline()
                .into_iter()
                .chain(self.engine.next_wake())
                .min();
            let Some(due) = next.filter(|due| *due <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(due);
            match self.timers.pop_due(self.now) {
                Some(input) => {
                    self.count_input(&input);
                    self.input(input);
                }
                None => self.input(Input::Tick(self.now)),
            }
            while self.engine.has_queued_requests() {
                self.input(Input::AdmitNext);
            }
        }
    }

    fn count_input(&mut self, input: &Input) {
        match input {
            Input::ClientMessage(_, message) => {
                self.counts.requested += 1;
                self.counts.client.add(message.encode().len());
            }
            Input::NodeMessage(connection, message) => {
                if self.connections.contains_key(connection) {
                    self.counts.nodes.add(message.encode().len());
                }
            }
            Input::Start(_)
            | Input::EndpointEvents(_)
            | Input::EndpointWatchFailed
            | Input::AdmitNext
            | Input::ClientLeaving(_)
            | Input::ClientSilent(_)
            | Input::SendNotifications(_)
            | Input::ClientDisconnected(_)
            | Input::ClientBroken(_)
            | Input::ClientCount(_)
            | Input::NodeConnected(_)
            | Input::NodeDisconnected(..)
            | Input::LimitAnswers(_)
            | Input::AnswerAll
            | Input::Tick(_) => {}
        }
    }

    fn input(&mut self, input: Input) {
        for output in self.engine.handle(self.now, input) {
            match output {
                Output::SendToClient(_, frame) | Output::SendNotifications(_, frame) => {
                    self.receive_at_client(&frame);
                }
                Output::Connect(connection, _) => {
                    self.counts.connects += 1;
                    self.connections.insert(connection, 0);
                    self.input_after(NODE_DELAY, Input::NodeConnected(connection));
                }
                Output::SendToNode(connection, frame) | Output::Cancel(connection, frame) => {
                    self.receive_at_node(connection, &frame);
                }
                Output::Close(connection) => self.close(connection),
                // Messages are written at once.
                Output::CloseUnlessWritten(..) | Output::WatchEndpoints | Output::Log(_) => {}
                Output::NotificationsPending => self.send_notifications(),
            }
        }
    }

    fn send_notifications(&mut self) {
        for client in self.engine.clients_to_notify() {
            self.input(Input::SendNotifications(client));
        }
    }

    fn close(&mut self, connection: NodeConnectionId) {
        if let Some(bytes_written) = self.connections.remove(&connection) {
            let disconnect = Disconnect::Broken {
                bytes_written,
                is_clean: true,
            };
            self.input_after(NODE_DELAY, Input::NodeDisconnected(connection, disconnect));
        }
    }

    fn receive_at_client(&mut self, frames: &[u8]) {
        let mut bytes = BytesMut::from(frames);
        while let Ok(Some(message)) = decode(&mut bytes) {
            self.count_client_message(&message);
        }
    }

    fn count_client_message(&mut self, message: &Message) {
        self.counts.client.add(message.encode().len());
        if message.kind == MessageKind::Answer {
            self.counts.placed += 1;
        }
        let is_release = message.kind == MessageKind::Release;
        if is_release && message.cause() == Some(cause::ORDINARY) {
            self.counts.ended += 1;
        }
    }

    fn receive_at_node(&mut self, connection: NodeConnectionId, frame: &[u8]) {
        let Some(written) = self.connections.get_mut(&connection) else {
            return;
        };
        *written += frame.len() as u64;
        self.counts.nodes.add(frame.len());
        let Ok(Some(message)) = decode(&mut BytesMut::from(frame)) else {
            return;
        };
        let id = message.id;
        match message.kind {
            MessageKind::SetUp => {
                let running = Input::NodeMessage(connection, running_message(id));
                self.input_after(NODE_DELAY, running);
                if let Some(duration) = self.task_duration {
                    let end = Message::release(id, cause::ORDINARY);
                    self.input_after(NODE_DELAY + duration, Input::NodeMessage(connection, end));
                }
            }
            MessageKind::Test => {
                self.counts.tests += 1;
                self.input_after(
                    NODE_DELAY,
                    Input::NodeMessage(connection, tested_message(id)),
                );
            }
            MessageKind::Progress
            | MessageKind::Answer
            | MessageKind::Release
            | MessageKind::Heard
            | MessageKind::Note
            | MessageKind::Move
            | MessageKind::Tested => {}
        }
    }
}
