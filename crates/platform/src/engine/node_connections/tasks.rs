//! Running tasks by node, and whether the node is reachable.

use super::{Bounds, NodeConnectionId, NodeConnections};
use peppercove::{Micros, NodeId, RequestId, TaskKey};

/// What is to be done about the silent connections of a node.
#[derive(Debug, Default)]
pub(in crate::engine) struct HealthReview {
    /// Connections to be checked.
    pub(in crate::engine) to_check: Vec<NodeConnectionId>,
    /// Connections whose check was not answered in time.
    pub(in crate::engine) to_close: Vec<NodeConnectionId>,
    /// Nothing was received from the node for as long as the limits allow.
    pub(in crate::engine) is_unreachable: bool,
}

impl NodeConnections {
    /// Number of tasks that run on all nodes.
    pub(in crate::engine) fn running_tasks(&self) -> usize {
        self.running_tasks
    }

    /// The tasks that run on a node.
    pub(in crate::engine) fn running_tasks_on(&self, node: NodeId) -> Vec<RequestId> {
        let node = self.nodes.get(&node);
        node.map(|n| n.running_tasks.keys().copied().collect())
            .unwrap_or_default()
    }

    /// The task of this name that runs on a node.
    pub(in crate::engine) fn find_running_task(
        &self,
        node: NodeId,
        task: TaskKey,
    ) -> Option<RequestId> {
        let mut tasks = self.nodes.get(&node)?.running_tasks.iter();
        let (request, _) = tasks.find(|(_, running)| **running == task)?;
        Some(*request)
    }

    /// A task runs on a node from now on.
    pub(in crate::engine) fn add_running_task(
        &mut self,
        node: NodeId,
        request: RequestId,
        task: TaskKey,
    ) {
        let Some(node) = self.nodes.get_mut(&node) else {
            return;
        };
        if node.running_tasks.insert(request, task).is_none() {
            self.running_tasks += 1;
        }
    }

    /// A task runs on a node no more.
    pub(in crate::engine) fn remove_running_task(&mut self, node: NodeId, request: RequestId) {
        let Some(node) = self.nodes.get_mut(&node) else {
            return;
        };
        node.pending_cancels.remove(&request);
        if node.running_tasks.remove(&request).is_some() {
            self.running_tasks -= 1;
        }
    }

    /// A node has attempts or tasks from now on; true where it was not monitored before.
    pub(in crate::engine) fn start_monitoring(&mut self, node: NodeId, now: Micros) -> bool {
        let node = self.nodes.get_mut(&node);
        let Some(node) = node.filter(|node| !node.is_monitored) else {
            return false;
        };
        node.is_monitored = true;
        node.last_contact_at = now;
        true
    }

    /// Reviews the connections to a node; `None` ends the monitoring, since the node has no attempts and tasks.
    pub(in crate::engine) fn review_health(
        &mut self,
        node: NodeId,
        now: Micros,
        bounds: Bounds,
    ) -> Option<HealthReview> {
        let node = self.nodes.get_mut(&node)?;
        let connections = node.connections.iter();
        let has_sent_attempts = connections
            .filter_map(|id| self.connections.get(id))
            .any(|connection| !connection.sent_attempts.is_empty());
        if node.running_tasks.is_empty() && !has_sent_attempts {
            node.is_monitored = false;
            return None;
        }
        let mut review = HealthReview {
            is_unreachable: node.last_contact_at + bounds.unreachable_timeout <= now,
            ..HealthReview::default()
        };
        for id in &node.connections {
            let connection = self.connections.get_mut(id);
            let Some(connection) = connection.filter(|connection| connection.is_usable()) else {
                continue;
            };
            match connection.health_check_sent_at {
                // A connection can stop working without notice while its node is well. What is open on it would wait
                // for its time-out, and more would be sent over it.
                Some(sent_at) if sent_at + bounds.health_check_timeout <= now => {
                    connection.is_closing = true;
                    review.to_close.push(*id);
                }
                Some(_) => {}
                None if connection.last_contact_at + bounds.health_check_interval <= now => {
                    review.to_check.push(*id);
                }
                None => {}
            }
        }
        Some(review)
    }
}
