//! Requests without an answer, and which of them wait for a node.

use super::fleet_node::{FleetNode, RackId};
use peppercove::{Action, Event, NodeId, PlacementRequest, RequestId};
use std::collections::BTreeMap;

/// A request without an answer.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) class: u16,
    /// No attempt of it is in flight.
    is_waiting: bool,
    /// Rack of its last attempt. It is noted here because a node that dies leaves the list before the attempt ends.
    pub(super) last_rack: Option<RackId>,
}

/// The requests without an answer.
///
/// They are followed in an unbounded subset too, since the subset may become bounded while they wait.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    pub(super) fn get(&self, request: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&request)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.requests.values().any(|request| request.is_waiting)
    }

    /// Takes in what happened and what the inner module answered to it.
    pub(super) fn update(
        &mut self,
        events: &[Event],
        actions: &[Action],
        fleet: &BTreeMap<NodeId, FleetNode>,
    ) {
        for event in events {
            self.on_event(event);
        }
        for action in actions {
            self.on_action(action, fleet);
        }
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::Place(request) => self.add(request),
            Event::AttemptEnded {
                request,
                is_final: false,
                ..
            } => {
                self.set_waiting(*request, true);
            }
            Event::AttemptEnded {
                request,
                is_final: true,
                ..
            }
            | Event::Placed { request, .. }
            | Event::RequestCancelled(request) => {
                self.requests.remove(request);
            }
            Event::NodeList { .. }
            | Event::RunningTask { .. }
            | Event::TaskUpdated { .. }
            | Event::Timer(_)
            | Event::Probed { .. }
            | Event::Peer { .. } => {}
        }
    }

    fn on_action(&mut self, action: &Action, fleet: &BTreeMap<NodeId, FleetNode>) {
        match action {
            Action::Dispatch { request, node, .. } => {
                let rack = fleet.get(node).map(|node| RackId::from(&node.entry));
                if let Some(pending) = self.requests.get_mut(request) {
                    pending.is_waiting = false;
                    pending.last_rack = rack;
                }
            }
            Action::Reject { request, .. } | Action::Fail(request) => {
                self.requests.remove(request);
            }
            Action::WatchNodes
            | Action::CancelAttempt { .. }
            | Action::Migrate(_)
            | Action::SetTimer { .. }
            | Action::Probe(_)
            | Action::Broadcast(_)
            | Action::Log(_) => {}
        }
    }

    fn add(&mut self, request: &PlacementRequest) {
        let pending = PendingRequest {
            class: request.class,
            is_waiting: true,
            last_rack: None,
        };
        self.requests.entry(request.id).or_insert(pending);
    }

    fn set_waiting(&mut self, request: RequestId, is_waiting: bool) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.is_waiting = is_waiting;
        }
    }
}
