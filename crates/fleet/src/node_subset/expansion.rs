//! Temporary expansion of the subset while a request waits.
//!
//! Without it, a request that no visible node can accept would be rejected although other nodes have capacity. While
//! such a request waits, a section of the other nodes, as large as the subset, is visible too. After some time the next
//! section replaces it, so that eventually every node of the fleet has been visible.

use super::NodeSubset;
use peppercove::{Micros, NodeEntry, NodeId};
use peppercove_core::Decide;
use std::collections::BTreeSet;
use std::ops::Bound;

/// Number of sections that are shown within the shortest latency objective.
const SECTIONS_PER_LATENCY_OBJECTIVE: u64 = 8;

/// The section of the other nodes that is currently visible.
#[derive(Debug)]
pub(super) struct Expansion {
    nodes: BTreeSet<NodeId>,
    /// Last node of the current section; the next section starts after it.
    last_node: NodeId,
    /// Time at which the next section is due.
    next_at: Micros,
}

impl Default for Expansion {
    fn default() -> Expansion {
        Expansion {
            nodes: BTreeSet::new(),
            last_node: NodeId(0),
            next_at: 0,
        }
    }
}

impl Expansion {
    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.nodes.contains(&node)
    }

    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    pub(super) fn remove(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    pub(super) fn clear(&mut self) {
        self.nodes.clear();
    }
}

impl<D: Decide> NodeSubset<D> {
    /// Shows the next section when it is due and a request waits. Hides the last section once no request has waited for
    /// a poll interval of the node list.
    pub(super) fn update_expansion(&mut self) -> Vec<NodeEntry> {
        let has_waiting = self.pending.has_waiting();
        if has_waiting && self.now >= self.expansion.next_at {
            return self.show_next_section();
        }
        let is_idle = !has_waiting && self.expansion.len() > 0;
        if is_idle && self.now >= self.expansion.next_at + self.settings.poll_interval {
            let hidden = std::mem::take(&mut self.expansion.nodes);
            return self.update_visibility(hidden);
        }
        Vec::new()
    }

    fn show_next_section(&mut self) -> Vec<NodeEntry> {
        self.expansion.next_at = self.now + self.section_interval();
        // Cleared first, so that the nodes of the old section are candidates again.
        let before = std::mem::take(&mut self.expansion.nodes);
        let section = self.next_section();
        if let Some(last) = section.last() {
            self.expansion.last_node = *last;
        }
        self.expansion.nodes = section.into_iter().collect();
        let changed: BTreeSet<NodeId> = before.union(&self.expansion.nodes).copied().collect();
        self.update_visibility(changed)
    }

    fn section_interval(&self) -> Micros {
        let objectives = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective);
        let shortest = objectives.min().unwrap_or(0);
        (shortest / SECTIONS_PER_LATENCY_OBJECTIVE).max(self.settings.tick)
    }

    /// Returns the hidden nodes after the last section, in order of their ids, wrapping around at the end.
    fn next_section(&self) -> Vec<NodeId> {
        let last = self.expansion.last_node;
        let after = self.fleet.range((Bound::Excluded(last), Bound::Unbounded));
        let from_start = self.fleet.range(..=last);
        after
            .chain(from_start)
            .filter(|(_, node)| !self.should_be_visible(node))
            .map(|(id, _)| *id)
            .take(self.target_size as usize)
            .collect()
    }
}
