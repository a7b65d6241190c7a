//! Node information available to schedulers: the node list and load reports.

use super::{Micros, NodeId};
use serde::{Deserialize, Serialize};

/// Availability of a node according to the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeStatus {
    /// Accepts tasks.
    Ready,
    /// Accepts no new tasks. Tasks that still run there are evicted eventually.
    Draining,
    /// Has left the cluster, or was never listed.
    #[default]
    Gone,
}

/// One entry of the node list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node.
    #[serde(rename = "machine")]
    pub node: NodeId,
    /// Its availability.
    pub state: NodeStatus,
    /// Index of its hardware kind in [`Settings::node_kinds`](super::Settings::node_kinds).
    pub kind: u8,
    /// Its rack, unique within its zone.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// Time of its last start; 0 if the node has been up for a long time.
    pub started_at: Micros,
    /// Identifier of the current incarnation. It changes with each restart and is the same for all
    /// schedulers, whereas `started_at` can differ because their clocks do.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Cores not requested by any task, as of some time before the update.
    pub free_cores: Option<f64>,
    /// Memory not requested by any task, as of some time before the update.
    pub free_memory: Option<f64>,
    /// Number of attempts that this scheduler may send to the node per window during slow start.
    /// Set if only some of the schedulers use the node; otherwise the budget is divided among all
    /// of them.
    #[serde(
        default,
        rename = "cold_share",
        skip_serializing_if = "Option::is_none"
    )]
    pub slow_start_share: Option<u32>,
}

/// How a node list update relates to the list already known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdateKind {
    /// Only the entries that changed.
    #[serde(rename = "Delta")]
    Incremental,
    /// The complete list.
    Full,
    /// The complete list as last seen before a restart.
    Cached,
    /// Nodes that enter the node subset of this scheduler, or leave it (marked as gone). This
    /// update does not come from the list service.
    #[serde(rename = "View")]
    SubsetChange,
    /// A call failed or the subscription broke. The known list remains in use.
    Failed,
}

/// A load report of a node. Values that the site does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Free cores, as defined by [`Settings::load_basis`](super::Settings::load_basis).
    pub free_cores: Option<f64>,
    /// Free memory, with the same definition.
    pub free_memory: Option<f64>,
    /// Fraction of the cores in use, from 0 to 1.
    #[serde(rename = "busy")]
    pub cpu_utilization: Option<f64>,
    /// Number of attempts and task starts that wait in the queue of the node.
    #[serde(rename = "waiting")]
    pub queue_depth: Option<f64>,
}
