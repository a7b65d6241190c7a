//! The controller daemon: sockets around the core.
//!
//! One thread, one tokio current-thread runtime. [`Controller::start`] binds the clients' socket, polls the node list
//! and keeps a connection to each node that it names. What arrives becomes an input of the core; the core's outputs are
//! carried out. Nothing here decides anything.
//!
//! | module | job |
//! | --- | --- |
//! | `server` | the core, its inputs and outputs; `journal`, `input_recorder` and `metrics` below it |
//! | `client_registry` | connections and sessions of clients, and who waits for which job |
//! | `client_session`, [`job_template`] | the API server: JSON-RPC calls to inputs of the core |
//! | `node_connection`, `node_queues` | connections to nodes: frames to inputs, outputs to frames |
//! | `node_list_watch` | the subscription to the node list |
//! | `peer_messages` | datagrams between controllers |
//! | `remote_write` | metrics pushed to a receiver, as background work |
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

/// Messages to peers that may wait to be sent; further ones are lost, as any may be.
const PEER_QUEUE: usize = 256;

/// What was left when a controller shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSummary {
    /// Placement requests that had to be answered because the time was over.
    pub forced_answers: usize,
    /// Tasks that run on; the next incarnation of this controller finds them again.
    pub running_tasks: usize,
    /// Non-idempotent tasks whose outcome is not known.
    pub ambiguous_tasks: usize,
}

/// What a controller knows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerStatus {
    /// What has happened so far.
    pub counters: Counters,
    /// Placement requests without a final answer.
    pub open_requests: usize,
    /// Tasks that are placed and have not ended.
    pub running_tasks: usize,
    /// Nodes that the list names and that are connected.
    pub connected_nodes: usize,
    /// Version of the node list held.
    pub node_list_version: u64,
}

/// A running controller.
///
/// Dropping it has the effect of a killed process: sockets close and nothing is answered.
pub struct Controller {
    server: Rc<Server>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Controller {
    /// Starts a controller.
    ///
    /// # Errors
    /// [`StartError`] where a socket, the journal, the recording or the write-ahead log of metrics cannot be used.
    ///
    /// # Panics
    /// Outside a `LocalSet`.
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
        if let Some(settings) = server.config.push.clone() {
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

    /// The address on which it listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it knows of itself.
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

    /// The id by which clients know the job with this number.
    pub fn job_id(&self, number: u64) -> String {
        self.server.job_id(JobId(number))
    }

    /// Its metrics as they are now, as they would be pushed.
    pub fn gather_metrics(&self) -> Vec<MetricPoint> {
        self.server.gather_metrics()
    }

    /// Shuts down gracefully: rejects new submissions, waits for open requests for the time in the settings, and answers
    /// the rest.
    pub async fn shut_down(self) -> ShutdownSummary {
        let server = &self.server;
        server.handle(Input::BeginShutdown);
        let deadline = Instant::now() + server.config.shutdown_timeout;
        while server.core.borrow().open_requests() > 0 && Instant::now() < deadline {
            let _ = timeout_at(deadline, server.request_answered.notified()).await;
        }
        let forced_answers = server.core.borrow().open_requests();
        server.handle(Input::ShutdownTimeout);
        // The answers are queued on the clients' connections.
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

async fn listen_for_clients(wanted: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen {
        address: wanted,
        source,
    };
    let listener = TcpListener::bind(wanted).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, address))
}

async fn start_peer_messages(
    server: &Rc<Server>,
    address: SocketAddr,
) -> Result<JoinHandle<()>, StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let socket = UdpSocket::bind(address).await.map_err(listen_error)?;
    let (queue, messages) = mpsc::channel(PEER_QUEUE);
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
        Err(source) => Err(StartError::Backlog { path, source }),
    }
}
