//! When the scheduler needs to be called again.

use super::Scheduler;
use crate::api::{Action, Micros};

/// Minimum number of calls per shortest latency objective while tasks are queued, since nodes can
/// become feasible merely because time has passed.
const WAKES_PER_OBJECTIVE: Micros = 8;

impl Scheduler {
    pub(super) fn on_wake_timer(&mut self) {
        self.wake_at = Micros::MAX;
        self.queue.note_capacity_change();
    }

    /// Sets a timer if the scheduler needs to be called before the pending one.
    pub(super) fn set_wake_timer(&mut self) {
        let queue_interval = self.shortest_objective() / WAKES_PER_OBJECTIVE;
        let queue_at = self
            .queue
            .first_answer_by()
            .map(|at| at.min(self.now + queue_interval));
        let next_at = queue_at.into_iter().chain(self.list_watch.poll_at()).min();
        let earlier_at = next_at
            .map(|at| at.max(self.now + 1))
            .filter(|at| *at < self.wake_at);
        if let Some(at) = earlier_at {
            self.wake_at = at;
            self.actions.push(Action::SetTimer { label: 0, at });
        }
    }
}
