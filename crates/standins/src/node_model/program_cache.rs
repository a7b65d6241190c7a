//! Programs that a node keeps so that their next start is fast.

use super::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Cached programs, one for each service.
#[derive(Debug)]
pub(super) struct ProgramCache {
    /// Programs that stay after their last task.
    limit: usize,
    /// Service and time of last use.
    last_used: BTreeMap<u64, Micros>,
}

impl ProgramCache {
    pub(super) fn new(limit: usize) -> ProgramCache {
        ProgramCache {
            limit,
            last_used: BTreeMap::new(),
        }
    }

    pub(super) fn contains(&self, service: u64) -> bool {
        self.last_used.contains_key(&service)
    }

    pub(super) fn touch(&mut self, now: Micros, service: u64) {
        self.last_used.insert(service, now);
    }

    /// A task of the service is gone: beyond the limit, the programs that were unused longest are removed.
    pub(super) fn release(&mut self, now: Micros, service: u64, in_use: &BTreeSet<u64>) {
        if let Some(last_used) = self.last_used.get_mut(&service) {
            *last_used = now;
        }
        let idle = self
            .last_used
            .iter()
            .filter(|(service, _)| !in_use.contains(service));
        let mut idle: Vec<(Micros, u64)> = idle.map(|(service, at)| (*at, *service)).collect();
        idle.sort_unstable();
        let excess = idle.len().saturating_sub(self.limit);
        for (_, service) in idle.into_iter().take(excess) {
            self.last_used.remove(&service);
        }
    }

    /// Removes this share of the programs that are not in use, each drawn at random.
    pub(super) fn flush(&mut self, share: f64, in_use: &BTreeSet<u64>, rng: &mut fastrand::Rng) {
        self.last_used
            .retain(|service, _| in_use.contains(service) || rng.f64() >= share);
    }

    pub(super) fn clear(&mut self) {
        self.last_used.clear();
    }
}
