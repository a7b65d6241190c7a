//! Attempts, reconstructed from the captured traffic.

use crate::Micros;
use peppercove_protocol::node::{AttemptId, OfferedTask, ProcessIdentity, ToNode};
use std::collections::BTreeMap;

/// What the captured traffic shows of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The offer was sent, and nothing has been received for it.
    Pending,
    /// Its node has reported that it runs.
    Running,
    /// It is certain that it never ran.
    NeverRan,
    /// Cancelled, expired or disconnected: it is not known whether it ran.
    Ambiguous,
    /// It ran and has ended.
    Ended,
}

/// An offer, as a controller sends it.
pub(crate) struct Offer<'a> {
    pub(crate) at: Micros,
    pub(crate) controller: &'a ProcessIdentity,
    pub(crate) node: &'a str,
    pub(crate) attempt: AttemptId,
    /// Time after `at` from which on the node must not start the task.
    pub(crate) expires_in: Micros,
    pub(crate) task: &'a OfferedTask,
}

/// One attempt to place a task.
pub(crate) struct Attempt {
    pub(crate) controller: ProcessIdentity,
    pub(crate) id: AttemptId,
    pub(crate) node: String,
    pub(crate) sent: Micros,
    pub(crate) expires: Micros,
    pub(crate) task: OfferedTask,
    pub(crate) state: AttemptState,
    /// When the node first reported the state.
    pub(crate) reported_at: Micros,
    /// Incarnation of the node that the offer was sent to, from its handshake.
    pub(crate) node_incarnation: Option<u64>,
}

impl Attempt {
    /// Applies a state that the node reports; a repeated report keeps the time of the first.
    pub(crate) fn on_report(&mut self, at: Micros, state: AttemptState) {
        if self.state != state {
            self.reported_at = at;
            self.state = state;
        }
    }

    /// Marks a pending attempt as ambiguous; only a report of the node can resolve it afterwards.
    fn mark_ambiguous(&mut self) {
        if self.state == AttemptState::Pending {
            self.state = AttemptState::Ambiguous;
        }
    }
}

/// Key of an attempt in the table.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    controller: ProcessIdentity,
    attempt: AttemptId,
    node: String,
}

impl AttemptKey {
    fn new(controller: &ProcessIdentity, attempt: AttemptId, node: &str) -> AttemptKey {
        AttemptKey {
            controller: controller.clone(),
            attempt,
            node: node.to_owned(),
        }
    }
}

/// All attempts, in the order of their offers.
#[derive(Default)]
pub(crate) struct AttemptTable {
    attempts: Vec<Attempt>,
    by_key: BTreeMap<AttemptKey, usize>,
    by_task: BTreeMap<u64, Vec<usize>>,
}

impl AttemptTable {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Attempt> {
        self.attempts.iter_mut()
    }

    /// Returns the attempts of a task.
    pub(crate) fn of_task(&self, task: u64) -> impl Iterator<Item = &Attempt> {
        let indices = self.by_task.get(&task).into_iter().flatten();
        indices.map(|index| &self.attempts[*index])
    }

    pub(crate) fn get_mut(
        &mut self,
        controller: &ProcessIdentity,
        attempt: AttemptId,
        node: &str,
    ) -> Option<&mut Attempt> {
        let key = AttemptKey::new(controller, attempt, node);
        let index = *self.by_key.get(&key)?;
        self.attempts.get_mut(index)
    }

    /// Adds the attempt of an offer that is sent to this incarnation of the node.
    pub(crate) fn add(&mut self, offer: &Offer<'_>, node_incarnation: Option<u64>) {
        let index = self.attempts.len();
        let key = AttemptKey::new(offer.controller, offer.attempt, offer.node);
        self.by_key.insert(key, index);
        self.by_task.entry(offer.task.task).or_default().push(index);
        self.attempts.push(Attempt {
            controller: offer.controller.clone(),
            id: offer.attempt,
            node: offer.node.to_owned(),
            sent: offer.at,
            expires: offer.at + offer.expires_in,
            task: offer.task.clone(),
            state: AttemptState::Pending,
            reported_at: 0,
            node_incarnation,
        });
    }

    /// Marks the pending attempts of a task that expire at or before `until` as ambiguous.
    pub(crate) fn expire(&mut self, task: u64, until: Micros) {
        for index in self.by_task.get(&task).into_iter().flatten() {
            let attempt = &mut self.attempts[*index];
            if attempt.expires <= until {
                attempt.mark_ambiguous();
            }
        }
    }

    /// Handles a message of a controller to a node, other than an offer.
    pub(crate) fn on_controller_message(
        &mut self,
        controller: &ProcessIdentity,
        node: &str,
        message: &ToNode,
    ) {
        match message {
            ToNode::CancelAttempt { attempt } => {
                if let Some(attempt) = self.get_mut(controller, *attempt, node) {
                    attempt.mark_ambiguous();
                }
            }
            ToNode::Adopt {
                incarnation,
                attempt,
                new_attempt,
            } => {
                let earlier = ProcessIdentity {
                    name: controller.name.clone(),
                    incarnation: *incarnation,
                };
                let key = AttemptKey::new(&earlier, *attempt, node);
                self.adopt(&key, controller, *new_attempt);
            }
            ToNode::Hello { .. }
            | ToNode::Offer { .. }
            | ToNode::AcknowledgeEnd { .. }
            | ToNode::Discard { .. }
            | ToNode::Control { .. }
            | ToNode::Probe { .. } => {}
        }
    }

    /// Handles the adoption of an attempt of an earlier incarnation under a new id.
    fn adopt(&mut self, key: &AttemptKey, controller: &ProcessIdentity, new_id: AttemptId) {
        let Some(index) = self.by_key.get(key).copied() else {
            return;
        };
        let new_key = AttemptKey::new(controller, new_id, &key.node);
        self.by_key.insert(new_key, index);
        let attempt = &mut self.attempts[index];
        attempt.controller = controller.clone();
        attempt.id = new_id;
        attempt.state = AttemptState::Running;
    }

    pub(crate) fn on_link_closed(&mut self, controller: &ProcessIdentity, node: &str) {
        self.mark_ambiguous(|attempt| attempt.controller == *controller && attempt.node == *node);
    }

    pub(crate) fn on_controller_killed(&mut self, controller: &str) {
        self.mark_ambiguous(|attempt| attempt.controller.name == *controller);
    }

    /// Marks the affected attempts that are pending as ambiguous.
    fn mark_ambiguous(&mut self, is_affected: impl Fn(&Attempt) -> bool) {
        let attempts = self.attempts.iter_mut();
        for attempt in attempts.filter(|attempt| is_affected(attempt)) {
            attempt.mark_ambiguous();
        }
    }
}
