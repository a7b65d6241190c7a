//! What the decision module is told and what it may do, in the field's own terms. No decision lives here.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A time or a span in microseconds.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);
    };
}
id!(
    /// A machine, by its address.
    NodeId
);
id!(
    /// One ask for a placing; a task that comes again has a new one.
    RequestId
);
id!(
    /// A task, the same each time it comes.
    TaskKey
);
id!(
    /// The service a task belongs to: one program, one shape, one class.
    ServiceId
);

/// Which machines discard a second copy of a task that carries a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every machine.
    All,
    /// Those in the zone of the first.
    Zone,
    /// Those in the rack of the first.
    Rack,
}

/// What a second start of a task would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// Discarded by the machines of `group` for `window` after the first send.
    Keyed {
        /// The machines that discard it.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// Harm: it must not happen.
    NonIdempotent,
}

/// The place that a service's tasks must not crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologySpread {
    /// No limit.
    Off,
    /// One machine.
    Node,
    /// One rack.
    Rack,
    /// One zone.
    Zone,
}

/// One class of tasks.
#[derive(Clone, Debug)]
pub struct TaskClass {
    /// A first start within this time earns its full worth.
    pub latency_objective: Micros,
    /// Owner's wait for a placing.
    pub deadline: Micros,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Worth of one second of full service of a task of mean size.
    pub weight: f64,
    /// Share of a start's worth after the aim.
    pub late_weight: f64,
    /// Seconds of service that a timely first start is worth.
    pub start_seconds: f64,
    /// Busy share of the cores up to which the class is served in full.
    pub saturation_start: f64,
    /// Service falls to nothing over this much more.
    pub saturation_span: f64,
    /// Higher ones win in contention and evictions.
    pub priority: u8,
    /// The machine kind it needs.
    pub node_kind: Option<u8>,
    /// The place its services must not crowd.
    pub topology_spread: TopologySpread,
    /// The most tasks of one service in one such place.
    pub max_per_domain: u32,
}

/// A kind of machine.
#[derive(Clone, Copy, Debug)]
pub struct NodeKind {
    /// Cores of the machine.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
}

/// A tenant and the demand within its share.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Cores that its tasks may ask for at a time within its share, over all schedulers.
    pub quota_cores: Option<f64>,
}

/// What a load report holds about one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBasis {
    /// Free values are what is not asked for.
    Requested,
    /// Free values are what is not in use.
    Used,
}

/// When a machine says that a task is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementAck {
    /// Once it has accepted it.
    Accepted,
    /// Once the task runs.
    Running,
}

/// All that a scheduler is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Schedulers that share the machines, this one included.
    pub schedulers: u32,
    /// This scheduler's number among them.
    pub own_index: u32,
    /// The zone of this scheduler.
    pub own_zone: u8,
    /// The classes, by index.
    pub classes: Vec<TaskClass>,
    /// The machine kinds, by index.
    pub node_kinds: Vec<NodeKind>,
    /// The tenants, by index.
    pub tenants: Vec<Tenant>,
    /// What a task past its tenant's share is worth.
    pub over_quota_weight: f64,
    /// A machine accepts tasks up to this multiple of its cores.
    pub cores_overcommit: f64,
    /// And up to this multiple of its memory.
    pub memory_overcommit: f64,
    /// What confirms a placing.
    pub placement_ack: PlacementAck,
    /// Machines push out tasks of lower priority to make room.
    pub allows_preemption: bool,
    /// What load reports count.
    pub load_basis: LoadBasis,
    /// Mean cores of a task.
    pub mean_cores: f64,
    /// Mean memory of a task.
    pub mean_memory: f64,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// An attempt may be withdrawn.
    pub can_cancel_attempts: bool,
    /// Two attempts of one request may be out at once.
    pub can_hedge: bool,
    /// Machines may be probed.
    pub can_probe: bool,
    /// Messages to other schedulers are allowed.
    pub peer_messages: bool,
    /// The machine list must be asked for.
    pub is_list_polled: bool,
    /// Without a subscription, the list counts as told this long after it was last asked for.
    pub poll_interval: Micros,
    /// Longest waits before a call for the list that failed is made again: the first time, and ever.
    pub poll_backoff: [Micros; 2],
    /// Grace of an answer after the deadline.
    pub answer_slack: Micros,
    /// Time allowed between hearing of a drain and the last bind.
    pub drain_grace: Micros,
    /// A new machine starts tasks at this share of its pace or more.
    pub slow_start_min_share: f64,
    /// And is warm after this.
    pub slow_start_window: Micros,
    /// A cold machine falls over when sent more than this multiple of what it can do.
    pub overload_multiple: f64,
    /// For this long.
    pub overload_window: Micros,
    /// Offers within `fall_window`, from all schedulers, that a cold machine always bears.
    pub slow_start_budget: f64,
    /// Least time between two batches of events.
    pub tick: Micros,
    /// Price of the machines in use beyond the needed, as a share of the result.
    pub fleet_price: f64,
    /// Price of one move for each task.
    pub migration_price: f64,
    /// Price of one refused offer for each task.
    pub rejection_price: f64,
    /// Price of one probe for each task.
    pub probe_price: f64,
    /// How long owners wait before they ask again where a second start would do harm.
    pub ambiguous_retry_delay: Micros,
}

