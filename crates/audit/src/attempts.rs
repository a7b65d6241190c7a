//! Attempts as the sockets show them: what was sent, and what is proved of it.

use crate::Micros;
use peppercove_protocol::node::{AttemptId, OfferedTask, ProcessIdentity, ToNode};
use std::collections::BTreeMap;

/// What the sockets prove of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Sent, and nothing received for it.
    Pending,
    /// Its node reports that it runs.
    Running,
    /// Proved never to have run.
    NeverRan,
    /// Cancelled, expired or cut off without proof of either.
    Ambiguous,
    /// Ended after it ran.
    Ended,
}

/// An offer as it is sent.
pub(crate) struct Offer<'a> {
    pub(crate) at: Micros,
    pub(crate) controller: &'a ProcessIdentity,
    pub(crate) node: &'a str,
    pub(crate) attempt: AttemptId,
    /// Time from `at` after which the node must not start it.
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
    /// When the node reported the state.
    pub(crate) reported_at: Micros,
    /// Incarnation of the node that the offer was sent to, as its handshake told it.
    pub(crate) node_incarnation: Option<u64>,
}

impl Attempt {
    /// The node reports a state; repeated reports keep the time of the first.
    pub(crate) fn report(&mut self, at: Micros, state: AttemptState) {
        if self.state != state {
            self.reported_at = at;
            self.state = state;
        }
    }

    /// Nothing more can be proved of it unless the node reports it.
    fn make_ambiguous(&mut self) {
        if self.state == AttemptState::Pending {
            self.state = AttemptState::Ambiguous;
        }
    }
}

/// Identity of an attempt.
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

/// All attempts, in the order in which they were sent.
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

    /// Attempts of one task.
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

    /// Adds an attempt that is sent to this incarnation of its node.
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

    /// Pending attempts of a task that expire until then are ambiguous.
    pub(crate) fn expire(&mut self, task: u64, until: Micros) {
        for index in self.by_task.get(&task).into_iter().flatten() {
            let attempt = &mut self.attempts[*index];
            if attempt.expires <= until {
                attempt.make_ambiguous();
            }
        }
    }

    /// A controller sends something other than an offer.
    pub(crate) fn on_controller_message(
        &mut self,
        controller: &ProcessIdentity,
        node: &str,
        message: &ToNode,
    ) {
        match message {
            ToNode::CancelAttempt { attempt } => {
                if let Some(attempt) = self.get_mut(controller, *attempt, node) {
                    attempt.make_ambiguous();
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

    /// The controller takes an attempt of its earlier incarnation over under a new id.
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
        self.make_ambiguous(|attempt| attempt.controller == *controller && attempt.node == *node);
    }

    pub(crate) fn on_controller_killed(&mut self, controller: &str) {
        self.make_ambiguous(|attempt| attempt.controller.name == *controller);
    }

    fn make_ambiguous(&mut self, is_affected: impl Fn(&Attempt) -> bool) {
        let attempts = self.attempts.iter_mut();
        for attempt in attempts.filter(|attempt| is_affected(attempt)) {
            attempt.make_ambiguous();
        }
    }
}
