//! The hollow instance with simulated clients, nodes and endpoint list.

mod figures;
mod nodes;

use super::format;
use crate::error::MeasureError;
use crate::harness::{Harness, Simulation};
use crate::row::{Figure, Sizes};
use crate::traffic::TrafficByKind;
use crate::workload::cluster::Cluster;
use bytes::{Bytes, BytesMut};
use peppercove::{Micros, Scheduler, ServiceId};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_platform::endpoint_watch::{EndpointEvent, LineDecoder, WatchLine, max_line_bytes};
use peppercove_platform::wire::{Message, MessageKind, cause, decode};
use peppercove_platform::{Bounds, ClientId, Input, NodeConnectionId, Output, PlatformEngine};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Read buffer size for the endpoint list in bytes.
const READ_SIZE: usize = 64 << 10;
/// One-way network delay in microseconds.
const NETWORK_DELAY: Micros = 200;
/// The client that reports the tasks that already run.
const FIRST_CLIENT: ClientId = ClientId(1);

/// Events that the simulated peers deliver to the instance.
#[derive(Debug)]
pub enum Delivery {
    /// A connection to a node is established.
    Connected(NodeConnectionId),
    /// A message from a node arrives.
    NodeMessage(NodeConnectionId, Message),
    /// The endpoint list answers that there are no new events.
    ListAnswer,
}

/// A running task.
#[derive(Clone, Copy, Debug)]
struct RunningTask {
    /// The id used with the client.
    id: u64,
    node: u64,
}

/// A platform engine with its simulated peers.
pub struct ServeHarness {
    simulation: Simulation<Delivery>,
    engine: PlatformEngine<SubsetScheduler>,
    max_line_bytes: usize,
    list_position: u64,
    last_id: u64,
    /// Services of the requests that no node has answered yet, by request id.
    requested_services: BTreeMap<u64, ServiceId>,
    /// Running tasks, oldest first.
    running: VecDeque<RunningTask>,
    connections_by_node: BTreeMap<u64, NodeConnectionId>,
    nodes_by_connection: BTreeMap<NodeConnectionId, u64>,
    traffic: TrafficByKind,
    /// Number of rejected or failed requests.
    rejected: u64,
}

impl ServeHarness {
    /// Creates an instance that has just started.
    ///
    /// # Errors
    /// As [`Simulation::new`].
    pub fn new(sizes: &Sizes) -> Result<ServeHarness, MeasureError> {
        let cluster = Cluster::new(sizes);
        let config = format::config(&cluster);
        let bounds = Bounds::for_config(&config);
        let scheduler = Scheduler::new(config.settings.clone(), config.seed);
        let subset = NodeSubset::new(scheduler, &config.settings);
        Ok(ServeHarness {
            max_line_bytes: max_line_bytes(config.limits.memory_mb),
            engine: PlatformEngine::new(
                subset,
                config.settings,
                config.schema,
                bounds,
                config.seed,
            ),
            simulation: Simulation::new(cluster)?,
            list_position: 0,
            last_id: 0,
            requested_services: BTreeMap::new(),
            running: VecDeque::with_capacity(sizes.running_tasks as usize),
            connections_by_node: BTreeMap::new(),
            nodes_by_connection: BTreeMap::new(),
            traffic: TrafficByKind::default(),
            rejected: 0,
        })
    }

    /// Passes the input that `read` decodes to the engine. The recorded time of this kind covers both.
    fn input(
        &mut self,
        kind: &'static str,
        read: impl FnOnce() -> Result<Input, MeasureError>,
    ) -> Result<(), MeasureError> {
        let engine = &mut self.engine;
        let outputs = self.simulation.time_event(kind, |now| {
            Ok::<_, MeasureError>(engine.handle(now, read()?))
        })?;
        for output in outputs {
            self.handle_output(output);
        }
        Ok(())
    }

