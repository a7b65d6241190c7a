//! Topology spread: how many tasks of a service each topology domain holds.

use super::Scheduler;
use crate::api::{NodeId, ServiceId, TopologySpread};
use std::collections::BTreeMap;

/// Attempts of this scheduler that have not ended, by service and node.
#[derive(Default)]
pub(super) struct ServicePlacements {
    tasks: BTreeMap<ServiceId, BTreeMap<NodeId, u32>>,
}

impl ServicePlacements {
    pub(super) fn add(&mut self, service: ServiceId, node: NodeId) {
        *self
            .tasks
            .entry(service)
            .or_default()
            .entry(node)
            .or_insert(0) += 1;
    }

    /// Removes one task, and drops nodes and services without any.
    pub(super) fn remove(&mut self, service: ServiceId, node: NodeId) {
        let Some(nodes) = self.tasks.get_mut(&service) else {
            return;
        };
        if let Some(count) = nodes.get_mut(&node) {
            *count = count.saturating_sub(1);
        }
        nodes.retain(|_, count| *count > 0);
        if nodes.is_empty() {
            self.tasks.remove(&service);
        }
    }
}

/// Number of tasks of one service, by topology domain.
#[derive(Default)]
pub(super) struct DomainCounts {
    /// Tasks whose domain is unknown. They may be in any domain, so they count in all of them.
    in_unknown_domain: u32,
    /// A linear search is as fast as a tree here, since a service is in few domains.
    domains: Vec<DomainCount>,
}

struct DomainCount {
    domain: u64,
    tasks: u32,
}

impl DomainCounts {
    /// Returns the number of tasks that count in this domain.
    pub(super) fn count_in(&self, domain: u64) -> u32 {
        let known = self.domains.iter().find(|count| count.domain == domain);
        self.in_unknown_domain + known.map_or(0, |count| count.tasks)
    }

    fn add(&mut self, domain: Option<u64>, tasks: u32) {
        let Some(domain) = domain else {
            self.in_unknown_domain += tasks;
            return;
        };
        match self.domains.iter_mut().find(|count| count.domain == domain) {
            Some(count) => count.tasks += tasks,
            None => self.domains.push(DomainCount { domain, tasks }),
        }
    }
}

impl Scheduler {
    /// Counts the tasks of a service by topology domain. The result is empty if the class has no
    /// topology spread.
    pub(super) fn count_service_tasks(
        &self,
        service: ServiceId,
        spread: TopologySpread,
    ) -> DomainCounts {
        let mut counts = DomainCounts::default();
        let tasks = self
            .services
            .tasks
            .get(&service)
            .filter(|_| spread != TopologySpread::Off);
        for (id, tasks) in tasks.into_iter().flatten() {
            if let Some(node) = self.nodes.get(id) {
                let domain = node.is_listed.then(|| node.topology_domain(spread));
                counts.add(domain, *tasks);
            }
        }
        counts
    }
}
