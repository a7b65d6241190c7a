//! Start estimates: how long a start on a node is expected to take, learned by class from observed
//! starts.

use super::Scheduler;
use super::node::Node;
use crate::api::{Micros, PlacementRequest, RequestId, TaskClass};

/// Weight of a new start time in the moving average, equivalent to about ten starts.
const LEARNING_RATE: f64 = 0.1;
/// Start times are capped at this multiple of the estimate before they are learned, to limit the
/// effect of outliers.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Initial estimate of a start with the program, as a multiple of the latency objective.
const INITIAL_WITH_PROGRAM: f64 = 0.25;
/// Initial estimate of a start without the program, as a multiple of the latency objective, which
/// it misses.
const INITIAL_WITHOUT_PROGRAM: f64 = 2.0;
/// Fraction of the remaining time of pending starts by which they delay a new one. Nodes start
/// several tasks at a time.
const DELAY_BY_PENDING_STARTS: f64 = 0.25;

/// The learned start times of each class, in microseconds.
pub(super) struct StartTimes {
    by_class: Vec<StartTime>,
}

struct StartTime {
    with_program: f64,
    without_program: f64,
}

impl StartTimes {
    pub(super) fn new(classes: &[TaskClass]) -> StartTimes {
        let initial = |class: &TaskClass| StartTime {
            with_program: class.latency_objective as f64 * INITIAL_WITH_PROGRAM,
            without_program: class.latency_objective as f64 * INITIAL_WITHOUT_PROGRAM,
        };
        StartTimes {
            by_class: classes.iter().map(initial).collect(),
        }
    }

    /// Returns the start time of a class on a node with or without the program.
    pub(super) fn get(&self, class: u16, has_program: bool) -> f64 {
        let times = &self.by_class[usize::from(class)];
        if has_program {
            times.with_program
        } else {
            times.without_program
        }
    }

    fn learn(&mut self, class: u16, had_program: bool, duration: f64) {
        let times = &mut self.by_class[usize::from(class)];
        let time = if had_program {
            &mut times.with_program
        } else {
            &mut times.without_program
        };
        *time += LEARNING_RATE * (duration.min(*time * MAX_SAMPLE_RATIO) - *time);
    }
}

/// A start in progress on a node.
#[derive(Clone, Copy)]
pub(super) struct PendingStart {
    pub(super) sent_at: Micros,
    /// Expected duration of the start, in microseconds.
    pub(super) estimate: f64,
}

impl PendingStart {
    fn time_left(&self, now: Micros) -> f64 {
        (self.estimate - (now - self.sent_at) as f64).max(0.0)
    }
}

impl Scheduler {
    /// Returns the expected duration of a start of this task on this node, in microseconds.
    pub(super) fn start_estimate(&self, node: &Node, spec: &PlacementRequest) -> f64 {
        let has_program = node.programs.contains(spec.service);
        let own = self.start_times.get(spec.class, has_program);
        let pending: f64 = node
            .pending_starts
            .values()
            .map(|start| start.time_left(self.now))
            .sum();
        (own + pending * DELAY_BY_PENDING_STARTS)
            / self.relative_start_rate(node).max(f64::MIN_POSITIVE)
    }

    /// Returns the rate at which a node starts tasks, as a fraction of its full rate. It grows
    /// linearly during slow start.
    fn relative_start_rate(&self, node: &Node) -> f64 {
        let up_time = self.now.saturating_sub(node.entry.started_at) as f64;
        let progress = if self.is_warming_up(node) {
            up_time / self.settings.slow_start_window.max(1) as f64
        } else {
            1.0
        };
        let min_rate = self.settings.slow_start_min_share;
        min_rate + (1.0 - min_rate) * progress.min(1.0)
    }

    /// Records that the task of an attempt has started, and updates the start times and the number
    /// of preferred nodes of its class.
    pub(super) fn on_started(&mut self, id: RequestId, attempt: u16) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempts.get_mut(usize::from(attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_starting) else {
            return;
        };
        attempt.is_starting = false;
        let duration = (self.now - attempt.sent_at) as f64;
        let class = request.spec.class;
        let objective = self.settings.classes[usize::from(class)].latency_objective as f64;
        if !attempt.had_program && self.start_times.get(class, true) < objective {
            self.preferred_counts
                .learn(class, duration <= objective, self.nodes.len());
        }
        self.start_times.learn(class, attempt.had_program, duration);
        if let Some(node) = self.nodes.get_mut(&attempt.node) {
            node.pending_starts.remove(&id);
        }
    }
}
