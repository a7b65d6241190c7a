//! The controller daemon: sockets around the core.
//!
//! One thread, one tokio current-thread runtime. [`Controller::start`] binds the clients' socket, asks for the node
//! list and keeps a link to each node that it names. What arrives becomes an input of the core; what the core gives
//! back is written out. Nothing here decides anything: the front ([`client_session`], [`job_template`]) turns JSON-RPC into
//! submissions, the links ([`node_connection`], [`node_list_watch`]) turn frames into inputs and outputs into frames.

mod client_session;
pub mod job_template;
mod journal;
mod metrics;
mod node_connection;
mod node_list_watch;
mod peers;
mod remote_write;
mod server;

pub use journal::JournalError;
pub use peppercove_exchange::core_limits;

use peppercove_config::Config;
use peppercove_core::{Counters, Input};
use server::Server;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};

/// Messages to peers that may wait to be sent; further ones are lost, as any may be.
const PEER_QUEUE: usize = 256;

/// Why a controller did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The folder for what waits to be pushed cannot be used.
    #[error("cannot use the backlog {path}: {source}")]
    Backlog {
        /// The folder.
        path: std::path::PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The journal of what was sent cannot be used.
    #[error("cannot use the journal {path}: {source}")]
    Journal {
        /// The file.
        path: std::path::PathBuf,
        /// What is wrong with it.
        source: JournalError,
    },
    /// Its record could not be written.
    #[error("cannot write the record {path}: {source}")]
    Record {
        /// The file.
        path: std::path::PathBuf,
        /// What the system said.
        source: io::Error,
    },
}

/// What a stop left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSummary {
    /// Asks that had to be answered because the time was over.
    pub forced_answers: usize,
    /// Tasks that run on; the next life of this controller finds them again.
    pub running_tasks: usize,
    /// Unsafe tasks whose fate nobody knows.
    pub ambiguous_tasks: usize,
}

/// What a controller knows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerStatus {
    /// What happened so far.
    pub counters: Counters,
    /// Asks without a final answer.
    pub open_requests: usize,
    /// Tasks placed and not ended.
    pub running_tasks: usize,
    /// Nodes that the list names and that are linked.
    pub connected_nodes: usize,
    /// Version of the list held.
    pub node_list_version: u64,
}

/// A running controller. Dropping it kills it as a process would be: sockets close, nothing is answered.
pub struct Controller {
    shell: Rc<Server>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Controller {
    /// Starts a controller; must be called within a `LocalSet`.
    ///
    /// # Errors
    /// [`StartError`] where its socket or record cannot be had.
    pub async fn start(config: Config) -> Result<Controller, StartError> {
        let wanted = config.network.clients;
        let listen = |source| StartError::Listen {
            address: wanted,
            source,
        };
        let listener = TcpListener::bind(wanted).await.map_err(listen)?;
        let address = listener.local_addr().map_err(listen)?;
        let shell = Rc::new(Server::new(config)?);
        shell.set_self();
        let mut tasks = vec![
            spawn_local(client_session::accept(shell.clone(), listener)),
            spawn_local(node_list_watch::keep(shell.clone())),
            spawn_local(server::keep_time(shell.clone())),
        ];
        if let Some(wanted) = shell.config.peers.listen {
            let listen = |source| StartError::Listen {
                address: wanted,
                source,
            };
            let socket = UdpSocket::bind(wanted).await.map_err(listen)?;
            let (queue, told) = mpsc::channel(PEER_QUEUE);
            *shell.peers.borrow_mut() = Some(queue);
            tasks.push(spawn_local(peers::carry(shell.clone(), socket, told)));
        }
        if let Some(settings) = shell.config.push.clone() {
            let folder = settings.wal_path.clone();
            let pusher = remote_write::Pusher::open(&shell, settings).map_err(|source| {
                StartError::Backlog {
                    path: folder,
                    source,
                }
            })?;
            tasks.push(spawn_local(pusher.keep(shell.clone())));
        }
        shell.input(Input::Tick);
        tracing::info!(name = shell.config.name, %address, life = shell.life, "controller started");
        Ok(Controller {
            shell,
            address,
            tasks,
        })
    }

    /// Where it listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it knows of itself.
    pub fn status(&self) -> ControllerStatus {
        let core = self.shell.core.borrow();
        ControllerStatus {
            counters: core.counters(),
            open_requests: core.open_requests(),
            running_tasks: core.placed_tasks(),
            connected_nodes: core
                .nodes()
                .iter()
                .filter(|(id, _)| core.nodes().is_up(**id))
                .count(),
            node_list_version: core.nodes().generation,
        }
    }

    /// The text by which clients know its `number`-th job.
    pub fn job_name(&self, number: u64) -> String {
        self.shell.job_name(peppercove_core::JobId(number))
    }

    /// Its figures as they are now, as they are to be pushed.
    pub fn gather_metrics(&self) -> Vec<peppercove_metrics::MetricPoint> {
        self.shell.figures.gather(&self.shell)
    }

    /// Stops cleanly: takes nothing new, waits for what is open for the stated time, answers the rest.
    pub async fn shut_down(self) -> ShutdownSummary {
        self.shell.input(Input::BeginShutdown);
        let end = tokio::time::Instant::now() + self.shell.config.shutdown_timeout;
        while self.shell.core.borrow().open_requests() > 0 && tokio::time::Instant::now() < end {
            let changed = self.shell.settled.notified();
            let _ = tokio::time::timeout_at(end, changed).await;
        }
        let answered = self.shell.core.borrow().open_requests();
        self.shell.input(Input::ShutdownTimeout);
        // Answers are queued on the clients' connections; let them be written.
        self.shell.flush_clients().await;
        let core = self.shell.core.borrow();
        let left = ShutdownSummary {
            forced_answers: answered,
            running_tasks: core.placed_tasks(),
            ambiguous_tasks: core.ambiguous_tasks(),
        };
        drop(core);
        tracing::info!(?left, "controller stopped");
        left
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.shell.close();
    }
}
