//! Requests that have not been answered, and which of them wait for a node.

use super::fleet_node::{FleetNode, RackId};
use peppercove::{Action, Event, NodeId, PlacementRequest, RequestId};
use std::collections::BTreeMap;

/// A request that has not been answered.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) class: u16,
    /// Whether no attempt of the request is in flight.
    is_waiting: bool,
    /// Rack of the last attempt. It is stored here because a failed node may leave the list before its attempt ends.
    pub(super) last_rack: Option<RackId>,
}

/// The requests that have not been answered.
///
/// They are tracked even while the subset is unbounded, because it may become bounded while they wait.
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

    /// Applies events and the resulting actions of the inner scheduler.
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
            | Event::NodeConnectionsBroken { .. }
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
