//! Updates of the list of nodes.

use super::PlatformEngine;
use super::node_connections::ListChanges;
use super::timers::Timer;
use crate::endpoint_watch::{EndpointEvent, NodeListUpdate};
use peppercove::{AttemptOutcome, Event, ListUpdateKind, NodeEntry, NodeId};
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// Takes in the events up to the start. The module is given the list that they add up to.
    pub(super) fn on_start(&mut self, events: Vec<EndpointEvent>) {
        let version = events.last().map_or(0, |event| event.pos);
        for update in events.into_iter().filter_map(|event| event.hosts) {
            self.nodes.apply_update(&update, &self.schema);
        }
        let entries = self.nodes.listed_entries();
        self.push_node_list(ListUpdateKind::Cached, version, entries);
    }

    /// Takes in events in their order.
    pub(super) fn on_endpoint_events(&mut self, events: Vec<EndpointEvent>) {
        if events.is_empty() {
            // The module called for the list and is owed an answer, though nothing is new.
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

    /// The module is informed that the list cannot be had.
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
        for node in updated.iter().chain(&gone) {
            // Invariant: nothing is sent to a node after the list said that it takes no new tasks. A connection that
            // is established later would send what is queued for it.
            for attempt in self.nodes.queued_for_unready_node(*node) {
                self.abandon_attempt(attempt, AttemptOutcome::Unreachable, false);
            }
        }
        for node in updated {
            // Tasks may have been handed over there before the list had the node's address.
            self.ensure_connection(node);
        }
        for restart in restarted {
            // A new process holds no task of the one before.
            self.lose_tasks_placed_before(restart.node, restart.started_at);
        }
        for node in gone {
            // What the node still sends on an open connection is to be handled before.
            let at = self.now + self.bounds.health_check_timeout;
            self.timers.schedule(at, Timer::ForgetNode(node));
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
