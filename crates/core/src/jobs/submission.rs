//! Submissions of clients.

use peppercove::{Micros, ServiceId, TaskKey};
use serde::{Deserialize, Serialize};

/// The program to run, as submitted by the client; not interpreted by the core.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The command to execute.
    pub command: String,
    /// Its arguments.
    pub args: Vec<String>,
    /// Its environment, as `NAME=VALUE` entries.
    pub env: Vec<String>,
    /// Its working directory.
    pub working_directory: Option<String>,
}

/// The submission of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The session it belongs to.
    pub session: String,
    /// A key chosen by the client; another submission with the same key means the same job.
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
    /// How long the client waits for the answer, in microseconds.
    pub deadline_in: Micros,
    /// Expected run time, in microseconds.
    #[serde(rename = "life_hint")]
    pub expected_duration: Option<Micros>,
    /// Whether the task was submitted before.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Whether the task was submitted to another controller before, which may have started it.
    #[serde(rename = "elsewhere", default)]
    pub requested_elsewhere: bool,
    /// Whether the job starts on hold (`drmaa_js_state`).
    #[serde(rename = "held")]
    pub on_hold: bool,
    /// The program to run.
    pub program: Program,
}
