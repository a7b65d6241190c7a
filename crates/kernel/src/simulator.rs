//! The simulator: runs the controllers, nodes, node list and clients of a scenario in simulated time, connected by a
//! simulated network.

mod clients;
mod connections;
mod controllers;
mod events;
mod faults;
mod frames;
mod node_list;
mod nodes;
mod submissions;

use crate::client_model::{ClientPolicy, ClientTally};
use crate::report::{RunRecord, ScenarioReport};
use crate::scenario::Scenario;
use clients::ClientGroup;
use connections::Connection;
use controllers::Controller;
use events::{EventQueue, SimEvent};
use nodes::SimulatedNode;
use peppercove::{Micros, NodeId, Scheduler, Settings};
use peppercove_audit::{Event, Observation};
use peppercove_config::Config;
use peppercove_core::{Counters, Decide};
use peppercove_fleet::NodeSubset;
use peppercove_standins::node_model::FleetState;
use peppercove_standins::node_registry::{NodeRegistry, NodeSnapshot};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time before the scenario begins, in which controllers and nodes connect, as in runs on sockets. In microseconds.
const WARM_UP: Micros = 1_000_000;

/// Minimum interval at which the node list reads the free resources of the nodes, in microseconds.
const MIN_LIST_REFRESH_INTERVAL: Micros = 1_000;

/// Upper bound on the delay of a reply to a client, by which the audit extends its time limits. In microseconds.
const MAX_NETWORK_DELAY: Micros = 45_000;

/// Maximum number of events in a run: a guard against a run that does not end.
const MAX_EVENTS: u64 = 200_000_000;

/// Mixed into the seed, so that the draws differ from those of other generators with the same seed.
const SEED_SALT: u64 = 0x006b_6572_6e65_6c00;

/// Creates the scheduler for a starting controller process, from its settings and seed.
pub type MakeDecider<'a> = &'a dyn Fn(&Settings, u64) -> Box<dyn Decide>;

/// Runs a scenario in simulated time. The same scenario and seed always give the same report.
pub fn simulate(scenario: &Scenario, seed: u64) -> ScenarioReport {
    simulate_with_events(scenario, seed).0
}

/// Like [`simulate`], and also returns the events that were captured on the network.
pub fn simulate_with_events(scenario: &Scenario, seed: u64) -> (ScenarioReport, Vec<Event>) {
    let make_decider = |settings: &Settings, seed| -> Box<dyn Decide> {
        let scheduler = Scheduler::new(settings.clone(), seed);
        Box::new(NodeSubset::new(scheduler, settings))
    };
    simulate_with_decider(scenario, seed, &make_decider)
}

/// Like [`simulate`], with controllers that use subsets of `size` nodes, and one more of each zone and kind, as in a
/// large fleet.
pub fn simulate_with_subset(scenario: &Scenario, seed: u64, size: u64) -> ScenarioReport {
    let make_decider = |settings: &Settings, seed| -> Box<dyn Decide> {
        let scheduler = Scheduler::new(settings.clone(), seed);
        let subset = NodeSubset::with_target_sizes(scheduler, settings, size, 1);
        Box::new(subset)
    };
    simulate_with_decider(scenario, seed, &make_decider).0
}

/// Like [`simulate_with_events`], with schedulers that the caller creates.
pub fn simulate_with_decider(
    scenario: &Scenario,
    seed: u64,
    make_decider: MakeDecider<'_>,
) -> (ScenarioReport, Vec<Event>) {
    let mut simulator = Simulator::new(scenario, seed, make_decider);
    simulator.run();
    let report = simulator.report();
    (report, simulator.events)
}

