//! Prometheus remote write, 1.0 and 2.0 (the specifications of that name by the Prometheus project): what a batch looks
//! like on the wire ([`encode`]), what waits on disk ([`wal`]), and what is sent, tried again and dropped
//! ([`client`], decisions only).
//!
//! May use: the figures' points. Must not know: sockets, the core, what a figure means.

pub mod budget;
pub mod client;
pub mod encode;
pub mod wal;

use serde::{Deserialize, Serialize};

/// One sample of one series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Labels, sorted by name and unique, `__name__` among them.
    pub labels: Vec<(String, String)>,
    /// The value; a stale marker is [`STALE`].
    pub value: f64,
    /// Milliseconds since 1970.
    #[serde(rename = "at")]
    pub timestamp_ms: i64,
    /// What the series is, for 2.0.
    pub kind: SeriesKind,
    /// When the series began, in milliseconds since 1970; 0 where it has no beginning.
    pub created: i64,
}

/// What a series is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeriesKind {
    /// Grows from 0 at `created`.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Part of a histogram.
    Histogram,
}

/// The bits of the value that says that a series has ended (remote write 1.0, "stale markers").
pub const STALE: u64 = 0x7ff0_0000_0000_0002;

/// A sample that ends a series.
pub fn stale(sample: &Sample, at: i64) -> Sample {
    Sample {
        value: f64::from_bits(STALE),
        timestamp_ms: at,
        ..sample.clone()
    }
}

/// Makes samples of gathered figures, all at one time, with labels that tell this instance apart from others.
///
/// External labels never overrule those of a figure: what the program says of itself stays readable.
pub fn to_samples(
    points: &[peppercove_metrics::MetricPoint],
    external: &[(String, String)],
    at: i64,
    created: i64,
) -> Vec<Sample> {
    let sample = |p: &peppercove_metrics::MetricPoint| {
        let mut labels = p.labels.clone();
        labels.push(("__name__".into(), p.name.clone()));
        let more = external
            .iter()
            .filter(|(n, _)| !p.labels.iter().any(|(l, _)| l == n));
        labels.extend(more.cloned());
        labels.sort();
        let kind = match p.family.kind {
            peppercove_metrics::Kind::Counter => SeriesKind::Counter,
            peppercove_metrics::Kind::Gauge => SeriesKind::Gauge,
            peppercove_metrics::Kind::Histogram => SeriesKind::Histogram,
        };
        let created = if kind == SeriesKind::Gauge {
            0
        } else {
            created
        };
        Sample {
            labels,
            value: p.value,
            timestamp_ms: at,
            kind,
            created,
        }
    };
    points.iter().map(sample).collect()
}
