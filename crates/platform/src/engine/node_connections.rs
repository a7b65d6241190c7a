//! The nodes, the connections to them, and the tasks that run there.
//!
//! | module | concern |
//! | --- | --- |
//! | `listed_nodes` | names and entries of nodes, as the list has them |
//! | `tasks` | running tasks by node, and whether the node is reachable |
//! | `pool` | which connection is used, opened or closed |
//! | `connection` | what is sent, awaited and received on one connection |

mod connection;
mod listed_nodes;
mod pool;
mod tasks;

pub(super) use listed_nodes::ListChanges;
pub(super) use tasks::HealthReview;

use super::{Bounds, NodeConnectionId, Output};
use connection::Connection;
use listed_nodes::Node;
use peppercove::NodeId;
use std::collections::BTreeMap;

/// All nodes and connections.
#[derive(Debug)]
pub(super) struct NodeConnections {
    nodes: BTreeMap<NodeId, Node>,
    connections: BTreeMap<NodeConnectionId, Connection>,
    /// Number of the last event of the list that was handled.
    pub(super) list_version: u64,
    /// Number of tasks that run on all nodes.
    running_tasks: usize,
    next_connection: u64,
    /// Source of the jitter of reconnections.
    rng: fastrand::Rng,
}

impl NodeConnections {
    /// No nodes and no connections.
    pub(super) fn new(seed: u64) -> NodeConnections {
        NodeConnections {
            nodes: BTreeMap::new(),
            connections: BTreeMap::new(),
            list_version: 0,
            running_tasks: 0,
            next_connection: 1,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Number of nodes of which something is kept.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The connection is established and is not being closed.
    pub(super) fn is_connected(&self, connection: NodeConnectionId) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(Connection::is_usable)
    }

    /// A connection to the node that is established.
    pub(super) fn any_connected(&self, node: NodeId) -> Option<NodeConnectionId> {
        let mut connections = self.nodes.get(&node)?.connections.iter().copied();
        connections.find(|connection| self.is_connected(*connection))
    }

    /// All connections to the node.
    pub(super) fn connections_of(&self, node: NodeId) -> Vec<NodeConnectionId> {
        let node = self.nodes.get(&node);
        node.map(|n| n.connections.clone()).unwrap_or_default()
    }
}
