//! Usage estimates: how much of their requested resources tasks use, learned from reports.

use super::Scheduler;
use super::load_estimate::MIN_CAPACITY;
use crate::api::{
    LoadBasis, LoadReport, NodeId, PlacementRequest, ResourceKind, Resources, Settings,
};

/// Weight of a new sample of the usage ratio in the moving average, equivalent to about forty
/// samples, since use varies between tasks.
const USAGE_LEARNING_RATE: f64 = 0.025;
/// Usage ratios are capped at this value before they are learned, to limit the effect of outliers.
const MAX_USAGE_RATIO: f64 = 2.0;
/// Minimum requested fraction of a node from which its utilization is used. Utilization of an
/// emptier node shows little about the usage by tasks.
const MIN_REQUESTED_SHARE: f64 = 0.25;

/// Ratio of used to requested resources, learned over all nodes.
#[derive(Clone, Copy)]
pub(super) struct UsageRatio(Resources);

impl UsageRatio {
    /// Returns the initial ratio: a node on which all that it accepts is requested is assumed to be
    /// fully used.
    pub(super) fn new(settings: &Settings) -> UsageRatio {
        UsageRatio(
            settings
                .overcommit()
                .map(|overcommit| 1.0 / overcommit.max(1.0)),
        )
    }

    pub(super) fn get(self, kind: ResourceKind) -> f64 {
        self.0[kind]
    }

    /// Returns the memory that a task of this size is expected to use.
    pub(super) fn expected_memory(self, spec: &PlacementRequest) -> f64 {
        spec.memory * self.0.memory
    }

    pub(super) fn learn(&mut self, kind: ResourceKind, used: f64, requested: f64) {
        if used.is_finite() && requested > 0.0 && used >= 0.0 {
            let ratio = (used / requested).min(MAX_USAGE_RATIO);
            self.0[kind] += USAGE_LEARNING_RATE * (ratio - self.0[kind]);
        }
    }
}

/// Fractions of the resources of a node that are in use, where reported.
#[derive(Clone, Copy)]
pub(super) struct Utilization {
    cores: Option<f64>,
    memory: Option<f64>,
}

impl Utilization {
    /// Extracts the utilization from a load report.
    pub(super) fn reported(
        report: &LoadReport,
        basis: LoadBasis,
        capacity: Resources,
    ) -> Utilization {
        match basis {
            LoadBasis::Requested => Utilization {
                cores: report.cpu_utilization,
                memory: None,
            },
            LoadBasis::Used => Utilization {
                cores: used_share(report.free_cores, capacity.cores).or(report.cpu_utilization),
                memory: used_share(report.free_memory, capacity.memory),
            },
        }
    }

    fn get(self, kind: ResourceKind) -> Option<f64> {
        match kind {
            ResourceKind::Cores => self.cores,
            ResourceKind::Memory => self.memory,
        }
    }
}

/// Computes the used fraction of a resource from its free amount.
fn used_share(free: Option<f64>, capacity: f64) -> Option<f64> {
    free.map(|free| 1.0 - free / capacity.max(MIN_CAPACITY))
}

impl Scheduler {
    /// Updates the usage ratio from the utilization of a node.
    ///
    /// `requested` is the amount requested by its tasks before the report was processed.
    pub(super) fn learn_usage(
        &mut self,
        id: NodeId,
        utilization: Utilization,
        requested: Resources,
    ) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let capacity = node.capacity;
        for kind in ResourceKind::ALL {
            let is_significant = requested[kind] > capacity[kind] * MIN_REQUESTED_SHARE;
            if let Some(share) = utilization.get(kind).filter(|_| is_significant) {
                let used = share * capacity[kind];
                self.usage_ratio.learn(kind, used, requested[kind]);
            }
        }
    }

    /// Updates the unaccounted load of a node.
    pub(super) fn learn_unaccounted_load(&mut self, id: NodeId, utilization: Utilization) {
        let mean_foreign = self.mean_foreign_load.get();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let (capacity, requested) = (node.capacity, node.load.requested(mean_foreign));
        for kind in ResourceKind::ALL {
            if let Some(share) = utilization.get(kind).filter(|share| share.is_finite()) {
                let expected = requested[kind] * self.usage_ratio.get(kind);
                let used = share * capacity[kind];
                node.load.learn_unaccounted(kind, used, expected);
            }
        }
    }
}
