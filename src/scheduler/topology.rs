//! Topology spread: how many tasks of a service each topology domain holds.

use super::Scheduler;
use crate::api::{NodeId, ServiceId, TopologySpread};
use std::collections::BTreeMap;

/// Attempts of this scheduler whose end is not known, by service and node.
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

    /// Takes off one task. Nodes and services without any are dropped.
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

/// Tasks of one service by topology domain.
#[derive(Default)]
pub(super) struct DomainCounts {
    /// Tasks whose domain is not known. They may be anywhere, so they count everywhere.
    anywhere: u32,
    /// A service is on few domains, so that a list is searched as fast as a tree.
    domains: Vec<DomainCount>,
}

struct DomainCount {
    domain: u64,
    tasks: u32,
}

impl DomainCounts {
    /// Tasks that count in this domain.
    pub(super) fn at(&self, domain: u64) -> u32 {
        let known = self.domains.iter().find(|count| count.domain == domain);
        self.anywhere + known.map_or(0, |count| count.tasks)
    }

    fn add(&mut self, domain: Option<u64>, tasks: u32) {
        let Some(domain) = domain else {
            self.anywhere += tasks;
            return;
        };
        match self.domains.iter_mut().find(|count| count.domain == domain) {
            Some(count) => count.tasks += tasks,
            None => self.domains.push(DomainCount { domain, tasks }),
        }
    }
}

impl Scheduler {
    /// The tasks of a service by topology domain; none if the class is not limited.
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
