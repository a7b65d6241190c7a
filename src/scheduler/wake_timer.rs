//! When the scheduler wants to be called again.

use super::Scheduler;
use crate::api::{Action, Micros};

/// While tasks are queued, the scheduler is called at least this often within the shortest
/// objective: nodes become feasible by the mere passing of time.
const WAKES_PER_OBJECTIVE: Micros = 8;

impl Scheduler {
    pub(super) fn on_wake_timer(&mut self) {
        self.wake_at = Micros::MAX;
        self.queue.note_capacity_change();
    }

    /// Sets a timer if it has to fire before the one that is set.
    pub(super) fn set_wake_timer(&mut self) {
        let queue_interval = self.shortest_objective() / WAKES_PER_OBJECTIVE;
        let queue_at = self
            .queue
            .first_answer_by()
            .map(|at| at.min(self.now + queue_interval));
        let wanted = queue_at.into_iter().chain(self.list_watch.poll_at()).min();
        let earlier = wanted
            .map(|at| at.max(self.now + 1))
            .filter(|at| *at < self.wake_at);
        if let Some(at) = earlier {
            self.wake_at = at;
            self.actions.push(Action::SetTimer { label: 0, at });
        }
    }
}
