//! The nodes that the list names, and what is known of the connections to them.

use peppercove::{ListUpdateKind, Micros, NodeEntry, NodeId, NodeStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

#[cfg(test)]
mod tests;

/// One entry of the node list as it arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedNode {
    /// Where the node listens.
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
    /// A higher number after each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Microseconds since that start when the list came; `None` is long ago.
    #[serde(rename = "age")]
    pub uptime: Option<Micros>,
    /// Cores that were not requested some time ago.
    pub free_cores: Option<f64>,
    /// Memory that was not requested some time ago.
    pub free_memory: Option<f64>,
}

/// The id of a node: its address, as the bench's wire has it.
pub fn node_id_of(address: SocketAddrV4) -> NodeId {
    NodeId((u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port()))
}

/// What is known of the connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not connected since this time.
    Disconnected(Micros),
    /// Connected, and the node has reported what it holds.
    Connected,
}

/// An incarnation of a node and when it began by this controller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeStart {
    incarnation: u64,
    started_at: Micros,
}

/// One node.
#[derive(Clone, Debug)]
pub struct Node {
    /// The entry that the decision module was last given.
    pub entry: NodeEntry,
    /// Its address.
    pub address: SocketAddrV4,
    /// The name that it must give in the handshake.
    pub name: String,
    /// The connection to it.
    pub connection: ConnectionState,
    /// Its present incarnation, as the list or the node itself reported it.
    start: NodeStart,
    /// Incarnation that the node itself reported last.
    pub reported_incarnation: Option<u64>,
}

impl Node {
    /// Takes in the incarnation that the node itself reports. Returns the new entry of a node that has just started, which
    /// the list does not name yet.
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

    /// The list names it no more.
    fn is_removed(&self) -> bool {
        self.entry.state == NodeStatus::Gone
    }
}

/// All nodes.
#[derive(Debug, Default)]
pub struct Nodes {
    nodes: BTreeMap<NodeId, Node>,
    /// Version of the list that was taken in last.
    pub generation: u64,
}

/// What a list changed about the connections to keep.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// Nodes to connect to.
    pub added: Vec<NodeId>,
    /// Nodes that the list names no more.
    pub removed: Vec<NodeId>,
}

impl Nodes {
    /// A node.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// A node, to be changed.
    pub(crate) fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// All of them, in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter()
    }

    /// The node can be sent to now.
    pub fn is_connected(&self, id: NodeId) -> bool {
        self.nodes
            .get(&id)
            .is_some_and(|n| n.connection == ConnectionState::Connected)
    }

    /// The node is known, and the list names it no more.
    pub(crate) fn is_removed(&self, id: NodeId) -> bool {
        self.nodes.get(&id).is_some_and(Node::is_removed)
    }

    /// Incarnation that the node itself reported last; 0 where it never did.
    pub(crate) fn reported_incarnation(&self, id: NodeId) -> u64 {
        self.nodes
            .get(&id)
            .and_then(|n| n.reported_incarnation)
            .unwrap_or(0)
    }

    /// Takes in a list and gives its entries in the decision module's terms.
    pub(crate) fn apply_list(
        &mut self,
        now: Micros,
        kind: ListUpdateKind,
        generation: u64,
        listed: &[ListedNode],
    ) -> (Vec<NodeEntry>, ListChanges) {
        let mut changes = ListChanges::default();
        // The module ignores a list older than the one held, and the connections must not follow it either.
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

    /// Forgets a node that the list names no more and that holds no attempt.
    pub(crate) fn forget(&mut self, id: NodeId) {
        if self.is_removed(id) {
            self.nodes.remove(&id);
        }
    }
}

/// When the present incarnation of a node began.
fn start_of(now: Micros, listed: &ListedNode, known: Option<&Node>) -> NodeStart {
    match known {
        // A list that lags behind the node itself still names its earlier incarnation.
        Some(node) if node.start.incarnation >= listed.incarnation => node.start,
        // Uptimes are read against this controller's own clock once an incarnation, so that neither another clock nor
        // the lateness of each list makes the start seem to move, which the module takes for a restart.
        Some(_) | None => NodeStart {
            incarnation: listed.incarnation,
            started_at: listed
                .uptime
                .map_or(0, |uptime| now.saturating_sub(uptime).max(1)),
        },
    }
}

/// The entry of a node in the decision module's terms.
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
