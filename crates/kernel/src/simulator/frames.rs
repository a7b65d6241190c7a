//! Frames between controllers and nodes: sending, delay, loss and arrival.

use super::Simulator;
use super::connections::End;
use super::events::SimEvent;
use peppercove::{Micros, NodeId};
use peppercove_audit::Observation;
use peppercove_core::Output;
use peppercove_exchange::{DecodedMessage, HandshakeProgress, decode_message, encode_output};
use peppercove_protocol::node::{FromNode, ProcessIdentity, ToNode};

impl Simulator<'_> {
    /// Draws the arrival time of a frame that is sent to this end; `None` if it is lost.
    fn draw_arrival(&mut self, connection: usize, end: End) -> Option<Micros> {
        let latency = self.draw_latency();
        let now = self.now();
        let state = self.connections[connection].end_mut(end);
        let at = (now + latency).max(state.last_arrival + 1);
        state.last_arrival = at;
        (at < state.lost_from).then_some(at)
    }

    pub(super) fn send_to_node(&mut self, connection: usize, message: ToNode) {
        let sending = &self.connections[connection];
        let (process, node) = (sending.process, sending.node);
        // Captured when it is sent, because the rules apply to the time of sending.
        if !matches!(message, ToNode::Hello { .. }) {
            let observation = Observation::ToNode {
                controller: self.identity(process),
                node: self.nodes[node].name().to_owned(),
                message: message.clone(),
            };
            self.record(observation);
        }
        match self.draw_arrival(connection, End::Node) {
            Some(at) => {
                let message = Box::new(message);
                self.schedule_at(
                    at,
                    SimEvent::ArriveAtNode {
                        connection,
                        message,
                    },
                );
            }
            None => self.record_hazard("frame to a node lost at a cut"),
        }
    }

    pub(super) fn send_to_controller(&mut self, connection: usize, message: FromNode) {
        match self.draw_arrival(connection, End::Controller) {
            Some(at) => {
                let message = Box::new(message);
                self.schedule_at(
                    at,
                    SimEvent::ArriveAtController {
                        connection,
                        message,
                    },
                );
            }
            None => self.record_hazard("frame of a node lost at a cut"),
        }
    }

    /// Sends the message of an output to its node. Returns `false` if the node is not connected.
    pub(super) fn send_output(&mut self, controller: usize, output: &Output) -> bool {
        let sender = &self.controllers[controller];
        let Some(process) = &sender.process else {
            return false;
        };
        let jobs = process.core.jobs();
        let frame = encode_output(&sender.config, self.now(), output, |job| jobs.get(job));
        match frame {
            Some((node, message)) => self.send(controller, node, message),
            None => false,
        }
    }

    /// Sends a message to a node. Returns `false` if the node is not connected.
    fn send(&mut self, controller: usize, node: NodeId, message: ToNode) -> bool {
        let process = self.controllers[controller].process.as_ref();
        let link = process.and_then(|process| process.links.get(&node));
        let Some(connection) = link.and_then(|link| link.ready_connection()) else {
            return false;
        };
        self.send_to_node(connection, message);
        true
    }

    pub(super) fn on_arrival_at_node(&mut self, connection: usize, message: ToNode) {
        let arrived = &self.connections[connection];
        let (node, process) = (arrived.node, arrived.process);
        let end = arrived.end(End::Node);
        if !end.is_open || self.now() >= end.lost_from {
            return self.record_hazard("frame to a node lost at a cut");
        }
        // Invariant: a node process that has died since the connection was opened answers nothing, and its successor
        // does not know the connection. If a dead node, which has no tasks, completed a handshake, its attempts would
        // appear never to have run.
        let simulated = &self.nodes[node];
        if simulated.is_dead || simulated.model.incarnation() != arrived.node_incarnation {
            return self.close_end(connection, End::Node);
        }
        if matches!(message, ToNode::Offer { .. }) {
            if !self.is_running(process) {
                self.record_hazard("a controller dies between an offer and its arrival");
            }
            let newest = self.controllers[process.controller].incarnation();
            if newest.is_some_and(|newest| newest != process.incarnation) {
                self.record_hazard("offer of a killed life arrives after the next has started");
            }
        }
        let controller = self.identity(process);
        if let ToNode::Hello { .. } = message {
            return self.answer_handshake(connection, node, &controller);
        }
        let simulated = &self.nodes[node];
        let newest = simulated.connections.get(&controller.name);
        let is_current = simulated
            .model
            .is_current(&controller.name, connection as u64);
        if newest != Some(&connection) {
            self.record_hazard("frame on an older link after a newer has greeted");
        }
        if is_current {
            self.update_node(node, |model, now| {
                model.on_message(now, &controller, message)
            });
        }
    }

    /// Answers a handshake at a node. The connection replaces an older one of the same controller.
    fn answer_handshake(&mut self, connection: usize, node: usize, controller: &ProcessIdentity) {
        let now = self.now();
        let simulated = &mut self.nodes[node];
        let messages = simulated
            .model
            .handshake(now, controller, connection as u64);
        let older = simulated
            .connections
            .insert(controller.name.clone(), connection);
        for message in messages {
            self.send_to_controller(connection, message);
        }
        if let Some(older) = older.filter(|older| *older != connection) {
            self.record_hazard("a node is greeted while it holds an older link");
            self.close_end(older, End::Node);
        }
        self.set_node_timer(node);
    }

    pub(super) fn on_arrival_at_controller(&mut self, connection: usize, message: FromNode) {
        let arrived = &self.connections[connection];
        let (process, node, node_id) = (arrived.process, arrived.node, arrived.node_id);
        let end = arrived.end(End::Controller);
        let is_lost = !end.is_open || self.now() >= end.lost_from;
        let is_running = self.is_running(process);
        if !is_running && matches!(message, FromNode::Running { .. }) {
            self.record_hazard("a controller dies between a start and the word of it");
        }
        if is_lost || !is_running {
            return self.record_hazard("frame of a node lost at a cut");
        }
        if let FromNode::Welcome { node, .. } = &message
            && node.incarnation > 1
        {
            self.record_hazard("a node is reached again under another life");
        }
        let observation = Observation::FromNode {
            controller: self.identity(process),
            node: self.nodes[node].name().to_owned(),
            message: message.clone(),
        };
        self.record(observation);
        if self.connections[connection].handshake.is_some() {
            self.continue_handshake(connection, message);
        } else {
            let decoded = decode_message(node_id, message);
            self.handle_message(process.controller, node_id, decoded);
        }
    }

    /// Passes a decoded message to the core of a controller, and sends the reply that it requires.
    fn handle_message(&mut self, controller: usize, node: NodeId, message: DecodedMessage) {
        if let Some(input) = message.input {
            self.input(controller, input);
        }
        if let Some(reply) = message.reply {
            self.send(controller, node, reply);
        }
    }

    /// Handles a message of a node that arrives before the handshake is complete.
    fn continue_handshake(&mut self, connection: usize, message: FromNode) {
        let Some(mut handshake) = self.connections[connection].handshake.take() else {
            return;
        };
        let (decoded, node_connected) = match handshake.on_message(message) {
            Ok(HandshakeProgress::Pending(decoded)) => (decoded, None),
            Ok(HandshakeProgress::Complete(decoded, input)) => (decoded, Some(input)),
            Err(_) => return self.abort_at_controller(connection),
        };
        self.connections[connection].handshake = Some(handshake);
        let controller = self.connections[connection].process.controller;
        if let Some(DecodedMessage { input, reply }) = decoded {
            if let Some(input) = input {
                self.input(controller, input);
            }
            self.connections[connection].pending_replies.extend(reply);
        }
        let Some(node_connected) = node_connected else {
            return;
        };
        let completed = &mut self.connections[connection];
        completed.handshake = None;
        let replies = std::mem::take(&mut completed.pending_replies);
        let (process, node) = (completed.process, completed.node_id);
        if let Some(link) = self.link_mut(process, node) {
            link.on_handshake_complete();
        }
        for reply in replies {
            self.send(controller, node, reply);
        }
        self.input(controller, node_connected);
    }
}
