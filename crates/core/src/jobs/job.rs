//! A job: its state, its answer and the end of its task.

use super::submission::Submission;
use peppercove::{Micros, NodeId, RequestId};
use serde::{Deserialize, Serialize};

/// Identifies a job within one incarnation of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// The final answer to a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The task is placed on this node.
    Placed(NodeId),
    /// Rejected; a retry does no harm and is advised after this delay, in microseconds.
    #[serde(rename = "Refused")]
    Rejected(Option<Micros>),
    /// Failed; whether the task has had an effect is unknown.
    Failed,
    /// Cancelled by its client before it was placed.
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// How the task of a placed job ended.
///
/// Stored by postcard within [`crate::attempt_log::JournalEntry`]: the order of variants and fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The process exited.
    Exited {
        /// Exit status.
        status: i32,
        /// Wall-clock time, in microseconds.
        wall: Micros,
        /// CPU time, in microseconds.
        cpu: Micros,
        /// Peak memory.
        memory: f64,
    },
    /// The process was killed by a signal.
    Signalled {
        /// Signal number.
        signal: i32,
        /// Wall-clock time, in microseconds.
        wall: Micros,
        /// CPU time, in microseconds.
        cpu: Micros,
        /// Peak memory.
        memory: f64,
    },
    /// The node evicted, preempted or drained it.
    #[serde(rename = "GivenUp")]
    Evicted,
    /// The node failed, was removed or lost the task.
    Lost,
}

impl TaskEnd {
    /// Whether the task ran until it exited or was killed by a signal.
    pub fn has_run(self) -> bool {
        match self {
            TaskEnd::Exited { .. } | TaskEnd::Signalled { .. } => true,
            TaskEnd::Evicted | TaskEnd::Lost => false,
        }
    }
}

/// The state of a job, as shown to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// On hold; no placement is requested for it.
    OnHold,
    /// A placement is requested but not made yet.
    Queued,
    /// Its task is placed.
    Running,
    /// Its task is placed and suspended.
    Suspended,
    /// Its task exited or was killed by a signal.
    Done,
    /// It was rejected or failed, or its task was evicted or lost.
    Failed,
}

impl JobState {
    /// The final state of a job whose placed task ended in this way.
    pub(crate) fn after_end(end: TaskEnd) -> JobState {
        if end.has_run() {
            JobState::Done
        } else {
            JobState::Failed
        }
    }

    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed)
    }
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The client's submission.
    pub submission: Submission,
    /// Its current state.
    pub state: JobState,
    /// Its current placement request.
    pub request: Option<RequestId>,
    /// Time of its last placement request; 0 if there was none.
    pub requested_at: Micros,
    /// The answer to its placement request, once given.
    pub answer: Option<Answer>,
    /// How its task ended.
    pub end: Option<TaskEnd>,
    /// Whether it was found running after a restart and no client of this incarnation has submitted its task yet.
    pub is_unclaimed: bool,
    /// The key from an earlier incarnation, if the job was claimed under another key.
    pub(super) first_key: Option<String>,
}

impl Job {
    /// Creates a job on its acceptance.
    pub(super) fn new(id: JobId, submission: Submission, state: JobState) -> Job {
        Job {
            id,
            submission,
            state,
            request: None,
            requested_at: 0,
            answer: None,
            end: None,
            is_unclaimed: false,
            first_key: None,
        }
    }
}