/// State of one run. The submodules implement the methods for its parts.
struct Simulator<'a> {
    scenario: &'a Scenario,
    make_decider: MakeDecider<'a>,
    seed: u64,
    queue: EventQueue,
    rng: fastrand::Rng,
    controllers: Vec<Controller>,
    nodes: Vec<SimulatedNode>,
    /// Indices of the nodes by their ids.
    node_index: BTreeMap<NodeId, usize>,
    /// All connections that have ever been opened.
    connections: Vec<Connection>,
    node_list: NodeRegistry,
    /// Number of active faults that make the node list unreachable.
    list_outages: u32,
    /// Clients, grouped by controller.
    clients: Vec<ClientGroup>,
    client_policy: ClientPolicy,
    tally: ClientTally,
    /// Factor applied to the arrival rates of all workloads.
    rate_factor: f64,
    /// Events that were captured on the network.
    events: Vec<Event>,
    fleet: FleetState,
    /// Number of occurrences of each rare situation, by its description. Shows which ones the scenarios cover.
    hazards: BTreeMap<&'static str, u64>,
    /// Indices of the nodes or controllers that each fault affects, by the index of the fault.
    fault_targets: BTreeMap<usize, Vec<usize>>,
    /// Time from which on no job is submitted.
    submissions_end: Micros,
}

