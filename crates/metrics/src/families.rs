//! Definitions of the metrics: name, kind, labels and help text.

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Value that never decreases; it is 0 at each start.
    Counter,
    /// Value that can increase and decrease.
    Gauge,
    /// Counts of observed values in cumulative buckets, with their sum and number.
    Histogram,
}

/// Definition of a metric family: all series with the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Family {
    /// Name of the metric.
    pub name: &'static str,
    /// Kind of the metric.
    pub kind: MetricKind,
    /// Names of the labels.
    pub labels: &'static [&'static str],
    /// Help text, with the unit.
    pub help: &'static str,
}

impl Family {
    /// Returns the family with a name.
    pub(crate) fn named(name: &str) -> Option<&'static Family> {
        FAMILIES.iter().find(|family| family.name == name)
    }
}

const fn family(
    name: &'static str,
    kind: MetricKind,
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
        /// All families, in the order of the documentation.
        pub const FAMILIES: &[Family] = &[$(family($name, MetricKind::$kind, &[$($label),*], $help),)*];
    };
}

families! {
    PLACEMENT_LATENCY = "peppercove_placement_seconds", Histogram, ["class", "outcome"],
        "Time from a placement request to its answer, in seconds.";
    SUBMISSIONS = "peppercove_submissions_total", Counter, ["class"],
        "Jobs accepted.";
    SUBMISSIONS_REJECTED = "peppercove_turned_away_total", Counter, ["reason"],
        "Submissions rejected at admission.";
    ANSWERS = "peppercove_answers_total", Counter, ["class", "outcome"],
        "Placement requests answered: placed, refused, failed or withdrawn.";
    ATTEMPTS = "peppercove_attempts_total", Counter, [],
        "Attempts: tasks offered to nodes.";
    ATTEMPT_ENDS = "peppercove_attempt_ends_total", Counter, ["outcome", "reason"],
        "Attempts that ended, by outcome and reason.";
    OPEN_REQUESTS = "peppercove_open_asks", Gauge, [],
        "Placement requests without an answer.";
    RUNNING_TASKS = "peppercove_running_tasks", Gauge, [],
        "Tasks that were placed and have not ended.";
    AMBIGUOUS_TASKS = "peppercove_doubtful_tasks", Gauge, [],
        "Non-idempotent tasks whose outcome is ambiguous.";
    ADOPTED = "peppercove_adopted_tasks_total", Counter, [],
        "Running tasks adopted from an earlier incarnation or an ambiguous attempt.";
    ORPHANS = "peppercove_stray_tasks_total", Counter, [],
        "Orphaned copies that were stopped.";
    NODES = "peppercove_nodes", Gauge, ["state", "link"],
        "Nodes in the node list, by state and connection.";
    LIST_GENERATION = "peppercove_node_list_generation", Gauge, [],
        "Version of the node list in use.";
    LIST_LAST_CONTACT = "peppercove_node_list_heard_timestamp_seconds", Gauge, [],
        "Last contact with the node list, in seconds since 1970.";
    LIST_FAILURES = "peppercove_node_list_failures_total", Counter, [],
        "Calls to the node list that failed and watches that broke.";
    CLIENTS = "peppercove_client_connections", Gauge, [],
        "Client connections.";
    INTERNAL_FAULTS = "peppercove_faults_total", Counter, ["kind"],
        "Internal faults; any is worth a report.";
    PUSH_SAMPLES = "peppercove_push_samples_total", Counter, ["outcome"],
        "Samples made, pushed, and dropped by reason.";
    PUSH_REQUESTS = "peppercove_push_requests_total", Counter, ["status"],
        "Requests to the receiver, by status or `no-answer`.";
    WAL_BYTES = "peppercove_push_backlog_bytes", Gauge, [],
        "Samples that wait to be pushed, in bytes on disk.";
    EVENT_LOOP_LAG = "peppercove_loop_late_seconds", Gauge, [],
        "Lag of the event loop at its last measurement, in seconds.";
    START_TIME = "peppercove_start_timestamp_seconds", Gauge, [],
        "Start of the controller, in seconds since 1970.";
}

/// Upper bounds of the histogram buckets, in seconds. All histograms measure placement latency. The bounds range from
/// the latency of the controller alone to the longest deadlines.
pub const PLACEMENT_BUCKETS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0,
];
