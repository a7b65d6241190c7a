//! Inputs, results and journal entries of the attempt log.

use crate::jobs::TaskEnd;
use peppercove::{Micros, NodeId, RequestId, ServiceId, TaskKey};
use serde::{Deserialize, Serialize};

/// Identifies an attempt of a request at a node, within one incarnation of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The node that it was sent to.
    pub node: NodeId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// Its index within the request, from 0.
    #[serde(rename = "attempt")]
    pub number: u16,
}

impl AttemptId {
    /// Creates the id of attempt `number` of a request at a node.
    pub fn new(node: NodeId, request: RequestId, number: u16) -> AttemptId {
        AttemptId {
            node,
            request,
            number,
        }
    }
}

/// Identifies one copy of a task: an attempt of this or an earlier incarnation of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskCopy {
    /// Incarnation of the controller that sent it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The attempt in that incarnation.
    #[serde(rename = "at")]
    pub attempt: AttemptId,
}

/// The task that a copy runs, with the properties needed to count it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The task.
    pub task: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u32,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory.
    pub memory: f64,
}

/// What is known about a task that ran, or may have run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Completion {
    /// It ended on this node.
    Ended(NodeId, TaskEnd),
    /// It ran or may have run, and no node can report how it ended.
    MayHaveRun,
}

/// An entry of the write-ahead log (the journal), read by the next incarnation of the controller.
///
/// Stored by postcard, which identifies variants and fields by position: their order must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A copy is about to be dispatched.
    Sent {
        /// The copy.
        copy: TaskCopy,
        /// Incarnation of the node, as reported by the node.
        #[serde(rename = "node_life")]
        node_incarnation: u64,
        /// The task that it runs.
        #[serde(rename = "of")]
        spec: TaskSpec,
    },
    /// A copy is closed: it never ran, or its node stopped it before its end.
    Closed(TaskCopy),
    /// The task ran, or may have run.
    #[serde(rename = "Ran")]
    Completed(TaskKey, Completion),
    /// A copy changed its id, from the first to the second.
    Renamed(TaskCopy, TaskCopy),
    /// A copy is running.
    #[serde(rename = "Runs")]
    Running(TaskCopy),
}

/// Whether a new request for a task is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Admit it.
    Admit,
    /// Reject it; the client may retry after this delay, once a node has reported.
    RetryLater(Micros),
    /// Let it adopt this running copy.
    Adopt(TaskCopy),
    /// Answer it with the result of the task, which already ended on this node.
    AlreadyCompleted(NodeId, TaskEnd),
    /// Reject it for good: the task ran, or may have run.
    Deny,
}

/// What to do with a copy that its node reports as running while no request waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrphanAction {
    /// Nothing is known about the copy.
    Unknown,
    /// Keep it for a limited time, in case its client submits the task again.
    Keep,
    /// Stop it.
    Stop,
}

/// Whether the client of an abandoned copy may submit its task again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientInterest {
    /// It may, so the copy is kept for a limited time.
    MayReturn,
    /// It ended the job, so the copy is stopped as soon as its node reports it.
    Ended,
}

/// The actions that are due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DueActions {
    /// Running orphans to stop, because their clients did not submit the tasks again in time.
    pub stop: Vec<TaskCopy>,
    /// Orphans to query the nodes about.
    pub query: Vec<TaskCopy>,
}

/// All copies that a node holds, as reported in the handshake of a connection.
#[derive(Clone, Copy, Debug)]
pub struct NodeReport<'a> {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub node_incarnation: u64,
    /// Whether the node has lost no records of this controller's tasks.
    pub is_complete: bool,
    /// The copies that the node holds.
    pub held: &'a [TaskCopy],
}
