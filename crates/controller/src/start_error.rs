//! Errors at the start of a controller.

use crate::journal::JournalError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that prevents a controller from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The write-ahead log of metrics could not be opened.
    #[error("cannot open the write-ahead log of metrics in {path}: {source}")]
    WriteAheadLog {
        /// Directory of the write-ahead log.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The journal of dispatched tasks could not be opened or read.
    #[error("cannot open the journal {path}: {source}")]
    Journal {
        /// Path of the journal.
        path: PathBuf,
        /// The reason.
        source: JournalError,
    },
    /// The recording of the core's inputs could not be created.
    #[error("cannot create the recording {path}: {source}")]
    Recording {
        /// Path of the recording.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
}
