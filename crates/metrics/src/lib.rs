//! The metrics of a controller: their definitions ([`FAMILIES`]) and the collection of their values ([`Metrics`]).
//!
//! Names follow the Prometheus conventions: base units (`_seconds`, `_bytes`), and `_total` for counters. Label values
//! that clients choose are limited in number and length; values over the limit are counted as [`OTHER_LABEL_VALUE`].
//! The page `docs/operators/metrics.md` is generated from the definitions, and a test compares it with them.

mod families;
mod label_values;
mod metrics;
mod point;
mod reference_page;

pub use families::*;
pub use label_values::{MAX_LABEL_VALUE_BYTES, MAX_LABEL_VALUES, OTHER_LABEL_VALUE};
pub use metrics::{Metrics, UnknownMetric};
pub use point::MetricPoint;
pub use reference_page::reference_page;
