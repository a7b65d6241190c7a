//! Settings of a core.

use peppercove::{Micros, PlacementAck, TaskClass};

/// Settings of a core: its limits, timeouts and task classes. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Incarnation of the controller; a different number after each start.
    pub incarnation: u64,
    /// The task classes, as the scheduler knows them.
    pub classes: Vec<TaskClass>,
    /// Which message of a node acknowledges a placement.
    pub placement_ack: PlacementAck,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Maximum number of jobs, including finished ones.
    pub max_jobs: usize,
    /// Maximum number of unfinished jobs of one session.
    pub max_session_jobs: usize,
    /// How long before the client's deadline the scheduler must answer, so that the answer still arrives in time.
    pub deadline_margin: Micros,
    /// Retry delay suggested to a client whose submission met a limit.
    pub retry_after: Micros,
    /// Retry delay suggested to a client whose task has an ambiguous outcome.
    pub ambiguous_retry_delay: Micros,
    /// How long a completion is kept.
    pub outcome_retention: Micros,
    /// Maximum number of orphans: copies that no request waits for and whose outcome may be ambiguous.
    pub max_ambiguous_tasks: usize,
    /// Whether a journal is written, so that the next incarnation knows what this one has sent.
    pub has_journal: bool,
    /// How long a node is unreachable until its tasks count as lost.
    pub unreachable_timeout: Micros,
}
