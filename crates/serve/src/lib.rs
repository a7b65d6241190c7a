//! `peppercove serve`: a controller of the users' platform on sockets, around [`peppercove_platform::Desk`].
//!
//! One thread, one tokio current-thread runtime. [`run`] binds the owners' socket once signals are heard and the list is
//! in, follows the journal service, and opens connections to hosts when the desk wants them. What arrives becomes an
//! input of the desk; what the desk gives back is written out. Nothing here decides anything about tasks; what is bounded
//! here are connections and their bytes.

mod connection;
mod feed;
mod hosts;
mod owners;
mod shell;

use peppercove_platform::config::{Config, ConfigError};
use shell::Shell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Owners may go on sending for this long after SIGTERM, and every request of that time counts.
const STILL_SERVING: Duration = Duration::from_millis(750);
/// The kill comes no sooner after SIGTERM than the longest deadline, taken as this where it is shorter.
const LEAST_DEADLINE: Duration = Duration::from_millis(3000);

/// Why a controller did not start, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The configuration cannot be used.
    #[error("{}: {source}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The socket could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals cannot be heard.
    #[error("cannot hear signals: {0}")]
    Signals(io::Error),
}

/// What the environment says, to be held against the configuration.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `LB_NAME`.
    pub name: Option<String>,
    /// `LB_LISTEN`.
    pub listen: Option<String>,
}

fn read(path: &Path, environment: &Environment) -> Result<Config, ServeError> {
    let text = std::fs::read_to_string(path).map_err(|source| ServeError::Read {
        path: path.to_owned(),
        source,
    })?;
    Config::parse(
        &text,
        environment.name.as_deref(),
        environment.listen.as_deref(),
    )
    .map_err(|source| ServeError::Config {
        path: path.to_owned(),
        source,
    })
}

/// Serves until SIGTERM or SIGINT; must be called within a `LocalSet`.
///
/// # Errors
/// [`ServeError`] where it cannot start. Nothing that happens afterwards ends it.
pub async fn run(path: &Path, environment: &Environment) -> Result<(), ServeError> {
    // Handlers stand before anything can be seen from outside: a signal that comes early must not end the program.
    let hear = |kind| signal(kind).map_err(ServeError::Signals);
    let (mut terminate, mut interrupt) = (
        hear(SignalKind::terminate())?,
        hear(SignalKind::interrupt())?,
    );
    let mut reload = hear(SignalKind::hangup())?;
    let config = read(path, environment)?;
    let address = config.listen;
    let longest = config
        .settings
        .classes
        .iter()
        .map(|c| c.deadline)
        .max()
        .unwrap_or(0);
    let shell = Shell::new(config, hosts::dial).shared();
    shell.begin();
    let listen = |source| ServeError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen)?;
    let address = listener.local_addr().map_err(listen)?;
    spawn_local(feed::keep(shell.clone()));
    spawn_local(shell::keep_time(shell.clone()));
    spawn_local(shell::take_turns(shell.clone()));
    spawn_local(shell::sweep(shell.clone()));
    spawn_local(owners::accept(shell.clone(), listener));
    tracing::info!(%address, "serving");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = heard(&mut reload) => match read(path, environment) {
                Ok(config) => shell.move_feed(config.journal),
                // The one that stands goes on standing.
                Err(error) => tracing::warn!(%error, "configuration not taken"),
            },
        }
    }
    stop(&shell, Duration::from_micros(longest).max(LEAST_DEADLINE)).await;
    Ok(())
}

async fn heard(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Goes on serving while owners may still send, then waits for the answers that are open.
async fn stop(shell: &Shell, longest: Duration) {
    let began = Instant::now();
    tracing::info!(open = shell.open(), "stopping");
    sleep(STILL_SERVING).await;
    // Danger: what the system has taken and nobody has read yet, in connections taken or not, is owed an answer as well.
    // The runtime looks for it at each wait; a wait that brought nothing says that there is none.
    let all_answered = async {
        let mut seen = None;
        while shell.open() > 0 || !shell.is_flushed() || seen != Some(shell.activity()) {
            seen = Some(shell.activity());
            sleep(Duration::from_millis(5)).await;
        }
    };
    let left = (longest + Duration::from_millis(500)).saturating_sub(began.elapsed());
    let in_time = timeout(left, all_answered).await.is_ok();
    tracing::info!(in_time, open = shell.open(), counters = ?shell.counters(), "stopped");
}
