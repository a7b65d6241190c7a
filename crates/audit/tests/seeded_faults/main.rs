//! Seeded faults: each check of the audit reports a violation that the test puts into a history, and none for the same
//! events without it.

mod history;

use history::{CLEAN, History, MS, controller, entry, id, settings, task, welcome};
use peppercove_audit::{Micros, Observation, RecordedStart, RuleSettings, check_rules};
use peppercove_protocol::list::{ListEntry, NodeState, Scope};
use peppercove_protocol::node::{FromNode, Idempotency, TaskExit, Usage};
use peppercove_protocol::rpc::PlacementOutcome;

#[test]
fn rule_1_job_is_answered_once_in_time_and_not_offered_afterwards() {
    let mut clean = History::new();
    clean
        .accepted(0, 1, Idempotency::Idempotent)
        .offer(MS, "a", id(1, 0), task(1, 0))
        .runs(9 * MS, "a", id(1, 0));
    clean.answered(10 * MS, 1, PlacementOutcome::Placed);
    assert_eq!(clean.violated_rules(), CLEAN);
    assert_eq!(clean.audit().placed, 1);
    let mut twice = History(clean.0.clone());
    assert_eq!(
        twice
            .answered(11 * MS, 1, PlacementOutcome::Failed)
            .violated_rules(),
        [1]
    );
    let mut after = History(clean.0.clone());
    assert!(
        after
            .offer(12 * MS, "b", id(1, 1), task(1, 0))
            .violated_rules()
            .contains(&1)
    );
    let mut late = History::new();
    assert_eq!(
        late.accepted(0, 1, Idempotency::Idempotent)
            .answered(5_001 * MS, 1, PlacementOutcome::Refused)
            .violated_rules(),
        [1]
    );
    let mut never = History::new();
    assert_eq!(
        never
            .accepted(0, 1, Idempotency::Idempotent)
            .violated_rules(),
        [1]
    );
    let mut killed = History::new();
    killed.accepted(0, 1, Idempotency::Idempotent).observe(
        MS,
        Observation::Killed {
            controller: "c".into(),
        },
    );
    assert_eq!(
        killed.violated_rules(),
        CLEAN,
        "jobs of a killed controller need no answer"
    );
    let mut unknown_job = History::new();
    assert_eq!(
        unknown_job
            .answered(MS, 7, PlacementOutcome::Placed)
            .violated_rules(),
        [1]
    );
    let mut early = History::new();
    assert_eq!(
        early
            .answered(MS, 1, PlacementOutcome::Refused)
            .accepted(MS, 1, Idempotency::Idempotent)
            .violated_rules(),
        CLEAN
    );
}

#[test]
fn rule_2_attempts_do_not_overlap() {
    let mut history = History::new();
    history
        .offer(0, "a", id(1, 0), task(1, 0))
        .offer(MS, "b", id(1, 1), task(1, 0));
    assert_eq!(history.violated_rules(), [2]);
    let mut answered = History::new();
    answered
        .offer(0, "a", id(1, 0), task(1, 0))
        .rejected(MS, "a", id(1, 0))
        .offer(2 * MS, "b", id(1, 1), task(1, 0));
    assert_eq!(answered.violated_rules(), CLEAN);
    let mut cancelled = History::new();
    cancelled
        .offer(0, "a", id(1, 0), task(1, 0))
        .cancel(MS, "a", id(1, 0))
        .offer(2 * MS, "b", id(1, 1), task(1, 0));
    assert_eq!(cancelled.violated_rules(), CLEAN);
    let mut expired = History::new();
    expired
        .offer(0, "a", id(1, 0), task(1, 0))
        .offer(1_000 * MS, "b", id(1, 1), task(1, 0));
    assert_eq!(expired.violated_rules(), CLEAN);
}

