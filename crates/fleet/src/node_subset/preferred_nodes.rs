//! The preferred nodes of recently used services, determined by rendezvous hashing over the whole fleet.

use super::NodeSubset;
use super::fleet_node::FleetNode;
use peppercove::{
    Micros, NodeEntry, NodeId, NodeKind, NodeStatus, PlacementRequest, ServiceId,
    preferred_node_rank,
};
use peppercove_core::Decide;
use std::collections::{BTreeMap, BTreeSet};

/// Number of visible preferred nodes per service: four times the number that the inner scheduler uses initially,
/// because the scheduler also ranks the same number of alternatives, and uses more nodes when tasks start in time.
const NODES_PER_SERVICE: usize = 8;

/// Number of services whose preferred nodes are cached, per service whose preferred nodes are visible.
const CACHED_SERVICES_PER_VISIBLE: u64 = 8;

/// A node and its rank for a service.
#[derive(Clone, Copy, Debug)]
struct RankedNode {
    rank: f64,
    node: NodeId,
}

/// The preferred nodes of one service.
#[derive(Debug)]
struct ServicePreference {
    /// The only node kind on which the service's tasks run; `None` if any kind is allowed.
    node_kind: Option<u8>,
    /// The preferred nodes, best first, at most [`NODES_PER_SERVICE`].
    ranked: Vec<RankedNode>,
    last_used_at: Micros,
    is_visible: bool,
}

impl ServicePreference {
    fn accepts(&self, entry: &NodeEntry) -> bool {
        self.node_kind.is_none_or(|kind| kind == entry.kind)
    }

    /// Returns the rank that another node must exceed to be preferred; `None` if fewer than [`NODES_PER_SERVICE`] nodes
    /// are ranked.
    fn rank_to_exceed(&self) -> Option<f64> {
        let is_full = self.ranked.len() == NODES_PER_SERVICE;
        self.ranked
            .last()
            .filter(|_| is_full)
            .map(|worst| worst.rank)
    }
}

/// The input of the ranking of preferred nodes.
#[derive(Clone, Copy)]
struct Ranking<'a> {
    fleet: &'a BTreeMap<NodeId, FleetNode>,
    node_kinds: &'a [NodeKind],
}

impl Ranking<'_> {
    fn rank(&self, service: ServiceId, entry: &NodeEntry) -> f64 {
        let kind = self.node_kinds.get(usize::from(entry.kind));
        preferred_node_rank(service, entry.node, kind.map_or(0.0, |kind| kind.cores))
    }

    /// Returns the preferred nodes of a service, best first; nodes of equal rank are ordered by id.
    fn best(&self, service: ServiceId, node_kind: Option<u8>) -> Vec<RankedNode> {
        let is_candidate = |entry: &&NodeEntry| {
            entry.state == NodeStatus::Ready && node_kind.is_none_or(|kind| kind == entry.kind)
        };
        let mut best: Vec<RankedNode> = Vec::with_capacity(NODES_PER_SERVICE + 1);
        for entry in self
            .fleet
            .values()
            .map(|node| &node.entry)
            .filter(is_candidate)
        {
            let rank = self.rank(service, entry);
            let is_incomplete = best.len() < NODES_PER_SERVICE;
            if is_incomplete || best.last().is_some_and(|worst| rank > worst.rank) {
                let position = best.partition_point(|better| better.rank >= rank);
                best.insert(
                    position,
                    RankedNode {
                        rank,
                        node: entry.node,
                    },
                );
                best.truncate(NODES_PER_SERVICE);
            }
        }
        best
    }
}

/// The preferred nodes of recently used services.
#[derive(Debug, Default)]
pub(super) struct PreferredNodes {
    services: BTreeMap<ServiceId, ServicePreference>,
    /// The visible preferred nodes, each with the number of visible services that prefer it.
    reference_counts: BTreeMap<NodeId, u32>,
}

