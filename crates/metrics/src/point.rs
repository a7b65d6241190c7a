//! Points: the values of all series at one time.

use crate::{Family, MetricKind};
use prometheus::proto::{Histogram, Metric, MetricFamily};

/// Name and value of each label of a series.
type Labels = Vec<(String, String)>;

/// One value of one series at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricPoint {
    /// Name of the series, with `_bucket`, `_sum` or `_count` where it is part of a histogram.
    pub name: String,
    /// Name and value of the labels, sorted by name, without the name of the series.
    pub labels: Vec<(String, String)>,
    /// The family it belongs to.
    pub family: &'static Family,
    /// The value.
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

/// The points of gathered families, sorted by name and labels.
pub(crate) fn collect_points(gathered: &[MetricFamily]) -> Vec<MetricPoint> {
    let mut points = Vec::new();
    for gathered in gathered {
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
    let all = with_upper_bound(&labels, "+Inf".into());
    points.push(MetricPoint::new(family, "_bucket", all, count));
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

/// Labels with the upper bound of a bucket, `le`.
fn with_upper_bound(labels: &Labels, upper_bound: String) -> Labels {
    let mut labels = labels.clone();
    labels.push(("le".into(), upper_bound));
    labels.sort();
    labels
}
