//! Samples, as they are stored in the write-ahead log and sent.

use peppercove_metrics::{MetricKind, MetricPoint};
use serde::{Deserialize, Serialize};

/// A sample of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Names and values of the labels, including `__name__`; sorted by name, names are unique.
    pub labels: Vec<(String, String)>,
    /// The value; in a stale marker, the NaN with the bits [`STALE_NAN_BITS`].
    pub value: f64,
    /// Time of the sample, in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub timestamp_ms: i64,
    /// Kind of the series, which remote write 2.0 transmits.
    pub kind: SeriesKind,
    /// Start time of the series, in milliseconds since the Unix epoch; 0 for a gauge.
    pub created: i64,
}

/// Kind of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeriesKind {
    /// Increases monotonically from 0 at [`Sample::created`].
    Counter,
    /// Increases and decreases.
    Gauge,
    /// One of the series of a histogram.
    Histogram,
}

impl From<MetricKind> for SeriesKind {
    fn from(kind: MetricKind) -> SeriesKind {
        match kind {
            MetricKind::Counter => SeriesKind::Counter,
            MetricKind::Gauge => SeriesKind::Gauge,
            MetricKind::Histogram => SeriesKind::Histogram,
        }
    }
}

/// Bits of the NaN that marks the end of a series (remote write 1.0, "stale markers").
pub const STALE_NAN_BITS: u64 = 0x7ff0_0000_0000_0002;

/// Returns the stale marker that ends the series of `sample` at `timestamp_ms`, in milliseconds since the Unix epoch.
pub fn stale_marker(sample: &Sample, timestamp_ms: i64) -> Sample {
    Sample {
        value: f64::from_bits(STALE_NAN_BITS),
        timestamp_ms,
        ..sample.clone()
    }
}

/// Converts gathered metric points to samples with the time `timestamp_ms`, of series that started at `created`. Both
/// are in milliseconds since the Unix epoch.
///
/// The external labels identify this instance. They never override a label of the metric itself.
pub fn to_samples(
    points: &[MetricPoint],
    external: &[(String, String)],
    timestamp_ms: i64,
    created: i64,
) -> Vec<Sample> {
    let sample = |point: &MetricPoint| {
        let kind = SeriesKind::from(point.family.kind);
        Sample {
            labels: labels_of(point, external),
            value: point.value,
            timestamp_ms,
            kind,
            created: match kind {
                SeriesKind::Counter | SeriesKind::Histogram => created,
                SeriesKind::Gauge => 0,
            },
        }
    };
    points.iter().map(sample).collect()
}

fn labels_of(point: &MetricPoint, external: &[(String, String)]) -> Vec<(String, String)> {
    let mut labels = point.labels.clone();
    labels.push(("__name__".into(), point.name.clone()));
    let is_own = |name: &str| point.labels.iter().any(|(own, _)| own == name);
    labels.extend(external.iter().filter(|(name, _)| !is_own(name)).cloned());
    labels.sort();
    labels
}
