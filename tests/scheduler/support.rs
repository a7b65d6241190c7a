//! Set-ups that the tests share.

use peppercove::*;

pub const SECOND: Micros = 1_000_000;

pub fn node_entry(node: u64, rack: u16) -> NodeEntry {
    NodeEntry {
        node: NodeId(node),
        state: NodeStatus::Ready,
        kind: 0,
        rack,
        zone: 0,
        started_at: 0,
        incarnation: 0,
        free_cores: Some(16.0),
        free_memory: Some(32.0),
        slow_start_share: None,
    }
}

pub fn node_list(kind: ListUpdateKind, version: u64, entries: Vec<NodeEntry>) -> Event {
    Event::NodeList {
        kind,
        version,
        entries,
    }
}

pub fn task(request: u64, class: u16, service: u64) -> PlacementRequest {
    PlacementRequest {
        id: RequestId(request),
        task: TaskKey(request),
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

pub fn attempt_ended(
    request: u64,
    attempt: u16,
    node: u64,
    outcome: AttemptOutcome,
    reason: EndReason,
) -> Event {
    let (request, node) = (RequestId(request), NodeId(node));
    Event::AttemptEnded {
        request,
        attempt,
        node,
        outcome,
        reason,
        is_final: false,
        load: None,
    }
}

/// A task that was sent to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatched {
    pub request: u64,
    pub node: u64,
}

impl Dispatched {
    pub fn new(request: u64, node: u64) -> Dispatched {
        Dispatched { request, node }
    }
}

pub fn dispatches(actions: &[Action]) -> Vec<Dispatched> {
    let dispatch = |action: &Action| match action {
        Action::Dispatch { request, node, .. } => Some(Dispatched::new(request.0, node.0)),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

/// A scheduler that has a full list of `n` nodes, one in each rack.
pub fn scheduler_with_nodes(settings: Settings, n: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(settings, 11);
    let entries = (0..n).map(|m| node_entry(m, m as u16)).collect();
    scheduler.handle(SECOND, &[node_list(ListUpdateKind::Full, 1, entries)]);
    scheduler
}
