//! Load of a node: requested and used resources, speed, overload during slow start, and delayed load reports.

use super::fleet_state::OverloadCrash;
use super::resources::Resources;
use super::task::{Task, TaskState};
use super::{Micros, NodeModel};
use peppercove_protocol::node::NodeLoad;
use std::collections::{BTreeSet, VecDeque};

/// Limit on the measurements that are kept.
const MAX_MEASUREMENTS: usize = 256;

/// Minimum interval between two measurements, in microseconds.
const MIN_REPORT_INTERVAL: Micros = 1_000;

/// Lower bound of the factors by which slowdown and foreign load each reduce the speed.
const MIN_SPEED_FACTOR: f64 = 0.05;

/// Lower bound of the speed, as a share of the full speed.
const MIN_SPEED: f64 = 0.01;

/// One measurement of the load.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    at: Micros,
    load: NodeLoad,
}

/// Measurements of the load, from the oldest to the newest.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    measurements: VecDeque<Measurement>,
    next_measurement: Micros,
}

impl LoadHistory {
    pub(super) fn next_measurement(&self) -> Micros {
        self.next_measurement
    }

    pub(super) fn clear(&mut self) {
        self.measurements.clear();
    }

    fn push(&mut self, at: Micros, load: NodeLoad) {
        self.measurements.push_back(Measurement { at, load });
        while self.measurements.len() > MAX_MEASUREMENTS {
            self.measurements.pop_front();
        }
    }

    /// The latest measurement that was taken at `at` or earlier.
    fn as_of(&self, at: Micros) -> Option<NodeLoad> {
        let mut newest_first = self.measurements.iter().rev();
        newest_first
            .find(|measurement| measurement.at <= at)
            .map(|measurement| measurement.load)
    }
}

impl NodeModel {
    /// Resources that the admitted tasks requested.
    pub(super) fn requested(&self) -> Resources {
        let active = self.tasks.values().filter(|task| task.is_active());
        active.fold(Resources::default(), |sum, task| Resources {
            cores: sum.cores + task.offered.cores,
            memory: sum.memory + task.offered.memory,
        })
    }

    /// Resources that running tasks and foreign load use.
    pub(super) fn used(&self) -> Resources {
        let is_running = |task: &&Task| matches!(task.state, TaskState::Running { .. });
        let foreign = Resources {
            cores: self.faults.foreign_load * self.spec.cores,
            memory: 0.0,
        };
        let running = self.tasks.values().filter(is_running);
        running.fold(foreign, |sum, task| Resources {
            cores: sum.cores + task.offered.cores * task.usage_share.cores,
            memory: sum.memory + task.offered.memory * task.usage_share.memory,
        })
    }

    /// Capacity minus the requested resources; negative when the node is overcommitted.
    pub fn free(&self) -> Resources {
        let requested = self.requested();
        Resources {
            cores: self.spec.cores - requested.cores,
            memory: self.spec.memory - requested.memory,
        }
    }

    pub(super) fn services_in_use(&self) -> BTreeSet<u64> {
        self.tasks
            .values()
            .map(|task| task.offered.service)
            .collect()
    }

    pub(super) fn starting_tasks(&self) -> usize {
        self.tasks
            .values()
            .filter(|task| matches!(task.state, TaskState::Starting { .. }))
            .count()
    }

    /// Speed of admissions and starts, as a share of the full speed.
    pub(super) fn speed(&self, now: Micros) -> f64 {
        let spec = &self.spec;
        let uptime = self
            .started
            .map_or(spec.slow_start_window, |at| now.saturating_sub(at));
        let progress = (uptime as f64 / spec.slow_start_window.max(1) as f64).min(1.0);
        let speed = spec.slow_start_speed + (1.0 - spec.slow_start_speed) * progress;
        let faulty_seconds = now.saturating_sub(self.faults_since) as f64 / 1e6;
        let lost = faulty_seconds * self.faults.speed_loss_per_second;
        let slowdown_factor = (1.0 - lost).max(MIN_SPEED_FACTOR);
        let foreign_load_factor = (1.0 - self.faults.foreign_load).max(MIN_SPEED_FACTOR);
        (speed * slowdown_factor * foreign_load_factor).max(MIN_SPEED)
    }

    /// Counts an offer. During slow start the node crashes when the offers within the window exceed both the slow-start
    /// budget and a multiple of the starts that it can perform in that time.
    pub(super) fn count_offer(&mut self, now: Micros) {
        let spec = &self.spec;
        let window = spec.overload_window;
        self.recent_offers.push_back(now);
        while self
            .recent_offers
            .front()
            .is_some_and(|at| at + window <= now)
        {
            self.recent_offers.pop_front();
        }
        let is_warming_up = self
            .started
            .is_some_and(|at| now < at + spec.slow_start_window);
        let start_time = spec.cached_start_time.max(1) as f64 * spec.uncached_start_factor;
        let possible_starts =
            spec.concurrent_starts as f64 * window as f64 / start_time * self.speed(now);
        let limit = (possible_starts * spec.overload_factor).max(spec.slow_start_budget);
        if is_warming_up && self.recent_offers.len() as f64 > limit {
            self.has_crashed = true;
            self.die(now);
            let node = self.spec.name.clone();
            let crash = OverloadCrash { at: now, node };
            self.fleet.start_log.borrow_mut().crashes.push(crash);
        }
    }

    /// Measures the load, if a measurement is due.
    pub(super) fn measure_load(&mut self, now: Micros) {
        if now < self.load_history.next_measurement {
            return;
        }
        self.load_history.next_measurement =
            now + self.spec.report_interval.max(MIN_REPORT_INTERVAL);
        let (requested, used) = (self.requested(), self.used());
        let counted = if self.spec.reports_usage {
            used
        } else {
            requested
        };
        let queued = self.admission_queue.len() + self.start_queue.len() + self.starting_tasks();
        let load = NodeLoad {
            free_cores: Some(self.spec.cores - counted.cores),
            free_memory: Some(self.spec.memory - counted.memory),
            cpu_utilization: Some((used.cores / self.spec.cores.max(1e-9)).min(1.0)),
            queue_depth: Some(queued as f64),
        };
        self.load_history.push(now, load);
    }

    /// The load that the node reports: the latest measurement older than the report delay, if there is one.
    pub(super) fn reported_load(&self, now: Micros) -> Option<NodeLoad> {
        let delay = self.spec.report_delay + self.faults.extra_report_delay;
        self.load_history.as_of(now.checked_sub(delay)?)
    }
}
