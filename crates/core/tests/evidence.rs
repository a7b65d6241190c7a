//! What is known of copies: by hand, and by property against nodes whose truth the test knows.

use peppercove::{Micros, NodeId, RequestId, ServiceId, TaskKey};
use peppercove_core::TaskEnd;
use peppercove_core::attempt_log::{
    AttemptId, Completion, Due, Evidence, JournalEntry, Of, Stray, TaskCopy, Verdict,
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

fn copy(life: u64, node: u64, request: u64) -> TaskCopy {
    TaskCopy {
        incarnation: life,
        attempt: AttemptId {
            node: NodeId(node),
            request: RequestId(request),
            number: 0,
        },
    }
}

fn of(task: u64) -> Of {
    Of {
        task: TaskKey(task),
        service: ServiceId(1),
        class: 2,
        tenant: 0,
        cores: 1.0,
        memory: 1.0,
    }
}

fn empty() -> Evidence {
    Evidence::new(3 * SECOND, 60 * SECOND, 4)
}

/// One copy, sent in life 1 of the controller to node 1 in its life 7, whose job is over.
fn doubtful() -> (Evidence, TaskCopy) {
    let mut evidence = empty();
    let sent = copy(1, 1, 2);
    evidence.sent(sent, 7, of(5));
    evidence.left(0, sent, true);
    (evidence, sent)
}

#[test]
fn a_copy_of_unknown_fate_holds_its_task_whatever_time_passes() {
    let (mut evidence, sent) = doubtful();
    for now in [0, SECOND, 3_600 * SECOND, 1_000_000 * SECOND] {
        evidence.due(now, 1);
        assert_eq!(
            evidence.ask(TASK, true),
            Verdict::Later(3 * SECOND),
            "at {now}"
        );
    }
    assert_eq!(evidence.ask(TaskKey(6), true), Verdict::Free);
    assert_eq!(
        evidence.ask(TASK, false),
        Verdict::Free,
        "a second effect does no harm"
    );
    evidence.closed(sent);
    assert_eq!(evidence.ask(TASK, true), Verdict::Free);
    assert_eq!(evidence.doubtful(), 0);
}

#[test]
fn a_greeting_proves_only_within_one_life_of_a_node_that_forgot_nothing() {
    for (life, whole, held, verdict) in [
        (7, true, false, Verdict::Free),
        (7, true, true, Verdict::Later(3 * SECOND)),
        (7, false, false, Verdict::Never),
        (8, true, false, Verdict::Never),
    ] {
        let (mut evidence, sent) = doubtful();
        evidence.greeted(0, NodeId(9), 7, true, &[]);
        assert_eq!(
            evidence.ask(TASK, true),
            Verdict::Later(3 * SECOND),
            "another node proves nothing"
        );
        let named = if held { vec![sent] } else { Vec::new() };
        evidence.greeted(0, NODE, life, whole, &named);
        assert_eq!(
            evidence.ask(TASK, true),
            verdict,
            "life {life}, whole {whole}, held {held}"
        );
    }
    // What was heard to run and is not there any more has run.
    let (mut evidence, sent) = doubtful();
    evidence.runs(0, sent);
    evidence.greeted(1, NODE, 7, true, &[]);
    assert_eq!(evidence.ask(TASK, true), Verdict::Never);
}

#[test]
fn a_copy_that_runs_is_taken_over_or_stopped() {
    let (mut evidence, sent) = doubtful();
    assert_eq!(evidence.runs(SECOND, sent), Stray::Kept);
    assert_eq!(evidence.ask(TASK, true), Verdict::TakeOver(sent));
    let named = copy(1, 1, 9);
    evidence.renamed(sent, named);
    assert_eq!(
        (
            evidence.is_open(sent),
            evidence.is_open(named),
            evidence.doubtful()
        ),
        (false, true, 0)
    );
    let (mut evidence, sent) = doubtful();
    evidence.runs(SECOND, sent);
    assert!(
        evidence.due(4 * SECOND, 1).stop.is_empty(),
        "the owner may still come"
    );
    assert_eq!(evidence.due(5 * SECOND, 1).stop, [sent]);
    assert_eq!(
        evidence.ask(TASK, true),
        Verdict::Later(3 * SECOND),
        "being stopped is not stopped"
    );
    evidence.over(6 * SECOND, sent, Completion::MayHaveRun);
    assert_eq!(evidence.ask(TASK, true), Verdict::Never);
}

#[test]
fn its_node_is_asked_again_after_growing_waits() {
    let (mut evidence, sent) = doubtful();
    let mut asked = Vec::new();
    let mut now = 0;
    while let Some(at) = evidence.next().filter(|at| *at < 60 * SECOND) {
        now = at.max(now + 1);
        if !evidence.due(now, 1).recall.is_empty() {
            asked.push(now);
        }
    }
    assert!(asked.len() > 5, "{asked:?}");
    assert!(
        asked.windows(3).all(|w| w[2] - w[1] >= w[1] - w[0]),
        "{asked:?}"
    );
    // A copy of an earlier life goes by numbers that the node would not know: it tells by itself when greeted.
    assert_eq!(evidence.due(now + 60 * SECOND, 2), Due::default());
    evidence.closed(sent);
    assert_eq!(evidence.next(), None);
}

#[test]
fn a_task_that_ran_is_answered_with_its_end_and_then_by_name() {
    let mut evidence = empty();
    for task in 0..6 {
        evidence.sent(copy(1, 1, task), 7, of(task));
        evidence.over(
            SECOND * task,
            copy(1, 1, task),
            Completion::Ended(NODE, EXITED),
        );
    }
    assert_eq!(evidence.ask(TaskKey(5), true), Verdict::Ran(NODE, EXITED));
    assert_eq!(
        evidence.ask(TaskKey(0), true),
        Verdict::Never,
        "older ones are known by name"
    );
    // A later doubt does not erase what was told.
    evidence.ran(7 * SECOND, TaskKey(5), Completion::MayHaveRun);
    assert_eq!(evidence.ask(TaskKey(5), true), Verdict::Ran(NODE, EXITED));
    evidence.due(60 * SECOND, 1);
    assert_eq!(
        evidence.ask(TaskKey(0), true),
        Verdict::Free,
        "forgotten after its time"
    );
    assert_eq!(evidence.ask(TaskKey(1), true), Verdict::Never);
}

#[test]
fn a_node_that_is_gone_denies_and_one_that_comes_back_tells() {
    let (mut evidence, sent) = doubtful();
    assert_eq!(evidence.gone(0, NODE), [sent]);
    assert_eq!(evidence.ask(TASK, true), Verdict::Never);
    assert_eq!(evidence.back(NODE), [(sent, of(5))]);
    assert_eq!(evidence.ask(TASK, true), Verdict::Later(3 * SECOND));
    evidence.gone(SECOND, NODE);
    evidence.due(61 * SECOND, 1);
    assert!(
        !evidence.is_open(sent),
        "given up, as one that may have run"
    );
    assert_eq!(evidence.ask(TASK, true), Verdict::Never);
}

#[test]
fn the_bound_refuses_and_does_not_forget() {
    let mut evidence = empty();
    for task in 0..4 {
        assert!(!evidence.is_full());
        evidence.sent(copy(1, 1, task), 7, of(task));
        evidence.left(0, copy(1, 1, task), true);
    }
    assert!(evidence.is_full());
    assert!((0..4).all(|t| evidence.ask(TaskKey(t), true) != Verdict::Free));
}

#[test]
fn the_next_life_knows_what_was_written_down() {
    let (mut evidence, sent) = doubtful();
    evidence.sent(copy(1, 2, 3), 7, of(6));
    evidence.over(0, copy(1, 2, 3), Completion::Ended(NodeId(2), EXITED));
    evidence.sent(copy(1, 2, 4), 7, of(8));
    evidence.closed(copy(1, 2, 4));
    for entries in [evidence.take_journal(), evidence.snapshot()] {
        let mut next = empty();
        next.recover(0, &entries);
        assert_eq!(next.ask(TASK, true), Verdict::Later(3 * SECOND));
        assert_eq!(next.ask(TaskKey(6), true), Verdict::Ran(NodeId(2), EXITED));
        assert_eq!(next.ask(TaskKey(8), true), Verdict::Free);
        assert_eq!(next.open().count(), 1);
        assert!(next.is_open(sent) && next.take_journal().is_empty());
    }
}

/// What really becomes of a copy at its node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Truth {
    UnderWay,
    Runs,
    Ended { told: bool },
    Nothing,
}

