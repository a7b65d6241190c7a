//! Links from controllers: the handshake, the newest link of each controller, and what is dropped when a link breaks.

use super::output::Outgoing;
use super::task::{Task, TaskId};
use super::{Micros, NodeModel};
use peppercove_protocol::node::{FromNode, ProcessIdentity};

/// The newest link of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Connection {
    /// Incarnation of the controller that made the handshake.
    pub(super) incarnation: u64,
    /// Number of the link, chosen by the caller.
    pub(super) link: u64,
}

impl NodeModel {
    /// Handles the handshake of a controller on a new link, which replaces its earlier one. Returns the messages that
    /// complete the handshake: a welcome with the number of known tasks, then one message for each of them.
    pub fn handshake(
        &mut self,
        now: Micros,
        controller: &ProcessIdentity,
        link: u64,
    ) -> Vec<FromNode> {
        let connection = Connection {
            incarnation: controller.incarnation,
            link,
        };
        self.connections.insert(controller.name.clone(), connection);
        // Unstarted tasks are dropped, because the controller assumes that tasks missing from the handshake never
        // started.
        self.drop_unstarted(now, &controller.name);
        let ended = self.unacknowledged_ends_of(controller);
        let mut known = self.live_tasks_of(controller);
        known.extend(self.completed_tasks_of_earlier(controller));
        let mut messages = vec![FromNode::Welcome {
            version: peppercove_protocol::VERSION,
            node: ProcessIdentity {
                name: self.spec.name.clone(),
                incarnation: self.incarnation,
            },
            known_tasks: (known.len() + ended.len()) as u32,
            is_complete: !self.completed.has_forgotten(&controller.name),
        }];
        messages.extend(ended);
        messages.extend(known);
        messages
    }

    fn live_tasks_of(&self, controller: &ProcessIdentity) -> Vec<FromNode> {
        let is_live = |(id, task): &(&TaskId, &Task)| {
            id.controller == controller.name && !task.state.is_before_start()
        };
        let live = self.tasks.iter().filter(is_live);
        live.map(|(id, task)| FromNode::KnownTask {
            incarnation: id.incarnation,
            attempt: id.attempt,
            task: task.offered.clone(),
            ended: None,
        })
        .collect()
    }

    /// Ends that this incarnation of the controller has not acknowledged.
    fn unacknowledged_ends_of(&self, controller: &ProcessIdentity) -> Vec<FromNode> {
        let completed = self.completed.of_controller(&controller.name);
        completed
            .filter(|(id, task)| id.incarnation == controller.incarnation && !task.is_acknowledged)
            .map(|(id, task)| FromNode::Ended {
                attempt: id.attempt,
                end: task.exit,
                load: None,
            })
            .collect()
    }

    /// Ended tasks of other incarnations. The connected one does not know their attempts, but must learn that the tasks
    /// have run.
    fn completed_tasks_of_earlier(&self, controller: &ProcessIdentity) -> Vec<FromNode> {
        let completed = self.completed.of_controller(&controller.name);
        completed
            .filter(|(id, _)| id.incarnation != controller.incarnation)
            .map(|(id, task)| FromNode::KnownTask {
                incarnation: id.incarnation,
                attempt: id.attempt,
                task: task.offered.clone(),
                ended: Some(task.exit),
            })
            .collect()
    }

    /// Whether the link is the newest of its controller. Messages on an older link must be ignored: otherwise a delayed
    /// offer could start after the node has reported to the controller that it never did.
    pub fn is_current(&self, controller: &str, link: u64) -> bool {
        self.connections
            .get(controller)
            .is_some_and(|newest| newest.link == link)
    }

    /// Handles a broken link. Unstarted tasks of the controller are dropped, and the others keep running.
    pub fn disconnect(&mut self, now: Micros, controller: &str, link: u64) -> Vec<Outgoing> {
        if self.is_current(controller, link) {
            self.connections.remove(controller);
            self.drop_unstarted(now, controller);
        }
        self.advance(now)
    }

    fn drop_unstarted(&mut self, now: Micros, controller: &str) {
        let is_dropped = |(id, task): &(&TaskId, &Task)| {
            id.controller == controller && task.state.is_before_start()
        };
        let dropped = self.tasks.iter().filter(is_dropped);
        let dropped: Vec<TaskId> = dropped.map(|(id, _)| id.clone()).collect();
        for id in dropped {
            self.remove(now, &id);
        }
    }
}
