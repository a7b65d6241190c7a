//! Errors of measuring, of making the capacity report, and of filling in its page.

use crate::row::Sizes;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

/// Why a point could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// No role has this name.
    #[error("unknown role {name:?}; expected one of {known}")]
    UnknownRole {
        /// The requested name.
        name: String,
        /// All role names, separated by commas.
        known: String,
    },
    /// The sizes of a point are not the expected JSON object.
    #[error("cannot parse the sizes of the point as a JSON object of sizes")]
    Sizes(#[source] serde_json::Error),
    /// A line printed by the process of a point is not a figure.
    #[error("expected a figure as JSON from the process of a point, got {line:?}")]
    Figure {
        /// The line.
        line: String,
        /// The parse error.
        source: serde_json::Error,
    },
    /// Sizes, a figure or a row cannot be written as JSON.
    #[error("cannot serialize a point or row as JSON")]
    Serialize(#[source] serde_json::Error),
    /// The process of a point exceeded its timeout and was killed.
    #[error("the process measuring {role} at {sizes:?} ran for over {seconds} s and was killed")]
    PointTimeout {
        /// The role.
        role: &'static str,
        /// The sizes of the point.
        sizes: Sizes,
        /// The timeout in seconds.
        seconds: u64,
    },
    /// The process of a point failed; its own message is on standard error.
    #[error("the process measuring {role} at {sizes:?} failed with {status}")]
    PointFailed {
        /// The role.
        role: &'static str,
        /// The sizes of the point.
        sizes: Sizes,
        /// Its exit status.
        status: ExitStatus,
    },
    /// The measurement of a point exceeded its timeout.
    #[error("the measurement of the point did not finish within its timeout")]
    Timeout,
    /// A point would need more file descriptors than a process may have.
    #[error(
        "the point needs up to {needed} file descriptors in one process, more than the limit allows"
    )]
    TooManyDescriptors {
        /// The number of file descriptors needed.
        needed: u64,
    },
    /// A helper thread panicked.
    #[error("the thread that {0} panicked")]
    ThreadPanicked(&'static str),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file under `/proc` could not be read.
    #[error("cannot read {path}")]
    File {
        /// The file.
        path: String,
        /// The underlying error.
        source: io::Error,
    },
    /// A file under `/proc` lacks an expected value.
    #[error("{path}: expected {expected}, found none")]
    FileContent {
        /// The file.
        path: String,
        /// The expected value.
        expected: &'static str,
    },
    /// A scheduler process did not start listening.
    #[error("a scheduler process did not log the address it listens on; its log: {log}")]
    NotStarted {
        /// The log of the process.
        log: String,
    },
    /// The controller in this process did not start in time.
    #[error("the controller did not start within its timeout")]
    ControllerNotStarted,
    /// The outcome of a run rules out a meaningful figure.
    #[error("{0}")]
    Implausible(String),
    /// A relay does not listen on an IPv4 address.
    #[error("expected the relay to listen on an IPv4 address")]
    NotIpv4,
    /// An expected message, frame or line is absent or incomplete.
    #[error("expected {0}, found none or an incomplete one")]
    Incomplete(&'static str),
    /// A histogram could not be created.
    #[error("cannot create a histogram of the requested precision")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The controller's settings are not valid.
    #[error("the embedded default settings of the controller are invalid")]
    Settings(#[from] peppercove_config::ConfigError),
    /// The platform's configuration is not valid.
    #[error("the generated platform configuration is invalid")]
    PlatformConfig(#[from] peppercove_platform::config::ConfigError),
    /// A frame of the node protocol or of the node list cannot be decoded or encoded.
    #[error("cannot decode or encode a frame of the node protocol or of the node list")]
    Frame(#[from] peppercove_protocol::codec::FrameError),
    /// A platform message cannot be decoded.
    #[error("cannot decode a platform message")]
    PlatformMessage(#[from] peppercove_platform::wire::DecodeError),
    /// A line of the endpoint list cannot be decoded.
    #[error("cannot decode a line of the endpoint list")]
    EndpointList(#[from] peppercove_platform::endpoint_watch::EndpointWatchError),
    /// A node's handshake failed.
    #[error("the handshake with a simulated node failed")]
    Handshake(#[from] peppercove_exchange::HandshakeError),
    /// The controller in this process could not start.
    #[error("cannot start the controller")]
    Controller(#[from] peppercove_controller::StartError),
    /// A DRMAA call failed.
    #[error("a DRMAA call failed")]
    Drmaa(#[from] peppercove_drmaa::Error),
}

/// Why the capacity report could not be generated.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file could not be read, written or removed.
    #[error("cannot read, write or remove {path}")]
    File {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// The target file does not have the expected format.
    #[error("the target (bench/scale/target.json) does not have the expected JSON format")]
    Target(#[source] serde_json::Error),
    /// An assumption is missing from the target file or occurs more than once.
    #[error("invalid target: expected exactly one assumption of {quantity}, found {found}")]
    AssumptionCount {
        /// The assumed quantity.
        quantity: String,
        /// The number of assumptions found.
        found: usize,
    },
    /// A figure of the target is not finite or not above zero.
    #[error("invalid target: {key} is {value}, expected a finite number above 0")]
    TargetFigure {
        /// Its key in the file.
        key: String,
        /// Its value.
        value: f64,
    },
    /// The share of start messages that counts as control traffic is over one.
    #[error("invalid target: control_share is over 1, expected at most 1")]
    ControlShare,
    /// The needs file does not have the expected format.
    #[error("the needs (bench/scale/needs.json) do not have the expected JSON format")]
    Needs(#[source] serde_json::Error),
    /// Two needs have the same name.
    #[error("invalid needs: the name {0:?} is used twice")]
    DuplicateNeed(String),
    /// A requirement or event cost refers to a need that does not exist.
    #[error("invalid needs: a requirement or event cost refers to {0:?}, which does not exist")]
    UnknownNeed(String),
    /// A line of a rows file is not a row.
    #[error("{file}:{line}: cannot parse the line as a row")]
    Row {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The parse error.
        source: serde_json::Error,
    },
    /// A figure in a rows file is negative or not finite.
    #[error("{file}:{line}: expected finite figures of at least 0 for {measure}")]
    RowFigure {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The measure.
        measure: String,
    },
    /// The unit of a measure cannot be compared with the budget of a need.
    #[error(
        "need {need:?}: {measure} of {role} is in {unit}, which cannot be compared with the budget {budget:?}"
    )]
    UnitMismatch {
        /// The need.
        need: String,
        /// The measure.
        measure: String,
        /// The role.
        role: String,
        /// The unit of the measure.
        unit: String,
        /// The description of the budget.
        budget: &'static str,
    },
    /// A text of the needs file is not a valid template.
    #[error("cannot render {text:?} as a template")]
    Template {
        /// The text.
        text: String,
        /// The template error.
        source: minijinja::Error,
    },
    /// A chart could not be drawn.
    #[error("cannot draw the chart of {role}: {reason}")]
    Chart {
        /// The role.
        role: String,
        /// The message of the drawing library.
        reason: String,
    },
    /// The markers of the page do not match the tables.
    #[error("{page}: the markers do not match the generated tables")]
    Page {
        /// The page.
        page: &'static str,
        /// The mismatch.
        source: PageError,
    },
    /// The stored page or charts differ from those generated from the stored rows.
    #[error(
        "out of date with the measurements: {files}; run `peppercove bench capacity` to regenerate them"
    )]
    OutOfDate {
        /// The files that differ, separated by commas.
        files: String,
    },
}

/// A mismatch between the markers of a page and the tables.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A start marker is not closed.
    #[error("the start marker of a table is not closed")]
    UnterminatedMarker,
    /// A marker names a table that is not generated.
    #[error("a marker names the unknown table {0:?}")]
    UnknownTable(String),
    /// Two markers name the same table.
    #[error("two markers name the table {0:?}")]
    DuplicateTable(String),
    /// A start marker has no end marker.
    #[error("the start marker of the table {0:?} has no end marker")]
    MissingEnd(String),
    /// A generated table has no marker.
    #[error("no marker names the table {0:?}")]
    MissingMarker(String),
}
