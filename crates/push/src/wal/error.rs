//! Errors of opening a write-ahead log.

use std::io;
use std::path::PathBuf;

/// The reason why a write-ahead log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// Another process has the log open.
    #[error("another process has the write-ahead log in {} open", directory.display())]
    Locked {
        /// Directory of the log.
        directory: PathBuf,
    },
    /// The directory cannot be read or created.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<WalError> for io::Error {
    fn from(error: WalError) -> io::Error {
        match error {
            WalError::Locked { .. } => io::Error::other(error),
            WalError::Io(error) => error,
        }
    }
}
