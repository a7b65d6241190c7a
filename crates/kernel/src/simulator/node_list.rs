//! The node list: publications, and the subscriptions of the controllers.

use super::Simulator;
use super::events::{ProcessId, SimEvent};
use super::micros;
use peppercove::Micros;
use peppercove_audit::Observation;
use peppercove_core::Input;
use peppercove_exchange::node_list_input;
use peppercove_protocol::list::{FromList, NodeState};
use peppercove_standins::node_registry::NodeSnapshot;

/// Minimum interval between two publications, in microseconds: the list checks for due changes only this often.
const MIN_PUBLISH_INTERVAL: Micros = 5_000;

/// A controller's subscription to the node list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Subscription {
    /// Number of the subscription. Updates that were sent on an earlier one are ignored.
    number: u64,
    is_open: bool,
    /// Arrival time of the last update that was sent: updates arrive in order.
    last_arrival: Micros,
}

impl Subscription {
    fn close(&mut self) {
        self.number += 1;
        self.is_open = false;
    }
}

impl Simulator<'_> {
    pub(super) fn publish_list(&mut self) {
        let nodes = &self.nodes;
        let snapshot_of = |address| {
            let node = nodes.iter().find(|node| node.address == address)?;
            Some(NodeSnapshot::of(&node.model))
        };
        let update = self.node_list.publish(self.queue.now(), snapshot_of);
        if let Some(update) = update.filter(|_| self.list_outages == 0) {
            for controller in 0..self.controllers.len() {
                if let Some(process) = self.subscriber(controller) {
                    self.send_list_update(process, Some(update.clone()));
                }
            }
        }
        let next = self.node_list.next_publication();
        let next = next.max(self.now() + MIN_PUBLISH_INTERVAL);
        self.schedule_at(next, SimEvent::PublishList);
    }

    /// Returns the running process of a controller, if its subscription is open.
    fn subscriber(&self, controller: usize) -> Option<ProcessId> {
        let process = self.controllers[controller].process.as_ref()?;
        process.subscription.is_open.then_some(ProcessId {
            controller,
            incarnation: process.incarnation,
        })
    }

    /// Sends an update to a controller, or `None` to report that the list is unreachable.
    fn send_list_update(&mut self, process: ProcessId, update: Option<FromList>) {
        let latency = self.draw_latency();
        let now = self.now();
        let Some(running) = self.process(process) else {
            return;
        };
        let subscription = &mut running.subscription;
        let at = (now + latency).max(subscription.last_arrival + 1);
        subscription.last_arrival = at;
        let event = SimEvent::ListUpdate {
            process,
            subscription: subscription.number,
            update: update.map(Box::new),
        };
        self.schedule_at(at, event);
    }

    /// Requests the changes since the last known generation for a controller, and opens its subscription.
    pub(super) fn request_list(&mut self, process: ProcessId) {
        let (now, is_unreachable) = (self.now(), self.list_outages > 0);
        let Some(running) = self.process(process) else {
            return;
        };
        if is_unreachable {
            running.subscription.close();
            return self.send_list_update(process, None);
        }
        running.subscription.is_open = true;
        let known = running.core.nodes().generation;
        let update = self.node_list.update(now, (known > 0).then_some(known));
        self.send_list_update(process, Some(update));
    }

    pub(super) fn on_list_update(
        &mut self,
        process: ProcessId,
        subscription: u64,
        update: Option<Box<FromList>>,
    ) {
        let Some(running) = self.process(process) else {
            return;
        };
        if running.subscription.number != subscription {
            return;
        }
        let Some(update) = update else {
            running.subscription.is_open = false;
            return self.on_list_failure(process);
        };
        running.list_backoff.reset();
        let controller = self.controllers[process.controller].name().to_owned();
        self.record(Observation::List {
            controller,
            news: (*update).clone(),
        });
        if let Some(input) = node_list_input(*update) {
            self.input(process.controller, input);
        }
    }

    /// Handles a request to an unreachable list: a controller that watches the list retries after a backoff.
    fn on_list_failure(&mut self, process: ProcessId) {
        self.input(process.controller, Input::NodeListFailed);
        let config = &self.controllers[process.controller].config;
        if config.scheduler.is_list_polled {
            return;
        }
        let jitter = self.rng.f64();
        let Some(running) = self.process(process) else {
            return;
        };
        let delay = micros(running.list_backoff.next_delay(jitter));
        self.schedule_after(delay, SimEvent::RequestList { process });
    }

    /// Closes every subscription at the beginning of an outage of the list.
    pub(super) fn break_subscriptions(&mut self) {
        for controller in 0..self.controllers.len() {
            let Some(process) = self.subscriber(controller) else {
                continue;
            };
            if let Some(running) = self.process(process) {
                running.subscription.close();
            }
            self.send_list_update(process, None);
        }
    }

    /// Registers a change of a node in the list, which publishes it after its delay.
    pub(super) fn change_listed_state(&mut self, node: usize, state: NodeState) {
        let now = self.now();
        let node = &self.nodes[node];
        let snapshot = NodeSnapshot::of(&node.model);
        self.node_list.change(now, node.address, state, snapshot);
    }
}
