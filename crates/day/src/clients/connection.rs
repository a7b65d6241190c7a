//! The connection of a client group to its controller: sends calls, receives replies and outcomes, and reconnects when
//! it breaks.

use super::{ClientGroup, JobRequest};
use futures_util::{SinkExt, StreamExt};
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{PlacementOutcome, PlacementResult};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LinesCodec};

/// Delay between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Timeout for the reply to `init`.
const INIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the length of a line from the controller, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

type Lines = Framed<TcpStream, LinesCodec>;

/// Keeps a connection to the controller open and submits the queued requests on it.
pub(super) async fn run(group: Rc<ClientGroup>, mut requests: mpsc::UnboundedReceiver<JobRequest>) {
    loop {
        let Some(lines) = connect(&group).await else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        let mut connection = Connection {
            group: group.clone(),
            lines,
            sent: BTreeMap::new(),
            accepted: BTreeMap::new(),
            early_outcomes: BTreeMap::new(),
        };
        match connection.run(&mut requests).await {
            CloseReason::NoMoreRequests => return,
            CloseReason::Broken => connection.fail_open_requests(),
        }
    }
}

async fn connect(group: &ClientGroup) -> Option<Lines> {
    let stream = TcpStream::connect(group.address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    let mut lines = Framed::new(stream, codec);
    let params = json!({ "session": group.session, "notify": true });
    let init = json!({ "jsonrpc": "2.0", "id": 0, "method": "init", "params": params });
    lines.send(init.to_string()).await.ok()?;
    let reply = timeout(INIT_TIMEOUT, lines.next()).await.ok()??.ok()?;
    let reply: Value = serde_json::from_str(&reply).ok()?;
    (!reply["result"].is_null()).then_some(lines)
}

/// Why a connection ended.
enum CloseReason {
    /// The request queue was closed because the run is over.
    NoMoreRequests,
    /// The connection broke, or the controller sent an invalid message.
    Broken,
}

/// One connection and the requests that are open on it.
struct Connection {
    group: Rc<ClientGroup>,
    lines: Lines,
    /// Requests without a reply, with their submission keys, by the id of the call.
    sent: BTreeMap<u64, (String, JobRequest)>,
    /// Accepted requests, by submission key.
    accepted: BTreeMap<String, JobRequest>,
    /// Outcomes that arrived before the reply to their call, by submission key.
    early_outcomes: BTreeMap<String, PlacementOutcome>,
}

impl Connection {
    async fn run(&mut self, requests: &mut mpsc::UnboundedReceiver<JobRequest>) -> CloseReason {
        loop {
            let is_open = tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.send(request).await,
                    None => return CloseReason::NoMoreRequests,
                },
                line = self.lines.next() => match line {
                    Some(Ok(line)) => self.on_line(&line).is_some(),
                    Some(Err(_)) | None => false,
                },
            };
            if !is_open {
                return CloseReason::Broken;
            }
        }
    }

    /// Submits a request. Returns `false` if the connection is broken.
    async fn send(&mut self, request: JobRequest) -> bool {
        let group = &self.group;
        let id = group.calls.get() + 1;
        group.calls.set(id);
        let key = format!("{:x}-{}-{id}", request.task, request.retries);
        let call = run_job_call(id, &key, &request, group.controller);
        self.sent.insert(id, (key, request));
        self.lines.send(call.to_string()).await.is_ok()
    }

    /// Handles a line from the controller. Returns `None` if it is not a valid message.
    fn on_line(&mut self, line: &str) -> Option<()> {
        let message: Value = serde_json::from_str(line).ok()?;
        if message["method"] == "settled" {
            let result = serde_json::from_value(message["params"].clone()).ok()?;
            self.on_result(result);
        } else {
            self.on_reply(&message);
        }
        Some(())
    }

    fn on_result(&mut self, result: PlacementResult) {
        let PlacementResult {
            submission_key,
            outcome,
            ..
        } = result;
        match self.accepted.remove(&submission_key) {
            Some(request) => self.group.on_outcome(request, outcome),
            None => {
                self.early_outcomes.insert(submission_key, outcome);
            }
        }
    }

    fn on_reply(&mut self, reply: &Value) {
        let sent = reply["id"].as_u64().and_then(|id| self.sent.remove(&id));
        let Some((key, request)) = sent else { return };
        if reply["result"]["jobId"].is_string() {
            match self.early_outcomes.remove(&key) {
                Some(outcome) => self.group.on_outcome(request, outcome),
                None => {
                    self.accepted.insert(key, request);
                }
            }
        } else {
            let data = &reply["error"]["data"];
            let errno = data["errno"].as_str().and_then(Errno::from_name);
            let errno = errno.unwrap_or(Errno::InternalError);
            let retry_after_ms = data["retryAfterMs"].as_u64();
            self.group.on_rejected(request, errno, retry_after_ms);
        }
    }

    /// Ends all open requests as disconnected.
    fn fail_open_requests(self) {
        let sent = self.sent.into_values().map(|(_, request)| request);
        for request in sent.chain(self.accepted.into_values()) {
            self.group.on_disconnected(request);
        }
    }
}

/// The JSON-RPC call that submits a request.
fn run_job_call(id: u64, key: &str, request: &JobRequest, controller: usize) -> Value {
    let job = &request.job;
    let attributes = json!({
        "drmaa_remote_command": "sleep",
        "drmaa_job_name": job.service,
        "drmaa_job_category": job.class,
        "drmaa_native_specification": native_specification(request, controller),
    });
    let params = json!({ "jobTemplate": { "attributes": attributes }, "submissionKey": key });
    json!({ "jsonrpc": "2.0", "id": id, "method": "runJob", "params": params })
}

fn native_specification(request: &JobRequest, controller: usize) -> String {
    let job = &request.job;
    let run_time = job.run_time.as_micros();
    let mut native = format!("task=t{:x} life={run_time}us", request.task);
    if request.retries > 0 {
        native += " again=yes";
    }
    let first = request.first_controller;
    if let Some(first) = first.filter(|first| *first != controller) {
        native += &format!(" asked=controller-{first}");
    }
    for (name, value) in [("cores", job.cores), ("memory", job.memory)] {
        if let Some(value) = value {
            native += &format!(" {name}={value}");
        }
    }
    if let Some(tenant) = &job.tenant {
        native += &format!(" tenant={tenant}");
    }
    native
}
