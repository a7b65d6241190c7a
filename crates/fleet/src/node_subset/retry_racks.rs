//! Racks that are visible as a whole for the retries of keyed tasks.

use super::NodeSubset;
use super::fleet_node::RackId;
use peppercove::{DedupScope, Idempotency, Micros, NodeEntry, NodeId, RequestId};
use peppercove_core::Decide;
use std::collections::BTreeMap;

/// The racks that are visible as a whole, each until its expiry time.
#[derive(Debug, Default)]
pub(super) struct RetryRacks {
    visible_until: BTreeMap<RackId, Micros>,
}

impl RetryRacks {
    pub(super) fn contains(&self, rack: RackId) -> bool {
        self.visible_until.contains_key(&rack)
    }

    pub(super) fn len(&self) -> usize {
        self.visible_until.len()
    }

    pub(super) fn clear(&mut self) {
        self.visible_until.clear();
    }

    /// Removes the expired racks and returns them in order.
    fn remove_expired(&mut self, now: Micros) -> Vec<RackId> {
        let is_expired = |until: Micros| until <= now;
        let expired: Vec<RackId> = self
            .visible_until
            .iter()
            .filter(|(_, until)| is_expired(**until))
            .map(|(rack, _)| *rack)
            .collect();
        if !expired.is_empty() {
            self.visible_until.retain(|_, until| !is_expired(*until));
        }
        expired
    }
}

impl<D: Decide> NodeSubset<D> {
    /// Makes the whole rack of a request's last attempt visible if the request may be retried only in that rack.
    ///
    /// Otherwise the node of the last attempt might be the only visible one of the rack, and the keyed task could not
    /// be retried.
    pub(super) fn show_retry_rack(&mut self, request: RequestId) -> Vec<NodeEntry> {
        let Some(request) = self.pending.get(request) else {
            return Vec::new();
        };
        let class = self.settings.classes.get(usize::from(request.class));
        let Some(Idempotency::Keyed {
            scope: DedupScope::Rack,
            window,
        }) = class.map(|class| class.idempotency)
        else {
            return Vec::new();
        };
        let Some(rack) = request.last_rack else {
            return Vec::new();
        };
        self.retry_racks
            .visible_until
            .insert(rack, self.now + window);
        let nodes = self.nodes_in_racks(&[rack]);
        self.update_visibility(nodes)
    }

    /// Hides the expired racks.
    pub(super) fn hide_expired_racks(&mut self) -> Vec<NodeEntry> {
        let expired = self.retry_racks.remove_expired(self.now);
        if expired.is_empty() {
            return Vec::new();
        }
        let nodes = self.nodes_in_racks(&expired);
        self.update_visibility(nodes)
    }

    fn nodes_in_racks(&self, racks: &[RackId]) -> Vec<NodeId> {
        self.fleet
            .values()
            .map(|node| &node.entry)
            .filter(|entry| racks.contains(&RackId::from(*entry)))
            .map(|entry| entry.node)
            .collect()
    }
}
