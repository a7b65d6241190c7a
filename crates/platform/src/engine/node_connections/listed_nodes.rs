//! Names and node list entries of nodes.

use super::NodeConnections;
use crate::endpoint_watch::{NodeListUpdate, NodeUpdate};
use crate::engine::{MICROS_PER_MILLI, NodeConnectionId};
use peppercove::adapter_protocol::RecordSchema;
use peppercove::{Micros, NodeEntry, NodeId, NodeStatus, RequestId, TaskKey};
use peppercove_core::Backoff;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum backoff before reconnecting to a node with running tasks.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum backoff before reconnecting to a node with running tasks.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1000);

/// A node, identified by its name. Its address may later be reused by another node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) name: String,
    /// Whether the node has ever been in the node list.
    pub(super) is_listed: bool,
    /// `None` until the node is listed.
    pub(super) address: Option<SocketAddr>,
    pub(super) entry: NodeEntry,
    pub(super) connections: Vec<NodeConnectionId>,
    pub(super) running_tasks: BTreeMap<RequestId, TaskKey>,
    /// The running tasks, ordered by key.
    pub(super) tasks_by_key: BTreeSet<(TaskKey, RequestId)>,
    pub(super) last_contact_at: Micros,
    pub(super) is_monitored: bool,
    pub(super) backoff: Backoff,
    /// Tasks whose cancellation could not be sent yet, or whose connection ended before the cancellation was confirmed.
    pub(super) pending_cancels: BTreeSet<RequestId>,
    /// Set when a connection broke, possibly with unread reports of task ends. The node repeats those over the next
    /// connection that it accepts, which is this one or a later one. A connection that was already being established
    /// may have been accepted by the node before it reported the ends.
    pub(super) needs_connection_from: Option<NodeConnectionId>,
}

impl Node {
    fn new(id: NodeId, name: &str) -> Node {
        Node {
            name: name.to_owned(),
            is_listed: false,
            address: None,
            entry: NodeEntry {
                node: id,
                ..NodeEntry::default()
            },
            connections: Vec::new(),
            running_tasks: BTreeMap::new(),
            tasks_by_key: BTreeSet::new(),
            last_contact_at: 0,
            is_monitored: false,
            backoff: Backoff::new(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY),
            pending_cancels: BTreeSet::new(),
            needs_connection_from: None,
        }
    }

    /// Whether the node is unlisted, or listed as having left.
    pub(super) fn is_gone(&self) -> bool {
        self.entry.state == NodeStatus::Gone
    }

    /// Applies an update. If the node has restarted, returns the time of the restart.
    fn apply(&mut self, update: &NodeUpdate, schema: &RecordSchema) -> Option<Micros> {
        self.address = update.addr.or(self.address);
        let entry = &mut self.entry;
        entry.kind = index_of_name(&schema.kinds, update.kind.as_ref()).unwrap_or(entry.kind);
        entry.zone = index_of_name(&schema.zones, update.zone.as_ref()).unwrap_or(entry.zone);
        entry.rack = update.cell.unwrap_or(entry.rack);
        if let Some([cores, memory]) = update.room {
            let reported =
                |free: f64| (schema.has_free_capacity && free.is_finite()).then_some(free);
            entry.free_cores = reported(cores);
            entry.free_memory = reported(memory);
        }
        entry.state = update.state.map_or(entry.state, NodeStatus::from);
        let started_at = update.started_ms?.saturating_mul(MICROS_PER_MILLI);
        let has_restarted = started_at > entry.started_at;
        entry.started_at = started_at;
        entry.incarnation = started_at;
        has_restarted.then_some(started_at)
    }
}

/// Returns the index of a name in the settings. Unknown names get an index that the settings do not have.
fn index_of_name(names: &[String], name: Option<&String>) -> Option<u8> {
    let name = name?;
    let position = names.iter().position(|candidate| candidate == name);
    let index = position.and_then(|position| u8::try_from(position).ok());
    Some(index.unwrap_or(u8::MAX))
}

/// A node whose process has restarted.
#[derive(Debug)]
pub(in crate::engine) struct Restart {
    pub(in crate::engine) node: NodeId,
    pub(in crate::engine) started_at: Micros,
}

