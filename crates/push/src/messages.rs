//! The protobuf messages of remote write, as defined by its specifications.

/// The messages of remote write 1.0.
pub mod v1 {
    /// A write request: a batch of series.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct WriteRequest {
        /// The series of the batch.
        #[prost(message, repeated, tag = "1")]
        pub timeseries: Vec<TimeSeries>,
    }
    /// A series with its samples.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct TimeSeries {
        /// The labels, sorted by name.
        #[prost(message, repeated, tag = "1")]
        pub labels: Vec<Label>,
        /// The samples, sorted by timestamp.
        #[prost(message, repeated, tag = "2")]
        pub samples: Vec<Sample>,
    }
    /// A label.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Label {
        /// The name of the label.
        #[prost(string, tag = "1")]
        pub name: String,
        /// The value of the label.
        #[prost(string, tag = "2")]
        pub value: String,
    }
    /// A sample.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Sample {
        /// The value of the sample.
        #[prost(double, tag = "1")]
        pub value: f64,
        /// Time of the sample, in milliseconds since the Unix epoch.
        #[prost(int64, tag = "2")]
        pub timestamp: i64,
    }
}

/// The messages of remote write 2.0.
pub mod v2 {
    /// A write request: a batch of series.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Request {
        /// The distinct strings of the request; the first is empty.
        #[prost(string, repeated, tag = "4")]
        pub symbols: Vec<String>,
        /// The series of the batch.
        #[prost(message, repeated, tag = "5")]
        pub timeseries: Vec<TimeSeries>,
    }
    /// A series with its samples.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct TimeSeries {
        /// The labels: pairs of name and value, as indices into `symbols`.
        #[prost(uint32, repeated, tag = "1")]
        pub labels_refs: Vec<u32>,
        /// The samples, sorted by timestamp.
        #[prost(message, repeated, tag = "2")]
        pub samples: Vec<super::v1::Sample>,
        /// Metadata of the series.
        #[prost(message, optional, tag = "5")]
        pub metadata: Option<Metadata>,
        /// Start time of the series, in milliseconds since the Unix epoch; 0 if unknown.
        #[prost(int64, tag = "6")]
        pub created_timestamp: i64,
    }
    /// Metadata of a series.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Metadata {
        /// Metric type: 1 counter, 2 gauge, 3 histogram.
        #[prost(int32, tag = "1")]
        pub r#type: i32,
        /// Index of the help text in `symbols`.
        #[prost(uint32, tag = "3")]
        pub help_ref: u32,
        /// Index of the unit in `symbols`.
        #[prost(uint32, tag = "4")]
        pub unit_ref: u32,
    }
}
