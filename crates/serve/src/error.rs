//! Errors of the controller at startup and on reload.

use peppercove_platform::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a controller cannot start, or cannot reload its configuration.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the configuration file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The configuration is invalid.
    #[error("{}: {source}", path.display())]
    Config {
        /// Path of the configuration file.
        path: PathBuf,
        /// Why the configuration is invalid.
        source: ConfigError,
    },
    /// The listening socket cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
}
