//! The figures that a controller tells of itself: one table of names, kinds and labels, and how they are gathered.
//!
//! Names follow the Prometheus conventions: base units (`_seconds`, `_bytes`), `_total` for counters. Label values that
//! come from clients are bounded in number and length: what is beyond counts under `other`. The table ([`FAMILIES`]) is
//! the only source of `docs/operators/metrics.md`, held against it by a test.

use prometheus::core::Collector;
use prometheus::{CounterVec, GaugeVec, HistogramOpts, HistogramVec, Opts, Registry};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// What a figure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only grows, from 0 at each start.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts by upper bounds, with sum and count.
    Histogram,
}

/// One family of figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Family {
    /// Its name.
    pub name: &'static str,
    /// What it is.
    pub kind: Kind,
    /// Names of its labels.
    pub labels: &'static [&'static str],
    /// What it tells, with its unit.
    pub help: &'static str,
}

const fn family(
    name: &'static str,
    kind: Kind,
    labels: &'static [&'static str],
    help: &'static str,
) -> Family {
    Family {
        name,
        kind,
        labels,
        help,
    }
}

macro_rules! families {
    ($($constant:ident = $name:literal, $kind:ident, [$($label:literal),*], $help:literal;)*) => {
        $(#[doc = $help] pub const $constant: &str = $name;)*
        /// Every family, in the order of the documentation.
        pub const FAMILIES: &[Family] = &[$(family($name, Kind::$kind, &[$($label),*], $help),)*];
    };
}

families! {
    PLACEMENT = "peppercove_placement_seconds", Histogram, ["class", "outcome"],
        "Time from an ask for a placing to its answer, in seconds.";
    SUBMISSIONS = "peppercove_submissions_total", Counter, ["class"],
        "Jobs taken in.";
    SUBMISSIONS_REJECTED = "peppercove_turned_away_total", Counter, ["reason"],
        "Submissions turned away at the door.";
    ANSWERS = "peppercove_answers_total", Counter, ["class", "outcome"],
        "Asks answered: placed, refused, failed or withdrawn.";
    ATTEMPTS = "peppercove_attempts_total", Counter, [],
        "Offers made to nodes.";
    ATTEMPT_ENDS = "peppercove_attempt_ends_total", Counter, ["outcome", "reason"],
        "Attempts that ended, by how and why.";
    OPEN_REQUESTS = "peppercove_open_asks", Gauge, [],
        "Asks without an answer.";
    RUNNING_TASKS = "peppercove_running_tasks", Gauge, [],
        "Tasks placed and not ended.";
    AMBIGUOUS_TASKS = "peppercove_doubtful_tasks", Gauge, [],
        "Unsafe tasks whose fate is not known.";
    ADOPTED = "peppercove_adopted_tasks_total", Counter, [],
        "Running tasks taken over from an earlier life or a doubtful attempt.";
    ORPHANS = "peppercove_stray_tasks_total", Counter, [],
        "Running copies stopped because nobody waited for them.";
    NODES = "peppercove_nodes", Gauge, ["state", "link"],
        "Nodes that the list names, by state and link.";
    LIST_GENERATION = "peppercove_node_list_generation", Gauge, [],
        "Version of the node list held.";
    LIST_LAST_CONTACT = "peppercove_node_list_heard_timestamp_seconds", Gauge, [],
        "When the node list was heard last, in seconds since 1970.";
    LIST_FAILURES = "peppercove_node_list_failures_total", Counter, [],
        "Calls to the node list that failed and subscriptions that broke.";
    CLIENTS = "peppercove_client_connections", Gauge, [],
        "Connections of clients.";
    FAULTS = "peppercove_faults_total", Counter, ["kind"],
        "Faults that the program found in itself; any is worth a report.";
    PUSHED = "peppercove_push_samples_total", Counter, ["outcome"],
        "Samples made, pushed, and dropped by reason.";
    PUSHES = "peppercove_push_requests_total", Counter, ["status"],
        "Requests to the receiver, by status or `no-answer`.";
    WAL_BYTES = "peppercove_push_backlog_bytes", Gauge, [],
        "Samples that wait to be pushed, in bytes on disk.";
    EVENT_LOOP_LAG = "peppercove_loop_late_seconds", Gauge, [],
        "How late the daemon's own loop was when last looked at, in seconds.";
    START = "peppercove_start_timestamp_seconds", Gauge, [],
        "When the controller started, in seconds since 1970.";
}

/// Upper bounds of the placing delays, in seconds: from what a controller adds itself up to the longest deadlines.
pub const DELAY_BOUNDS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Values that one label may have; further ones count under [`OTHER`].
pub const MOST_VALUES: usize = 64;
/// Longest value of a label, in bytes; a longer one is cut.
pub const LONGEST_VALUE: usize = 128;
/// Stands for all values beyond the bound.
pub const OTHER: &str = "other";

/// A name that the table does not have, or other labels than it says: a fault of the program.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no {kind:?} {name} with {labels} labels")]
pub struct UnknownMetric {
    /// The name.
    pub name: String,
    /// What it was taken for.
    pub kind: Kind,
    /// How many labels were given.
    pub labels: usize,
}

/// One value of one series at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricPoint {
    /// Name of the series, with `_bucket`, `_sum` or `_count` where it is part of a histogram.
    pub name: String,
    /// Labels, sorted by name, without the name of the series.
    pub labels: Vec<(String, String)>,
    /// The family it belongs to.
    pub family: &'static Family,
    /// The value.
    pub value: f64,
}

