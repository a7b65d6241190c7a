//! Why a controller cannot start.

use peppercove_platform::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a controller cannot start, or cannot apply a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration is not valid.
    #[error("{}: {source}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The socket cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot hear signals: {0}")]
    Signals(io::Error),
}
