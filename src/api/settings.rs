//! The settings with which a scheduler starts.

use super::{Micros, Resources};

/// The nodes that discard a second copy of a task with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every node.
    All,
    /// The nodes in the zone of the first attempt.
    Zone,
    /// The nodes in the rack of the first attempt.
    Rack,
}

/// What a second start of a task would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// The task carries an idempotency key: a second copy is discarded within `scope` for `window`
    /// after the first dispatch.
    Keyed {
        /// The nodes that discard it.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// Harm: it must not happen.
    NonIdempotent,
}

/// The topology domain in which the tasks of one service are limited in number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologySpread {
    /// No limit.
    Off,
    /// One node.
    Node,
    /// One rack.
    Rack,
    /// One zone.
    Zone,
}

/// One class of tasks.
#[derive(Clone, Debug)]
pub struct TaskClass {
    /// A first start within this time earns its full weight.
    pub latency_objective: Micros,
    /// How long clients wait for a placement.
    pub deadline: Micros,
    /// What a second start does.
    pub idempotency: Idempotency,
    /// Weight of one second of full service of a task of mean size.
    pub weight: f64,
    /// Share of a start's weight that is left after the latency objective.
    pub late_weight: f64,
    /// Seconds of service that a first start in time is worth.
    pub start_seconds: f64,
    /// Share of a node's cores in use up to which the class gets full service.
    pub saturation_start: f64,
    /// Service falls to nothing over this much more of the cores.
    pub saturation_span: f64,
    /// Higher priorities win in contention and preempt lower ones.
    pub priority: u8,
    /// Index of the node kind that it needs.
    pub node_kind: Option<u8>,
    /// The topology domain in which tasks of one service are limited in number.
    pub topology_spread: TopologySpread,
    /// Most tasks of one service in one such domain.
    pub max_per_domain: u32,
}

impl TaskClass {
    /// An idempotent class, one with idempotency keys and a topology spread, and a non-idempotent
    /// one.
    fn samples() -> Vec<TaskClass> {
        let class = TaskClass {
            latency_objective: 1_000_000,
            deadline: 5_000_000,
            idempotency: Idempotency::Idempotent,
            weight: 1.0,
            late_weight: 0.5,
            start_seconds: 5.0,
            saturation_start: 0.9,
            saturation_span: 0.1,
            priority: 0,
            node_kind: None,
            topology_spread: TopologySpread::Off,
            max_per_domain: 1,
        };
        let keyed = TaskClass {
            idempotency: Idempotency::Keyed {
                scope: DedupScope::Rack,
                window: 4_000_000,
            },
            topology_spread: TopologySpread::Rack,
            max_per_domain: 2,
            ..class
        };
        let non_idempotent = TaskClass {
            idempotency: Idempotency::NonIdempotent,
            ..class
        };
        vec![class, keyed, non_idempotent]
    }
}

/// A kind of node.
#[derive(Clone, Copy, Debug)]
pub struct NodeKind {
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
}

impl NodeKind {
    /// Cores and memory of such a node.
    pub fn capacity(&self) -> Resources {
        Resources::new(self.cores, self.memory)
    }
}

/// A tenant and its quota.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Cores that its tasks may request at one time, over all schedulers.
    pub quota_cores: Option<f64>,
}

/// What the free amounts of a load report are computed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBasis {
    /// Free is what no task requested.
    Requested,
    /// Free is what no task uses.
    Used,
}

/// When a node reports a task as placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementAck {
    /// Once it has accepted the task.
    Accepted,
    /// Once the task runs.
    Running,
}

