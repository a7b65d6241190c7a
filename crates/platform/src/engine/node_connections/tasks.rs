//! Running tasks by node, and node health.

use super::{Bounds, NodeConnectionId, NodeConnections};
use peppercove::{Micros, NodeId, RequestId, TaskKey};

/// The actions that follow from a review of the connections to a node.
#[derive(Debug, Default)]
pub(in crate::engine) struct HealthReview {
    /// Silent connections on which a health check must be sent.
    pub(in crate::engine) to_check: Vec<NodeConnectionId>,
    /// Connections whose health check was not answered in time.
    pub(in crate::engine) to_close: Vec<NodeConnectionId>,
    /// Whether nothing was received from the node for the unreachable timeout.
    pub(in crate::engine) is_unreachable: bool,
}

impl NodeConnections {
    /// Number of running tasks on all nodes.
    pub(in crate::engine) fn running_tasks(&self) -> usize {
        self.running_tasks
    }

    /// The requests whose tasks run on a node.
    pub(in crate::engine) fn running_tasks_on(&self, node: NodeId) -> Vec<RequestId> {
        let node = self.nodes.get(&node);
        node.map(|n| n.running_tasks.keys().copied().collect())
            .unwrap_or_default()
    }

    /// The request whose task has this key and runs on the node.
    pub(in crate::engine) fn find_running_task(
        &self,
        node: NodeId,
        task: TaskKey,
    ) -> Option<RequestId> {
        let tasks = &self.nodes.get(&node)?.tasks_by_key;
        let first = tasks.range((task, RequestId(0))..).next();
        first
            .filter(|(key, _)| *key == task)
            .map(|(_, request)| *request)
    }

    /// Adds a running task to a node.
    pub(in crate::engine) fn add_running_task(
        &mut self,
        node: NodeId,
        request: RequestId,
        task: TaskKey,
    ) {
        let Some(node) = self.nodes.get_mut(&node) else {
            return;
        };
        node.tasks_by_key.insert((task, request));
        if node.running_tasks.insert(request, task).is_none() {
            self.running_tasks += 1;
        }
    }

    /// Removes a task that no longer runs on a node. An unlisted node is removed with its last task.
    pub(in crate::engine) fn remove_running_task(&mut self, id: NodeId, request: RequestId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.pending_cancels.remove(&request);
        if let Some(task) = node.running_tasks.remove(&request) {
            node.tasks_by_key.remove(&(task, request));
            self.running_tasks -= 1;
        }
        if !node.is_listed {
            self.remove_if_gone(id);
        }
    }

    /// Starts monitoring a node that now has attempts or tasks. Returns true if it was not monitored before.
    pub(in crate::engine) fn start_monitoring(&mut self, node: NodeId, now: Micros) -> bool {
        let node = self.nodes.get_mut(&node);
        let Some(node) = node.filter(|node| !node.is_monitored) else {
            return false;
        };
        node.is_monitored = true;
        node.last_contact_at = now;
        true
    }

    /// Reviews the connections to a node. Returns `None` and ends the monitoring if the node has no attempts and tasks.
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
                // A connection can silently stop working while its node is healthy. If it were kept, its open attempts
                // would wait for their timeouts, and further attempts would be sent over it.
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