/// Changes made by a node list update.
#[derive(Debug, Default)]
pub(in crate::engine) struct ListChanges {
    /// Entries of the nodes in the update.
    pub(in crate::engine) entries: Vec<NodeEntry>,
    pub(in crate::engine) restarted: Vec<Restart>,
    /// Nodes that left or are no longer listed.
    pub(in crate::engine) gone: Vec<NodeId>,
}

impl NodeConnections {
    /// Returns the id that a node with this name has or would get. Every controller must compute the same id, because
    /// the scheduler ranks preferred nodes by it.
    pub(in crate::engine) fn id_for_name(&self, name: &str) -> NodeId {
        let mut id = NodeId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        while self.nodes.get(&id).is_some_and(|node| node.name != name) {
            // The hash collides with that of another name: the later name takes the next id.
            id = NodeId(id.0.wrapping_add(1));
        }
        id
    }

    /// Returns the id of the node with this name, if state is held for it.
    pub(in crate::engine) fn find_by_name(&self, name: &str) -> Option<NodeId> {
        let id = self.id_for_name(name);
        self.nodes.contains_key(&id).then_some(id)
    }

    /// Returns the id of the node with this name, and creates the node if it is new.
    pub(in crate::engine) fn find_or_create(&mut self, name: &str) -> NodeId {
        let id = self.id_for_name(name);
        if let Entry::Vacant(vacant) = self.nodes.entry(id) {
            vacant.insert(Node::new(id, name));
            self.unlisted_nodes += 1;
        }
        id
    }

    /// Number of nodes that have never been listed. They are known only because a client handed over a task on them.
    pub(in crate::engine) fn unlisted_nodes(&self) -> usize {
        self.unlisted_nodes
    }

    /// Applies an update of the node list.
    pub(in crate::engine) fn apply_update(
        &mut self,
        update: &NodeListUpdate,
        schema: &RecordSchema,
    ) -> ListChanges {
        let mut changes = ListChanges::default();
        let mut listed = BTreeSet::new();
        for node_update in &update.servers {
            let id = self.find_or_create(&node_update.id);
            listed.insert(id);
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if !std::mem::replace(&mut node.is_listed, true) {
                self.unlisted_nodes -= 1;
            }
            if let Some(started_at) = node.apply(node_update, schema) {
                let node = id;
                changes.restarted.push(Restart { node, started_at });
            }
            if node.is_gone() {
                changes.gone.push(id);
            }
            changes.entries.push(node.entry.clone());
        }
        if update.full {
            self.mark_unlisted_gone(&listed, &mut changes);
        }
        changes
    }

    /// Marks the nodes that a full list does not contain as gone.
    fn mark_unlisted_gone(&mut self, listed: &BTreeSet<NodeId>, changes: &mut ListChanges) {
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.entry.state = NodeStatus::Gone;
                changes.gone.push(*id);
            }
        }
    }

    /// Entries of all listed nodes.
    pub(in crate::engine) fn listed_entries(&self) -> Vec<NodeEntry> {
        let listed = self.nodes.values().filter(|node| !node.is_gone());
        listed.map(|node| node.entry.clone()).collect()
    }

    /// Whether the node is unlisted, or listed as having left.
    pub(in crate::engine) fn is_gone(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_none_or(Node::is_gone)
    }

    /// Whether the node accepts new tasks according to the list.
    pub(in crate::engine) fn accepts_tasks(&self, node: NodeId) -> bool {
        let node = self.nodes.get(&node);
        node.is_some_and(|node| node.entry.state == NodeStatus::Ready)
    }

    /// Whether the node's address is known, because the node was listed.
    pub(in crate::engine) fn has_address(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(|n| n.address.is_some())
    }

    /// Removes a node if it is gone and has no connections and tasks.
    pub(in crate::engine) fn remove_if_gone(&mut self, id: NodeId) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        if node.is_gone() && node.connections.is_empty() && node.running_tasks.is_empty() {
            if !node.is_listed {
                self.unlisted_nodes -= 1;
            }
            self.nodes.remove(&id);
        }
    }
}
