//! One job: its state, its answer and its end.

use super::submission::Submission;
use peppercove::{Micros, NodeId, RequestId};
use serde::{Deserialize, Serialize};

/// A job, by its number in this incarnation of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// The final answer to a request for a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The task is placed on this node.
    Placed(NodeId),
    /// Rejected; a retry does no harm, best after this long (in microseconds).
    #[serde(rename = "Refused")]
    Rejected(Option<Micros>),
    /// Nothing is promised about its effect.
    Failed,
    /// Its client ended it before it was placed.
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// How a placed job's task ended.
///
/// Stored by postcard within [`crate::attempt_log::JournalEntry`]: the order of variants and fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// By itself, with a status.
    Exited {
        /// Exit status.
        status: i32,
        /// Wall-clock time, in microseconds.
        wall: Micros,
        /// Processor time, in microseconds.
        cpu: Micros,
        /// Most memory in use.
        memory: f64,
    },
    /// By a signal.
    Signalled {
        /// The signal.
        signal: i32,
        /// Wall-clock time, in microseconds.
        wall: Micros,
        /// Processor time, in microseconds.
        cpu: Micros,
        /// Most memory in use.
        memory: f64,
    },
    /// Evicted, preempted or drained by its node.
    #[serde(rename = "GivenUp")]
    Evicted,
    /// Its node failed or was removed.
    Lost,
}

impl TaskEnd {
    /// The task ran, and came to an end by itself or by a signal.
    pub fn has_run(self) -> bool {
        match self {
            TaskEnd::Exited { .. } | TaskEnd::Signalled { .. } => true,
            TaskEnd::Evicted | TaskEnd::Lost => false,
        }
    }
}

/// Where a job stands for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// On hold; no placement is requested for it.
    OnHold,
    /// A placement is requested, and not made yet.
    Queued,
    /// Placed.
    Running,
    /// Placed, its clock stopped.
    Suspended,
    /// Ended by itself, or by a signal.
    Done,
    /// Rejected, failed, evicted or lost.
    Failed,
}

impl JobState {
    /// The final state of a job whose placed task ended so.
    pub(crate) fn after(end: TaskEnd) -> JobState {
        if end.has_run() {
            JobState::Done
        } else {
            JobState::Failed
        }
    }

    /// Its state does not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed)
    }
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// As it was submitted.
    pub submission: Submission,
    /// Where it stands.
    pub state: JobState,
    /// The request that is made for it.
    pub request: Option<RequestId>,
    /// When the last request was made for it; 0 before the first.
    pub requested_at: Micros,
    /// The answer, once it is given.
    pub answer: Option<Answer>,
    /// How its task ended.
    pub end: Option<TaskEnd>,
    /// Found running after a restart; no client of this incarnation has submitted its task.
    pub is_unclaimed: bool,
    /// The key of an earlier incarnation, where the job was claimed under another.
    pub(super) first_key: Option<String>,
}

impl Job {
    /// A job as it is accepted.
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
