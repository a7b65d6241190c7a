//! Points: the current values of all series.

use crate::{Family, MetricKind};
use prometheus::proto::{Histogram, Metric, MetricFamily};

/// Name and value of each label of a series.
type Labels = Vec<(String, String)>;

/// Value of a series at the time of collection.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricPoint {
    /// Name of the series; for a series of a histogram it ends with `_bucket`, `_sum` or `_count`.
    pub name: String,
    /// Name and value of the labels, sorted by name, without `__name__`.
    pub labels: Vec<(String, String)>,
    /// Family of the series.
    pub family: &'static Family,
    /// Current value.
    pub value: f64,
}

impl MetricPoint {
    fn new(family: &'static Family, suffix: &str, labels: Labels, value: f64) -> MetricPoint {
        MetricPoint {
            name: format!("{}{suffix}", family.name),
            labels,
            family,
            value,
        }
    }
}

/// Converts the gathered families to points, sorted by name and labels.
pub(crate) fn collect_points(families: &[MetricFamily]) -> Vec<MetricPoint> {
    let mut points = Vec::new();
    for gathered in families {
        let Some(family) = Family::named(gathered.name()) else {
            continue;
        };
        for metric in gathered.get_metric() {
            collect_metric(family, metric, &mut points);
        }
    }
    points.sort_by(|a, b| (&a.name, &a.labels).cmp(&(&b.name, &b.labels)));
    points
}

fn collect_metric(family: &'static Family, metric: &Metric, points: &mut Vec<MetricPoint>) {
    let labels = labels_of(metric);
    match family.kind {
        MetricKind::Counter => {
            let value = metric.get_counter().get_value();
            points.push(MetricPoint::new(family, "", labels, value));
        }
        MetricKind::Gauge => {
            let value = metric.get_gauge().get_value();
            points.push(MetricPoint::new(family, "", labels, value));
        }
        MetricKind::Histogram => {
            collect_histogram(family, metric.get_histogram(), labels, points);
        }
    }
}

fn collect_histogram(
    family: &'static Family,
    histogram: &Histogram,
    labels: Labels,
    points: &mut Vec<MetricPoint>,
) {
    let count = histogram.get_sample_count() as f64;
    for bucket in histogram.get_bucket() {
        let labels = with_upper_bound(&labels, bucket.upper_bound().to_string());
        let value = bucket.cumulative_count() as f64;
        points.push(MetricPoint::new(family, "_bucket", labels, value));
    }
    let infinite_bucket = with_upper_bound(&labels, "+Inf".into());
    points.push(MetricPoint::new(family, "_bucket", infinite_bucket, count));
    let sum = histogram.get_sample_sum();
    points.push(MetricPoint::new(family, "_sum", labels.clone(), sum));
    points.push(MetricPoint::new(family, "_count", labels, count));
}

fn labels_of(metric: &Metric) -> Labels {
    let pair =
        |label: &prometheus::proto::LabelPair| (label.name().to_owned(), label.value().to_owned());
    let mut labels: Labels = metric.get_label().iter().map(pair).collect();
    labels.sort();
    labels
}

/// Adds the label `le`, the upper bound of a bucket.
fn with_upper_bound(labels: &Labels, upper_bound: String) -> Labels {
    let mut labels = labels.clone();
    labels.push(("le".into(), upper_bound));
    labels.sort();
    labels
}