#[test]
fn rule_2_non_idempotent_task_is_offered_again_or_refused_only_on_proof() {
    let mut unproved = History::new();
    unproved
        .offer(0, "a", id(1, 0), task(1, 2))
        .cancel(MS, "a", id(1, 0))
        .offer(2 * MS, "b", id(2, 0), task(1, 2));
    assert_eq!(unproved.violated_rules(), [2]);
    let mut proved = History::new();
    proved
        .offer(0, "a", id(1, 0), task(1, 2))
        .cancel(MS, "a", id(1, 0))
        .rejected(2 * MS, "a", id(1, 0));
    assert_eq!(
        proved
            .offer(3 * MS, "b", id(2, 0), task(1, 2))
            .violated_rules(),
        CLEAN
    );
    let mut refusal = History::new();
    refusal
        .accepted(0, 1, Idempotency::NonIdempotent)
        .offer(0, "a", id(1, 0), task(1, 2))
        .cancel(MS, "a", id(1, 0));
    assert_eq!(
        History(refusal.0.clone())
            .answered(2 * MS, 1, PlacementOutcome::Refused)
            .violated_rules(),
        [2]
    );
    assert_eq!(
        refusal
            .answered(2 * MS, 1, PlacementOutcome::Failed)
            .violated_rules(),
        CLEAN,
        "a failure does not guarantee that the task never ran"
    );
    let mut disconnected = History::new();
    disconnected.offer(0, "a", id(1, 0), task(1, 2));
    disconnected.observe(
        MS,
        Observation::LinkClosed {
            controller: controller(),
            node: "a".into(),
        },
    );
    assert_eq!(
        disconnected
            .offer(2 * MS, "b", id(1, 1), task(1, 2))
            .violated_rules(),
        [2]
    );
}

#[test]
fn rule_2_keyed_task_is_offered_again_only_within_its_dedup_scope_and_window() {
    let offered_again = |node: &str, at: Micros| {
        let mut history = History::new();
        history
            .offer(0, "a", id(1, 0), task(1, 1))
            .cancel(MS, "a", id(1, 0))
            .offer(at, node, id(1, 1), task(1, 1));
        history.violated_rules()
    };
    assert_eq!(offered_again("b", 100 * MS), CLEAN);
    assert_eq!(
        offered_again("c", 100 * MS),
        [2],
        "the node is in another rack"
    );
    assert_eq!(offered_again("b", 5_001 * MS), [2], "the window has passed");
}

#[test]
fn rule_2_running_keyed_task_is_offered_again_only_before_the_report_can_arrive() {
    let violations = |node: &str, at: Micros, delay: Micros| {
        let mut history = History::new();
        history
            .offer(0, "a", id(1, 0), task(1, 1))
            .cancel(MS, "a", id(1, 0));
        let running = FromNode::Running {
            attempt: id(1, 0),
            load: None,
        };
        history
            .node_sends(2 * MS, "a", running)
            .offer(at, node, id(1, 1), task(1, 1));
        check_rules(
            &history.0,
            &[],
            &RuleSettings {
                observation_delay: delay,
                ..settings()
            },
        )
        .violations_of_rule(2)
    };
    assert_eq!(violations("b", 3 * MS, 2 * MS), 0);
    assert_eq!(
        violations("b", 3 * MS, 0),
        1,
        "the report has arrived before"
    );
    assert_eq!(
        violations("b", 4 * MS, 2 * MS),
        1,
        "the report has arrived by then"
    );
    assert_eq!(
        violations("c", 3 * MS, 2 * MS),
        1,
        "the node is in another rack"
    );
}

