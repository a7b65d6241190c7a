//! The table of requests, by id.

use crate::attempt_log::AttemptId;
use crate::request_state::{Attempt, InvalidTransition, RequestEntry, RequestState};
use peppercove::RequestId;
use std::collections::BTreeMap;

/// The requests that are open, placed, or have an attempt in flight.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    entries: BTreeMap<RequestId, RequestEntry>,
    /// Number of requests without a final answer.
    open_count: usize,
    next_id: u64,
}

impl RequestTable {
    /// Allocates an id; ids are increasing.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id - 1)
    }

    /// Finds a request.
    pub(super) fn get(&self, request: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&request)
    }

    /// Finds a request for modification; its state is changed by [`RequestTable::transition`] alone.
    pub(super) fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&request)
    }

    /// Finds a request that has no final answer yet.
    pub(super) fn get_open(&self, request: RequestId) -> Option<&RequestEntry> {
        self.get(request).filter(|entry| entry.state.is_open())
    }

    /// All requests, ordered by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RequestEntry> {
        self.entries.values()
    }

    /// Number of requests without a final answer.
    pub(super) fn open_count(&self) -> usize {
        self.open_count
    }

    /// Number of requests whose task is placed and has not ended.
    pub(super) fn placed_count(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| matches!(entry.state, RequestState::Placed(_)))
            .count()
    }

    /// Adds a request without a final answer.
    pub(super) fn insert(&mut self, entry: RequestEntry) {
        self.entries.insert(entry.id(), entry);
        self.open_count += 1;
    }

    /// Removes a request that has its answer and no attempt in flight. Returns whether it was removed.
    pub(super) fn remove_if_done(&mut self, request: RequestId) -> bool {
        let is_done = self.get(request).is_some_and(RequestEntry::is_done);
        if is_done {
            self.entries.remove(&request);
        }
        is_done
    }

    /// Changes the state of a request; `None` if there is no such request.
    pub(super) fn transition(
        &mut self,
        request: RequestId,
        to: RequestState,
    ) -> Option<Result<(), InvalidTransition>> {
        let entry = self.entries.get_mut(&request)?;
        let was_open = entry.state.is_open();
        let result = entry.state.transition_to(to);
        self.open_count -= usize::from(was_open && !entry.state.is_open());
        Some(result)
    }

    // ---- Attempts ----

    /// Finds an attempt in any state.
    pub(super) fn attempt(&self, request: RequestId, number: u16) -> Option<&Attempt> {
        self.get(request)?.attempts.get(usize::from(number))
    }

    /// Finds an attempt for modification.
    pub(super) fn attempt_mut(&mut self, request: RequestId, number: u16) -> Option<&mut Attempt> {
        self.get_mut(request)?.attempts.get_mut(usize::from(number))
    }

    /// The id of an attempt that is in flight: sent, without an end, and not the one that placed the task.
    pub(super) fn in_flight(&self, request: RequestId, number: u16) -> Option<AttemptId> {
        let entry = self.get(request)?;
        let attempt = entry.attempts.get(usize::from(number))?;
        let is_placed = entry.state == RequestState::Placed(number);
        (attempt.ended.is_none() && !is_placed).then_some(AttemptId::new(
            attempt.node,
            request,
            number,
        ))
    }

    /// Whether the attempt is in flight at this node.
    pub(super) fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.in_flight(attempt.request, attempt.number) == Some(attempt)
    }

    /// The attempt that placed the request's task, while the task runs.
    pub(super) fn placed_attempt(&self, request: RequestId) -> Option<AttemptId> {
        self.get(request).and_then(RequestEntry::placed_attempt)
    }

    /// Whether the attempt placed its request's task and the task still runs.
    pub(super) fn is_placed(&self, attempt: AttemptId) -> bool {
        self.placed_attempt(attempt.request) == Some(attempt)
    }
}
