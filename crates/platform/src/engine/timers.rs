//! The engine's timers and their expiry.

use super::PlatformEngine;
use super::request::{AttemptId, HealthCheck, Request};
use peppercove::{AttemptOutcome, Event, Micros, NodeId, RequestId};
use peppercove_core::{Decide, TimerId};

/// A timer of the engine.
#[derive(Debug)]
pub(super) enum Timer {
    /// A timer of the scheduler.
    Scheduler {
        /// The label that the scheduler gave the timer.
        label: u64,
    },
    /// An attempt has timed out.
    AttemptTimeout(AttemptId),
    /// The time is over within which an attempt may be sent.
    SendBy(AttemptId),
    /// The deadline of a request has passed by more than the grace period; its client should have given up by now.
    RequestDeadline(RequestId),
    /// No message has shown to which attempt an ambiguous end belongs.
    AmbiguityTimeout {
        request: RequestId,
        check: HealthCheck,
    },
    /// The health of the connections to a node must be reviewed.
    MonitorNode(NodeId),
    /// The reconnect delay of a node is over.
    Reconnect(NodeId),
    /// A node left the list long enough ago that its last messages have been received.
    RemoveGoneNode(NodeId),
}

impl<D: Decide> PlatformEngine<D> {
    /// Fires the timers due by `until`, and admits the queued requests whose deadline has been reached.
    pub(super) fn on_tick(&mut self, until: Micros) {
        self.timer_lag.record(self.now, until);
        let until = until.min(self.now);
        while let Some(timer) = self.timers.pop_due(until) {
            self.on_timer(timer);
        }
        // Under CPU pressure, requests may be queued for longer than their clients wait. Invariant: each queued request
        // is answered by its deadline.
        while let Some(queued) = self.queue.pop_due(until) {
            self.on_request(queued.client, queued.received_at, &queued.message);
        }
    }

    /// Cancels timers that no longer apply.
    pub(super) fn cancel_timers(&mut self, timers: impl IntoIterator<Item = Option<TimerId>>) {
        for timer in timers.into_iter().flatten() {
            self.timers.cancel(timer);
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Scheduler { label } => self.events.push(Event::Timer(label)),
            Timer::AttemptTimeout(attempt) => {
                self.abandon_attempt(attempt, AttemptOutcome::TimedOut, false);
            }
            Timer::SendBy(attempt) => self.on_send_limit(attempt),
            Timer::RequestDeadline(request) => {
                let is_open = |r: &Request| r.state.is_open();
                if self.requests.get(request).is_some_and(is_open) {
                    self.cancel_request(request);
                }
            }
            Timer::AmbiguityTimeout { request, check } => {
                // Skipped if the ambiguity has been resolved in the meantime. A later ambiguity has its own timer.
                if self.has_ambiguous_end(request, check) {
                    self.accept_end(request);
                }
            }
            Timer::MonitorNode(node) => self.monitor_node(node),
            Timer::Reconnect(node) => self.ensure_connection(node),
            Timer::RemoveGoneNode(node) => self.remove_gone_node(node),
        }
    }
}
