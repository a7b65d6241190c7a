//! JSON-RPC 2.0 between clients and a controller: one object a line, methods named after DRMAA 1.0.
//!
//! | method | params | result |
//! | --- | --- | --- |
//! | `init` | [`Init`] | [`Session`] |
//! | `runJob` | [`RunJob`] | `{"jobId": "…"}` |
//! | `runBulkJobs` | [`RunBulkJobs`] | `{"jobIds": ["…"]}` |
//! | `findJob` | [`FindJob`] | `{"jobId": "…"}` |
//! | `control` | [`ControlJob`] | `{}` |
//! | `jobPs` | [`JobRef`] | `{"state": number}` |
//! | `wait` | [`Wait`] | [`Finished`] |
//! | `synchronize` | [`Synchronize`] | `{}` |
//! | `outcome` | [`Wait`] | [`Settled`] |
//! | `exit` | none | `{}` |
//!
//! A session that asked for it in `init` gets the notification `settled` with a [`Settled`] once for each job.

use crate::drmaa::Errno;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Longest line, in bytes.
pub const MAX_LINE_BYTES: usize = 256 << 10;

/// A call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RpcRequest {
    /// Always `2.0`.
    pub jsonrpc: String,
    /// Comes back with the answer; a call without one is a notification.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<Value>,
    /// Name of the method.
    pub method: String,
    /// Its parameters.
    #[serde(default)]
    pub params: Value,
}

/// An answer: a result or an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RpcResponse {
    /// Always `2.0`.
    pub jsonrpc: String,
    /// That of the call; null where it could not be read.
    #[serde(default)]
    pub id: Value,
    /// What the call gave.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<Value>,
    /// Or what was wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<RpcError>,
}

/// The error object (JSON-RPC 2.0, section 5.1).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RpcError {
    /// One of JSON-RPC's own, or -32000 less the DRMAA error number.
    pub code: i64,
    /// For people.
    pub message: String,
    /// For programs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<FaultData>,
}

/// What programs are told of an error.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultData {
    /// Name of the DRMAA error.
    pub errno: String,
    /// Come again after this many milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Attribute of the template that is wrong.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attribute: Option<String>,
}

/// The line was not JSON.
pub const PARSE_ERROR: i64 = -32700;
/// It was JSON, but no call.
pub const INVALID_REQUEST: i64 = -32600;
/// No such method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// The parameters are not those of the method.
pub const INVALID_PARAMS: i64 = -32602;
/// DRMAA errors lie below this by their number.
pub const DRMAA_BASE: i64 = -32000;

impl RpcError {
    /// An error of DRMAA.
    pub fn drmaa(errno: Errno, message: impl Into<String>) -> RpcError {
        let data = FaultData {
            errno: errno.name().into(),
            ..FaultData::default()
        };
        RpcError {
            code: DRMAA_BASE - i64::from(errno.number()),
            message: message.into(),
            data: Some(data),
        }
    }

    /// An error of JSON-RPC itself.
    pub fn rpc(code: i64, message: impl Into<String>) -> RpcError {
        let data = FaultData {
            errno: Errno::InvalidArgument.name().into(),
            ..FaultData::default()
        };
        RpcError {
            code,
            message: message.into(),
            data: Some(data),
        }
    }

    /// The DRMAA error that it stands for.
    pub fn errno(&self) -> Errno {
        let named = self.data.as_ref().and_then(|d| Errno::from_name(&d.errno));
        named.unwrap_or(Errno::InternalError)
    }
}

/// `init`: opens a session, or finds it again after a broken connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Init {
    /// Made by the client; the same name again is the same session.
    pub session: String,
    /// Send `settled` notifications on this connection.
    pub notify: bool,
}

/// What a session is told at its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct SessionInfo {
    /// Name of the controller.
    pub controller: String,
    /// Another one after each of its starts.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// `drmaa_get_DRM_system`.
    pub drm_system: String,
    /// `drmaa_get_DRMAA_implementation`.
    pub implementation: String,
    /// Category of a job that names none.
    pub default_category: String,
    /// The job categories, and whether a job of one may be submitted again when its fate is not known.
    pub categories: BTreeMap<String, Category>,
}

/// One job category.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Category {
    /// A second start does no harm.
    #[serde(rename = "safe")]
    pub is_idempotent: bool,
    /// Wait this many milliseconds before a task of unknown fate is asked for again.
    pub settle_ms: u64,
}

/// A job template: attribute names of DRMAA 1.0 and their values.
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
    /// A scalar attribute, where it is set and not empty.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.attributes
            .get(name)
            .map(String::as_str)
            .filter(|v| !v.is_empty())
    }

    /// A vector attribute; empty where it is not set.
    pub fn vector(&self, name: &str) -> &[String] {
        self.vectors.get(name).map_or(&[], Vec::as_slice)
    }
}

/// `runJob`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RunJob {
    /// The job.
    pub job_template: JobTemplate,
    /// Made by the client: the same key again gets the same job.
    pub submission_key: String,
}

/// `runBulkJobs`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RunBulkJobs {
    /// The jobs.
    pub job_template: JobTemplate,
    /// Made by the client; the key of each job is this and its index.
    pub submission_key: String,
    /// First index.
    pub start: i64,
    /// Last index, at most.
    pub end: i64,
    /// Step.
    pub incr: i64,
}

/// `findJob`: the job that was submitted under a key, also by way of an earlier life of the controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FindJob {
    /// The key.
    pub submission_key: String,
}

/// `control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ControlJob {
    /// The job, or [`crate::drmaa::ALL_JOBS`].
    pub job_id: String,
    /// Name of a [`crate::drmaa::Action`].
    pub action: String,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobRef {
    /// Its id.
    pub job_id: String,
}

/// `wait` and `outcome`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Wait {
    /// The job, or [`crate::drmaa::ANY_JOB`].
    pub job_id: String,
    /// At most this long; none is for ever.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// `synchronize`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Synchronize {
    /// The jobs, or [`crate::drmaa::ALL_JOBS`].
    pub job_ids: Vec<String>,
    /// At most this long; none is for ever.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Forget the jobs once they are finished.
    #[serde(default)]
    pub dispose: bool,
}

/// What became of a job's ask for a placing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PlacementResult {
    /// The job.
    pub job_id: String,
    /// The key it was submitted under.
    pub submission_key: String,
    /// The answer.
    pub outcome: PlacementOutcome,
    /// The node, where it is placed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// Come again after this many milliseconds, where it is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The three final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlacementOutcome {
    /// It runs, or is accepted where the settings say that this confirms.
    Placed,
    /// Turned away: a retry is harmless.
    Refused,
    /// No promise about its effect.
    Failed,
    /// Its owner ended it first.
    Withdrawn,
}

/// How a job ended: `drmaa_wait` and the `drmaa_w…` functions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct JobInfo {
    /// The job.
    pub job_id: String,
    /// It ended by itself with this status (`drmaa_wifexited`, `drmaa_wexitstatus`).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exit_status: Option<i32>,
    /// A signal ended it (`drmaa_wifsignaled`, `drmaa_wtermsig`).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub signal: Option<i32>,
    /// It never ran (`drmaa_wifaborted`).
    pub aborted: bool,
    /// `rusage`.
    pub rusage: BTreeMap<String, String>,
}
