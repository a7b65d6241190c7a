//! Messages between a controller and a node.

use serde::{Deserialize, Serialize};

/// Id of an attempt to place a task, unique within an incarnation of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Number of the placement request.
    pub request: u64,
    /// Number of the attempt within that request, from 0.
    pub number: u16,
}

/// Identity of a controller or node: its name, which does not change, and the incarnation of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// Name of the controller or node.
    pub name: String,
    /// Incarnation; it changes with each start of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Whether a task may be started more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A second start is harmless.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The nodes of a deduplication scope keep only one copy of each key.
    Keyed,
    /// The task must never be started twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A task in an offer to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedTask {
    /// Id of the task, the same in all requests for it.
    pub task: u64,
    /// Service that the task belongs to. Its tasks have the same program, size and class.
    pub service: u64,
    /// Index of the class.
    pub class: u16,
    /// Index of the tenant.
    pub tenant: u32,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory, in the unit of the settings.
    pub memory: f64,
    /// Priority; higher values win in contention and preemption.
    pub priority: u8,
    /// Whether the task may be started more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Program with its arguments and environment.
    pub program: Program,
}

/// A program with its arguments and environment: the attributes of a job template that a node uses (DRMAA 1.0, GFD.133,
/// section 3.2.2).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// `drmaa_remote_command`.
    pub command: String,
    /// `drmaa_v_argv`.
    pub args: Vec<String>,
    /// `drmaa_v_env`, as `NAME=VALUE`.
    pub env: Vec<String>,
    /// `drmaa_wd`.
    pub working_directory: Option<String>,
    /// Submission key of the job. The node keeps it so that a restarted controller can identify the job.
    pub key: String,
}

/// Messages from a controller to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToNode {
    /// Handshake; the first message of a connection.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The controller.
        controller: ProcessIdentity,
    },
    /// Offers a task. The node may accept or reject it, and must reject it when `expires_in` has passed.
    Offer {
        /// The attempt.
        attempt: AttemptId,
        /// Time that the controller waits, in microseconds.
        expires_in: u64,
        /// The task.
        #[serde(rename = "work")]
        task: OfferedTask,
    },
    /// Cancels an attempt that the controller no longer waits for. The node replies with the state of the attempt:
    /// running, ended, or rejected, which is final. The controller may repeat the message if the reply was lost.
    #[serde(rename = "Withdraw")]
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Adopts a task that an earlier incarnation of this controller placed, under an attempt of this incarnation.
    Adopt {
        /// The earlier incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt in that incarnation.
        attempt: AttemptId,
        /// The attempt that identifies the task from now on.
        #[serde(rename = "named")]
        new_attempt: AttemptId,
    },
    /// Terminates a task that an earlier incarnation of this controller placed.
    Discard {
        /// The earlier incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt in that incarnation.
        attempt: AttemptId,
    },
    /// Suspends, resumes or terminates a running task.
    Control {
        /// The attempt that placed the task.
        attempt: AttemptId,
        /// The action.
        action: Control,
    },
    /// Acknowledges the end of an attempt, after it was persisted if the controller keeps a journal. The node may then
    /// forget the attempt. Until then the node repeats the end with backoff, and on each new connection.
    #[serde(rename = "Noted")]
    AcknowledgeEnd {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Requests a load report.
    Probe {
        /// Returned in the reply.
        nonce: u64,
    },
}

/// Actions on a running task (DRMAA 1.0, `drmaa_control`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Suspend the task.
    Suspend,
    /// Resume the task.
    Resume,
    /// Terminate the task.
    Terminate,
}

/// Reason why a node rejected or evicted a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeReason {
    /// The node did not give a reason.
    Unknown,
    /// Not enough free cores.
    #[serde(rename = "NoCores")]
    InsufficientCores,
    /// Not enough free memory.
    #[serde(rename = "NoMemory")]
    InsufficientMemory,
    /// The queue of offers is full.
    #[serde(rename = "Busy")]
    QueueFull,
    /// Wrong kind of node, a draining node, an expired offer, or a copy that the deduplication scope already has.
    #[serde(rename = "NotHere")]
    Ineligible,
    /// Evicted for lack of memory.
    Evicted,
    /// Preempted by a task of higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// Evicted because the node is draining.
    #[serde(rename = "SentAway")]
    Drained,
}

