//! Actions: what a scheduler answers with.

use super::{Micros, NodeId, RequestId};

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Subscribe to the node list, or request it.
    WatchNodes,
    /// Send a task to a node: the next attempt of its request.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Wait no longer than this; `None` is until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Final answer: the task is not placed, and a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Advice to wait this long before a retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: the task is not placed, but may have run.
    Fail(RequestId),
    /// Stop a placed task, to be placed anew.
    Migrate(RequestId),
    /// Call this scheduler at a time.
    SetTimer {
        /// Comes back with [`Event::Timer`](super::Event::Timer).
        label: u64,
        /// When.
        at: Micros,
    },
    /// Ask a node for its load.
    Probe(NodeId),
    /// Send a message to all other schedulers.
    Broadcast(Vec<u8>),
    /// A line for the operators.
    Log(String),
}
