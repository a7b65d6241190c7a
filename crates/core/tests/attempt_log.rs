//! The attempt log: by hand, and by property against nodes whose true state the test knows.

use peppercove::{Micros, NodeId, RequestId, ServiceId, TaskKey};
use peppercove_core::TaskEnd;
use peppercove_core::attempt_log::{
    Admission, AttemptId, AttemptLog, ClientInterest, Completion, DueActions, JournalEntry,
    NodeReport, OrphanPolicy, TaskCopy, TaskSpec,
};
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const TASK: TaskKey = TaskKey(5);
const NODE: NodeId = NodeId(1);
const EXITED: TaskEnd = TaskEnd::Exited {
    status: 0,
    wall: 1,
    cpu: 1,
    memory: 0.0,
};

fn copy(incarnation: u64, node: u64, request: u64) -> TaskCopy {
    let attempt = AttemptId {
        node: NodeId(node),
        request: RequestId(request),
        number: 0,
    };
    TaskCopy {
        incarnation,
        attempt,
    }
}

fn spec(task: u64) -> TaskSpec {
    TaskSpec {
        task: TaskKey(task),
        service: ServiceId(1),
        class: 2,
        tenant: 0,
        cores: 1.0,
        memory: 1.0,
    }
}

fn empty() -> AttemptLog {
    AttemptLog::new(3 * SECOND, 60 * SECOND, 4)
}

/// One copy, sent in incarnation 1 of the controller to node 1 in its incarnation 7, whose job is over.
fn ambiguous() -> (AttemptLog, TaskCopy) {
    let mut log = empty();
    let sent = copy(1, 1, 2);
    log.record_sent(sent, 7, spec(5));
    log.abandon(0, sent, ClientInterest::MayReturn);
    (log, sent)
}

#[test]
fn ambiguous_copy_holds_its_task_however_much_time_passes() {
    let (mut log, sent) = ambiguous();
    for now in [0, SECOND, 3_600 * SECOND, 1_000_000 * SECOND] {
        log.take_due(now, 1);
        assert_eq!(
            log.admit(TASK, true),
            Admission::RetryLater(3 * SECOND),
            "at {now}"
        );
    }
    assert_eq!(log.admit(TaskKey(6), true), Admission::Admit);
    assert_eq!(
        log.admit(TASK, false),
        Admission::Admit,
        "a second effect does no harm"
    );
    log.record_closed(sent);
    assert_eq!(log.admit(TASK, true), Admission::Admit);
    assert_eq!(log.ambiguous_count(), 0);
}

#[test]
fn node_report_proves_only_within_one_incarnation_that_forgot_nothing() {
    for (node_incarnation, is_complete, is_held, admission) in [
        (7, true, false, Admission::Admit),
        (7, true, true, Admission::RetryLater(3 * SECOND)),
        (7, false, false, Admission::Deny),
        (8, true, false, Admission::Deny),
    ] {
        let (mut log, sent) = ambiguous();
        log.reconcile_node(
            0,
            NodeReport {
                node: NodeId(9),
                node_incarnation: 7,
                is_complete: true,
                held: &[],
            },
        );
        assert_eq!(
            log.admit(TASK, true),
            Admission::RetryLater(3 * SECOND),
            "another node proves nothing"
        );
        let held = if is_held { vec![sent] } else { Vec::new() };
        log.reconcile_node(
            0,
            NodeReport {
                node: NODE,
                node_incarnation,
                is_complete,
                held: &held,
            },
        );
        assert_eq!(
            log.admit(TASK, true),
            admission,
            "{node_incarnation} {is_complete} {is_held}"
        );
    }
    // What was reported as running and is not there any more has run.
    let (mut log, sent) = ambiguous();
    log.on_orphan_running(0, sent);
    log.reconcile_node(
        1,
        NodeReport {
            node: NODE,
            node_incarnation: 7,
            is_complete: true,
            held: &[],
        },
    );
    assert_eq!(log.admit(TASK, true), Admission::Deny);
}

#[test]
fn running_orphan_is_adopted_or_stopped() {
    let (mut log, sent) = ambiguous();
    assert_eq!(log.on_orphan_running(SECOND, sent), OrphanPolicy::Keep);
    assert_eq!(log.admit(TASK, true), Admission::Adopt(sent));
    let adopted = copy(1, 1, 9);
    log.rename(sent, adopted);
    assert_eq!(
        (
            log.is_open(sent),
            log.is_open(adopted),
            log.ambiguous_count()
        ),
        (false, true, 0)
    );
    let (mut log, sent) = ambiguous();
    log.on_orphan_running(SECOND, sent);
    assert!(
        log.take_due(4 * SECOND, 1).stop.is_empty(),
        "the client may still come"
    );
    assert_eq!(log.take_due(5 * SECOND, 1).stop, [sent]);
    assert_eq!(
        log.admit(TASK, true),
        Admission::RetryLater(3 * SECOND),
        "being stopped is not stopped"
    );
    log.record_end(6 * SECOND, sent, Completion::MayHaveRun);
    assert_eq!(log.admit(TASK, true), Admission::Deny);
}

