//! Handling of messages from controllers, with one method for each.

use super::output::Outgoing;
use super::resources::Resources;
use super::task::{Task, TaskId, TaskState};
use super::{Micros, NodeModel};
use peppercove_protocol::node::{
    AttemptId, Control, FromNode, NodeReason, OfferedTask, ProcessIdentity, TaskExit, ToNode,
};

/// Signal that ends a terminated task.
const SIGTERM: i32 = 15;

/// Attempt id for messages that do not belong to an attempt.
const NO_ATTEMPT: AttemptId = AttemptId {
    request: 0,
    number: 0,
};

impl NodeModel {
    /// Handles a message on the newest link of a controller. Handshakes are ignored here; they are handled by
    /// [`NodeModel::handshake`].
    pub fn on_message(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        message: ToNode,
    ) -> Vec<Outgoing> {
        match message {
            ToNode::Hello { .. } => Vec::new(),
            ToNode::Offer {
                attempt,
                expires_in,
                task,
            } => self.offer(now, from, attempt, expires_in, task),
            ToNode::CancelAttempt { attempt } => self.cancel_attempt(now, from, attempt),
            ToNode::Adopt {
                incarnation,
                attempt,
                new_attempt,
            } => self.adopt(now, from, incarnation, attempt, new_attempt),
            ToNode::AcknowledgeEnd { attempt } => {
                self.acknowledge_end(from, attempt);
                Vec::new()
            }
            ToNode::Discard {
                incarnation,
                attempt,
            } => self.discard(now, from, incarnation, attempt),
            ToNode::Control { attempt, action } => self.control(now, from, attempt, action),
            ToNode::Probe { nonce } => self.probe(now, from, nonce),
        }
    }

    /// Handles an offer: queues the task for admission. It must start within `expires_in` microseconds or not at all.
    pub fn offer(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        attempt: AttemptId,
        expires_in: Micros,
        offered: OfferedTask,
    ) -> Vec<Outgoing> {
        let id = TaskId::current(from, attempt);
        self.count_offer(now);
        if self.has_crashed {
            return Vec::new();
        }
        if self.faults.reports_unknown_attempts {
            self.send_unknown_attempt(&id);
        }
        let queue_is_full = self.admission_queue.len() >= self.spec.admission_queue_limit;
        if self.tasks.contains_key(&id) || queue_is_full {
            self.send_rejected(now, &id, NodeReason::QueueFull);
            return self.advance(now);
        }
        // The order of the draws is part of the result of a seed: cores, then memory.
        let usage_share = Resources {
            cores: self.spec.usage_share.draw(&mut self.rng),
            memory: self.spec.usage_share.draw(&mut self.rng),
        };
        let task = Task {
            offered,
            state: TaskState::Queued,
            expires: now.saturating_add(expires_in),
            usage_share,
        };
        self.tasks.insert(id.clone(), task);
        self.admission_queue.push_back(id);
        self.advance(now)
    }

    fn send_unknown_attempt(&mut self, id: &TaskId) {
        let attempt = AttemptId {
            number: id.attempt.number.wrapping_add(1),
            ..id.attempt
        };
        let load = None;
        self.send(id, FromNode::Running { attempt, load });
    }

    /// Cancels an attempt that the controller no longer waits for. A task that has been started keeps running.
    pub fn cancel_attempt(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        attempt: AttemptId,
    ) -> Vec<Outgoing> {
        let id = TaskId::current(from, attempt);
        match self.tasks.get(&id).map(|task| task.state) {
            Some(TaskState::Queued | TaskState::Accepted) => {
                if !self.faults.hangs {
                    self.reject(now, &id, NodeReason::Ineligible);
                }
            }
            Some(TaskState::Starting { .. }) => {}
            Some(TaskState::Running { .. } | TaskState::Suspended { .. }) => {
                self.send_running(now, &id);
            }
            None => self.report_absent(now, &id),
        }
        self.advance(now)
    }

    /// Reports how an attempt that is not on the node ended, or rejects it if it never ran. Since messages of one link
    /// arrive in order, it cannot run later either.
    fn report_absent(&mut self, now: Micros, id: &TaskId) {
        match self.completed.exit_of(id) {
            Some(exit) => self.send_ended(now, id, exit),
            None if self.completed.has_forgotten(&id.controller) => {}
            None => self.send_rejected(now, id, NodeReason::Ineligible),
        }
    }

    /// Suspends, resumes or terminates a task for its client.
    pub fn control(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        attempt: AttemptId,
        action: Control,
    ) -> Vec<Outgoing> {
        let id = TaskId::current(from, attempt);
        self.control_task(now, &id, action);
        self.advance(now)
    }

    /// Handles the acknowledgement of an end.
    pub fn acknowledge_end(&mut self, from: &ProcessIdentity, attempt: AttemptId) {
        self.completed.acknowledge(&TaskId::current(from, attempt));
    }

    /// Terminates a task of an earlier incarnation of the controller, or takes its end as acknowledged.
    pub fn discard(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        incarnation: u64,
        attempt: AttemptId,
    ) -> Vec<Outgoing> {
        let id = TaskId::of_incarnation(from, incarnation, attempt);
        self.control_task(now, &id, Control::Terminate);
        self.completed.acknowledge(&id);
        self.advance(now)
    }

    /// Lets a controller adopt a task of an earlier incarnation under a new attempt id.
    pub fn adopt(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        incarnation: u64,
        attempt: AttemptId,
        new_attempt: AttemptId,
    ) -> Vec<Outgoing> {
        let old = TaskId::of_incarnation(from, incarnation, attempt);
        let new = TaskId::current(from, new_attempt);
        if let Some(task) = self.tasks.remove(&old) {
            for id in self.start_queue.iter_mut().filter(|id| **id == old) {
                *id = new.clone();
            }
            self.tasks.insert(new, task);
        } else if !self.tasks.contains_key(&new) {
            // The task ended before the message arrived. If the new id is known, it has already been adopted.
            let exit = self.completed.rename(&old, &new);
            let exit = exit.unwrap_or(TaskExit::Evicted(NodeReason::Unknown));
            self.send_ended_without_load(&new, new_attempt, exit);
        }
        self.advance(now)
    }

    /// Answers a health check with the load.
    pub fn probe(&mut self, now: Micros, from: &ProcessIdentity, nonce: u64) -> Vec<Outgoing> {
        let id = TaskId::current(from, NO_ATTEMPT);
        let load = self.reported_load(now);
        self.send(&id, FromNode::ProbeReply { nonce, load });
        self.advance(now)
    }

    fn control_task(&mut self, now: Micros, id: &TaskId, action: Control) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        match action {
            Control::Suspend => suspend(task, now),
            Control::Resume => resume(task, now),
            Control::Terminate if task.state.is_before_start() => {
                self.reject(now, id, NodeReason::Ineligible);
            }
            Control::Terminate => {
                let exit = TaskExit::Signalled {
                    signal: SIGTERM,
                    usage: task.usage(now),
                };
                self.end(now, id, exit);
            }
        }
    }
}

fn suspend(task: &mut Task, now: Micros) {
    if let TaskState::Running {
        since,
        until,
        start,
    } = task.state
    {
        let left = until.saturating_sub(now);
        task.state = TaskState::Suspended { since, left, start };
    }
}

fn resume(task: &mut Task, now: Micros) {
    if let TaskState::Suspended { since, left, start } = task.state {
        let until = now + left;
        task.state = TaskState::Running {
            since,
            until,
            start,
        };
    }
}
