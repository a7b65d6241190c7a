//! Node list updates.

use super::PlatformEngine;
use super::node_connections::ListChanges;
use super::timers::Timer;
use crate::endpoint_watch::{EndpointEvent, NodeListUpdate};
use peppercove::{Event, ListUpdateKind, NodeEntry, NodeId};
use peppercove_core::Decide;
use std::collections::BTreeSet;

impl<D: Decide> PlatformEngine<D> {
    /// Applies the events up to the start, and passes the resulting list to the scheduler.
    pub(super) fn on_start(&mut self, events: Vec<EndpointEvent>) {
        let version = events.last().map_or(0, |event| event.pos);
        for update in events.into_iter().filter_map(|event| event.hosts) {
            self.nodes.apply_update(&update, &self.schema);
        }
        let entries = self.nodes.listed_entries();
        self.push_node_list(ListUpdateKind::Cached, version, entries);
    }

    /// Applies events in order.
    pub(super) fn on_endpoint_events(&mut self, events: Vec<EndpointEvent>) {
        if events.is_empty() {
            // The scheduler requested the list and expects an answer even if nothing has changed.
            let version = self.nodes.list_version;
            self.push_node_list(ListUpdateKind::Incremental, version, Vec::new());
        }
        for event in events {
            self.nodes.list_version = event.pos;
            if let Some(update) = event.hosts {
                self.on_node_list_update(event.pos, &update);
            }
        }
    }

    /// Reports to the scheduler that the list is unavailable.
    pub(super) fn on_endpoint_watch_failed(&mut self) {
        self.push_node_list(ListUpdateKind::Failed, 0, Vec::new());
    }

    fn on_node_list_update(&mut self, version: u64, update: &NodeListUpdate) {
        let kind = if update.full {
            ListUpdateKind::Full
        } else {
            ListUpdateKind::Incremental
        };
        let ListChanges {
            entries,
            restarted,
            gone,
        } = self.nodes.apply_update(update, &self.schema);
        let updated: Vec<NodeId> = entries.iter().map(|entry| entry.node).collect();
        self.push_node_list(kind, version, entries);
        let changed: BTreeSet<NodeId> = updated.iter().chain(&gone).copied().collect();
        for node in changed {
            // Invariant: no attempt is sent to a node that no longer accepts tasks according to the list.
            if !self.nodes.accepts_tasks(node) {
                self.stop_sending_to(node);
            }
        }
        for node in updated {
            // Tasks may have been handed over on this node before its address was listed.
            self.ensure_connection(node);
        }
        for restart in restarted {
            // The new process has none of the previous process's tasks.
            self.mark_tasks_lost_before(restart.node, restart.started_at);
        }
        for node in gone {
            // Messages that the node still sends on an open connection must be handled first.
            let at = self.now + self.bounds.health_check_timeout;
            self.timers.schedule(at, Timer::RemoveGoneNode(node));
        }
    }

    fn push_node_list(&mut self, kind: ListUpdateKind, version: u64, entries: Vec<NodeEntry>) {
        self.events.push(Event::NodeList {
            kind,
            version,
            entries,
        });
    }
}