/// The figures of one controller.
pub struct Metrics {
    registry: Registry,
    counters: BTreeMap<&'static str, CounterVec>,
    gauges: BTreeMap<&'static str, GaugeVec>,
    histograms: BTreeMap<&'static str, HistogramVec>,
    values: RefCell<BTreeMap<(&'static str, usize), BTreeSet<String>>>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// All families of the table, without a value yet.
    pub fn new() -> Metrics {
        let (mut counters, mut gauges, mut histograms) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let registry = Registry::new();
        for f in FAMILIES {
            let opts = Opts::new(f.name, f.help);
            // The table is checked by a test, so what is made of it cannot fail for what it holds.
            match f.kind {
                Kind::Counter => {
                    keep(
                        &registry,
                        CounterVec::new(opts, f.labels),
                        f.name,
                        &mut counters,
                    );
                }
                Kind::Gauge => {
                    keep(
                        &registry,
                        GaugeVec::new(opts, f.labels),
                        f.name,
                        &mut gauges,
                    );
                }
                Kind::Histogram => {
                    let opts = HistogramOpts::from(opts).buckets(DELAY_BOUNDS.to_vec());
                    keep(
                        &registry,
                        HistogramVec::new(opts, f.labels),
                        f.name,
                        &mut histograms,
                    );
                }
            }
        }
        Metrics {
            registry,
            counters,
            gauges,
            histograms,
            values: RefCell::default(),
        }
    }

    /// Adds to a counter.
    ///
    /// # Errors
    /// [`NoSuchFigure`]; the counter of faults cannot be missing, so callers may count it there.
    pub fn add(&self, name: &'static str, labels: &[&str], more: f64) -> Result<(), UnknownMetric> {
        let labels = self.bounded(name, labels);
        let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
        let counter = self
            .counters
            .get(name)
            .and_then(|c| c.get_metric_with_label_values(&labels).ok());
        let counter = counter.ok_or_else(|| missing(name, Kind::Counter, labels.len()))?;
        // A counter that went down would look like a restart to whoever reads it.
        counter.inc_by(if more.is_finite() { more.max(0.0) } else { 0.0 });
        Ok(())
    }

    /// Sets a gauge.
    ///
    /// # Errors
    /// [`NoSuchFigure`].
    pub fn set(&self, name: &'static str, labels: &[&str], to: f64) -> Result<(), UnknownMetric> {
        let labels = self.bounded(name, labels);
        let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
        let gauge = self
            .gauges
            .get(name)
            .and_then(|g| g.get_metric_with_label_values(&labels).ok());
        gauge
            .ok_or_else(|| missing(name, Kind::Gauge, labels.len()))?
            .set(to);
        Ok(())
    }

    /// Counts one value into a histogram.
    ///
    /// # Errors
    /// [`NoSuchFigure`].
    pub fn observe(
        &self,
        name: &'static str,
        labels: &[&str],
        value: f64,
    ) -> Result<(), UnknownMetric> {
        let labels = self.bounded(name, labels);
        let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
        let histogram = self
            .histograms
            .get(name)
            .and_then(|h| h.get_metric_with_label_values(&labels).ok());
        histogram
            .ok_or_else(|| missing(name, Kind::Histogram, labels.len()))?
            .observe(value);
        Ok(())
    }

    /// Cuts long values, and counts those beyond the bound under one name: clients choose some of them.
    fn bounded(&self, name: &'static str, labels: &[&str]) -> Vec<String> {
        let mut values = self.values.borrow_mut();
        let bound = |(i, value): (usize, &&str)| {
            let mut end = value.len().min(LONGEST_VALUE);
            while !value.is_char_boundary(end) {
                end -= 1;
            }
            let value = &value[..end];
            let known = values.entry((name, i)).or_default();
            if known.contains(value) || known.len() < MOST_VALUES {
                known.insert(value.to_owned());
                value.to_owned()
            } else {
                OTHER.to_owned()
            }
        };
        labels.iter().enumerate().map(bound).collect()
    }

    /// Every value as it is now, sorted by name and labels.
    pub fn gather(&self) -> Vec<MetricPoint> {
        let mut points = Vec::new();
        for gathered in self.registry.gather() {
            let Some(family) = FAMILIES.iter().find(|f| f.name == gathered.name()) else {
                continue;
            };
            for metric in gathered.get_metric() {
                let pairs = metric.get_label().iter();
                let mut labels: Vec<(String, String)> = pairs
                    .map(|l| (l.name().to_owned(), l.value().to_owned()))
                    .collect();
                labels.sort();
                let mut point = |suffix: &str, labels: Vec<(String, String)>, value: f64| {
                    points.push(MetricPoint {
                        name: format!("{}{suffix}", family.name),
                        labels,
                        family,
                        value,
                    });
                };
                match family.kind {
                    Kind::Counter => point("", labels, metric.get_counter().get_value()),
                    Kind::Gauge => point("", labels, metric.get_gauge().get_value()),
                    Kind::Histogram => {
                        let h = metric.get_histogram();
                        let bucket = |le: String| {
                            let mut labels = labels.clone();
                            labels.push(("le".into(), le));
                            labels.sort();
                            labels
                        };
                        for b in h.get_bucket() {
                            point(
                                "_bucket",
                                bucket(b.upper_bound().to_string()),
                                b.cumulative_count() as f64,
                            );
                        }
                        point(
                            "_bucket",
                            bucket("+Inf".into()),
                            h.get_sample_count() as f64,
                        );
                        point("_sum", labels.clone(), h.get_sample_sum());
                        point("_count", labels, h.get_sample_count() as f64);
                    }
                }
            }
        }
        points.sort_by(|a, b| (&a.name, &a.labels).cmp(&(&b.name, &b.labels)));
        points
    }
}

fn missing(name: &str, kind: Kind, labels: usize) -> UnknownMetric {
    UnknownMetric {
        name: name.into(),
        kind,
        labels,
    }
}

fn keep<T: Collector + Clone + 'static>(
    registry: &Registry,
    made: prometheus::Result<T>,
    name: &'static str,
    into: &mut BTreeMap<&'static str, T>,
) {
    if let Ok(made) = made
        && registry.register(Box::new(made.clone())).is_ok()
    {
        into.insert(name, made);
    }
}

/// The page that lists every family, for operators.
pub fn page() -> String {
    let mut out = String::from(
        "# Metrics\n\nEvery figure that a controller tells, made from the table in `crates/metrics`. Label values beyond \
         64 of one label count under `other`.\n\n| name | kind | labels | meaning |\n| --- | --- | --- | --- |\n",
    );
    for f in FAMILIES {
        let kind = match f.kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        };
        let labels: Vec<String> = f.labels.iter().map(|l| format!("`{l}`")).collect();
        let labels = if labels.is_empty() {
            "–".into()
        } else {
            labels.join(", ")
        };
        out += &format!("| `{}` | {kind} | {labels} | {} |\n", f.name, f.help);
    }
    out
}
