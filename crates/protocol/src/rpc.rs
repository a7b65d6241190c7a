//! JSON-RPC 2.0 between clients and a controller: one object per line, with methods named after DRMAA 1.0.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `init` | [`Init`] | [`SessionInfo`] |
//! | `runJob` | [`RunJob`] | `{"jobId": "…"}` |
//! | `runBulkJobs` | [`RunBulkJobs`] | `{"jobIds": ["…"]}` |
//! | `findJob` | [`FindJob`] | `{"jobId": "…"}` |
//! | `control` | [`ControlJob`] | `{}` |
//! | `jobPs` | [`JobRef`] | `{"state": number}` |
//! | `wait` | [`Wait`] | [`JobInfo`] |
//! | `synchronize` | [`Synchronize`] | `{}` |
//! | `outcome` | [`Wait`] | [`PlacementResult`] |
//! | `exit` | none | `{}` |
//!
//! A session that requests notifications in `init` receives one `settled` notification with a [`PlacementResult`] for
//! each job.

use crate::drmaa::Errno;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Maximum length of a line, including its line feed.
pub const MAX_LINE_BYTES: usize = 256 << 10;

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RpcRequest {
    /// Always `2.0`.
    pub jsonrpc: String,
    /// Returned in the response. A request without an id is a notification.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<Value>,
    /// Method.
    pub method: String,
    /// Parameters of the method.
    #[serde(default)]
    pub params: Value,
}

/// A response: a result or an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RpcResponse {
    /// Always `2.0`.
    pub jsonrpc: String,
    /// Id of the request; null if it could not be parsed.
    #[serde(default)]
    pub id: Value,
    /// The result.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<Value>,
    /// The error.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<RpcError>,
}

/// Error object (JSON-RPC 2.0, section 5.1).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RpcError {
    /// A code defined by JSON-RPC, or -32000 minus the DRMAA error number.
    pub code: i64,
    /// Human-readable text.
    pub message: String,
    /// Machine-readable details.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<RpcErrorData>,
}

/// Machine-readable details of an error.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct RpcErrorData {
    /// Name of the DRMAA error.
    pub errno: String,
    /// Retry-After, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Invalid attribute of the job template.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attribute: Option<String>,
}

/// The line is not JSON.
pub const PARSE_ERROR: i64 = -32700;
/// The line is JSON, but not a request.
pub const INVALID_REQUEST: i64 = -32600;
/// The method does not exist.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// The parameters are not valid for the method.
pub const INVALID_PARAMS: i64 = -32602;
/// Base of the codes of DRMAA errors. The code is the base minus the DRMAA error number.
pub const DRMAA_ERROR_BASE: i64 = -32000;

impl RpcError {
    /// Creates a DRMAA error.
    pub fn drmaa(errno: Errno, message: impl Into<String>) -> RpcError {
        let data = RpcErrorData {
            errno: errno.name().into(),
            ..RpcErrorData::default()
        };
        RpcError {
            code: DRMAA_ERROR_BASE - i64::from(errno.number()),
            message: message.into(),
            data: Some(data),
        }
    }

    /// Creates an error with a code defined by JSON-RPC.
    pub fn rpc(code: i64, message: impl Into<String>) -> RpcError {
        let data = RpcErrorData {
            errno: Errno::InvalidArgument.name().into(),
            ..RpcErrorData::default()
        };
        RpcError {
            code,
            message: message.into(),
            data: Some(data),
        }
    }

    /// Returns the DRMAA error, or `InternalError` if the response does not contain one.
    pub fn errno(&self) -> Errno {
        let errno = self.data.as_ref().and_then(|d| Errno::from_name(&d.errno));
        errno.unwrap_or(Errno::InternalError)
    }
}

/// Parameters of `init`, which opens a session, or resumes it after a disconnect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Init {
    /// Name of the session, chosen by the client. The same name resumes the session.
    pub session: String,
    /// Whether `settled` notifications are sent on this connection.
    pub notify: bool,
}

/// Result of `init`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct SessionInfo {
    /// Name of the controller.
    pub controller: String,
    /// Incarnation of the controller; it changes with each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Result of `drmaa_get_DRM_system`.
    pub drm_system: String,
    /// Result of `drmaa_get_DRMAA_implementation`.
    pub implementation: String,
    /// Category of a job that does not name one.
    pub default_category: String,
    /// Job categories by name.
    pub categories: BTreeMap<String, Category>,
}

