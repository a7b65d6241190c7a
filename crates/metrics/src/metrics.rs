//! The metrics of one controller.

use crate::label_values::LabelValues;
use crate::point::{MetricPoint, collect_points};
use crate::{FAMILIES, MetricKind, PLACEMENT_BUCKETS};
use prometheus::core::Collector;
use prometheus::{CounterVec, GaugeVec, HistogramOpts, HistogramVec, Opts, Registry};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// A name that is not in the table, or a number of labels that is not the table's: a fault of the program.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no {kind:?} {name} with {labels} labels")]
pub struct UnknownMetric {
    /// The name.
    pub name: String,
    /// The kind that was expected.
    pub kind: MetricKind,
    /// Number of labels given.
    pub labels: usize,
}

/// The metrics of one controller.
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
    /// All families of the table, without a value yet.
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
                    let made = CounterVec::new(opts, labels);
                    register(registry, made, name, &mut metrics.counters);
                }
                MetricKind::Gauge => {
                    let made = GaugeVec::new(opts, labels);
                    register(registry, made, name, &mut metrics.gauges);
                }
                MetricKind::Histogram => {
                    let opts = HistogramOpts::from(opts).buckets(PLACEMENT_BUCKETS.to_vec());
                    let made = HistogramVec::new(opts, labels);
                    register(registry, made, name, &mut metrics.histograms);
                }
            }
        }
        metrics
    }

    /// Adds to a counter. What is negative or not finite counts as 0: a counter that went down would look like a
    /// restart.
    ///
    /// # Errors
    /// [`UnknownMetric`]; the counter of faults cannot be missing, so callers may count the error there.
    pub fn add(&self, name: &'static str, labels: &[&str], more: f64) -> Result<(), UnknownMetric> {
        let values = self.bound_labels(name, labels);
        let counter = self.counters.get(name);
        counter
            .and_then(|counter| counter.get_metric_with_label_values(&values).ok())
            .ok_or_else(|| unknown(name, MetricKind::Counter, labels))?
            .inc_by(if more.is_finite() { more.max(0.0) } else { 0.0 });
        Ok(())
    }

    /// Sets a gauge.
    ///
    /// # Errors
    /// [`UnknownMetric`].
    pub fn set(&self, name: &'static str, labels: &[&str], to: f64) -> Result<(), UnknownMetric> {
        let values = self.bound_labels(name, labels);
        let gauge = self.gauges.get(name);
        gauge
            .and_then(|gauge| gauge.get_metric_with_label_values(&values).ok())
            .ok_or_else(|| unknown(name, MetricKind::Gauge, labels))?
            .set(to);
        Ok(())
    }

    /// Counts one value into a histogram.
    ///
    /// # Errors
    /// [`UnknownMetric`].
    pub fn observe(
        &self,
        name: &'static str,
        labels: &[&str],
        value: f64,
    ) -> Result<(), UnknownMetric> {
        let values = self.bound_labels(name, labels);
        let histogram = self.histograms.get(name);
        histogram
            .and_then(|histogram| histogram.get_metric_with_label_values(&values).ok())
            .ok_or_else(|| unknown(name, MetricKind::Histogram, labels))?
            .observe(value);
        Ok(())
    }

    /// Every value as it is now, sorted by name and labels.
    pub fn gather(&self) -> Vec<MetricPoint> {
        collect_points(&self.registry.gather())
    }

    fn bound_labels(&self, name: &'static str, labels: &[&str]) -> Vec<String> {
        self.label_values.borrow_mut().bound(name, labels)
    }
}

fn unknown(name: &str, kind: MetricKind, labels: &[&str]) -> UnknownMetric {
    UnknownMetric {
        name: name.into(),
        kind,
        labels: labels.len(),
    }
}

/// Registers a collector. That fails only for what the table holds, which a test checks: each family takes a value.
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    made: prometheus::Result<T>,
    name: &'static str,
    collectors: &mut BTreeMap<&'static str, T>,
) {
    if let Ok(collector) = made
        && registry.register(Box::new(collector.clone())).is_ok()
    {
        collectors.insert(name, collector);
    }
}