#[test]
fn rule_2_recorded_starts_show_forbidden_second_runs() {
    let start = |at, ended, completed, rack, idempotency| RecordedStart {
        at,
        ended,
        completed,
        node: "a".into(),
        rack,
        task: 1,
        idempotency,
    };
    let recorded_violations =
        |starts: &[RecordedStart]| check_rules(&[], starts, &settings()).violations_of_rule(2);
    assert_eq!(
        recorded_violations(&[
            start(0, None, false, 1, Idempotency::NonIdempotent),
            start(9, None, false, 1, Idempotency::NonIdempotent)
        ]),
        1
    );
    assert_eq!(
        recorded_violations(&[
            start(0, Some(5), true, 1, Idempotency::NonIdempotent),
            start(9, None, false, 1, Idempotency::NonIdempotent)
        ]),
        1
    );
    assert_eq!(
        recorded_violations(&[
            start(0, Some(5), false, 1, Idempotency::NonIdempotent),
            start(9, None, false, 1, Idempotency::NonIdempotent)
        ]),
        0
    );
    assert_eq!(
        recorded_violations(&[
            start(0, None, false, 1, Idempotency::Keyed),
            start(9, None, false, 1, Idempotency::Keyed)
        ]),
        1
    );
    assert_eq!(
        recorded_violations(&[
            start(0, None, false, 1, Idempotency::Keyed),
            start(9, None, false, 2, Idempotency::Keyed)
        ]),
        0
    );
    assert_eq!(
        recorded_violations(&[
            start(0, None, false, 1, Idempotency::Idempotent),
            start(9, None, false, 1, Idempotency::Idempotent)
        ]),
        0
    );
}

#[test]
fn rule_3_no_offer_after_the_grace_period_of_a_drain() {
    let offered_at = |at: Micros| {
        let mut history = History::new();
        let draining = ListEntry {
            state: NodeState::Draining,
            ..entry("a", 1, None)
        };
        history.list(100 * MS, Scope::Delta, vec![draining.clone()]);
        // A repeated notification does not extend the grace period.
        history.list(200 * MS, Scope::Delta, vec![draining]);
        history
            .offer(at, "a", id(1, 0), task(1, 0))
            .violated_rules()
    };
    assert_eq!(offered_at(349 * MS), CLEAN);
    assert_eq!(offered_at(351 * MS), [3]);
    let mut removed = History::new();
    removed
        .list(0, Scope::Full, vec![entry("b", 1, None)])
        .offer(251 * MS, "a", id(1, 0), task(1, 0));
    assert_eq!(
        removed.violated_rules(),
        [3],
        "a node missing from a full list is removed"
    );
    assert_eq!(
        removed.audit().violations[0].description,
        "c offers to a 251000 us after it heard Gone"
    );
}

#[test]
fn rule_4_node_in_slow_start_gets_no_offers_beyond_its_budget() {
    let offers = |count: u64, interval: Micros| {
        let mut history = History::new();
        history.list(
            0,
            Scope::Delta,
            vec![ListEntry {
                incarnation: 2,
                ..entry("a", 1, Some(0))
            }],
        );
        for i in 0..count {
            history
                .offer(i * interval, "a", id(i, 0), task(i, 0))
                .rejected(i * interval + 1, "a", id(i, 0));
        }
        history.violated_rules()
    };
    assert_eq!(offers(3, 10 * MS), CLEAN);
    assert_eq!(offers(4, 10 * MS), [4], "rejected offers count");
    assert_eq!(
        offers(4, 700 * MS),
        CLEAN,
        "spread over more than one window"
    );
}

/// Guards against a budget that is shared by two processes of a node, and against one that does not hold for a process
/// which has greeted the controller before the list shows it.
#[test]
fn rule_4_budget_holds_for_each_process_that_a_controller_is_connected_to() {
    let offers = |listed_age: Option<Micros>, before: u64, after: u64| {
        let mut history = History::new();
        let listed = ListEntry {
            incarnation: 2,
            ..entry("a", 1, listed_age)
        };
        history.list(0, Scope::Delta, vec![listed]);
        for (incarnation, count) in [(2, before), (3, after)] {
            history.node_sends(incarnation * 100 * MS, "a", welcome(incarnation, 0));
            for number in 0..count {
                let (at, id) = (
                    incarnation * 100 * MS + number * MS,
                    id(incarnation, number as u16),
                );
                history
                    .offer(at, "a", id, task(incarnation, 0))
                    .rejected(at + 1, "a", id);
            }
        }
        history.violated_rules()
    };
    assert_eq!(offers(Some(0), 3, 3), CLEAN);
    assert_eq!(offers(Some(0), 4, 3), [4]);
    assert_eq!(offers(Some(0), 3, 4), [4]);
    assert_eq!(
        offers(None, 4, 3),
        CLEAN,
        "the listed process started long ago"
    );
    assert_eq!(
        offers(None, 4, 4),
        [4],
        "the list does not show the restart yet"
    );
}