impl Settings {
    /// Settings of a small made-up cluster, for examples and tests.
    pub fn sample() -> Settings {
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
        let keyed = Idempotency::Keyed {
            scope: DedupScope::Rack,
            window: 4_000_000,
        };
        let spread = TaskClass {
            idempotency: keyed,
            topology_spread: TopologySpread::Rack,
            max_per_domain: 2,
            ..class.clone()
        };
        let once = TaskClass {
            idempotency: Idempotency::NonIdempotent,
            ..class.clone()
        };
        Settings {
            schedulers: 2,
            own_index: 0,
            own_zone: 0,
            classes: vec![class, spread, once],
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
}

/// What the list says of a machine's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeStatus {
    /// Takes tasks.
    Ready,
    /// Takes nothing new.
    Draining,
    /// Left the cluster, or never listed.
    #[default]
    Gone,
}

/// One line of the machine list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The machine.
    #[serde(rename = "machine")]
    pub node: NodeId,
    /// Its state.
    pub state: NodeStatus,
    /// Index of its kind.
    pub kind: u8,
    /// Its rack.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// When it last started; 0 is long ago.
    pub started_at: Micros,
    /// A number of that life, the same for all schedulers, which may read the start against own clocks.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Cores nobody asked for, some time ago.
    pub free_cores: Option<f64>,
    /// Memory nobody asked for, some time ago.
    pub free_memory: Option<f64>,
    /// Offers that this scheduler may make there in a window while the machine is cold, where not all
    /// schedulers share it; else the split among all of them holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cold_share")]
    pub slow_start_share: Option<u32>,
}

/// How a list event relates to the list already held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdateKind {
    /// Changed machines alone.
    #[serde(rename = "Delta")]
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as last seen before a restart.
    Cached,
    /// No news of the list: machines that come into this scheduler's view, or leave it, as gone.
    #[serde(rename = "View")]
    SubsetChange,
    /// A call failed or the subscription broke: the old list stands.
    Failed,
}

/// A task to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// This ask.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// The task.
    pub task: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u32,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for.
    pub memory: f64,
    /// Time until its owner gives up.
    pub deadline_in: Micros,
    /// Expected remaining run time.
    #[serde(rename = "life_hint")]
    pub expected_duration: Option<Micros>,
    /// It came before.
    #[serde(rename = "again")]
    pub is_retry: bool,
}

impl PlacementRequest {
    /// Its class is known and its figures are numbers that something can have.
    pub(crate) fn makes_sense(&self, settings: &Settings) -> bool {
        let sane = |x: f64| x.is_finite() && x >= 0.0;
        usize::from(self.class) < settings.classes.len() && sane(self.cores) && sane(self.memory)
    }
}

