//! Prometheus remote write, versions 1.0 and 2.0 (as specified by the Prometheus project): the encoding of batches
//! ([`encode`]), the write-ahead log of samples ([`wal`]), the decisions on sending, retrying and dropping
//! ([`client`]), and the settings that limit the processor time of pushing ([`budget`]).
//!
//! May use: metric points. Must not depend on: sockets, the core, the meaning of a metric.

pub mod budget;
pub mod client;
pub mod encode;
mod messages;
mod sample;
pub mod wal;

pub use sample::{STALE_NAN_BITS, Sample, SeriesKind, stale_marker, to_samples};
