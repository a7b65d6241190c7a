//! The checks of dispatches.

use crate::checker::{RuleChecker, SentAttempt, TrackedRequest};
use peppercove::*;

/// Time within which the list shows that another node has taken over an address.
const MAX_LIST_DELAY: Micros = 4_000_000;

impl RuleChecker {
    pub(crate) fn check_dispatch(
        &mut self,
        request: RequestId,
        node: NodeId,
        timeout: Option<Micros>,
    ) {
        self.dispatches += 1;
        let entry = self.entries.get(&node).expect("the node is listed");
        assert_eq!(
            entry.state,
            NodeStatus::Ready,
            "dispatched to a node that is draining or gone"
        );
        let (rack, started_at) = (entry.rack, entry.started_at);
        let tracked = &self.requests[&request];
        self.check_attempts(tracked);
        self.check_second_start(tracked, node, rack);
        self.check_topology_spread(tracked, rack);
        self.check_slow_start(node, started_at);
        self.add_attempt(request, node, rack, timeout);
    }

    fn check_attempts(&self, tracked: &TrackedRequest) {
        assert!(
            !tracked.is_answered && !tracked.is_completed,
            "dispatched after the final answer"
        );
        assert!(
            tracked.attempts.iter().all(|attempt| !attempt.open),
            "two attempts in flight"
        );
        assert!((tracked.attempts.len() as u32) < self.settings.max_attempts);
    }

    fn check_second_start(&self, tracked: &TrackedRequest, node: NodeId, rack: u16) {
        let Some(first) = tracked.attempts.iter().find(|attempt| attempt.may_have_run) else {
            return;
        };
        match self.settings.classes[tracked.spec.class as usize].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                panic!("dispatched a non-idempotent task that may have run")
            }
            Idempotency::Keyed { window, .. } => {
                assert!(
                    first.rack == rack && self.now < first.sent_at + window,
                    "dispatched outside the deduplication scope or window"
                );
                let may_be_another = self.broken_at.get(&node).is_some_and(|broken_at| {
                    *broken_at >= first.sent_at || self.now < broken_at + MAX_LIST_DELAY
                });
                assert!(
                    !may_be_another,
                    "dispatched to a node whose address another one may have taken over"
                );
            }
        }
    }

    fn check_topology_spread(&self, tracked: &TrackedRequest, rack: u16) {
        let class = &self.settings.classes[tracked.spec.class as usize];
        if class.topology_spread != TopologySpread::Rack {
            return;
        }
        let same = self
            .requests
            .values()
            .filter(|other| other.spec.service == tracked.spec.service);
        let placed_in_rack = same
            .flat_map(|tracked| &tracked.attempts)
            .filter(|attempt| attempt.open && attempt.rack == rack)
            .count();
        assert!(
            placed_in_rack < class.max_per_domain as usize,
            "exceeded the topology spread limit of a rack"
        );
    }

    fn check_slow_start(&mut self, node: NodeId, started_at: Micros) {
        let now = self.now;
        let sent = self.sent.entry(node).or_default();
        sent.push(now);
        if started_at > 0 && now < started_at + self.settings.slow_start_window {
            let window = now.saturating_sub(self.settings.overload_window);
            let recent = sent.iter().filter(|at| **at > window).count() as f64;
            let share = self.settings.slow_start_budget / f64::from(self.settings.schedulers);
            assert!(recent <= share, "exceeded the slow-start budget of a node");
        }
    }

    fn add_attempt(
        &mut self,
        request: RequestId,
        node: NodeId,
        rack: u16,
        timeout: Option<Micros>,
    ) {
        let now = self.now;
        let tracked = self.requests.get_mut(&request).unwrap();
        let ends_at = tracked
            .deadline
            .min(timeout.map_or(Micros::MAX, |timeout| now + timeout));
        tracked.attempts.push(SentAttempt {
            node,
            rack,
            sent_at: now,
            ends_at,
            open: true,
            may_have_run: false,
        });
    }
}