/// A job category.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Category {
    /// Whether a second start is harmless, so that a job may be submitted again while its outcome is ambiguous.
    #[serde(rename = "safe")]
    pub is_idempotent: bool,
    /// Time to wait before a task with an ambiguous outcome is requested again, in milliseconds.
    #[serde(rename = "settleMs")]
    pub ambiguous_retry_delay_ms: u64,
}

/// A job template: values of DRMAA 1.0 attributes by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobTemplate {
    /// Scalar attributes.
    #[serde(default)]
    pub attributes: BTreeMap<String, String>,
    /// Vector attributes.
    #[serde(default)]
    pub vectors: BTreeMap<String, Vec<String>>,
}

impl JobTemplate {
    /// Returns a scalar attribute, or `None` if it is not set or empty.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.attributes
            .get(name)
            .map(String::as_str)
            .filter(|v| !v.is_empty())
    }

    /// Returns a vector attribute; empty if it is not set.
    pub fn vector(&self, name: &str) -> &[String] {
        self.vectors.get(name).map_or(&[], Vec::as_slice)
    }
}

/// Parameters of `runJob`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RunJob {
    /// Template of the job.
    pub job_template: JobTemplate,
    /// Idempotency key, chosen by the client. The same key returns the same job.
    pub submission_key: String,
}

/// Parameters of `runBulkJobs`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RunBulkJobs {
    /// Template of all jobs.
    pub job_template: JobTemplate,
    /// Idempotency key, chosen by the client. The key of each job consists of this key and the index of the job.
    pub submission_key: String,
    /// First index.
    pub start: i64,
    /// Upper bound of the index, inclusive.
    pub end: i64,
    /// Increment of the index.
    pub incr: i64,
}

/// Parameters of `findJob`, which finds the job submitted with a key, including through an earlier incarnation of the
/// controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FindJob {
    /// Submission key of the job.
    pub submission_key: String,
}

/// Parameters of `control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ControlJob {
    /// The job, or [`crate::drmaa::ALL_JOBS`].
    pub job_id: String,
    /// Name of a [`crate::drmaa::ControlAction`].
    pub action: String,
}

/// Parameters of `jobPs`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobRef {
    /// The job.
    pub job_id: String,
}

/// Parameters of `wait` and `outcome`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Wait {
    /// The job, or [`crate::drmaa::ANY_JOB`].
    pub job_id: String,
    /// Timeout in milliseconds; without one the call waits forever.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// Parameters of `synchronize`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Synchronize {
    /// The jobs, or [`crate::drmaa::ALL_JOBS`].
    pub job_ids: Vec<String>,
    /// Timeout in milliseconds; without one the call waits forever.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Whether the jobs are removed once they have finished.
    #[serde(default)]
    pub dispose: bool,
}

/// Answer to the placement request of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PlacementResult {
    /// The job.
    pub job_id: String,
    /// Submission key of the job.
    pub submission_key: String,
    /// The answer.
    pub outcome: PlacementOutcome,
    /// Node, if the job was placed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// Retry-After in milliseconds, if the job was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Final answers to a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlacementOutcome {
    /// The task is running, or was accepted by a node if the settings count that as placed.
    Placed,
    /// The request was rejected; a retry is safe.
    Refused,
    /// The outcome is ambiguous: the task may have run.
    Failed,
    /// The client cancelled the request before it was answered.
    Withdrawn,
}

/// How a job ended: the results of `drmaa_wait` and the `drmaa_w…` functions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct JobInfo {
    /// The job.
    pub job_id: String,
    /// Exit status, if the job exited (`drmaa_wifexited`, `drmaa_wexitstatus`).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exit_status: Option<i32>,
    /// Signal, if the job was terminated by one (`drmaa_wifsignaled`, `drmaa_wtermsig`).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub signal: Option<i32>,
    /// Whether the job ended without having run (`drmaa_wifaborted`).
    pub aborted: bool,
    /// Resource usage by name (`rusage`).
    pub rusage: BTreeMap<String, String>,
}
