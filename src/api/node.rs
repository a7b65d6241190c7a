//! What schedulers know of nodes: the node list and load reports.

use super::{Micros, NodeId};
use serde::{Deserialize, Serialize};

/// Whether a node takes tasks, as the node list says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeStatus {
    /// Takes tasks.
    Ready,
    /// Takes no new tasks; those that it runs are evicted sooner or later.
    Draining,
    /// Left the cluster, or was never listed.
    #[default]
    Gone,
}

/// One entry of the node list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node.
    #[serde(rename = "machine")]
    pub node: NodeId,
    /// Whether it takes tasks.
    pub state: NodeStatus,
    /// Index of its kind in [`Settings::node_kinds`](super::Settings::node_kinds).
    pub kind: u8,
    /// Its rack, unique within its zone.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// When it last started; 0 if that was long ago.
    pub started_at: Micros,
    /// Number of its current run: another one after each restart, and the same for all schedulers,
    /// whose clocks may differ in `started_at`.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Cores that no task requested, some time ago.
    pub free_cores: Option<f64>,
    /// Memory that no task requested, some time ago.
    pub free_memory: Option<f64>,
    /// Attempts that this scheduler may send the node in one window while it warms up. Set where
    /// only some of the schedulers use the node; otherwise the budget is split among all of them.
    #[serde(
        default,
        rename = "cold_share",
        skip_serializing_if = "Option::is_none"
    )]
    pub slow_start_share: Option<u32>,
}

/// How a list event relates to the list already known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdateKind {
    /// Changed nodes only.
    #[serde(rename = "Delta")]
    Incremental,
    /// The complete list.
    Full,
    /// The complete list as it was last seen before a restart.
    Cached,
    /// Not an answer of the list service: nodes that enter this scheduler's subset, or leave it (as
    /// gone).
    #[serde(rename = "View")]
    SubsetChange,
    /// A call failed or the subscription broke; the known list stays in force.
    Failed,
}

/// A load report of a node. Each value is there only if the site reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Free cores, in the sense of [`Settings::load_basis`](super::Settings::load_basis).
    pub free_cores: Option<f64>,
    /// Free memory, likewise.
    pub free_memory: Option<f64>,
    /// Share of the cores in use, from 0 to 1.
    #[serde(rename = "busy")]
    pub cpu_utilization: Option<f64>,
    /// Attempts and starts waiting in the node's queue.
    #[serde(rename = "waiting")]
    pub queue_depth: Option<f64>,
}
