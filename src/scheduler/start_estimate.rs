//! How long a start on a node will take, learned by class from the starts seen.

use super::Scheduler;
use super::node::Node;
use crate::api::{Micros, PlacementRequest, RequestId, TaskClass};

/// Weight of a new start time: about the last ten starts count.
const LEARNING_RATE: f64 = 0.1;
/// A start that takes more than this multiple of the estimate is an exception that teaches nothing
/// more.
const MAX_CHANGE: f64 = 4.0;
/// Before any start is seen: a start with the program takes this part of the latency objective.
const INITIAL_WITH_PROGRAM: f64 = 0.25;
/// Before any start is seen: a start without the program misses the latency objective by this
/// factor.
const INITIAL_WITHOUT_PROGRAM: f64 = 2.0;
/// Nodes start a few tasks at a time: about a quarter of the starts in progress delays another one.
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

    /// Start time of a class on a node that has the program, or that has not.
    pub(super) fn get(&self, class: u16, has_program: bool) -> f64 {
        let times = &self.by_class[usize::from(class)];
        if has_program {
            times.with_program
        } else {
            times.without_program
        }
    }

    fn learn(&mut self, class: u16, had_program: bool, took: f64) {
        let times = &mut self.by_class[usize::from(class)];
        let time = if had_program {
            &mut times.with_program
        } else {
            &mut times.without_program
        };
        *time += LEARNING_RATE * (took.min(*time * MAX_CHANGE) - *time);
    }
}

/// A start in progress on a node.
#[derive(Clone, Copy)]
pub(super) struct PendingStart {
    pub(super) sent_at: Micros,
    /// How long the start was expected to take, in microseconds.
    pub(super) estimate: f64,
}

impl PendingStart {
    fn time_left(&self, now: Micros) -> f64 {
        (self.estimate - (now - self.sent_at) as f64).max(0.0)
    }
}

impl Scheduler {
    /// How long a start of this task on this node is expected to take, in microseconds.
    pub(super) fn start_estimate(&self, node: &Node, spec: &PlacementRequest) -> f64 {
        let has_program = node.programs.contains(spec.service);
        let own = self.start_times.get(spec.class, has_program);
        let pending: f64 = node
            .pending_starts
            .values()
            .map(|start| start.time_left(self.now))
            .sum();
        (own + pending * DELAY_BY_PENDING_STARTS) / self.pace(node).max(f64::MIN_POSITIVE)
    }

    /// Share of its full pace at which a node starts tasks. It grows evenly while the node warms
    /// up.
    fn pace(&self, node: &Node) -> f64 {
        let up_time = self.now.saturating_sub(node.entry.started_at) as f64;
        let progress = if self.is_warming_up(node) {
            up_time / self.settings.slow_start_window.max(1) as f64
        } else {
            1.0
        };
        let least = self.settings.slow_start_min_share;
        least + (1.0 - least) * progress.min(1.0)
    }

    /// The task of an attempt has started: what the start took teaches the estimates of its class.
    pub(super) fn on_started(&mut self, id: RequestId, attempt: u16) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempts.get_mut(usize::from(attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_starting) else {
            return;
        };
        attempt.is_starting = false;
        let took = (self.now - attempt.sent_at) as f64;
        let class = request.spec.class;
        let objective = self.settings.classes[usize::from(class)].latency_objective as f64;
        if !attempt.had_program && self.start_times.get(class, true) < objective {
            self.preferred_counts
                .learn(class, took <= objective, self.nodes.len());
        }
        self.start_times.learn(class, attempt.had_program, took);
        if let Some(node) = self.nodes.get_mut(&attempt.node) {
            node.pending_starts.remove(&id);
        }
    }
}
