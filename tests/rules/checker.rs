//! The state of the checker, and the checks of answers.

use peppercove::*;
use std::collections::BTreeMap;

/// An attempt, as its node and the clock see it.
pub(crate) struct SentAttempt {
    pub(crate) node: NodeId,
    pub(crate) rack: u16,
    pub(crate) sent_at: Micros,
    pub(crate) ends_at: Micros,
    pub(crate) open: bool,
    pub(crate) may_have_run: bool,
}

/// A request, from its events and the actions on it.
pub(crate) struct TrackedRequest {
    pub(crate) spec: PlacementRequest,
    pub(crate) deadline: Micros,
    pub(crate) is_answered: bool,
    pub(crate) is_completed: bool,
    pub(crate) attempts: Vec<SentAttempt>,
}

/// Checks the rules, using only the events passed to the scheduler and the actions that it
/// returned.
pub(crate) struct RuleChecker {
    pub(crate) settings: Settings,
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Micros,
    pub(crate) entries: BTreeMap<NodeId, NodeEntry>,
    pub(crate) requests: BTreeMap<RequestId, TrackedRequest>,
    pub(crate) sent: BTreeMap<NodeId, Vec<Micros>>,
    /// When the connections to a node broke last.
    pub(crate) broken_at: BTreeMap<NodeId, Micros>,
    pub(crate) timers: Vec<(Micros, u64)>,
    pub(crate) last_event: Option<Event>,
    pub(crate) next_id: u64,
    pub(crate) dispatches: usize,
}

/// The entry of a listed node, of which each rack has every second one.
pub(crate) fn node_entry(node: u64, started_at: Micros) -> NodeEntry {
    NodeEntry {
        slow_start_share: None,
        node: NodeId(node),
        state: NodeStatus::Ready,
        kind: 0,
        rack: (node % 2) as u16,
        zone: 0,
        started_at,
        incarnation: started_at,
        free_cores: Some(16.0),
        free_memory: Some(32.0),
    }
}

impl RuleChecker {
    pub(crate) fn new(settings: Settings, seed: u64) -> RuleChecker {
        let scheduler = Scheduler::new(settings.clone(), seed);
        let mut checker = RuleChecker {
            settings,
            scheduler,
            now: 1_000_000,
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            sent: BTreeMap::new(),
            broken_at: BTreeMap::new(),
            timers: Vec::new(),
            last_event: None,
            next_id: 1,
            dispatches: 0,
        };
        let entries: Vec<_> = (0..5).map(|node| node_entry(node, 0)).collect();
        checker.entries = entries
            .iter()
            .map(|entry| (entry.node, entry.clone()))
            .collect();
        checker.send(Event::NodeList {
            kind: ListUpdateKind::Cached,
            version: 1,
            entries,
        });
        checker
    }

    pub(crate) fn send(&mut self, event: Event) {
        self.last_event = Some(event.clone());
        let actions = self.scheduler.handle(self.now, &[event]);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                request,
                node,
                timeout,
                send_by: _,
            } => self.check_dispatch(request, node, timeout),
            Action::Reject { request, .. } => self.check_rejection(request),
            Action::Fail(request) => self.check_answer(request),
            Action::SetTimer { label, at } => {
                assert!(at > self.now);
                self.timers.push((at, label));
            }
            Action::CancelAttempt { .. } => assert!(self.settings.can_cancel_attempts),
            Action::Probe(_) => assert!(self.settings.can_probe),
            Action::Broadcast(_) => assert!(self.settings.peer_messages),
            Action::Migrate(_) | Action::WatchNodes | Action::Log(_) => {}
        }
    }

    /// A rejection says that a retry does no harm, and comes by the deadline.
    fn check_rejection(&mut self, request: RequestId) {
        let tracked = &self.requests[&request];
        let is_retry_safe = matches!(
            self.settings.classes[tracked.spec.class as usize].idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        let cannot_have_run = tracked
            .attempts
            .iter()
            .all(|attempt| !attempt.open && !attempt.may_have_run);
        assert!(
            is_retry_safe || cannot_have_run,
            "rejected a request whose task may have run"
        );
        assert!(
            self.now <= tracked.deadline + self.settings.answer_slack,
            "answered after the deadline"
        );
        self.check_answer(request);
    }

    fn check_answer(&mut self, request: RequestId) {
        let tracked = self
            .requests
            .get_mut(&request)
            .expect("the request is known");
        assert!(
            !tracked.is_answered && !tracked.is_completed,
            "a request was answered twice"
        );
        (tracked.is_answered, tracked.is_completed) = (true, true);
    }

    /// Each request is answered by its deadline.
    pub(crate) fn check_deadlines(&self) {
        for tracked in self.requests.values() {
            let late = self.now > tracked.deadline + self.settings.answer_slack;
            assert!(
                tracked.is_answered || tracked.is_completed || !late,
                "no answer by the deadline: {:?}",
                tracked.spec.id
            );
        }
    }
}