impl PreferredNodes {
    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.reference_counts.contains_key(&node)
    }

    /// Returns the visible preferred nodes, in order of their ids.
    pub(super) fn nodes(&self) -> impl ExactSizeIterator<Item = NodeId> + '_ {
        self.reference_counts.keys().copied()
    }

    /// Returns the number of cached services.
    pub(super) fn services(&self) -> usize {
        self.services.len()
    }

    pub(super) fn clear(&mut self) {
        self.services.clear();
        self.reference_counts.clear();
    }

    /// Records a use of the service; returns whether its preferred nodes must still be made visible.
    fn mark_used(
        &mut self,
        service: ServiceId,
        now: Micros,
        create: impl FnOnce() -> ServicePreference,
    ) -> bool {
        let preference = self.services.entry(service).or_insert_with(create);
        preference.last_used_at = now;
        !preference.is_visible
    }

    /// Marks the preferred nodes of a service as visible or hidden, and returns them; empty if they already were.
    fn set_visible(&mut self, service: ServiceId, is_visible: bool) -> Vec<NodeId> {
        let preference = self.services.get_mut(&service);
        let Some(preference) = preference.filter(|preference| preference.is_visible != is_visible)
        else {
            return Vec::new();
        };
        preference.is_visible = is_visible;
        let nodes: Vec<NodeId> = preference.ranked.iter().map(|ranked| ranked.node).collect();
        for node in &nodes {
            if is_visible {
                self.add_reference(*node);
            } else {
                self.remove_reference(*node);
            }
        }
        nodes
    }

    fn add_reference(&mut self, node: NodeId) {
        *self.reference_counts.entry(node).or_insert(0) += 1;
    }

    fn remove_reference(&mut self, node: NodeId) {
        if let Some(count) = self.reference_counts.get_mut(&node) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.reference_counts.remove(&node);
            }
        }
    }

    /// Hides the least recently used services beyond `max_visible`, and removes those beyond the cache size, but never
    /// `in_use`. Returns the preferred nodes of the services that were hidden.
    fn evict(&mut self, in_use: ServiceId, max_visible: u64) -> Vec<NodeId> {
        let mut hidden = Vec::new();
        while self.visible_services() > max_visible
            && let Some(service) =
                self.least_recently_used(in_use, |preference| preference.is_visible)
        {
            hidden.extend(self.set_visible(service, false));
        }
        while self.services.len() as u64 > max_visible * CACHED_SERVICES_PER_VISIBLE
            && let Some(service) = self.least_recently_used(in_use, |_| true)
        {
            hidden.extend(self.set_visible(service, false));
            self.services.remove(&service);
        }
        hidden
    }

    fn visible_services(&self) -> u64 {
        self.services
            .values()
            .filter(|preference| preference.is_visible)
            .count() as u64
    }

    /// Returns the least recently used candidate other than `in_use`; if there are several, the one with the lowest id.
    fn least_recently_used(
        &self,
        in_use: ServiceId,
        is_candidate: impl Fn(&ServicePreference) -> bool,
    ) -> Option<ServiceId> {
        self.services
            .iter()
            .filter(|(service, preference)| **service != in_use && is_candidate(preference))
            .min_by_key(|(_, preference)| preference.last_used_at)
            .map(|(service, _)| *service)
    }

    /// Returns the services whose preferred nodes may have changed because these nodes became ready or stopped being
    /// ready.
    fn stale_services(&self, changed: &BTreeSet<NodeId>, ranking: Ranking<'_>) -> Vec<ServiceId> {
        let newly_ready: Vec<&NodeEntry> = changed
            .iter()
            .filter_map(|node| ranking.fleet.get(node))
            .map(|node| &node.entry)
            .filter(|entry| entry.state == NodeStatus::Ready)
            .collect();
        let is_stale = |service: ServiceId, preference: &ServicePreference| {
            let rank_to_exceed = preference.rank_to_exceed();
            let is_better = |entry: &&NodeEntry| {
                preference.accepts(entry)
                    && rank_to_exceed.is_none_or(|worst| ranking.rank(service, entry) > worst)
            };
            preference
                .ranked
                .iter()
                .any(|ranked| changed.contains(&ranked.node))
                || newly_ready.iter().any(is_better)
        };
        self.services
            .iter()
            .filter(|(service, preference)| is_stale(**service, preference))
            .map(|(service, _)| *service)
            .collect()
    }

    /// Recomputes the preferred nodes of a service; returns the previous ones if they were visible.
    ///
    /// A service whose preferred nodes are not visible is removed; they are ranked when it is used again.
    fn refresh(&mut self, service: ServiceId, ranking: Ranking<'_>) -> Vec<NodeId> {
        let Some(preference) = self.services.get(&service) else {
            return Vec::new();
        };
        if !preference.is_visible {
            self.services.remove(&service);
            return Vec::new();
        }
        let best = ranking.best(service, preference.node_kind);
        let before = self.set_visible(service, false);
        if let Some(preference) = self.services.get_mut(&service) {
            preference.ranked = best;
        }
        self.set_visible(service, true);
        before
    }
}

impl<D: Decide> NodeSubset<D> {
    /// Makes the preferred nodes of the request's service visible, and hides those of the least recently used services
    /// if there are too many.
    pub(super) fn show_preferred_nodes(&mut self, request: &PlacementRequest) -> Vec<NodeEntry> {
        let service = request.service;
        let ranking = Ranking {
            fleet: &self.fleet,
            node_kinds: &self.settings.node_kinds,
        };
        let class = self.settings.classes.get(usize::from(request.class));
        let create = || {
            let node_kind = class.and_then(|class| class.node_kind);
            let ranked = ranking.best(service, node_kind);
            ServicePreference {
                node_kind,
                ranked,
                last_used_at: self.now,
                is_visible: false,
            }
        };
        if !self.preferred.mark_used(service, self.now, create) {
            return Vec::new();
        }
        let mut changed = self.preferred.set_visible(service, true);
        let max_visible = (self.target_size / NODES_PER_SERVICE as u64).max(1);
        changed.extend(self.preferred.evict(service, max_visible));
        self.update_visibility(changed)
    }

    /// Recomputes the preferred nodes of the services that are affected by nodes that became ready or stopped being
    /// ready: a lost preferred node is replaced by the next best one, and a new node may rank higher. Returns the nodes
    /// that these services preferred before.
    pub(super) fn refresh_preferred_nodes(&mut self, changed: &BTreeSet<NodeId>) -> Vec<NodeId> {
        if changed.is_empty() {
            return Vec::new();
        }
        let ranking = Ranking {
            fleet: &self.fleet,
            node_kinds: &self.settings.node_kinds,
        };
        let stale = self.preferred.stale_services(changed, ranking);
        let preferred = &mut self.preferred;
        stale
            .into_iter()
            .flat_map(|service| preferred.refresh(service, ranking))
            .collect()
    }
}
