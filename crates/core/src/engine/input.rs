//! The inputs of a core.
//!
//! Recordings contain them as JSON. Renamed fields and variants keep their stored names through `serde(rename)`.

use crate::attempt_log::{AttemptId, TaskCopy};
use crate::jobs::{JobId, Submission, TaskEnd};
use crate::nodes::ListedNode;
use peppercove::{EndReason, ListUpdateKind, LoadReport, NodeId, RequestId, TaskUpdate};
use serde::{Deserialize, Serialize};

/// A task that a node reports to hold for this controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Incarnation of the controller that dispatched it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The request in that incarnation.
    pub request: RequestId,
    /// The index of the attempt within the request.
    pub attempt: u16,
    /// The submission of the task, as far as the node knows it.
    pub submission: Submission,
    /// How it ended, if it ended while the controller was not connected.
    #[serde(rename = "ended")]
    pub end: Option<TaskEnd>,
    /// Why the node stopped it.
    #[serde(rename = "why")]
    pub reason: EndReason,
}

impl ReportedTask {
    /// The copy of the task that is meant, given the node that reports it.
    pub fn copy_at(&self, node: NodeId) -> TaskCopy {
        let attempt = AttemptId::new(node, self.request, self.attempt);
        TaskCopy {
            incarnation: self.incarnation,
            attempt,
        }
    }
}

/// A node's update on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptUpdate {
    /// The node accepted the task.
    Accepted,
    /// The task is running.
    Running,
    /// The node rejected the task, or returned it before it ran.
    #[serde(rename = "Refused")]
    Rejected(EndReason),
    /// The node answered with an error.
    Error,
    /// The task ended.
    Ended(TaskEnd, EndReason),
    /// An update on the running task.
    #[serde(rename = "Note")]
    Task(TaskUpdate),
}

/// An operation of a client on its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Suspend the running task.
    Suspend,
    /// Resume the suspended task.
    Resume,
    /// Hold the queued job, so that no placement is requested for it.
    Hold,
    /// Release the job, so that a placement is requested again.
    Release,
    /// Terminate the job.
    Terminate,
}

/// An event from outside of the core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// An update of the node list.
    #[serde(rename = "List")]
    NodeList {
        /// Whether the entries replace the current list or change it.
        #[serde(rename = "scope")]
        kind: ListUpdateKind,
        /// Version of the list.
        generation: u64,
        /// The added, changed or listed nodes.
        #[serde(rename = "lines")]
        entries: Vec<ListedNode>,
    },
    /// A poll of the node list failed, or the subscription broke.
    #[serde(rename = "ListFailed")]
    NodeListFailed,
    /// A client submits a job.
    Submit {
        /// Identifies the call; repeated in its answer.
        ticket: u64,
        /// The submitted job.
        submission: Box<Submission>,
    },
    /// A client performs an operation on a job.
    Control {
        /// Identifies the call; repeated in its answer.
        ticket: u64,
        /// The job.
        job: JobId,
        /// The operation.
        control: Control,
    },
    /// A client disposes of a finished job.
    Dispose(JobId),
    /// A node has connected and has reported the tasks that it holds.
    #[serde(rename = "LinkUp")]
    NodeConnected {
        /// The node.
        node: NodeId,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Whether it has lost no records of this controller's tasks.
        #[serde(rename = "whole")]
        is_complete: bool,
        /// The tasks that it holds.
        #[serde(rename = "standing")]
        reported_tasks: Vec<ReportedTask>,
    },
    /// The connection to a node broke.
    #[serde(rename = "LinkDown")]
    NodeDisconnected(NodeId),
    /// A node sent an update on an attempt.
    #[serde(rename = "News")]
    AttemptUpdated {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The index of the attempt within the request.
        attempt: u16,
        /// The update.
        #[serde(rename = "news")]
        update: AttemptUpdate,
        /// The load report that was sent with it.
        load: Option<LoadReport>,
    },
    /// A probe was answered, or failed.
    Probed {
        /// The node.
        node: NodeId,
        /// Whether the node answered.
        answered: bool,
        /// Its load.
        load: Option<LoadReport>,
    },
    /// A dispatch could not be written to the connection, and thus never left.
    #[serde(rename = "Unsent")]
    DispatchFailed {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The index of the attempt within the request.
        attempt: u16,
    },
    /// A message from another controller.
    #[serde(rename = "Peer")]
    PeerMessage {
        /// Index of that controller.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// Begin to shut down: reject new submissions.
    #[serde(rename = "Stop")]
    BeginShutdown,
    /// The shutdown timeout has passed: answer all open requests.
    #[serde(rename = "Abandon")]
    ShutdownTimeout,
}
