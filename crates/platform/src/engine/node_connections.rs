//! State of the nodes, the connections to them, and the tasks running on them.
//!
//! | module | topic |
//! | --- | --- |
//! | `listed_nodes` | node names and node list entries |
//! | `tasks` | running tasks by node, and node health |
//! | `pool` | selecting, opening and closing connections |
//! | `connection` | state of one connection: attempts, cancellations, health checks |

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
    /// Number of the last node list event that was handled.
    pub(super) list_version: u64,
    /// Number of running tasks on all nodes.
    running_tasks: usize,
    /// Number of nodes that have never been listed.
    unlisted_nodes: usize,
    next_connection: u64,
    /// Generates the jitter of reconnect delays.
    rng: fastrand::Rng,
}

impl NodeConnections {
    /// Creates a state without nodes and connections. `seed` determines the jitter of reconnect delays.
    pub(super) fn new(seed: u64) -> NodeConnections {
        NodeConnections {
            nodes: BTreeMap::new(),
            connections: BTreeMap::new(),
            list_version: 0,
            running_tasks: 0,
            unlisted_nodes: 0,
            next_connection: 1,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Number of nodes for which state is held.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the connection is established and not being closed.
    pub(super) fn is_connected(&self, connection: NodeConnectionId) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(Connection::is_usable)
    }

    /// Any established connection to the node.
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
