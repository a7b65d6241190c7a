//! The requests, by id.

use crate::attempt_log::AttemptId;
use crate::request_state::{Attempt, InvalidTransition, RequestEntry, RequestState};
use peppercove::RequestId;
use std::collections::BTreeMap;

/// The requests that are open, placed, or have an attempt in flight.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    entries: BTreeMap<RequestId, RequestEntry>,
    /// Requests without a final answer.
    open_count: usize,
    next_id: u64,
}

impl RequestTable {
    /// A new id, in rising order.
    pub(super) fn next_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id - 1)
    }

    /// A request.
    pub(super) fn get(&self, request: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&request)
    }

    /// A request, to be changed; its state goes through [`RequestTable::transition`].
    pub(super) fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&request)
    }

    /// The request, if it still has no final answer.
    pub(super) fn get_open(&self, request: RequestId) -> Option<&RequestEntry> {
        self.get(request).filter(|entry| entry.state.is_open())
    }

    /// All requests, in order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RequestEntry> {
        self.entries.values()
    }

    /// Requests without a final answer.
    pub(super) fn open_count(&self) -> usize {
        self.open_count
    }

    /// Requests whose task is placed and has not ended.
    pub(super) fn placed_count(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| matches!(entry.state, RequestState::Placed(_)))
            .count()
    }

    /// Takes in a request without a final answer.
    pub(super) fn insert(&mut self, entry: RequestEntry) {
        self.entries.insert(entry.id(), entry);
        self.open_count += 1;
    }

    /// Forgets a request that has its answer and no attempt in flight; gives whether it did.
    pub(super) fn remove_if_done(&mut self, request: RequestId) -> bool {
        let is_done = self.get(request).is_some_and(RequestEntry::is_done);
        if is_done {
            self.entries.remove(&request);
        }
        is_done
    }

    /// Moves a request to another state; `None` where there is no such request.
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

    /// An attempt, whatever has become of it.
    pub(super) fn attempt(&self, request: RequestId, number: u16) -> Option<&Attempt> {
        self.get(request)?.attempts.get(usize::from(number))
    }

    /// An attempt, to be changed.
    pub(super) fn attempt_mut(&mut self, request: RequestId, number: u16) -> Option<&mut Attempt> {
        self.get_mut(request)?.attempts.get_mut(usize::from(number))
    }

    /// The attempt, while it is in flight: sent, without an end, and not the one that placed the task.
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

    /// The attempt is in flight at that very node.
    pub(super) fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.in_flight(attempt.request, attempt.number) == Some(attempt)
    }

    /// The attempt that placed a request's task, while the task runs.
    pub(super) fn placed_attempt(&self, request: RequestId) -> Option<AttemptId> {
        self.get(request).and_then(RequestEntry::placed_attempt)
    }

    /// The attempt placed its request's task, and the task runs.
    pub(super) fn is_placed(&self, attempt: AttemptId) -> bool {
        self.placed_attempt(attempt.request) == Some(attempt)
    }
}