#[test]
fn rule_5_service_stays_within_its_limit_per_rack() {
    let mut history = History::new();
    history
        .offer(0, "a", id(1, 0), task(1, 1))
        .runs(MS, "a", id(1, 0));
    history
        .offer(2 * MS, "b", id(2, 0), task(2, 1))
        .runs(3 * MS, "b", id(2, 0));
    assert_eq!(
        History(history.0.clone())
            .offer(4 * MS, "c", id(3, 0), task(3, 1))
            .violated_rules(),
        CLEAN
    );
    assert_eq!(
        History(history.0.clone())
            .offer(4 * MS, "a", id(3, 0), task(3, 1))
            .violated_rules(),
        [5]
    );
    let end = TaskExit::Exited {
        status: 0,
        usage: Usage::default(),
    };
    history.node_sends(
        4 * MS,
        "a",
        FromNode::Ended {
            attempt: id(1, 0),
            end,
            load: None,
        },
    );
    assert_eq!(
        history
            .offer(5 * MS, "a", id(3, 0), task(3, 1))
            .violated_rules(),
        CLEAN
    );
}

#[test]
fn rule_2_complete_handshake_proves_that_unlisted_attempts_never_ran() {
    let disconnected = || {
        let mut history = History::new();
        history
            .node_sends(0, "a", welcome(1, 0))
            .offer(MS, "a", id(1, 0), task(1, 2));
        let (controller, node) = (controller(), "a".into());
        history.observe(2 * MS, Observation::LinkClosed { controller, node });
        history
    };
    let offered_again = |history: &mut History| {
        history.offer(9 * MS, "b", id(1, 1), task(1, 2));
        history.violated_rules()
    };
    assert_eq!(
        offered_again(&mut disconnected()),
        [2],
        "the handshake has not taken place"
    );
    let mut unlisted = disconnected();
    unlisted.node_sends(3 * MS, "a", welcome(1, 0));
    assert_eq!(offered_again(&mut unlisted), CLEAN);
    let mut incomplete = disconnected();
    incomplete.node_sends(3 * MS, "a", welcome(1, 1));
    assert_eq!(
        offered_again(&mut incomplete),
        [2],
        "one task has not been listed"
    );
    let listed = FromNode::KnownTask {
        incarnation: 1,
        attempt: id(1, 0),
        task: task(1, 2),
        ended: None,
    };
    incomplete.0.pop();
    incomplete.node_sends(4 * MS, "a", listed);
    assert_eq!(offered_again(&mut incomplete), [2], "the attempt is listed");
}

/// Found by fuzzing: a node restarted twice before an attempt expired that had not run on its earlier incarnation. Such
/// an attempt must not count towards the topology spread limit.
#[test]
fn pending_attempt_to_an_earlier_incarnation_is_not_counted_but_may_have_run() {
    let mut history = History::new();
    history
        .node_sends(0, "a", welcome(1, 0))
        .offer(MS, "a", id(1, 0), task(1, 1));
    history
        .offer(2 * MS, "b", id(2, 0), task(2, 1))
        .runs(3 * MS, "b", id(2, 0));
    assert_eq!(
        History(history.0.clone())
            .offer(4 * MS, "a", id(3, 0), task(3, 1))
            .violated_rules(),
        [5]
    );
    history.node_sends(4 * MS, "a", welcome(2, 0));
    assert_eq!(
        History(history.0.clone())
            .offer(5 * MS, "a", id(3, 0), task(3, 1))
            .violated_rules(),
        CLEAN
    );
    // It may still have run there, so that a non-idempotent task must not be offered again.
    let mut history = History::new();
    history
        .node_sends(0, "a", welcome(1, 0))
        .offer(MS, "a", id(1, 0), task(1, 2));
    history
        .node_sends(4 * MS, "a", welcome(2, 0))
        .offer(5 * MS, "b", id(1, 1), task(1, 2));
    assert_eq!(history.violated_rules(), [2]);
}
