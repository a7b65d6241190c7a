//! Connections between controllers and nodes: the incarnations of the nodes, handshakes, and the states of attempts
//! that nodes report.

use crate::Micros;
use crate::attempts::{AttemptState, AttemptTable};
use peppercove_protocol::node::{AttemptId, FromNode, ProcessIdentity};
use std::collections::BTreeMap;

/// Identity of an attempt: its id and the process that sent it.
struct SentAttempt {
    sender: ProcessIdentity,
    id: AttemptId,
}

/// The newest connection between a controller and a node.
#[derive(Default)]
struct Link {
    is_open: bool,
    /// Incarnation of the node, from its last handshake.
    node_incarnation: Option<u64>,
}

/// A handshake in which the node has not yet listed all its tasks.
struct Handshake {
    /// Number of tasks that are still to be listed.
    remaining: u32,
    node_incarnation: u64,
    /// Attempts that have been listed.
    listed: Vec<SentAttempt>,
}

/// The newest connection of each controller to each node, and incomplete handshakes.
#[derive(Default)]
pub(crate) struct NodeLinks {
    /// By name of the controller and of the node.
    links: BTreeMap<(String, String), Link>,
    /// When a controller was first greeted by an incarnation of a node, by the node's name.
    first_greetings: BTreeMap<(String, u64), Micros>,
    handshakes: BTreeMap<(ProcessIdentity, String), Handshake>,
}

impl NodeLinks {
    /// Incarnation of the node that the controller is or was last connected to.
    pub(crate) fn node_incarnation(&self, controller: &str, node: &str) -> Option<u64> {
        self.get(controller, node)?.node_incarnation
    }

    /// When any controller was first greeted by this incarnation of a node.
    pub(crate) fn first_greeted_at(&self, node: &str, incarnation: u64) -> Option<Micros> {
        let greeted_at = self.first_greetings.get(&(node.to_owned(), incarnation));
        greeted_at.copied()
    }

    /// Whether the controller was connected to the node and no longer is.
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

    /// Handles a message of a node to a controller.
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
            self.first_greetings
                .entry((node.to_owned(), welcomed.incarnation))
                .or_insert(at);
            self.begin_handshake(attempts, controller, welcomed, node, *known_tasks);
            return self.complete_handshake(attempts, controller, node);
        }
        on_attempt_message(attempts, at, controller, node, message);
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

    /// Handles a message that lists an attempt; it is part of the handshake if one is in progress.
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

    /// Completes the handshake once the node has listed all its tasks.
    ///
    /// An attempt that was sent to the same incarnation, was not listed and for which nothing was received never ran:
    /// by the protocol an offer on an earlier connection cannot start after the handshake, and a node lists each task
    /// that it ran until the controller acknowledges its end. The starts that the node itself recorded are checked
    /// separately.
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
            let is_of_connection =
                attempt.controller.name == controller.name && attempt.node == node;
            let is_listed = handshake
                .listed
                .iter()
                .any(|listed| listed.sender == attempt.controller && listed.id == attempt.id);
            let is_open = matches!(
                attempt.state,
                AttemptState::Pending | AttemptState::Ambiguous
            );
            let is_of_incarnation = attempt.node_incarnation == Some(handshake.node_incarnation);
            if is_of_connection && is_open && !is_listed && is_of_incarnation {
                attempt.state = AttemptState::NeverRan;
            }
        }
    }
}

/// Updates the attempts of a node that has a new incarnation: what ran on the earlier one has ended.
fn on_new_incarnation(attempts: &mut AttemptTable, node: &str, incarnation: u64) {
    for attempt in attempts.iter_mut().filter(|attempt| attempt.node == node) {
        match attempt.state {
            AttemptState::Running => attempt.state = AttemptState::Ended,
            AttemptState::Pending => {
                // It may have run on the earlier incarnation.
                let sent_to = attempt.node_incarnation;
                if sent_to.is_some_and(|sent_to| sent_to != incarnation) {
                    attempt.state = AttemptState::Ambiguous;
                }
            }
            AttemptState::NeverRan | AttemptState::Ambiguous | AttemptState::Ended => {}
        }
    }
}

/// Applies the state of an attempt that a message of its node reports.
fn on_attempt_message(
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
            let sender = with_incarnation(controller, *incarnation);
            return update_listed_attempt(attempts, at, &sender, *attempt, node, ended.is_some());
        }
        FromNode::Welcome { .. }
        | FromNode::Accepted { .. }
        | FromNode::Measurement { .. }
        | FromNode::ProbeReply { .. } => return,
    };
    update_attempt(attempts, at, controller, attempt, node, state);
}

/// Returns the attempt that a message lists, if the message can be part of a handshake.
fn listed_attempt(controller: &ProcessIdentity, message: &FromNode) -> Option<SentAttempt> {
    match message {
        FromNode::KnownTask {
            incarnation,
            attempt,
            ..
        } => Some(SentAttempt {
            sender: with_incarnation(controller, *incarnation),
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

/// Returns the identity of the same controller with another incarnation.
fn with_incarnation(controller: &ProcessIdentity, incarnation: u64) -> ProcessIdentity {
    ProcessIdentity {
        name: controller.name.clone(),
        incarnation,
    }
}

/// Applies a reported state to an attempt of the controller's current incarnation.
fn update_attempt(
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
            attempt.on_report(at, state);
        }
        // Final states: a further report changes nothing.
        AttemptState::NeverRan | AttemptState::Ended => {}
    }
}

/// Applies the state of a task that a node lists in a handshake.
fn update_listed_attempt(
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
        attempt.on_report(at, state);
    }
}
