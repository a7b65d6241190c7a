//! Rule 3: a draining or removed node is sent no offer after a grace period, which begins when the controller is first
//! notified.

use crate::attempts::Offer;
use crate::auditor::Auditor;
use peppercove_protocol::list::NodeState;

const RULE: u8 = 3;

impl Auditor<'_> {
    pub(crate) fn check_drain_grace(&mut self, offer: &Offer<'_>) {
        let controller = &offer.controller.name;
        let Some(listed) = self.lists.get(controller, offer.node) else {
            return;
        };
        let last_offer = listed.notified_at + self.settings.drain_grace + self.settings.stall;
        if listed.state == NodeState::Ready || offer.at <= last_offer {
            return;
        }
        let description = format!(
            "{controller} offers to {} {} us after it heard {}",
            offer.node,
            offer.at - listed.notified_at,
            state_name(listed.state)
        );
        self.report.add_violation(offer.at, RULE, description);
    }
}

/// Returns the name of a state in descriptions of violations.
fn state_name(state: NodeState) -> &'static str {
    match state {
        NodeState::Ready => "Ready",
        NodeState::Draining => "Draining",
        NodeState::Removed => "Gone",
    }
}
