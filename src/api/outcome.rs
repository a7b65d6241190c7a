//! Outcomes of attempts and updates on running tasks.

use serde::{Deserialize, Serialize};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The task was placed and ran to its end.
    #[serde(rename = "Done")]
    Completed,
    /// The node reported an error. The task may have started.
    Error,
    /// The node rejected the task, or returned it before it ran.
    #[serde(rename = "Refused")]
    Rejected,
    /// No answer arrived within the timeout. The node may have accepted the task.
    TimedOut,
    /// The connection could not be established. The task never ran.
    Unreachable,
    /// A placed task was evicted or lost, or the connection broke before the answer was complete.
    Lost,
    /// The attempt was cancelled or migrated, or the client stopped the task.
    #[serde(rename = "Withdrawn")]
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

/// Why a node rejected a task or stopped running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// No reason was reported.
    Unknown,
    /// Not enough free cores.
    #[serde(rename = "NoCores")]
    InsufficientCores,
    /// Not enough free memory.
    #[serde(rename = "NoMemory")]
    InsufficientMemory,
    /// The queue of the node is full.
    #[serde(rename = "Busy")]
    QueueFull,
    /// The node is of another kind, is draining, already has a copy of the task, or received the
    /// task after its deadline.
    #[serde(rename = "NotHere")]
    Ineligible,
    /// Evicted because the node ran out of memory.
    Evicted,
    /// Preempted by a task with a higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// Evicted because the node is draining.
    #[serde(rename = "SentAway")]
    Drained,
}

/// An update on a placed task or the node on which it runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskUpdate {
    /// The task has started to run.
    #[serde(rename = "Runs")]
    Running,
    /// Number of cores that the task uses.
    CoresUsed(f64),
    /// Amount of memory that the task uses.
    MemoryUsed(f64),
    /// Fraction of full service that the task receives, from 0 to 1.
    #[serde(rename = "Served")]
    ServedShare(f64),
    /// Fraction of the memory of its node that is in use, from 0 to 1.
    #[serde(rename = "MachineMemory")]
    NodeMemoryShare(f64),
}