#[test]
fn node_is_queried_again_after_growing_waits() {
    let (mut log, sent) = ambiguous();
    let mut queried = Vec::new();
    let mut now = 0;
    while let Some(at) = log.next_deadline().filter(|at| *at < 60 * SECOND) {
        now = at.max(now + 1);
        if !log.take_due(now, 1).query.is_empty() {
            queried.push(now);
        }
    }
    assert!(queried.len() > 5, "{queried:?}");
    assert!(
        queried.windows(3).all(|w| w[2] - w[1] >= w[1] - w[0]),
        "{queried:?}"
    );
    // A copy of an earlier incarnation has an id that the node would not know: it reports by itself when it connects.
    assert_eq!(log.take_due(now + 60 * SECOND, 2), DueActions::default());
    log.record_closed(sent);
    assert_eq!(log.next_deadline(), None);
}

#[test]
fn completed_task_is_remembered_with_its_end_and_then_by_name() {
    let mut log = empty();
    for task in 0..6 {
        log.record_sent(copy(1, 1, task), 7, spec(task));
        log.record_end(
            SECOND * task,
            copy(1, 1, task),
            Completion::Ended(NODE, EXITED),
        );
    }
    assert_eq!(
        log.admit(TaskKey(5), true),
        Admission::AlreadyCompleted(NODE, EXITED)
    );
    assert_eq!(
        log.admit(TaskKey(0), true),
        Admission::Deny,
        "older ones are known by name"
    );
    // A later doubt does not erase what was reported.
    log.record_completion(7 * SECOND, TaskKey(5), Completion::MayHaveRun);
    assert_eq!(
        log.admit(TaskKey(5), true),
        Admission::AlreadyCompleted(NODE, EXITED)
    );
    log.take_due(60 * SECOND, 1);
    assert_eq!(
        log.admit(TaskKey(0), true),
        Admission::Admit,
        "forgotten after its time"
    );
    assert_eq!(log.admit(TaskKey(1), true), Admission::Deny);
}

#[test]
fn removed_node_denies_its_tasks_until_it_is_listed_again() {
    let (mut log, sent) = ambiguous();
    assert_eq!(log.on_node_removed(0, NODE), [sent]);
    assert_eq!(log.admit(TASK, true), Admission::Deny);
    assert_eq!(log.on_node_listed(NODE), [(sent, spec(5))]);
    assert_eq!(log.admit(TASK, true), Admission::RetryLater(3 * SECOND));
    log.on_node_removed(SECOND, NODE);
    log.take_due(61 * SECOND, 1);
    assert!(!log.is_open(sent), "given up, as one that may have run");
    assert_eq!(log.admit(TASK, true), Admission::Deny);
}

#[test]
fn full_log_denies_and_does_not_forget() {
    let mut log = empty();
    for task in 0..4 {
        assert!(!log.is_full());
        log.record_sent(copy(1, 1, task), 7, spec(task));
        log.abandon(0, copy(1, 1, task), ClientInterest::MayReturn);
    }
    assert!(log.is_full());
    assert!((0..4).all(|t| log.admit(TaskKey(t), true) != Admission::Admit));
}

#[test]
fn recovered_log_knows_what_the_journal_and_the_snapshot_hold() {
    let (mut log, sent) = ambiguous();
    log.record_sent(copy(1, 2, 3), 7, spec(6));
    log.record_end(0, copy(1, 2, 3), Completion::Ended(NodeId(2), EXITED));
    log.record_sent(copy(1, 2, 4), 7, spec(8));
    log.record_closed(copy(1, 2, 4));
    for entries in [log.take_journal(), log.snapshot()] {
        let mut next = empty();
        next.recover(0, &entries);
        assert_eq!(next.admit(TASK, true), Admission::RetryLater(3 * SECOND));
        assert_eq!(
            next.admit(TaskKey(6), true),
            Admission::AlreadyCompleted(NodeId(2), EXITED)
        );
        assert_eq!(next.admit(TaskKey(8), true), Admission::Admit);
        assert_eq!(next.open_copies().count(), 1);
        assert!(next.is_open(sent) && next.take_journal().is_empty());
    }
}

