//! Faults of a scenario. Each runs in its own task, which starts and ends it.

use super::fleet::Fleet;
use crate::clients::misbehaving;
use peppercove_kernel::scenario::{Fault, FaultKind};
use peppercove_protocol::list::NodeState;
use peppercove_standins::node::FakeNode;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Starts a fault at its time, and ends it after its duration.
pub(super) async fn run(fleet: Rc<Fleet>, fault: Fault, begin: Instant, mut rng: fastrand::Rng) {
    sleep_until(begin + fault.at).await;
    let end = begin + fault.at + fault.duration;
    let targets = fleet.select_nodes(&fault.target, &mut rng);
    let nodes = targets.iter().map(|index| fleet.nodes[*index].clone());
    let nodes: Vec<FakeNode> = nodes.collect();
    match fault.kind {
        FaultKind::ListDown | FaultKind::ListStale => run_list_fault(&fleet, &fault, end).await,
        FaultKind::Burst => burst(&fleet, fault.magnitude, end).await,
        FaultKind::ControllerKilled => kill_controllers(&fleet, &fault, end, &mut rng).await,
        FaultKind::ClientGone
        | FaultKind::ClientFlood
        | FaultKind::ClientHalfLine
        | FaultKind::ClientInvalidCalls => run_misbehaving_clients(&fleet, &fault, end).await,
        FaultKind::Partition => partition(&fleet, &targets, end).await,
        FaultKind::Disconnect => nodes.iter().for_each(FakeNode::disconnect),
        FaultKind::DisconnectMidFrame => nodes.iter().for_each(FakeNode::disconnect_mid_frame),
        FaultKind::Flush => nodes.iter().for_each(|node| node.flush(fault.magnitude)),
        FaultKind::Dies => kill_nodes(&fleet, &nodes),
        FaultKind::Restarts => restart_nodes(&fleet, &nodes, end).await,
        FaultKind::Drains => drain_nodes(&fleet, &nodes, end).await,
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
            change_node_faults(&nodes, &fault, true);
            sleep_until(end).await;
            change_node_faults(&nodes, &fault, false);
        }
    }
}

async fn run_list_fault(fleet: &Fleet, fault: &Fault, end: Instant) {
    if fault.kind == FaultKind::ListDown {
        fleet.list.change_faults(|faults| faults.down = true);
        sleep_until(end).await;
        fleet.list.change_faults(|faults| faults.down = false);
    } else {
        let extra_delay = (fault.magnitude * 1e6) as u64;
        fleet
            .list
            .change_faults(|faults| faults.delay += extra_delay);
        sleep_until(end).await;
        fleet
            .list
            .change_faults(|faults| faults.delay -= extra_delay);
    }
}

async fn burst(fleet: &Fleet, factor: f64, end: Instant) {
    fleet.rate_factor.set(fleet.rate_factor.get() * factor);
    sleep_until(end).await;
    fleet.rate_factor.set(fleet.rate_factor.get() / factor);
}

async fn run_misbehaving_clients(fleet: &Fleet, fault: &Fault, end: Instant) {
    for address in fleet.client_addresses() {
        spawn_local(misbehaving::run(
            address,
            fault.kind,
            fleet.clock,
            fault.duration,
        ));
    }
    sleep_until(end).await;
}

async fn partition(fleet: &Fleet, nodes: &[usize], end: Instant) {
    let set_blocked = |cut: bool| {
        for node in nodes {
            fleet.node_proxies[*node].set_blocked(cut);
        }
    };
    set_blocked(true);
    sleep_until(end).await;
    set_blocked(false);
}

/// Kills the nodes for the rest of the run. The node list publishes their removal after its delay.
fn kill_nodes(fleet: &Fleet, nodes: &[FakeNode]) {
    nodes.iter().for_each(FakeNode::kill);
    for node in nodes {
        fleet.list.change(node.name(), NodeState::Removed);
    }
}

async fn restart_nodes(fleet: &Fleet, nodes: &[FakeNode], end: Instant) {
    nodes.iter().for_each(FakeNode::kill);
    sleep_until(end).await;
    for node in nodes {
        node.restart();
        fleet.list.change(node.name(), NodeState::Ready);
    }
}

async fn drain_nodes(fleet: &Fleet, nodes: &[FakeNode], end: Instant) {
    for node in nodes {
        fleet.list.change(node.name(), NodeState::Draining);
        node.drain();
    }
    sleep_until(end).await;
    for node in nodes {
        node.kill();
        fleet.list.change(node.name(), NodeState::Removed);
    }
}

fn change_node_faults(nodes: &[FakeNode], fault: &Fault, active: bool) {
    for node in nodes {
        node.change_faults(|faults| fault.apply_to(faults, active));
    }
}

async fn kill_controllers(fleet: &Fleet, fault: &Fault, end: Instant, rng: &mut fastrand::Rng) {
    let targets = fault
        .target
        .select_controllers(fleet.controllers.len(), rng);
    for index in &targets {
        fleet.controllers[*index].kill(&fleet.capture_log);
    }
    sleep_until(end).await;
    for index in targets {
        let started = fleet.controllers[index].start(&fleet.capture_log).await;
        if let Err(error) = started {
            tracing::error!(%error, "cannot restart a killed controller");
        }
    }
}
