//! Batches as bytes: protobuf in a snappy block, with the headers that go along.

use crate::{Sample, SeriesKind};
use prost::Message;
use std::collections::BTreeMap;

/// Which message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// `prometheus.WriteRequest`.
    V1,
    /// `io.prometheus.write.v2.Request`.
    V2,
}

impl Version {
    /// `Content-Type`.
    pub fn content_type(self) -> &'static str {
        match self {
            Version::V1 => "application/x-protobuf",
            Version::V2 => "application/x-protobuf;proto=io.prometheus.write.v2.Request",
        }
    }

    /// `X-Prometheus-Remote-Write-Version`.
    pub fn header(self) -> &'static str {
        match self {
            Version::V1 => "0.1.0",
            Version::V2 => "2.0.0",
        }
    }
}

/// `Content-Encoding` of both.
pub const ENCODING: &str = "snappy";

/// The messages of remote write 1.0.
pub mod v1 {
    /// A batch.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct WriteRequest {
        /// Its series.
        #[prost(message, repeated, tag = "1")]
        pub timeseries: Vec<TimeSeries>,
    }
    /// One series.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct TimeSeries {
        /// Sorted by name.
        #[prost(message, repeated, tag = "1")]
        pub labels: Vec<Label>,
        /// In order of time.
        #[prost(message, repeated, tag = "2")]
        pub samples: Vec<Sample>,
    }
    /// One label.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Label {
        /// Its name.
        #[prost(string, tag = "1")]
        pub name: String,
        /// Its value.
        #[prost(string, tag = "2")]
        pub value: String,
    }
    /// One sample.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Sample {
        /// The value.
        #[prost(double, tag = "1")]
        pub value: f64,
        /// Milliseconds since 1970.
        #[prost(int64, tag = "2")]
        pub timestamp: i64,
    }
}

/// The messages of remote write 2.0.
pub mod v2 {
    /// A batch.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Request {
        /// Every text once; the first is empty.
        #[prost(string, repeated, tag = "4")]
        pub symbols: Vec<String>,
        /// Its series.
        #[prost(message, repeated, tag = "5")]
        pub timeseries: Vec<TimeSeries>,
    }
    /// One series.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct TimeSeries {
        /// Pairs of name and value, as places in the symbols.
        #[prost(uint32, repeated, tag = "1")]
        pub labels_refs: Vec<u32>,
        /// In order of time.
        #[prost(message, repeated, tag = "2")]
        pub samples: Vec<super::v1::Sample>,
        /// What the series is.
        #[prost(message, optional, tag = "5")]
        pub metadata: Option<Metadata>,
        /// When it began, in milliseconds since 1970; 0 where that is not known.
        #[prost(int64, tag = "6")]
        pub created_timestamp: i64,
    }
    /// What a series is.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Metadata {
        /// 1 counter, 2 gauge, 3 histogram.
        #[prost(int32, tag = "1")]
        pub r#type: i32,
        /// Place of its help in the symbols.
        #[prost(uint32, tag = "3")]
        pub help_ref: u32,
        /// Place of its unit in the symbols.
        #[prost(uint32, tag = "4")]
        pub unit_ref: u32,
    }
}

/// Samples of one series belong together, in order of time, each time once: what receivers refuse otherwise.
fn by_series(samples: &[Sample]) -> BTreeMap<&[(String, String)], Vec<&Sample>> {
    let mut series: BTreeMap<&[(String, String)], Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        series.entry(&sample.labels).or_default().push(sample);
    }
    for samples in series.values_mut() {
        samples.sort_by_key(|s| s.timestamp_ms);
        samples.dedup_by_key(|s| s.timestamp_ms);
    }
    series
}

/// A batch as it is sent, compressed.
pub fn encode(version: Version, samples: &[Sample]) -> Vec<u8> {
    let bytes = match version {
        Version::V1 => first(samples).encode_to_vec(),
        Version::V2 => second(samples).encode_to_vec(),
    };
    // A block of this encoder fails only beyond 4 GiB, which no batch reaches.
    snap::raw::Encoder::new()
        .compress_vec(&bytes)
        .unwrap_or_default()
}

fn first(samples: &[Sample]) -> v1::WriteRequest {
    let label = |(name, value): &(String, String)| v1::Label {
        name: name.clone(),
        value: value.clone(),
    };
    let series = by_series(samples)
        .into_iter()
        .map(|(labels, samples)| v1::TimeSeries {
            labels: labels.iter().map(label).collect(),
            samples: samples
                .iter()
                .map(|s| v1::Sample {
                    value: s.value,
                    timestamp: s.timestamp_ms,
                })
                .collect(),
        });
    v1::WriteRequest {
        timeseries: series.collect(),
    }
}

fn second(samples: &[Sample]) -> v2::Request {
    let mut symbols = vec![String::new()];
    let mut places: BTreeMap<String, u32> = BTreeMap::from([(String::new(), 0)]);
    let mut place = |text: &str| match places.get(text) {
        Some(place) => *place,
        None => {
            let place = symbols.len() as u32;
            places.insert(text.to_owned(), place);
            symbols.push(text.to_owned());
            place
        }
    };
    let mut timeseries = Vec::new();
    for (labels, samples) in by_series(samples) {
        let labels_refs = labels
            .iter()
            .flat_map(|(n, v)| [place(n), place(v)])
            .collect();
        let kind = samples.first().map(|s| s.kind);
        let r#type = match kind {
            Some(SeriesKind::Counter) => 1,
            Some(SeriesKind::Gauge) => 2,
            // The parts of a classic histogram are counters of their own to a receiver.
            Some(SeriesKind::Histogram) => 3,
            None => 0,
        };
        timeseries.push(v2::TimeSeries {
            labels_refs,
            samples: samples
                .iter()
                .map(|s| v1::Sample {
                    value: s.value,
                    timestamp: s.timestamp_ms,
                })
                .collect(),
            metadata: Some(v2::Metadata {
                r#type,
                help_ref: 0,
                unit_ref: 0,
            }),
            created_timestamp: samples.first().map_or(0, |s| s.created),
        });
    }
    v2::Request {
        symbols,
        timeseries,
    }
}
