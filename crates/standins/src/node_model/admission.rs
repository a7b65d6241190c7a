//! Admission of offers: one at a time, each rejected with a reason or queued to be started.

use super::fleet_state::DedupKey;
use super::resources::Resources;
use super::task::{Task, TaskId, TaskState};
use super::{ClassFault, Micros, NodeModel};
use peppercove_protocol::node::{Idempotency, NodeReason, OfferedTask, TaskExit};

/// The offer that the node is deciding on.
#[derive(Clone, Debug)]
pub(super) struct CurrentAdmission {
    pub(super) id: TaskId,
    /// When the decision is made.
    pub(super) decided_at: Micros,
}

impl NodeModel {
    /// Decides on the first offer in the queue, if its decision is due. Returns whether anything was done.
    pub(super) fn advance_admission(&mut self, now: Micros) -> bool {
        if self.faults.hangs {
            return false;
        }
        let Some(current) = self
            .current_admission
            .take()
            .or_else(|| self.begin_admission(now))
        else {
            return false;
        };
        if !self.tasks.contains_key(&current.id) {
            self.admission_queue.retain(|id| *id != current.id);
            return true;
        }
        if current.decided_at > now {
            self.current_admission = Some(current);
            return false;
        }
        self.admission_queue.pop_front();
        self.decide(now, &current.id);
        true
    }

    fn begin_admission(&self, now: Micros) -> Option<CurrentAdmission> {
        let id = self.admission_queue.front()?.clone();
        let duration = (self.spec.admission_time as f64 / self.speed(now)) as Micros;
        let decided_at = now + duration;
        Some(CurrentAdmission { id, decided_at })
    }

    fn decide(&mut self, now: Micros, id: &TaskId) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let (offered, expires) = (task.offered.clone(), task.expires);
        match self.faults.failing_classes.get(&offered.class) {
            Some(ClassFault::Error) => {
                self.tasks.remove(id);
                self.send_ended(now, id, TaskExit::Error);
            }
            Some(ClassFault::Silence) => {
                self.tasks.remove(id);
            }
            None => match self.admit(now, id, &offered, expires) {
                Ok(()) => self.accept(now, id, &offered),
                Err(reason) => self.reject(now, id, reason),
            },
        }
    }

    /// Checks an offer. Returns the reason of the first check that fails. May preempt other tasks.
    fn admit(
        &mut self,
        now: Micros,
        id: &TaskId,
        offered: &OfferedTask,
        expires: Micros,
    ) -> Result<(), NodeReason> {
        if self.is_draining || expires <= now {
            return Err(NodeReason::Ineligible);
        }
        if self.rng.f64() < self.faults.false_rejections {
            return Err(NodeReason::InsufficientCores);
        }
        if self.is_second_copy(now, id, offered) {
            return Err(NodeReason::Ineligible);
        }
        self.make_room(now, offered)
    }

    fn accept(&mut self, now: Micros, id: &TaskId, offered: &OfferedTask) {
        if offered.idempotency == Idempotency::Keyed {
            let key = self.dedup_key(offered);
            self.fleet.dedup.borrow_mut().admit(key, now);
        }
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = TaskState::Accepted;
        }
        self.start_queue.push_back(id.clone());
        self.send_accepted(now, id);
    }

    /// Whether the deduplication group knows another copy of this keyed task, or this node one of this non-idempotent
    /// task, from any controller.
    fn is_second_copy(&self, now: Micros, id: &TaskId, offered: &OfferedTask) -> bool {
        match offered.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Keyed => {
                let key = self.dedup_key(offered);
                self.fleet.dedup.borrow().knows(key, now)
            }
            Idempotency::NonIdempotent => {
                let is_copy = |(other, task): (&TaskId, &Task)| {
                    other != id && task.is_active() && task.offered.task == offered.task
                };
                self.tasks.iter().any(is_copy) || self.completed.has_run(offered.task)
            }
        }
    }

    pub(super) fn dedup_key(&self, offered: &OfferedTask) -> DedupKey {
        DedupKey {
            group: self.spec.dedup_group,
            task: offered.task,
        }
    }

    /// Checks that the requested resources are available. A node that preempts evicts tasks of lower priority until
    /// they are.
    fn make_room(&mut self, now: Micros, offered: &OfferedTask) -> Result<(), NodeReason> {
        let limit = Resources {
            cores: self.spec.cores * self.spec.cores_overcommit,
            memory: self.spec.memory * self.spec.memory_overcommit,
        };
        loop {
            let requested = self.requested();
            let shortage = if requested.cores + offered.cores > limit.cores {
                NodeReason::InsufficientCores
            } else if requested.memory + offered.memory > limit.memory {
                NodeReason::InsufficientMemory
            } else {
                return Ok(());
            };
            match self.preemption_victim(offered.priority) {
                Some(victim) => self.evict(now, &victim, NodeReason::Preempted),
                None => return Err(shortage),
            }
        }
    }

    /// The task to preempt for one of this priority: the one with the lowest priority, if that is lower.
    fn preemption_victim(&self, priority: u8) -> Option<TaskId> {
        if !self.spec.preempts {
            return None;
        }
        let is_lower = |task: &Task| task.is_active() && task.offered.priority < priority;
        self.tasks
            .iter()
            .filter(|(_, task)| is_lower(task))
            .min_by_key(|(id, task)| (task.offered.priority, (*id).clone()))
            .map(|(id, _)| id.clone())
    }
}
