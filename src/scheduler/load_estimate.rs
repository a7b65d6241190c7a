//! Load estimates: the requested and used resources of each node, derived from own attempts, node
//! lists and load reports.
//!
//! The requested resources of a node are the sum of its own load, which is known exactly, and its
//! foreign load, requested by tasks of other schedulers. Its used resources are the requested ones
//! multiplied by a usage ratio learned over all nodes, plus its unaccounted load.

use super::Scheduler;
use super::usage_estimate::{UsageRatio, Utilization};
use crate::api::{LoadBasis, LoadReport, Micros, NodeId, ResourceKind, Resources};
use std::collections::VecDeque;

/// Weight of a new sample of unaccounted load in the moving average, equivalent to about ten
/// samples.
const UNACCOUNTED_LEARNING_RATE: f64 = 0.1;
/// Divisor of the shortest latency objective that gives the assumed age of a load report on
/// arrival. The actual age is unknown.
const OBJECTIVES_PER_REPORT_AGE: Micros = 2;
/// Maximum number of changes of own load that are remembered, over all nodes.
const MAX_REMEMBERED_CHANGES: usize = 65_536;
/// Minimum number of changes of own load that may be remembered for one node.
const MIN_REMEMBERED_CHANGES_PER_NODE: usize = 64;
/// Lower bound for capacities that are used as divisors.
pub(super) const MIN_CAPACITY: f64 = 1e-9;

/// The estimated load of one node.
#[derive(Default)]
pub(super) struct NodeLoad {
    own: Resources,
    /// The part of own load whose tasks were handed over, and of which the node has not reported
    /// anything.
    unconfirmed: Resources,
    /// Requested resources according to the latest list entry or load report.
    reported: Option<Resources>,
    own_history: VecDeque<OwnLoadChange>,
    /// Load of other schedulers; `None` until a list or report provides it.
    foreign: Option<Resources>,
    /// Used resources not explained by the requested ones, such as other workloads on the node or
    /// services that use more than they request. May be negative.
    unaccounted: Resources,
    /// Time of the latest observation of the load.
    observed_at: Micros,
}

/// How many changes of own load are remembered for a node.
#[derive(Clone, Copy)]
pub(super) struct HistoryLimits {
    /// Time for which changes are remembered.
    retention: Micros,
    /// Maximum number of changes. If there are more, the load after the latest remembered one is
    /// only approximate.
    max_changes: usize,
}

impl HistoryLimits {
    /// Returns the limits for each of `nodes` nodes.
    pub(super) fn new(retention: Micros, nodes: usize) -> HistoryLimits {
        let even_share = MAX_REMEMBERED_CHANGES / nodes.max(1);
        HistoryLimits {
            retention,
            max_changes: even_share.max(MIN_REMEMBERED_CHANGES_PER_NODE),
        }
    }
}

/// A change of own load, with the load before it.
struct OwnLoadChange {
    changed_at: Micros,
    before: Resources,
}

impl NodeLoad {
    pub(super) fn foreign(&self) -> Option<Resources> {
        self.foreign
    }

    pub(super) fn observed_at(&self) -> Micros {
        self.observed_at
    }

    /// Returns the requested resources. Unknown foreign load is assumed to be the mean over all
    /// nodes.
    pub(super) fn requested(&self, mean_foreign: Resources) -> Resources {
        self.own + self.foreign.unwrap_or(mean_foreign)
    }

    /// Returns the requested resources, without unconfirmed tasks that the node does not report.
    ///
    /// A task that is handed over already runs, so that it is part of what the node has reported
    /// unless it is very young. Clients can hand over any number of tasks that no node runs.
    pub(super) fn requested_if_reported(&self, mean_foreign: Resources) -> Resources {
        self.requested(mean_foreign) - self.unreported()
    }

    /// Whether there are unconfirmed tasks that the node does not report.
    pub(super) fn has_unreported_tasks(&self) -> bool {
        let unreported = self.unreported();
        unreported.cores > 0.0 || unreported.memory > 0.0
    }

