//! Fixed properties of a node: location, capacity and speed.

use super::Micros;

/// What a draining node does with its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// Lets them run to completion.
    None,
    /// Evicts one task in every interval of this length.
    Paced(Micros),
    /// Evicts all tasks immediately.
    AtOnce,
}

/// A range of shares with a uniform distribution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRange {
    /// Lowest share.
    pub min: f64,
    /// Highest share.
    pub max: f64,
}

impl ShareRange {
    pub(super) fn draw(&self, rng: &mut fastrand::Rng) -> f64 {
        self.min + rng.f64() * (self.max - self.min)
    }
}

/// Fixed properties of a node.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Name of the node.
    pub name: String,
    /// Index of its kind in the settings.
    pub kind: u8,
    /// Rack of the node.
    pub rack: u16,
    /// Zone of the node.
    pub zone: u8,
    /// Cores.
    pub cores: f64,
    /// Memory, in the unit of the settings.
    pub memory: f64,
    /// Requested cores are admitted up to this multiple of [`NodeSpec::cores`].
    pub cores_overcommit: f64,
    /// Requested memory is admitted up to this multiple of [`NodeSpec::memory`].
    pub memory_overcommit: f64,
    /// Whether tasks of lower priority are preempted for a task that would not fit otherwise.
    pub preempts: bool,
    /// Time to decide on one offer at full speed, in microseconds.
    pub admission_time: Micros,
    /// Limit on the offers that wait for admission. Further ones are rejected.
    pub admission_queue_limit: usize,
    /// Limit on the tasks that are starting at the same time.
    pub concurrent_starts: usize,
    /// Time of a start at full speed with the program in the cache, in microseconds.
    pub cached_start_time: Micros,
    /// Factor on the time of a start when the program is not in the cache.
    pub uncached_start_factor: f64,
    /// Limit on the cached programs that no task uses.
    pub program_cache_limit: usize,
    /// Speed just after the start of the process, as a share of the full speed.
    pub slow_start_speed: f64,
    /// Time from the start of the process to full speed, in microseconds.
    pub slow_start_window: Micros,
    /// During slow start the node crashes when it gets offers beyond this multiple of the starts that it can perform.
    pub overload_factor: f64,
    /// Window over which offers are counted for [`NodeSpec::overload_factor`], in microseconds.
    pub overload_window: Micros,
    /// Number of offers within the window that never crash a node, however slow it is.
    pub slow_start_budget: f64,
    /// Interval between two measurements of the load, in microseconds.
    pub report_interval: Micros,
    /// Time from a measurement until it is reported, in microseconds.
    pub report_delay: Micros,
    /// Whether reported free resources subtract used instead of requested resources.
    pub reports_usage: bool,
    /// Share of its requested resources that a task uses.
    pub usage_share: ShareRange,
    /// What a draining node does with its tasks.
    pub eviction: EvictionPolicy,
    /// Run time of a task whose program does not determine it, in microseconds.
    pub default_run_time: Micros,
    /// Deduplication group: a second copy of a keyed task is rejected by all nodes with the same number.
    pub dedup_group: u32,
    /// Time for which the key of a completed copy is kept, in microseconds.
    pub dedup_window: Micros,
}

impl NodeSpec {
    /// A small node with short delays, for tests.
    pub fn small(name: impl Into<String>) -> NodeSpec {
        NodeSpec {
            name: name.into(),
            kind: 0,
            rack: 0,
            zone: 0,
            cores: 24.0,
            memory: 60.0,
            cores_overcommit: 2.0,
            memory_overcommit: 1.5,
            preempts: false,
            admission_time: 2_000,
            admission_queue_limit: 16,
            concurrent_starts: 4,
            cached_start_time: 20_000,
            uncached_start_factor: 6.0,
            program_cache_limit: 8,
            slow_start_speed: 0.16,
            slow_start_window: 10_000_000,
            overload_factor: 2.5,
            overload_window: 2_000_000,
            slow_start_budget: 28.0,
            report_interval: 200_000,
            report_delay: 100_000,
            reports_usage: false,
            usage_share: ShareRange { min: 0.4, max: 0.9 },
            eviction: EvictionPolicy::AtOnce,
            default_run_time: 5_000_000,
            dedup_group: 0,
            dedup_window: 5_000_000,
        }
    }
}
