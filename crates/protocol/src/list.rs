//! Messages between a controller and the node list.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// What the list says of a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Takes tasks.
    Ready,
    /// Takes nothing new.
    Draining,
    /// Left the cluster; appears in changes alone.
    #[serde(rename = "Gone")]
    Removed,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Where the node listens; it stays the same when its process restarts.
    pub address: SocketAddrV4,
    /// Its name, which it must answer to.
    pub name: String,
    /// Its state.
    pub state: NodeState,
    /// Index of its kind.
    pub kind: u8,
    /// Its rack.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// A number that is higher after each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Microseconds since that start, when the list was sent; `None` is long ago. An age needs no common clock.
    pub age: Option<u64>,
    /// Cores nobody asked for, some time ago.
    pub free_cores: Option<f64>,
    /// Memory nobody asked for, some time ago.
    pub free_memory: Option<f64>,
}

/// How a list relates to the one that was sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Changed nodes alone.
    Delta,
    /// The whole list.
    Full,
}

/// What a controller asks of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToList {
    /// First message of a link.
    Hello {
        /// [`crate::VERSION`] of the sender.
        version: u16,
        /// Name of the controller.
        controller: String,
    },
    /// Send what changed since `after`, or the whole list, and then every change.
    Watch {
        /// Last generation seen; `None` asks for the whole list.
        after: Option<u64>,
    },
    /// Send the whole list once.
    Fetch,
}

/// What the list answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromList {
    /// Answer to the greeting.
    Welcome {
        /// [`crate::VERSION`] of the sender.
        version: u16,
    },
    /// News.
    #[serde(rename = "News")]
    Update {
        /// Version of the list.
        generation: u64,
        /// How it relates to the one before.
        scope: Scope,
        /// The lines.
        #[serde(rename = "lines")]
        entries: Vec<ListEntry>,
    },
    /// The call is turned away; the old list stands.
    Failed,
}
