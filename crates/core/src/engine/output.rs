//! The outputs of a core.

use super::Control;
use crate::attempt_log::{AttemptId, JournalEntry, TaskCopy};
use crate::jobs::{Answer, JobId, JobState};
use peppercove::{Micros, NodeId, RequestId};
use std::net::SocketAddrV4;

/// Why a submission or an operation on a job was rejected. Delays are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// A limit is met; retry after this delay.
    LimitReached(Micros),
    /// The controller is shutting down; retry after this delay, or submit to another controller.
    ShuttingDown(Micros),
    /// An earlier attempt of the task may still run; retry after this delay.
    OutcomeAmbiguous(Micros),
    /// The task ran or may have run, and will not be started again.
    AlreadyRan,
    /// The task was submitted before, and its outcome is unknown to this incarnation because there is no journal.
    OutcomeUnknown,
    /// The task was submitted to another controller before, and only that one knows whether it has run.
    RequestedElsewhere,
    /// Another, unfinished job has the same task.
    TaskInUse(JobId),
    /// There is no such job.
    NoSuchJob,
    /// The job's state does not allow the operation.
    InvalidState(JobState),
}

/// Something for the surrounding program to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a submission: the job is accepted.
    Accepted {
        /// Identifies the submission.
        ticket: u64,
        /// The job.
        job: JobId,
    },
    /// Answer an operation on a job: it was performed or sent to the node.
    ControlAccepted {
        /// Identifies the call.
        ticket: u64,
    },
    /// Answer a submission or an operation on a job: it is rejected.
    Rejected {
        /// Identifies the call.
        ticket: u64,
        /// The reason.
        reason: Rejection,
    },
    /// Send the client the final answer to the job's placement request. Each job is answered once.
    Answered {
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// The job has reached a final state.
    Finished(JobId),
    /// Connect to a node, and reconnect if the connection breaks.
    Connect {
        /// The node.
        node: NodeId,
        /// The address at which it listens.
        address: SocketAddrV4,
        /// The name that it must give in the handshake.
        name: String,
    },
    /// Disconnect from a node.
    Disconnect(NodeId),
    /// Dispatch a task to a node.
    Dispatch {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The index of the attempt within the request.
        attempt: u16,
        /// How long the node's answer is awaited, in microseconds.
        expires_in: Micros,
        /// The job that the task belongs to.
        job: JobId,
    },
    /// Cancel an attempt, or query its node about it.
    CancelAttempt {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The index of the attempt within the request.
        attempt: u16,
    },
    /// Control a running task.
    ControlTask {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The index of the attempt within the request.
        attempt: u16,
        /// The operation: suspend, resume or terminate.
        control: Control,
    },
    /// Tell a node the current id of a running task that was adopted.
    Adopt {
        /// The node.
        node: NodeId,
        /// Incarnation of the controller that dispatched it.
        incarnation: u64,
        /// The request in that incarnation.
        previous_request: RequestId,
        /// The index of the attempt within that request.
        attempt: u16,
        /// The request in this incarnation, of which the task is attempt 0.
        request: RequestId,
    },
    /// Tell a node to stop a running task of an earlier incarnation that no job waits for, or acknowledge its end.
    DiscardOrphan {
        /// The node.
        node: NodeId,
        /// Incarnation of the controller that dispatched it.
        incarnation: u64,
        /// The request in that incarnation.
        previous_request: RequestId,
        /// The index of the attempt within that request.
        attempt: u16,
    },
    /// Write these entries to the journal before any later output is sent.
    Journal(Vec<JournalEntry>),
    /// Subscribe to the node list.
    WatchNodes,
    /// Send a node a load probe.
    Probe(NodeId),
    /// Send a message to all other controllers.
    Broadcast(Vec<u8>),
    /// Write a log line for operators.
    Log(String),
}

impl Output {
    /// Creates the dispatch of a job's task.
    pub(super) fn dispatch(attempt: AttemptId, expires_in: Micros, job: JobId) -> Output {
        Output::Dispatch {
            node: attempt.node,
            request: attempt.request,
            attempt: attempt.number,
            expires_in,
            job,
        }
    }

    /// Creates the cancellation of an attempt, which also serves as a query.
    pub(super) fn cancel_attempt(attempt: AttemptId) -> Output {
        Output::CancelAttempt {
            node: attempt.node,
            request: attempt.request,
            attempt: attempt.number,
        }
    }

    /// Creates an operation on a running task.
    pub(super) fn control_task(attempt: AttemptId, control: Control) -> Output {
        Output::ControlTask {
            node: attempt.node,
            request: attempt.request,
            attempt: attempt.number,
            control,
        }
    }

    /// Creates the adoption message for a running copy that is now attempt 0 of `request`.
    pub(super) fn adopt(copy: TaskCopy, request: RequestId) -> Output {
        Output::Adopt {
            node: copy.attempt.node,
            incarnation: copy.incarnation,
            previous_request: copy.attempt.request,
            attempt: copy.attempt.number,
            request,
        }
    }

    /// Creates the message that stops a copy of an earlier incarnation or acknowledges its end.
    pub(super) fn discard_orphan(copy: TaskCopy) -> Output {
        Output::DiscardOrphan {
            node: copy.attempt.node,
            incarnation: copy.incarnation,
            previous_request: copy.attempt.request,
            attempt: copy.attempt.number,
        }
    }
}
