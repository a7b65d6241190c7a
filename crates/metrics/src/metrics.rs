//! Registry of a controller's metrics.

use crate::label_values::LabelValues;
use crate::point::{MetricPoint, collect_points};
use crate::{FAMILIES, MetricKind, PLACEMENT_BUCKETS};
use prometheus::core::Collector;
use prometheus::{CounterVec, GaugeVec, HistogramOpts, HistogramVec, Opts, Registry};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// No family has this name, kind and number of labels, which is a bug in the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("metric {name} is not defined as a {kind:?} with {labels} labels")]
pub struct UnknownMetric {
    /// Name of the metric.
    pub name: String,
    /// Kind that the caller expected.
    pub kind: MetricKind,
    /// Number of labels that the caller gave.
    pub labels: usize,
}

/// The values of all metrics of a controller.
pub struct Metrics {
    registry: Registry,
    counters: BTreeMap<&'static str, CounterVec>,
    gauges: BTreeMap<&'static str, GaugeVec>,
    histograms: BTreeMap<&'static str, HistogramVec>,
    label_values: RefCell<LabelValues>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers all families of [`FAMILIES`]. None has a series yet.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::new(),
            counters: BTreeMap::new(),
            gauges: BTreeMap::new(),
            histograms: BTreeMap::new(),
            label_values: RefCell::default(),
        };
        let registry = &metrics.registry;
        for family in FAMILIES {
            let (name, labels) = (family.name, family.labels);
            let opts = Opts::new(name, family.help);
            match family.kind {
                MetricKind::Counter => {
                    let collector = CounterVec::new(opts, labels);
                    register(registry, collector, name, &mut metrics.counters);
                }
                MetricKind::Gauge => {
                    let collector = GaugeVec::new(opts, labels);
                    register(registry, collector, name, &mut metrics.gauges);
                }
                MetricKind::Histogram => {
                    let opts = HistogramOpts::from(opts).buckets(PLACEMENT_BUCKETS.to_vec());
                    let collector = HistogramVec::new(opts, labels);
                    register(registry, collector, name, &mut metrics.histograms);
                }
            }
        }
        metrics
    }

    /// Adds to a counter. Negative and non-finite increments count as 0, since a counter that decreases looks like a
    /// restart.
    ///
    /// # Errors
    /// [`UnknownMetric`] if the counter is not defined. Callers may count the error in
    /// [`INTERNAL_FAULTS`](crate::INTERNAL_FAULTS), which is always defined.
    pub fn add(
        &self,
        name: &'static str,
        labels: &[&str],
        increment: f64,
    ) -> Result<(), UnknownMetric> {
        let values = self.limit_labels(name, labels);
        let counter = self.counters.get(name);
        counter
            .and_then(|counter| counter.get_metric_with_label_values(&values).ok())
            .ok_or_else(|| unknown(name, MetricKind::Counter, labels))?
            .inc_by(if increment.is_finite() {
                increment.max(0.0)
            } else {
                0.0
            });
        Ok(())
    }

    /// Sets a gauge.
    ///
    /// # Errors
    /// [`UnknownMetric`] if the gauge is not defined.
    pub fn set(
        &self,
        name: &'static str,
        labels: &[&str],
        value: f64,
    ) -> Result<(), UnknownMetric> {
        let values = self.limit_labels(name, labels);
        let gauge = self.gauges.get(name);
        gauge
            .and_then(|gauge| gauge.get_metric_with_label_values(&values).ok())
            .ok_or_else(|| unknown(name, MetricKind::Gauge, labels))?
            .set(value);
        Ok(())
    }

    /// Adds an observed value to a histogram.
    ///
    /// # Errors
    /// [`UnknownMetric`] if the histogram is not defined.
    pub fn observe(
        &self,
        name: &'static str,
        labels: &[&str],
        value: f64,
    ) -> Result<(), UnknownMetric> {
        let values = self.limit_labels(name, labels);
        let histogram = self.histograms.get(name);
        histogram
            .and_then(|histogram| histogram.get_metric_with_label_values(&values).ok())
            .ok_or_else(|| unknown(name, MetricKind::Histogram, labels))?
            .observe(value);
        Ok(())
    }

    /// Returns the current values of all series, sorted by name and labels.
    pub fn gather(&self) -> Vec<MetricPoint> {
        collect_points(&self.registry.gather())
    }

    fn limit_labels(&self, name: &'static str, labels: &[&str]) -> Vec<String> {
        self.label_values.borrow_mut().limit_all(name, labels)
    }
}

fn unknown(name: &str, kind: MetricKind, labels: &[&str]) -> UnknownMetric {
    UnknownMetric {
        name: name.into(),
        kind,
        labels: labels.len(),
    }
}

/// Registers a collector. This can fail only for an invalid definition, so errors are ignored: a test checks that each
/// family accepts a value.
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<T>,
    name: &'static str,
    collectors: &mut BTreeMap<&'static str, T>,
) {
    if let Ok(collector) = collector
        && registry.register(Box::new(collector.clone())).is_ok()
    {
        collectors.insert(name, collector);
    }
}
