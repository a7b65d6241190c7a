//! Links between controllers and nodes: frames in order within one link, lost at its end from some moment on, and two
//! ends that learn of it at different times.

use super::{Happens, Station, World};
use peppercove::{Micros, NodeId};
use peppercove_audit::Observation;
use peppercove_core::{Input, Output};
use peppercove_exchange::{
    Backoff, DecodedMessage, Handshake, HandshakeProgress, decode_message, encode_output,
};
use peppercove_protocol::node::{FromNode, ToNode};
use peppercove_standins::node_model::{NodeModel, Outgoing};
use std::net::SocketAddrV4;

/// One link, from its dialling on.
pub(super) struct Wire {
    seat: usize,
    life: u64,
    node: usize,
    machine: NodeId,
    /// Life of the node's process that was dialled.
    node_life: u64,
    /// Which ends still hold it: controller, node.
    holds: [bool; 2],
    /// Frames that would arrive later than this are lost: at the controller, at the node.
    lost_from: [Micros; 2],
    /// The last frame under way arrives then: at the controller, at the node.
    last: [Micros; 2],
    greeting: Option<Handshake>,
    replies: Vec<ToNode>,
}

/// What a controller keeps of a node that it should be linked to.
pub(super) struct Link {
    address: SocketAddrV4,
    name: String,
    retry: Backoff,
    wire: Option<usize>,
    /// The core knows that it stands.
    up: bool,
    tries: u64,
}

impl Link {
    pub(super) fn wire(&self) -> Option<usize> {
        self.wire
    }
}

