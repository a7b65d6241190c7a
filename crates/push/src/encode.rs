//! Encodes batches as snappy-compressed protobuf, and defines the HTTP headers that describe them.

pub use crate::messages::{v1, v2};

use crate::{Sample, SeriesKind};
use prost::Message;
use std::collections::BTreeMap;

/// Version of the remote write message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Remote write 1.0: `prometheus.WriteRequest`.
    V1,
    /// Remote write 2.0: `io.prometheus.write.v2.Request`.
    V2,
}

impl Version {
    /// Returns the value of the `Content-Type` header.
    pub fn content_type(self) -> &'static str {
        match self {
            Version::V1 => "application/x-protobuf",
            Version::V2 => "application/x-protobuf;proto=io.prometheus.write.v2.Request",
        }
    }

    /// Returns the other version.
    pub(crate) fn other(self) -> Version {
        match self {
            Version::V1 => Version::V2,
            Version::V2 => Version::V1,
        }
    }

    /// Returns the value of the `X-Prometheus-Remote-Write-Version` header.
    pub fn version_header(self) -> &'static str {
        match self {
            Version::V1 => "0.1.0",
            Version::V2 => "2.0.0",
        }
    }
}

/// Value of the `Content-Encoding` header in both versions.
pub const CONTENT_ENCODING: &str = "snappy";

/// Encodes a batch and compresses it.
pub fn encode(version: Version, samples: &[Sample]) -> Vec<u8> {
    let bytes = match version {
        Version::V1 => write_request_v1(samples).encode_to_vec(),
        Version::V2 => request_v2(samples).encode_to_vec(),
    };
    // Compression fails only for inputs above 4 GiB, which no batch reaches.
    snap::raw::Encoder::new()
        .compress_vec(&bytes)
        .unwrap_or_default()
}

/// Groups samples by their labels, sorted by timestamp and without duplicate timestamps; receivers reject any other
/// order and duplicates.
fn group_by_series(samples: &[Sample]) -> BTreeMap<&[(String, String)], Vec<&Sample>> {
    let mut series: BTreeMap<&[(String, String)], Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        series.entry(&sample.labels).or_default().push(sample);
    }
    for samples in series.values_mut() {
        samples.sort_by_key(|sample| sample.timestamp_ms);
        samples.dedup_by_key(|sample| sample.timestamp_ms);
    }
    series
}

fn wire_samples(samples: &[&Sample]) -> Vec<v1::Sample> {
    let wire_sample = |sample: &&Sample| v1::Sample {
        value: sample.value,
        timestamp: sample.timestamp_ms,
    };
    samples.iter().map(wire_sample).collect()
}

fn write_request_v1(samples: &[Sample]) -> v1::WriteRequest {
    let label = |(name, value): &(String, String)| v1::Label {
        name: name.clone(),
        value: value.clone(),
    };
    let series = group_by_series(samples)
        .into_iter()
        .map(|(labels, samples)| v1::TimeSeries {
            labels: labels.iter().map(label).collect(),
            samples: wire_samples(&samples),
        });
    v1::WriteRequest {
        timeseries: series.collect(),
    }
}

fn request_v2(samples: &[Sample]) -> v2::Request {
    let mut symbols = SymbolTable::default();
    let mut timeseries = Vec::new();
    for (labels, samples) in group_by_series(samples) {
        let labels_refs = labels
            .iter()
            .flat_map(|(name, value)| [symbols.index_of(name), symbols.index_of(value)])
            .collect();
        let first = samples.first();
        timeseries.push(v2::TimeSeries {
            labels_refs,
            samples: wire_samples(&samples),
            metadata: Some(v2::Metadata {
                r#type: first.map_or(0, |sample| metric_type_v2(sample.kind)),
                help_ref: 0,
                unit_ref: 0,
            }),
            created_timestamp: first.map_or(0, |sample| sample.created),
        });
    }
    v2::Request {
        symbols: symbols.symbols,
        timeseries,
    }
}

/// Returns the `Metadata.MetricType` of remote write 2.0.
fn metric_type_v2(kind: SeriesKind) -> i32 {
    match kind {
        SeriesKind::Counter => 1,
        SeriesKind::Gauge => 2,
        // Set on each series of a classic histogram, although a receiver treats these series as separate counters.
        SeriesKind::Histogram => 3,
    }
}

/// The distinct strings of a request. The first one is empty, as the specification requires.
struct SymbolTable {
    symbols: Vec<String>,
    indices: BTreeMap<String, u32>,
}

impl Default for SymbolTable {
    fn default() -> SymbolTable {
        SymbolTable {
            symbols: vec![String::new()],
            indices: BTreeMap::from([(String::new(), 0)]),
        }
    }
}

impl SymbolTable {
    /// Returns the index of a string, adding the string if it is not in the table.
    fn index_of(&mut self, text: &str) -> u32 {
        if let Some(index) = self.indices.get(text) {
            return *index;
        }
        let index = self.symbols.len() as u32;
        self.indices.insert(text.to_owned(), index);
        self.symbols.push(text.to_owned());
        index
    }
}
