//! Selects, opens and closes connections to nodes.

use super::connection::Connection;
use super::{Bounds, NodeConnectionId, NodeConnections, Output};
use peppercove::{Micros, NodeId};

impl NodeConnections {
    /// Selects the connection for an attempt: the one with the fewest open attempts among those that have not carried
    /// an attempt of the same request (`used`), or a new connection. Returns `None` if the node's address is unknown or
    /// no descriptor is free.
    pub(in crate::engine) fn select_connection(
        &mut self,
        node: NodeId,
        used: &[NodeConnectionId],
        now: Micros,
        bounds: Bounds,
        outputs: &mut Vec<Output>,
    ) -> Option<NodeConnectionId> {
        // Connections whose health check has not been answered for half of the timeout are not used.
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

    /// Closes idle connections until at most `max` connections are left or none is idle.
    pub(in crate::engine) fn shrink_to(&mut self, max: usize, outputs: &mut Vec<Output>) {
        let closing = self.connections.values().filter(|c| c.is_closing).count();
        for _ in max..self.connections.len() - closing {
            if self.close_idle(outputs).is_none() {
                return;
            }
        }
    }

    /// Closes the idle connection that has been silent for the longest time, preferring nodes without tasks. Returns
    /// `None` if there is no idle connection. If no descriptor were free, reconnecting would fail and healthy nodes
    /// would count as unreachable.
    fn close_idle(&mut self, outputs: &mut Vec<Output>) -> Option<()> {
        let has_tasks = |connection: &Connection| {
            let node = self.nodes.get(&connection.node);
            node.is_some_and(|node| !node.running_tasks.is_empty())
        };
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle());
        let (id, _) = idle.min_by_key(|(_, c)| (has_tasks(c), c.last_contact_at))?;
        let id = *id;
        let connection = self.connections.get_mut(&id)?;
        connection.is_closing = true;
        connection.is_evicted = true;
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

    /// Records that a connection to the node broke, possibly with unread messages, so that a new connection must be
    /// opened.
    pub(in crate::engine) fn require_new_connection(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.needs_connection_from = Some(NodeConnectionId(self.next_connection));
        }
    }

    /// Opens a connection to a node with tasks, unless it has one that was opened after the last break.
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

    /// Returns the delay before reconnecting to a node, or `None` if no new connection is needed.
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
