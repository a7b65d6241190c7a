//! Messages from a node, in order, subject to the active faults.

use super::completed::{DueResend, MAX_COMPLETED};
use super::task::TaskId;
use super::{Micros, NodeModel};
use peppercove_protocol::node::{AttemptId, FromNode, NodeReason, TaskExit};

/// A message and its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Name of the controller.
    pub controller: String,
    /// The message.
    pub message: FromNode,
}

/// A message that has not been sent yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// Incarnation of the destination. Other incarnations do not know the attempt.
    incarnation: u64,
    outgoing: Outgoing,
}

impl NodeModel {
    /// Queues a message for the controller that sent the attempt.
    pub(super) fn send(&mut self, id: &TaskId, message: FromNode) {
        self.outbox.push(Pending {
            incarnation: id.incarnation,
            outgoing: Outgoing {
                controller: id.controller.clone(),
                message,
            },
        });
    }

    pub(super) fn send_rejected(&mut self, now: Micros, id: &TaskId, reason: NodeReason) {
        let (attempt, load) = (id.attempt, self.reported_load(now));
        self.send(
            id,
            FromNode::Rejected {
                attempt,
                reason,
                load,
            },
        );
    }

    pub(super) fn send_accepted(&mut self, now: Micros, id: &TaskId) {
        let (attempt, load) = (id.attempt, self.reported_load(now));
        self.send(id, FromNode::Accepted { attempt, load });
    }

    pub(super) fn send_running(&mut self, now: Micros, id: &TaskId) {
        let (attempt, load) = (id.attempt, self.reported_load(now));
        self.send(id, FromNode::Running { attempt, load });
    }

    pub(super) fn send_ended(&mut self, now: Micros, id: &TaskId, end: TaskExit) {
        let (attempt, load) = (id.attempt, self.reported_load(now));
        self.send(id, FromNode::Ended { attempt, end, load });
    }

    /// As [`NodeModel::send_ended`], without the load.
    pub(super) fn send_ended_without_load(
        &mut self,
        id: &TaskId,
        attempt: AttemptId,
        end: TaskExit,
    ) {
        let load = None;
        self.send(id, FromNode::Ended { attempt, end, load });
    }

    /// Sends unacknowledged ends again, since the earlier message may have been lost.
    pub(super) fn resend_ends(&mut self, now: Micros) {
        if self.faults.hangs {
            return;
        }
        for DueResend { id, exit } in self.completed.take_due_resends(now) {
            if self.is_connected(&id.controller, id.incarnation) {
                self.send_ended_without_load(&id, id.attempt, exit);
            }
        }
    }

    /// Takes the queued messages and returns those that are sent now: neither withheld, suppressed nor lost.
    pub(super) fn take_outgoing(&mut self) -> Vec<Outgoing> {
        let mut sent = Vec::new();
        for pending in std::mem::take(&mut self.outbox) {
            // Only the incarnation that sent an attempt knows its number, and a withheld message may find a newer one
            // connected.
            let is_connected = self.is_connected(&pending.outgoing.controller, pending.incarnation);
            if self.faults.hangs {
                if self.withheld.len() < MAX_COMPLETED {
                    self.withheld.push_back(pending);
                }
            } else if self.is_suppressed(&pending.outgoing.message) {
                continue;
            } else if is_connected && self.rng.f64() >= self.faults.message_loss {
                if self.faults.duplicates_messages {
                    sent.push(pending.outgoing.clone());
                }
                sent.push(pending.outgoing);
            }
        }
        sent
    }

    /// Requeues the messages that were withheld while the node hung.
    pub(super) fn release_withheld(&mut self) {
        self.outbox.extend(std::mem::take(&mut self.withheld));
    }

    fn is_connected(&self, controller: &str, incarnation: u64) -> bool {
        self.connections
            .get(controller)
            .is_some_and(|connection| connection.incarnation == incarnation)
    }

    fn is_suppressed(&self, message: &FromNode) -> bool {
        let confirms = matches!(
            message,
            FromNode::Running { .. } | FromNode::Accepted { .. }
        );
        self.faults.never_confirms && confirms
    }
}