impl World<'_> {
    pub(super) fn connect(
        &mut self,
        seat: usize,
        life: u64,
        machine: NodeId,
        address: SocketAddrV4,
        name: String,
    ) {
        self.disconnect(seat, machine);
        let Some(process) = self.process(seat, life) else {
            return;
        };
        let retry = Backoff::new(Default::default(), Default::default());
        let link = Link {
            address,
            name,
            retry,
            wire: None,
            up: false,
            tries: 0,
        };
        process.links.insert(machine, link);
        let listen = &self.seats[seat].config.network;
        let retry = Backoff::new(listen.retry_least, listen.retry_most);
        if let Some(link) = self
            .process(seat, life)
            .and_then(|p| p.links.get_mut(&machine))
        {
            link.retry = retry;
        }
        self.after(
            10,
            Happens::Dial {
                seat,
                life,
                machine,
                try_: 0,
            },
        );
    }

    pub(super) fn disconnect(&mut self, seat: usize, machine: NodeId) {
        let link = self.seats[seat]
            .process
            .as_mut()
            .and_then(|p| p.links.remove(&machine));
        if let Some(wire) = link.and_then(|l| l.wire) {
            self.end_dies(wire, false);
        }
    }

    pub(super) fn dial(&mut self, seat: usize, life: u64, machine: NodeId, try_: u64) {
        let Some(process) = self.process(seat, life) else {
            return;
        };
        let Some(link) = process
            .links
            .get(&machine)
            .filter(|l| l.tries == try_ && l.wire.is_none())
        else {
            return;
        };
        let (address, name) = (link.address, link.name.clone());
        let found = self.by_id.get(&machine).copied();
        let reached = found.filter(|n| !self.stations[*n].dead && self.stations[*n].cut == 0);
        let Some(node) = reached.filter(|n| self.stations[*n].address == address) else {
            return self.dial_again(seat, life, machine);
        };
        let config = &self.seats[seat].config;
        let greeting = Handshake::new(machine, &name, config.limits.jobs);
        let hello = Handshake::hello(config, life);
        let late = config.network.connect_timeout.as_micros() as Micros;
        let wire = self.wires.len();
        let node_life = self.stations[node].model.incarnation();
        self.wires.push(Wire {
            seat,
            life,
            node,
            machine,
            node_life,
            holds: [true, true],
            lost_from: [Micros::MAX; 2],
            last: [0; 2],
            greeting: Some(greeting),
            replies: Vec::new(),
        });
        if let Some(link) = self
            .process(seat, life)
            .and_then(|p| p.links.get_mut(&machine))
        {
            link.wire = Some(wire);
        }
        // Connecting takes a way there and back before the first frame.
        self.wires[wire].last[1] = self.now + self.rng.u64(80..500);
        self.send_to_node(wire, hello);
        self.after(late, Happens::GreetLate { wire });
    }

    fn dial_again(&mut self, seat: usize, life: u64, machine: NodeId) {
        let scatter = self.rng.f64();
        let Some(link) = self
            .process(seat, life)
            .and_then(|p| p.links.get_mut(&machine))
        else {
            return;
        };
        link.tries += 1;
        let (wait, try_) = (
            link.retry.next_delay(scatter).as_micros() as Micros,
            link.tries,
        );
        self.after(
            wait.max(100),
            Happens::Dial {
                seat,
                life,
                machine,
                try_,
            },
        );
    }

    pub(super) fn greet_late(&mut self, wire: usize) {
        if self.wires[wire].greeting.is_some() && self.wires[wire].holds[0] {
            self.end_dies(wire, false);
            self.lost_at_controller(wire);
        }
    }

    // ---- Frames ----

    fn passes(&mut self, wire: usize, to_node: bool) -> Option<Micros> {
        let latency = self.latency();
        let (w, way) = (&mut self.wires[wire], usize::from(to_node));
        let at = (self.now + latency).max(w.last[way] + 1);
        w.last[way] = at;
        (at < w.lost_from[way]).then_some(at)
    }

    fn send_to_node(&mut self, wire: usize, message: ToNode) {
        // Written down as it is sent: the rules are judged at each send.
        let w = &self.wires[wire];
        let (controller, node) = (self.party(w.seat, w.life), w.node);
        if !matches!(message, ToNode::Hello { .. }) {
            let node = self.stations[node].model.spec().name.clone();
            self.see(Observation::ToNode {
                controller,
                node,
                message: message.clone(),
            });
        }
        match self.passes(wire, true) {
            Some(at) => self.at(
                at,
                Happens::ToNode {
                    wire,
                    message: Box::new(message),
                },
            ),
            None => self.hazard("frame to a node lost at a cut"),
        }
    }

    fn send_from_node(&mut self, wire: usize, message: FromNode) {
        match self.passes(wire, false) {
            Some(at) => self.at(
                at,
                Happens::FromNode {
                    wire,
                    message: Box::new(message),
                },
            ),
            None => self.hazard("frame of a node lost at a cut"),
        }
    }

    /// The frame of an output goes out; false where no link stands.
    pub(super) fn send_output(&mut self, seat: usize, output: &Output) -> bool {
        let s = &self.seats[seat];
        let Some(process) = &s.process else {
            return false;
        };
        let made = encode_output(&s.config, self.now, output, |job| {
            process.core.jobs().get(job)
        });
        let Some((machine, message)) = made else {
            return false;
        };
        self.send(seat, machine, message)
    }

    fn send(&mut self, seat: usize, machine: NodeId, message: ToNode) -> bool {
        let link = self.seats[seat]
            .process
            .as_ref()
            .and_then(|p| p.links.get(&machine));
        let Some(wire) = link.filter(|l| l.up).and_then(|l| l.wire) else {
            return false;
        };
        self.send_to_node(wire, message);
        true
    }

    pub(super) fn at_node(&mut self, wire: usize, message: ToNode) {
        let w = &self.wires[wire];
        let (node, seat, life) = (w.node, w.seat, w.life);
        if !w.holds[1] || self.now >= w.lost_from[1] {
            return self.hazard("frame to a node lost at a cut");
        }
        // A process that has died since it was dialled answers nothing, and its successor knows nothing of the link. A
        // dead node that still greeted, with nothing on it, made copies look as if they had never run.
        let station = &self.stations[node];
        if station.dead || station.model.incarnation() != self.wires[wire].node_life {
            return self.end_dies(wire, true);
        }
        if self.process(seat, life).is_none() && matches!(message, ToNode::Offer { .. }) {
            self.hazard("a controller dies between an offer and its arrival");
        }
        let controller = self.party(seat, life);
        let newest = self.seats[seat].process.as_ref().map(|p| p.life);
        if newest.is_some_and(|newest| newest != life) && matches!(message, ToNode::Offer { .. }) {
            self.hazard("offer of a killed life arrives after the next has started");
        }
        let current = self.stations[node].links.get(&controller.name) == Some(&wire);
        if let ToNode::Hello { .. } = message {
            let now = self.now;
            let said = self.stations[node]
                .model
                .handshake(now, &controller, wire as u64);
            let old = self.stations[node]
                .links
                .insert(controller.name.clone(), wire);
            for message in said {
                self.send_from_node(wire, message);
            }
            if let Some(old) = old.filter(|o| *o != wire) {
                self.hazard("a node is greeted while it holds an older link");
                // It lets go of the older one a little later.
                self.end_dies(old, true);
            }
            return self.arm_node(node);
        }
        if !current {
            self.hazard("frame on an older link after a newer has greeted");
        }
        if !self.stations[node]
            .model
            .is_current(&controller.name, wire as u64)
        {
            return;
        }
        self.node_acts(node, |model, now| {
            model.on_message(now, &controller, message)
        });
    }

    pub(super) fn at_controller(&mut self, wire: usize, message: FromNode) {
        let w = &self.wires[wire];
        let (seat, life, node, machine) = (w.seat, w.life, w.node, w.machine);
        if !w.holds[0] || self.now >= w.lost_from[0] || self.process(seat, life).is_none() {
            if self.process(seat, life).is_none() && matches!(message, FromNode::Running { .. }) {
                self.hazard("a controller dies between a start and the word of it");
            }
            return self.hazard("frame of a node lost at a cut");
        }
        if let FromNode::Welcome { node: told, .. } = &message
            && told.incarnation > 1
        {
            self.hazard("a node is reached again under another life");
        }
        let name = self.stations[node].model.spec().name.clone();
        let controller = self.party(seat, life);
        self.see(Observation::FromNode {
            controller,
            node: name,
            message: message.clone(),
        });
        let Some(mut greeting) = self.wires[wire].greeting.take() else {
            return self.take(seat, machine, decode_message(machine, message));
        };
        let heard = greeting.on_message(message);
        let (meanwhile, up) = match heard {
            Ok(HandshakeProgress::Pending(meanwhile)) => (meanwhile, None),
            Ok(HandshakeProgress::Complete(meanwhile, up)) => (meanwhile, Some(up)),
            Err(_) => {
                self.end_dies(wire, false);
                return self.lost_at_controller(wire);
            }
        };
        self.wires[wire].greeting = Some(greeting);
        if let Some(DecodedMessage { input, reply }) = meanwhile {
            if let Some(input) = input {
                self.input(seat, input);
            }
            self.wires[wire].replies.extend(reply);
        }
        let Some(up) = up else { return };
        self.wires[wire].greeting = None;
        let replies = std::mem::take(&mut self.wires[wire].replies);
        if let Some(link) = self
            .process(seat, life)
            .and_then(|p| p.links.get_mut(&machine))
        {
            link.up = true;
            link.retry.reset();
        }
        for reply in replies {
            self.send(seat, machine, reply);
        }
        self.input(seat, up);
    }

    fn take(&mut self, seat: usize, machine: NodeId, message: DecodedMessage) {
        if let Some(input) = message.input {
            self.input(seat, input);
        }
        if let Some(reply) = message.reply {
            self.send(seat, machine, reply);
        }
    }

    // ---- Ends ----

    /// One end lets go of a link: what it has sent may still arrive up to some moment, and the other end learns of it
    /// after a while.
    pub(super) fn end_dies(&mut self, wire: usize, at_node: bool) {
        let half = self.rng.u64(0..400);
        let learns = if self.rng.u32(0..10) == 0 {
            self.rng.u64(5_000..300_000)
        } else {
            self.rng.u64(100..3_000)
        };
        let now = self.now;
        let w = &mut self.wires[wire];
        let (here, there) = (usize::from(at_node), usize::from(!at_node));
        if !w.holds[here] {
            return;
        }
        w.holds[here] = false;
        w.lost_from[here] = w.lost_from[here].min(now);
        w.lost_from[there] = w.lost_from[there].min(now + half);
        if at_node {
            self.parts(wire);
        }
        self.after(
            learns,
            Happens::Broken {
                wire,
                at_node: !at_node,
            },
        );
    }

    /// The way between them is cut: each end learns of it for itself, and both go on sending until then.
    pub(super) fn cut_wire(&mut self, wire: usize) {
        for way in 0..2 {
            let half = self.rng.u64(0..400);
            let learns = if self.rng.u32(0..4) == 0 {
                self.rng.u64(5_000..200_000)
            } else {
                self.rng.u64(100..2_000)
            };
            let now = self.now;
            let w = &mut self.wires[wire];
            w.lost_from[way] = w.lost_from[way].min(now + half);
            self.after(
                half + learns,
                Happens::Broken {
                    wire,
                    at_node: way == 1,
                },
            );
        }
    }

    pub(super) fn broken(&mut self, wire: usize, at_node: bool) {
        let here = usize::from(at_node);
        if !self.wires[wire].holds[here] {
            return;
        }
        self.wires[wire].holds[here] = false;
        if at_node {
            self.parts(wire);
        } else {
            self.lost_at_controller(wire);
        }
    }

    fn lost_at_controller(&mut self, wire: usize) {
        let w = &self.wires[wire];
        let (seat, life, node, machine) = (w.seat, w.life, w.node, w.machine);
        let Some(link) = self
            .process(seat, life)
            .and_then(|p| p.links.get_mut(&machine))
        else {
            return;
        };
        if link.wire != Some(wire) {
            return;
        }
        let was_up = std::mem::take(&mut link.up);
        link.wire = None;
        if was_up {
            let node = self.stations[node].model.spec().name.clone();
            let controller = self.party(seat, life);
            self.see(Observation::LinkClosed { controller, node });
            self.input(seat, Input::NodeDisconnected(machine));
        }
        self.dial_again(seat, life, machine);
    }

    /// The node's end of a link is over.
    fn parts(&mut self, wire: usize) {
        let w = &self.wires[wire];
        let node = w.node;
        let name = self.seats[w.seat].config.name.clone();
        if self.stations[node].links.get(&name) == Some(&wire) {
            self.stations[node].links.remove(&name);
            self.node_acts(node, |model, now| model.disconnect(now, &name, wire as u64));
        }
    }

    // ---- Nodes ----

    /// Lets a node act, and passes on what it says.
    pub(super) fn node_acts(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut NodeModel, Micros) -> Vec<Outgoing>,
    ) {
        let now = self.now;
        let station: &mut Station = &mut self.stations[node];
        let said = act(&mut station.model, now);
        for Outgoing {
            controller,
            message,
        } in said
        {
            if let Some(wire) = self.stations[node].links.get(&controller).copied() {
                self.send_from_node(wire, message);
            }
        }
        let station = &mut self.stations[node];
        if station.model.has_crashed() && !station.dead {
            station.dead = true;
            self.links_die(node);
        }
        self.arm_node(node);
    }

    pub(super) fn arm_node(&mut self, node: usize) {
        let now = self.now;
        let station = &mut self.stations[node];
        if station.dead {
            return;
        }
        if let Some(at) = station.model.next_wake()
            && station.armed.is_none_or(|armed| at < armed)
        {
            let due = at.max(now + 1);
            station.armed = Some(due);
            self.at(due, Happens::NodeWake { node, due });
        }
    }

    /// The node lets go of all its links.
    pub(super) fn links_die(&mut self, node: usize) {
        let wires: Vec<usize> = self.stations[node].links.values().copied().collect();
        for wire in wires {
            self.end_dies(wire, true);
        }
        self.stations[node].links.clear();
    }

    /// Every link of a node, held by either end.
    pub(super) fn wires_of(&self, node: usize) -> Vec<usize> {
        let held = |w: &Wire| w.node == node && w.holds != [false, false];
        self.wires
            .iter()
            .enumerate()
            .filter(|(_, w)| held(w))
            .map(|(i, _)| i)
            .collect()
    }
}