    /// Encodes a message and passes it to the engine as if read from a socket.
    fn receive_message(
        &mut self,
        kind: &'static str,
        message: &Message,
        to_input: impl FnOnce(Message) -> Input,
    ) -> Result<(), MeasureError> {
        let mut frame = BytesMut::from(&message.encode()[..]);
        self.input(kind, || {
            let message = decode(&mut frame)?;
            Ok(to_input(message.ok_or(MeasureError::Incomplete(
                "a message of the platform",
            ))?))
        })
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::SendToClient(_, frame) | Output::SendNotifications(_, frame) => {
                self.send_to_client(&frame);
            }
            Output::SendToNode(connection, frame) | Output::Cancel(connection, frame) => {
                self.send_to_node(connection, &frame);
            }
            Output::Connect(connection, address) => {
                self.nodes_by_connection
                    .insert(connection, format::node_at(address));
                self.simulation
                    .deliver_after(NETWORK_DELAY * 3, Delivery::Connected(connection));
            }
            Output::WatchEndpoints => {
                self.simulation
                    .deliver_after(NETWORK_DELAY * 4, Delivery::ListAnswer);
            }
            // Connections never break here, and the engine closes none.
            Output::NotificationsPending
            | Output::Close(_)
            | Output::CloseUnlessWritten(..)
            | Output::Log(_) => {}
        }
    }

    fn send_to_client(&mut self, frame: &Bytes) {
        self.traffic.entry("owner_out").add(frame.len());
        // A release with a cause other than the ordinary one is a rejection or failure. The message kind is the third
        // byte of the frame, the cause the last.
        let is_release = frame.get(2) == Some(&(MessageKind::Release as u8));
        if is_release && frame.last() != Some(&cause::ORDINARY) {
            self.rejected += 1;
        }
    }

    fn list_event(&mut self, is_full: bool, nodes: impl Iterator<Item = u64>) -> String {
        self.list_position += 1;
        format::list_event(
            &mut self.simulation.cluster,
            self.list_position,
            is_full,
            nodes,
        )
    }

    /// Delivers an event of the endpoint list. The first event, of kind `first_list`, is that of the configuration.
    ///
    /// # Errors
    /// [`MeasureError::EndpointList`] if the event cannot be decoded.
    fn receive_list(&mut self, kind: &'static str, text: &str) -> Result<(), MeasureError> {
        self.traffic.entry(kind).add(text.len());
        let max_line_bytes = self.max_line_bytes;
        self.input(kind, || {
            let events = read_events(text, max_line_bytes)?;
            let is_first = kind == "first_list";
            Ok(if is_first {
                Input::Start(events)
            } else {
                Input::EndpointEvents(events)
            })
        })
    }

    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        format::wire_id(self.last_id)
    }

    fn client(&self, n: u64) -> ClientId {
        ClientId(1 + n % self.simulation.cluster.sizes.connections.max(1))
    }

    /// Reports the tasks that already run, all over one connection.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    pub fn add_running_tasks(&mut self) -> Result<(), MeasureError> {
        for n in 0..self.simulation.sizes().running_tasks {
            let id = self.new_id();
            let node = self.simulation.cluster.node_of_task(n);
            let request = self.simulation.cluster.running_task(n);
            let message = format::request_message(id, &request, Some(node));
            self.running.push_back(RunningTask { id, node });
            self.receive_message("standing", &message, |message| {
                Input::ClientMessage(FIRST_CLIENT, message)
            })?;
        }
        Ok(())
    }

    /// Opens the remaining client connections. Each reports a running task again, so that the engine knows the client.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    pub fn connect_clients(&mut self) -> Result<(), MeasureError> {
        let Sizes {
            connections,
            running_tasks,
            ..
        } = *self.simulation.sizes();
        self.input("owners", || Ok(Input::ClientCount(connections as usize)))?;
        for n in 1..connections {
            let index = n % running_tasks.max(1);
            let id = self.new_id();
            let Some(task) = self.running.get_mut(index as usize) else {
                return Ok(());
            };
            task.id = id;
            let request = self.simulation.cluster.running_task(index);
            let message = format::request_message(id, &request, Some(task.node));
            let client = ClientId(1 + n);
            self.receive_message("renamed", &message, |message| {
                Input::ClientMessage(client, message)
            })?;
        }
        Ok(())
    }
}

/// Decodes the events of the endpoint list in chunks of the size that a scheduler reads.
fn read_events(text: &str, max_line_bytes: usize) -> Result<Vec<EndpointEvent>, MeasureError> {
    let mut lines = LineDecoder::new(max_line_bytes);
    let (mut buffer, mut events) = (BytesMut::new(), Vec::new());
    for chunk in text.as_bytes().chunks(READ_SIZE) {
        buffer.extend_from_slice(chunk);
        if let Some(WatchLine::Event(event)) = lines.next(&mut buffer)? {
            events.push(event);
        }
    }
    Ok(events)
}

impl Harness for ServeHarness {
    type Delivery = Delivery;
    type List = Rc<String>;

    fn simulation(&mut self) -> &mut Simulation<Delivery> {
        &mut self.simulation
    }

    fn next_wake(&self) -> Option<Micros> {
        self.engine.next_wake()
    }

    fn tick(&mut self, due: Micros) -> Result<(), MeasureError> {
        self.input("tick", || Ok(Input::Tick(due)))
    }

    fn start_task(&mut self) -> Result<(), MeasureError> {
        let id = self.new_id();
        let client = self.client(self.last_id);
        let only_new_services = self.simulation.only_new_services;
        let request = self.simulation.cluster.next_task(id, only_new_services);
        let message = format::request_message(id, &request, None);
        self.requested_services.insert(id, request.service);
        self.traffic.entry("owner_in").add(message.encode().len());
        self.receive_message("set_up", &message, |message| {
            Input::ClientMessage(client, message)
        })?;
        while self.engine.has_queued_requests() {
            self.input("turn", || Ok(Input::AdmitNext))?;
        }
        self.end_oldest_tasks()
    }

    fn change_list(&mut self) -> Result<(), MeasureError> {
        let node = self.simulation.cluster.random_node();
        let event = self.list_event(false, std::iter::once(node));
        self.receive_list("list_change", &event)
    }

    fn deliver(&mut self, delivery: Delivery) -> Result<(), MeasureError> {
        match delivery {
            Delivery::Connected(connection) => {
                let node = self
                    .nodes_by_connection
                    .get(&connection)
                    .copied()
                    .unwrap_or(0);
                self.connections_by_node.insert(node, connection);
                self.input("link_up", || Ok(Input::NodeConnected(connection)))
            }
            Delivery::NodeMessage(connection, message) => {
                self.receive_from_node(connection, &message)
            }
            Delivery::ListAnswer => self.input("told", || Ok(Input::EndpointEvents(Vec::new()))),
        }
    }

    fn full_list(&mut self) -> Result<Rc<String>, MeasureError> {
        let nodes = self.simulation.sizes().nodes;
        Ok(Rc::new(self.list_event(true, 0..nodes)))
    }

    fn receive_full_list(
        &mut self,
        kind: &'static str,
        list: Rc<String>,
    ) -> Result<(), MeasureError> {
        self.receive_list(kind, &list)
    }

    fn counted(&self) -> Vec<Figure> {
        self.counted_figures()
    }

    fn reset_counts(&mut self) {
        self.traffic.clear();
        self.rejected = 0;
    }
}