/// A load report. Values that the node does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeLoad {
    /// `x0`: free cores.
    pub free_cores: Option<f64>,
    /// `x1`: free memory.
    pub free_memory: Option<f64>,
    /// `util`: utilization of the cores, 0 to 1.
    #[serde(rename = "busy")]
    pub cpu_utilization: Option<f64>,
    /// `queue`: number of queued offers and starts.
    #[serde(rename = "waiting")]
    pub queue_depth: Option<f64>,
}

/// Resources that a task used, for the rusage of `drmaa_wait`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Elapsed time from start to end, in microseconds.
    pub wall: u64,
    /// CPU time, in microseconds.
    pub cpu: u64,
    /// Peak memory, in the unit of the settings.
    pub memory: f64,
}

/// How an attempt ended, as reported by its node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskExit {
    /// The program exited.
    Exited {
        /// Exit status.
        status: i32,
        /// Resources it used.
        usage: Usage,
    },
    /// The program was terminated by a signal.
    Signalled {
        /// The signal.
        signal: i32,
        /// Resources it used.
        usage: Usage,
    },
    /// The node reported an error; the task may have started.
    Error,
    /// The task was evicted, preempted or drained after it was placed.
    #[serde(rename = "GivenUp")]
    Evicted(NodeReason),
}

/// Messages from a node to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    /// Reply to the handshake. The next messages are a [`FromNode::Ended`] for each end that was not acknowledged and a
    /// [`FromNode::KnownTask`] for each task of this controller; the node sends nothing else before them.
    ///
    /// After the handshake the node ignores messages of earlier connections of the controller, and drops tasks that it
    /// accepted on them and has not started. Invariant: a task that is not reported here never ran, or its end was
    /// acknowledged, unless `is_complete` is false.
    Welcome {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The node.
        node: ProcessIdentity,
        /// Number of [`FromNode::KnownTask`] messages that follow.
        #[serde(rename = "standing")]
        known_tasks: u32,
        /// Whether this incarnation of the node still has every end that this controller did not acknowledge.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// A task that this or an earlier incarnation of the controller placed on the node. It is running, or it ended
    /// while the controller was disconnected.
    #[serde(rename = "Standing")]
    KnownTask {
        /// Incarnation of the controller that made the attempt.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt.
        attempt: AttemptId,
        /// The task.
        #[serde(rename = "work")]
        task: OfferedTask,
        /// How the task ended; `None` if it is running.
        ended: Option<TaskExit>,
    },
    /// The node has accepted the task.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// The task is running.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// The node has rejected the task, or returned it before it ran. Invariant: the task never ran on the node.
    #[serde(rename = "Refused")]
    Rejected {
        /// The attempt.
        attempt: AttemptId,
        /// The reason.
        reason: NodeReason,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// The attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: TaskExit,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// A measurement of a running task.
    #[serde(rename = "Note")]
    Measurement {
        /// The attempt.
        attempt: AttemptId,
        /// The measurement.
        #[serde(rename = "note")]
        measurement: TaskMeasurement,
    },
    /// Reply to [`ToNode::Probe`].
    #[serde(rename = "Probed")]
    ProbeReply {
        /// The nonce of the probe.
        nonce: u64,
        /// A load report.
        load: Option<NodeLoad>,
    },
}

/// A measurement of a running task or of its node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskMeasurement {
    /// Number of cores that the task uses.
    CoresUsed(f64),
    /// Memory that the task uses, in the unit of the settings.
    MemoryUsed(f64),
    /// Share of full service that the task gets, 0 to 1.
    #[serde(rename = "Served")]
    ServedShare(f64),
    /// Share of the node's memory in use, 0 to 1.
    #[serde(rename = "NodeMemory")]
    NodeMemoryShare(f64),
}
