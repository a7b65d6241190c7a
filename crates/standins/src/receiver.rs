//! A fake receiver of Prometheus remote write, 1.0 and 2.0: as strict as a real one, with fault injection.

use peppercove_push::encode::{v1, v2};
use prost::Message;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Active faults of the receiver.
#[derive(Clone, Debug, Default)]
pub struct ReceiverFaults {
    /// Delay before each response.
    pub response_time: Duration,
    /// Closes every new connection.
    pub down: bool,
    /// Responds to every request with this status and `Retry-After` (in seconds), and stores nothing.
    pub forced_response: Option<(u16, Option<u64>)>,
    /// Supports only this major version of the protocol: 1 or 2.
    pub supported_version: Option<u8>,
    /// Rejects every request that contains a series with this name.
    pub rejected_series: Option<String>,
}

/// Labels of a series as pairs of name and value, in the order in which they were sent.
type Labels = Vec<(String, String)>;

/// Samples of a series as pairs of time (in milliseconds) and value.
type Samples = Vec<(i64, f64)>;

/// Stored samples by the labels of their series.
pub type Series = BTreeMap<Labels, Samples>;

#[derive(Default)]
struct State {
    faults: ReceiverFaults,
    series: Series,
    requests: BTreeMap<u16, u64>,
    protocol_violations: Vec<String>,
}

/// Handle to a fake receiver on loopback.
#[derive(Clone)]
pub struct Receiver {
    state: Rc<RefCell<State>>,
    address: SocketAddr,
}

impl Receiver {
    /// Starts a receiver. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start() -> io::Result<Receiver> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(RefCell::new(State::default()));
        let shared = state.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !shared.borrow().faults.down {
                    spawn_local(serve(shared.clone(), stream));
                }
            }
        });
        Ok(Receiver { state, address })
    }

    /// Address that the receiver listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the active faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut ReceiverFaults)) {
        change(&mut self.state.borrow_mut().faults);
    }

    /// All stored samples.
    pub fn series(&self) -> Series {
        self.state.borrow().series.clone()
    }

    /// Number of stored samples of all series with this name.
    pub fn samples(&self, name: &str) -> usize {
        let named =
            |labels: &[(String, String)]| labels.iter().any(|(n, v)| n == "__name__" && v == name);
        self.state
            .borrow()
            .series
            .iter()
            .filter(|(l, _)| named(l))
            .map(|(_, s)| s.len())
            .sum()
    }

    /// Number of all stored samples.
    pub fn accepted_samples(&self) -> usize {
        self.state.borrow().series.values().map(Vec::len).sum()
    }

    /// Number of requests by the status of their response.
    pub fn requests(&self) -> BTreeMap<u16, u64> {
        self.state.borrow().requests.clone()
    }

    /// Descriptions of all requests that violated the protocol.
    pub fn protocol_violations(&self) -> Vec<String> {
        self.state.borrow().protocol_violations.clone()
    }
}

/// Protocol version of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Version {
    V1,
    V2,
}

impl Version {
    fn of_content_type(content_type: &str) -> Version {
        if content_type.contains("io.prometheus.write.v2.Request") {
            Version::V2
        } else {
            Version::V1
        }
    }

    fn major(self) -> u8 {
        match self {
            Version::V1 => 1,
            Version::V2 => 2,
        }
    }

    /// Value of the version header of requests.
    fn header(self) -> &'static str {
        match self {
            Version::V1 => "0.1.0",
            Version::V2 => "2.0.0",
        }
    }

    /// Status of the response to a stored request.
    fn success_status(self) -> u16 {
        match self {
            Version::V1 => 200,
            Version::V2 => 204,
        }
    }
}

/// Parsed headers of a request.
struct Head {
    /// Length of the request line and the headers, in bytes.
    length: usize,
    /// Value of `Content-Length`, in bytes; `None` if it is missing or not a number.
    body_length: Option<usize>,
    version: Version,
    /// Whether the version header and the content encoding match the content type.
    is_consistent: bool,
}

impl Head {
    /// Parses the request line and the headers. Returns `None` if they are not complete yet.
    fn parse(bytes: &[u8]) -> Option<Head> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let Ok(httparse::Status::Complete(length)) = request.parse(bytes) else {
            return None;
        };
        let header = |name: &str| {
            let found = request
                .headers
                .iter()
                .find(|header| header.name.eq_ignore_ascii_case(name));
            found
                .and_then(|header| std::str::from_utf8(header.value).ok())
                .unwrap_or_default()
        };
        let version = Version::of_content_type(header("content-type"));
        let is_consistent = header("x-prometheus-remote-write-version") == version.header()
            && header("content-encoding") == "snappy";
        Some(Head {
            length,
            body_length: header("content-length").parse().ok(),
            version,
            is_consistent,
        })
    }
}

