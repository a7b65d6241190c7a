//! Which connection to a node is used, opened or closed.

use super::connection::Connection;
use super::{Bounds, NodeConnectionId, NodeConnections, Output};
use peppercove::{Micros, NodeId};

impl NodeConnections {
    /// The connection for an attempt: one that has carried none of the request's attempts (`used`), with the fewest
    /// open attempts, or a new one. `None` where the node's address is not known or no descriptor is free.
    pub(in crate::engine) fn select_connection(
        &mut self,
        node: NodeId,
        used: &[NodeConnectionId],
        now: Micros,
        bounds: Bounds,
        outputs: &mut Vec<Output>,
    ) -> Option<NodeConnectionId> {
        // A connection whose check is not answered for half of the time-out is passed over.
        let max_check_age = bounds.health_check_timeout / 2;
        let is_responsive = |connection: &Connection| {
            let sent_at = connection.health_check_sent_at;
            !connection.is_closing && sent_at.is_none_or(|at| at + max_check_age > now)
        };
        let is_candidate = |id: &NodeConnectionId| {
            !used.contains(id) && self.connections.get(id).is_some_and(is_responsive)
        };
        let load = |id: NodeConnectionId| {
            let connection = self.connections.get(&id);
            connection.map_or(0, Connection::open_attempts)
        };
        let connections = self.nodes.get(&node)?.connections.iter().copied();
        let candidates: Vec<NodeConnectionId> = connections.filter(is_candidate).collect();
        let best = candidates.iter().copied().min_by_key(|id| (load(*id), *id));
        let has_enough = candidates.len() >= bounds.connections_per_node;
        match best {
            Some(id) if load(id) == 0 || has_enough => Some(id),
            Some(_) | None => self.open(node, bounds, outputs).or(best),
        }
    }

    /// Closes idle connections until no more than `max` are left, or none is idle.
    pub(in crate::engine) fn shrink_to(&mut self, max: usize, outputs: &mut Vec<Output>) {
        let closing = self.connections.values().filter(|c| c.is_closing).count();
        for _ in max..self.connections.len() - closing {
            if self.close_idle(outputs).is_none() {
                return;
            }
        }
    }

    /// Closes the idle connection that was silent for longest, those to nodes without tasks first. `None` where there
    /// is none. Without free descriptors, nodes cannot be connected to and look dead.
    fn close_idle(&mut self, outputs: &mut Vec<Output>) -> Option<()> {
        let has_tasks = |connection: &Connection| {
            let node = self.nodes.get(&connection.node);
            node.is_some_and(|node| !node.running_tasks.is_empty())
        };
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle());
        let (id, _) = idle.min_by_key(|(_, c)| (has_tasks(c), c.last_contact_at))?;
        let id = *id;
        self.connections.get_mut(&id)?.is_closing = true;
        outputs.push(Output::Close(id));
        Some(())
    }

    fn open(
        &mut self,
        node_id: NodeId,
        bounds: Bounds,
        outputs: &mut Vec<Output>,
    ) -> Option<NodeConnectionId> {
        let address = self.nodes.get(&node_id)?.address?;
        if self.connections.len() >= bounds.node_connections {
            self.close_idle(outputs)?;
        }
        let node = self.nodes.get_mut(&node_id)?;
        let id = NodeConnectionId(self.next_connection);
        self.next_connection += 1;
        node.connections.push(id);
        self.connections.insert(id, Connection::new(node_id));
        outputs.push(Output::Connect(id, address));
        Some(id)
    }

    /// A connection to the node broke, perhaps with messages on it that were not read: the next one that is opened is
    /// needed.
    pub(in crate::engine) fn require_new_connection(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.needs_connection_from = Some(NodeConnectionId(self.next_connection));
        }
    }

    /// Opens a connection to a node with tasks where it has none, or only such as were opened before one broke.
    pub(in crate::engine) fn ensure_connection(
        &mut self,
        id: NodeId,
        bounds: Bounds,
        outputs: &mut Vec<Output>,
    ) {
        let Some(node) = self.nodes.get(&id) else {
            return;
        };
        let is_closing = |id: &NodeConnectionId| {
            let connection = self.connections.get(id);
            connection.is_none_or(|connection| connection.is_closing)
        };
        let is_too_old =
            |id: &NodeConnectionId| node.needs_connection_from.is_some_and(|first| *id < first);
        let has_connection = node
            .connections
            .iter()
            .any(|id| !is_closing(id) && !is_too_old(id));
        if !has_connection && !node.is_gone() && !node.running_tasks.is_empty() {
            self.open(id, bounds, outputs);
        }
    }

    /// How long to wait before a node is reconnected; `None` where no new connection is needed.
    pub(in crate::engine) fn reconnect_delay(&mut self, node: NodeId) -> Option<Micros> {
        let node = self.nodes.get_mut(&node)?;
        let needs_connection = node.needs_connection_from.is_some() || node.connections.is_empty();
        if node.running_tasks.is_empty() || !needs_connection {
            return None;
        }
        let delay = node.backoff.next_delay(self.rng.f64());
        Some(u64::try_from(delay.as_micros()).unwrap_or(0))
    }
}
