//! What goes wrong, and when it is over.

use super::{Happens, World};
use crate::scenario::{Fault, FaultTarget};
use peppercove::Micros;
use peppercove_protocol::list::NodeState;
use peppercove_standins::node_model::{ClassFault, Faults};
use peppercove_standins::node_registry::NodeSnapshot;

impl World<'_> {
    pub(super) fn fault(&mut self, index: usize, begins: bool) {
        let fault = self.script.faults[index].clone();
        if begins {
            let hit = self.hit_by(&fault, index);
            self.hit.insert(index, hit);
            let lasts = fault.lasts.as_micros() as Micros;
            self.after(
                lasts,
                Happens::Fault {
                    index,
                    begins: false,
                },
            );
        }
        let hit = self.hit.get(&index).cloned().unwrap_or_default();
        self.cause(&fault, &hit, begins);
    }

    fn hit_by(&mut self, fault: &Fault, index: usize) -> Vec<usize> {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0xfau64 ^ (index as u64) << 16);
        let of_seats = fault.kind == "controller-killed";
        let count = if of_seats {
            self.seats.len()
        } else {
            self.stations.len()
        };
        let spec = |i: &usize| self.stations[*i].model.spec();
        match &fault.hits {
            FaultTarget::Controller(i) if of_seats => vec![*i],
            FaultTarget::Node(name) if !of_seats => {
                (0..count).filter(|i| spec(i).name == *name).collect()
            }
            FaultTarget::Rack(rack) if !of_seats => {
                (0..count).filter(|i| spec(i).rack == *rack).collect()
            }
            FaultTarget::Share(share) => {
                let mut all: Vec<usize> = (0..count).collect();
                rng.shuffle(&mut all);
                all.truncate(((count as f64 * share).round() as usize).max(1));
                all
            }
            _ => Vec::new(),
        }
    }

    fn list_says(&mut self, node: usize, to: NodeState) {
        let station = &self.stations[node];
        let (address, facts) = (station.address, NodeSnapshot::of(&station.model));
        self.roster.change(self.now, address, to, facts);
    }

    fn dies(&mut self, node: usize) {
        if self.stations[node].model.held() > 0 {
            self.hazard("a node dies or restarts with tasks on it");
        }
        let (now, begin) = (self.now, 1_000_000);
        let near = |f: &Fault| {
            f.kind == "controller-killed"
                && (begin + f.at.as_micros() as Micros).abs_diff(now) < begin
        };
        if self.script.faults.iter().any(near) {
            self.hazard("a node and a controller are lost within a second");
        }
        self.stations[node].model.die(now);
        self.stations[node].dead = true;
        self.links_die(node);
    }

    fn cause(&mut self, fault: &Fault, hit: &[usize], begins: bool) {
        let size = fault.size;
        match (fault.kind.as_str(), begins) {
            ("list-down", true) => {
                self.list_down += 1;
                self.list_breaks();
            }
            ("list-down", false) => self.list_down -= 1,
            ("list-stale", true) => self.roster.delay += (size * 1e6) as Micros,
            ("list-stale", false) => self.roster.delay -= (size * 1e6) as Micros,
            ("burst", true) => self.rate *= size,
            ("burst", false) => self.rate /= size,
            ("controller-killed", true) => hit.iter().for_each(|seat| self.kill(*seat)),
            ("controller-killed", false) => hit.iter().for_each(|seat| self.start(*seat)),
            ("rack-cut", true) => {
                for &node in hit {
                    self.stations[node].cut += 1;
                    for wire in self.wires_of(node) {
                        self.cut_wire(wire);
                    }
                }
            }
            ("rack-cut", false) => hit.iter().for_each(|node| self.stations[*node].cut -= 1),
            ("cut" | "cut-midframe", true) => hit.iter().for_each(|node| self.links_die(*node)),
            ("flush", true) => hit
                .iter()
                .for_each(|node| self.stations[*node].model.flush(size)),
            ("dies", true) => {
                for &node in hit {
                    self.dies(node);
                    self.list_says(node, NodeState::Removed);
                }
            }
            ("restarts", true) => hit.iter().for_each(|node| self.dies(*node)),
            ("restarts", false) => {
                for &node in hit {
                    let now = self.now;
                    let station = &mut self.stations[node];
                    let life = station.model.incarnation() + 1;
                    station.model.restart(now, life);
                    station.dead = false;
                    self.list_says(node, NodeState::Ready);
                }
            }
            ("drains", true) => {
                for &node in hit {
                    self.list_says(node, NodeState::Draining);
                    self.node_acts(node, |model, now| model.drain(now));
                }
            }
            ("drains", false) => {
                for &node in hit {
                    self.dies(node);
                    self.list_says(node, NodeState::Removed);
                }
            }
            ("cut" | "cut-midframe" | "flush" | "dies", false) => {}
            // Clients at their worst are a matter of sockets.
            (kind, _) if kind.starts_with("client-") => {}
            (kind, on) => {
                for &node in hit {
                    let mut faults = self.stations[node].model.faults().clone();
                    set(&mut faults, kind, fault, on);
                    self.node_acts(node, |model, now| model.set_faults(now, faults));
                }
            }
        }
    }
}

/// Sets or ends what is wrong with a node.
fn set(faults: &mut Faults, kind: &str, fault: &Fault, on: bool) {
    let size = if on { fault.size } else { 0.0 };
    match kind {
        "hang" => faults.hangs = on,
        "answers-lost" => faults.message_loss = size,
        "never-confirms" => faults.never_confirms = on,
        "class-error" if on => drop(
            faults
                .failing_classes
                .insert(fault.class, ClassFault::Error),
        ),
        "class-silence" if on => drop(
            faults
                .failing_classes
                .insert(fault.class, ClassFault::Silence),
        ),
        "class-error" | "class-silence" => drop(faults.failing_classes.remove(&fault.class)),
        "false-refusals" => faults.false_rejections = size,
        "ageing" => faults.pace_loss_per_second = size,
        "reports-late" => faults.extra_report_delay = (size * 1e6) as Micros,
        "neighbour" => faults.foreign_load = size,
        "repeats" => faults.duplicates_messages = on,
        "lies" => faults.reports_unknown_attempts = on,
        other => unreachable!("the table of a day has no fault '{other}'"),
    }
}
