//! What is checked: messages and other events on the sockets, and starts as the nodes recorded them.

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

/// A message on a socket, or another event that was observed there.
///
/// The `Debug` form is what recorded captures hold: its names stay as they are.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A message of a controller to a node.
    ToNode {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
        /// The message.
        message: ToNode,
    },
    /// A message of a node to a controller.
    FromNode {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
        /// The message.
        message: FromNode,
    },
    /// The link between a controller and a node was closed.
    LinkClosed {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
    },
    /// A message of the node list to a controller.
    List {
        /// Name of the controller.
        controller: String,
        /// The message.
        news: FromList,
    },
    /// The job of a client was accepted.
    Taken {
        /// Name of the controller.
        controller: String,
        /// Session of the client.
        session: String,
        /// Key that the job was submitted under.
        key: String,
        /// Id of the job.
        job: String,
        /// How long the client waits, in microseconds.
        deadline: Micros,
        /// Whether the task may run more than once.
        repeat: Idempotency,
    },
    /// A client was sent the outcome of its job.
    Settled {
        /// Session of the client.
        session: String,
        /// Key that the job was submitted under.
        key: String,
        /// Id of the job.
        job: String,
        /// The outcome.
        outcome: PlacementOutcome,
    },
    /// A client disconnected: it cannot be sent anything.
    ClientGone {
        /// Session of the client.
        session: String,
    },
    /// A submission was rejected at admission.
    TurnedAway {
        /// The error that the client was sent.
        errno: Errno,
    },
    /// A controller was killed.
    Killed {
        /// Name of the controller.
        controller: String,
    },
    /// A controller started, for the first time or after it was killed.
    Started {
        /// Name of the controller.
        controller: String,
    },
}

/// One start of a task, as its node recorded it.
#[derive(Clone, Debug)]
pub struct RecordedStart {
    /// Time of the start.
    pub at: Micros,
    /// Time of the end; `None` while it runs.
    pub ended: Option<Micros>,
    /// The program ran to its end.
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
