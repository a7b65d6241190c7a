//! A simulated cluster of given sizes: its settings, node list and requested tasks.

use super::SECOND;
use super::answer::{DelayedAnswer, NodeAnswers};
use crate::row::Sizes;
use peppercove::{
    DedupScope, Idempotency, LoadReport, Micros, NodeEntry, NodeId, NodeKind, NodeStatus,
    PlacementRequest, RequestId, ServiceId, Settings, TaskClass, TaskKey, Tenant, TopologySpread,
};

/// Cores per node.
const NODE_CORES: f64 = 64.0;
/// Memory per node, in the unit of the settings.
const NODE_MEMORY: f64 = 256.0;
/// Nodes per rack.
const NODES_PER_RACK: u64 = 40;
/// Number of zones.
const ZONES: u64 = 44;
/// Running tasks per service.
const TASKS_PER_SERVICE: u64 = 8;
/// Minimum number of services.
const MIN_SERVICES: u64 = 50;
/// Maximum share of the cluster's cores used by the running tasks of the measured scheduler.
const MAX_OWN_SHARE: f64 = 0.3;
/// One in this many nodes holds no tasks.
const EMPTY_NODE_EVERY: u64 = 5;
/// One in this many tasks belongs to a new service.
const NEW_SERVICE_EVERY: u8 = 50;
/// The number of the first service added during the run.
const FIRST_NEW_SERVICE: u64 = 1 << 32;
/// Seed of the random number generator.
const SEED: u64 = 1;

/// Cores and memory of a node or task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Cores.
    pub cores: f64,
    /// Memory, in the unit of the settings.
    pub memory: f64,
}

/// The location of a node in the topology.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The rack.
    pub rack: u16,
    /// The zone.
    pub zone: u8,
}

impl Location {
    /// Returns the location of node `i`.
    pub fn of_node(i: u64) -> Location {
        let rack = i / NODES_PER_RACK;
        Location {
            rack: rack as u16,
            zone: (rack % ZONES) as u8,
        }
    }
}

/// A simulated cluster. Nodes and tasks are numbered from zero.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// The sizes.
    pub sizes: Sizes,
    /// The cores and memory that each task requests.
    pub requested: Capacity,
    services: u64,
    new_services: u64,
    /// Number of nodes that hold the running tasks.
    occupied_nodes: u64,
    rng: fastrand::Rng,
    answers: NodeAnswers,
}

impl Cluster {
    /// Creates a cluster of these sizes. Tasks are small enough that the running ones leave free capacity.
    pub fn new(sizes: &Sizes) -> Cluster {
        let own_cores = sizes.nodes as f64 * NODE_CORES * MAX_OWN_SHARE;
        let tasks = (sizes.running_tasks + sizes.starts_per_second * 4).max(1);
        let cores = (own_cores / tasks as f64).clamp(0.001, 1.0);
        // Rounded, so that the encoded request has the same length at every size.
        let cores = (cores * 1e3).round() / 1e3;
        let services = sizes.running_tasks / TASKS_PER_SERVICE;
        let empty_nodes = sizes.nodes.div_ceil(EMPTY_NODE_EVERY);
        Cluster {
            sizes: *sizes,
            requested: Capacity {
                cores,
                memory: cores * NODE_MEMORY / NODE_CORES,
            },
            services: services.max(sizes.classes).max(MIN_SERVICES),
            new_services: 0,
            occupied_nodes: (sizes.nodes - empty_nodes).max(1),
            rng: fastrand::Rng::with_seed(SEED),
            answers: NodeAnswers::default(),
        }
    }

    /// Returns the cluster with its running tasks on at most `limit` nodes.
    #[must_use]
    pub fn with_max_occupied_nodes(self, limit: u64) -> Cluster {
        Cluster {
            occupied_nodes: self.occupied_nodes.min(limit.max(1)),
            ..self
        }
    }

    /// Returns settings whose classes cycle through four variants: idempotent, keyed with a deduplication scope of a
    /// rack, non-idempotent, and spread over zones. Excess nodes have a cost, so that tasks are kept off empty nodes.
    pub fn settings(&self) -> Settings {
        let sample = Settings::sample();
        let classes = self.classes(&sample.classes[0]);
        Settings {
            schedulers: self.sizes.schedulers as u32,
            own_index: 0,
            classes,
            node_kinds: vec![NodeKind {
                cores: NODE_CORES,
                memory: NODE_MEMORY,
            }],
            tenants: (0..self.sizes.tenants)
                .map(|_| Tenant {
                    quota_cores: Some(NODE_CORES * 10.0),
                })
                .collect(),
            mean_cores: self.requested.cores,
            mean_memory: self.requested.memory,
            excess_node_cost: 0.1,
            migration_cost: 0.01,
            rejection_cost: 0.01,
            ..sample
        }
    }

