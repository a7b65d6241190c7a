//! Rule 4: within the overload window a node in slow start is sent no more offers than its budget.

use crate::Micros;
use crate::attempts::Offer;
use crate::auditor::Auditor;
use std::collections::BTreeMap;

const RULE: u8 = 4;

/// Times of the offers to nodes in slow start, by name and incarnation of the node.
#[derive(Default)]
pub(crate) struct SlowStartOffers {
    offers: BTreeMap<(String, u64), Vec<Micros>>,
}

impl SlowStartOffers {
    /// Adds an offer and returns the number of offers within the window, including this one.
    fn add(&mut self, at: Micros, node: &str, incarnation: u64, window: Micros) -> u64 {
        let key = (node.to_owned(), incarnation);
        let offers = self.offers.entry(key).or_default();
        offers.push(at);
        offers.iter().filter(|sent| **sent + window > at).count() as u64
    }
}

/// A process of a node.
#[derive(Clone, Copy)]
struct NodeProcess {
    incarnation: u64,
    /// When it started at the latest; `None` if that was long ago.
    started: Option<Micros>,
}

impl Auditor<'_> {
    /// The process to which an offer is sent: that of the node list, or a later one that has greeted the controller
    /// before the list shows it.
    fn offered_process(&self, offer: &Offer<'_>) -> Option<NodeProcess> {
        let controller = &offer.controller.name;
        let listed = self.lists.get(controller, offer.node)?;
        let greeted = self.links.node_incarnation(controller, offer.node);
        let Some(incarnation) = greeted.filter(|greeted| *greeted > listed.incarnation) else {
            return Some(NodeProcess {
                incarnation: listed.incarnation,
                started: listed.started,
            });
        };
        Some(NodeProcess {
            incarnation,
            started: self.links.first_greeted_at(offer.node, incarnation),
        })
    }

    pub(crate) fn check_slow_start_budget(&mut self, offer: &Offer<'_>) {
        let Some(process) = self.offered_process(offer) else {
            return;
        };
        let Some(started) = process.started else {
            return;
        };
        if offer.at >= started + self.settings.slow_start_window {
            return;
        }
        let window = self.settings.overload_window;
        let budget = self.settings.slow_start_budget;
        let recent = self
            .slow_start_offers
            .add(offer.at, offer.node, process.incarnation, window);
        if recent > budget {
            let description = format!(
                "{recent} offers within {window} us to the cold {}, which bears {budget}",
                offer.node
            );
            self.report.add_violation(offer.at, RULE, description);
        }
    }
}
