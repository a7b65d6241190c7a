//! What bounds a core.

use peppercove::{Micros, PlacementAck, TaskClass};

/// What bounds a core, all from the settings. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Another number after each start of the controller.
    pub incarnation: u64,
    /// The classes, as the decision module has them.
    pub classes: Vec<TaskClass>,
    /// What acknowledges a placement.
    pub placement_ack: PlacementAck,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// Jobs kept, finished ones included.
    pub max_jobs: usize,
    /// Jobs of one session that may be unfinished at once.
    pub max_session_jobs: usize,
    /// The module answers this long before its client gives up, so that the answer still arrives in time.
    pub deadline_margin: Micros,
    /// Advice to a client that met a limit.
    pub retry_after: Micros,
    /// The retry delay given to clients whose task has an ambiguous outcome.
    pub ambiguous_retry_delay: Micros,
    /// How long a completion is remembered.
    pub outcome_retention: Micros,
    /// Copies of tasks that no request waits for and whose outcome may be ambiguous at once.
    pub max_ambiguous_tasks: usize,
    /// What is sent is written to a journal, and the next incarnation reads it.
    pub has_journal: bool,
    /// A task on a node that cannot be reached counts as lost after this.
    pub unreachable_timeout: Micros,
}
