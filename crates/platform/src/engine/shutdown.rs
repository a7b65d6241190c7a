//! Answers during a shutdown, whose end may come before the deadlines of open requests.

use super::PlatformEngine;
use super::request::Request;
use crate::wire::{Message, cause};
use peppercove::{Event, Micros, RequestId};
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// Requests received from now on must be answered by `answer_by`, even if their deadline is later.
    pub(super) fn on_limit_answers(&mut self, answer_by: Micros) {
        self.answer_limit = Some(answer_by);
    }

    /// The deadline of a request, or the time by which a shutdown requires its answer if that is earlier.
    pub(super) fn limited_deadline(&self, received_at: Micros, timeout: Micros) -> Micros {
        let deadline = received_at.saturating_add(timeout);
        let limit = self.answer_limit.unwrap_or(Micros::MAX);
        deadline.min(limit.max(received_at))
    }

    /// Answers all requests that are still open, because the process is about to end.
    ///
    /// Invariant: only requests that no attempt was made for are rejected, because a rejection promises that a retry does
    /// no harm.
    pub(super) fn on_answer_all(&mut self) {
        while let Some(queued) = self.queue.pop_next() {
            self.counters.rejected += 1;
            self.reject(queued.client, queued.message.id);
        }
        let open: Vec<RequestId> = self
            .clients
            .values()
            .flat_map(|client| client.open_requests.iter().copied())
            .collect();
        for id in open {
            self.answer_at_shutdown(id);
        }
    }

    fn answer_at_shutdown(&mut self, id: RequestId) {
        let has_attempts = |request: &Request| !request.attempts.is_empty();
        let may_have_run = self.requests.get(id).is_some_and(has_attempts);
        let cause = if may_have_run {
            cause::CUT
        } else {
            cause::TURNED_AWAY
        };
        if !self.answer(id, Message::release(0, cause)) {
            return;
        }
        self.events.push(Event::RequestCancelled(id));
        if may_have_run {
            self.counters.failed += 1;
        } else {
            self.counters.rejected += 1;
        }
    }
}
