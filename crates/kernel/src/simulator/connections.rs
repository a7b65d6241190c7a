//! Connections between controllers and nodes: opening, closing and partitions. The two ends of a connection learn at
//! different times that it is broken.

use super::Simulator;
use super::events::{ProcessId, SimEvent};
use super::micros;
use peppercove::{Micros, NodeId};
use peppercove_audit::Observation;
use peppercove_core::Input;
use peppercove_exchange::{Backoff, Handshake};
use peppercove_protocol::node::ToNode;
use std::net::SocketAddrV4;

/// Delay before a controller opens a connection that its core requests, in microseconds.
const CONNECT_DELAY: Micros = 10;

/// Minimum delay before a connection is opened again, in microseconds.
const MIN_REDIAL_DELAY: Micros = 100;

/// One end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Controller,
    Node,
}

impl End {
    fn other(self) -> End {
        match self {
            End::Controller => End::Node,
            End::Node => End::Controller,
        }
    }
}

/// State of one end of a connection.
pub(super) struct EndState {
    /// Whether this end has neither closed the connection nor learned that it is broken.
    pub(super) is_open: bool,
    /// Frames that would arrive at this end at this time or later are lost.
    pub(super) lost_from: Micros,
    /// Arrival time of the last frame that was sent to this end: frames arrive in order.
    pub(super) last_arrival: Micros,
}

impl EndState {
    fn new() -> EndState {
        EndState {
            is_open: true,
            lost_from: Micros::MAX,
            last_arrival: 0,
        }
    }

    /// Loses the frames that arrive at this time or later.
    fn lose_from(&mut self, at: Micros) {
        self.lost_from = self.lost_from.min(at);
    }
}

/// A connection that is being opened, is open or was closed.
pub(super) struct Connection {
    pub(super) process: ProcessId,
    /// Index of the node.
    pub(super) node: usize,
    pub(super) node_id: NodeId,
    /// Incarnation of the node process to which it was opened.
    pub(super) node_incarnation: u64,
    controller_end: EndState,
    node_end: EndState,
    /// The incomplete handshake; `None` once it is complete.
    pub(super) handshake: Option<Handshake>,
    /// Replies to messages of the handshake, which are sent once it is complete.
    pub(super) pending_replies: Vec<ToNode>,
}

impl Connection {
    pub(super) fn end(&self, end: End) -> &EndState {
        match end {
            End::Controller => &self.controller_end,
            End::Node => &self.node_end,
        }
    }

    pub(super) fn end_mut(&mut self, end: End) -> &mut EndState {
        match end {
            End::Controller => &mut self.controller_end,
            End::Node => &mut self.node_end,
        }
    }

    fn is_open_at_any_end(&self) -> bool {
        self.controller_end.is_open || self.node_end.is_open
    }
}

/// The link of a controller to a node to which its core wants to be connected.
pub(super) struct NodeLink {
    address: SocketAddrV4,
    name: String,
    backoff: Backoff,
    connection: Option<usize>,
    /// Whether the handshake is complete and the core has been informed of it.
    is_up: bool,
    /// Number of the newest attempt to open a connection.
    attempt: u64,
}

impl NodeLink {
    /// Returns the index of the connection that is open or being opened.
    pub(super) fn connection(&self) -> Option<usize> {
        self.connection
    }

    /// Returns the index of the connection if its handshake is complete.
    pub(super) fn ready_connection(&self) -> Option<usize> {
        self.connection.filter(|_| self.is_up)
    }

    pub(super) fn on_handshake_complete(&mut self) {
        self.is_up = true;
        self.backoff.reset();
    }
}

