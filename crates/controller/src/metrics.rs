//! The controller's own figures: counted as things happen, or read from the core when they are gathered.

use crate::server::Server;
use peppercove::{AttemptOutcome, EndReason, Micros, NodeStatus};
use peppercove_core::nodes::ConnectionState;
use peppercove_core::{Answer, Counters};
use peppercove_metrics::{self as names, MetricPoint, Metrics};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// What was told of the core's own counters so far; figures only ever grow by what came since.
#[derive(Default)]
struct Told {
    counters: Counters,
    ends: BTreeMap<(&'static str, &'static str), u64>,
}

pub(crate) struct ControllerMetrics {
    metrics: Metrics,
    told: RefCell<Told>,
}

impl ControllerMetrics {
    pub(crate) fn new(began: Micros) -> ControllerMetrics {
        let figures = ControllerMetrics {
            metrics: Metrics::new(),
            told: RefCell::default(),
        };
        figures.set(names::START, &[], began as f64 / 1e6);
        figures
    }

    pub(crate) fn add(&self, name: &'static str, labels: &[&str], more: f64) {
        if let Err(error) = self.metrics.add(name, labels, more) {
            tracing::error!(%error, "fault: a figure is not in the table");
        }
    }

    pub(crate) fn set(&self, name: &'static str, labels: &[&str], to: f64) {
        if let Err(error) = self.metrics.set(name, labels, to) {
            tracing::error!(%error, "fault: a figure is not in the table");
        }
    }

    /// An ask was answered; `after` is how long it took, where an ask was made in this life.
    pub(crate) fn answered(&self, class: &str, answer: Answer, after: Option<Micros>) {
        let outcome = match answer {
            Answer::Placed(_) => "placed",
            Answer::Rejected(_) => "refused",
            Answer::Failed => "failed",
            Answer::Cancelled => "withdrawn",
        };
        self.add(names::ANSWERS, &[class, outcome], 1.0);
        if let Some(after) = after
            && let Err(error) =
                self.metrics
                    .observe(names::PLACEMENT, &[class, outcome], after as f64 / 1e6)
        {
            tracing::error!(%error, "fault: a figure is not in the table");
        }
    }

    /// Reads what the core counts, and gives all figures.
    pub(crate) fn gather(&self, shell: &Server) -> Vec<MetricPoint> {
        let core = shell.core.borrow();
        let (now, mut told) = (core.counters(), self.told.borrow_mut());
        let was = std::mem::replace(&mut told.counters, now);
        self.add(names::ADOPTED, &[], (now.adopted - was.adopted) as f64);
        self.add(
            names::ORPHANS,
            &[],
            (now.orphans_stopped - was.orphans_stopped) as f64,
        );
        for (kind, more) in [
            ("overdue", now.missed_deadlines - was.missed_deadlines),
            (
                "illegal-step",
                now.invalid_transitions - was.invalid_transitions,
            ),
            (
                "broken-promise",
                now.unsafe_rejections - was.unsafe_rejections,
            ),
        ] {
            self.add(names::FAULTS, &[kind], more as f64);
        }
        for (outcome, why, count) in core.attempt_ends() {
            let labels = (outcome_name(outcome), why_name(why));
            let before = told.ends.insert(labels, count).unwrap_or(0);
            self.add(
                names::ATTEMPT_ENDS,
                &[labels.0, labels.1],
                (count - before) as f64,
            );
        }
        self.set(names::OPEN_REQUESTS, &[], core.open_requests() as f64);
        self.set(names::RUNNING_TASKS, &[], core.placed_tasks() as f64);
        self.set(names::AMBIGUOUS_TASKS, &[], core.ambiguous_tasks() as f64);
        self.set(names::LIST_GENERATION, &[], core.nodes().generation as f64);
        self.set(
            names::CLIENTS,
            &[],
            shell.sessions.borrow().open_connections() as f64,
        );
        // Every combination is set, so that one that is empty now does not keep its last value.
        let mut nodes: BTreeMap<(&str, &str), f64> = BTreeMap::new();
        for state in ["ready", "draining", "gone"] {
            nodes.extend(["up", "down"].map(|link| ((state, link), 0.0)));
        }
        for (_, node) in core.nodes().iter() {
            let state = match node.line.state {
                NodeStatus::Ready => "ready",
                NodeStatus::Draining => "draining",
                NodeStatus::Gone => "gone",
            };
            let link = if node.link == ConnectionState::Connected {
                "up"
            } else {
                "down"
            };
            *nodes.entry((state, link)).or_default() += 1.0;
        }
        for ((state, link), count) in nodes {
            self.set(names::NODES, &[state, link], count);
        }
        self.metrics.gather()
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

fn why_name(why: EndReason) -> &'static str {
    match why {
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
