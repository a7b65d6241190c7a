//! The bounded subset of a large fleet that one scheduler uses.
//!
//! The following nodes are visible to the inner scheduler:
//! - the nodes of which this scheduler owns one of the replica slots in use ([`crate::replica_slots`]). The number of
//!   slots in use is chosen so that each subset has about [`TARGET_SUBSET_SIZE`] nodes and some of each kind in each
//!   zone, and each node is in several subsets;
//! - the preferred nodes of recently used services (`preferred_nodes`). The scheduler ranks the nodes that it sees, so
//!   all schedulers agree on the preferred nodes of the whole fleet only if these are visible to each of them;
//! - the rack of a keyed task that may have run and may be retried only within its rack (`retry_racks`);
//! - while a request waits that no visible node can accept, a section of the other nodes, and after some time the next
//!   section (`expansion`).
//!
//! The other nodes are not reported to the inner scheduler. A node that stops being visible is reported as gone, so
//! that no new tasks are sent to it; tasks that run there still count in their topology domain.

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

/// Number of nodes in a subset, in addition to the minimum of each zone and kind. If the fleet is not larger, all its
/// nodes are visible.
pub const TARGET_SUBSET_SIZE: u64 = 1024;

/// The scheduler wrapped in its node subset, as used in production.
pub type SubsetScheduler = NodeSubset<Scheduler>;

/// A scheduler that uses a bounded subset of the fleet.
#[derive(Debug)]
pub struct NodeSubset<D> {
    inner: D,
    settings: Settings,
    target_size: u64,
    /// The latest time passed to [`Decide::decide`].
    now: Micros,
    /// Version of the current node list.
    list_version: u64,
    /// Whether the fleet is larger than the subset.
    is_bounded: bool,
    /// End of the transition between bounded and unbounded subsets. Until then other schedulers may not have made the
    /// same transition yet; 0 if there is none.
    transition_until: Micros,
    /// All nodes in the node list. An unbounded subset contains all of them.
    fleet: BTreeMap<NodeId, FleetNode>,
    topology: Topology,
    /// Nodes that are visible to the inner scheduler; empty if the subset is unbounded.
    visible: BTreeSet<NodeId>,
    preferred: PreferredNodes,
    retry_racks: RetryRacks,
    expansion: Expansion,
    pending: PendingRequests,
    handed_over: HandedOverTasks,
}

/// Number of entries in each table of a [`NodeSubset`] other than the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Visible nodes of a bounded subset.
    pub visible_nodes: usize,
    /// Services whose preferred nodes are cached.
    pub services: usize,
    /// Nodes that are visible because a service prefers them.
    pub preferred_nodes: usize,
    /// Racks that are visible as a whole.
    pub retry_racks: usize,
    /// Nodes that are visible because a request waits.
    pub expansion_nodes: usize,
    /// Requests that have not been answered.
    pub pending_requests: usize,
    /// Nodes with handed-over tasks that are not in the node list yet.
    pub unlisted_nodes: usize,
}

impl<D: Decide> NodeSubset<D> {
    /// Wraps a scheduler that has just started with these settings.
    pub fn new(inner: D, settings: &Settings) -> NodeSubset<D> {
        NodeSubset::with_target_size(inner, settings, TARGET_SUBSET_SIZE)
    }

    /// Like [`NodeSubset::new`], with a different target size than [`TARGET_SUBSET_SIZE`], for tests and
    /// measurements.
    pub fn with_target_size(inner: D, settings: &Settings, target_size: u64) -> NodeSubset<D> {
        NodeSubset::with_target_sizes(inner, settings, target_size, MIN_NODES_PER_ZONE_AND_KIND)
    }

    /// Like [`NodeSubset::with_target_size`], also with a different minimum than [`MIN_NODES_PER_ZONE_AND_KIND`], for
    /// small fleets.
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
            transition_until: 0,
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

    /// Returns the number of nodes that are visible to the inner scheduler.
    pub fn len(&self) -> usize {
        if self.is_bounded {
            self.visible.len()
        } else {
            self.fleet.len()
        }
    }

    /// Whether no node is visible to the inner scheduler.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether this node is visible to the inner scheduler.
    pub fn contains(&self, node: NodeId) -> bool {
        if self.is_bounded {
            self.visible.contains(&node)
        } else {
            self.fleet.contains_key(&node)
        }
    }

    /// Returns the inner scheduler.
    pub fn inner(&self) -> &D {
        &self.inner
    }

    /// Returns the sizes of the tables other than the node list. Tests use them to check that the tables stay bounded.
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
