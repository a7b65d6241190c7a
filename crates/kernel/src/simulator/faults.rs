//! Faults of the scenario: selecting their targets, and beginning and ending them.

use super::events::SimEvent;
use super::{Simulator, WARM_UP, micros};
use crate::scenario::{Fault, FaultKind};
use peppercove::Micros;
use peppercove_protocol::list::NodeState;
use peppercove_standins::node_model::NodeSpec;

/// Mixed into the seed, so that the draws of targets differ from other draws with the same seed.
const TARGET_SEED_SALT: u64 = 0xfa;

/// Maximum time between the losses of a node and a controller that count as a joint loss, in microseconds.
const JOINT_LOSS_WINDOW: Micros = 1_000_000;

impl Simulator<'_> {
    pub(super) fn on_fault_change(&mut self, index: usize, begins: bool) {
        let scenario = self.scenario;
        let fault = &scenario.faults[index];
        if begins {
            let targets = self.select_targets(fault, index);
            self.fault_targets.insert(index, targets);
            let begins = false;
            let event = SimEvent::FaultChange { index, begins };
            self.schedule_after(micros(fault.duration), event);
        }
        let targets = self.fault_targets.get(&index).cloned();
        let targets = targets.unwrap_or_default();
        self.apply_fault(fault, &targets, begins);
    }

    fn select_targets(&self, fault: &Fault, index: usize) -> Vec<usize> {
        let seed = self.seed ^ TARGET_SEED_SALT ^ (index as u64) << 16;
        let mut rng = fastrand::Rng::with_seed(seed);
        if fault.kind == FaultKind::ControllerKilled {
            let controllers = self.controllers.len();
            fault.target.select_controllers(controllers, &mut rng)
        } else {
            let nodes = self.nodes.iter().map(|node| node.model.spec());
            let nodes: Vec<&NodeSpec> = nodes.collect();
            fault.target.select_nodes(&nodes, &mut rng)
        }
    }

    fn apply_fault(&mut self, fault: &Fault, targets: &[usize], begins: bool) {
        match fault.kind {
            FaultKind::ListDown => self.set_list_outage(begins),
            FaultKind::ListStale => self.change_list_delay(fault.magnitude, begins),
            FaultKind::Burst if begins => self.rate_factor *= fault.magnitude,
            FaultKind::Burst => self.rate_factor /= fault.magnitude,
            // Misbehaving clients exist only in runs on sockets.
            FaultKind::ClientGone
            | FaultKind::ClientFlood
            | FaultKind::ClientHalfLine
            | FaultKind::ClientInvalidCalls => {}
            FaultKind::ControllerKilled => {
                for controller in targets {
                    self.set_controller_killed(*controller, begins);
                }
            }
            FaultKind::Dies | FaultKind::Restarts | FaultKind::Drains => {
                for node in targets {
                    self.change_node_process(fault.kind, *node, begins);
                }
            }
            FaultKind::Partition => {
                for node in targets {
                    self.set_partitioned(*node, begins);
                }
            }
            FaultKind::Disconnect | FaultKind::DisconnectMidFrame if begins => {
                for node in targets {
                    self.close_node_connections(*node);
                }
            }
            FaultKind::Flush if begins => {
                for node in targets {
                    self.nodes[*node].model.flush(fault.magnitude);
                }
            }
            FaultKind::Disconnect | FaultKind::DisconnectMidFrame | FaultKind::Flush => {}
            FaultKind::Hang
            | FaultKind::MessageLoss
            | FaultKind::NeverConfirms
            | FaultKind::ClassError
            | FaultKind::ClassSilence
            | FaultKind::FalseRejections
            | FaultKind::Slowdown
            | FaultKind::LateReports
            | FaultKind::ForeignLoad
            | FaultKind::DuplicateMessages
            | FaultKind::UnknownAttempts => {
                for node in targets {
                    self.change_node_faults(fault, *node, begins);
                }
            }
        }
    }

    fn set_list_outage(&mut self, begins: bool) {
        if begins {
            self.list_outages += 1;
            self.break_subscriptions();
        } else {
            self.list_outages -= 1;
        }
    }

    fn change_list_delay(&mut self, seconds: f64, begins: bool) {
        let change = (seconds * 1e6) as Micros;
        if begins {
            self.node_list.delay += change;
        } else {
            self.node_list.delay -= change;
        }
    }

    fn set_controller_killed(&mut self, controller: usize, begins: bool) {
        if begins {
            self.kill_controller(controller);
        } else {
            self.start_controller(controller);
        }
    }

    fn set_partitioned(&mut self, node: usize, begins: bool) {
        if !begins {
            self.nodes[node].partitions -= 1;
            return;
        }
        self.nodes[node].partitions += 1;
        for connection in self.connections_of(node) {
            self.partition(connection);
        }
    }

    fn change_node_faults(&mut self, fault: &Fault, node: usize, begins: bool) {
        let mut faults = self.nodes[node].model.faults().clone();
        fault.apply_to(&mut faults, begins);
        self.update_node(node, |model, now| model.set_faults(now, faults));
    }

    /// Begins or ends a fault that changes the process of a node.
    fn change_node_process(&mut self, kind: FaultKind, node: usize, begins: bool) {
        match (kind, begins) {
            (FaultKind::Drains, true) => {
                self.change_listed_state(node, NodeState::Draining);
                self.update_node(node, |model, now| model.drain(now));
            }
            (FaultKind::Dies, true) | (FaultKind::Drains, false) => {
                self.kill_node(node);
                self.change_listed_state(node, NodeState::Removed);
            }
            (FaultKind::Restarts, true) => self.kill_node(node),
            (FaultKind::Restarts, false) => self.restart_node(node),
            (_, _) => {}
        }
    }

    fn kill_node(&mut self, node: usize) {
        let now = self.now();
        if self.nodes[node].model.active_tasks() > 0 {
            self.record_hazard("a node dies or restarts with tasks on it");
        }
        let is_nearby_kill = |fault: &Fault| {
            let at = WARM_UP + micros(fault.at);
            fault.kind == FaultKind::ControllerKilled && at.abs_diff(now) < JOINT_LOSS_WINDOW
        };
        if self.scenario.faults.iter().any(is_nearby_kill) {
            self.record_hazard("a node and a controller are lost within a second");
        }
        self.nodes[node].model.die(now);
        self.nodes[node].is_dead = true;
        self.close_node_connections(node);
    }

    fn restart_node(&mut self, node: usize) {
        let now = self.now();
        let simulated = &mut self.nodes[node];
        let incarnation = simulated.model.incarnation() + 1;
        simulated.model.restart(now, incarnation);
        simulated.is_dead = false;
        self.change_listed_state(node, NodeState::Ready);
    }
}
