//! What happens when a timer fires.

use super::PlatformEngine;
use super::request::{AttemptId, HealthCheck, Request};
use peppercove::{AttemptOutcome, Event, Micros, NodeId, RequestId};
use peppercove_core::Decide;

/// A timer of the engine.
#[derive(Debug)]
pub(super) enum Timer {
    /// A timer of the decision module.
    Module {
        /// The module's label.
        label: u64,
    },
    /// The time of an attempt is over.
    AttemptTimeout(AttemptId),
    /// A client that is still connected should have given up this request.
    RequestDeadline(RequestId),
    /// Nothing was received that tells to which attempt the end of a task belongs.
    AmbiguityTimeout {
        request: RequestId,
        check: HealthCheck,
    },
    /// The connections to a node are to be checked.
    MonitorNode(NodeId),
    /// A node may need a new connection.
    Reconnect(NodeId),
    /// A node has left the list, and has had time to send what it still had to say.
    ForgetNode(NodeId),
}

impl<D: Decide> PlatformEngine<D> {
    /// Fires the timers due by `until`, and admits the requests that have waited as long as they may.
    pub(super) fn on_tick(&mut self, until: Micros) {
        self.timer_lag.record(self.now, until);
        let until = until.min(self.now);
        while let Some(timer) = self.timers.pop_due(until) {
            self.on_timer(timer);
        }
        // With little processor time the queue may be longer than its clients wait. Invariant: each queued request
        // gets its answer by its deadline.
        while let Some(queued) = self.queue.pop_due(until) {
            self.on_request(queued.client, queued.received_at, &queued.message);
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module { label } => self.events.push(Event::Timer(label)),
            Timer::AttemptTimeout(attempt) => {
                self.abandon_attempt(attempt, AttemptOutcome::TimedOut, false);
            }
            Timer::RequestDeadline(request) => {
                let is_open = |r: &Request| r.state.is_open();
                if self.requests.get(request).is_some_and(is_open) {
                    self.cancel_request(request);
                }
            }
            Timer::AmbiguityTimeout { request, check } => {
                // An ambiguity that was resolved since has no timer left; a later one has its own.
                if self.is_ambiguous(request, check) {
                    self.accept_end(request);
                }
            }
            Timer::MonitorNode(node) => self.monitor_node(node),
            Timer::Reconnect(node) => self.ensure_connection(node),
            Timer::ForgetNode(node) => self.forget_node(node),
        }
    }
}