/// Serves one request; `None` if the connection ended before its response.
async fn serve(state: Rc<RefCell<State>>, mut stream: TcpStream) -> Option<()> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(head) = Head::parse(&bytes) {
            break head;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    if !head.is_consistent {
        let violation =
            "the version header or the content encoding does not match the content type".into();
        state.borrow_mut().protocol_violations.push(violation);
    }
    let end = head.length + head.body_length?;
    while bytes.len() < end {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    let faults = state.borrow().faults.clone();
    tokio::time::sleep(faults.response_time).await;
    let is_unsupported = |only: u8| only != head.version.major();
    let (status, retry_after) = match faults.forced_response {
        Some((status, retry_after)) => (status, retry_after),
        None if faults.supported_version.is_some_and(is_unsupported) => (415, None),
        None => {
            let body = &bytes[head.length..end];
            (store(&mut state.borrow_mut(), body, head.version), None)
        }
    };
    *state.borrow_mut().requests.entry(status).or_insert(0) += 1;
    let retry_after = retry_after.map(|seconds| format!("Retry-After: {seconds}\r\n"));
    let retry_after = retry_after.unwrap_or_default();
    let response = format!(
        "HTTP/1.1 {status} Answer\r\n{retry_after}Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(response.as_bytes()).await.ok()
}

/// Validates a batch and stores all of it or nothing. Returns the status of the response.
fn store(state: &mut State, body: &[u8], version: Version) -> u16 {
    let decompressed = snap::raw::Decoder::new().decompress_vec(body).ok();
    let batch = decompressed.and_then(|bytes| decode(&bytes, version));
    let Some(batch) = batch else {
        state
            .protocol_violations
            .push("the body is not a valid write request".into());
        return 400;
    };
    let mut violations = Vec::new();
    for (labels, samples) in &batch {
        let name = labels
            .iter()
            .find(|(label, _)| label == "__name__")
            .map(|(_, value)| value.as_str())
            .unwrap_or_default();
        if state.faults.rejected_series.as_deref() == Some(name) {
            return 400;
        }
        violations.extend(check_labels(name, labels));
        let stored = state.series.get(labels).map_or(&[][..], Vec::as_slice);
        violations.extend(check_order(name, stored, samples));
    }
    if !violations.is_empty() {
        state.protocol_violations.extend(violations);
        return 400;
    }
    for (labels, samples) in batch {
        let series = state.series.entry(labels).or_default();
        let last = last_time(series);
        series.extend(samples.into_iter().filter(|(at, _)| *at > last));
    }
    version.success_status()
}

/// Checks that a series has a name, and that its labels are sorted, unique and not empty.
fn check_labels(name: &str, labels: &Labels) -> Option<String> {
    let is_sorted = labels.is_sorted_by(|a, b| a.0 < b.0);
    let has_empty = labels.iter().any(|(_, value)| value.is_empty());
    (name.is_empty() || !is_sorted || has_empty).then(|| {
        format!("labels of {name} are unsorted, repeated, empty or without a name: {labels:?}")
    })
}

/// Checks that the samples of a series are in increasing order of time.
fn check_order(name: &str, stored: &[(i64, f64)], samples: &[(i64, f64)]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last = last_time(stored);
    for (at, value) in samples {
        // A sender repeats identical samples when the response was lost. Real receivers accept these.
        let is_stored = |(stored_at, stored): &(i64, f64)| {
            stored_at == at && stored.to_bits() == value.to_bits()
        };
        if stored.iter().rev().any(is_stored) {
            continue;
        }
        if *at <= last {
            violations.push(format!(
                "sample of {name} at {at} ms is not later than the previous one at {last} ms"
            ));
        }
        last = *at;
    }
    violations
}

fn last_time(samples: &[(i64, f64)]) -> i64 {
    samples.last().map_or(i64::MIN, |(at, _)| *at)
}

/// Series of one request, each with its samples.
type Batch = Vec<(Labels, Samples)>;

fn decode(bytes: &[u8], version: Version) -> Option<Batch> {
    match version {
        Version::V1 => decode_v1(bytes),
        Version::V2 => decode_v2(bytes),
    }
}

fn decode_v1(bytes: &[u8]) -> Option<Batch> {
    let request = v1::WriteRequest::decode(bytes).ok()?;
    let batch = request.timeseries.iter().map(|series| {
        let labels = series.labels.iter();
        let labels = labels.map(|label| (label.name.clone(), label.value.clone()));
        (labels.collect(), samples_of(&series.samples))
    });
    Some(batch.collect())
}

fn decode_v2(bytes: &[u8]) -> Option<Batch> {
    let request = v2::Request::decode(bytes).ok()?;
    let symbol = |index: u32| request.symbols.get(index as usize).cloned();
    let labels = |references: &[u32]| -> Option<Labels> {
        let pairs = references.chunks(2);
        pairs
            .map(|pair| Some((symbol(pair[0])?, symbol(*pair.get(1)?)?)))
            .collect()
    };
    let batch = request
        .timeseries
        .iter()
        .map(|series| Some((labels(&series.labels_refs)?, samples_of(&series.samples))));
    batch.collect()
}

fn samples_of(samples: &[v1::Sample]) -> Samples {
    let samples = samples.iter();
    samples
        .map(|sample| (sample.timestamp, sample.value))
        .collect()
}
