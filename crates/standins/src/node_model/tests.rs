//! Unit tests of the node model.

use super::*;
use peppercove_protocol::node::{
    AttemptId, FromNode, Idempotency, NodeReason, OfferedTask, ProcessIdentity, Program, TaskExit,
};

fn offered(task: u64, idempotency: Idempotency, cores: f64) -> OfferedTask {
    let program = Program::default();
    OfferedTask {
        task,
        service: 1,
        class: 0,
        tenant: 0,
        cores,
        memory: cores,
        priority: 0,
        idempotency,
        program,
    }
}

fn attempt(number: u16) -> AttemptId {
    AttemptId { request: 1, number }
}

fn connected(spec: NodeSpec, fleet: &FleetState) -> (NodeModel, ProcessIdentity) {
    let mut model = NodeModel::new(spec, fleet.clone(), 1, 1);
    let controller = ProcessIdentity {
        name: "c".into(),
        incarnation: 1,
    };
    model.handshake(0, &controller, 1);
    (model, controller)
}

fn run_until(model: &mut NodeModel, until: Micros) -> Vec<FromNode> {
    let mut out = Vec::new();
    while let Some(at) = model.next_wake().filter(|at| *at <= until) {
        out.extend(model.tick(at).into_iter().map(|sent| sent.message));
    }
    out
}

#[test]
fn offered_task_is_accepted_runs_and_its_end_is_resent_until_acknowledged() {
    let fleet = FleetState::default();
    let (mut model, c) = connected(NodeSpec::small("n"), &fleet);
    model.offer(
        0,
        &c,
        attempt(0),
        1_000_000,
        offered(1, Idempotency::Idempotent, 1.0),
    );
    let sent = run_until(&mut model, 60_000_000);
    let mut kinds: Vec<&str> = sent
        .iter()
        .map(|m| match m {
            FromNode::Accepted { .. } => "accepted",
            FromNode::Running { .. } => "running",
            FromNode::Ended {
                end: TaskExit::Exited { status: 0, .. },
                ..
            } => "exited",
            _ => "other",
        })
        .collect();
    // The end is sent again until it is acknowledged, since the message may be lost.
    assert!(
        kinds.iter().filter(|k| **k == "exited").count() > 3,
        "{kinds:?}"
    );
    kinds.dedup();
    assert_eq!(kinds, ["accepted", "running", "exited"]);
    model.acknowledge_end(&c, attempt(0));
    assert!(
        run_until(&mut model, 600_000_000).is_empty(),
        "the end is acknowledged"
    );
    assert_eq!(fleet.start_log.borrow().starts.len(), 1);
}

#[test]
fn offers_beyond_overcommit_or_expired_are_rejected() {
    let fleet = FleetState::default();
    let (mut model, c) = connected(
        NodeSpec {
            cores_overcommit: 1.0,
            ..NodeSpec::small("n")
        },
        &fleet,
    );
    model.offer(
        0,
        &c,
        attempt(0),
        1_000_000,
        offered(1, Idempotency::Idempotent, 20.0),
    );
    model.offer(
        0,
        &c,
        attempt(1),
        1_000_000,
        offered(2, Idempotency::Idempotent, 20.0),
    );
    model.offer(
        0,
        &c,
        attempt(2),
        1,
        offered(3, Idempotency::Idempotent, 0.5),
    );
    let refused: Vec<(u16, NodeReason)> = run_until(&mut model, 1_000_000)
        .iter()
        .filter_map(|m| match m {
            FromNode::Rejected {
                attempt, reason, ..
            } => Some((attempt.number, *reason)),
            _ => None,
        })
        .collect();
    assert_eq!(
        refused,
        [
            (1, NodeReason::InsufficientCores),
            (2, NodeReason::Ineligible)
        ]
    );
}

#[test]
fn second_copy_of_a_keyed_task_is_rejected_within_its_group() {
    let fleet = FleetState::default();
    let (mut first, c) = connected(NodeSpec::small("a"), &fleet);
    let (mut second, _) = connected(NodeSpec::small("b"), &fleet);
    first.offer(
        0,
        &c,
        attempt(0),
        1_000_000,
        offered(7, Idempotency::Keyed, 1.0),
    );
    run_until(&mut first, 1_000_000);
    second.offer(
        1_000_000,
        &c,
        attempt(1),
        1_000_000,
        offered(7, Idempotency::Keyed, 1.0),
    );
    let sent = run_until(&mut second, 2_000_000);
    assert!(
        matches!(
            sent[..],
            [FromNode::Rejected {
                reason: NodeReason::Ineligible,
                ..
            }]
        ),
        "{sent:?}"
    );
}

#[test]
fn node_in_slow_start_crashes_beyond_its_budget_only() {
    let fleet = FleetState::default();
    let spec = NodeSpec {
        cached_start_time: 400_000,
        slow_start_budget: 10.0,
        admission_queue_limit: 100,
        ..NodeSpec::small("n")
    };
    let (mut model, c) = connected(spec, &fleet);
    model.restart(1_000_000, 2);
    model.handshake(1_000_000, &c, 2);
    for i in 0..10 {
        model.offer(
            1_000_000,
            &c,
            attempt(i),
            1_000_000,
            offered(u64::from(i), Idempotency::Idempotent, 0.1),
        );
    }
    assert!(!model.has_crashed());
    model.offer(
        1_000_001,
        &c,
        attempt(10),
        1_000_000,
        offered(10, Idempotency::Idempotent, 0.1),
    );
    assert!(model.has_crashed());
    assert_eq!(fleet.start_log.borrow().crashes.len(), 1);
}

