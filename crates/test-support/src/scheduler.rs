//! Events for the decision module.

use peppercove::{
    AttemptOutcome, EndReason, Event, ListUpdateKind, Micros, NodeEntry, NodeId, PlacementRequest,
    RequestId, ServiceId, TaskKey,
};

/// A second.
pub const SECOND: Micros = 1_000_000;

/// A list of nodes.
pub fn node_list(kind: ListUpdateKind, version: u64, entries: Vec<NodeEntry>) -> Event {
    Event::NodeList {
        kind,
        version,
        entries,
    }
}

/// The first request for the task of the same number, of mean size, with five seconds to go.
pub fn placement_request(id: u64, class: u16, service: u64) -> PlacementRequest {
    PlacementRequest {
        id: RequestId(id),
        task: TaskKey(id),
        service: ServiceId(service),
        class,
        tenant: 0,
        cores: 1.0,
        memory: 2.0,
        deadline_in: 5 * SECOND,
        expected_duration: None,
        is_retry: false,
    }
}

/// The end of an attempt, after which its request is open, without a load report.
pub fn attempt_ended(
    request: u64,
    attempt: u16,
    node: u64,
    outcome: AttemptOutcome,
    reason: EndReason,
) -> Event {
    Event::AttemptEnded {
        request: RequestId(request),
        attempt,
        node: NodeId(node),
        outcome,
        reason,
        is_final: false,
        load: None,
    }
}
