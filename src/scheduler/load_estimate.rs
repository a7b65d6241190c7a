//! How much of each node is requested and used, estimated from own attempts, lists and reports.
//!
//! Requested resources of a node are own load, which is known exactly, plus foreign load: what
//! other schedulers' tasks request there. Used resources are requested ones times a usage ratio
//! learned over all nodes, plus the unaccounted load of the node.

use super::Scheduler;
use super::usage_estimate::{UsageRatio, Utilization};
use crate::api::{LoadBasis, LoadReport, Micros, NodeId, ResourceKind, Resources};
use std::collections::VecDeque;

/// Weight of a new sample of unaccounted load: about the last ten samples count.
const UNACCOUNTED_LEARNING_RATE: f64 = 0.1;
/// The age of a report when it arrives is not known; it is assumed to be this part of the shortest
/// objective.
const OBJECTIVES_PER_REPORT_AGE: Micros = 2;
/// Keeps divisions by a capacity defined.
pub(super) const MIN_CAPACITY: f64 = 1e-9;

/// The load of one node.
#[derive(Default)]
pub(super) struct NodeLoad {
    own: Resources,
    own_past: VecDeque<PastLoad>,
    /// `None` until a list or report shows it.
    foreign: Option<Resources>,
    /// Use beyond what requested resources explain: neighbours, hungry services. May be negative.
    unaccounted: Resources,
    /// Time of the newest observation of the node's load.
    observed_at: Micros,
}

/// Own load up to a change.
struct PastLoad {
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

    /// Requested resources. Foreign load that is not known yet is taken to be the mean.
    pub(super) fn requested(&self, mean_foreign: Resources) -> Resources {
        self.own + self.foreign.unwrap_or(mean_foreign)
    }

    /// Resources expected to be in use.
    pub(super) fn expected_use(&self, mean_foreign: Resources, ratio: UsageRatio) -> Resources {
        let requested = self.requested(mean_foreign);
        let used = |kind| requested[kind] * ratio.get(kind) + self.unaccounted[kind];
        Resources::from_fn(used).at_least_zero()
    }

    /// Adds an own task; own load of more than `retention` ago is forgotten.
    pub(super) fn add_own(&mut self, size: Resources, now: Micros, retention: Micros) {
        self.set_own(self.own + size, now, retention);
    }

    /// Takes off an own task; own load of more than `retention` ago is forgotten.
    pub(super) fn remove_own(&mut self, size: Resources, now: Micros, retention: Micros) {
        self.set_own(self.own - size, now, retention);
    }

    /// No own task is left, so that what remains is due to rounding.
    pub(super) fn clear_own(&mut self) {
        self.own = Resources::ZERO;
    }

    /// A task that was just added was there before: moves it from foreign load to the past of own
    /// load.
    pub(super) fn move_foreign_to_own_past(&mut self, size: Resources) {
        for past in &mut self.own_past {
            past.before = past.before + size;
        }
        self.foreign = self.foreign.map(|foreign| (foreign - size).at_least_zero());
    }

    pub(super) fn reset_foreign(&mut self) {
        (self.foreign, self.unaccounted) = (None, Resources::ZERO);
    }

    /// Learns foreign load from the requested resources of the node at some earlier time.
    ///
    /// Race: an observation lacks the attempts made since, and would erase them if it replaced the
    /// estimate. Own load is known exactly, so an observation only shows what was foreign then: its
    /// total less own load at that time. That time is not known exactly, so neither is own load
    /// then; the new figure gets the weight of the part that others have in it, squared, since the
    /// old figure holds that error too.
    pub(super) fn learn_foreign(&mut self, total: Resources, observed_at: Micros, schedulers: u32) {
        let own = self.own_at(observed_at);
        let is_alone = schedulers <= 1;
        let weight = (1.0 - 1.0 / f64::from(schedulers.max(1))).powi(2);
        let seen = Resources::from_fn(|kind| {
            if is_alone || !total[kind].is_finite() {
                0.0
            } else {
                (total[kind] - own[kind]).max(0.0)
            }
        });
        self.foreign = Some(match self.foreign {
            None => seen,
            Some(old) => Resources::from_fn(|kind| old[kind] + weight * (seen[kind] - old[kind])),
        });
    }

    /// Raises foreign load so that at most `free` of one resource is left of what the node accepts.
    ///
    /// `accepted` is the amount that it accepts of that resource.
    pub(super) fn raise_foreign(&mut self, kind: ResourceKind, accepted: f64, free: f64) {
        let least = accepted - free - self.own[kind];
        let foreign = self.foreign.get_or_insert(Resources::ZERO);
        foreign[kind] = foreign[kind].max(least);
    }

    pub(super) fn set_observed_at(&mut self, at: Micros) {
        self.observed_at = at;
    }

    /// Learns unaccounted load from the resources in use, and those expected to be in use without
    /// it.
    pub(super) fn learn_unaccounted(&mut self, kind: ResourceKind, used: f64, expected: f64) {
        let unaccounted = &mut self.unaccounted[kind];
        *unaccounted += UNACCOUNTED_LEARNING_RATE * (used - expected - *unaccounted);
    }

    fn set_own(&mut self, own: Resources, now: Micros, retention: Micros) {
        self.own_past
            .retain(|past| past.changed_at + retention > now);
        self.own_past.push_back(PastLoad {
            changed_at: now,
            before: self.own,
        });
        self.own = own.at_least_zero();
    }

    fn own_at(&self, time: Micros) -> Resources {
        let next_change = self.own_past.iter().find(|past| past.changed_at > time);
        next_change.map_or(self.own, |past| past.before)
    }
}

/// The mean load of several nodes, kept up to date as theirs changes.
#[derive(Clone, Copy, Default)]
pub(super) struct MeanLoad {
    sum: Resources,
    count: f64,
}

impl MeanLoad {
    /// Computed anew: sums that are kept for long accumulate rounding errors.
    pub(super) fn of(loads: impl Iterator<Item = Resources>) -> MeanLoad {
        let mut mean = MeanLoad::default();
        for load in loads {
            mean.add(load);
        }
        mean
    }

    /// Follows a change of one node's load.
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

    /// The mean; zero if there is no node.
    pub(super) fn get(&self) -> Resources {
        if self.count > 0.0 {
            self.sum.map(|sum| sum / self.count).at_least_zero()
        } else {
            Resources::ZERO
        }
    }
}

impl Scheduler {
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

    /// Learns foreign load from a report of what tasks request.
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
            node.load.observed_at = observed_at;
            self.mean_foreign_load.replace(before, node.load.foreign);
        }
    }
}
