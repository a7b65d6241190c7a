//! Why a controller did not start.

use crate::journal::JournalError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a controller did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The folder of the write-ahead log of metrics cannot be used.
    #[error("cannot use the backlog {path}: {source}")]
    Backlog {
        /// The folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The journal of dispatched tasks cannot be used.
    #[error("cannot use the journal {path}: {source}")]
    Journal {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: JournalError,
    },
    /// The recording of the inputs could not be created.
    #[error("cannot write the record {path}: {source}")]
    Record {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}
