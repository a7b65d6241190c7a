//! Messages between a controller and a node.

use serde::{Deserialize, Serialize};

/// One attempt to place a task, unique among all of one incarnation of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The placement request.
    pub request: u64,
    /// Number among the attempts of that request, from 0.
    pub number: u16,
}

/// A controller or node: a name that stays, and an incarnation that is new at each start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// Name of the controller or node.
    pub name: String,
    /// Incarnation: another one after each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// What a second start of the task would do, as far as the node must know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A second start does no harm.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The nodes of one deduplication scope keep one copy of each key.
    Keyed,
    /// The task must never be started twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A task, as it is offered to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedTask {
    /// Identity of the task, the same in each request for it.
    pub task: u64,
    /// Service of the task: one program, one size, one class.
    pub service: u64,
    /// Index of the class.
    pub class: u16,
    /// Index of the tenant.
    pub tenant: u32,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory, in the unit of the settings.
    pub memory: f64,
    /// Higher priorities win in contention and preemption.
    pub priority: u8,
    /// What a second start would do.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// The program, and what it is run with.
    pub program: Program,
}

/// A program and what it is run with: DRMAA 1.0, section 3.2.2 (GFD.133), as far as a node acts on it.
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
    /// The submission key of the job, kept by the node so that a restarted controller can recognise the job.
    pub key: String,
}

/// Messages of a controller to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToNode {
    /// First message of a connection.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The controller.
        controller: ProcessIdentity,
    },
    /// Offers a task. The node may accept or reject it, and must reject it once the offer is `expires_in` old.
    Offer {
        /// The attempt.
        attempt: AttemptId,
        /// How long the controller waits, in microseconds.
        expires_in: u64,
        /// The task.
        #[serde(rename = "work")]
        task: OfferedTask,
    },
    /// The controller no longer waits for this attempt. The node answers with its state: that it runs, how it ended, or
    /// that it is rejected, which is final. The message may be repeated where the answer was lost.
    #[serde(rename = "Withdraw")]
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Takes over a task that an earlier incarnation of this controller placed, under an attempt of this incarnation.
    Adopt {
        /// The earlier incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt in that incarnation.
        attempt: AttemptId,
        /// The attempt by which the task is known from now on.
        #[serde(rename = "named")]
        new_attempt: AttemptId,
    },
    /// Ends a task that an earlier incarnation of this controller placed.
    Discard {
        /// The earlier incarnation.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt in that incarnation.
        attempt: AttemptId,
    },
    /// Controls a running task.
    Control {
        /// The attempt that placed it.
        attempt: AttemptId,
        /// What to do.
        action: Control,
    },
    /// The end of an attempt was received, and persisted where the controller keeps a journal: the node may forget it.
    /// Until then the node repeats the end with backoff, and on each new connection.
    #[serde(rename = "Noted")]
    AcknowledgeEnd {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Requests a load report.
    Probe {
        /// Returned with the answer.
        nonce: u64,
    },
}

/// What may be done to a running task (DRMAA 1.0, `drmaa_control`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Suspend the task.
    Suspend,
    /// Resume it.
    Resume,
    /// Terminate it.
    Terminate,
}

/// Why a node rejected a task or evicted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeReason {
    /// The node does not say.
    Unknown,
    /// Not enough free cores.
    #[serde(rename = "NoCores")]
    InsufficientCores,
    /// Not enough free memory.
    #[serde(rename = "NoMemory")]
    InsufficientMemory,
    /// Too many offers are queued.
    #[serde(rename = "Busy")]
    QueueFull,
    /// Wrong kind of node, draining, an expired offer, or a copy that the deduplication scope has already.
    #[serde(rename = "NotHere")]
    Ineligible,
    /// Evicted for want of memory.
    Evicted,
    /// Preempted by a task of higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// Evicted since the node is draining.
    #[serde(rename = "SentAway")]
    Drained,
}

/// A load report. A value is absent where the node does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeLoad {
    /// `x0`: free cores.
    pub free_cores: Option<f64>,
    /// `x1`: free memory.
    pub free_memory: Option<f64>,
    /// `util`: utilization of the cores, 0 to 1.
    #[serde(rename = "busy")]
    pub cpu_utilization: Option<f64>,
    /// `queue`: offers and starts that are queued.
    #[serde(rename = "waiting")]
    pub queue_depth: Option<f64>,
}

/// What a task used, for `drmaa_wait`'s rusage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Time from start to end, in microseconds.
    pub wall: u64,
    /// Processor time, in microseconds.
    pub cpu: u64,
    /// Peak memory, in the unit of the settings.
    pub memory: f64,
}

/// How an attempt ended, as its node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskExit {
    /// The program exited by itself.
    Exited {
        /// Exit status.
        status: i32,
        /// Resources it used.
        usage: Usage,
    },
    /// A signal ended the program.
    Signalled {
        /// The signal.
        signal: i32,
        /// Resources it used.
        usage: Usage,
    },
    /// The node answered with an error; the task may have started.
    Error,
    /// The task was evicted, preempted or drained after it was placed.
    #[serde(rename = "GivenUp")]
    Evicted(NodeReason),
}

/// Messages of a node to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    /// Answer to the handshake. [`FromNode::Ended`] for each end that was not acknowledged and [`FromNode::KnownTask`]
    /// for each task of this controller follow, and nothing else before them.
    ///
    /// From the handshake on the node ignores what the controller sent on an earlier connection, and drops what it
    /// accepted there and has not started. Invariant: a task that is not reported here never ran, or its end was
    /// acknowledged, unless `is_complete` is false.
    Welcome {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The node.
        node: ProcessIdentity,
        /// Number of [`FromNode::KnownTask`] that follow.
        #[serde(rename = "standing")]
        known_tasks: u32,
        /// This incarnation of the node has forgotten no end that this controller had not acknowledged.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// A task that this controller or an earlier incarnation of it placed here: it runs, or it ended while the
    /// controller was disconnected.
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
        /// How it ended, where it has.
        ended: Option<TaskExit>,
    },
    /// The node has accepted the task.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// The task runs.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// The node has rejected the task, or returned it before it ran. Invariant: the task never ran here.
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
    /// Answer to [`ToNode::Probe`].
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
    /// Cores that the task uses.
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
