//! The hollow controller with simulated clients, nodes and node list.

mod figures;
mod nodes;

use super::format::{config, decode, encode, node_address, node_name, node_number, submission};
use crate::error::MeasureError;
use crate::harness::{Harness, Simulation};
use crate::row::{Figure, Sizes};
use crate::traffic::TrafficByKind;
use crate::workload::SECOND;
use crate::workload::cluster::{Cluster, Location};
use bytes::{Bytes, BytesMut};
use peppercove::{Micros, Scheduler};
use peppercove_config::Config;
use peppercove_core::{Core, Input, Output};
use peppercove_exchange::{core_limits, node_list_input};
use peppercove_fleet::{NodeSubset, SubsetScheduler};
use peppercove_protocol::codec::MAX_LIST_FRAME_BYTES;
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};
use peppercove_protocol::node::{AttemptId, FromNode};
use std::collections::{BTreeMap, VecDeque};

/// One-way network delay in microseconds.
const NETWORK_DELAY: Micros = 200;
/// Delay in microseconds after which nodes that hold tasks connect. The other nodes connect first, because each new
/// connection iterates over all running tasks known at that time.
const ADOPTION_DELAY: Micros = SECOND / 2;
/// The incarnation of the controller. The tasks that already run were placed by the previous incarnation.
const INCARNATION: u64 = 2;
/// Maximum number of nodes that hold tasks when they connect. Each connection iterates over all running tasks, and
/// without the limit the setup would take minutes at the largest sizes.
const MAX_OCCUPIED_NODES: u64 = 2_000;
/// Seed of the scheduler.
const SEED: u64 = 1;

/// Events that the simulated peers deliver to the controller.
#[derive(Debug)]
pub enum Delivery {
    /// A connection to a node is established.
    Connected(u64),
    /// A message from a node arrives.
    NodeMessage(u64, Box<FromNode>),
}

/// A running task.
#[derive(Clone, Copy, Debug)]
struct RunningTask {
    attempt: AttemptId,
    node: u64,
}

/// A controller's core with its simulated peers.
pub struct ControllerHarness {
    simulation: Simulation<Delivery>,
    core: Core<SubsetScheduler>,
    config: Config,
    list_generation: u64,
    last_ticket: u64,
    /// Running tasks, oldest first.
    running: VecDeque<RunningTask>,
    /// Tasks of the previous incarnation that have not been reported yet, by node.
    unreported: BTreeMap<u64, Vec<u64>>,
    connected_nodes: u64,
    traffic: TrafficByKind,
}

impl ControllerHarness {
    /// Creates a controller that has just started.
    ///
    /// # Errors
    /// As [`Simulation::new`].
    pub fn new(sizes: &Sizes) -> Result<ControllerHarness, MeasureError> {
        let cluster = Cluster::new(sizes).with_max_occupied_nodes(MAX_OCCUPIED_NODES);
        let config = config(&cluster)?;
        let scheduler = Scheduler::new(config.scheduler.clone(), SEED);
        let subset = NodeSubset::new(scheduler, &config.scheduler);
        let mut unreported: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for n in 0..sizes.running_tasks {
            unreported
                .entry(cluster.node_of_task(n))
                .or_default()
                .push(n);
        }
        Ok(ControllerHarness {
            core: Core::new(subset, core_limits(&config, INCARNATION)),
            config,
            simulation: Simulation::new(cluster)?,
            list_generation: 0,
            last_ticket: 0,
            running: VecDeque::with_capacity(sizes.running_tasks as usize),
            unreported,
            connected_nodes: 0,
            traffic: TrafficByKind::default(),
        })
    }

    /// Passes the input that `read` decodes to the core. The recorded time of this kind covers both.
    fn input(
        &mut self,
        kind: &'static str,
        read: impl FnOnce() -> Result<Input, MeasureError>,
    ) -> Result<(), MeasureError> {
        let core = &mut self.core;
        let outputs = self
            .simulation
            .time_event(kind, |now| Ok::<_, MeasureError>(core.handle(now, read()?)))?;
        outputs
            .iter()
            .try_for_each(|output| self.handle_output(output))
    }