#[derive(Clone, Debug)]
enum Step {
    Ask(u64),
    Arrives(usize),
    Ends(usize),
    Told(usize),
    Cut(u64),
    Greets(u64),
    Restarts(u64),
    Killed(bool),
    Gone(u64),
    Back(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..2u64).prop_map(Step::Ask),
        3 => (0..12usize).prop_map(Step::Arrives),
        2 => (0..12usize).prop_map(Step::Ends),
        2 => (0..12usize).prop_map(Step::Told),
        2 => (0..2u64).prop_map(Step::Cut),
        2 => (0..2u64).prop_map(Step::Greets),
        1 => (0..2u64).prop_map(Step::Restarts),
        2 => any::<bool>().prop_map(Step::Killed),
        1 => (0..2u64).prop_map(Step::Gone),
        1 => (0..2u64).prop_map(Step::Back),
        1 => (0..100u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    /// Whenever a task is free, no copy of it has run or can still run; and no copy is sent beside another.
    #[test]
    fn free_means_that_nothing_ran_or_can_run(steps in steps()) {
        let (mut evidence, mut disk) = (empty(), Vec::<JournalEntry>::new());
        let (mut life, mut now) = (1, 0);
        // Copies with their task and truth, and the life of the node that each was sent to.
        let mut copies: Vec<(TaskCopy, u64, Truth)> = Vec::new();
        let (mut lives, mut linked) = ([1u64; 2], [true; 2]);
        for step in steps {
            match step {
                Step::Ask(task) => {
                    let node = (copies.len() % 2) as u64;
                    if evidence.ask(TaskKey(task), true) == Verdict::Free && linked[node as usize] {
                        let bad = |(_, t, truth): &&(TaskCopy, u64, Truth)| *t == task && *truth != Truth::Nothing;
                        prop_assert!(!copies.iter().any(|c| bad(&c)), "task {} is free: {:?}", task, copies);
                        let new = copy(life, node, copies.len() as u64);
                        evidence.sent(new, lives[node as usize], of(task));
                        copies.push((new, task, Truth::UnderWay));
                        evidence.left(now, new, true);
                    }
                }
                Step::Arrives(i) => {
                    if let Some((_, _, truth @ Truth::UnderWay)) = copies.get_mut(i) {
                        *truth = Truth::Runs;
                    }
                }
                Step::Ends(i) => {
                    if let Some((_, _, truth @ Truth::Runs)) = copies.get_mut(i) {
                        *truth = Truth::Ended { told: false };
                    }
                }
                Step::Told(i) => match copies.get_mut(i) {
                    Some((c, _, truth)) if linked[c.attempt.node.0 as usize] && c.incarnation == life => match truth {
                        Truth::Runs => { evidence.runs(now, *c); }
                        Truth::Ended { told } => {
                            *told = true;
                            evidence.over(now, *c, Completion::Ended(c.attempt.node, EXITED));
                        }
                        // It is refused for ever: its node says so and keeps to it.
                        Truth::UnderWay => {
                            *truth = Truth::Nothing;
                            evidence.closed(*c);
                        }
                        Truth::Nothing => {}
                    },
                    _ => {}
                },
                Step::Cut(node) => linked[node as usize] = false,
                Step::Greets(node) => {
                    linked[node as usize] = true;
                    let mut held = Vec::new();
                    for (c, _, truth) in copies.iter_mut().filter(|(c, ..)| c.attempt.node.0 == node) {
                        match truth {
                            // The fence: what is under way on an older link is not acted on.
                            Truth::UnderWay => *truth = Truth::Nothing,
                            Truth::Runs => {
                                evidence.runs(now, *c);
                                held.push(*c);
                            }
                            Truth::Ended { told } => {
                                *told = true;
                                evidence.over(now, *c, Completion::Ended(c.attempt.node, EXITED));
                            }
                            Truth::Nothing => {}
                        }
                    }
                    evidence.greeted(now, NodeId(node), lives[node as usize], true, &held);
                }
                Step::Restarts(node) => {
                    lives[node as usize] += 1;
                    linked[node as usize] = false;
                    // Its process is gone: what ran there may have had its effect, and its record is lost. What is
                    // under way may still arrive at the new one.
                    for (_, _, truth) in copies.iter_mut().filter(|(c, ..)| c.attempt.node.0 == node) {
                        if *truth == Truth::Runs {
                            *truth = Truth::Ended { told: false };
                        }
                    }
                }
                Step::Killed(anew) => {
                    life += 1;
                    disk.extend(evidence.take_journal());
                    if anew {
                        disk = evidence.snapshot();
                    }
                    evidence = empty();
                    evidence.recover(now, &disk);
                    linked = [false; 2];
                }
                Step::Gone(node) => { evidence.gone(now, NodeId(node)); }
                Step::Back(node) => { evidence.back(NodeId(node)); }
                Step::Wait(seconds) => {
                    // Less than the time for which what ran is remembered, all in all.
                    now = (now + seconds * SECOND).min(59 * SECOND);
                    evidence.due(now, life);
                }
            }
        }
    }
}
