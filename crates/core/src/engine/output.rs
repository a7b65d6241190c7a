//! What a core wants done.

use super::Control;
use crate::attempt_log::{AttemptId, JournalEntry, TaskCopy};
use crate::jobs::{Answer, JobId, JobState};
use peppercove::{Micros, NodeId, RequestId};
use std::net::SocketAddrV4;

/// Why a submission or a control was rejected. Delays are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// A limit is met; come again after this long.
    LimitReached(Micros),
    /// The controller shuts down; come again after this long, or submit to another.
    ShuttingDown(Micros),
    /// An earlier attempt of the task may run; come again after this long.
    OutcomeAmbiguous(Micros),
    /// The task ran, or may have: it will not be started again.
    AlreadyRan,
    /// The task was submitted before, and its outcome is not known here: without a journal, not by this incarnation.
    OutcomeUnknown,
    /// The task was submitted to another controller before, which may have started it: that one knows.
    RequestedElsewhere,
    /// The task is another job's, which is not finished.
    TaskInUse(JobId),
    /// There is no such job.
    NoSuchJob,
    /// The job's state does not allow it.
    InvalidState(JobState),
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The job is accepted.
    Accepted {
        /// Of the submission.
        ticket: u64,
        /// The job.
        job: JobId,
    },
    /// The control is carried out or on its way.
    ControlAccepted {
        /// Of the control.
        ticket: u64,
    },
    /// The submission or control is rejected.
    Rejected {
        /// Of the call.
        ticket: u64,
        /// Why.
        reason: Rejection,
    },
    /// The one final answer to the job's request.
    Answered {
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// The job is done or failed.
    Finished(JobId),
    /// Keep a connection to this node.
    Connect {
        /// The node.
        node: NodeId,
        /// Where it listens.
        address: SocketAddrV4,
        /// The name that it must give in the handshake.
        name: String,
    },
    /// Keep it no longer.
    Disconnect(NodeId),
    /// Dispatch a task.
    Dispatch {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// How long it is waited for, in microseconds.
        expires_in: Micros,
        /// The job whose task it is.
        job: JobId,
    },
    /// Wait for an attempt no longer.
    CancelAttempt {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// Act on a task that runs.
    ControlTask {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// What to do: suspend, resume or terminate.
        control: Control,
    },
    /// Call a running task by an id of this incarnation.
    Adopt {
        /// The node.
        node: NodeId,
        /// Incarnation of the controller that placed it.
        incarnation: u64,
        /// The request in that incarnation.
        previous_request: RequestId,
        /// The number of the attempt in that incarnation.
        attempt: u16,
        /// The request in this incarnation; its attempt is 0.
        request: RequestId,
    },
    /// Stop a running task of an earlier incarnation that no job here waits for, or acknowledge its end.
    DiscardOrphan {
        /// The node.
        node: NodeId,
        /// Incarnation of the controller that placed it.
        incarnation: u64,
        /// The request in that incarnation.
        previous_request: RequestId,
        /// The number of the attempt in that incarnation.
        attempt: u16,
    },
    /// Write these to the journal before anything that follows is sent.
    Journal(Vec<JournalEntry>),
    /// Subscribe to the node list.
    WatchNodes,
    /// Probe a node for its load.
    Probe(NodeId),
    /// Send all other controllers a message.
    Broadcast(Vec<u8>),
    /// A line for the people on call.
    Log(String),
}

impl Output {
    /// Dispatches the task of a job.
    pub(super) fn dispatch(attempt: AttemptId, expires_in: Micros, job: JobId) -> Output {
        Output::Dispatch {
            node: attempt.node,
            request: attempt.request,
            attempt: attempt.number,
            expires_in,
            job,
        }
    }

    /// Stops waiting for an attempt, or queries its node again.
    pub(super) fn cancel_attempt(attempt: AttemptId) -> Output {
        Output::CancelAttempt {
            node: attempt.node,
            request: attempt.request,
            attempt: attempt.number,
        }
    }

    /// Acts on the running task of an attempt.
    pub(super) fn control_task(attempt: AttemptId, control: Control) -> Output {
        Output::ControlTask {
            node: attempt.node,
            request: attempt.request,
            attempt: attempt.number,
            control,
        }
    }

    /// Gives a running copy the id of its `request` in this incarnation.
    pub(super) fn adopt(copy: TaskCopy, request: RequestId) -> Output {
        Output::Adopt {
            node: copy.attempt.node,
            incarnation: copy.incarnation,
            previous_request: copy.attempt.request,
            attempt: copy.attempt.number,
            request,
        }
    }

    /// Stops a copy of an earlier incarnation, or acknowledges its end.
    pub(super) fn discard_orphan(copy: TaskCopy) -> Output {
        Output::DiscardOrphan {
            node: copy.attempt.node,
            incarnation: copy.incarnation,
            previous_request: copy.attempt.request,
            attempt: copy.attempt.number,
        }
    }
}
