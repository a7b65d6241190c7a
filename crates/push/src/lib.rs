//! Prometheus remote write.
