//! Days from a recording of the bench.

/// A day made from a recording, and its settings.
#[derive(Debug)]
pub struct Imported {
    /// The day.
    pub day: String,
    /// Its settings.
    pub settings: String,
    /// What was found in it.
    pub summary: String,
}

/// Why a recording could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct ImportError(pub String);

/// Reads a recording.
///
/// # Errors
/// Not read yet.
pub fn import(_bytes: &[u8], _name: &str, _seconds: f64, _thin: u64) -> Result<Imported, ImportError> {
    Err(ImportError("not read yet".into()))
}
