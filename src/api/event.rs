//! Events: the input of a scheduler.

use super::{
    AttemptOutcome, EndReason, ListUpdateKind, LoadReport, NodeEntry, NodeId, PlacementRequest,
    RequestId, TaskUpdate,
};

/// Something that happened.
///
/// Attempts of a request are numbered from 0 in the order of their
/// [`Action::Dispatch`](super::Action::Dispatch).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the node list.
    NodeList {
        /// How it relates to the list already known.
        kind: ListUpdateKind,
        /// Its version; lists older than the known one are ignored.
        version: u64,
        /// The entries.
        entries: Vec<NodeEntry>,
    },
    /// A task to place.
    Place(PlacementRequest),
    /// A task that already runs on a node and is now this scheduler's; its attempt 0 counts as
    /// made.
    RunningTask {
        /// The task.
        request: PlacementRequest,
        /// Where it runs.
        node: NodeId,
    },
    /// An attempt placed its task.
    Placed {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// The node.
        node: NodeId,
    },
    /// An update on an attempt.
    TaskUpdated {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// The node.
        node: NodeId,
        /// What is reported.
        update: TaskUpdate,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Why.
        reason: EndReason,
        /// The request is completed with it.
        is_final: bool,
        /// A load report that came along.
        load: Option<LoadReport>,
    },
    /// The client no longer wants the task.
    RequestCancelled(RequestId),
    /// A timer that was set with this label has fired.
    Timer(u64),
    /// The result of a probe.
    Probed {
        /// The node.
        node: NodeId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: Option<LoadReport>,
    },
    /// A message of another scheduler.
    Peer {
        /// Index of that scheduler.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
}
