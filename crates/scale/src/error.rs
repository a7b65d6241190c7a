//! The errors of this package: of measuring, of the capacity report, and of its page.

use crate::row::Sizes;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

/// Why a point could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// No role has this name.
    #[error("no role {name}; there are {known}")]
    UnknownRole {
        /// The name that was given.
        name: String,
        /// All names, separated by commas.
        known: String,
    },
    /// The sizes of a point are not the JSON object that was expected.
    #[error("the sizes of the point")]
    Sizes(#[source] serde_json::Error),
    /// A line that a point printed is not a figure.
    #[error("a figure: {line}")]
    Figure {
        /// The line.
        line: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A figure or row has no JSON form.
    #[error("a row has no JSON form")]
    Serialize(#[source] serde_json::Error),
    /// The process of a point ran too long and was killed.
    #[error("{role} at {sizes:?} took over {seconds} s and was ended")]
    PointTimeout {
        /// The role.
        role: &'static str,
        /// The sizes of the point.
        sizes: Sizes,
        /// The bound, seconds.
        seconds: u64,
    },
    /// The process of a point failed; its own message is on standard error.
    #[error("{role} at {sizes:?} ended with {status}")]
    PointFailed {
        /// The role.
        role: &'static str,
        /// The sizes of the point.
        sizes: Sizes,
        /// Its exit status.
        status: ExitStatus,
    },
    /// A measurement as a whole took longer than its bound.
    #[error("not over in time")]
    Timeout,
    /// A point would need more descriptors than a process may have.
    #[error("up to {needed} descriptors in one process")]
    TooManyDescriptors {
        /// The descriptors needed.
        needed: u64,
    },
    /// A helper thread panicked.
    #[error("the thread of {0} panicked")]
    ThreadPanicked(&'static str),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file of the system could not be read.
    #[error("{path}")]
    File {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// A file of the system does not hold what was expected.
    #[error("{path}: no {expected}")]
    FileContent {
        /// The file.
        path: String,
        /// What was expected in it.
        expected: &'static str,
    },
    /// A process did not start to listen.
    #[error("a scheduler did not start: {log}")]
    NotStarted {
        /// What it logged.
        log: String,
    },
    /// The controller in this process did not start in time.
    #[error("the controller did not start")]
    ControllerNotStarted,
    /// A run did not do what a figure of it presumes.
    #[error("{0}")]
    Implausible(String),
    /// An IPv4 address was expected.
    #[error("an IPv4 address was expected")]
    NotIpv4,
    /// A message or frame ended before it was complete.
    #[error("{0}: a complete message was expected")]
    Incomplete(&'static str),
    /// A histogram could not be made.
    #[error("a histogram of this precision")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The controller's settings are not valid.
    #[error("the controller's settings")]
    Settings(#[from] peppercove_config::ConfigError),
    /// The platform's configuration is not valid.
    #[error("the platform's configuration")]
    PlatformConfig(#[from] peppercove_platform::config::ConfigError),
    /// A frame of nodes or of the node list cannot be read or written.
    #[error("a frame")]
    Frame(#[from] peppercove_protocol::codec::FrameError),
    /// A message of the platform cannot be read.
    #[error("a message of the platform")]
    PlatformMessage(#[from] peppercove_platform::wire::DecodeError),
    /// A line of the endpoint list cannot be read.
    #[error("a line of the endpoint list")]
    EndpointList(#[from] peppercove_platform::endpoint_watch::EndpointWatchError),
    /// A node's handshake failed.
    #[error("a node's handshake")]
    Handshake(#[from] peppercove_exchange::HandshakeError),
    /// The controller in this process could not start.
    #[error("the controller")]
    Controller(#[from] peppercove_controller::StartError),
    /// A DRMAA call failed.
    #[error("a DRMAA call")]
    Drmaa(#[from] peppercove_drmaa::Error),
}

/// Why the capacity report could not be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file could not be read or written.
    #[error("{path}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The target file has another form than expected.
    #[error("the target")]
    Target(#[source] serde_json::Error),
    /// An assumption is missing in the target file or stands there more than once.
    #[error("the target: {quantity} is assumed {found} times instead of once")]
    AssumptionCount {
        /// The quantity that is assumed.
        quantity: String,
        /// How many assumptions of it there are.
        found: usize,
    },
    /// A figure of the target makes no sense.
    #[error("the target: {key} is {value}, not above zero")]
    TargetFigure {
        /// Its key in the file.
        key: String,
        /// Its value.
        value: f64,
    },
    /// The share of messages that counts as control is over one.
    #[error("the target: control_share is over 1")]
    ControlShare,
    /// The file of needs has another form than expected.
    #[error("the needs")]
    Needs(#[source] serde_json::Error),
    /// Two needs have the same name.
    #[error("the needs: {0} is there twice")]
    DuplicateNeed(String),
    /// A need is referred to that does not exist.
    #[error("the needs: there is no need {0}")]
    UnknownNeed(String),
    /// A line of a rows file is not a row.
    #[error("{file}:{line}")]
    Row {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A figure in a rows file is negative or not finite.
    #[error("{file}:{line}: {measure} is no figure of zero or more")]
    RowFigure {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The measure.
        measure: String,
    },
    /// The unit of a measure cannot be compared with the budget of a need.
    #[error("the need {need}: {measure} of {role} is in {unit}, which says nothing of {budget}")]
    UnitMismatch {
        /// The need.
        need: String,
        /// The measure.
        measure: String,
        /// The role.
        role: String,
        /// The unit of the measure.
        unit: String,
        /// The budget.
        budget: &'static str,
    },
    /// A text of the needs file is not a valid template.
    #[error("the text {text:?}")]
    Template {
        /// The text.
        text: String,
        /// What is wrong with it.
        source: minijinja::Error,
    },
    /// A chart could not be drawn.
    #[error("the chart of {role}: {reason}")]
    Chart {
        /// The role.
        role: String,
        /// What the drawing library said.
        reason: String,
    },
    /// The markers of the page do not fit the tables.
    #[error("{page}")]
    Page {
        /// The page.
        page: &'static str,
        /// What is wrong.
        source: PageError,
    },
    /// Page or charts are not what the stored figures make.
    #[error("not what the figures make: {files}; `peppercove bench capacity` writes them anew")]
    OutOfDate {
        /// The files that differ, separated by commas.
        files: String,
    },
}

/// What is wrong with the markers of a page.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A start marker is not closed.
    #[error("a marker of a table does not end")]
    UnterminatedMarker,
    /// A marker names a table that is not generated.
    #[error("no table {0}")]
    UnknownTable(String),
    /// Two markers name the same table.
    #[error("the table {0} has two places")]
    DuplicateTable(String),
    /// A start marker has no end marker.
    #[error("the table {0} has no end")]
    MissingEnd(String),
    /// A generated table has no marker.
    #[error("the page has no place for the table {0}")]
    MissingMarker(String),
}
