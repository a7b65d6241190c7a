//! Nodes whose connections broke, and whose addresses other nodes may have taken over.

use crate::api::{Idempotency, Micros, NodeId, Settings};
use std::collections::BTreeMap;

/// Time within which the list shows that another node has taken over an address, in microseconds.
/// The platform's rules allow the list to be silent for this long.
const MAX_LIST_DELAY: Micros = 4_000_000;

/// When the connections to each node broke last. A node is kept here although it is not in the node
/// table, which may have only a part of the list.
#[derive(Default)]
pub(super) struct BrokenConnections {
    broken_at: BTreeMap<NodeId, Micros>,
    /// Time for which a break makes a difference.
    retention: Micros,
}

impl BrokenConnections {
    pub(super) fn new(settings: &Settings) -> BrokenConnections {
        let windows = settings
            .classes
            .iter()
            .filter_map(|class| match class.idempotency {
                Idempotency::Keyed { window, .. } => Some(window),
                Idempotency::Idempotent | Idempotency::NonIdempotent => None,
            });
        BrokenConnections {
            broken_at: BTreeMap::new(),
            retention: windows.max().unwrap_or(0).max(MAX_LIST_DELAY),
        }
    }

    /// Records that all connections to a node broke.
    pub(super) fn record(&mut self, node: NodeId, now: Micros) {
        let retention = self.retention;
        self.broken_at
            .retain(|_, broken_at| now < broken_at.saturating_add(retention));
        self.broken_at.insert(node, now);
    }

    /// Whether the process at the address of a node may be another node's than it was at `time`, or
    /// than the list says.
    pub(super) fn may_be_another(&self, node: NodeId, time: Micros, now: Micros) -> bool {
        self.broken_at.get(&node).is_some_and(|broken_at| {
            *broken_at >= time || now < broken_at.saturating_add(MAX_LIST_DELAY)
        })
    }
}
