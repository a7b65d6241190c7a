//! Messages between a controller and the node list.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// State of a node in the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// The node accepts tasks.
    Ready,
    /// The node accepts no new tasks.
    Draining,
    /// The node has left the cluster. Used only in incremental updates.
    #[serde(rename = "Gone")]
    Removed,
}

/// One node in the node list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Address on which the node listens. It does not change when the node process restarts.
    pub address: SocketAddrV4,
    /// Name of the node. The node must send the same name in its handshake.
    pub name: String,
    /// State of the node.
    pub state: NodeState,
    /// Index of the kind of node.
    pub kind: u8,
    /// Rack of the node.
    pub rack: u16,
    /// Zone of the node.
    pub zone: u8,
    /// Incarnation of the node; it increases with each start of the node process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time since that start when the list was sent, in microseconds; `None` if the start was long ago. An age, unlike
    /// a timestamp, does not require synchronized clocks.
    pub age: Option<u64>,
    /// Free cores; the value may be out of date.
    pub free_cores: Option<f64>,
    /// Free memory; the value may be out of date.
    pub free_memory: Option<f64>,
}

/// Whether an update contains changes or the whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Incremental update: only the nodes that changed since the previous update.
    Delta,
    /// Full sync: the whole list.
    Full,
}

/// Messages from a controller to the node list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToList {
    /// Handshake; the first message of a connection.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// Name of the controller.
        controller: String,
    },
    /// Requests a watch: the list sends what changed since `after`, or the whole list, and then each change.
    Watch {
        /// Last generation that the controller received; `None` requests the whole list.
        after: Option<u64>,
    },
    /// Requests the whole list once.
    Fetch,
}

/// Messages from the node list to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromList {
    /// Reply to the handshake.
    Welcome {
        /// [`crate::VERSION`] of the sender.
        version: u16,
    },
    /// A new version of the list, as a full sync or an incremental update.
    #[serde(rename = "News")]
    Update {
        /// Generation (version) of the list.
        generation: u64,
        /// Whether `entries` is the whole list or only changes.
        scope: Scope,
        /// Entries of the list.
        #[serde(rename = "lines")]
        entries: Vec<ListEntry>,
    },
    /// The request failed; the previous list remains valid.
    Failed,
}
