//! Ended tasks, kept until their controllers have acknowledged the end.

use super::Micros;
use super::task::TaskId;
use peppercove_protocol::node::{Idempotency, OfferedTask, TaskExit};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Delay before an unacknowledged end is sent again, in microseconds. It doubles with each resend.
const RESEND_AFTER: Micros = 500_000;

/// Limit on the number of doublings of the delay.
const MAX_DOUBLINGS: u32 = 5;

/// Limit on the ended tasks that are kept. The oldest are dropped first.
pub(super) const MAX_COMPLETED: usize = 10_000;

/// A task that has ended.
#[derive(Clone, Debug)]
pub(super) struct CompletedTask {
    pub(super) offered: OfferedTask,
    pub(super) exit: TaskExit,
    /// Its controller has acknowledged the end.
    pub(super) is_acknowledged: bool,
    /// When the end is sent again.
    resend_at: Micros,
    resends: u32,
}

impl CompletedTask {
    /// Whether the program counts as run: it exited, failed or was signalled, rather than evicted.
    fn has_run(&self) -> bool {
        !matches!(self.exit, TaskExit::Evicted(_))
    }
}

/// An end that is due to be sent again.
pub(super) struct DueResend {
    pub(super) id: TaskId,
    pub(super) exit: TaskExit,
}

/// Ended tasks: those whose end was not acknowledged, and all non-idempotent ones, since the controller may have died
/// between its acknowledgement and its answer to the client.
#[derive(Debug, Default)]
pub(super) struct CompletedTasks {
    tasks: BTreeMap<TaskId, CompletedTask>,
    /// From the oldest to the newest.
    order: VecDeque<TaskId>,
    /// Controllers for which an unacknowledged end was dropped.
    forgotten: BTreeSet<String>,
}

impl CompletedTasks {
    pub(super) fn insert(&mut self, now: Micros, id: TaskId, offered: OfferedTask, exit: TaskExit) {
        while self.order.len() >= MAX_COMPLETED {
            self.forget_oldest();
        }
        self.order.push_back(id.clone());
        let task = CompletedTask {
            offered,
            exit,
            is_acknowledged: false,
            resend_at: now + RESEND_AFTER,
            resends: 0,
        };
        self.tasks.insert(id, task);
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        let forgotten = self.tasks.remove(&oldest);
        if forgotten.is_some_and(|task| !task.is_acknowledged) {
            self.forgotten.insert(oldest.controller);
        }
    }

    /// Marks the end as acknowledged. Non-idempotent tasks are kept, all others are removed.
    pub(super) fn acknowledge(&mut self, id: &TaskId) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.is_acknowledged = true;
        if task.offered.idempotency != Idempotency::NonIdempotent {
            self.tasks.remove(id);
            self.order.retain(|other| other != id);
        }
    }

    /// Moves an ended task to a new attempt id and marks its end as not acknowledged. Returns how the task ended.
    pub(super) fn rename(&mut self, old: &TaskId, new: &TaskId) -> Option<TaskExit> {
        let task = self.tasks.remove(old);
        self.order.retain(|id| id != old);
        let task = task?;
        let exit = task.exit;
        self.order.push_back(new.clone());
        let renamed = CompletedTask {
            is_acknowledged: false,
            ..task
        };
        self.tasks.insert(new.clone(), renamed);
        Some(exit)
    }

    pub(super) fn exit_of(&self, id: &TaskId) -> Option<TaskExit> {
        self.tasks.get(id).map(|task| task.exit)
    }

    /// Whether a copy of the task is known to have run.
    pub(super) fn has_run(&self, task: u64) -> bool {
        self.tasks
            .values()
            .any(|completed| completed.offered.task == task && completed.has_run())
    }

    pub(super) fn of_controller<'a>(
        &'a self,
        controller: &'a str,
    ) -> impl Iterator<Item = (&'a TaskId, &'a CompletedTask)> {
        self.tasks
            .iter()
            .filter(move |(id, _)| id.controller == controller)
    }

    /// Whether an end was dropped that this controller had not acknowledged.
    pub(super) fn has_forgotten(&self, controller: &str) -> bool {
        self.forgotten.contains(controller)
    }

    /// Time at which the next end must be sent again.
    pub(super) fn next_resend(&self) -> Option<Micros> {
        let pending = self.tasks.values().filter(|task| !task.is_acknowledged);
        pending.map(|task| task.resend_at).min()
    }

    /// Returns the ends that are due to be sent again, and schedules their next resend.
    pub(super) fn take_due_resends(&mut self, now: Micros) -> Vec<DueResend> {
        let mut due = Vec::new();
        for (id, task) in &mut self.tasks {
            if task.is_acknowledged || task.resend_at > now {
                continue;
            }
            task.resend_at = now + (RESEND_AFTER << task.resends.min(MAX_DOUBLINGS));
            task.resends += 1;
            due.push(DueResend {
                id: id.clone(),
                exit: task.exit,
            });
        }
        due
    }

    pub(super) fn clear(&mut self) {
        self.tasks.clear();
        self.order.clear();
        self.forgotten.clear();
    }
}
