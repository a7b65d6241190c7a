//! The program cache of a node: starts of cached programs are faster.

use super::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Cached programs, one for each service.
#[derive(Debug)]
pub(super) struct ProgramCache {
    /// Limit on the cached programs that no task uses.
    limit: usize,
    /// Time of last use, by service.
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

    /// Handles the removal of a task of the service. Unused programs beyond the limit are evicted, least recently used
    /// first.
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

    /// Evicts each program that is not in use with probability `share`.
    pub(super) fn flush(&mut self, share: f64, in_use: &BTreeSet<u64>, rng: &mut fastrand::Rng) {
        self.last_used
            .retain(|service, _| in_use.contains(service) || rng.f64() >= share);
    }

    pub(super) fn clear(&mut self) {
        self.last_used.clear();
    }
}