    fn unreported(&self) -> Resources {
        match self.reported {
            Some(reported) => (self.unconfirmed - reported.at_least_zero()).at_least_zero(),
            None => Resources::ZERO,
        }
    }

    pub(super) fn set_reported(&mut self, requested: Resources) {
        self.reported = Some(requested);
    }

    /// Records that an own task was handed over.
    pub(super) fn add_unconfirmed(&mut self, size: Resources) {
        self.unconfirmed = self.unconfirmed + size;
    }

    /// Records that a handed-over task has ended, or that its node has reported on it.
    pub(super) fn remove_unconfirmed(&mut self, size: Resources) {
        self.unconfirmed = (self.unconfirmed - size).at_least_zero();
    }

    /// Returns the resources expected to be in use.
    pub(super) fn expected_use(&self, mean_foreign: Resources, ratio: UsageRatio) -> Resources {
        let requested = self.requested(mean_foreign);
        let used = |kind| requested[kind] * ratio.get(kind) + self.unaccounted[kind];
        Resources::from_fn(used).at_least_zero()
    }

    /// Adds an own task.
    pub(super) fn add_own(&mut self, size: Resources, now: Micros, limits: HistoryLimits) {
        self.set_own(self.own + size, now, limits);
    }

    /// Removes an own task.
    pub(super) fn remove_own(&mut self, size: Resources, now: Micros, limits: HistoryLimits) {
        self.set_own(self.own - size, now, limits);
    }

    /// Sets own load to zero when no own task is left, since any remainder is due to rounding.
    pub(super) fn clear_own(&mut self) {
        (self.own, self.unconfirmed) = (Resources::ZERO, Resources::ZERO);
    }

    /// Corrects the estimate for a newly added task that was already running: removes it from
    /// foreign load and adds it to the history of own load.
    pub(super) fn move_foreign_to_own_history(&mut self, size: Resources) {
        for change in &mut self.own_history {
            change.before = change.before + size;
        }
        self.foreign = self.foreign.map(|foreign| (foreign - size).at_least_zero());
    }

    pub(super) fn reset_foreign(&mut self) {
        (self.foreign, self.unaccounted) = (None, Resources::ZERO);
        self.reported = None;
    }

    /// Updates foreign load from the total of the requested resources of the node at an earlier
    /// time.
    ///
    /// Race: an observation does not include attempts made after it, so it must not replace the
    /// whole estimate. Own load is known exactly, so foreign load is the observed total less own
    /// load at the time of the observation. That time, and thus own load at that time, is known
    /// only approximately. The new value is therefore weighted with the share of the other
    /// schedulers among all, squared because the old value contains the same error.
    pub(super) fn learn_foreign(&mut self, total: Resources, observed_at: Micros, schedulers: u32) {
        let own = self.own_at(observed_at);
        let is_only_scheduler = schedulers <= 1;
        let weight = (1.0 - 1.0 / f64::from(schedulers.max(1))).powi(2);
        let observed = Resources::from_fn(|kind| {
            if is_only_scheduler || !total[kind].is_finite() {
                0.0
            } else {
                (total[kind] - own[kind]).max(0.0)
            }
        });
        self.foreign = Some(match self.foreign {
            None => observed,
            Some(old) => {
                Resources::from_fn(|kind| old[kind] + weight * (observed[kind] - old[kind]))
            }
        });
    }

    /// Raises foreign load so that at most `free` of one resource remains available.
    ///
    /// `accepted` is the amount of that resource that the node accepts.
    pub(super) fn raise_foreign(&mut self, kind: ResourceKind, accepted: f64, free: f64) {
        let min_foreign = accepted - free - self.own[kind];
        let foreign = self.foreign.get_or_insert(Resources::ZERO);
        foreign[kind] = foreign[kind].max(min_foreign);
    }

    pub(super) fn set_observed_at(&mut self, at: Micros) {
        self.observed_at = at;
    }

