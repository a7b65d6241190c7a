//! Actions: the output of a scheduler.

use super::{Micros, NodeId, RequestId};

/// An instruction from the scheduler to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Subscribe to the node list or, where it must be polled, request it.
    WatchNodes,
    /// Send a task to a node. This is the next attempt of its request.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Time after which the attempt times out; `None` means the deadline of the client.
        timeout: Option<Micros>,
        /// The latest time at which the attempt may be sent, wherever it has to wait; `None` means
        /// until it times out.
        send_by: Option<Micros>,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Final answer: the task was not placed and can safely be requested again.
    Reject {
        /// The request.
        request: RequestId,
        /// Suggested delay before the client retries.
        retry_after: Option<Micros>,
    },
    /// Final answer: the task was not placed but may have run.
    Fail(RequestId),
    /// Stop a placed task so that it can be placed on another node.
    Migrate(RequestId),
    /// Call the scheduler again at the given time.
    SetTimer {
        /// Label passed back in [`Event::Timer`](super::Event::Timer).
        label: u64,
        /// Time at which the timer fires.
        at: Micros,
    },
    /// Request a load report from a node.
    Probe(NodeId),
    /// Send a message to all other schedulers.
    Broadcast(Vec<u8>),
    /// A log line for operators.
    Log(String),
}
