//! Why a write-ahead log cannot be opened.

use std::io;
use std::path::PathBuf;

/// Why a write-ahead log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// Another process has the log open.
    #[error("{} is open elsewhere", folder.display())]
    Locked {
        /// Folder of the log.
        folder: PathBuf,
    },
    /// The folder cannot be read or made.
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
