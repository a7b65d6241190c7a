//! The nodes of the node list and the state of the connections to them.

use peppercove::{ListUpdateKind, Micros, NodeEntry, NodeId, NodeStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

#[cfg(test)]
mod tests;

/// An entry of the node list as received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedNode {
    /// The address at which the node listens.
    pub address: SocketAddrV4,
    /// The name that it must give in the handshake.
    pub name: String,
    /// Its status.
    pub state: NodeStatus,
    /// Index of its kind.
    pub kind: u8,
    /// Its rack.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// Incarnation of the node; increases with each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Uptime of its process when the list was sent, in microseconds; `None` if it started long ago.
    #[serde(rename = "age")]
    pub uptime: Option<Micros>,
    /// Cores not requested by tasks, as of some time before the list was sent.
    pub free_cores: Option<f64>,
    /// Memory not requested by tasks, as of some time before the list was sent.
    pub free_memory: Option<f64>,
}

/// Computes the id of a node from its address, in the encoding of the bench's protocol.
pub fn node_id_of(address: SocketAddrV4) -> NodeId {
    NodeId((u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port()))
}

/// The state of the connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Disconnected since this time.
    Disconnected(Micros),
    /// Connected, and the node has reported what it holds.
    Connected,
}

/// An incarnation of a node, and its start by this controller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeStart {
    incarnation: u64,
    started_at: Micros,
}

/// A node.
#[derive(Clone, Debug)]
pub struct Node {
    /// The entry last passed to the scheduler.
    pub entry: NodeEntry,
    /// Its address.
    pub address: SocketAddrV4,
    /// The name that it must give in the handshake.
    pub name: String,
    /// The state of the connection to it.
    pub connection: ConnectionState,
    /// Its current incarnation, according to the node list or the node itself.
    start: NodeStart,
    /// The incarnation that the node itself reported last.
    pub reported_incarnation: Option<u64>,
}

impl Node {
    /// Applies the incarnation reported by the node itself. Returns an updated entry if the node has restarted and the
    /// node list does not show that yet.
    pub(crate) fn on_restart(&mut self, now: Micros, incarnation: u64) -> Option<NodeEntry> {
        if self.start.incarnation == incarnation {
            return None;
        }
        self.start = NodeStart {
            incarnation,
            started_at: now,
        };
        self.entry.started_at = now;
        self.entry.incarnation = incarnation;
        self.entry.free_cores = None;
        self.entry.free_memory = None;
        Some(self.entry.clone())
    }

    /// Whether the node list no longer contains the node.
    fn is_removed(&self) -> bool {
        self.entry.state == NodeStatus::Gone
    }
}

/// All known nodes.
#[derive(Debug, Default)]
pub struct Nodes {
    nodes: BTreeMap<NodeId, Node>,
    /// Version of the last node list applied.
    pub generation: u64,
}

/// Nodes that an update of the node list added or removed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// Nodes to connect to.
    pub added: Vec<NodeId>,
    /// Nodes that the list no longer contains.
    pub removed: Vec<NodeId>,
}

impl Nodes {
    /// Finds a node.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// Finds a node for modification.
    pub(crate) fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// All nodes, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter()
    }

    /// Whether messages can be sent to the node.
    pub fn is_connected(&self, id: NodeId) -> bool {
        self.nodes
            .get(&id)
            .is_some_and(|n| n.connection == ConnectionState::Connected)
    }

    /// Whether the node is known but no longer on the node list.
    pub(crate) fn is_removed(&self, id: NodeId) -> bool {
        self.nodes.get(&id).is_some_and(Node::is_removed)
    }

    /// The incarnation that the node itself reported last; 0 if it has not reported any.
    pub(crate) fn reported_incarnation(&self, id: NodeId) -> u64 {
        self.nodes
            .get(&id)
            .and_then(|n| n.reported_incarnation)
            .unwrap_or(0)
    }

    /// Applies an update of the node list. Returns its entries in the scheduler's format, and the nodes added or
    /// removed.
    pub(crate) fn apply_list(
        &mut self,
        now: Micros,
        kind: ListUpdateKind,
        generation: u64,
        listed: &[ListedNode],
    ) -> (Vec<NodeEntry>, ListChanges) {
        let mut changes = ListChanges::default();
        // The scheduler ignores a list older than the current one, so the connections must ignore it, too.
        if generation < self.generation {
            return (Vec::new(), changes);
        }
        self.generation = generation;
        if kind != ListUpdateKind::Incremental {
            self.remove_unlisted(listed, &mut changes);
        }
        let entries = listed
            .iter()
            .map(|node| self.apply_entry(now, node, &mut changes))
            .collect();
        (entries, changes)
    }

    fn remove_unlisted(&mut self, listed: &[ListedNode], changes: &mut ListChanges) {
        let listed: BTreeSet<NodeId> = listed.iter().map(|node| node_id_of(node.address)).collect();
        for (id, node) in self.nodes.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            if !node.is_removed() {
                node.entry.state = NodeStatus::Gone;
                changes.removed.push(*id);
            }
        }
    }

    fn apply_entry(
        &mut self,
        now: Micros,
        listed: &ListedNode,
        changes: &mut ListChanges,
    ) -> NodeEntry {
        let id = node_id_of(listed.address);
        let known = self.nodes.get(&id);
        let start = start_of(now, listed, known);
        let was_listed = known.is_some_and(|node| !node.is_removed());
        match (was_listed, listed.state) {
            (true, NodeStatus::Gone) => changes.removed.push(id),
            (false, NodeStatus::Ready | NodeStatus::Draining) => changes.added.push(id),
            (true, NodeStatus::Ready | NodeStatus::Draining) | (false, NodeStatus::Gone) => {}
        }
        let entry = entry_of(id, listed, start);
        if listed.state != NodeStatus::Gone || known.is_some() {
            let node = Node {
                entry: entry.clone(),
                address: listed.address,
                name: listed.name.clone(),
                connection: known.map_or(ConnectionState::Disconnected(now), |n| n.connection),
                start,
                reported_incarnation: known.and_then(|n| n.reported_incarnation),
            };
            self.nodes.insert(id, node);
        }
        entry
    }

    /// Removes a node that is no longer on the list and holds no attempt.
    pub(crate) fn forget(&mut self, id: NodeId) {
        if self.is_removed(id) {
            self.nodes.remove(&id);
        }
    }
}

/// Determines the start of a node's current incarnation.
fn start_of(now: Micros, listed: &ListedNode, known: Option<&Node>) -> NodeStart {
    match known {
        // The list may lag behind the node's own report and still show its earlier incarnation.
        Some(node) if node.start.incarnation >= listed.incarnation => node.start,
        // The uptime is converted by this controller's own clock and only once per incarnation. Otherwise, differences
        // between clocks or delays of lists would shift the start, and the scheduler would take that for a restart.
        Some(_) | None => NodeStart {
            incarnation: listed.incarnation,
            started_at: listed
                .uptime
                .map_or(0, |uptime| now.saturating_sub(uptime).max(1)),
        },
    }
}

/// Converts an entry of the node list to the scheduler's format.
fn entry_of(id: NodeId, listed: &ListedNode, start: NodeStart) -> NodeEntry {
    NodeEntry {
        slow_start_share: None,
        node: id,
        state: listed.state,
        kind: listed.kind,
        rack: listed.rack,
        zone: listed.zone,
        started_at: start.started_at,
        incarnation: start.incarnation,
        free_cores: listed.free_cores,
        free_memory: listed.free_memory,
    }
}