impl Simulator<'_> {
    /// Handles the core's request to connect to a node.
    pub(super) fn connect(
        &mut self,
        process: ProcessId,
        node: NodeId,
        address: SocketAddrV4,
        name: String,
    ) {
        self.disconnect(process.controller, node);
        let network = &self.controllers[process.controller].config.network;
        let link = NodeLink {
            address,
            name,
            backoff: Backoff::new(network.min_backoff, network.max_backoff),
            connection: None,
            is_up: false,
            attempt: 0,
        };
        let Some(running) = self.process(process) else {
            return;
        };
        running.links.insert(node, link);
        let attempt = 0;
        self.schedule_after(
            CONNECT_DELAY,
            SimEvent::Dial {
                process,
                node,
                attempt,
            },
        );
    }

    /// Handles the core's request to disconnect from a node.
    pub(super) fn disconnect(&mut self, controller: usize, node: NodeId) {
        let process = self.controllers[controller].process.as_mut();
        let link = process.and_then(|process| process.links.remove(&node));
        if let Some(connection) = link.and_then(|link| link.connection) {
            self.close_end(connection, End::Controller);
        }
    }

    pub(super) fn link_mut(&mut self, process: ProcessId, node: NodeId) -> Option<&mut NodeLink> {
        self.process(process)?.links.get_mut(&node)
    }

    /// Opens a connection, unless a newer attempt has replaced this one.
    pub(super) fn dial(&mut self, process: ProcessId, node_id: NodeId, attempt: u64) {
        let Some(link) = self.link_mut(process, node_id) else {
            return;
        };
        if link.attempt != attempt || link.connection.is_some() {
            return;
        }
        let (address, name) = (link.address, link.name.clone());
        let Some(node) = self.find_reachable_node(node_id, address) else {
            return self.schedule_redial(process, node_id);
        };
        let config = &self.controllers[process.controller].config;
        let handshake = Handshake::new(node_id, &name, config.limits.jobs);
        let hello = Handshake::hello(config, process.incarnation);
        let timeout = micros(config.network.connect_timeout);
        let connection = self.connections.len();
        self.connections.push(Connection {
            process,
            node,
            node_id,
            node_incarnation: self.nodes[node].model.incarnation(),
            controller_end: EndState::new(),
            node_end: EndState::new(),
            handshake: Some(handshake),
            pending_replies: Vec::new(),
        });
        if let Some(link) = self.link_mut(process, node_id) {
            link.connection = Some(connection);
        }
        // Opening a connection takes a round trip before the first frame.
        let first_arrival = self.now() + self.rng.u64(80..500);
        let node_end = self.connections[connection].end_mut(End::Node);
        node_end.last_arrival = first_arrival;
        self.send_to_node(connection, hello);
        self.schedule_after(timeout, SimEvent::HandshakeTimeout { connection });
    }

    fn find_reachable_node(&self, id: NodeId, address: SocketAddrV4) -> Option<usize> {
        let index = *self.node_index.get(&id)?;
        let node = &self.nodes[index];
        (node.is_reachable() && node.address == address).then_some(index)
    }

    fn schedule_redial(&mut self, process: ProcessId, node: NodeId) {
        let jitter = self.rng.f64();
        let Some(link) = self.link_mut(process, node) else {
            return;
        };
        link.attempt += 1;
        let attempt = link.attempt;
        let delay = micros(link.backoff.next_delay(jitter)).max(MIN_REDIAL_DELAY);
        self.schedule_after(
            delay,
            SimEvent::Dial {
                process,
                node,
                attempt,
            },
        );
    }

    pub(super) fn on_handshake_timeout(&mut self, connection: usize) {
        let opened = &self.connections[connection];
        if opened.handshake.is_some() && opened.end(End::Controller).is_open {
            self.abort_at_controller(connection);
        }
    }

    /// Closes the controller's end and informs the controller immediately.
    pub(super) fn abort_at_controller(&mut self, connection: usize) {
        self.close_end(connection, End::Controller);
        self.on_controller_end_closed(connection);
    }

    /// Closes one end of a connection. Frames that it has sent may still arrive for a short time; the other end learns
    /// later that the connection is broken.
    pub(super) fn close_end(&mut self, connection: usize, end: End) {
        let loss_delay = self.rng.u64(0..400);
        let notice_delay = if self.rng.u32(0..10) == 0 {
            self.rng.u64(5_000..300_000)
        } else {
            self.rng.u64(100..3_000)
        };
        let now = self.now();
        let closing = &mut self.connections[connection];
        if !closing.end(end).is_open {
            return;
        }
        closing.end_mut(end).is_open = false;
        closing.end_mut(end).lose_from(now);
        closing.end_mut(end.other()).lose_from(now + loss_delay);
        if end == End::Node {
            self.on_node_end_closed(connection);
        }
        let end = end.other();
        self.schedule_after(notice_delay, SimEvent::ConnectionBroken { connection, end });
    }

    /// Breaks a connection by a network partition. Each end continues to send until it learns that the connection is
    /// broken.
    pub(super) fn partition(&mut self, connection: usize) {
        for end in [End::Controller, End::Node] {
            let loss_delay = self.rng.u64(0..400);
            let notice_delay = if self.rng.u32(0..4) == 0 {
                self.rng.u64(5_000..200_000)
            } else {
                self.rng.u64(100..2_000)
            };
            let now = self.now();
            let state = self.connections[connection].end_mut(end);
            state.lose_from(now + loss_delay);
            self.schedule_after(
                loss_delay + notice_delay,
                SimEvent::ConnectionBroken { connection, end },
            );
        }
    }

    /// Informs one end that the connection is broken.
    pub(super) fn on_connection_broken(&mut self, connection: usize, end: End) {
        let state = self.connections[connection].end_mut(end);
        if !state.is_open {
            return;
        }
        state.is_open = false;
        match end {
            End::Controller => self.on_controller_end_closed(connection),
            End::Node => self.on_node_end_closed(connection),
        }
    }

    /// Informs the core of a controller that a connection is closed, and schedules opening another one.
    pub(super) fn on_controller_end_closed(&mut self, connection: usize) {
        let lost = &self.connections[connection];
        let (process, node, node_id) = (lost.process, lost.node, lost.node_id);
        let Some(link) = self.link_mut(process, node_id) else {
            return;
        };
        if link.connection != Some(connection) {
            return;
        }
        link.connection = None;
        if std::mem::take(&mut link.is_up) {
            let node = self.nodes[node].name().to_owned();
            let controller = self.identity(process);
            self.record(Observation::LinkClosed { controller, node });
            let input = Input::NodeDisconnected(node_id);
            self.input(process.controller, input);
        }
        self.schedule_redial(process, node_id);
    }

    /// Returns the connections of a node that are open at one end or both.
    pub(super) fn connections_of(&self, node: usize) -> Vec<usize> {
        let connections = self.connections.iter().enumerate();
        connections
            .filter(|(_, connection)| connection.node == node && connection.is_open_at_any_end())
            .map(|(index, _)| index)
            .collect()
    }
}
