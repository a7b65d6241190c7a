//! The controller daemon: network and file I/O around the core.
//!
//! Everything runs on one thread, in a tokio current-thread runtime. [`Controller::start`] binds the socket for
//! clients, subscribes to the node list and keeps a connection to every listed node. Each incoming message becomes an
//! input of the core, and the outputs of the core are executed. This crate makes no scheduling decisions.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `server` | the core, its inputs and outputs; uses `journal`, `input_recorder` and `metrics` |
//! | `client_registry` | client connections, their sessions, and the calls that wait for a job |
//! | `client_session`, [`job_template`] | the API server: converts JSON-RPC calls into inputs of the core |
//! | `node_connection`, `node_queues` | connections to nodes: frames to inputs, outputs to frames |
//! | `node_list_watch` | the subscription to the node list |
//! | `peer_messages` | datagrams between controllers |
//! | `remote_write` | pushes metrics to a receiver as background work |
//!
//! The modules that own sockets depend on `server`; it depends on none of them.

mod client_registry;
mod client_session;
mod input_recorder;
mod job_ids;
mod job_report;
pub mod job_template;
mod journal;
mod metrics;
mod node_connection;
mod node_list_watch;
mod node_queues;
mod peer_messages;
mod remote_write;
mod server;
mod start_error;

pub use journal::JournalError;
pub use peppercove_exchange::core_limits;
pub use start_error::StartError;

use peppercove_config::{Config, RemoteWriteSettings};
use peppercove_core::{Counters, Input, JobId};
use peppercove_metrics::MetricPoint;
use server::Server;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout_at};

/// Capacity of the queue of messages to peers. Messages beyond it are dropped; peers tolerate lost messages.
const PEER_QUEUE_CAPACITY: usize = 256;

/// State of a controller at the end of its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSummary {
    /// Placement requests that were still open at the shutdown timeout and had to be answered then.
    pub forced_answers: usize,
    /// Tasks that are still running; the next incarnation of this controller adopts them.
    pub running_tasks: usize,
    /// Non-idempotent tasks with an ambiguous outcome.
    pub ambiguous_tasks: usize,
}

/// Current state of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Event counters since the start.
    pub counters: Counters,
    /// Placement requests without a final answer.
    pub open_requests: usize,
    /// Tasks that were placed and have not ended.
    pub running_tasks: usize,
    /// Nodes in the node list that are connected.
    pub connected_nodes: usize,
    /// Version of the current node list.
    pub node_list_version: u64,
}

/// A running controller.
///
/// Dropping it has the same effect as killing the process: sockets are closed and open requests stay unanswered.
pub struct Controller {
    server: Rc<Server>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Controller {
    /// Starts a controller.
    ///
    /// # Errors
    /// [`StartError`] if a socket, the journal, the recording or the write-ahead log of metrics cannot be opened.
    ///
    /// # Panics
    /// Panics when called outside a `LocalSet`.
    pub async fn start(config: Config) -> Result<Controller, StartError> {
        let (listener, address) = listen_for_clients(config.network.clients).await?;
        let server = Server::new(config, node_connection::spawn)?;
        let mut tasks = vec![
            spawn_local(client_session::accept(server.clone(), listener)),
            spawn_local(node_list_watch::run(server.clone())),
            spawn_local(server::run_timer(server.clone())),
        ];
        if let Some(address) = server.config.peers.listen {
            tasks.push(start_peer_messages(&server, address).await?);
        }
        if let Some(settings) = server.config.remote_write.clone() {
            tasks.push(start_remote_write(&server, settings)?);
        }
        server.handle(Input::Tick);
        let name = &server.config.name;
        tracing::info!(name, %address, incarnation = server.incarnation, "controller started");
        Ok(Controller {
            server,
            address,
            tasks,
        })
    }

    /// Returns the address on which the controller listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current state of the controller.
    pub fn status(&self) -> ControllerStatus {
        let core = self.server.core.borrow();
        let nodes = core.nodes();
        ControllerStatus {
            counters: core.counters(),
            open_requests: core.open_requests(),
            running_tasks: core.placed_tasks(),
            connected_nodes: nodes
                .iter()
                .filter(|(id, _)| nodes.is_connected(**id))
                .count(),
            node_list_version: nodes.generation,
        }
    }

    /// Returns the id that clients use for the job with this number.
    pub fn job_id(&self, number: u64) -> String {
        self.server.job_id(JobId(number))
    }

    /// Returns the current values of all metrics, as they would be pushed.
    pub fn gather_metrics(&self) -> Vec<MetricPoint> {
        self.server.gather_metrics()
    }

    /// Shuts down gracefully: rejects new submissions, waits for open requests up to the configured shutdown timeout,
    /// and then answers the remaining ones.
    pub async fn shut_down(self) -> ShutdownSummary {
        let server = &self.server;
        server.handle(Input::BeginShutdown);
        let deadline = Instant::now() + server.config.shutdown_timeout;
        while server.core.borrow().open_requests() > 0 && Instant::now() < deadline {
            let _ = timeout_at(deadline, server.request_answered.notified()).await;
        }
        let forced_answers = server.core.borrow().open_requests();
        server.handle(Input::ShutdownTimeout);
        // The answers are still queued on the client connections.
        server.flush_clients().await;
        let core = server.core.borrow();
        let summary = ShutdownSummary {
            forced_answers,
            running_tasks: core.placed_tasks(),
            ambiguous_tasks: core.ambiguous_tasks(),
        };
        tracing::info!(
            summary.forced_answers,
            summary.running_tasks,
            summary.ambiguous_tasks,
            "controller stopped"
        );
        summary
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.server.close();
    }
}

async fn listen_for_clients(
    bind_address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen {
        address: bind_address,
        source,
    };
    let listener = TcpListener::bind(bind_address)
        .await
        .map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, address))
}

async fn start_peer_messages(
    server: &Rc<Server>,
    address: SocketAddr,
) -> Result<JoinHandle<()>, StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let socket = UdpSocket::bind(address).await.map_err(listen_error)?;
    let (queue, messages) = mpsc::channel(PEER_QUEUE_CAPACITY);
    server.set_peer_queue(queue);
    Ok(spawn_local(peer_messages::exchange(
        server.clone(),
        socket,
        messages,
    )))
}

fn start_remote_write(
    server: &Rc<Server>,
    settings: RemoteWriteSettings,
) -> Result<JoinHandle<()>, StartError> {
    let path = settings.wal_path.clone();
    match remote_write::RemoteWriter::open(server, settings) {
        Ok(writer) => Ok(spawn_local(writer.run(server.clone()))),
        Err(source) => Err(StartError::WriteAheadLog { path, source }),
    }
}
