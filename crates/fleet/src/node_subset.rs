//! The bounded subset of a large fleet that one scheduler works with.
//!
//! Visible to the inner module are
//! - the nodes of which this scheduler owns one of the first replica slots ([`crate::replica_slots`]): as many slots
//!   count as give each subset about [`TARGET_SUBSET_SIZE`] nodes and some of each kind in each zone, and put each
//!   node into several subsets;
//! - the preferred nodes of recently used services (`preferred_nodes`): the module ranks them over the whole fleet,
//!   and all schedulers find the same ones only if they see them;
//! - the rack of a keyed task that may have run and may be retried within its rack alone (`retry_racks`);
//! - while a request waits that no visible node can take, a section of the other nodes, and after a while the next
//!   section (`expansion`).
//!
//! The inner module is not told of the other nodes. A node that stops being visible is reported to it as gone, so that
//! nothing new is sent there; tasks that run there are still counted in their topology domain.

mod decide;
mod expansion;
mod fleet_node;
mod handed_over;
mod node_list;
mod pending_requests;
mod preferred_nodes;
mod retry_racks;
mod visibility;

use crate::topology::{MIN_NODES_PER_ZONE_AND_KIND, Topology};
use expansion::Expansion;
use fleet_node::FleetNode;
use handed_over::HandedOverTasks;
use pending_requests::PendingRequests;
use peppercove::{Micros, NodeId, Scheduler, Settings};
use peppercove_core::Decide;
use preferred_nodes::PreferredNodes;
use retry_racks::RetryRacks;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes of a subset, beside the minimum of each zone and kind. A fleet that is no larger is visible as a whole.
pub const TARGET_SUBSET_SIZE: u64 = 1024;

/// What decides in a production process: the decision module behind its node subset.
pub type SubsetScheduler = NodeSubset<Scheduler>;

/// A decision module that works with a bounded subset of the fleet.
#[derive(Debug)]
pub struct NodeSubset<D> {
    inner: D,
    settings: Settings,
    target_size: u64,
    /// Latest time that was passed to [`Decide::decide`].
    now: Micros,
    /// Version of the node list held.
    list_version: u64,
    /// The fleet is larger than the subset.
    is_bounded: bool,
    /// Until then other schedulers may not know yet that subsets have become bounded, or have ceased to be; 0 where
    /// all know.
    bound_unsettled_until: Micros,
    /// The nodes as the list names them. A subset that is not bounded is all of them.
    fleet: BTreeMap<NodeId, FleetNode>,
    topology: Topology,
    /// Nodes that the inner module has been told of as they are; empty where the subset is not bounded.
    visible: BTreeSet<NodeId>,
    preferred: PreferredNodes,
    retry_racks: RetryRacks,
    expansion: Expansion,
    pending: PendingRequests,
    handed_over: HandedOverTasks,
}

/// Number of entries in each table that a [`NodeSubset`] keeps beside the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Visible nodes of a bounded subset.
    pub visible_nodes: usize,
    /// Services whose preferred nodes are remembered.
    pub services: usize,
    /// Nodes that are visible because a service prefers them.
    pub preferred_nodes: usize,
    /// Racks that are visible as a whole.
    pub retry_racks: usize,
    /// Nodes that are visible because a request waits.
    pub expansion_nodes: usize,
    /// Requests without an answer.
    pub pending_requests: usize,
    /// Nodes that the list has not named yet and where tasks run that were handed over.
    pub unlisted_nodes: usize,
}

impl<D: Decide> NodeSubset<D> {
    /// Wraps a module that has just started with these settings.
    pub fn new(inner: D, settings: &Settings) -> NodeSubset<D> {
        NodeSubset::with_target_size(inner, settings, TARGET_SUBSET_SIZE)
    }

    /// As [`NodeSubset::new`], with another number of nodes in place of [`TARGET_SUBSET_SIZE`], for tests and
    /// measurements.
    pub fn with_target_size(inner: D, settings: &Settings, target_size: u64) -> NodeSubset<D> {
        NodeSubset::with_target_sizes(inner, settings, target_size, MIN_NODES_PER_ZONE_AND_KIND)
    }

    /// As [`NodeSubset::with_target_size`], also with another number of nodes in place of
    /// [`MIN_NODES_PER_ZONE_AND_KIND`], for small fleets.
    pub fn with_target_sizes(
        inner: D,
        settings: &Settings,
        target_size: u64,
        min_nodes_per_pool: u64,
    ) -> NodeSubset<D> {
        NodeSubset {
            inner,
            settings: settings.clone(),
            target_size,
            now: 0,
            list_version: 0,
            is_bounded: false,
            bound_unsettled_until: 0,
            fleet: BTreeMap::new(),
            topology: Topology::new(min_nodes_per_pool),
            visible: BTreeSet::new(),
            preferred: PreferredNodes::default(),
            retry_racks: RetryRacks::default(),
            expansion: Expansion::default(),
            pending: PendingRequests::default(),
            handed_over: HandedOverTasks::default(),
        }
    }

    /// Whether the subset is smaller than the fleet.
    pub fn is_bounded(&self) -> bool {
        self.is_bounded
    }

    /// Number of nodes that the inner module works with.
    pub fn len(&self) -> usize {
        if self.is_bounded {
            self.visible.len()
        } else {
            self.fleet.len()
        }
    }

    /// Whether the inner module works with no node.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the inner module works with this node.
    pub fn contains(&self, node: NodeId) -> bool {
        if self.is_bounded {
            self.visible.contains(&node)
        } else {
            self.fleet.contains_key(&node)
        }
    }

    /// The inner module.
    pub fn inner(&self) -> &D {
        &self.inner
    }

    /// Sizes of the tables beside the node list, for tests that they stay bounded.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            visible_nodes: self.visible.len(),
            services: self.preferred.services(),
            preferred_nodes: self.preferred.nodes().count(),
            retry_racks: self.retry_racks.len(),
            expansion_nodes: self.expansion.len(),
            pending_requests: self.pending.len(),
            unlisted_nodes: self.handed_over.unlisted_nodes(),
        }
    }
}
