//! Node pools: ready nodes counted by zone and kind, and how many replica slots count in each pool.

use crate::replica_slots::SLOW_START_SLOTS;
use peppercove::{NodeEntry, NodeStatus};
use std::collections::BTreeMap;

/// Nodes of each kind in each zone that a subset has on average, where there are that many.
///
/// A keyed task whose deduplication scope is its zone then finds another node there, and the loss of a zone takes no
/// kind of node out of a subset.
pub const MIN_NODES_PER_ZONE_AND_KIND: u64 = 16;

/// Slot count that stands for all slots: every node of the pool is in every subset.
pub(crate) const ALL_SLOTS: u32 = u32::MAX;

/// Share of a pool from which on the whole pool is in each subset: leaving out the rest would save nothing.
const WHOLE_POOL_SHARE: f64 = 0.9;

/// A slot count is replaced once it is off by more than this fraction of itself: one eighth.
const SLOT_COUNT_TOLERANCE_DIVISOR: u32 = 8;

/// The nodes of one kind in one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodePool {
    zone: u8,
    kind: u8,
}

impl From<&NodeEntry> for NodePool {
    fn from(entry: &NodeEntry) -> NodePool {
        NodePool {
            zone: entry.zone,
            kind: entry.kind,
        }
    }
}

/// Number of slots that put a node into `share` of the subsets; several slots may have the same owner.
fn slot_count_for(share: f64, schedulers: u32) -> u32 {
    // Natural logarithm of the probability that one slot is not owned by a given scheduler.
    let ln_missed = (1.0 - 1.0 / f64::from(schedulers.max(1))).ln();
    let minimum = f64::from(SLOW_START_SLOTS);
    let slots = if share < WHOLE_POOL_SHARE {
        ((1.0 - share).ln() / ln_missed).ceil().max(minimum)
    } else {
        f64::INFINITY
    };
    let reached = 1.0 - (ln_missed * slots).exp();
    if reached < WHOLE_POOL_SHARE {
        slots as u32
    } else {
        ALL_SLOTS
    }
}

/// The node pools of the fleet.
#[derive(Debug)]
pub(crate) struct Topology {
    /// Nodes that a subset has of each pool at least, on average.
    min_nodes_per_pool: u64,
    /// Nodes that accept tasks, by pool; no pool has none.
    ready_counts: BTreeMap<NodePool, u64>,
    /// Replica slots that count, by pool; all where a pool is missing.
    slot_counts: BTreeMap<NodePool, u32>,
}

impl Topology {
    pub(crate) fn new(min_nodes_per_pool: u64) -> Topology {
        Topology {
            min_nodes_per_pool,
            ready_counts: BTreeMap::new(),
            slot_counts: BTreeMap::new(),
        }
    }

    /// Replaces a node's entry. `before` is `None` for a new node, `after` for one that has left the list.
    pub(crate) fn replace(&mut self, before: Option<&NodeEntry>, after: Option<&NodeEntry>) {
        let is_ready = |entry: &&NodeEntry| entry.state == NodeStatus::Ready;
        if let Some(entry) = before.filter(is_ready) {
            self.remove_ready(NodePool::from(entry));
        }
        if let Some(entry) = after.filter(is_ready) {
            *self.ready_counts.entry(NodePool::from(entry)).or_insert(0) += 1;
        }
    }

    fn remove_ready(&mut self, pool: NodePool) {
        if let Some(count) = self.ready_counts.get_mut(&pool) {
            *count -= 1;
            if *count == 0 {
                self.ready_counts.remove(&pool);
            }
        }
    }

    /// Number of nodes that accept tasks.
    pub(crate) fn ready_nodes(&self) -> u64 {
        self.ready_counts.values().sum()
    }

    /// Number of nodes in a subset of `target_size` together with the minimum of each pool.
    pub(crate) fn subset_size(&self, target_size: u64) -> u64 {
        target_size.saturating_add(self.min_nodes_per_pool * self.ready_counts.len() as u64)
    }

    /// Recomputes the slot counts; returns whether any has changed.
    ///
    /// The ready count of a pool varies with every node that comes or goes, and each change of a slot count moves
    /// nodes into and out of subsets. A slot count therefore stays until it is off by more than an eighth.
    pub(crate) fn update_slot_counts(&mut self, target_size: u64, schedulers: u32) -> bool {
        let fleet_share = target_size as f64 / self.ready_nodes().max(1) as f64;
        let mut has_changed = false;
        self.slot_counts
            .retain(|pool, _| self.ready_counts.contains_key(pool));
        for (pool, count) in &self.ready_counts {
            let pool_share = self.min_nodes_per_pool as f64 / *count as f64;
            let wanted = slot_count_for(fleet_share.max(pool_share), schedulers);
            let current = self.slot_counts.get(pool).copied();
            let is_off =
                |current: u32| current.abs_diff(wanted) > current / SLOT_COUNT_TOLERANCE_DIVISOR;
            if current.is_none_or(is_off) {
                self.slot_counts.insert(*pool, wanted);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Replica slots that count in a pool: a node is in the subsets of the owners of its first slots, this many.
    pub(crate) fn slot_count(&self, pool: NodePool) -> u32 {
        self.slot_counts.get(&pool).copied().unwrap_or(ALL_SLOTS)
    }
}
