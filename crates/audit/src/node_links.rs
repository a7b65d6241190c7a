//! Links between controllers and nodes: incarnations, handshakes, and what messages of nodes prove of attempts.

use crate::Micros;
use crate::attempts::{AttemptState, AttemptTable};
use peppercove_protocol::node::{AttemptId, FromNode, ProcessIdentity};
use std::collections::BTreeMap;

/// An attempt and the process that sent it.
struct SentAttempt {
    sender: ProcessIdentity,
    id: AttemptId,
}

/// The newest link between a controller and a node.
#[derive(Default)]
struct Link {
    is_open: bool,
    /// Incarnation of the node, as its last handshake told it.
    node_incarnation: Option<u64>,
}

/// A handshake that is not complete: the node still has to list tasks.
struct Handshake {
    /// Messages that are still to come.
    remaining: u32,
    node_incarnation: u64,
    /// Attempts that were listed.
    listed: Vec<SentAttempt>,
}

/// All links and handshakes.
#[derive(Default)]
pub(crate) struct NodeLinks {
    /// By name of the controller and of the node.
    links: BTreeMap<(String, String), Link>,
    handshakes: BTreeMap<(ProcessIdentity, String), Handshake>,
}

impl NodeLinks {
    /// Incarnation of the node that the controller's link leads to.
    pub(crate) fn node_incarnation(&self, controller: &str, node: &str) -> Option<u64> {
        self.get(controller, node)?.node_incarnation
    }

    /// There was a link, and it was closed.
    pub(crate) fn is_closed(&self, controller: &str, node: &str) -> bool {
        self.get(controller, node).is_some_and(|link| !link.is_open)
    }

    fn get(&self, controller: &str, node: &str) -> Option<&Link> {
        self.links.get(&(controller.to_owned(), node.to_owned()))
    }

    pub(crate) fn on_link_closed(&mut self, controller: &str, node: &str) {
        let key = (controller.to_owned(), node.to_owned());
        self.links.entry(key).or_default().is_open = false;
    }

    /// A node sends a message to a controller.
    pub(crate) fn on_node_message(
        &mut self,
        attempts: &mut AttemptTable,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        message: &FromNode,
    ) {
        if let FromNode::Welcome {
            node: welcomed,
            known_tasks,
            ..
        } = message
        {
            self.begin_handshake(attempts, controller, welcomed, node, *known_tasks);
            return self.complete_handshake(attempts, controller, node);
        }
        report_message(attempts, at, controller, node, message);
        if let Some(listed) = listed_attempt(controller, message) {
            self.list_attempt(attempts, controller, node, listed);
        }
    }

    fn begin_handshake(
        &mut self,
        attempts: &mut AttemptTable,
        controller: &ProcessIdentity,
        welcomed: &ProcessIdentity,
        node: &str,
        known_tasks: u32,
    ) {
        let key = (controller.name.clone(), node.to_owned());
        let link = self.links.entry(key).or_default();
        link.is_open = true;
        let earlier = link.node_incarnation.replace(welcomed.incarnation);
        if earlier.is_some_and(|earlier| earlier != welcomed.incarnation) {
            on_new_incarnation(attempts, node, welcomed.incarnation);
        }
        let handshake = Handshake {
            remaining: known_tasks,
            node_incarnation: welcomed.incarnation,
            listed: Vec::new(),
        };
        let key = (controller.clone(), node.to_owned());
        self.handshakes.insert(key, handshake);
    }

    /// A message lists an attempt: it belongs to the handshake if one is under way.
    fn list_attempt(
        &mut self,
        attempts: &mut AttemptTable,
        controller: &ProcessIdentity,
        node: &str,
        attempt: SentAttempt,
    ) {
        let key = (controller.clone(), node.to_owned());
        if let Some(handshake) = self.handshakes.get_mut(&key) {
            handshake.remaining = handshake.remaining.saturating_sub(1);
            handshake.listed.push(attempt);
            self.complete_handshake(attempts, controller, node);
        }
    }

