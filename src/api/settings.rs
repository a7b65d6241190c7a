//! Settings of a scheduler.

use super::{Micros, Resources};

/// The set of nodes that recognize an idempotency key and discard a second copy of its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every node.
    All,
    /// Nodes in the zone of the first attempt.
    Zone,
    /// Nodes in the rack of the first attempt.
    Rack,
}

/// Whether a task may be started more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second start does no harm.
    Idempotent,
    /// The task has an idempotency key: nodes within `scope` discard a second copy for the duration
    /// of `window` after the first dispatch.
    Keyed {
        /// The nodes that discard the second copy.
        scope: DedupScope,
        /// How long the key is remembered after the first dispatch.
        window: Micros,
    },
    /// A second start must not happen.
    NonIdempotent,
}

/// The level of the topology at which the number of tasks of one service is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologySpread {
    /// There is no limit.
    Off,
    /// Limit per node.
    Node,
    /// Limit per rack.
    Rack,
    /// Limit per zone.
    Zone,
}

/// A class of tasks.
#[derive(Clone, Debug)]
pub struct TaskClass {
    /// A first start within this time after the request earns its full weight.
    pub latency_objective: Micros,
    /// Time that clients wait for a placement.
    pub deadline: Micros,
    /// Whether its tasks may be started more than once.
    pub idempotency: Idempotency,
    /// Weight of one second of full service for a task of mean size.
    pub weight: f64,
    /// Fraction of the weight of a start that remains after the latency objective.
    pub late_weight: f64,
    /// Value of a first start within the latency objective, in seconds of service.
    pub start_seconds: f64,
    /// Core utilization of a node, as a fraction, up to which tasks of the class get full service.
    pub saturation_start: f64,
    /// Increase in utilization above `saturation_start` over which service drops from full to none.
    pub saturation_span: f64,
    /// Priority of the class. Tasks of higher priority win in contention and preempt those of lower
    /// priority.
    pub priority: u8,
    /// Index of the required node kind; `None` if any kind is accepted.
    pub node_kind: Option<u8>,
    /// Topology level at which the number of tasks of one service is limited.
    pub topology_spread: TopologySpread,
    /// Maximum number of tasks of one service in one topology domain.
    pub max_per_domain: u32,
}

impl TaskClass {
    /// An idempotent class, a class with idempotency keys and topology spread, and a non-idempotent
    /// class.
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

/// A kind of node, defined by its hardware.
#[derive(Clone, Copy, Debug)]
pub struct NodeKind {
    /// Number of cores of such a node.
    pub cores: f64,
    /// Amount of memory of such a node.
    pub memory: f64,
}

impl NodeKind {
    /// The cores and memory of such a node.
    pub fn capacity(&self) -> Resources {
        Resources::new(self.cores, self.memory)
    }
}

/// A tenant and its quota.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Cores that its tasks may request at the same time, over all schedulers; `None` if there is
    /// no quota.
    pub quota_cores: Option<f64>,
}

/// How the free amounts in a load report are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBasis {
    /// Capacity less the resources requested by tasks.
    Requested,
    /// Capacity less the resources used by tasks.
    Used,
}

/// When a node reports a task as placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementAck {
    /// When it has accepted the task.
    Accepted,
    /// When the task runs.
    Running,
}

/// Settings of a scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of schedulers that share the nodes, including this one.
    pub schedulers: u32,
    /// Index of this scheduler among them.
    pub own_index: u32,
    /// Zone in which this scheduler runs.
    pub own_zone: u8,
    /// The task classes; requests refer to them by index.
    pub classes: Vec<TaskClass>,
    /// The node kinds; node list entries refer to them by index.
    pub node_kinds: Vec<NodeKind>,
    /// The tenants; requests refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Weight of a task that exceeds the quota of its tenant.
    pub over_quota_weight: f64,
    /// Overcommit factor for cores: a node accepts tasks that together request up to this multiple
    /// of its cores.
    pub cores_overcommit: f64,
    /// Overcommit factor for memory: a node accepts tasks that together request up to this multiple
    /// of its memory.
    pub memory_overcommit: f64,
    /// When a node reports a task as placed.
    pub placement_ack: PlacementAck,
    /// Whether nodes preempt tasks of lower priority to free capacity.
    pub allows_preemption: bool,
    /// How the free amounts in load reports are computed.
    pub load_basis: LoadBasis,
    /// Mean number of cores requested by a task.
    pub mean_cores: f64,
    /// Mean amount of memory requested by a task.
    pub mean_memory: f64,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether an attempt may be cancelled.
    pub can_cancel_attempts: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub can_hedge: bool,
    /// Whether nodes may be probed.
    pub can_probe: bool,
    /// Whether messages to other schedulers are allowed.
    pub peer_messages: bool,
    /// Whether the node list has to be polled rather than arriving through a subscription.
    pub is_list_polled: bool,
    /// Time for which a list is considered current after it was polled, if there is no
    /// subscription.
    pub poll_interval: Micros,
    /// Maximum delays before a failed call to the list service is repeated: for the first retry,
    /// and for any later one.
    pub poll_backoff: [Micros; 2],
    /// Time after the deadline at which an answer still counts.
    pub answer_slack: Micros,
    /// Grace period: maximum time between the notice that a node is draining and the last dispatch
    /// to it.
    pub drain_grace: Micros,
    /// Minimum fraction of the full start rate at which a node starts tasks right after its own
    /// start.
    pub slow_start_min_share: f64,
    /// Time after its start at which a node reaches its full start rate.
    pub slow_start_window: Micros,
    /// A node in slow start fails if it is sent more than this multiple of what it can handle.
    pub overload_multiple: f64,
    /// Window over which `overload_multiple` is measured.
    pub overload_window: Micros,
    /// Number of attempts per `overload_window`, from all schedulers together, that a node in slow
    /// start can always handle.
    pub slow_start_budget: f64,
    /// Minimum time between two batches of events.
    pub tick: Micros,
    /// Cost of nodes in use beyond the number needed, as a fraction of the overall result.
    pub excess_node_cost: f64,
    /// Cost of one migration, as a fraction of the result of one task.
    pub migration_cost: f64,
    /// Cost of one rejected attempt, as a fraction of the result of one task.
    pub rejection_cost: f64,
    /// Cost of one probe, as a fraction of the result of one task.
    pub probe_cost: f64,
    /// Time that clients wait before they request a non-idempotent task again whose outcome is
    /// ambiguous.
    pub ambiguous_retry_delay: Micros,
}

impl Settings {
    /// Settings of a small fictitious cluster, for examples and tests.
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
            excess_node_cost: 0.0,
            migration_cost: 0.0,
            rejection_cost: 0.0,
            probe_cost: 0.0,
            ambiguous_retry_delay: 3_000_000,
        }
    }

    /// The overcommit factors for cores and memory.
    pub(crate) fn overcommit(&self) -> Resources {
        Resources::new(self.cores_overcommit, self.memory_overcommit)
    }
}
