//! `peppercove serve`: a controller of the users' platform on real sockets, driven by
//! [`peppercove_platform::PlatformEngine`].
//!
//! The program runs on one thread with tokio's current-thread runtime. [`run`] installs the signal handlers, loads the
//! node list, and then listens for clients. It follows the journal service and opens connections to nodes on behalf of
//! the engine. Everything that is received is passed to the engine as an input, and the outputs of the engine are
//! executed. This crate makes no decisions about tasks; it only limits the number of connections and the size of their
//! buffers.
//!
//! Dependencies: the platform engine, the scheduler (the decision module), `runtime` and tokio. This crate must not
//! interpret messages.

mod clients;
mod connection;
mod endpoint_watch;
mod error;
mod nodes;
mod server;
mod shutdown;

pub use error::ServeError;

use peppercove_platform::config::Config;
use server::Server;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

/// Values of environment variables. Those that are set must match the configuration.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `LB_NAME`.
    pub name: Option<String>,
    /// `LB_LISTEN`.
    pub listen: Option<String>,
}

/// Serves until SIGTERM or SIGINT. Must be called within a `LocalSet`.
///
/// # Errors
/// Returns a [`ServeError`] if the controller cannot start. Once started, errors do not stop it.
pub async fn run(path: &Path, environment: &Environment) -> Result<(), ServeError> {
    // Installed before the process is visible from outside: an early signal must not kill it.
    let mut signals = Signals::install()?;
    let config = read_config(path, environment)?;
    let address = config.listen;
    let longest_deadline = longest_deadline(&config);
    let server = Server::new(config, nodes::connect);
    server.start();
    let listen_error = |source| ServeError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    spawn_local(endpoint_watch::follow(server.clone()));
    spawn_local(server::run_timer(server.clone()));
    spawn_local(server::admit_queued_requests(server.clone()));
    spawn_local(server::send_notifications(server.clone()));
    spawn_local(server::sweep_connections(server.clone()));
    spawn_local(clients::accept(server.clone(), listener));
    tracing::info!(%address, "serving");
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            () = received(&mut signals.reload) => reload(&server, path, environment),
        }
    }
    let shutdown = shutdown::shut_down(&server, longest_deadline);
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            () = &mut shutdown => return Ok(()),
            // The node list must not stand still while requests are still placed.
            () = received(&mut signals.reload) => reload(&server, path, environment),
        }
    }
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn install() -> Result<Signals, ServeError> {
        let install = |kind| signal(kind).map_err(ServeError::Signals);
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            reload: install(SignalKind::hangup())?,
        })
    }
}

/// Waits for a signal. Never returns if no more signals can be received.
async fn received(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Reloads the configuration. Only the address of the journal service can change while serving. An invalid
/// configuration has no effect.
fn reload(server: &Server, path: &Path, environment: &Environment) {
    match read_config(path, environment) {
        Ok(config) => server.set_journal_address(config.journal),
        Err(error) => tracing::warn!(%error, "configuration not reloaded"),
    }
}

fn read_config(path: &Path, environment: &Environment) -> Result<Config, ServeError> {
    let text = std::fs::read_to_string(path).map_err(|source| ServeError::Read {
        path: path.to_owned(),
        source,
    })?;
    let (name, listen) = (environment.name.as_deref(), environment.listen.as_deref());
    Config::parse(&text, name, listen).map_err(|source| ServeError::Config {
        path: path.to_owned(),
        source,
    })
}

fn longest_deadline(config: &Config) -> Duration {
    let deadlines = config.settings.classes.iter().map(|class| class.deadline);
    Duration::from_micros(deadlines.max().unwrap_or(0))
}
