//! Errors in the input of the adapter.

/// An error in the input, with its position.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ProtocolError {
    /// The frame ends in the middle of a value.
    #[error("byte {at}: {expected} bytes expected, {remaining} left in the frame")]
    Truncated {
        /// Offset of the value in the body of the frame.
        at: usize,
        /// Length of the value.
        expected: usize,
        /// Number of bytes that remain in the frame.
        remaining: usize,
    },
    /// A record of the batch cannot be decoded.
    #[error("record {index} at byte {at}: {source}")]
    Record {
        /// Index of the record in the batch.
        index: u32,
        /// Offset of the record in the body of the frame.
        at: usize,
        /// Cause of the failure.
        source: Box<ProtocolError>,
    },
    /// A record precedes the first record that selects an instance.
    #[error("no instance was selected before the record")]
    MissingInstance,
    /// Bytes remain in the frame after its last record.
    #[error("{0} bytes left after the last record")]
    TrailingBytes(usize),
    /// The record code is unknown.
    #[error("unknown record code {0}")]
    UnknownRecord(u8),
    /// The kind of a node list update is unknown.
    #[error("unknown node list update kind {0}")]
    UnknownListUpdateKind(u8),
    /// The settings are not valid JSON or do not have the expected structure.
    #[error("settings: {0}")]
    SettingsSyntax(#[from] serde_json::Error),
    /// A settings key has an unknown value.
    #[error("settings: {key}: unknown value '{value}'")]
    UnknownValue {
        /// Key of the setting.
        key: &'static str,
        /// The unknown value.
        value: String,
    },
    /// A per-class list in the settings has no value for a class.
    #[error("settings: specifics.{key}: no value for class {class}")]
    MissingClassValue {
        /// Key of the list.
        key: &'static str,
        /// Index of the class.
        class: usize,
    },
}
