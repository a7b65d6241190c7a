//! The section `push`: Prometheus remote write of the metrics.

use super::attribute::{COUNT, POSITIVE, SHARE, attribute};
use crate::schema::{Document, Element, Occurrence, Problem, ValueKind};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "push",
    occurrence: Occurrence::Optional,
    description: "Where the controller's figures are pushed by Prometheus remote write; nowhere without a receiver.",
    attributes: &[
        attribute(
            "receiver",
            ValueKind::Address,
            Some(""),
            "Where the receiver listens, over HTTP without TLS.",
        ),
        attribute(
            "path",
            ValueKind::Text,
            Some("/api/v1/write"),
            "Path of its endpoint.",
        ),
        attribute(
            "version",
            ValueKind::Choice(&["1.0", "2.0"]),
            Some("2.0"),
            "Version tried first; the other one after status 415.",
        ),
        attribute(
            "every",
            ValueKind::Duration,
            Some("15s"),
            "How often the figures are taken.",
        ),
        attribute(
            "timeout",
            ValueKind::Duration,
            Some("10s"),
            "A request that has no answer by then has failed.",
        ),
        attribute("batch", COUNT, Some("2000"), "Samples of one request."),
        attribute(
            "retry-least",
            ValueKind::Duration,
            Some("1s"),
            "First wait after a failure; waits are scattered.",
        ),
        attribute(
            "retry-most",
            ValueKind::Duration,
            Some("1m"),
            "Waits double up to this.",
        ),
        attribute(
            "per-second",
            POSITIVE,
            Some("2"),
            "Requests a second at most, a backlog's included.",
        ),
        attribute(
            "backlog",
            ValueKind::Text,
            Some(""),
            "Folder for what waits; required with a receiver, one for each controller.",
        ),
        attribute(
            "backlog-bytes",
            COUNT,
            Some("67108864"),
            "Bytes on disk; the oldest samples make room.",
        ),
        attribute(
            "backlog-age",
            ValueKind::Duration,
            Some("2h"),
            "Older samples are dropped.",
        ),
        attribute(
            "share",
            SHARE,
            Some("0.1"),
            "Of a second's processor time, for pushing, while placing is calm.",
        ),
        attribute(
            "pressed-share",
            ValueKind::Number(0.001, 1.0),
            Some("0.01"),
            "And while it is pressed.",
        ),
        attribute(
            "calm-below",
            ValueKind::Duration,
            Some("5ms"),
            "Placing is calm while the daemon's own loop is late by less than this.",
        ),
        attribute(
            "pressed-from",
            ValueKind::Duration,
            Some("50ms"),
            "And pressed from this on.",
        ),
    ],
    children: &[Element {
        name: "label",
        occurrence: Occurrence::ZeroOrMore,
        description: "A label of every series, beside `instance`, which is the controller's name.",
        attributes: &[
            attribute("name", ValueKind::Name, None, "Its name."),
            attribute("value", ValueKind::Text, None, "Its value."),
        ],
        children: &[],
    }],
};

/// Receiver, schedule and limits of remote write.
#[derive(Clone, Debug)]
pub struct RemoteWriteSettings {
    /// Address of the receiver, which is called over HTTP without TLS.
    pub receiver: SocketAddr,
    /// Path of the receiver's endpoint.
    pub path: String,
    /// Whether protocol version 2.0 is tried first, rather than 1.0.
    pub prefers_v2: bool,
    /// Interval at which metrics are collected.
    pub interval: Duration,
    /// Time after which an unanswered request has failed.
    pub timeout: Duration,
    /// Samples per request.
    pub batch_size: usize,
    /// First backoff after a failure.
    pub min_backoff: Duration,
    /// Maximum backoff.
    pub max_backoff: Duration,
    /// Maximum number of requests per second.
    pub max_requests_per_second: f64,
    /// Directory of the write-ahead log.
    pub wal_path: PathBuf,
    /// Maximum size of the write-ahead log on disk. The oldest samples are dropped to make room.
    pub wal_max_bytes: u64,
    /// Age above which samples are dropped.
    pub wal_max_age: Duration,
    /// Share of processor time that remote write may use while placement is not under pressure.
    pub cpu_share: f64,
    /// The same share while placement is under pressure.
    pub pressed_share: f64,
    /// Lag of the event loop below which placement is not under pressure.
    pub calm_below: Duration,
    /// Lag of the event loop from which placement is under pressure.
    pub pressed_from: Duration,
    /// Name and value of the labels added to every series, in addition to `instance`.
    pub labels: Vec<(String, String)>,
}

impl RemoteWriteSettings {
    /// Reads the section `push` of a validated document. Returns `None` if it has no receiver or no directory.
    pub(super) fn read(section: &Document, problems: &mut Vec<Problem>) -> Option<Self> {
        section.optional_string("receiver")?;
        let Some(wal_path) = section.optional_string("backlog") else {
            problems
                .push(section.problem("attribute 'backlog' is missing: a receiver requires it"));
            return None;
        };
        if section.duration("every").is_zero() || section.duration("retry-least").is_zero() {
            problems.push(section.problem("every and retry-least must be longer than zero"));
        }
        Some(RemoteWriteSettings {
            receiver: section.address("receiver"),
            path: section.string("path").into(),
            prefers_v2: section.string("version") == "2.0",
            interval: section.duration("every"),
            timeout: section.duration("timeout"),
            batch_size: usize::try_from(section.integer("batch")).unwrap_or(usize::MAX),
            min_backoff: section.duration("retry-least"),
            max_backoff: section.duration("retry-most"),
            max_requests_per_second: section.number("per-second"),
            wal_path: PathBuf::from(wal_path),
            wal_max_bytes: section.integer("backlog-bytes"),
            wal_max_age: section.duration("backlog-age"),
            cpu_share: section.number("share"),
            pressed_share: section.number("pressed-share"),
            calm_below: section.duration("calm-below"),
            pressed_from: section.duration("pressed-from"),
            labels: read_labels(section, problems),
        })
    }
}

fn read_labels(section: &Document, problems: &mut Vec<Problem>) -> Vec<(String, String)> {
    let mut labels: Vec<(String, String)> = Vec::new();
    for label in section.children("label") {
        let name = label.string("name");
        let is_used = name == "instance" || labels.iter().any(|(used, _)| used == name);
        if is_used || !is_label_name(name) {
            problems.push(label.problem(format!(
                "name=\"{name}\" is not a valid Prometheus label name, is reserved, or is used more than once"
            )));
        }
        labels.push((name.to_owned(), label.string("value").to_owned()));
    }
    labels
}

/// Returns whether the name is valid in Prometheus' data model and not reserved for internal use.
fn is_label_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '_';
    !name.starts_with(|c: char| c.is_ascii_digit())
        && !name.starts_with("__")
        && name.chars().all(is_allowed)
}
