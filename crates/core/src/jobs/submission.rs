//! What clients submit.

use peppercove::{Micros, ServiceId, TaskKey};
use serde::{Deserialize, Serialize};

/// What to run, as the client gave it; the core only carries it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The command.
    pub command: String,
    /// Its arguments.
    pub args: Vec<String>,
    /// Its environment, as `NAME=VALUE`.
    pub env: Vec<String>,
    /// Where it runs.
    pub working_directory: Option<String>,
}

/// A job as it is submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The session it belongs to.
    pub session: String,
    /// The key made by the client: the same key again is the same job.
    pub key: String,
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
    /// How long its client waits for the answer, in microseconds.
    pub deadline_in: Micros,
    /// How long it is expected to run, in microseconds.
    #[serde(rename = "life_hint")]
    pub expected_duration: Option<Micros>,
    /// The task was submitted before.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// The task was submitted to another controller before, which may have started it.
    #[serde(rename = "elsewhere", default)]
    pub requested_elsewhere: bool,
    /// It starts on hold (`drmaa_js_state`).
    #[serde(rename = "held")]
    pub on_hold: bool,
    /// What to run.
    pub program: Program,
}
