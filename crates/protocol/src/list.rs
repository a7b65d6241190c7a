//! Messages between a controller and the node list.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// State of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Accepts tasks.
    Ready,
    /// Accepts no new task.
    Draining,
    /// The node has left the cluster; only in incremental updates.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Where the node listens; the same after a restart of its process.
    pub address: SocketAddrV4,
    /// Name of the node, which its handshake must carry.
    pub name: String,
    /// State of the node.
    pub state: NodeState,
    /// Index of its kind of node.
    pub kind: u8,
    /// Its rack.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// Incarnation; higher after each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time since that start when the list was sent, in microseconds; `None` is long ago. An age needs no common clock.
    pub age: Option<u64>,
    /// Free cores; the value may be out of date.
    pub free_cores: Option<f64>,
    /// Free memory; the value may be out of date.
    pub free_memory: Option<f64>,
}

/// How an update relates to the one that was sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// An incremental update: changed nodes only.
    Delta,
    /// A full sync: the whole list.
    Full,
}

/// Messages of a controller to the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToList {
    /// First message of a connection.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// Name of the controller.
        controller: String,
    },
    /// Watch the list: send what changed since `after`, or the whole list, and then every change.
    Watch {
        /// Last generation seen; `None` requests the whole list.
        after: Option<u64>,
    },
    /// Poll the list: send the whole list once.
    Fetch,
}

/// Messages of the list to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromList {
    /// Answer to the handshake.
    Welcome {
        /// [`crate::VERSION`] of the sender.
        version: u16,
    },
    /// A new version of the list, in full or as changes.
    #[serde(rename = "News")]
    Update {
        /// Version of the list.
        generation: u64,
        /// Whether it is the whole list or only changes.
        scope: Scope,
        /// The nodes.
        #[serde(rename = "lines")]
        entries: Vec<ListEntry>,
    },
    /// The call is rejected; the previous list stays valid.
    Failed,
}
