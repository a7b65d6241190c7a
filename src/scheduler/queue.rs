//! The queue of requests that have no attempt in flight.

use super::Scheduler;
use super::node::Node;
use super::request::TrackedRequest;
use crate::api::{Micros, NodeId, PlacementRequest, RequestId, Resources};
use std::collections::BTreeSet;

/// Maximum number of queue scans per shortest latency objective: frequent enough that the added
/// delay is negligible, and rare enough that a long queue does not use up the processing time.
const MAX_SCANS_PER_OBJECTIVE: Micros = 32;
/// Value of the service that follows a start, relative to that of a timely start.
const SERVICE_PER_START: f64 = 2.0;
/// Number of event batches that may pass before a decision takes effect.
const ANSWER_MARGIN_TICKS: Micros = 2;

/// The queued requests, and whether a scan of them is worthwhile.
#[derive(Default)]
pub(super) struct PlacementQueue {
    entries: BTreeSet<QueueEntry>,
    /// Whether something has changed that may allow a queued task to be placed.
    has_capacity_change: bool,
    /// Earliest time of the next scan.
    next_scan_at: Micros,
}

/// A queued request. Entries are ordered by the time by which they must be answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    answer_by: Micros,
    request: RequestId,
}

/// A queued request with the value of placing it.
struct RankedRequest {
    value: f64,
    request: RequestId,
}

impl PlacementQueue {
    pub(super) fn note_capacity_change(&mut self) {
        self.has_capacity_change = true;
    }

    /// Returns the time by which the most urgent request must be answered.
    pub(super) fn first_answer_by(&self) -> Option<Micros> {
        self.entries.first().map(|entry| entry.answer_by)
    }

    /// Removes and returns the most urgent request if the time by which it must be answered has
    /// come.
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

    fn remove(&mut self, entry: QueueEntry) {
        self.entries.remove(&entry);
    }

    fn begin_scan(&mut self, next_scan_at: Micros) -> BTreeSet<QueueEntry> {
        (self.has_capacity_change, self.next_scan_at) = (false, next_scan_at);
        std::mem::take(&mut self.entries)
    }
}

impl Scheduler {
    pub(super) fn enqueue(&mut self, id: RequestId) {
        if let Some(entry) = self.queue_entry(id) {
            self.queue.entries.insert(entry);
        }
    }

    /// Removes a request from the queue. Must be called before the request changes.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        if let Some(entry) = self.queue_entry(id) {
            self.queue.remove(entry);
        }
    }

    fn queue_entry(&self, id: RequestId) -> Option<QueueEntry> {
        let answer_by = self.answer_by(self.requests.get(&id)?);
        Some(QueueEntry {
            answer_by,
            request: id,
        })
    }

    /// Answers queued requests that can no longer be placed, and tries to place the others.
    ///
    /// If capacity is short, many tasks are queued. Trying all of them with each batch of events
    /// would use up the processing time and delay answers. They are tried only after changes, and
    /// at a limited rate.
    pub(super) fn process_queue(&mut self) {
        while let Some(request) = self.queue.pop_expired(self.now) {
            if self.is_queued(request) {
                self.answer_unplaced(request);
            }
        }
        if !self.queue.is_due(self.now) {
            return;
        }
        let next_scan_at = self.now + self.shortest_objective() / MAX_SCANS_PER_OBJECTIVE;
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

    /// Sorts the requests by descending value, so that the most valuable ones take scarce capacity.
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

    /// Returns the value of a placement relative to the capacity that it takes. Value is
    /// proportional to task size, so only class and timeliness matter.
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

    /// Returns the nodes that could take a task with the minimum size of these requests. No node
    /// gains capacity during a scan, so all other nodes can be skipped.
    fn nodes_with_capacity_for_any(&self, queued: &[RankedRequest]) -> Vec<NodeId> {
        let min_amount = |amount: fn(&PlacementRequest) -> f64| {
            let requests = queued
                .iter()
                .filter_map(|ranked| self.requests.get(&ranked.request));
            requests
                .map(|request| amount(&request.spec))
                .fold(f64::INFINITY, f64::min)
        };
        let min_size = Resources::new(
            min_amount(|spec| spec.cores),
            min_amount(|spec| spec.memory),
        );
        let mean_foreign_load = self.mean_foreign_load.get();
        let has_capacity = |node: &Node| {
            let requested = node.load.requested_if_reported(mean_foreign_load);
            node.is_ready()
                && self.has_capacity(node, min_size, 1.0, requested)
                && self.slow_start_allows(node)
        };
        self.nodes
            .values()
            .filter(|node| has_capacity(node))
            .map(Node::id)
            .collect()
    }

    /// Returns the time by which a queued request must be answered because it can no longer be
    /// placed after it: before its deadline, and before the window of its idempotency key ends.
    fn answer_by(&self, request: &TrackedRequest) -> Micros {
        request
            .deadline
            .saturating_sub(self.answer_margin())
            .min(self.dedup_window_end(request).unwrap_or(Micros::MAX))
    }

    /// Returns the margin kept before a deadline: late answers still count for a short time, and
    /// batches are a tick apart.
    pub(super) fn answer_margin(&self) -> Micros {
        self.settings.answer_slack + ANSWER_MARGIN_TICKS * self.settings.tick
    }
}
