//! Events for the scheduler.

use peppercove::{
    AttemptOutcome, EndReason, Event, ListUpdateKind, Micros, NodeEntry, NodeId, PlacementRequest,
    RequestId, ServiceId, TaskKey,
};

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// A node list update.
pub fn node_list(kind: ListUpdateKind, version: u64, entries: Vec<NodeEntry>) -> Event {
    Event::NodeList {
        kind,
        version,
        entries,
    }
}

/// The first placement request for the task with the same number, for 1 core and 2 units of memory, with a deadline in
/// five seconds.
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

/// The end of an attempt, without a load report. Its request stays open.
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
