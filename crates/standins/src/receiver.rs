//! A receiver of Prometheus remote write, 1.0 and 2.0: as strict as a real one, and as troubled as told.

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

/// What is wrong with the receiver now.
#[derive(Clone, Debug, Default)]
pub struct Trouble {
    /// It takes so long for each answer.
    pub slow: Duration,
    /// It closes every connection.
    pub down: bool,
    /// It answers this status, with `Retry-After` in seconds, and takes nothing.
    pub answers: Option<(u16, Option<u64>)>,
    /// It speaks only this version: 1 or 2.
    pub only: Option<u8>,
    /// It refuses every request with a series of this name.
    pub refuses: Option<String>,
}

/// Labels of a series and its samples: time and value.
pub type Series = BTreeMap<Vec<(String, String)>, Vec<(i64, f64)>>;

#[derive(Default)]
struct State {
    trouble: Trouble,
    series: Series,
    requests: BTreeMap<u16, u64>,
    complaints: Vec<String>,
}

/// A stand-in receiver on loopback.
#[derive(Clone)]
pub struct Receiver {
    state: Rc<RefCell<State>>,
    address: SocketAddr,
}

impl Receiver {
    /// Starts it, within a `LocalSet`.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start() -> io::Result<Receiver> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(RefCell::new(State::default()));
        let kept = state.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !kept.borrow().trouble.down {
                    spawn_local(serve(kept.clone(), stream));
                }
            }
        });
        Ok(Receiver { state, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what is wrong with it.
    pub fn change_faults(&self, change: impl FnOnce(&mut Trouble)) {
        change(&mut self.state.borrow_mut().trouble);
    }

    /// All that it has taken.
    pub fn series(&self) -> Series {
        self.state.borrow().series.clone()
    }

    /// The samples of a name, over all series of it.
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

    /// Samples taken.
    pub fn accepted_samples(&self) -> usize {
        self.state.borrow().series.values().map(Vec::len).sum()
    }

    /// Requests by the status that they were answered with.
    pub fn requests(&self) -> BTreeMap<u16, u64> {
        self.state.borrow().requests.clone()
    }

    /// What it found wrong with what it was sent.
    pub fn protocol_violations(&self) -> Vec<String> {
        self.state.borrow().complaints.clone()
    }
}

async fn serve(state: Rc<RefCell<State>>, mut stream: TcpStream) -> Option<()> {
    let mut bytes = Vec::new();
    let (head, length, second) = loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(head)) = request.parse(&bytes) {
            let header = |name: &str| {
                let found = request
                    .headers
                    .iter()
                    .find(|h| h.name.eq_ignore_ascii_case(name));
                found
                    .and_then(|h| std::str::from_utf8(h.value).ok())
                    .unwrap_or_default()
                    .to_owned()
            };
            let second = header("content-type").contains("io.prometheus.write.v2.Request");
            let versions = if second { "2.0.0" } else { "0.1.0" };
            if header("x-prometheus-remote-write-version") != versions
                || header("content-encoding") != "snappy"
            {
                state
                    .borrow_mut()
                    .complaints
                    .push("headers and message do not agree".into());
            }
            break (
                head,
                header("content-length").parse::<usize>().ok()?,
                second,
            );
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    while bytes.len() < head + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    let trouble = state.borrow().trouble.clone();
    tokio::time::sleep(trouble.slow).await;
    let (status, after) = match trouble.answers {
        Some((status, after)) => (status, after),
        None if trouble.only.is_some_and(|only| (only == 2) != second) => (415, None),
        None => (
            take(&mut state.borrow_mut(), &bytes[head..head + length], second),
            None,
        ),
    };
    *state.borrow_mut().requests.entry(status).or_insert(0) += 1;
    let after = after
        .map(|s| format!("Retry-After: {s}\r\n"))
        .unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 {status} Answer\r\n{after}Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Checks a batch as a whole, then takes it as a whole.
fn take(state: &mut State, body: &[u8], second: bool) -> u16 {
    let decoded = snap::raw::Decoder::new()
        .decompress_vec(body)
        .ok()
        .and_then(|b| decode(&b, second));
    let Some(batch) = decoded else {
        state.complaints.push("the body is no batch".into());
        return 400;
    };
    let mut wrong = Vec::new();
    for (labels, samples) in &batch {
        let name = labels
            .iter()
            .find(|(n, _)| n == "__name__")
            .map(|(_, v)| v.as_str())
            .unwrap_or_default();
        if state.trouble.refuses.as_deref() == Some(name) {
            return 400;
        }
        if name.is_empty()
            || !labels.is_sorted_by(|a, b| a.0 < b.0)
            || labels.iter().any(|(_, v)| v.is_empty())
        {
            wrong.push(format!("labels of {name}: {labels:?}"));
        }
        let stored = state.series.get(labels).map_or(&[][..], Vec::as_slice);
        let mut last = stored.last().map_or(i64::MIN, |(at, _)| *at);
        for (at, value) in samples {
            // The very same sample again is what a sender makes whose answer was lost: a real receiver bears it.
            if stored
                .iter()
                .rev()
                .any(|(t, v)| t == at && v.to_bits() == value.to_bits())
            {
                continue;
            }
            if *at <= last {
                wrong.push(format!("{name} at {at} comes after {last}"));
            }
            last = *at;
        }
    }
    if !wrong.is_empty() {
        state.complaints.extend(wrong);
        return 400;
    }
    for (labels, samples) in batch {
        let series = state.series.entry(labels).or_default();
        let last = series.last().map_or(i64::MIN, |(at, _)| *at);
        series.extend(samples.into_iter().filter(|(at, _)| *at > last));
    }
    if second { 204 } else { 200 }
}

type Batch = Vec<(Vec<(String, String)>, Vec<(i64, f64)>)>;

fn decode(bytes: &[u8], second: bool) -> Option<Batch> {
    let samples = |s: &[v1::Sample]| s.iter().map(|s| (s.timestamp, s.value)).collect();
    if !second {
        let request = v1::WriteRequest::decode(bytes).ok()?;
        let labels = |l: &[v1::Label]| {
            l.iter()
                .map(|l| (l.name.clone(), l.value.clone()))
                .collect()
        };
        return Some(
            request
                .timeseries
                .iter()
                .map(|t| (labels(&t.labels), samples(&t.samples)))
                .collect(),
        );
    }
    let request = v2::Request::decode(bytes).ok()?;
    let text = |place: u32| request.symbols.get(place as usize).cloned();
    let labels = |refs: &[u32]| -> Option<Vec<(String, String)>> {
        refs.chunks(2)
            .map(|p| Some((text(p[0])?, text(*p.get(1)?)?)))
            .collect()
    };
    request
        .timeseries
        .iter()
        .map(|t| Some((labels(&t.labels_refs)?, samples(&t.samples))))
        .collect()
}
