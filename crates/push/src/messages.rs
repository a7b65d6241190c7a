//! The protobuf messages of remote write, as its specifications define them.

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
        /// Every string once; the first is empty.
        #[prost(string, repeated, tag = "4")]
        pub symbols: Vec<String>,
        /// Its series.
        #[prost(message, repeated, tag = "5")]
        pub timeseries: Vec<TimeSeries>,
    }
    /// One series.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct TimeSeries {
        /// Pairs of name and value, as indices into the symbols.
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
        /// Index of its help in the symbols.
        #[prost(uint32, tag = "3")]
        pub help_ref: u32,
        /// Index of its unit in the symbols.
        #[prost(uint32, tag = "4")]
        pub unit_ref: u32,
    }
}
