//! What is known of one node.

use super::backoff::{BackoffScope, Backoffs};
use super::load_estimate::NodeLoad;
use super::slow_start::RecentAttempts;
use super::start_estimate::PendingStart;
use crate::api::{
    Micros, NodeEntry, NodeId, NodeStatus, RequestId, Resources, ServiceId, TopologySpread,
};
use std::collections::BTreeMap;

/// Programs without a task that are remembered for a node; nodes keep a handful.
const CACHED_PROGRAMS: usize = 6;

/// One node of the table.
#[derive(Default)]
pub(super) struct Node {
    /// A list has named it. Otherwise it is known from a task that runs there.
    pub(super) is_listed: bool,
    pub(super) entry: NodeEntry,
    pub(super) capacity: Resources,
    pub(super) load: NodeLoad,
    /// Size that it rejected lately for lack of capacity.
    pub(super) rejected_size: RejectedSize,
    /// Attempts whose task has not started yet.
    pub(super) pending_starts: BTreeMap<RequestId, PendingStart>,
    /// Attempts that it has not answered, by when they were sent.
    pub(super) unanswered: BTreeMap<RequestId, Micros>,
    /// When the last message of it arrived.
    pub(super) last_contact: Micros,
    pub(super) backoffs: Backoffs,
    /// Errors since the last placement, by the work that they came to.
    pub(super) errors: BTreeMap<BackoffScope, u32>,
    pub(super) recent_attempts: RecentAttempts,
    pub(super) programs: ProgramCache,
}

impl Node {
    pub(super) fn new(id: NodeId) -> Node {
        let entry = NodeEntry {
            node: id,
            ..NodeEntry::default()
        };
        Node {
            entry,
            ..Node::default()
        }
    }

    pub(super) fn id(&self) -> NodeId {
        self.entry.node
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == NodeStatus::Ready
    }

    /// Number of the topology domain that it belongs to.
    pub(super) fn topology_domain(&self, spread: TopologySpread) -> u64 {
        match spread {
            TopologySpread::Node | TopologySpread::Off => self.id().0,
            TopologySpread::Rack => u64::from(self.entry.zone) << 16 | u64::from(self.entry.rack),
            TopologySpread::Zone => u64::from(self.entry.zone),
        }
    }

    /// Forgets what belonged to the process that has been restarted: cached programs, load and
    /// faults.
    pub(super) fn reset_after_restart(&mut self) {
        self.programs.forget_idle();
        self.load.reset_foreign();
        self.rejected_size.clear();
        self.backoffs = Backoffs::default();
    }
}

/// The smallest size that a node rejected for lack of capacity.
#[derive(Default)]
pub(super) struct RejectedSize {
    size: Option<Resources>,
    until: Micros,
}

impl RejectedSize {
    pub(super) fn set(&mut self, size: Resources, until: Micros) {
        (self.size, self.until) = (Some(size), until);
    }

    pub(super) fn clear(&mut self) {
        self.size = None;
    }

    /// Whether a task of this size would be rejected as well.
    pub(super) fn covers(&self, size: Resources, now: Micros) -> bool {
        let rejected = self.size.filter(|_| now < self.until);
        rejected.is_some_and(|least| size.cores >= least.cores && size.memory >= least.memory)
    }
}

/// The programs on a node: those of running tasks, and the last few without one.
#[derive(Default)]
pub(super) struct ProgramCache {
    programs: BTreeMap<ServiceId, CachedProgram>,
}

struct CachedProgram {
    running_tasks: u32,
    last_used_at: Micros,
}

impl ProgramCache {
    pub(super) fn contains(&self, service: ServiceId) -> bool {
        self.programs.contains_key(&service)
    }

    pub(super) fn has_running_tasks(&self) -> bool {
        self.programs
            .values()
            .any(|program| program.running_tasks > 0)
    }

    pub(super) fn add_task(&mut self, service: ServiceId, now: Micros) {
        let unused = CachedProgram {
            running_tasks: 0,
            last_used_at: now,
        };
        let program = self.programs.entry(service).or_insert(unused);
        program.running_tasks += 1;
        program.last_used_at = now;
    }

    /// Counts one task of the service less. Of the programs without a task the last few stay known.
    pub(super) fn remove_task(&mut self, service: ServiceId, now: Micros) {
        if let Some(program) = self.programs.get_mut(&service) {
            program.running_tasks = program.running_tasks.saturating_sub(1);
            program.last_used_at = now;
        }
        let idle = self
            .programs
            .iter()
            .filter(|(_, program)| program.running_tasks == 0);
        let mut idle: Vec<(Micros, ServiceId)> = idle
            .map(|(service, program)| (program.last_used_at, *service))
            .collect();
        idle.sort();
        for (_, service) in idle.iter().rev().skip(CACHED_PROGRAMS) {
            self.programs.remove(service);
        }
    }

    fn forget_idle(&mut self) {
        self.programs.retain(|_, program| program.running_tasks > 0);
    }
}
