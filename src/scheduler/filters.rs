//! Filters: which nodes are feasible for a task.
//!
//! Each filter is a separate function. A node is feasible if it passes all of them.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::node::Node;
use super::placement::{CountedLoad, Placement};
use crate::api::{DedupScope, Idempotency, Resources, TopologySpread};

impl Placement<'_> {
    pub(super) fn is_feasible(&self, node: &Node) -> bool {
        node.is_ready()
            && self.has_required_kind(node)
            && self.fits(node)
            && self.is_outside_backoff(node)
            && self.dedup_scope_allows(node)
            && self.topology_spread_allows(node)
            && self.scheduler.slow_start_allows(node)
    }

    fn has_required_kind(&self, node: &Node) -> bool {
        self.class
            .node_kind
            .is_none_or(|kind| kind == node.entry.kind)
    }

    fn fits(&self, node: &Node) -> bool {
        let spec = &self.request.spec;
        let usable_share = self.scheduler.headroom.usable_share(spec.class);
        let (size, now) = (spec.resources(), self.scheduler.now);
        !node.rejected_size.covers(size, now)
            && self
                .scheduler
                .has_capacity(node, size, usable_share, self.requested(node))
    }

    fn requested(&self, node: &Node) -> Resources {
        match self.counted_load {
            CountedLoad::All => node.load.requested(self.mean_foreign_load),
            CountedLoad::Reported => node.load.requested_if_reported(self.mean_foreign_load),
        }
    }

    /// A node that does not respond, or that fails the tasks of one tenant and class, has a low
    /// score and would attract task after task. Backoffs exclude it from the tasks that failed. An
    /// unresponsive node is tried only with an idempotent task.
    fn is_outside_backoff(&self, node: &Node) -> bool {
        let now = self.scheduler.now;
        let allows_trial = self.class.idempotency == Idempotency::Idempotent;
        node.backoffs
            .allows(BackoffScope::Unresponsive, allows_trial, now)
            && node.backoffs.allows(BackoffScope::QueueFull, true, now)
            && node
                .backoffs
                .allows(BackoffScope::of_tasks(&self.request.spec), true, now)
    }

    /// Invariant: a task with an idempotency key that may have run is sent only to nodes within the
    /// deduplication scope of its key. Other nodes would start it a second time, such as one that
    /// has taken over the address of a node since.
    fn dedup_scope_allows(&self, node: &Node) -> bool {
        let Some(first) = self.request.first_possible_start() else {
            return true;
        };
        let may_be_another = self.scheduler.broken_connections.may_be_another(
            node.id(),
            first.sent_at,
            self.scheduler.now,
        );
        let is_same_zone = !may_be_another && node.entry.zone == first.zone;
        self.scheduler.may_retry(self.request)
            && match self.class.idempotency {
                Idempotency::Keyed {
                    scope: DedupScope::Zone,
                    ..
                } => is_same_zone,
                Idempotency::Keyed {
                    scope: DedupScope::Rack,
                    ..
                } => is_same_zone && node.entry.rack == first.rack,
                Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
                | Idempotency::Idempotent
                | Idempotency::NonIdempotent => true,
            }
    }

    /// Invariant: a topology domain holds at most as many tasks of a service as the class allows.
    /// Attempts that have not ended count as tasks.
    fn topology_spread_allows(&self, node: &Node) -> bool {
        let spread = self.class.topology_spread;
        spread == TopologySpread::Off
            || self.service_tasks.count_in(node.topology_domain(spread)) < self.class.max_per_domain
    }
}

impl Scheduler {
    /// Whether a task of this size fits into the given fraction of the capacity that the node
    /// accepts, beside the resources that are requested.
    pub(super) fn has_capacity(
        &self,
        node: &Node,
        size: Resources,
        usable_share: f64,
        requested: Resources,
    ) -> bool {
        let (overcommit, capacity) = (self.settings.overcommit(), node.capacity);
        requested.cores + size.cores <= usable_share * overcommit.cores * capacity.cores
            && requested.memory + size.memory <= usable_share * overcommit.memory * capacity.memory
    }
}
