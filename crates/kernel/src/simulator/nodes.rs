//! Nodes: their models, timers and connections.

use super::Simulator;
use super::connections::End;
use super::events::SimEvent;
use peppercove::{Micros, NodeId};
use peppercove_core::nodes::node_id_of;
use peppercove_standins::node_model::{FleetState, NodeModel, NodeSpec, Outgoing};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A node: its model, its connections and its timer.
pub(super) struct SimulatedNode {
    pub(super) model: NodeModel,
    pub(super) address: SocketAddrV4,
    /// Index of the newest connection of each controller, by the name of the controller.
    pub(super) connections: BTreeMap<String, usize>,
    /// Whether the process was killed or has crashed.
    pub(super) is_dead: bool,
    /// Number of active partitions that affect the node. No connection to it can be opened during a partition.
    pub(super) partitions: u32,
    /// When the timer is due, if it is set.
    timer: Option<Micros>,
}

impl SimulatedNode {
    pub(super) fn new(
        index: usize,
        spec: &NodeSpec,
        fleet: &FleetState,
        seed: u64,
    ) -> SimulatedNode {
        let node_seed = seed ^ (index as u64) << 8;
        SimulatedNode {
            model: NodeModel::new(spec.clone(), fleet.clone(), 1, node_seed),
            address: address_of(index),
            connections: BTreeMap::new(),
            is_dead: false,
            partitions: 0,
            timer: None,
        }
    }

    pub(super) fn id(&self) -> NodeId {
        node_id_of(self.address)
    }

    pub(super) fn name(&self) -> &str {
        &self.model.spec().name
    }

    /// Returns whether a connection to the node can be opened.
    pub(super) fn is_reachable(&self) -> bool {
        !self.is_dead && self.partitions == 0
    }
}

/// Returns the address of a node; each one is different.
fn address_of(index: usize) -> SocketAddrV4 {
    let port = (index as u16).wrapping_add(1);
    SocketAddrV4::new([127, 0, 1 + (index >> 16) as u8, 1].into(), port)
}

impl Simulator<'_> {
    /// Applies `update` to the model of a node, sends the messages that it returns, and handles a crash.
    pub(super) fn update_node(
        &mut self,
        node: usize,
        update: impl FnOnce(&mut NodeModel, Micros) -> Vec<Outgoing>,
    ) {
        let now = self.now();
        let messages = update(&mut self.nodes[node].model, now);
        for outgoing in messages {
            let connection = self.nodes[node].connections.get(&outgoing.controller);
            if let Some(connection) = connection.copied() {
                self.send_to_controller(connection, outgoing.message);
            }
        }
        let simulated = &mut self.nodes[node];
        if simulated.model.has_crashed() && !simulated.is_dead {
            simulated.is_dead = true;
            self.close_node_connections(node);
        }
        self.set_node_timer(node);
    }

    pub(super) fn set_node_timer(&mut self, node: usize) {
        let now = self.now();
        let simulated = &mut self.nodes[node];
        if simulated.is_dead {
            return;
        }
        if let Some(wake) = simulated.model.next_wake()
            && simulated.timer.is_none_or(|timer| wake < timer)
        {
            let due = wake.max(now + 1);
            simulated.timer = Some(due);
            self.schedule_at(due, SimEvent::NodeTimer { node, due });
        }
    }

    pub(super) fn on_node_timer(&mut self, node: usize, due: Micros) {
        let simulated = &mut self.nodes[node];
        if simulated.timer != Some(due) {
            return;
        }
        simulated.timer = None;
        if !simulated.is_dead {
            self.update_node(node, |model, now| model.tick(now));
        }
    }

    /// Closes all connections of a node at its end.
    pub(super) fn close_node_connections(&mut self, node: usize) {
        let connections = self.nodes[node].connections.values();
        let connections: Vec<usize> = connections.copied().collect();
        for connection in connections {
            self.close_end(connection, End::Node);
        }
        self.nodes[node].connections.clear();
    }

    /// Informs the model of a node that its end of a connection is closed, if it is the newest one of its controller.
    pub(super) fn on_node_end_closed(&mut self, connection: usize) {
        let closed = &self.connections[connection];
        let node = closed.node;
        let name = self.controllers[closed.process.controller]
            .name()
            .to_owned();
        if self.nodes[node].connections.get(&name) == Some(&connection) {
            self.nodes[node].connections.remove(&name);
            self.update_node(node, |model, now| {
                model.disconnect(now, &name, connection as u64)
            });
        }
    }
}
