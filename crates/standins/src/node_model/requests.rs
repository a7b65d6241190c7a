//! Messages of controllers, one method for each.

use super::output::Outgoing;
use super::resources::Resources;
use super::task::{Task, TaskId, TaskState};
use super::{Micros, NodeModel};
use peppercove_protocol::node::{
    AttemptId, Control, FromNode, NodeReason, OfferedTask, ProcessIdentity, TaskExit, ToNode,
};

/// Signal that a terminated task ends with.
const SIGTERM: i32 = 15;

/// Attempt of messages that belong to none.
const NO_ATTEMPT: AttemptId = AttemptId {
    request: 0,
    number: 0,
};

impl NodeModel {
    /// A message arrives on the newest link of the controller. Handshakes are not handled here but by
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

    /// An offer: the task waits for admission, and must not start later than `expires_in` microseconds from now.
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
        // Cores are drawn before memory.
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

    /// The controller cancels an attempt that it no longer waits for; one that has been started runs on.
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

    /// Reports of an attempt that is not on the node how it ended, or that it never ran. Messages of one link arrive in
    /// order, so that it never will.
    fn report_absent(&mut self, now: Micros, id: &TaskId) {
        match self.completed.exit_of(id) {
            Some(exit) => self.send_ended(now, id, exit),
            None if self.completed.has_forgotten(&id.controller) => {}
            None => self.send_rejected(now, id, NodeReason::Ineligible),
        }
    }

    /// A client suspends, resumes or terminates its task.
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

    /// A controller acknowledges an end.
    pub fn acknowledge_end(&mut self, from: &ProcessIdentity, attempt: AttemptId) {
        self.completed.acknowledge(&TaskId::current(from, attempt));
    }

    /// A restarted controller terminates a task of its earlier incarnation, or acknowledges its end.
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

    /// A controller takes over a task of an earlier incarnation under a new attempt id.
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
            // The task ended while the message was under way; otherwise it has been adopted before.
            let exit = self.completed.rename(&old, &new);
            let exit = exit.unwrap_or(TaskExit::Evicted(NodeReason::Unknown));
            self.send_ended_without_load(&new, new_attempt, exit);
        }
        self.advance(now)
    }

    /// A health check: answered with the load.
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
