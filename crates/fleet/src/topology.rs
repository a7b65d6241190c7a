//! Node pools: the ready nodes by zone and kind, and the number of replica slots in use in each pool.

use crate::replica_slots::SLOW_START_SLOTS;
use peppercove::{NodeEntry, NodeStatus};
use std::collections::BTreeMap;

/// Minimum number of nodes of each kind in each zone in a subset, on average, if the fleet has that many.
///
/// A keyed task whose deduplication scope is its zone can then be retried on another node of the zone, and the loss of
/// a zone does not remove a node kind from a subset.
pub const MIN_NODES_PER_ZONE_AND_KIND: u64 = 16;

/// Slot count that means all slots: every node of the pool is in every subset.
pub(crate) const ALL_SLOTS: u32 = u32::MAX;

/// Share of a pool above which each subset contains the whole pool, because leaving out the rest gains nothing.
const WHOLE_POOL_SHARE: f64 = 0.9;

/// A slot count is replaced when it differs from the computed one by more than one eighth of itself.
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

/// Returns the number of slots that puts a node into `share` of the subsets, considering that several slots may have
/// the same owner.
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
    /// Minimum number of nodes of each pool in a subset, on average.
    min_nodes_per_pool: u64,
    /// Number of nodes that accept tasks, by pool; pools without such nodes are not listed.
    ready_counts: BTreeMap<NodePool, u64>,
    /// Number of replica slots in use, by pool; all slots if a pool is missing.
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

    /// Updates the counts for a changed node entry. `before` is `None` for a new node, `after` for one that has left
    /// the list.
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

    /// Returns the number of nodes that accept tasks.
    pub(crate) fn ready_nodes(&self) -> u64 {
        self.ready_counts.values().sum()
    }

    /// Returns the size of a subset with `target_size` nodes plus the minimum number of nodes of each pool.
    pub(crate) fn subset_size(&self, target_size: u64) -> u64 {
        target_size.saturating_add(self.min_nodes_per_pool * self.ready_counts.len() as u64)
    }

    /// Recomputes the slot counts; returns whether any has changed.
    ///
    /// The ready count of a pool changes with every node that joins or leaves, and each change of a slot count moves
    /// nodes into and out of subsets. Therefore a slot count is kept until it differs by more than one eighth.
    pub(crate) fn update_slot_counts(&mut self, target_size: u64, schedulers: u32) -> bool {
        let fleet_share = target_size as f64 / self.ready_nodes().max(1) as f64;
        let mut has_changed = false;
        self.slot_counts
            .retain(|pool, _| self.ready_counts.contains_key(pool));
        for (pool, count) in &self.ready_counts {
            let pool_share = self.min_nodes_per_pool as f64 / *count as f64;
            let wanted = slot_count_for(fleet_share.max(pool_share), schedulers);
            let current = self.slot_counts.get(pool).copied();
            let is_outdated =
                |current: u32| current.abs_diff(wanted) > current / SLOT_COUNT_TOLERANCE_DIVISOR;
            if current.is_none_or(is_outdated) {
                self.slot_counts.insert(*pool, wanted);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns the number of replica slots in use in a pool: a node is in the subsets of the owners of its first slots,
    /// up to this number.
    pub(crate) fn slot_count(&self, pool: NodePool) -> u32 {
        self.slot_counts.get(&pool).copied().unwrap_or(ALL_SLOTS)
    }
}
