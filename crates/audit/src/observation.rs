//! Input of the audit: captured messages and connection events, and task starts as the nodes recorded them.

use crate::Micros;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::list::FromList;
use peppercove_protocol::node::{FromNode, Idempotency, ProcessIdentity, ToNode};
use peppercove_protocol::rpc::PlacementOutcome;

/// An observation and its time.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time of the observation.
    pub at: Micros,
    /// What was observed.
    pub observation: Observation,
}

/// A captured message, or another event of a process or connection.
///
/// Capture files hold the `Debug` form, so names of variants and fields must not change.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A controller sent a message to a node.
    ToNode {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
        /// The message.
        message: ToNode,
    },
    /// A node sent a message to a controller.
    FromNode {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
        /// The message.
        message: FromNode,
    },
    /// The connection between a controller and a node was closed.
    LinkClosed {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
    },
    /// The node list sent a message to a controller.
    List {
        /// Name of the controller.
        controller: String,
        /// The message.
        news: FromList,
    },
    /// A controller accepted the job of a client.
    Taken {
        /// Name of the controller.
        controller: String,
        /// Session of the client.
        session: String,
        /// Submission key of the job.
        key: String,
        /// Id of the job.
        job: String,
        /// Time after acceptance until which the client waits, in microseconds.
        deadline: Micros,
        /// Whether the task may run more than once.
        repeat: Idempotency,
    },
    /// A controller sent a client the outcome of its job.
    Settled {
        /// Session of the client.
        session: String,
        /// Submission key of the job.
        key: String,
        /// Id of the job.
        job: String,
        /// The outcome.
        outcome: PlacementOutcome,
    },
    /// A client disconnected, so that its jobs can no longer be answered.
    ClientGone {
        /// Session of the client.
        session: String,
    },
    /// A submission was rejected at admission.
    TurnedAway {
        /// Error that the client was sent.
        errno: Errno,
    },
    /// A controller was killed.
    Killed {
        /// Name of the controller.
        controller: String,
    },
    /// A controller started, for the first time or again after it was killed.
    Started {
        /// Name of the controller.
        controller: String,
    },
}

/// A start of a task, as its node recorded it.
#[derive(Clone, Debug)]
pub struct RecordedStart {
    /// Time of the start.
    pub at: Micros,
    /// Time of its end; `None` while it runs.
    pub ended: Option<Micros>,
    /// Whether the program ran to its end.
    pub completed: bool,
    /// Name of the node.
    pub node: String,
    /// Rack of the node.
    pub rack: u16,
    /// The task.
    pub task: u64,
    /// Whether the task may run more than once.
    pub idempotency: Idempotency,
}
