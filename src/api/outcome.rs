//! How attempts end, and what is reported of running tasks.

use serde::{Deserialize, Serialize};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The placed task ended.
    #[serde(rename = "Done")]
    Completed,
    /// The node answered with an error; the task may have started.
    Error,
    /// Rejected, or handed back before it ran.
    #[serde(rename = "Refused")]
    Rejected,
    /// No answer in time; the task may have been accepted.
    TimedOut,
    /// No connection: the task never ran.
    Unreachable,
    /// A placed task was evicted or lost, or the answer broke off.
    Lost,
    /// Cancelled, migrated or stopped by its client.
    #[serde(rename = "Withdrawn")]
    Cancelled,
    /// Never sent.
    NotSent,
}

/// Why a node rejected a task or gave it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// Not reported.
    Unknown,
    /// Not enough free cores.
    #[serde(rename = "NoCores")]
    InsufficientCores,
    /// Not enough free memory.
    #[serde(rename = "NoMemory")]
    InsufficientMemory,
    /// Too many attempts wait in the node's queue.
    #[serde(rename = "Busy")]
    QueueFull,
    /// Wrong kind, draining, past its deadline, or a copy of the task is there already.
    #[serde(rename = "NotHere")]
    Ineligible,
    /// Evicted because memory ran out.
    Evicted,
    /// Preempted by a task of higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// Evicted because the node drains.
    #[serde(rename = "SentAway")]
    Drained,
}

/// An update on a placed task or its node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskUpdate {
    /// The task runs.
    #[serde(rename = "Runs")]
    Running,
    /// Cores that it uses.
    CoresUsed(f64),
    /// Memory that it uses.
    MemoryUsed(f64),
    /// Share of full service that it gets, from 0 to 1.
    #[serde(rename = "Served")]
    ServedShare(f64),
    /// Share of its node's memory in use, from 0 to 1.
    #[serde(rename = "MachineMemory")]
    NodeMemoryShare(f64),
}