#[test]
fn task_not_listed_in_handshake_never_starts() {
    let fleet = FleetState::default();
    let (mut model, c) = connected(NodeSpec::small("n"), &fleet);
    model.offer(
        0,
        &c,
        attempt(0),
        10_000_000,
        offered(1, Idempotency::NonIdempotent, 1.0),
    );
    let answer = model.handshake(100, &c, 2);
    assert!(
        matches!(
            answer[..],
            [FromNode::Welcome {
                known_tasks: 0,
                is_complete: true,
                ..
            }]
        ),
        "{answer:?}"
    );
    assert!(
        !model.is_current("c", 1),
        "messages on the older link are ignored"
    );
    assert!(run_until(&mut model, 60_000_000).is_empty());
    assert!(fleet.start_log.borrow().starts.is_empty());
}

#[test]
fn cancelling_an_absent_attempt_reports_its_recorded_outcome() {
    let fleet = FleetState::default();
    let (mut model, c) = connected(NodeSpec::small("n"), &fleet);
    let never = model.cancel_attempt(0, &c, attempt(7));
    assert!(
        matches!(
            &never[..],
            [Outgoing {
                message: FromNode::Rejected { .. },
                ..
            }]
        ),
        "{never:?}"
    );
    model.offer(
        0,
        &c,
        attempt(0),
        10_000_000,
        offered(1, Idempotency::NonIdempotent, 1.0),
    );
    run_until(&mut model, 5_500_000);
    let ended = model.cancel_attempt(5_500_000, &c, attempt(0));
    assert!(
        matches!(
            &ended[..],
            [Outgoing {
                message: FromNode::Ended { .. },
                ..
            }]
        ),
        "{ended:?}"
    );
    // A second copy of a task that ran is rejected, whoever sends it.
    let other = ProcessIdentity {
        name: "d".into(),
        incarnation: 1,
    };
    model.handshake(5_600_000, &other, 9);
    model.offer(
        5_600_000,
        &other,
        attempt(0),
        10_000_000,
        offered(1, Idempotency::NonIdempotent, 1.0),
    );
    let sent = run_until(&mut model, 6_000_000);
    assert!(
        sent.iter().any(|m| matches!(
            m,
            FromNode::Rejected {
                reason: NodeReason::Ineligible,
                ..
            }
        )),
        "{sent:?}"
    );
    assert_eq!(fleet.start_log.borrow().starts.len(), 1);
}

#[test]
fn withheld_message_is_not_sent_to_another_incarnation() {
    let fleet = FleetState::default();
    let (mut model, c) = connected(NodeSpec::small("n"), &fleet);
    model.offer(
        0,
        &c,
        attempt(0),
        10_000_000,
        offered(1, Idempotency::NonIdempotent, 30.0),
    );
    run_until(&mut model, 1_500);
    model.set_faults(
        1_500,
        Faults {
            hangs: true,
            ..Faults::default()
        },
    );
    model.cancel_attempt(1_600, &c, attempt(9));
    model.handshake(
        2_000,
        &ProcessIdentity {
            incarnation: 2,
            ..c
        },
        2,
    );
    let sent = model.set_faults(3_000, Faults::default());
    assert!(
        sent.is_empty(),
        "a rejection of an attempt of the earlier incarnation: {sent:?}"
    );
}

#[test]
fn hanging_node_sends_pending_messages_when_the_fault_ends() {
    let fleet = FleetState::default();
    let (mut model, c) = connected(NodeSpec::small("n"), &fleet);
    model.set_faults(
        0,
        Faults {
            hangs: true,
            ..Faults::default()
        },
    );
    assert!(
        model
            .offer(
                0,
                &c,
                attempt(0),
                500_000,
                offered(1, Idempotency::NonIdempotent, 1.0)
            )
            .is_empty()
    );
    assert!(run_until(&mut model, 900_000).is_empty());
    let mut sent: Vec<FromNode> = model
        .set_faults(1_000_000, Faults::default())
        .into_iter()
        .map(|sent| sent.message)
        .collect();
    sent.extend(run_until(&mut model, 2_000_000));
    assert!(
        matches!(
            sent[..],
            [FromNode::Rejected {
                reason: NodeReason::Ineligible,
                ..
            }]
        ),
        "expired: {sent:?}"
    );
}

#[test]
fn running_task_survives_its_controller_and_is_reported_to_the_next_incarnation() {
    let fleet = FleetState::default();
    let (mut model, c) = connected(NodeSpec::small("n"), &fleet);
    model.offer(
        0,
        &c,
        attempt(0),
        1_000_000,
        offered(1, Idempotency::NonIdempotent, 1.0),
    );
    run_until(&mut model, 1_000_000);
    model.disconnect(1_000_000, "c", 1);
    let next = ProcessIdentity {
        incarnation: 2,
        ..c
    };
    let answer = model.handshake(1_500_000, &next, 2);
    assert!(matches!(
        answer[..],
        [
            FromNode::Welcome { known_tasks: 1, .. },
            FromNode::KnownTask { incarnation: 1, .. }
        ]
    ));
    model.adopt(
        1_500_000,
        &next,
        1,
        attempt(0),
        AttemptId {
            request: 9,
            number: 0,
        },
    );
    let sent = run_until(&mut model, 5_300_000);
    assert!(
        matches!(
            sent[..],
            [FromNode::Ended {
                attempt: AttemptId { request: 9, .. },
                ..
            }]
        ),
        "{sent:?}"
    );
}
