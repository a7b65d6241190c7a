//! The programs present on a node, as far as this scheduler knows.

use crate::api::{Micros, ServiceId};
use std::collections::BTreeMap;

/// Maximum number of programs without a running task that are remembered per node; nodes cache only
/// a few.
const MAX_IDLE_PROGRAMS: usize = 6;

/// The programs on a node: those of running tasks, and the most recently used of the others.
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
        let new_program = CachedProgram {
            running_tasks: 0,
            last_used_at: now,
        };
        let program = self.programs.entry(service).or_insert(new_program);
        program.running_tasks += 1;
        program.last_used_at = now;
    }

    /// Removes one task of the service. Only the most recently used programs without a task are
    /// kept.
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
        for (_, service) in idle.iter().rev().skip(MAX_IDLE_PROGRAMS) {
            self.programs.remove(service);
        }
    }

    pub(super) fn forget_idle(&mut self) {
        self.programs.retain(|_, program| program.running_tasks > 0);
    }
}
