//! The fleet of a scenario on loopback: nodes, node list and controllers, with a proxy in front of every listener.

use super::controllers::{ControllerCommand, ManagedController};
use super::{RunError, RunOptions};
use crate::capturing_proxy::{CaptureLog, CapturingProxy, ClassDefaults, ClassTable, Protocol};
use peppercove::Idempotency;
use peppercove_config::Config;
use peppercove_kernel::scenario::{FaultTarget, Scenario};
use peppercove_protocol::node;
use peppercove_standins::Clock;
use peppercove_standins::list::FakeNodeList;
use peppercove_standins::node::FakeNode;
use peppercove_standins::node_model::{FleetState, NodeSpec};
use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Target of a proxy before its controller has started: nothing listens on this port.
const UNUSED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// Any free port on loopback.
const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Interval at which the start checks whether all controllers are connected to all nodes.
const CONNECT_POLL: Duration = Duration::from_millis(5);

/// Number of checks before the run starts regardless.
const MAX_CONNECT_POLLS: usize = 2000;

/// The fleet of a scenario on loopback.
pub(super) struct Fleet {
    pub(super) clock: Clock,
    pub(super) capture_log: CaptureLog,
    pub(super) state: FleetState,
    pub(super) list: FakeNodeList,
    pub(super) nodes: Vec<FakeNode>,
    /// The proxy in front of each node, by the index of the node.
    pub(super) node_proxies: Vec<CapturingProxy>,
    pub(super) controllers: Vec<ManagedController>,
    /// Factor by which the arrival rates of all workloads are multiplied.
    pub(super) rate_factor: Cell<f64>,
    /// Directory for settings and journals of the controllers, removed when this is dropped.
    files: tempfile::TempDir,
}

impl Fleet {
    pub(super) async fn start(
        scenario: &Scenario,
        seed: u64,
        options: &RunOptions,
    ) -> Result<Fleet, RunError> {
        let clock = Clock::default();
        let log = CaptureLog::new(clock);
        let list_delay = scenario.list_delay.as_micros() as u64;
        let list = FakeNodeList::start(clock, list_delay, scenario.list_refresh_interval).await?;
        let mut fleet = Fleet {
            clock,
            capture_log: log.clone(),
            state: FleetState::default(),
            list: list.clone(),
            nodes: Vec::new(),
            node_proxies: Vec::new(),
            controllers: Vec::new(),
            rate_factor: Cell::new(1.0),
            files: tempfile::tempdir()?,
        };
        let list_proxy = CapturingProxy::start(list.address().into(), Protocol::NodeList, log);
        let list_proxy = list_proxy.await?;
        for (index, spec) in scenario.nodes.iter().enumerate() {
            fleet.add_node(spec, seed ^ (index as u64) << 8).await?;
        }
        let classes = Rc::new(class_table(&scenario.config));
        for index in 0..scenario.controllers {
            let mut config = scenario.controller_config(seed, index);
            config.network.node_list = list_proxy.address().into();
            fleet
                .add_controller(scenario, config, options, classes.clone())
                .await?;
        }
        Ok(fleet)
    }

    async fn add_node(&mut self, spec: &NodeSpec, seed: u64) -> Result<(), RunError> {
        let node = FakeNode::start(spec.clone(), self.state.clone(), self.clock, seed).await?;
        let protocol = Protocol::Node(spec.name.clone());
        let log = self.capture_log.clone();
        let proxy = CapturingProxy::start(node.address().into(), protocol, log).await?;
        self.list.add(&node, proxy.address());
        self.nodes.push(node);
        self.node_proxies.push(proxy);
        Ok(())
    }

    async fn add_controller(
        &mut self,
        scenario: &Scenario,
        mut config: Config,
        options: &RunOptions,
        classes: Rc<ClassTable>,
    ) -> Result<(), RunError> {
        let directory = self.files.path();
        config.network.clients = ANY_PORT.into();
        config.journal_path = scenario.journal.then(|| directory.join(&config.name));
        let records = options.records.as_ref();
        config.record_path = records.map(|records| records.join(format!("{}.jsonl", config.name)));
        let protocol = Protocol::Clients {
            controller: config.name.clone(),
            classes,
        };
        let log = self.capture_log.clone();
        let proxy = CapturingProxy::start(SocketAddr::from(UNUSED_ADDRESS), protocol, log).await?;
        let settings = directory.join("settings.xml");
        std::fs::write(&settings, &scenario.settings_xml)?;
        let program = options.program.clone();
        let command = program.map(|program| ControllerCommand::new(program, settings, &config));
        let controller = ManagedController::new(config, command, proxy);
        controller.start(&self.capture_log).await?;
        self.controllers.push(controller);
        Ok(())
    }

    /// Waits until every controller is connected to every node, for at most ten seconds.
    pub(super) async fn wait_until_connected(&self) {
        let nodes = self.nodes.len();
        let all = nodes * self.controllers.len();
        for _ in 0..MAX_CONNECT_POLLS {
            let handshakes = self.capture_log.handshakes();
            let mut controllers = self.controllers.iter();
            if controllers.all(|controller| controller.is_connected(nodes, handshakes, all)) {
                break;
            }
            sleep(CONNECT_POLL).await;
        }
    }

    /// Address at which clients reach each controller, through its proxy.
    pub(super) fn client_addresses(&self) -> Vec<SocketAddrV4> {
        let controllers = self.controllers.iter();
        controllers
            .map(|controller| controller.proxy.address())
            .collect()
    }

    /// Indices of the nodes that a fault affects.
    pub(super) fn select_nodes(&self, target: &FaultTarget, rng: &mut fastrand::Rng) -> Vec<usize> {
        let specs = self.nodes.iter();
        let specs: Vec<NodeSpec> = specs
            .map(|node| node.read(|model| model.spec().clone()))
            .collect();
        let specs: Vec<&NodeSpec> = specs.iter().collect();
        target.select_nodes(&specs, rng)
    }
}

fn class_table(config: &Config) -> ClassTable {
    let classes = config.classes.iter().zip(&config.scheduler.classes);
    let classes = classes.map(|(name, class)| {
        let defaults = ClassDefaults {
            deadline: class.deadline,
            idempotency: match class.idempotency {
                Idempotency::Idempotent => node::Idempotency::Idempotent,
                Idempotency::Keyed { .. } => node::Idempotency::Keyed,
                Idempotency::NonIdempotent => node::Idempotency::NonIdempotent,
            },
        };
        (name.clone(), defaults)
    });
    ClassTable {
        classes: classes.collect(),
        default: config.classes[usize::from(config.default_class)].clone(),
    }
}