/// A load report of a machine; each value only where the site reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Free cores, in the sense of [`Settings::report_counts`].
    pub free_cores: Option<f64>,
    /// Free memory, likewise.
    pub free_memory: Option<f64>,
    /// Busy share of the cores.
    #[serde(rename = "busy")]
    pub cpu_utilization: Option<f64>,
    /// Offers and starts waiting.
    #[serde(rename = "waiting")]
    pub queue_depth: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The placed task ended.
    #[serde(rename = "Done")]
    Completed,
    /// The machine answered with an error; the task may have started.
    Error,
    /// Refused, or handed back before it ran.
    #[serde(rename = "Refused")]
    Rejected,
    /// No answer in time; the task may have been accepted.
    TimedOut,
    /// No connection: it never ran.
    Unreachable,
    /// A placed task was evicted or lost, or the answer broke off.
    Lost,
    /// Called off, moved or stopped by its owner.
    #[serde(rename = "Withdrawn")]
    Cancelled,
    /// Never sent.
    NotSent,
}

/// Why a machine refused or gave a task up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// Not told.
    Unknown,
    /// No cores.
    #[serde(rename = "NoCores")]
    InsufficientCores,
    /// No memory.
    #[serde(rename = "NoMemory")]
    InsufficientMemory,
    /// Too many offers wait.
    #[serde(rename = "Busy")]
    QueueFull,
    /// Wrong kind, draining, too late, or a copy stands.
    #[serde(rename = "NotHere")]
    Ineligible,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// Sent away by a drain.
    #[serde(rename = "SentAway")]
    Drained,
}

/// An update on a placed task or its machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskUpdate {
    /// The task runs.
    #[serde(rename = "Runs")]
    Running,
    /// Cores it uses.
    CoresUsed(f64),
    /// Memory it uses.
    MemoryUsed(f64),
    /// Share of full service it gets.
    #[serde(rename = "Served")]
    ServedShare(f64),
    /// Share of its machine's memory in use.
    #[serde(rename = "MachineMemory")]
    NodeMemoryShare(f64),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the machine list.
    NodeList {
        /// How it relates to the list held.
        kind: ListUpdateKind,
        /// Its version.
        version: u64,
        /// The lines.
        entries: Vec<NodeEntry>,
    },
    /// A task to place.
    Place(PlacementRequest),
    /// A task that already runs on a machine and is now this scheduler's; its attempt 0 counts as made.
    RunningTask {
        /// The task.
        request: PlacementRequest,
        /// Where it runs.
        node: NodeId,
    },
    /// An attempt placed its task.
    Placed {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// The machine.
        node: NodeId,
    },
    /// An update on an attempt.
    TaskUpdated {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// The machine.
        node: NodeId,
        /// What is told.
        update: TaskUpdate,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// The machine.
        node: NodeId,
        /// How.
        outcome: AttemptOutcome,
        /// Why.
        reason: EndReason,
        /// The request is over with it.
        is_final: bool,
        /// A load report that came along.
        load: Option<LoadReport>,
    },
    /// The task is no longer wanted.
    RequestCancelled(RequestId),
    /// A timer set earlier.
    Timer(u64),
    /// A probe's answer.
    Probed {
        /// The machine.
        node: NodeId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: Option<LoadReport>,
    },
    /// A message of another scheduler.
    Peer {
        /// Its number.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Subscribe to the machine list.
    WatchNodes,
    /// Offer a task to a machine.
    Dispatch {
        /// The ask.
        request: RequestId,
        /// The machine.
        node: NodeId,
        /// Wait no longer than this; `None` is until the owner gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Final answer: a retry is harmless.
    Reject {
        /// The ask.
        request: RequestId,
        /// Advice to stay away this long.
        retry_after: Option<Micros>,
    },
    /// Final answer: no promise.
    Fail(RequestId),
    /// Stop a placed task, to be placed anew.
    Migrate(RequestId),
    /// Wake this scheduler at a time.
    SetTimer {
        /// Comes back with the event.
        label: u64,
        /// When.
        at: Micros,
    },
    /// Ask a machine for its load.
    Probe(NodeId),
    /// Tell all other schedulers something.
    Broadcast(Vec<u8>),
    /// A line for the people on call.
    Log(String),
}

/// An ordered table; iteration order decides nothing by accident.
pub type Table<K, V> = BTreeMap<K, V>;
