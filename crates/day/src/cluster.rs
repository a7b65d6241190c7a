//! A small cluster of stand-ins and one controller on loopback, to look at and to test against.

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

/// Why a cluster did not start.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A socket or a thread could not be had.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
    /// The controller did not start.
    #[error("controller: {0}")]
    Start(#[from] StartError),
    /// Its thread ended.
    #[error("the cluster ended before it began")]
    Ended,
}

/// Nodes, a list of them and a controller, in a thread of their own until this is dropped.
pub struct Cluster {
    /// Where the controller listens for clients.
    pub contact: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Cluster {
    /// Starts so many nodes; `shape` may change what each is.
    ///
    /// # Errors
    /// [`ClusterError`] where a socket or the controller cannot be had.
    pub fn start(
        config: Config,
        nodes: usize,
        shape: impl Fn(NodeSpec) -> NodeSpec + Send + 'static,
    ) -> Result<Cluster, ClusterError> {
        let (ready, told) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            if let Err(error) = serve(config, nodes, &shape, &ready, stopped) {
                let _ = ready.send(Err(error));
            }
        });
        let contact = told.recv().map_err(|_| ClusterError::Ended)??;
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

type Ready = mpsc::Sender<Result<SocketAddr, ClusterError>>;

fn serve(
    mut config: Config,
    nodes: usize,
    shape: &impl Fn(NodeSpec) -> NodeSpec,
    ready: &Ready,
    stopped: oneshot::Receiver<()>,
) -> Result<(), ClusterError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let (clock, shared) = (Clock::default(), FleetState::default());
        let list = FakeNodeList::start(clock, 100_000, Duration::from_millis(250)).await?;
        for i in 0..nodes {
            let node = FakeNode::start(
                shape(node_spec(&config, i)),
                shared.clone(),
                clock,
                i as u64,
            )
            .await?;
            list.add(&node, node.address());
        }
        config.network.node_list = list.address().into();
        let controller = Controller::start(config).await?;
        while controller.status().connected_nodes < nodes {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let _ = ready.send(Ok(controller.address()));
        let _ = stopped.await;
        controller.shut_down().await;
        Ok(())
    })
}

/// The `i`-th node of a small cluster with these settings.
pub fn node_spec(config: &Config, i: usize) -> NodeSpec {
    let kind = i % config.scheduler.node_kinds.len();
    NodeSpec {
        kind: kind as u8,
        rack: (i % 4) as u16,
        cores: config.scheduler.node_kinds[kind].cores,
        memory: config.scheduler.node_kinds[kind].memory,
        cores_overcommit: config.scheduler.cores_overcommit,
        memory_overcommit: config.scheduler.memory_overcommit,
        preempts: config.scheduler.allows_preemption,
        ..NodeSpec::small(format!("node-{i}"))
    }
}
