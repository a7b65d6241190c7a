//! Passes batches of events to the scheduler and executes the actions it returns.

use super::attempts::AttemptLimits;
use super::request::AttemptId;
use super::timers::Timer;
use super::{Output, PlatformEngine};
use crate::wire::{Message, cause};
use peppercove::{Action, AttemptOutcome, Micros};
use peppercove_core::Decide;

impl<D: Decide> PlatformEngine<D> {
    /// The earliest time of the scheduler's next batch.
    pub(super) fn next_batch_at(&self) -> Micros {
        self.last_batch_at
            .map_or(0, |at| at.saturating_add(self.settings.tick))
    }

    /// If the next batch is due, passes the events since the last batch to the scheduler and executes its actions.
    pub(super) fn run_batch(&mut self) {
        if self.events.is_empty() || self.now < self.next_batch_at() {
            return;
        }
        self.last_batch_at = Some(self.now);
        let events = std::mem::take(&mut self.events);
        for action in self.scheduler.decide(self.now, &events) {
            self.execute(action);
        }
        // The scheduler has been informed that these requests are completed and no longer refers to them.
        self.requests.remove_completed();
        self.completion_backlog.clear();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::WatchNodes => self.outputs.push(Output::WatchEndpoints),
            Action::Dispatch {
                request,
                node,
                timeout,
                send_by,
            } => self.dispatch(request, node, AttemptLimits { timeout, send_by }),
            Action::CancelAttempt { request, attempt } => {
                // `abandon_attempt` does nothing if the attempt is not open, for example if it has placed the task.
                let number = attempt;
                let attempt = AttemptId { request, number };
                self.abandon_attempt(attempt, AttemptOutcome::Cancelled, false);
            }
            Action::Reject { request, .. } => {
                if self.answer(request, Message::release(0, cause::TURNED_AWAY)) {
                    self.counters.rejected += 1;
                }
            }
            Action::Fail(request) => {
                if self.answer(request, Message::release(0, cause::CUT)) {
                    self.counters.failed += 1;
                }
            }
            Action::Migrate(request) => self.migrate(request),
            Action::SetTimer { label, at } => {
                let at = at.max(self.now + 1);
                self.timers.schedule(at, Timer::Scheduler { label });
            }
            Action::Log(line) => self.outputs.push(Output::Log(line)),
            // The platform's nodes do not support probes, and its controllers are not connected to each other.
            Action::Probe(_) | Action::Broadcast(_) => {}
        }
    }
}
