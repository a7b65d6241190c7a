//! Task starts, completions, and evictions for lack of memory or because of a drain.

use super::fleet_state::TaskStart;
use super::task::{Task, TaskId, TaskState, exit_status, run_time};
use super::{EvictionPolicy, Micros, NodeModel};
use peppercove_protocol::node::{NodeReason, TaskExit};

impl NodeModel {
    /// Starts the first task in the queue if the limit on concurrent starts allows it. Returns whether anything was
    /// done.
    pub(super) fn begin_next_start(&mut self, now: Micros) -> bool {
        if self.faults.hangs || self.starting_tasks() >= self.spec.concurrent_starts {
            return false;
        }
        let Some(id) = self.start_queue.pop_front() else {
            return false;
        };
        let Some(task) = self.tasks.get(&id) else {
            return true;
        };
        if task.expires <= now {
            self.reject(now, &id, NodeReason::Ineligible);
            return true;
        }
        let until = now + self.start_time(now, task.offered.service);
        self.program_cache.touch(now, task.offered.service);
        if let Some(task) = self.tasks.get_mut(&id) {
            task.state = TaskState::Starting { until };
        }
        true
    }

    fn start_time(&self, now: Micros, service: u64) -> Micros {
        let factor = if self.program_cache.contains(service) {
            1.0
        } else {
            self.spec.uncached_start_factor
        };
        (self.spec.cached_start_time as f64 * factor / self.speed(now)) as Micros
    }

    /// Completes the earliest start or run that is due. Returns whether there was one.
    pub(super) fn complete_next_due(&mut self, now: Micros) -> bool {
        let due = |(id, task): (&TaskId, &Task)| {
            let at = task.state.next_change().filter(|at| *at <= now)?;
            Some((at, id.clone()))
        };
        let Some((at, id)) = self.tasks.iter().filter_map(due).min() else {
            return false;
        };
        let Some(task) = self.tasks.get(&id) else {
            return false;
        };
        if matches!(task.state, TaskState::Starting { .. }) {
            self.run(now, &id, at);
        } else {
            let exit = TaskExit::Exited {
                status: exit_status(&task.offered),
                usage: task.usage(now),
            };
            self.end(now, &id, exit);
        }
        true
    }

    /// Records that the program of the task has been running since `at`.
    fn run(&mut self, now: Micros, id: &TaskId, at: Micros) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let start = self.fleet.start_log.borrow_mut().record(TaskStart {
            at,
            ended: None,
            completed: false,
            node: self.spec.name.clone(),
            task: task.offered.task,
            idempotency: task.offered.idempotency,
            controller: id.controller.clone(),
        });
        let run_time = run_time(&task.offered).unwrap_or(self.spec.default_run_time);
        task.state = TaskState::Running {
            since: at,
            until: at + run_time,
            start,
        };
        self.send_running(now, id);
        self.evict_for_memory(now);
    }

    /// Evicts tasks while the used memory exceeds the memory of the node: those of lowest priority first, and among
    /// these the ones that use the largest share of their requested memory.
    fn evict_for_memory(&mut self, now: Micros) {
        // Shares are compared in whole millionths, since `f64` does not implement `Ord`.
        let used_share = |task: &Task| (task.usage_share.memory * 1e6) as i64;
        while self.used().memory > self.spec.memory {
            let started = self
                .tasks
                .iter()
                .filter(|(_, task)| task.state.is_started());
            let victim = started
                .min_by_key(|(id, task)| (task.offered.priority, -used_share(task), (*id).clone()))
                .map(|(id, _)| id.clone());
            let Some(victim) = victim else { return };
            self.evict(now, &victim, NodeReason::Evicted);
        }
    }

    /// Evicts a task of a draining node, if that is due. Returns whether a task was evicted.
    pub(super) fn evict_next_drained(&mut self, now: Micros) -> bool {
        if !self.is_draining || self.next_eviction > now || self.faults.hangs {
            return false;
        }
        let first = self.tasks.iter().find(|(_, task)| task.is_active());
        let Some(id) = first.map(|(id, _)| id.clone()) else {
            return false;
        };
        match self.spec.eviction {
            EvictionPolicy::None => return false,
            EvictionPolicy::Paced(interval) => self.next_eviction = now + interval.max(1),
            EvictionPolicy::AtOnce => {}
        }
        self.evict(now, &id, NodeReason::Drained);
        true
    }
}
