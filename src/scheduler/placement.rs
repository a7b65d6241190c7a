//! The steps of a placement: filter, prefer, score, sample, dispatch.

use super::Scheduler;
use super::node::Node;
use super::request::TrackedRequest;
use super::sampling::{self, ScoredNode};
use super::topology::DomainCounts;
use crate::api::{NodeId, RequestId, Resources, TaskClass};

/// The inputs of one placement.
///
/// The filters are in `filters.rs`, the preferences in `preferences.rs`.
pub(super) struct Placement<'a> {
    pub(super) scheduler: &'a Scheduler,
    pub(super) request: &'a TrackedRequest,
    pub(super) class: &'a TaskClass,
    /// Assumed foreign load of nodes whose foreign load is unknown.
    pub(super) mean_foreign_load: Resources,
    /// Number of tasks of the same service, by topology domain.
    pub(super) service_tasks: DomainCounts,
    /// Which tasks count towards the load of a node.
    pub(super) counted_load: CountedLoad,
}

/// Which tasks count towards the load of a node.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CountedLoad {
    /// All tasks.
    All,
    /// All but unconfirmed tasks that the node does not report.
    Reported,
}

impl<'a> Placement<'a> {
    fn new(
        scheduler: &'a Scheduler,
        request: &'a TrackedRequest,
        counted_load: CountedLoad,
    ) -> Placement<'a> {
        let class = scheduler.class(request.spec.class);
        Placement {
            scheduler,
            request,
            class,
            mean_foreign_load: scheduler.mean_foreign_load.get(),
            service_tasks: scheduler
                .count_service_tasks(request.spec.service, class.topology_spread),
            counted_load,
        }
    }

    /// Returns the nodes to sample from, with their scores: those feasible nodes that are
    /// preferred.
    ///
    /// If `among` is `Some`, only those nodes are considered. A preference that no node meets is
    /// skipped, so an empty result means that no node is feasible.
    fn candidates(&self, among: Option<&[NodeId]>) -> Vec<ScoredNode> {
        let mut nodes = self.feasible_nodes(among);
        self.retain_active(&mut nodes);
        self.retain_preferred(&mut nodes);
        self.retain_with_free_memory(&mut nodes);
        self.retain_timely(&mut nodes);
        let scored = nodes.iter().map(|node| ScoredNode {
            node: node.id(),
            cores: node.capacity.cores,
            score: self.scheduler.score(node, self.mean_foreign_load),
        });
        scored.collect()
    }

    fn feasible_nodes(&self, among: Option<&[NodeId]>) -> Vec<&'a Node> {
        let nodes = &self.scheduler.nodes;
        let comparisons = &self.scheduler.comparisons;
        let examined = among.map_or(nodes.len(), <[NodeId]>::len);
        comparisons.set(comparisons.get() + examined as u64);
        let is_feasible = |node: &&Node| self.is_feasible(node);
        match among {
            Some(ids) => ids
                .iter()
                .filter_map(|id| nodes.get(id))
                .filter(is_feasible)
                .collect(),
            None => nodes.values().filter(is_feasible).collect(),
        }
    }
}

impl Scheduler {
    /// Whether there are handed-over tasks that their nodes do not report.
    fn has_unreported_tasks(&self) -> bool {
        let mut nodes = self.nodes.values();
        nodes.any(|node| node.load.has_unreported_tasks())
    }

    /// Dispatches the request to a node. Returns false if no node can take it now.
    ///
    /// If `among` is `Some`, only those nodes are considered.
    pub(super) fn try_place(&mut self, id: RequestId, among: Option<&[NodeId]>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return true;
        };
        let is_too_late = request.deadline <= self.now + self.answer_margin();
        if is_too_late || self.now < request.backoff_until {
            return false;
        }
        let mut candidates = Placement::new(self, request, CountedLoad::All).candidates(among);
        if candidates.is_empty() && self.has_unreported_tasks() {
            // Nodes may look full only because of tasks that no node runs. If they are full, they
            // reject the task, which does no harm.
            candidates = Placement::new(self, request, CountedLoad::Reported).candidates(among);
        }
        let Some(node) = sampling::sample(candidates, &mut self.rng) else {
            return false;
        };
        self.dispatch(id, node);
        true
    }
}
