//! Metrics of the controller. Some are updated as events happen, the others are read from the core on collection.

use peppercove::{AttemptOutcome, EndReason, Micros, NodeStatus};
use peppercove_core::nodes::{ConnectionState, Nodes};
use peppercove_core::{Answer, Core, Counters};
use peppercove_fleet::SubsetScheduler;
use peppercove_metrics::{self as names, MetricPoint, Metrics, UnknownMetric};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Labels of the counter of ended attempts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEndLabels {
    outcome: &'static str,
    reason: &'static str,
}

/// Labels of the gauge that counts nodes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NodeLabels {
    status: &'static str,
    connection: &'static str,
}

/// Counters of the core at the last read; the metrics are incremented by the difference.
#[derive(Default)]
struct LastRead {
    counters: Counters,
    attempt_ends: BTreeMap<AttemptEndLabels, u64>,
}

/// The metrics of a controller.
pub(crate) struct ControllerMetrics {
    metrics: Metrics,
    last_read: RefCell<LastRead>,
}

impl ControllerMetrics {
    pub(crate) fn new(started_at: Micros) -> ControllerMetrics {
        let metrics = ControllerMetrics {
            metrics: Metrics::new(),
            last_read: RefCell::default(),
        };
        metrics.set(names::START_TIME, &[], seconds(started_at));
        metrics
    }

    /// Increments a counter.
    pub(crate) fn add(&self, name: &'static str, labels: &[&str], increment: f64) {
        report_unknown(self.metrics.add(name, labels, increment));
    }

    /// Sets a gauge.
    pub(crate) fn set(&self, name: &'static str, labels: &[&str], value: f64) {
        report_unknown(self.metrics.set(name, labels, value));
    }

    /// Counts the answer to a placement request, and records its latency if the request was made in this incarnation.
    pub(crate) fn count_answer(&self, class: &str, answer: Answer, latency: Option<Micros>) {
        let labels = [class, answer_name(answer)];
        self.add(names::ANSWERS, &labels, 1.0);
        if let Some(latency) = latency {
            report_unknown(self.metrics.observe(
                names::PLACEMENT_LATENCY,
                &labels,
                seconds(latency),
            ));
        }
    }

    /// Updates the metrics that are read from the core, and returns all metrics.
    pub(crate) fn gather(
        &self,
        core: &Core<SubsetScheduler>,
        client_connections: usize,
    ) -> Vec<MetricPoint> {
        self.read_counters(core.counters());
        self.read_attempt_ends(core);
        self.set(names::OPEN_REQUESTS, &[], core.open_requests() as f64);
        self.set(names::RUNNING_TASKS, &[], core.placed_tasks() as f64);
        self.set(names::AMBIGUOUS_TASKS, &[], core.ambiguous_tasks() as f64);
        self.set(names::LIST_GENERATION, &[], core.nodes().generation as f64);
        self.set(names::CLIENTS, &[], client_connections as f64);
        self.read_nodes(core.nodes());
        self.metrics.gather()
    }

    fn read_counters(&self, now: Counters) {
        let last = std::mem::replace(&mut self.last_read.borrow_mut().counters, now);
        let increment = |now: u64, last: u64| (now - last) as f64;
        self.add(names::ADOPTED, &[], increment(now.adopted, last.adopted));
        self.add(
            names::ORPHANS,
            &[],
            increment(now.orphans_stopped, last.orphans_stopped),
        );
        for (kind, increment) in [
            (
                "overdue",
                increment(now.missed_deadlines, last.missed_deadlines),
            ),
            (
                "illegal-step",
                increment(now.invalid_transitions, last.invalid_transitions),
            ),
            (
                "broken-promise",
                increment(now.unsafe_rejections, last.unsafe_rejections),
            ),
        ] {
            self.add(names::INTERNAL_FAULTS, &[kind], increment);
        }
    }

    fn read_attempt_ends(&self, core: &Core<SubsetScheduler>) {
        let mut last_read = self.last_read.borrow_mut();
        for (outcome, reason, count) in core.attempt_ends() {
            let labels = AttemptEndLabels {
                outcome: outcome_name(outcome),
                reason: reason_name(reason),
            };
            let last = last_read.attempt_ends.insert(labels, count).unwrap_or(0);
            let increment = (count - last) as f64;
            self.add(
                names::ATTEMPT_ENDS,
                &[labels.outcome, labels.reason],
                increment,
            );
        }
    }

    fn read_nodes(&self, nodes: &Nodes) {
        let mut counts = BTreeMap::new();
        // Every combination of labels is set, so that one without nodes does not keep its previous value.
        for status in [NodeStatus::Ready, NodeStatus::Draining, NodeStatus::Gone] {
            for is_connected in [true, false] {
                counts.insert(node_labels(status, is_connected), 0.0);
            }
        }
        for (_, node) in nodes.iter() {
            let is_connected = match node.connection {
                ConnectionState::Connected => true,
                ConnectionState::Disconnected(_) => false,
            };
            *counts
                .entry(node_labels(node.entry.state, is_connected))
                .or_default() += 1.0;
        }
        for (labels, count) in counts {
            self.set(names::NODES, &[labels.status, labels.connection], count);
        }
    }
}

/// Logs an unknown metric name, which is a bug.
fn report_unknown(result: Result<(), UnknownMetric>) {
    if let Err(error) = result {
        tracing::error!(%error, "fault: unknown metric");
    }
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

fn node_labels(status: NodeStatus, is_connected: bool) -> NodeLabels {
    NodeLabels {
        status: match status {
            NodeStatus::Ready => "ready",
            NodeStatus::Draining => "draining",
            NodeStatus::Gone => "gone",
        },
        connection: if is_connected { "up" } else { "down" },
    }
}

fn answer_name(answer: Answer) -> &'static str {
    match answer {
        Answer::Placed(_) => "placed",
        Answer::Rejected(_) => "refused",
        Answer::Failed => "failed",
        Answer::Cancelled => "withdrawn",
    }
}

fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed => "done",
        AttemptOutcome::Error => "error",
        AttemptOutcome::Rejected => "refused",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Lost => "lost",
        AttemptOutcome::Cancelled => "withdrawn",
        AttemptOutcome::NotSent => "not-sent",
    }
}

fn reason_name(reason: EndReason) -> &'static str {
    match reason {
        EndReason::Unknown => "none",
        EndReason::InsufficientCores => "no-cores",
        EndReason::InsufficientMemory => "no-memory",
        EndReason::QueueFull => "busy",
        EndReason::Ineligible => "not-here",
        EndReason::Evicted => "evicted",
        EndReason::Preempted => "pushed-out",
        EndReason::Drained => "sent-away",
    }
}