    fn handle_output(&mut self, output: &Output) -> Result<(), MeasureError> {
        match output {
            Output::Connect { node, .. } => self.connect_later(node_number(*node)),
            Output::Journal(entries) => {
                self.traffic.entry("journal").add_many(entries.len(), 0);
            }
            Output::Accepted { .. } | Output::Answered { .. } => {
                self.traffic.entry("client_out").add(0);
            }
            Output::Rejected { .. } => self.traffic.entry("turned_away").add(0),
            Output::Finished(job) => {
                self.traffic.entry("client_out").add(0);
                let job = *job;
                return self.input("dispose", || Ok(Input::Dispose(job)));
            }
            Output::Dispatch { .. }
            | Output::CancelAttempt { .. }
            | Output::ControlTask { .. }
            | Output::Adopt { .. }
            | Output::DiscardOrphan { .. }
            | Output::Probe(_)
            | Output::ControlAccepted { .. }
            | Output::Disconnect(_)
            | Output::WatchNodes
            | Output::Broadcast(_)
            | Output::Log(_) => return self.send_to_node(output),
        }
        Ok(())
    }

    fn connect_later(&mut self, node: u64) {
        let holds_tasks = self.unreported.contains_key(&node);
        let delay = if holds_tasks {
            ADOPTION_DELAY
        } else {
            NETWORK_DELAY * 3
        };
        self.simulation
            .deliver_after(delay, Delivery::Connected(node));
    }

    fn list_frame(
        &mut self,
        nodes: impl Iterator<Item = u64>,
        scope: Scope,
    ) -> Result<Bytes, MeasureError> {
        let cluster = &mut self.simulation.cluster;
        let entries = nodes.map(|i| list_entry(cluster, i)).collect();
        self.list_generation += 1;
        let update = FromList::Update {
            generation: self.list_generation,
            scope,
            entries,
        };
        Ok(encode(&update, MAX_LIST_FRAME_BYTES)?.freeze())
    }

    /// Delivers an update of the node list.
    ///
    /// # Errors
    /// If the frame cannot be decoded.
    fn receive_list(&mut self, kind: &'static str, frame: Bytes) -> Result<(), MeasureError> {
        self.traffic.entry(kind).add(frame.len());
        let mut bytes = BytesMut::from(&frame[..]);
        self.input(kind, || {
            let update: FromList = decode(&mut bytes, MAX_LIST_FRAME_BYTES)?;
            node_list_input(update).ok_or(MeasureError::Incomplete("an update of the node list"))
        })
    }
}

fn list_entry(cluster: &mut Cluster, i: u64) -> ListEntry {
    let Location { rack, zone } = Location::of_node(i);
    let free = cluster.free_capacity(i);
    ListEntry {
        address: node_address(i),
        name: node_name(i),
        state: NodeState::Ready,
        kind: 0,
        rack,
        zone,
        incarnation: 1,
        age: None,
        free_cores: Some(free.cores),
        free_memory: Some(free.memory),
    }
}

impl Harness for ControllerHarness {
    type Delivery = Delivery;
    type List = Bytes;

    fn simulation(&mut self) -> &mut Simulation<Delivery> {
        &mut self.simulation
    }

    fn next_wake(&self) -> Option<Micros> {
        self.core.next_wake()
    }

    fn tick(&mut self, _due: Micros) -> Result<(), MeasureError> {
        self.input("tick", || Ok(Input::Tick))
    }

    fn start_task(&mut self) -> Result<(), MeasureError> {
        self.last_ticket += 1;
        let ticket = self.last_ticket + self.simulation.sizes().running_tasks;
        let only_new_services = self.simulation.only_new_services;
        let request = self.simulation.cluster.next_task(ticket, only_new_services);
        let submission = Box::new(submission(&self.simulation.cluster, ticket, &request));
        self.traffic.entry("client_in").add(0);
        self.input("submit", || Ok(Input::Submit { ticket, submission }))?;
        self.end_oldest_tasks()
    }

    fn change_list(&mut self) -> Result<(), MeasureError> {
        let node = self.simulation.cluster.random_node();
        let frame = self.list_frame(std::iter::once(node), Scope::Delta)?;
        self.receive_list("list_change", frame)
    }

    fn deliver(&mut self, delivery: Delivery) -> Result<(), MeasureError> {
        match delivery {
            Delivery::Connected(node) => self.connect_node(node),
            Delivery::NodeMessage(node, message) => self.receive_from_node(node, &message),
        }
    }

    fn full_list(&mut self) -> Result<Bytes, MeasureError> {
        let nodes = self.simulation.sizes().nodes;
        self.list_frame(0..nodes, Scope::Full)
    }

    fn receive_full_list(&mut self, kind: &'static str, list: Bytes) -> Result<(), MeasureError> {
        self.receive_list(kind, list)
    }

    fn counted(&self) -> Vec<Figure> {
        self.counted_figures()
    }

    fn reset_counts(&mut self) {
        self.traffic.clear();
    }
}