    /// If the node has listed all its tasks: an attempt that was sent to the same incarnation, that was not listed and
    /// of which nothing was received never ran. By the protocol nothing that was sent on an earlier link can start
    /// afterwards, and a node lists what it ran until that is acknowledged. What it really ran is checked from its own
    /// records.
    fn complete_handshake(
        &mut self,
        attempts: &mut AttemptTable,
        controller: &ProcessIdentity,
        node: &str,
    ) {
        let key = (controller.clone(), node.to_owned());
        let handshake = self.handshakes.get(&key);
        if handshake.is_none_or(|handshake| handshake.remaining > 0) {
            return;
        }
        let Some(handshake) = self.handshakes.remove(&key) else {
            return;
        };
        for attempt in attempts.iter_mut() {
            let is_of_link = attempt.controller.name == controller.name && attempt.node == node;
            let is_listed = handshake
                .listed
                .iter()
                .any(|listed| listed.sender == attempt.controller && listed.id == attempt.id);
            let is_open = matches!(
                attempt.state,
                AttemptState::Pending | AttemptState::Ambiguous
            );
            let is_of_incarnation = attempt.node_incarnation == Some(handshake.node_incarnation);
            if is_of_link && is_open && !is_listed && is_of_incarnation {
                attempt.state = AttemptState::NeverRan;
            }
        }
    }
}

/// The process of a node is another one: what the earlier one ran has ended.
fn on_new_incarnation(attempts: &mut AttemptTable, node: &str, incarnation: u64) {
    for attempt in attempts.iter_mut().filter(|attempt| attempt.node == node) {
        match attempt.state {
            AttemptState::Running => attempt.state = AttemptState::Ended,
            AttemptState::Pending => {
                // Whether it ran on the earlier process stays open.
                let sent_to = attempt.node_incarnation;
                if sent_to.is_some_and(|sent_to| sent_to != incarnation) {
                    attempt.state = AttemptState::Ambiguous;
                }
            }
            AttemptState::NeverRan | AttemptState::Ambiguous | AttemptState::Ended => {}
        }
    }
}

/// What a message says of the state of an attempt.
fn report_message(
    attempts: &mut AttemptTable,
    at: Micros,
    controller: &ProcessIdentity,
    node: &str,
    message: &FromNode,
) {
    let (attempt, state) = match message {
        FromNode::Running { attempt, .. } => (*attempt, AttemptState::Running),
        FromNode::Rejected { attempt, .. } => (*attempt, AttemptState::NeverRan),
        FromNode::Ended { attempt, .. } => (*attempt, AttemptState::Ended),
        FromNode::KnownTask {
            incarnation,
            attempt,
            ended,
            ..
        } => {
            let sender = earlier_process(controller, *incarnation);
            return report_known(attempts, at, &sender, *attempt, node, ended.is_some());
        }
        FromNode::Welcome { .. }
        | FromNode::Accepted { .. }
        | FromNode::Measurement { .. }
        | FromNode::ProbeReply { .. } => return,
    };
    report(attempts, at, controller, attempt, node, state);
}

/// The attempt that a message lists, if it may belong to a handshake.
fn listed_attempt(controller: &ProcessIdentity, message: &FromNode) -> Option<SentAttempt> {
    match message {
        FromNode::KnownTask {
            incarnation,
            attempt,
            ..
        } => Some(SentAttempt {
            sender: earlier_process(controller, *incarnation),
            id: *attempt,
        }),
        FromNode::Ended { attempt, .. } => Some(SentAttempt {
            sender: controller.clone(),
            id: *attempt,
        }),
        FromNode::Welcome { .. }
        | FromNode::Running { .. }
        | FromNode::Rejected { .. }
        | FromNode::Accepted { .. }
        | FromNode::Measurement { .. }
        | FromNode::ProbeReply { .. } => None,
    }
}

/// Another incarnation of a controller.
fn earlier_process(controller: &ProcessIdentity, incarnation: u64) -> ProcessIdentity {
    ProcessIdentity {
        name: controller.name.clone(),
        incarnation,
    }
}

/// A node reports the state of an attempt of the controller's present incarnation.
fn report(
    attempts: &mut AttemptTable,
    at: Micros,
    controller: &ProcessIdentity,
    attempt: AttemptId,
    node: &str,
    state: AttemptState,
) {
    let Some(attempt) = attempts.get_mut(controller, attempt, node) else {
        return;
    };
    match attempt.state {
        AttemptState::Pending | AttemptState::Running | AttemptState::Ambiguous => {
            attempt.report(at, state);
        }
        // These are final; a further report proves nothing.
        AttemptState::NeverRan | AttemptState::Ended => {}
    }
}

/// A node lists a task in a handshake.
fn report_known(
    attempts: &mut AttemptTable,
    at: Micros,
    sender: &ProcessIdentity,
    attempt: AttemptId,
    node: &str,
    has_ended: bool,
) {
    let state = if has_ended {
        AttemptState::Ended
    } else {
        AttemptState::Running
    };
    if let Some(attempt) = attempts.get_mut(sender, attempt, node)
        && attempt.state != AttemptState::Ended
    {
        attempt.report(at, state);
    }
}