    fn classes(&self, sample: &TaskClass) -> Vec<TaskClass> {
        let plain = TaskClass {
            start_seconds: 20.0,
            ..sample.clone()
        };
        let keyed = Idempotency::Keyed {
            scope: DedupScope::Rack,
            window: 4 * SECOND,
        };
        let variants = [
            plain.clone(),
            TaskClass {
                idempotency: keyed,
                priority: 1,
                ..plain.clone()
            },
            TaskClass {
                idempotency: Idempotency::NonIdempotent,
                priority: 2,
                ..plain.clone()
            },
            TaskClass {
                topology_spread: TopologySpread::Zone,
                max_per_domain: 4,
                ..plain
            },
        ];
        (0..self.sizes.classes as usize)
            .map(|i| variants[i % variants.len()].clone())
            .collect()
    }

    fn may_hold_tasks(i: u64) -> bool {
        !i.is_multiple_of(EMPTY_NODE_EVERY)
    }

    /// Returns the node of running task `n`. Tasks are spread evenly over the occupied nodes.
    pub fn node_of_task(&self, n: u64) -> u64 {
        let k = n % self.occupied_nodes;
        k + k / (EMPTY_NODE_EVERY - 1) + 1
    }

    /// Returns the number of running tasks on node `i`.
    fn tasks_on(&self, i: u64) -> u64 {
        let rank = i - i / EMPTY_NODE_EVERY;
        if !Cluster::may_hold_tasks(i) || rank > self.occupied_nodes {
            return 0;
        }
        let remainder = self.sizes.running_tasks % self.occupied_nodes;
        self.sizes.running_tasks / self.occupied_nodes + u64::from(rank <= remainder)
    }

    /// Returns the free capacity of node `i`. Other schedulers use 30% to 60% of each node that may hold tasks, in
    /// addition to the running tasks of this scheduler.
    pub fn free_capacity(&mut self, i: u64) -> Capacity {
        let others = if Cluster::may_hold_tasks(i) {
            0.3 + 0.3 * self.rng.f64()
        } else {
            0.0
        };
        let own_tasks = self.tasks_on(i) as f64;
        Capacity {
            cores: NODE_CORES * (1.0 - others) - own_tasks * self.requested.cores,
            memory: NODE_MEMORY * (1.0 - others) - own_tasks * self.requested.memory,
        }
    }

    /// Returns the list entry of node `i` with the id `node`.
    pub fn entry(&mut self, i: u64, node: NodeId) -> NodeEntry {
        let Location { rack, zone } = Location::of_node(i);
        let free = self.free_capacity(i);
        NodeEntry {
            node,
            state: NodeStatus::Ready,
            kind: 0,
            rack,
            zone,
            started_at: 0,
            incarnation: 0,
            free_cores: Some(free.cores),
            free_memory: Some(free.memory),
            slow_start_share: None,
        }
    }

    /// Returns the load report of node `i`.
    pub fn load_report(&mut self, i: u64) -> LoadReport {
        let free = self.free_capacity(i);
        LoadReport {
            free_cores: Some(free.cores),
            free_memory: Some(free.memory),
            cpu_utilization: Some(0.5),
            queue_depth: Some(0.0),
        }
    }

    /// Returns the request of running task `n`.
    pub fn running_task(&self, n: u64) -> PlacementRequest {
        self.request(n, n / TASKS_PER_SERVICE % self.services)
    }

    /// Returns the request of the next arriving task. One in fifty tasks belongs to a new service, or every
    /// task if `only_new_services` is set.
    pub fn next_task(&mut self, n: u64, only_new_services: bool) -> PlacementRequest {
        let is_new = only_new_services || self.rng.u8(0..NEW_SERVICE_EVERY) == 0;
        self.new_services += u64::from(is_new);
        let service = if is_new {
            FIRST_NEW_SERVICE + self.new_services
        } else {
            self.rng.u64(0..self.services)
        };
        self.request(n, service)
    }

    fn request(&self, n: u64, service: u64) -> PlacementRequest {
        PlacementRequest {
            id: RequestId(n),
            task: TaskKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            service: ServiceId(service + 1),
            class: (service % self.sizes.classes) as u16,
            tenant: (service % self.sizes.tenants.max(1)) as u32,
            cores: self.requested.cores,
            memory: self.requested.memory,
            deadline_in: 5 * SECOND,
            expected_duration: None,
            is_retry: false,
        }
    }

    /// Returns the microseconds until the next task arrives, exponentially distributed with the rate
    /// [`Sizes::starts_per_second`].
    pub fn until_next_task(&mut self) -> Micros {
        let wait = -(1.0 - self.rng.f64()).ln() / self.sizes.starts_per_second.max(1) as f64;
        (wait * 1e6) as Micros + 1
    }

    /// Returns the microseconds until the next change of the node list; `None` if there are no changes.
    pub fn until_next_change(&self) -> Option<Micros> {
        SECOND.checked_div(self.sizes.changes_per_second)
    }

    /// Returns a random node.
    pub fn random_node(&mut self) -> u64 {
        self.rng.u64(0..self.sizes.nodes)
    }

    /// Returns the answer of a node to a task of a service, and its delay.
    pub fn answer(&mut self, node: NodeId, service: ServiceId) -> DelayedAnswer {
        self.answers.answer(node, service, &mut self.rng)
    }
}
