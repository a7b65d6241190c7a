//! Preferred nodes of a service: where its program is, or will be, without a message between
//! schedulers.

use super::hash::{mix_bits, unit_interval};
use super::load_estimate::MIN_CAPACITY;
use super::node::Node;
use super::placement::Placement;
use crate::api::{NodeId, ServiceId};
use std::cell::Cell;
use std::cmp::Ordering;

/// Preferred nodes of a service before any start is seen: the fewest that leave a choice.
const INITIAL_COUNT: f64 = 2.0;
/// Share of the starts on preferred nodes wanted in time: more nodes spread a service until about
/// one start in five finds no program there; fewer would crowd it for little.
const TIMELY_SHARE: f64 = 0.8;
/// How far the count follows one start.
const COUNT_LEARNING_RATE: f64 = 0.5;
/// As many nodes again stand in for preferred ones that run short of memory.
const RANKED_PER_PREFERRED: usize = 2;

/// Rank of a node for a service: nodes of the highest ranks are preferred.
///
/// Weighted rendezvous hashing: each scheduler computes the same ranks, and a node is among the
/// first with a probability in proportion to its `cores`.
pub fn preferred_node_rank(service: ServiceId, node: NodeId, cores: f64) -> f64 {
    let uniform = unit_interval(mix_bits(service.0 ^ mix_bits(node.0)));
    uniform.max(f64::MIN_POSITIVE).ln() / cores.max(MIN_CAPACITY)
}

/// How many preferred nodes the services of each class have, learned from their starts.
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

    /// The number of a service's tasks is not known: preferred nodes that are often late are too
    /// many for it.
    ///
    /// `nodes` is the number of all nodes.
    pub(super) fn learn(&mut self, class: u16, is_timely: bool, nodes: usize) {
        let timely = if is_timely { 1.0 } else { 0.0 };
        let count = &mut self.by_class[usize::from(class)];
        let changed = *count * (1.0 + (timely - TIMELY_SHARE) * COUNT_LEARNING_RATE);
        *count = changed.clamp(1.0, nodes.max(1) as f64);
    }
}

/// The preferred nodes of a service, to be compared with many nodes.
///
/// They may be learned to grow with the nodes, and each compared with each would cost the square;
/// so they are sorted.
struct PreferredNodes<'a> {
    sorted: Vec<NodeId>,
    /// Counts the comparisons.
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

/// Leaves the first `count` items in this order, sorted.
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
    /// With many schedulers none sees where the others left a program, and its tasks would start on
    /// ever new nodes.
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
