//! Messages between a controller and a node.

use serde::{Deserialize, Serialize};

/// One attempt to place a task, unique among all that one life of a controller makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The ask.
    pub request: u64,
    /// Its number among the attempts of that ask, from 0.
    pub number: u16,
}

/// Who speaks: a name that stays, and a number that is new at each start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// Name of the controller or node.
    pub name: String,
    /// Its life: another one after each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// What a repeat of the task would do, as the node must know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// No harm.
    #[serde(rename = "Safe")]
    Idempotent,
    /// The nodes of one rack let one copy of this key stand.
    Keyed,
    /// It must never be started twice.
    #[serde(rename = "Unsafe")]
    NonIdempotent,
}

/// A task as it is offered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedTask {
    /// The task, the same each time it is asked for.
    pub task: u64,
    /// Its service: one program, one shape, one class.
    pub service: u64,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u32,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for, in the unit of the settings.
    pub memory: f64,
    /// Higher ones win in contention and evictions.
    pub priority: u8,
    /// What a repeat does.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// What to run, and how.
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
    /// The submission key of the job, kept by the node so that a restarted controller can know it again.
    pub key: String,
}

/// What a controller says to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToNode {
    /// First message of a link.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The controller.
        controller: ProcessIdentity,
    },
    /// Offers a task. The node may accept or refuse it, and must refuse it once it is `expires_in` old.
    Offer {
        /// The attempt.
        attempt: AttemptId,
        /// Microseconds for which the controller will wait.
        expires_in: u64,
        /// The task.
        #[serde(rename = "work")]
        task: OfferedTask,
    },
    /// The controller waits for this attempt no longer. The node answers with what it knows of it: that it runs, how it
    /// ended, or that it is refused, now and for ever. It may be sent again where the answer was not heard.
    #[serde(rename = "Withdraw")]
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Takes over a task that an earlier life of this controller placed, under a number of this life.
    Adopt {
        /// The earlier life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt in that life.
        attempt: AttemptId,
        /// What it is called from now on.
        #[serde(rename = "named")]
        new_attempt: AttemptId,
    },
    /// Ends a task that an earlier life of this controller placed.
    Discard {
        /// The earlier life.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt in that life.
        attempt: AttemptId,
    },
    /// Acts on a task that runs.
    Control {
        /// The attempt that placed it.
        attempt: AttemptId,
        /// What to do.
        action: Control,
    },
    /// The end of an attempt is taken note of, and written down where the controller keeps a journal: the node may
    /// forget it. Until then it tells the end again after growing waits, and on each new link.
    #[serde(rename = "Noted")]
    AcknowledgeEnd {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Asks for a load report.
    Probe {
        /// Comes back with the answer.
        nonce: u64,
    },
}

/// What may be done to a running task (DRMAA 1.0, `drmaa_control`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Control {
    /// Stop its clock.
    Suspend,
    /// Let it go on.
    Resume,
    /// End it.
    Terminate,
}

/// Why a node refused a task or gave it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeReason {
    /// Not told.
    Unknown,
    /// No cores.
    #[serde(rename = "NoCores")]
    InsufficientCores,
    /// No memory.
    #[serde(rename = "NoMemory")]
    InsufficientMemory,
    /// Too many offers wait.
    #[serde(rename = "Busy")]
    QueueFull,
    /// Wrong kind, draining, too late, or a copy stands.
    #[serde(rename = "NotHere")]
    Ineligible,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// Sent away by a drain.
    #[serde(rename = "SentAway")]
    Drained,
}

/// A load report; each value only where the node reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeLoad {
    /// `x0`: free cores.
    pub free_cores: Option<f64>,
    /// `x1`: free memory.
    pub free_memory: Option<f64>,
    /// `util`: busy share of the cores.
    #[serde(rename = "busy")]
    pub cpu_utilization: Option<f64>,
    /// `queue`: offers and starts waiting.
    #[serde(rename = "waiting")]
    pub queue_depth: Option<f64>,
}

/// What a task used, for `drmaa_wait`'s rusage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Microseconds from start to end.
    pub wall: u64,
    /// Microseconds of processor time.
    pub cpu: u64,
    /// Most memory in use, in the unit of the settings.
    pub memory: f64,
}

/// How an attempt ended, as its node tells it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskExit {
    /// The program ended by itself.
    Exited {
        /// Its exit status.
        status: i32,
        /// What it used.
        usage: Usage,
    },
    /// A signal ended it.
    Signalled {
        /// The signal.
        signal: i32,
        /// What it used.
        usage: Usage,
    },
    /// The node answers with an error; the task may have started.
    Error,
    /// It was evicted, pushed out or sent away after it was placed.
    #[serde(rename = "GivenUp")]
    Evicted(NodeReason),
}

/// What a node says to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    /// Answer to the greeting. `Ended` of what was not acknowledged and `Standing` of what it holds of this controller
    /// follow, and nothing else before them. From the greeting on nothing that the controller sent on an earlier link is
    /// acted on, and what was accepted there and has not been started is dropped: what is not told here never ran, or
    /// its end was acknowledged, unless the node says that it is not `whole`.
    Welcome {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// The node.
        node: ProcessIdentity,
        /// How many of them follow.
        #[serde(rename = "standing")]
        known_tasks: u32,
        /// In this life of the node no end was forgotten that this controller had not acknowledged.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
    /// It holds a task that this controller, or an earlier life of it, placed; or held one of an earlier life to its
    /// end.
    #[serde(rename = "Standing")]
    KnownTask {
        /// Life of the controller that made the attempt.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The attempt.
        attempt: AttemptId,
        /// The task.
        #[serde(rename = "work")]
        task: OfferedTask,
        /// It ended while nobody could be told.
        ended: Option<TaskExit>,
    },
    /// The task is accepted.
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
    /// The task is refused, or handed back before it ran: proof that it never ran.
    #[serde(rename = "Refused")]
    Rejected {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NodeReason,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// The attempt is over.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: TaskExit,
        /// A load report.
        load: Option<NodeLoad>,
    },
    /// News of a running task.
    #[serde(rename = "Note")]
    Measurement {
        /// The attempt.
        attempt: AttemptId,
        /// The news.
        #[serde(rename = "note")]
        measurement: TaskMeasurement,
    },
    /// Answer to a probe.
    #[serde(rename = "Probed")]
    ProbeReply {
        /// The number that came with it.
        nonce: u64,
        /// A load report.
        load: Option<NodeLoad>,
    },
}

/// News of a running task or its node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskMeasurement {
    /// Cores it uses.
    CoresUsed(f64),
    /// Memory it uses.
    MemoryUsed(f64),
    /// Share of full service it gets.
    #[serde(rename = "Served")]
    ServedShare(f64),
    /// Share of the node's memory in use.
    #[serde(rename = "NodeMemory")]
    NodeMemoryShare(f64),
}
