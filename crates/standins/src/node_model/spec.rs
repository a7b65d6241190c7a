//! What a simulated node is: its place, its capacity, and how fast it works.

use super::Micros;

/// What a draining node does with its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// Lets them run to their end.
    None,
    /// Evicts one task in every interval of this length.
    Paced(Micros),
    /// Evicts all tasks at once.
    AtOnce,
}

/// A range of shares, from which one is drawn uniformly.
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
    /// Rack that it stands in.
    pub rack: u16,
    /// Zone that it stands in.
    pub zone: u8,
    /// Cores.
    pub cores: f64,
    /// Memory, in the unit of the settings.
    pub memory: f64,
    /// Requested cores are admitted up to this multiple of [`NodeSpec::cores`].
    pub cores_overcommit: f64,
    /// Requested memory is admitted up to this multiple of [`NodeSpec::memory`].
    pub memory_overcommit: f64,
    /// Tasks of lower priority are preempted for a task that would not fit otherwise.
    pub preempts: bool,
    /// Time to decide on one offer, in microseconds, at full pace.
    pub admission_time: Micros,
    /// Offers that may wait for admission; further ones are rejected.
    pub admission_queue_limit: usize,
    /// Tasks that may be starting at the same time.
    pub concurrent_starts: usize,
    /// Time of a start at full pace with the program in the cache, in microseconds.
    pub cached_start_time: Micros,
    /// A start takes this many times longer where the program is not in the cache.
    pub uncached_start_factor: f64,
    /// Programs that stay in the cache after their last task.
    pub program_cache_limit: usize,
    /// Pace just after the start of the process, as a share of the full pace.
    pub slow_start_pace: f64,
    /// Time from the start of the process to full pace, in microseconds.
    pub slow_start_window: Micros,
    /// During slow start the node crashes when offered more than this multiple of the starts that it can do.
    pub overload_factor: f64,
    /// Window over which offers are counted for [`NodeSpec::overload_factor`], in microseconds.
    pub overload_window: Micros,
    /// Offers within the window that never crash a node, however slow it is.
    pub slow_start_budget: f64,
    /// Interval between two measurements of the load, in microseconds.
    pub report_interval: Micros,
    /// Time from a measurement to its first report, in microseconds.
    pub report_delay: Micros,
    /// Reported free values subtract resources in use rather than resources requested.
    pub reports_usage: bool,
    /// Share of its requested resources that a task really uses.
    pub usage_share: ShareRange,
    /// What a draining node does with its tasks.
    pub eviction: EvictionPolicy,
    /// Run time of a task whose program does not state one, in microseconds.
    pub default_run_time: Micros,
    /// Nodes with the same number discard a second copy of a keyed task together.
    pub dedup_group: u32,
    /// Time for which the key of a completed copy is remembered, in microseconds.
    pub dedup_window: Micros,
}

impl NodeSpec {
    /// A small node with short times, for tests.
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
            slow_start_pace: 0.16,
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
