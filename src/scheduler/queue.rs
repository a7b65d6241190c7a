//! The queue of requests without an attempt in flight.

use super::Scheduler;
use super::node::Node;
use super::request::TrackedRequest;
use crate::api::{Idempotency, Micros, NodeId, PlacementRequest, RequestId, Resources};
use std::collections::BTreeSet;

/// The queue is gone through at most this often within the shortest latency objective: often enough
/// that the wait does not count, and seldom enough that a long queue does not take all the time
/// there is.
const SCANS_PER_OBJECTIVE: Micros = 32;
/// Value of the service that follows a start, relative to that of a start in time.
const SERVICE_PER_START: f64 = 2.0;
/// Batches of events that may pass before a decision takes effect.
const TICKS_TO_SPARE: Micros = 2;

/// Requests that wait, and whether it is worthwhile to try them.
#[derive(Default)]
pub(super) struct PlacementQueue {
    entries: BTreeSet<QueueEntry>,
    /// Something has happened that may let a queued task be placed.
    has_capacity_change: bool,
    /// The queue is not gone through before this time.
    next_scan_at: Micros,
}

/// A queued request; the one that must be answered first is the least.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    answer_by: Micros,
    request: RequestId,
}

/// A queued request and the value of placing it.
struct RankedRequest {
    value: f64,
    request: RequestId,
}

impl PlacementQueue {
    pub(super) fn note_capacity_change(&mut self) {
        self.has_capacity_change = true;
    }

    /// Time by which the most urgent request must be answered.
    pub(super) fn first_answer_by(&self) -> Option<Micros> {
        self.entries.first().map(|entry| entry.answer_by)
    }

    /// Takes out the most urgent request if its time has come.
    fn pop_expired(&mut self, now: Micros) -> Option<RequestId> {
        let first = self
            .entries
            .first()
            .copied()
            .filter(|entry| entry.answer_by <= now)?;
        self.entries.pop_first();
        Some(first.request)
    }

    fn is_due(&self, now: Micros) -> bool {
        now >= self.next_scan_at && self.has_capacity_change && !self.entries.is_empty()
    }

    fn begin_scan(&mut self, next_scan_at: Micros) -> BTreeSet<QueueEntry> {
        (self.has_capacity_change, self.next_scan_at) = (false, next_scan_at);
        std::mem::take(&mut self.entries)
    }
}

impl Scheduler {
    pub(super) fn enqueue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let answer_by = self.answer_by(request);
            self.queue.entries.insert(QueueEntry {
                answer_by,
                request: id,
            });
        }
    }

    /// Answers the queued requests that can no longer be placed, and tries the others.
    ///
    /// Many tasks are queued where capacity is short. Tried with each batch of events, they would
    /// take all the time there is, and answers would be late; they are tried after changes, at most
    /// so often.
    pub(super) fn process_queue(&mut self) {
        while let Some(request) = self.queue.pop_expired(self.now) {
            if self.is_queued(request) {
                self.answer_unplaced(request);
            }
        }
        if !self.queue.is_due(self.now) {
            return;
        }
        let next_scan_at = self.now + self.shortest_objective() / SCANS_PER_OBJECTIVE;
        let entries = self.queue.begin_scan(next_scan_at);
        let ranked = self.rank_by_value(entries);
        let candidates = self.nodes_with_capacity_for_any(&ranked);
        for RankedRequest { request, .. } in ranked {
            if !self.try_place(request, Some(&candidates)) {
                self.enqueue(request);
            }
        }
    }

    fn is_queued(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(TrackedRequest::is_queued)
    }

    /// The highest value first: where capacity is short, the first request takes it.
    fn rank_by_value(&self, entries: BTreeSet<QueueEntry>) -> Vec<RankedRequest> {
        let queued = entries
            .into_iter()
            .map(|entry| entry.request)
            .filter(|r| self.is_queued(*r));
        let mut ranked: Vec<RankedRequest> = queued
            .map(|request| RankedRequest {
                value: self.value(request),
                request,
            })
            .collect();
        ranked.sort_by(|a, b| b.value.total_cmp(&a.value).then(a.request.cmp(&b.request)));
        ranked
    }

    /// Value of a placement for the capacity that it takes. Value grows with size, so that
    /// only class and timeliness count.
    fn value(&self, id: RequestId) -> f64 {
        let Some(request) = self.requests.get(&id) else {
            return 0.0;
        };
        let class = self.class(request.spec.class);
        let start_weight = if self.is_timely(request) {
            1.0
        } else {
            class.late_weight
        };
        class.weight * class.start_seconds.max(1.0) * (SERVICE_PER_START + start_weight)
    }

    /// Nodes that could take the least of these tasks. No node gains capacity while the queue is
    /// gone through, so that the others need not be looked at again.
    fn nodes_with_capacity_for_any(&self, queued: &[RankedRequest]) -> Vec<NodeId> {
        let least = |amount: fn(&PlacementRequest) -> f64| {
            let requests = queued
                .iter()
                .filter_map(|ranked| self.requests.get(&ranked.request));
            requests
                .map(|request| amount(&request.spec))
                .fold(f64::INFINITY, f64::min)
        };
        let least = Resources::new(least(|spec| spec.cores), least(|spec| spec.memory));
        let mean_foreign_load = self.mean_foreign_load.get();
        let has_capacity = |node: &Node| {
            node.is_ready()
                && self.has_capacity(node, least, 1.0, mean_foreign_load)
                && self.slow_start_allows(node)
        };
        self.nodes
            .values()
            .filter(|node| has_capacity(node))
            .map(Node::id)
            .collect()
    }

    /// Time by which a queued request must be answered, since it can be placed no more: before its
    /// deadline, and before the window of its idempotency key ends.
    fn answer_by(&self, request: &TrackedRequest) -> Micros {
        let window_end = match (
            self.class(request.spec.class).idempotency,
            request.first_possible_start(),
        ) {
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                (first.sent_at + window).saturating_sub(self.settings.tick)
            }
            (Idempotency::Keyed { .. }, None)
            | (Idempotency::Idempotent | Idempotency::NonIdempotent, _) => Micros::MAX,
        };
        request
            .deadline
            .saturating_sub(self.answer_margin())
            .min(window_end)
    }

    /// Time to spare before a deadline: answers count for a little longer, and batches come a tick
    /// apart.
    pub(super) fn answer_margin(&self) -> Micros {
        self.settings.answer_slack + TICKS_TO_SPARE * self.settings.tick
    }
}