impl<'a> Simulator<'a> {
    fn new(scenario: &'a Scenario, seed: u64, make_decider: MakeDecider<'a>) -> Simulator<'a> {
        let fleet = FleetState::default();
        let refresh = micros(scenario.list_refresh_interval).max(MIN_LIST_REFRESH_INTERVAL);
        let mut node_list = NodeRegistry::new(micros(scenario.list_delay), refresh);
        let specs = scenario.nodes.iter().enumerate();
        let nodes: Vec<SimulatedNode> = specs
            .map(|(index, spec)| SimulatedNode::new(index, spec, &fleet, seed))
            .collect();
        let mut node_index = BTreeMap::new();
        for (index, node) in nodes.iter().enumerate() {
            node_list.add(node.address, NodeSnapshot::of(&node.model));
            node_index.insert(node.id(), index);
        }
        let controllers = 0..scenario.controllers;
        let ambiguous_retry_delay = scenario.config.scheduler.ambiguous_retry_delay;
        Simulator {
            scenario,
            make_decider,
            seed,
            queue: EventQueue::default(),
            rng: fastrand::Rng::with_seed(seed ^ SEED_SALT),
            controllers: controllers
                .clone()
                .map(|index| Controller::new(scenario, seed, index))
                .collect(),
            nodes,
            node_index,
            connections: Vec::new(),
            node_list,
            list_outages: 0,
            clients: controllers
                .map(|index| ClientGroup::new(seed, index))
                .collect(),
            client_policy: ClientPolicy {
                ambiguous_retry_delay: Duration::from_micros(ambiguous_retry_delay),
                failover_share: scenario.client_failover_share,
            },
            tally: ClientTally::default(),
            rate_factor: 1.0,
            events: Vec::new(),
            fleet,
            hazards: BTreeMap::new(),
            fault_targets: BTreeMap::new(),
            submissions_end: WARM_UP + micros(scenario.duration),
        }
    }

    fn run(&mut self) {
        for controller in 0..self.controllers.len() {
            self.start_controller(controller);
        }
        self.schedule_scenario();
        let end = self.submissions_end + micros(self.scenario.max_wind_down);
        for _ in 0..MAX_EVENTS {
            let Some((at, event)) = self.queue.pop() else {
                break;
            };
            if at > end || self.is_finished(at) {
                break;
            }
            self.queue.set_now(at);
            self.handle(event);
        }
    }

    fn schedule_scenario(&mut self) {
        let publication = self.node_list.next_publication();
        self.schedule_at(publication, SimEvent::PublishList);
        for workload in 0..self.scenario.workloads.len() {
            self.schedule_next_arrival(workload, 0, WARM_UP);
        }
        for (index, job) in self.scenario.jobs.iter().enumerate() {
            let at = WARM_UP + micros(job.at);
            self.schedule_at(at, SimEvent::JobArrival { index });
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let begins = true;
            let at = WARM_UP + micros(fault.at);
            self.schedule_at(at, SimEvent::FaultChange { index, begins });
        }
    }

    /// Returns whether all jobs are answered and all faults have ended.
    fn is_finished(&self, at: Micros) -> bool {
        let mut faults = self.scenario.faults.iter();
        at >= self.submissions_end
            && self
                .clients
                .iter()
                .all(|clients| clients.open_requests == 0)
            && faults.all(|fault| WARM_UP + micros(fault.at + fault.duration) <= at)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::ControllerTimer { process } => self.on_controller_timer(process),
            SimEvent::NodeTimer { node, due } => self.on_node_timer(node, due),
            SimEvent::PublishList => self.publish_list(),
            SimEvent::Dial {
                process,
                node,
                attempt,
            } => self.dial(process, node, attempt),
            SimEvent::HandshakeTimeout { connection } => self.on_handshake_timeout(connection),
            SimEvent::ArriveAtNode {
                connection,
                message,
            } => self.on_arrival_at_node(connection, *message),
            SimEvent::ArriveAtController {
                connection,
                message,
            } => self.on_arrival_at_controller(connection, *message),
            SimEvent::ConnectionBroken { connection, end } => {
                self.on_connection_broken(connection, end);
            }
            SimEvent::RequestList { process } => self.request_list(process),
            SimEvent::ListUpdate {
                process,
                subscription,
                update,
            } => self.on_list_update(process, subscription, update),
            SimEvent::WorkloadArrival { workload, number } => {
                self.on_workload_arrival(workload, number);
            }
            SimEvent::JobArrival { index } => self.on_job_arrival(index),
            SimEvent::Submission { process, request } => self.on_submission(process, &request),
            SimEvent::Reply { process, reply } => self.on_reply(process, *reply),
            SimEvent::ClientsReconnect { controller } => self.reconnect_clients(controller),
            SimEvent::Retry {
                controller,
                request,
            } => self.submit(controller, *request),
            SimEvent::FaultChange { index, begins } => self.on_fault_change(index, begins),
        }
    }

    fn now(&self) -> Micros {
        self.queue.now()
    }

    fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        self.queue.schedule_at(at, event);
    }

    fn schedule_after(&mut self, delay: Micros, event: SimEvent) {
        self.queue.schedule_at(self.now() + delay, event);
    }

    fn record_hazard(&mut self, description: &'static str) {
        *self.hazards.entry(description).or_insert(0) += 1;
    }

    fn record(&mut self, observation: Observation) {
        let at = self.now();
        self.events.push(Event { at, observation });
    }

    /// Draws the delay of a message, in microseconds: usually a fraction of a millisecond, occasionally much longer.
    fn draw_latency(&mut self) -> Micros {
        let base = self.rng.u64(40..250);
        match self.rng.u32(0..1000) {
            0 => base + self.rng.u64(5_000..40_000),
            1..10 => base + self.rng.u64(500..5_000),
            _ => base,
        }
    }

    fn report(&mut self) -> ScenarioReport {
        let mut counters = Counters::default();
        for controller in &self.controllers {
            for counted in controller.counters() {
                counters = counters.plus(&counted);
            }
        }
        let open_requests = self.clients.iter().map(|clients| clients.open_requests);
        let run = RunRecord {
            scenario: self.scenario,
            seed: self.seed,
            events: &self.events,
            fleet: &self.fleet,
            tally: &self.tally,
            counters,
            stall: MAX_NETWORK_DELAY,
            // Messages of nodes are captured when they arrive at the controller.
            observation_delay: 0,
            unanswered_requests: open_requests.sum(),
            hazards: std::mem::take(&mut self.hazards),
        };
        run.into()
    }
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// Returns the index of the class with this name; 0 if there is none.
fn class_index(config: &Config, name: &str) -> usize {
    let index = config.classes.iter().position(|class| class == name);
    index.unwrap_or(0)
}
