//! What can be wrong with the input.

/// What was wrong with the input, and where.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ProtocolError {
    /// The frame ends before a value does.
    #[error("byte {at}: {wanted} bytes wanted, {left} left in the frame")]
    Truncated {
        /// Where the value begins in the frame's body.
        at: usize,
        /// Its length.
        wanted: usize,
        /// Bytes that are there.
        left: usize,
    },
    /// A record of the batch cannot be decoded.
    #[error("record {index} at byte {at}: {source}")]
    Record {
        /// Its index in the batch.
        index: u32,
        /// Where it begins in the frame's body.
        at: usize,
        /// What is wrong with it.
        source: Box<ProtocolError>,
    },
    /// A record comes before the one that names the instance.
    #[error("no instance named")]
    MissingInstance,
    /// The frame is longer than its records.
    #[error("{0} bytes left after the last record")]
    TrailingBytes(usize),
    /// The code of a record is not known.
    #[error("unknown record code {0}")]
    UnknownRecord(u8),
    /// The scope of a node list is not known.
    #[error("unknown list scope {0}")]
    UnknownListScope(u8),
    /// The settings are not the JSON that is expected.
    #[error("settings: {0}")]
    SettingsSyntax(#[from] serde_json::Error),
    /// A word in the settings is not known.
    #[error("settings: {key}: unknown word '{word}'")]
    UnknownWord {
        /// The key of the word.
        key: &'static str,
        /// The word.
        word: String,
    },
    /// A list in the settings has no value for a class.
    #[error("settings: specifics.{key}: no value for class {class}")]
    MissingClassValue {
        /// The key of the list.
        key: &'static str,
        /// Index of the class.
        class: usize,
    },
}
