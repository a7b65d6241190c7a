//! Connection tasks of the nodes, and the queues of messages to be sent to them.

use peppercove::NodeId;
use peppercove_protocol::node::ToNode;
use std::cell::RefCell;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The task that maintains the connection to a node, and the message queue while the node is connected.
struct NodeHandle {
    queue: Option<mpsc::Sender<ToNode>>,
    task: AbortHandle,
}

/// The nodes to which the core requested a connection.
#[derive(Default)]
pub(crate) struct NodeQueues {
    nodes: RefCell<BTreeMap<NodeId, NodeHandle>>,
}

impl NodeQueues {
    /// Adds a node with its connection task. A previous task of the node is aborted; returns whether there was one.
    pub(crate) fn insert(&self, node: NodeId, task: AbortHandle) -> bool {
        let old = self
            .nodes
            .borrow_mut()
            .insert(node, NodeHandle { queue: None, task });
        if let Some(old) = &old {
            old.task.abort();
        }
        old.is_some()
    }

    /// Removes a node and aborts its task.
    pub(crate) fn remove(&self, node: NodeId) {
        if let Some(handle) = self.nodes.borrow_mut().remove(&node) {
            handle.task.abort();
        }
    }

    /// Removes all nodes and aborts their tasks.
    pub(crate) fn clear(&self) {
        for handle in std::mem::take(&mut *self.nodes.borrow_mut()).into_values() {
            handle.task.abort();
        }
    }

    /// Sets the queue of a node when it connects; `None` when it disconnects.
    pub(crate) fn set_queue(&self, node: NodeId, queue: Option<mpsc::Sender<ToNode>>) {
        if let Some(handle) = self.nodes.borrow_mut().get_mut(&node) {
            handle.queue = queue;
        }
    }

    /// Queues a message for a node. Returns `false` if the node is not connected or its queue is full.
    pub(crate) fn send(&self, node: NodeId, message: ToNode) -> bool {
        let nodes = self.nodes.borrow();
        let queue = nodes.get(&node).and_then(|handle| handle.queue.as_ref());
        queue.is_some_and(|queue| queue.try_send(message).is_ok())
    }
}
