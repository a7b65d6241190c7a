//! Rule 5: a controller places no more tasks of a service in one topology domain than their class allows.

use crate::TopologyDomain;
use crate::attempts::{Attempt, AttemptState, Offer};
use crate::auditor::Auditor;
use peppercove_protocol::list::NodeState;

const RULE: u8 = 5;

/// One topology domain; fields below its level are zero or empty.
#[derive(PartialEq, Eq)]
struct Domain<'a> {
    zone: u8,
    rack: u16,
    node: &'a str,
}

impl Auditor<'_> {
    pub(crate) fn check_topology_spread(&mut self, offer: &Offer<'_>) {
        let Some(class) = self.settings.classes.get(usize::from(offer.task.class)) else {
            return;
        };
        let controller = &offer.controller.name;
        let Some(domain) = self.domain(controller, offer.node, class.spread) else {
            return;
        };
        let others = self.attempts.iter().filter(|attempt| {
            self.is_counted(offer, attempt)
                && self
                    .domain(controller, &attempt.node, class.spread)
                    .as_ref()
                    == Some(&domain)
        });
        let count = others.count() + 1;
        if count as u32 > class.max_per_domain {
            let description = format!(
                "{controller} brings service {:x} to {count} in one place, {} at most",
                offer.task.service, class.max_per_domain
            );
            self.report.add_violation(offer.at, RULE, description);
        }
    }

    /// Returns the domain of a node according to the controller's node list; `None` if the class has no limit or the
    /// node is not listed.
    fn domain<'n>(
        &self,
        controller: &str,
        node: &'n str,
        level: TopologyDomain,
    ) -> Option<Domain<'n>> {
        let listed = self.lists.get(controller, node)?;
        let (zone, rack) = (listed.zone, listed.rack);
        match level {
            TopologyDomain::Off => None,
            TopologyDomain::Node => Some(Domain { zone, rack, node }),
            TopologyDomain::Rack => Some(Domain {
                zone,
                rack,
                node: "",
            }),
            TopologyDomain::Zone => Some(Domain {
                zone,
                rack: 0,
                node: "",
            }),
        }
    }

    /// Whether the attempt counts towards the limit that applies to the offer.
    fn is_counted(&self, offer: &Offer<'_>, attempt: &Attempt) -> bool {
        attempt.controller == *offer.controller
            && attempt.task.service == offer.task.service
            && match attempt.state {
                AttemptState::Pending => attempt.expires > offer.at,
                AttemptState::Running => true,
                AttemptState::NeverRan | AttemptState::Ambiguous | AttemptState::Ended => false,
            }
            && !self.is_removed_and_disconnected(&attempt.controller.name, &attempt.node)
    }

    /// Whether the node was removed from the list and its connection is closed, so that its tasks no longer count.
    fn is_removed_and_disconnected(&self, controller: &str, node: &str) -> bool {
        let listed = self.lists.get(controller, node);
        listed.is_some_and(|listed| listed.state == NodeState::Removed)
            && self.links.is_closed(controller, node)
    }
}
