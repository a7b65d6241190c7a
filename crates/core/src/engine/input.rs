//! The inputs of a core.
//!
//! Recordings hold these in JSON: names that have changed keep their stored names by `serde(rename)`.

use crate::attempt_log::{AttemptId, TaskCopy};
use crate::jobs::{JobId, Submission, TaskEnd};
use crate::nodes::ListedNode;
use peppercove::{EndReason, ListUpdateKind, LoadReport, NodeId, RequestId, TaskUpdate};
use serde::{Deserialize, Serialize};

/// A task that a node reports it holds of this controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Incarnation of the controller that placed it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The request in that incarnation.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u16,
    /// The task, as far as the node knows it.
    pub submission: Submission,
    /// It ended while the controller could not be notified.
    #[serde(rename = "ended")]
    pub end: Option<TaskEnd>,
    /// Why, where its node gave it up.
    #[serde(rename = "why")]
    pub reason: EndReason,
}

impl ReportedTask {
    /// The copy that it is, at the node that reports it.
    pub fn copy_at(&self, node: NodeId) -> TaskCopy {
        let attempt = AttemptId::new(node, self.request, self.attempt);
        TaskCopy {
            incarnation: self.incarnation,
            attempt,
        }
    }
}

/// What a node reports of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptUpdate {
    /// It is accepted.
    Accepted,
    /// It runs.
    Running,
    /// Rejected, or handed back before it ran.
    #[serde(rename = "Refused")]
    Rejected(EndReason),
    /// The node answers with an error.
    Error,
    /// The task ended.
    Ended(TaskEnd, EndReason),
    /// An update on the running task.
    #[serde(rename = "Note")]
    Task(TaskUpdate),
}

/// What the client of a job may do to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Stop its clock.
    Suspend,
    /// Let it go on.
    Resume,
    /// Request no placement for it.
    Hold,
    /// Request one.
    Release,
    /// End it.
    Terminate,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// An update of the node list.
    #[serde(rename = "List")]
    NodeList {
        /// How it relates to the list held.
        #[serde(rename = "scope")]
        kind: ListUpdateKind,
        /// Its version.
        generation: u64,
        /// The entries.
        #[serde(rename = "lines")]
        entries: Vec<ListedNode>,
    },
    /// A poll of the list failed or the subscription broke.
    #[serde(rename = "ListFailed")]
    NodeListFailed,
    /// A job is submitted.
    Submit {
        /// Comes back with the answer.
        ticket: u64,
        /// The job.
        submission: Box<Submission>,
    },
    /// The client acts on a job.
    Control {
        /// Comes back with the answer.
        ticket: u64,
        /// The job.
        job: JobId,
        /// What to do.
        control: Control,
    },
    /// A finished job's client has taken note of it.
    Dispose(JobId),
    /// A connection to a node stands, and the node has reported what it holds.
    #[serde(rename = "LinkUp")]
    NodeConnected {
        /// The node.
        node: NodeId,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// It has forgotten nothing that it held of this controller.
        #[serde(rename = "whole")]
        is_complete: bool,
        /// What it holds.
        #[serde(rename = "standing")]
        reported_tasks: Vec<ReportedTask>,
    },
    /// The connection to a node broke.
    #[serde(rename = "LinkDown")]
    NodeDisconnected(NodeId),
    /// A node reports on an attempt.
    #[serde(rename = "News")]
    AttemptUpdated {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
        /// What it reports.
        #[serde(rename = "news")]
        update: AttemptUpdate,
        /// A load report that came along.
        load: Option<LoadReport>,
    },
    /// A probe was answered, or was not.
    Probed {
        /// The node.
        node: NodeId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: Option<LoadReport>,
    },
    /// A dispatch could not be written: it never left.
    #[serde(rename = "Unsent")]
    DispatchFailed {
        /// The node.
        node: NodeId,
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// A message of another controller.
    #[serde(rename = "Peer")]
    PeerMessage {
        /// Its index.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// Accept nothing new.
    #[serde(rename = "Stop")]
    BeginShutdown,
    /// The grace of the shutdown is over: answer all that is open.
    #[serde(rename = "Abandon")]
    ShutdownTimeout,
}
