//! Clients that violate the protocol, flood the controller or disconnect early.

use futures_util::SinkExt;
use peppercove_kernel::scenario::FaultKind;
use peppercove_standins::Clock;
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LinesCodec};

/// Number of calls that a flooding client writes before it flushes.
const FLOOD_BATCH: usize = 100;

/// Timeout for one write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Limit on the time that a client stays connected after its invalid calls.
const INVALID_CALLS_LINGER: Duration = Duration::from_millis(200);

/// Lines that are not a valid call, each for a different reason.
const INVALID_CALLS: [&str; 8] = [
    "not json",
    "{}",
    "[]",
    "{\"jsonrpc\":\"1.0\",\"id\":1,\"method\":\"exit\"}",
    "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"fly\"}",
    "{\"jsonrpc\":\"2.0\",\"id\":3,\"method\":\"runJob\",\"params\":{\"jobTemplate\":7}}",
    "{\"jsonrpc\":\"2.0\",\"id\":4,\"method\":\"runJob\",\"params\":{\"jobTemplate\":{},\"submissionKey\":\"k\"}}",
    "{\"jsonrpc\":\"2.0\",\"id\":5,\"method\":\"wait\",\"params\":{\"jobId\":\"\\u0000\"}}",
];

type Lines = Framed<TcpStream, LinesCodec>;

/// Runs one client with this kind of fault. Kinds that are not faults of clients only open a session.
#[expect(
    clippy::wildcard_enum_match_arm,
    reason = "only the faults of clients are handled here"
)]
pub async fn run(address: SocketAddrV4, kind: FaultKind, clock: Clock, duration: Duration) {
    let end = clock.now() + duration.as_micros() as u64;
    let Ok(stream) = TcpStream::connect(address).await else {
        return;
    };
    let mut lines = Framed::new(stream, LinesCodec::new());
    let session = format!("bad-{kind}-{}", address.port());
    let params = json!({ "session": session });
    let init = json!({ "jsonrpc": "2.0", "id": 0, "method": "init", "params": params });
    let _ = lines.send(init.to_string()).await;
    match kind {
        FaultKind::ClientFlood => flood(&mut lines, clock, end).await,
        FaultKind::ClientHalfLine => {
            let half = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"meth";
            let _ = lines.get_mut().write_all(half).await;
            sleep(duration).await;
        }
        FaultKind::ClientInvalidCalls => {
            send_invalid_calls(&mut lines).await;
            sleep(duration.min(INVALID_CALLS_LINGER)).await;
        }
        FaultKind::ClientGone => submit_and_disconnect(&mut lines).await,
        _ => {}
    }
}

/// Sends calls until `end` without reading any reply.
async fn flood(lines: &mut Lines, clock: Clock, end: u64) {
    let params = json!({ "jobId": "none" });
    let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "jobPs", "params": params });
    let call = call.to_string();
    while clock.now() < end {
        let batch = async {
            for _ in 0..FLOOD_BATCH {
                lines.feed(&call).await?;
            }
            SinkExt::<&String>::flush(lines).await
        };
        match timeout(WRITE_TIMEOUT, batch).await {
            Ok(Ok(())) => tokio::task::yield_now().await,
            Ok(Err(_)) => return,
            Err(_) => {}
        }
    }
}

/// Sends every invalid call, and a line that is longer than the limit.
async fn send_invalid_calls(lines: &mut Lines) {
    let too_long = "x".repeat(peppercove_protocol::rpc::MAX_LINE_BYTES + 1);
    for line in INVALID_CALLS.into_iter().chain([too_long.as_str()]) {
        let _ = timeout(WRITE_TIMEOUT, lines.send(line)).await;
    }
}

/// Submits a job and disconnects before its outcome arrives.
async fn submit_and_disconnect(lines: &mut Lines) {
    let attributes =
        json!({ "drmaa_remote_command": "sleep", "drmaa_native_specification": "life=1s" });
    let params = json!({ "jobTemplate": { "attributes": attributes }, "submissionKey": "gone" });
    let call = json!({ "jsonrpc": "2.0", "id": 1, "method": "runJob", "params": params });
    let _ = lines.send(call.to_string()).await;
}