/// What really becomes of a copy at its node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Truth {
    InTransit,
    Running,
    Ended { reported: bool },
    Nothing,
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u64),
    Arrive(usize),
    End(usize),
    Report(usize),
    Disconnect(u64),
    Connect(u64),
    RestartNode(u64),
    RestartController(bool),
    Remove(u64),
    List(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..2u64).prop_map(Step::Submit),
        3 => (0..12usize).prop_map(Step::Arrive),
        2 => (0..12usize).prop_map(Step::End),
        2 => (0..12usize).prop_map(Step::Report),
        2 => (0..2u64).prop_map(Step::Disconnect),
        2 => (0..2u64).prop_map(Step::Connect),
        1 => (0..2u64).prop_map(Step::RestartNode),
        2 => any::<bool>().prop_map(Step::RestartController),
        1 => (0..2u64).prop_map(Step::Remove),
        1 => (0..2u64).prop_map(Step::List),
        1 => (0..100u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Whenever a task is admitted, no copy of it has run or can still run; and no copy is sent beside another.
    #[test]
    fn admitted_task_has_no_copy_that_ran_or_can_run(steps in steps()) {
        let (mut log, mut disk) = (empty(), Vec::<JournalEntry>::new());
        let (mut incarnation, mut now) = (1, 0);
        // Copies with their task and what really became of them.
        let mut copies: Vec<(TaskCopy, u64, Truth)> = Vec::new();
        let (mut node_incarnations, mut connected) = ([1u64; 2], [true; 2]);
        for step in steps {
            match step {
                Step::Submit(task) => {
                    let node = (copies.len() % 2) as u64;
                    if log.admit(TaskKey(task), true) == Admission::Admit && connected[node as usize] {
                        let bad = |(_, t, truth): &&(TaskCopy, u64, Truth)| *t == task && *truth != Truth::Nothing;
                        prop_assert!(!copies.iter().any(|c| bad(&c)), "task {} is admitted: {:?}", task, copies);
                        let new = copy(incarnation, node, copies.len() as u64);
                        log.record_sent(new, node_incarnations[node as usize], spec(task));
                        copies.push((new, task, Truth::InTransit));
                        log.abandon(now, new, ClientInterest::MayReturn);
                    }
                }
                Step::Arrive(i) => {
                    if let Some((_, _, truth @ Truth::InTransit)) = copies.get_mut(i) {
                        *truth = Truth::Running;
                    }
                }
                Step::End(i) => {
                    if let Some((_, _, truth @ Truth::Running)) = copies.get_mut(i) {
                        *truth = Truth::Ended { reported: false };
                    }
                }
                Step::Report(i) => match copies.get_mut(i) {
                    Some((c, _, truth)) if connected[c.attempt.node.0 as usize] && c.incarnation == incarnation => match truth {
                        Truth::Running => { log.on_orphan_running(now, *c); }
                        Truth::Ended { reported } => {
                            *reported = true;
                            log.record_end(now, *c, Completion::Ended(c.attempt.node, EXITED));
                        }
                        // It is rejected for ever: its node says so and keeps to it.
                        Truth::InTransit => {
                            *truth = Truth::Nothing;
                            log.record_closed(*c);
                        }
                        Truth::Nothing => {}
                    },
                    _ => {}
                },
                Step::Disconnect(node) => connected[node as usize] = false,
                Step::Connect(node) => {
                    connected[node as usize] = true;
                    let mut held = Vec::new();
                    for (c, _, truth) in copies.iter_mut().filter(|(c, ..)| c.attempt.node.0 == node) {
                        match truth {
                            // The fence: what is in transit on an older connection is not acted on.
                            Truth::InTransit => *truth = Truth::Nothing,
                            Truth::Running => {
                                log.on_orphan_running(now, *c);
                                held.push(*c);
                            }
                            Truth::Ended { reported } => {
                                *reported = true;
                                log.record_end(now, *c, Completion::Ended(c.attempt.node, EXITED));
                            }
                            Truth::Nothing => {}
                        }
                    }
                    let node_incarnation = node_incarnations[node as usize];
                    let report = NodeReport { node: NodeId(node), node_incarnation, is_complete: true, held: &held };
                    log.reconcile_node(now, report);
                }
                Step::RestartNode(node) => {
                    node_incarnations[node as usize] += 1;
                    connected[node as usize] = false;
                    // Its process ended: what ran there may have had its effect, and its record is lost. What is in
                    // transit may still arrive at the new one.
                    for (_, _, truth) in copies.iter_mut().filter(|(c, ..)| c.attempt.node.0 == node) {
                        if *truth == Truth::Running {
                            *truth = Truth::Ended { reported: false };
                        }
                    }
                }
                Step::RestartController(from_snapshot) => {
                    incarnation += 1;
                    disk.extend(log.take_journal());
                    if from_snapshot {
                        disk = log.snapshot();
                    }
                    log = empty();
                    log.recover(now, &disk);
                    connected = [false; 2];
                }
                Step::Remove(node) => { log.on_node_removed(now, NodeId(node)); }
                Step::List(node) => { log.on_node_listed(NodeId(node)); }
                Step::Wait(seconds) => {
                    // Less than the time for which what ran is remembered, all in all.
                    now = (now + seconds * SECOND).min(59 * SECOND);
                    log.take_due(now, incarnation);
                }
            }
        }
    }
}
