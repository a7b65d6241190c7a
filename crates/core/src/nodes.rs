//! The nodes that the list names, and what is known of the links to them.

use peppercove::{ListUpdateKind, Micros, NodeEntry, NodeId, NodeStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// One line of the node list as it arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedNode {
    /// Where the node listens.
    pub address: SocketAddrV4,
    /// The name it must answer to.
    pub name: String,
    /// Its state.
    pub state: NodeStatus,
    /// Index of its kind.
    pub kind: u8,
    /// Its rack.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// A higher number after each start of its process.
    pub life: u64,
    /// Time since that start when the list came; `None` is long ago.
    pub age: Option<Micros>,
    /// Cores nobody asked for, some time ago.
    pub free_cores: Option<f64>,
    /// Memory nobody asked for, some time ago.
    pub free_memory: Option<f64>,
}

/// The id of a node: its address, as the bench's wire has it.
pub fn node_id_of(address: SocketAddrV4) -> NodeId {
    NodeId((u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port()))
}

/// What is known of the link to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not connected since then.
    Disconnected(Micros),
    /// Connected, and the node has told what it holds.
    Connected,
}

/// One node.
#[derive(Clone, Debug)]
pub struct Node {
    /// As the decision module was told last.
    pub line: NodeEntry,
    /// Its address.
    pub address: SocketAddrV4,
    /// The name it must answer to.
    pub name: String,
    /// The link to it.
    pub link: ConnectionState,
    /// Life that the list told, and when it began by this controller's clock.
    listed_life: (u64, Micros),
    /// Life that the node itself told last.
    pub own_life: Option<u64>,
}

impl Node {
    /// The node itself tells a life that the list has not told: it has just started.
    pub(crate) fn restarted(&mut self, now: Micros, life: u64) -> Option<NodeEntry> {
        if self.listed_life.0 == life {
            return None;
        }
        self.listed_life = (life, now);
        (self.line.started_at, self.line.incarnation) = (now, life);
        (self.line.free_cores, self.line.free_memory) = (None, None);
        Some(self.line.clone())
    }
}

/// All nodes.
#[derive(Debug, Default)]
pub struct Nodes {
    nodes: BTreeMap<NodeId, Node>,
    /// Version of the list that was taken in last.
    pub generation: u64,
}

/// What a list changed about the links.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Nodes to connect to.
    pub added: Vec<NodeId>,
    /// Nodes that the list names no more.
    pub gone: Vec<NodeId>,
}

impl Nodes {
    /// A node.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter()
    }

    /// The node can be sent to now.
    pub fn is_up(&self, id: NodeId) -> bool {
        self.nodes
            .get(&id)
            .is_some_and(|n| n.link == ConnectionState::Connected)
    }

    /// Takes in a list and gives the lines in the decision module's terms.
    pub(crate) fn take_in(
        &mut self,
        now: Micros,
        scope: ListUpdateKind,
        generation: u64,
        lines: &[ListedNode],
    ) -> (Vec<NodeEntry>, Changes) {
        let mut changes = Changes::default();
        // The module ignores a list older than the one held, and the links must not follow it either.
        if generation < self.generation {
            return (Vec::new(), changes);
        }
        self.generation = generation;
        if scope != ListUpdateKind::Incremental {
            let named: BTreeSet<NodeId> = lines.iter().map(|l| node_id_of(l.address)).collect();
            for (id, node) in self.nodes.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if node.line.state != NodeStatus::Gone {
                    node.line.state = NodeStatus::Gone;
                    changes.gone.push(*id);
                }
            }
        }
        let told = lines
            .iter()
            .map(|line| self.take_line(now, line, &mut changes))
            .collect();
        (told, changes)
    }

    fn take_line(&mut self, now: Micros, line: &ListedNode, changes: &mut Changes) -> NodeEntry {
        let id = node_id_of(line.address);
        let known = self.nodes.get(&id);
        // Ages are read against this controller's own clock once a life, so that neither another clock nor the
        // lateness of each list makes the start seem to move, which the module takes for a restart.
        let started = line.age.map_or(0, |age| now.saturating_sub(age).max(1));
        // A list that runs behind the node itself still names its earlier life.
        let (life, began) = match known {
            Some(node) if node.listed_life.0 >= line.life => node.listed_life,
            _ => (line.life, started),
        };
        let told = NodeEntry {
            slow_start_share: None,
            node: id,
            state: line.state,
            kind: line.kind,
            rack: line.rack,
            zone: line.zone,
            started_at: began,
            incarnation: life,
            free_cores: line.free_cores,
            free_memory: line.free_memory,
        };
        let was_listed = known.is_some_and(|n| n.line.state != NodeStatus::Gone);
        match (was_listed, line.state) {
            (true, NodeStatus::Gone) => changes.gone.push(id),
            (false, NodeStatus::Ready | NodeStatus::Draining) => changes.added.push(id),
            _ => {}
        }
        let (link, own_life) = known.map_or((ConnectionState::Disconnected(now), None), |n| {
            (n.link, n.own_life)
        });
        let listed_life = (life, began);
        let node = Node {
            line: told.clone(),
            address: line.address,
            name: line.name.clone(),
            link,
            listed_life,
            own_life,
        };
        if line.state != NodeStatus::Gone || known.is_some() {
            self.nodes.insert(id, node);
        }
        told
    }

    /// Forgets a node that the list names no more and that holds nothing.
    pub(crate) fn forget(&mut self, id: NodeId) {
        if self
            .nodes
            .get(&id)
            .is_some_and(|n| n.line.state == NodeStatus::Gone)
        {
            self.nodes.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(port: u16, life: u64, age: Option<Micros>) -> ListedNode {
        ListedNode {
            address: SocketAddrV4::new([127, 0, 0, 1].into(), port),
            name: format!("n{port}"),
            state: NodeStatus::Ready,
            kind: 0,
            rack: 0,
            zone: 0,
            life,
            age,
            free_cores: None,
            free_memory: None,
        }
    }

    #[test]
    fn the_start_of_a_node_does_not_move_with_the_lateness_of_lists() {
        let mut nodes = Nodes::default();
        let (first, changes) = nodes.take_in(
            10_000_000,
            ListUpdateKind::Full,
            1,
            &[line(1, 7, Some(1_000_000))],
        );
        assert_eq!(changes.added.len(), 1);
        let (second, _) = nodes.take_in(
            12_000_000,
            ListUpdateKind::Full,
            2,
            &[line(1, 7, Some(2_500_000))],
        );
        assert_eq!(first[0].started_at, second[0].started_at);
        let (third, _) = nodes.take_in(
            13_000_000,
            ListUpdateKind::Full,
            3,
            &[line(1, 8, Some(500_000))],
        );
        assert_eq!(
            third[0].started_at, 12_500_000,
            "another life is another start"
        );
    }

    #[test]
    fn an_older_list_changes_nothing() {
        let mut nodes = Nodes::default();
        nodes.take_in(0, ListUpdateKind::Full, 5, &[line(1, 7, None)]);
        let (told, changes) = nodes.take_in(1, ListUpdateKind::Full, 4, &[]);
        assert!(told.is_empty() && changes == Changes::default());
        let (_, changes) = nodes.take_in(2, ListUpdateKind::Full, 6, &[]);
        assert_eq!(changes.gone.len(), 1);
    }
}
