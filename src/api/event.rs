//! Events: the input of a scheduler.

use super::{
    AttemptOutcome, EndReason, ListUpdateKind, LoadReport, NodeEntry, NodeId, PlacementRequest,
    RequestId, TaskUpdate,
};

/// Who reports that a task runs on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskReporter {
    /// The node itself, or a caller that has verified it.
    Node,
    /// A client, whose report nothing confirms.
    Client,
}

/// An input of the scheduler.
///
/// The attempts of a request are numbered from 0 in the order of their
/// [`Action::Dispatch`](super::Action::Dispatch).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the node list.
    NodeList {
        /// How the entries relate to the list already known.
        kind: ListUpdateKind,
        /// Version of the list. A list older than the known one is ignored.
        version: u64,
        /// The entries of the update.
        entries: Vec<NodeEntry>,
    },
    /// A request to place a task.
    Place(PlacementRequest),
    /// A task that already runs on a node and is now managed by this scheduler. Its request has one
    /// attempt, with number 0.
    RunningTask {
        /// The task.
        request: PlacementRequest,
        /// The node on which it runs.
        node: NodeId,
        /// Who has reported that it runs there.
        reported_by: TaskReporter,
    },
    /// An attempt succeeded: its task is placed.
    Placed {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// The node.
        node: NodeId,
    },
    /// A progress update for an attempt.
    TaskUpdated {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// The node.
        node: NodeId,
        /// The reported change or measurement.
        update: TaskUpdate,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Reason given by the node.
        reason: EndReason,
        /// Whether the request is completed as well.
        is_final: bool,
        /// Load report of the node that accompanied the message.
        load: Option<LoadReport>,
    },
    /// All connections to a node broke. Its process may have ended, and another node may have taken
    /// over its address, which the list shows later.
    NodeConnectionsBroken {
        /// The node.
        node: NodeId,
    },
    /// The client cancelled the request.
    RequestCancelled(RequestId),
    /// The timer with this label fired.
    Timer(u64),
    /// The result of a probe.
    Probed {
        /// The node.
        node: NodeId,
        /// Whether the node answered.
        answered: bool,
        /// Load report in the answer.
        load: Option<LoadReport>,
    },
    /// A message from another scheduler.
    Peer {
        /// Index of the sending scheduler.
        from: u32,
        /// Content of the message.
        message: Vec<u8>,
    },
}
