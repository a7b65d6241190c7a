//! Preferred nodes of a service: nodes that all schedulers select for it without communication, so
//! that its program tends to be cached there.

use super::hash::{mix_bits, unit_interval};
use super::load_estimate::MIN_CAPACITY;
use super::node::Node;
use super::placement::Placement;
use crate::api::{NodeId, ServiceId};
use std::cell::Cell;
use std::cmp::Ordering;

/// Number of preferred nodes of a service before any start has been observed: the smallest number
/// that leaves a choice.
const INITIAL_COUNT: f64 = 2.0;
/// Target fraction of timely starts on preferred nodes. The number of preferred nodes grows until
/// about one start in five finds no program there; a lower number would concentrate the load of a
/// service for little gain.
const TARGET_TIMELY_SHARE: f64 = 0.8;
/// Weight of one start in the adjustment of the number of preferred nodes.
const COUNT_LEARNING_RATE: f64 = 0.5;
/// Factor by which more nodes are ranked than preferred, so that lower-ranked nodes can replace
/// preferred ones that lack memory.
const RANKED_PER_PREFERRED: usize = 2;

/// Returns the rank of a node for a service. The nodes with the highest ranks are preferred.
///
/// This is weighted rendezvous hashing: each scheduler computes the same ranks, and the probability
/// that a node is among the first is proportional to its `cores`.
pub fn preferred_node_rank(service: ServiceId, node: NodeId, cores: f64) -> f64 {
    let uniform = unit_interval(mix_bits(service.0 ^ mix_bits(node.0)));
    uniform.max(f64::MIN_POSITIVE).ln() / cores.max(MIN_CAPACITY)
}

/// Number of preferred nodes of the services of each class, learned from their starts.
pub(super) struct PreferredNodeCounts {
    by_class: Vec<f64>,
}

impl PreferredNodeCounts {
    pub(super) fn new(classes: usize) -> PreferredNodeCounts {
        PreferredNodeCounts {
            by_class: vec![INITIAL_COUNT; classes],
        }
    }

    fn get(&self, class: u16) -> usize {
        self.by_class[usize::from(class)].round() as usize
    }

    /// Adjusts the number of preferred nodes of a class after a start.
    ///
    /// The number of tasks of a service is unknown. If starts on its preferred nodes are often
    /// late, it has too many of them for its tasks.
    ///
    /// `nodes` is the total number of nodes.
    pub(super) fn learn(&mut self, class: u16, is_timely: bool, nodes: usize) {
        let observed_share = if is_timely { 1.0 } else { 0.0 };
        let count = &mut self.by_class[usize::from(class)];
        let adjusted =
            *count * (1.0 + (observed_share - TARGET_TIMELY_SHARE) * COUNT_LEARNING_RATE);
        *count = adjusted.clamp(1.0, nodes.max(1) as f64);
    }
}

/// The set of preferred nodes of a service.
///
/// The number of preferred nodes may grow with the number of nodes. They are sorted, since
/// comparing each node with each preferred node would take quadratic time.
struct PreferredNodes<'a> {
    sorted: Vec<NodeId>,
    /// Number of nodes examined or compared, see
    /// [`Scheduler::comparisons`](super::Scheduler::comparisons).
    comparisons: &'a Cell<u64>,
}

impl<'a> PreferredNodes<'a> {
    fn new(nodes: impl Iterator<Item = NodeId>, comparisons: &'a Cell<u64>) -> PreferredNodes<'a> {
        let mut sorted: Vec<NodeId> = nodes.collect();
        sorted.sort_unstable();
        PreferredNodes {
            sorted,
            comparisons,
        }
    }

    fn contains(&self, node: NodeId) -> bool {
        let compare = |preferred: &NodeId| {
            self.comparisons.set(self.comparisons.get() + 1);
            preferred.cmp(&node)
        };
        self.sorted.binary_search_by(compare).is_ok()
    }
}

struct RankedNode<'a> {
    rank: f64,
    node: &'a Node,
}

impl RankedNode<'_> {
    fn by_descending_rank(&self, other: &Self) -> Ordering {
        other
            .rank
            .total_cmp(&self.rank)
            .then(self.node.id().cmp(&other.node.id()))
    }
}

/// Sorts the items and keeps the first `count`.
fn truncate_to_first<T>(items: &mut Vec<T>, count: usize, order: impl Fn(&T, &T) -> Ordering) {
    if count < items.len() {
        if count > 0 {
            items.select_nth_unstable_by(count - 1, &order);
        }
        items.truncate(count);
    }
    items.sort_unstable_by(order);
}

impl Placement<'_> {
    /// Keeps nodes that have the program, and the preferred nodes of the service.
    ///
    /// A scheduler does not see where other schedulers have started a program. With many schedulers
    /// the tasks of a service would otherwise keep starting on nodes without it.
    pub(super) fn retain_preferred(&self, nodes: &mut Vec<&Node>) {
        let service = self.request.spec.service;
        let preferred = self.preferred_among(nodes);
        nodes.retain(|node| node.programs.contains(service) || preferred.contains(node.id()));
    }

    fn preferred_among(&self, nodes: &[&Node]) -> PreferredNodes<'_> {
        let spec = &self.request.spec;
        let rank = |node: &Node| preferred_node_rank(spec.service, node.id(), node.capacity.cores);
        let mut ranked: Vec<RankedNode<'_>> = nodes
            .iter()
            .map(|&node| RankedNode {
                rank: rank(node),
                node,
            })
            .collect();
        let count = self.scheduler.preferred_counts.get(spec.class);
        truncate_to_first(
            &mut ranked,
            count * RANKED_PER_PREFERRED,
            RankedNode::by_descending_rank,
        );
        let mut ranked: Vec<&Node> = ranked.into_iter().map(|ranked| ranked.node).collect();
        self.retain_with_free_memory(&mut ranked);
        let preferred = ranked.into_iter().take(count).map(Node::id);
        PreferredNodes::new(preferred, &self.scheduler.comparisons)
    }
}
