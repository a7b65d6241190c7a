//! The state kept for one node.

use super::backoff::Backoffs;
use super::errors::ErrorCounts;
use super::load_estimate::NodeLoad;
use super::program_cache::ProgramCache;
use super::rejections::RejectedSize;
use super::slow_start::RecentAttempts;
use super::start_estimate::PendingStart;
use crate::api::{Micros, NodeEntry, NodeId, NodeStatus, RequestId, Resources, TopologySpread};
use std::collections::BTreeMap;

/// An entry of the node table.
#[derive(Default)]
pub(super) struct Node {
    /// Whether the node has appeared in a node list. If not, it is known only from a task that runs
    /// there.
    pub(super) is_listed: bool,
    pub(super) entry: NodeEntry,
    pub(super) capacity: Resources,
    pub(super) load: NodeLoad,
    /// Task size that the node rejected recently for lack of capacity.
    pub(super) rejected_size: RejectedSize,
    /// Attempts whose task has not started yet.
    pub(super) pending_starts: BTreeMap<RequestId, PendingStart>,
    /// Time at which each unanswered attempt was sent.
    pub(super) unanswered: BTreeMap<RequestId, Micros>,
    /// Time at which the last message from the node arrived.
    pub(super) last_contact: Micros,
    pub(super) backoffs: Backoffs,
    pub(super) errors: ErrorCounts,
    pub(super) recent_attempts: RecentAttempts,
    pub(super) programs: ProgramCache,
}

impl Node {
    pub(super) fn new(id: NodeId) -> Node {
        let entry = NodeEntry {
            node: id,
            ..NodeEntry::default()
        };
        Node {
            entry,
            ..Node::default()
        }
    }

    pub(super) fn id(&self) -> NodeId {
        self.entry.node
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == NodeStatus::Ready
    }

    /// Returns the identifier of its topology domain at the given level.
    pub(super) fn topology_domain(&self, spread: TopologySpread) -> u64 {
        match spread {
            TopologySpread::Node | TopologySpread::Off => self.id().0,
            TopologySpread::Rack => u64::from(self.entry.zone) << 16 | u64::from(self.entry.rack),
            TopologySpread::Zone => u64::from(self.entry.zone),
        }
    }

    /// Resets the state that does not survive a restart of the node: idle programs, foreign and
    /// unaccounted load, the rejected size and backoffs.
    pub(super) fn reset_after_restart(&mut self) {
        self.programs.forget_idle();
        self.load.reset_foreign();
        self.rejected_size.clear();
        self.backoffs = Backoffs::default();
    }
}