    /// Updates unaccounted load from the used resources and the use that is expected without it.
    pub(super) fn learn_unaccounted(&mut self, kind: ResourceKind, used: f64, expected: f64) {
        let unaccounted = &mut self.unaccounted[kind];
        *unaccounted += UNACCOUNTED_LEARNING_RATE * (used - expected - *unaccounted);
    }

    fn set_own(&mut self, own: Resources, now: Micros, limits: HistoryLimits) {
        let is_expired = |change: &OwnLoadChange| change.changed_at + limits.retention <= now;
        while self.own_history.front().is_some_and(is_expired) {
            self.own_history.pop_front();
        }
        // Of several changes in one batch, the first has the load before all of them.
        let is_same_batch = self.own_history.back().map(|change| change.changed_at) == Some(now);
        if !is_same_batch && self.own_history.len() < limits.max_changes {
            self.own_history.push_back(OwnLoadChange {
                changed_at: now,
                before: self.own,
            });
        }
        self.own = own.at_least_zero();
    }

    fn own_at(&self, time: Micros) -> Resources {
        let next_change = self
            .own_history
            .iter()
            .find(|change| change.changed_at > time);
        next_change.map_or(self.own, |change| change.before)
    }
}

/// Mean load of several nodes, updated incrementally.
#[derive(Clone, Copy, Default)]
pub(super) struct MeanLoad {
    sum: Resources,
    count: f64,
}

impl MeanLoad {
    /// Computes the mean from scratch. Incremental updates accumulate rounding errors over time.
    pub(super) fn of(loads: impl Iterator<Item = Resources>) -> MeanLoad {
        let mut mean = MeanLoad::default();
        for load in loads {
            mean.add(load);
        }
        mean
    }

    /// Updates the mean after the load of one node has changed.
    pub(super) fn replace(&mut self, before: Option<Resources>, after: Option<Resources>) {
        if let Some(before) = before {
            self.count -= 1.0;
            self.sum = self.sum - before;
        }
        if let Some(after) = after {
            self.add(after);
        }
    }

    fn add(&mut self, load: Resources) {
        self.count += 1.0;
        self.sum = self.sum + load;
    }

    /// Returns the mean, or zero if there are no nodes.
    pub(super) fn get(&self) -> Resources {
        if self.count > 0.0 {
            self.sum.map(|sum| sum / self.count).at_least_zero()
        } else {
            Resources::ZERO
        }
    }
}

impl Scheduler {
    /// Updates the load estimate and the usage ratio from a load report.
    pub(super) fn on_load_report(&mut self, id: NodeId, report: &LoadReport) {
        self.queue.note_capacity_change();
        let mean_foreign = self.mean_foreign_load.get();
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let requested = node.load.requested(mean_foreign);
        let utilization = Utilization::reported(report, self.settings.load_basis, node.capacity);
        self.learn_reported_foreign_load(id, report);
        self.learn_usage(id, utilization, requested);
        self.learn_unaccounted_load(id, utilization);
    }

    /// Updates foreign load from a report of requested resources.
    fn learn_reported_foreign_load(&mut self, id: NodeId, report: &LoadReport) {
        let free = match self.settings.load_basis {
            LoadBasis::Requested => (report.free_cores, report.free_memory),
            LoadBasis::Used => return,
        };
        let report_age = self.shortest_objective() / OBJECTIVES_PER_REPORT_AGE;
        let observed_at = self.now.saturating_sub(report_age);
        if let (Some(cores), Some(memory)) = free
            && let Some(node) = self.nodes.get_mut(&id)
        {
            let before = node.load.foreign;
            let total = node.capacity - Resources::new(cores, memory);
            let schedulers = self.settings.schedulers;
            node.load.learn_foreign(total, observed_at, schedulers);
            node.load.set_reported(total);
            node.load.observed_at = observed_at;
            self.mean_foreign_load.replace(before, node.load.foreign);
        }
    }
}
