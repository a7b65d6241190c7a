//! A small cluster of fake nodes and one controller on loopback, for demonstrations and tests.

use peppercove_config::Config;
use peppercove_controller::{Controller, StartError};
use peppercove_standins::Clock;
use peppercove_standins::list::FakeNodeList;
use peppercove_standins::node::FakeNode;
use peppercove_standins::node_model::{FleetState, NodeSpec};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Publication delay of the node list, in microseconds.
const LIST_DELAY: u64 = 100_000;

/// Interval at which the node list refreshes the free resources of the nodes.
const LIST_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the start checks whether the controller is connected to all nodes.
const CONNECT_POLL: Duration = Duration::from_millis(2);

/// Number of racks that the nodes are distributed over.
const RACKS: usize = 4;

/// Why a cluster did not start.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A socket or the runtime could not be created.
    #[error("cannot create a socket or the runtime: {0}")]
    Io(#[from] io::Error),
    /// The controller did not start.
    #[error("cannot start the controller: {0}")]
    Start(#[from] StartError),
    /// The thread of the cluster ended before the controller was ready.
    #[error("the thread of the cluster ended before the controller was ready")]
    Ended,
}

/// Nodes, node list and controller, which run in a separate thread until this is dropped.
pub struct Cluster {
    /// Address at which the controller listens for clients.
    pub contact: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Cluster {
    /// Starts a cluster with this number of nodes, after `adjust` has changed the properties of each.
    ///
    /// # Errors
    /// [`ClusterError`] if a socket or the runtime cannot be created or the controller does not start.
    pub fn start(
        config: Config,
        nodes: usize,
        adjust: impl Fn(NodeSpec) -> NodeSpec + Send + 'static,
    ) -> Result<Cluster, ClusterError> {
        let (ready, started) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            if let Err(error) = serve(config, nodes, &adjust, &ready, stopped) {
                let _ = ready.send(Err(error));
            }
        });
        let contact = started.recv().map_err(|_| ClusterError::Ended)??;
        Ok(Cluster {
            contact,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Sends the address of the controller once it is ready, or the reason why it did not start.
type Ready = mpsc::Sender<Result<SocketAddr, ClusterError>>;

/// Runs the cluster until `stopped` resolves.
fn serve(
    mut config: Config,
    nodes: usize,
    adjust: &impl Fn(NodeSpec) -> NodeSpec,
    ready: &Ready,
    stopped: oneshot::Receiver<()>,
) -> Result<(), ClusterError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let (clock, fleet) = (Clock::default(), FleetState::default());
        let list = FakeNodeList::start(clock, LIST_DELAY, LIST_REFRESH_INTERVAL).await?;
        for index in 0..nodes {
            let spec = adjust(node_spec(&config, index));
            let node = FakeNode::start(spec, fleet.clone(), clock, index as u64).await?;
            list.add(&node, node.address());
        }
        config.network.node_list = list.address().into();
        let controller = Controller::start(config).await?;
        while controller.status().connected_nodes < nodes {
            tokio::time::sleep(CONNECT_POLL).await;
        }
        let _ = ready.send(Ok(controller.address()));
        let _ = stopped.await;
        controller.shut_down().await;
        Ok(())
    })
}

/// Properties of the node with this index in a small cluster with these settings.
pub fn node_spec(config: &Config, index: usize) -> NodeSpec {
    let settings = &config.scheduler;
    let kind = index % settings.node_kinds.len();
    NodeSpec {
        kind: kind as u8,
        rack: (index % RACKS) as u16,
        cores: settings.node_kinds[kind].cores,
        memory: settings.node_kinds[kind].memory,
        cores_overcommit: settings.cores_overcommit,
        memory_overcommit: settings.memory_overcommit,
        preempts: settings.allows_preemption,
        ..NodeSpec::small(format!("node-{index}"))
    }
}