/// The settings with which a scheduler starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Schedulers that share the nodes, this one included.
    pub schedulers: u32,
    /// Index of this scheduler among them.
    pub own_index: u32,
    /// Zone of this scheduler.
    pub own_zone: u8,
    /// The classes, by index.
    pub classes: Vec<TaskClass>,
    /// The node kinds, by index.
    pub node_kinds: Vec<NodeKind>,
    /// The tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Weight of a task beyond its tenant's quota.
    pub over_quota_weight: f64,
    /// A node accepts tasks that request up to this multiple of its cores.
    pub cores_overcommit: f64,
    /// A node accepts tasks that request up to this multiple of its memory.
    pub memory_overcommit: f64,
    /// When a node reports a task as placed.
    pub placement_ack: PlacementAck,
    /// Nodes preempt tasks of lower priority to make room.
    pub allows_preemption: bool,
    /// What load reports are computed from.
    pub load_basis: LoadBasis,
    /// Mean cores of a task.
    pub mean_cores: f64,
    /// Mean memory of a task.
    pub mean_memory: f64,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// An attempt may be cancelled.
    pub can_cancel_attempts: bool,
    /// Two attempts of one request may be in flight at once.
    pub can_hedge: bool,
    /// Nodes may be probed.
    pub can_probe: bool,
    /// Messages to other schedulers are allowed.
    pub peer_messages: bool,
    /// The node list must be requested.
    pub is_list_polled: bool,
    /// Without a subscription, the list is taken as known for this long after it was last polled.
    pub poll_interval: Micros,
    /// Longest pauses before a failed call for the list is repeated: the first one, and any.
    pub poll_backoff: [Micros; 2],
    /// How long after the deadline an answer still counts.
    pub answer_slack: Micros,
    /// Time allowed between the notice that a node drains and the last dispatch to it.
    pub drain_grace: Micros,
    /// A node that has just started starts tasks at this share of its full pace, or faster.
    pub slow_start_min_share: f64,
    /// A node has its full pace this long after its start.
    pub slow_start_window: Micros,
    /// A node that warms up fails when it is sent more than this multiple of what it can do.
    pub overload_multiple: f64,
    /// The window over which `overload_multiple` is measured.
    pub overload_window: Micros,
    /// Attempts within `overload_window`, of all schedulers, that a node that warms up always
    /// bears.
    pub slow_start_budget: f64,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// Price of the nodes in use beyond those needed, as a share of the result.
    pub fleet_price: f64,
    /// Price of one migration, as a share of a task's result.
    pub migration_price: f64,
    /// Price of one rejected attempt, likewise.
    pub rejection_price: f64,
    /// Price of one probe, likewise.
    pub probe_price: f64,
    /// How long clients wait before they request a non-idempotent task again.
    pub ambiguous_retry_delay: Micros,
}

impl Settings {
    /// Settings of a small made-up cluster, for examples and tests.
    pub fn sample() -> Settings {
        Settings {
            schedulers: 2,
            own_index: 0,
            own_zone: 0,
            classes: TaskClass::samples(),
            node_kinds: vec![NodeKind {
                cores: 16.0,
                memory: 32.0,
            }],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            cores_overcommit: 1.0,
            memory_overcommit: 1.0,
            placement_ack: PlacementAck::Running,
            allows_preemption: false,
            load_basis: LoadBasis::Requested,
            mean_cores: 1.0,
            mean_memory: 2.0,
            max_attempts: 3,
            can_cancel_attempts: true,
            can_hedge: false,
            can_probe: false,
            peer_messages: false,
            is_list_polled: true,
            poll_interval: 10_000_000,
            poll_backoff: [625_000, 5_000_000],
            answer_slack: 10_000,
            drain_grace: 500_000,
            slow_start_min_share: 0.2,
            slow_start_window: 15_000_000,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
            slow_start_budget: 8.0,
            tick: 1_000,
            fleet_price: 0.0,
            migration_price: 0.0,
            rejection_price: 0.0,
            probe_price: 0.0,
            ambiguous_retry_delay: 3_000_000,
        }
    }

    /// Cores and memory that a node accepts, as multiples of what it has.
    pub(crate) fn overcommit(&self) -> Resources {
        Resources::new(self.cores_overcommit, self.memory_overcommit)
    }
}
