//! The core driven by hand: every action carried out, every event fed, nothing chosen by the core itself.

use peppercove::{
    Action, AttemptOutcome, EndReason, Event, Idempotency, ListUpdateKind, Micros, NodeId,
    NodeStatus, RequestId, Scheduler, ServiceId, Settings, TaskKey,
};
use peppercove_core::nodes::{ListedNode, node_id_of};
use peppercove_core::{
    Answer, Control, Core, Decide, Input, JobId, JobState, Limits, NodeNews, Output, Program,
    Rejection, Standing, Submission, TaskEnd, recording,
};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

const SECOND: Micros = 1_000_000;

/// Answers with what the test put there, and keeps what it was told.
#[derive(Clone, Default)]
struct Fixed {
    answers: Rc<RefCell<VecDeque<Vec<Action>>>>,
    told: Rc<RefCell<Vec<Event>>>,
}

impl Decide for Fixed {
    fn decide(&mut self, _now: Micros, events: &[Event]) -> Vec<Action> {
        self.told.borrow_mut().extend_from_slice(events);
        self.answers.borrow_mut().pop_front().unwrap_or_default()
    }
}

fn limits() -> Limits {
    let settings = Settings::sample();
    Limits {
        life: 77,
        classes: settings.classes.clone(),
        confirms: settings.placement_ack,
        max_attempts: 3,
        most_open: 100,
        most_jobs: 200,
        most_session_jobs: 100,
        answer_reserve: 20_000,
        retry_after: SECOND,
        settle: 3 * SECOND,
        fate_memory: 60 * SECOND,
        most_fates: 10,
        lost_after: 30 * SECOND,
        journal: true,
    }
}

fn node(i: u16) -> NodeId {
    node_id_of(address(i))
}

fn address(i: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 1000 + i)
}

fn line(i: u16, state: NodeStatus) -> ListedNode {
    ListedNode {
        address: address(i),
        name: format!("n{i}"),
        state,
        kind: 0,
        rack: i,
        zone: 0,
        life: 1,
        age: None,
        free_cores: Some(16.0),
        free_memory: Some(32.0),
    }
}

fn list(generation: u64, lines: Vec<ListedNode>) -> Input {
    Input::NodeList {
        scope: ListUpdateKind::Full,
        generation,
        lines,
    }
}

fn submission(key: &str, class: u16) -> Submission {
    Submission {
        session: "s".into(),
        key: key.into(),
        task: TaskKey(key.bytes().map(u64::from).sum()),
        service: ServiceId(1),
        class,
        tenant: 0,
        cores: 1.0,
        memory: 2.0,
        deadline_in: 5 * SECOND,
        expected_duration: None,
        is_retry: false,
        requested_elsewhere: false,
        on_hold: false,
        program: Program::default(),
    }
}

fn submit(submission: Submission) -> Input {
    Input::Submit {
        ticket: 1,
        submission: Box::new(submission),
    }
}

fn news(i: u16, request: u64, attempt: u16, news: NodeNews) -> Input {
    Input::News {
        node: node(i),
        request: RequestId(request),
        attempt,
        news,
        load: None,
    }
}

fn exited() -> NodeNews {
    NodeNews::Ended(
        TaskEnd::Exited {
            status: 0,
            wall: 1,
            cpu: 1,
            memory: 0.0,
        },
        EndReason::Unknown,
    )
}

struct Rig {
    core: Core<Fixed>,
    fixed: Fixed,
}

impl Rig {
    /// Two nodes listed and linked.
    fn new() -> Rig {
        let fixed = Fixed::default();
        let mut core = Core::new(fixed.clone(), limits());
        let lines = vec![line(0, NodeStatus::Ready), line(1, NodeStatus::Ready)];
        core.handle(0, list(1, lines));
        for i in 0..2 {
            core.handle(
                0,
                Input::NodeConnected {
                    node: node(i),
                    life: 1,
                    whole: true,
                    standing: Vec::new(),
                },
            );
        }
        fixed.told.borrow_mut().clear();
        Rig { core, fixed }
    }

    /// The module answers with these actions, and the core is given the input.
    fn step(&mut self, now: Micros, input: Input, actions: Vec<Action>) -> Vec<Output> {
        self.fixed.answers.borrow_mut().clear();
        self.fixed.answers.borrow_mut().push_back(actions);
        self.core.handle(now, input)
    }

    fn told(&self) -> Vec<Event> {
        std::mem::take(&mut self.fixed.told.borrow_mut())
    }

    fn bind(&self, request: u64, i: u16, timeout: Option<Micros>) -> Action {
        Action::Dispatch {
            request: RequestId(request),
            node: node(i),
            timeout,
        }
    }
}

fn ended(events: &[Event]) -> Vec<(u16, AttemptOutcome, bool)> {
    let ended = events.iter().filter_map(|e| match e {
        Event::AttemptEnded {
            attempt,
            outcome,
            is_final: over,
            ..
        } => Some((*attempt, *outcome, *over)),
        _ => None,
    });
    ended.collect()
}

fn answers(outputs: &[Output]) -> Vec<Answer> {
    let settled = outputs.iter().filter_map(|o| match o {
        Output::Answered { answer, .. } => Some(*answer),
        _ => None,
    });
    settled.collect()
}

#[test]
fn a_module_that_does_nothing_gets_nothing_done() {
    let mut rig = Rig::new();
    let outputs = rig.step(SECOND, submit(submission("a", 0)), vec![]);
    assert!(
        matches!(outputs[..], [Output::Accepted { .. }]),
        "no offer, no answer of the core's own: {outputs:?}"
    );
    for at in 2..5 {
        assert_eq!(rig.step(at * SECOND, Input::Tick, vec![]), []);
    }
    // Only the first rule makes the core speak, and it counts that as a fault.
    let outputs = rig.step(6 * SECOND, Input::Tick, vec![]);
    assert_eq!(answers(&outputs), [Answer::Failed]);
    assert_eq!(rig.core.counters().missed_deadlines, 1);
}

#[test]
fn offers_go_where_the_module_says_and_nowhere_else() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 1, Some(SECOND))];
    let outputs = rig.step(0, submit(submission("a", 0)), actions);
    let offers: Vec<&Output> = outputs
        .iter()
        .filter(|o| matches!(o, Output::Dispatch { .. }))
        .collect();
    let wanted = Output::Dispatch {
        node: node(1),
        request: RequestId(0),
        attempt: 0,
        expires_in: SECOND,
        job: JobId(0),
    };
    assert_eq!(offers, [&wanted]);
    let outputs = rig.step(1, news(1, 0, 0, NodeNews::Running), vec![]);
    assert_eq!(answers(&outputs), [Answer::Placed(node(1))]);
    let outputs = rig.step(2, news(1, 0, 0, exited()), vec![]);
    assert_eq!(outputs, [Output::Finished(JobId(0))]);
    assert_eq!(rig.core.jobs().get(JobId(0)).unwrap().state, JobState::Done);
}

#[test]
fn an_attempt_ends_by_its_time_and_the_module_is_told_once() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, Some(SECOND))];
    rig.step(0, submit(submission("a", 0)), actions);
    rig.told();
    let outputs = rig.step(SECOND, Input::Tick, vec![]);
    assert!(matches!(
        outputs[..],
        [Output::CancelAttempt { attempt: 0, .. }]
    ));
    assert_eq!(ended(&rig.told()), [(0, AttemptOutcome::TimedOut, false)]);
    // A refusal that comes after it changes nothing.
    rig.step(
        SECOND + 1,
        news(0, 0, 0, NodeNews::Refused(EndReason::InsufficientCores)),
        vec![],
    );
    assert!(ended(&rig.told()).is_empty());
}

#[test]
fn answer_and_deadline_in_one_tick_give_one_answer() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, None)];
    rig.step(0, submit(submission("a", 2)), actions);
    // The attempt is over at the reserve; the same input brings the node's yes, and the module fails the ask.
    let at = 5 * SECOND - 20_000;
    let outputs = rig.step(
        at,
        news(0, 0, 0, NodeNews::Running),
        vec![Action::Fail(RequestId(0))],
    );
    assert_eq!(answers(&outputs).len(), 1, "{outputs:?}");
    let outputs = rig.step(6 * SECOND, Input::Tick, vec![Action::Fail(RequestId(0))]);
    assert!(answers(&outputs).is_empty());
    assert_eq!(rig.core.counters().missed_deadlines, 0);
}

#[test]
fn binds_that_may_not_be_are_told_as_not_sent() {
    let mut rig = Rig::new();
    let two = vec![
        rig.bind(0, 0, None),
        rig.bind(0, 1, None),
        rig.bind(9, 1, None),
    ];
    let outputs = rig.step(0, submit(submission("a", 0)), two);
    assert_eq!(
        outputs
            .iter()
            .filter(|o| matches!(o, Output::Dispatch { .. }))
            .count(),
        1,
        "never two out at once"
    );
    assert_eq!(ended(&rig.told()), [(1, AttemptOutcome::NotSent, false)]);
    assert_eq!(rig.core.counters().ignored_actions, 2);
}

#[test]
fn a_node_without_a_link_is_unreachable_and_proves_that_nothing_ran() {
    let mut rig = Rig::new();
    rig.step(0, Input::NodeDisconnected(node(0)), vec![]);
    let actions = vec![rig.bind(0, 0, None)];
    let outputs = rig.step(1, submit(submission("a", 2)), actions);
    assert!(!outputs.iter().any(|o| matches!(o, Output::Dispatch { .. })));
    assert_eq!(
        ended(&rig.told()),
        [(0, AttemptOutcome::Unreachable, false)]
    );
    let outputs = rig.step(
        2,
        Input::NodeListFailed,
        vec![Action::Reject {
            request: RequestId(0),
            retry_after: None,
        }],
    );
    assert_eq!(
        answers(&outputs),
        [Answer::Rejected(None)],
        "harmless, so the refusal stands"
    );
}

#[test]
fn a_link_that_breaks_leaves_an_offer_in_doubt_and_a_placed_task_running() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, None)];
    rig.step(0, submit(submission("a", 0)), actions);
    rig.step(1, news(0, 0, 0, NodeNews::Running), vec![]);
    let actions = vec![rig.bind(1, 0, None)];
    rig.step(2, submit(submission("b", 2)), actions);
    rig.told();
    rig.step(3, Input::NodeDisconnected(node(0)), vec![]);
    assert_eq!(ended(&rig.told()), [(0, AttemptOutcome::Lost, false)]);
    assert_eq!(rig.core.placed_tasks(), 1);
    // The module would refuse; that cannot be promised, so it goes out as a failure.
    let outputs = rig.step(
        4,
        Input::NodeListFailed,
        vec![Action::Reject {
            request: RequestId(1),
            retry_after: None,
        }],
    );
    assert_eq!(answers(&outputs), [Answer::Failed]);
    assert_eq!(rig.core.counters().unsafe_rejections, 1);
    assert_eq!(rig.core.ambiguous_tasks(), 1);
    // The same task again must wait, until its node tells that it never ran.
    let again = Submission {
        key: "b2".into(),
        ..submission("b", 2)
    };
    let outputs = rig.step(5, submit(again.clone()), vec![]);
    assert!(
        matches!(
            outputs[..],
            [Output::Rejected {
                reason: Rejection::OutcomeAmbiguous(_),
                ..
            }]
        ),
        "{outputs:?}"
    );
    let standing = vec![Standing {
        life: 77,
        request: RequestId(0),
        attempt: 0,
        submission: submission("a", 0),
        ended: None,
        why: EndReason::Unknown,
    }];
    rig.step(
        6,
        Input::NodeConnected {
            node: node(0),
            life: 1,
            whole: true,
            standing,
        },
        vec![],
    );
    assert_eq!(rig.core.placed_tasks(), 1, "it still runs");
    let outputs = rig.step(7, submit(again), vec![]);
    assert!(matches!(outputs[0], Output::Accepted { .. }));
}

#[test]
fn a_doubtful_copy_that_runs_is_given_to_the_owner_who_asks_again() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, Some(SECOND))];
    rig.step(0, submit(submission("b", 2)), actions);
    rig.step(SECOND, Input::Tick, vec![Action::Fail(RequestId(0))]);
    rig.step(2 * SECOND, news(0, 0, 0, NodeNews::Running), vec![]);
    let again = Submission {
        key: "b2".into(),
        ..submission("b", 2)
    };
    let outputs = rig.step(3 * SECOND, submit(again), vec![]);
    assert_eq!(answers(&outputs), [Answer::Placed(node(0))]);
    let adopted = Output::Adopt {
        node: node(0),
        life: 77,
        was: RequestId(0),
        attempt: 0,
        request: RequestId(1),
    };
    assert!(outputs.contains(&adopted), "{outputs:?}");
    assert!(!outputs.iter().any(|o| matches!(o, Output::Dispatch { .. })));
    rig.step(4 * SECOND, news(0, 1, 0, exited()), vec![]);
    let third = Submission {
        key: "b3".into(),
        ..submission("b", 2)
    };
    let outputs = rig.step(5 * SECOND, submit(third), vec![]);
    // It ran to its end: that is the answer, and nothing is sent.
    assert_eq!(answers(&outputs), [Answer::Placed(node(0))]);
    assert!(
        outputs.contains(&Output::Finished(JobId(2)))
            && !outputs.iter().any(|o| matches!(o, Output::Dispatch { .. }))
    );
}

/// Danger: the word that a copy goes by a new number was lost with its link. Its node names the former one, and the job was
/// taken for lost and the copy stopped, which counted no more while it went on: a rack had three where two are allowed.
#[test]
fn a_copy_whose_adoption_was_lost_is_known_by_its_former_number() {
    let former = |life, request, ended| Standing {
        life,
        request: RequestId(request),
        attempt: 0,
        submission: submission("a", 0),
        ended,
        why: EndReason::Unknown,
    };
    let up = |standing| Input::NodeConnected {
        node: node(0),
        life: 1,
        whole: true,
        standing: vec![standing],
    };
    let adoption = |life| Output::Adopt {
        node: node(0),
        life,
        was: RequestId(0),
        attempt: 0,
        request: RequestId(if life == 77 { 1 } else { 0 }),
    };
    // Of an earlier life, and of this one: given up, found running, and taken back by its ask.
    for life in [76, 77] {
        let mut rig = Rig::new();
        if life == 77 {
            let actions = vec![rig.bind(0, 0, Some(SECOND))];
            rig.step(0, submit(submission("a", 0)), actions);
            rig.step(SECOND, Input::Tick, vec![]);
            let outputs = rig.step(2 * SECOND, news(0, 0, 0, NodeNews::Running), vec![]);
            assert!(outputs.contains(&adoption(life)), "{outputs:?}");
        } else {
            let outputs = rig.step(2 * SECOND, up(former(life, 0, None)), vec![]);
            assert!(outputs.contains(&adoption(life)), "{outputs:?}");
        }
        rig.told();
        for at in 3..6 {
            rig.step(at * SECOND, Input::NodeDisconnected(node(0)), vec![]);
            let outputs = rig.step(at * SECOND, up(former(life, 0, None)), vec![]);
            assert_eq!(
                outputs,
                [adoption(life)],
                "told again, and nothing is stopped"
            );
            assert_eq!((ended(&rig.told()), rig.core.placed_tasks()), (vec![], 1));
        }
        // What its node says under the former number is said of it.
        rig.step(6 * SECOND, Input::NodeDisconnected(node(0)), vec![]);
        let outputs = if life == 77 {
            rig.step(7 * SECOND, news(0, 0, 0, exited()), vec![])
        } else {
            let NodeNews::Ended(end, _) = exited() else {
                unreachable!("an end")
            };
            rig.step(7 * SECOND, up(former(life, 0, Some(end))), vec![])
        };
        assert!(outputs.contains(&Output::Finished(JobId(0))), "{outputs:?}");
        assert_eq!(ended(&rig.told()), [(0, AttemptOutcome::Completed, true)]);
        assert_eq!(rig.core.placed_tasks(), 0);
    }
}

#[test]
fn a_given_up_attempt_that_turns_out_to_run_is_taken_back_while_its_ask_waits() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, Some(SECOND))];
    rig.step(0, submit(submission("a", 0)), actions);
    rig.step(SECOND, Input::Tick, vec![]);
    rig.told();
    let outputs = rig.step(2 * SECOND, news(0, 0, 0, NodeNews::Running), vec![]);
    assert_eq!(answers(&outputs), [Answer::Placed(node(0))]);
    let told = rig.told();
    assert!(
        matches!(
            told[..],
            [
                Event::RequestCancelled(RequestId(0)),
                Event::RunningTask { .. }
            ]
        ),
        "{told:?}"
    );
}

#[test]
fn a_node_that_names_anothers_attempt_changes_nothing() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, None)];
    rig.step(0, submit(submission("a", 0)), actions);
    rig.told();
    let outputs = rig.step(1, news(1, 0, 0, NodeNews::Running), vec![]);
    assert!(answers(&outputs).is_empty() && rig.told().is_empty());
    assert!(
        !outputs
            .iter()
            .any(|o| matches!(o, Output::ControlTask { .. }))
    );
    // An attempt that never was: the copy is stopped, nothing else.
    let outputs = rig.step(2, news(1, 40, 7, NodeNews::Running), vec![]);
    assert!(matches!(
        outputs[..],
        [Output::ControlTask {
            control: Control::Terminate,
            ..
        }]
    ));
}

#[test]
fn the_same_key_is_the_same_job_and_the_same_task_is_not_run_beside_itself() {
    let mut rig = Rig::new();
    let first = rig.step(0, submit(submission("a", 0)), vec![]);
    assert_eq!(rig.step(1, submit(submission("a", 0)), vec![]), first);
    let other = Submission {
        key: "other".into(),
        ..submission("a", 0)
    };
    let outputs = rig.step(2, submit(other), vec![]);
    assert!(matches!(
        outputs[..],
        [Output::Rejected {
            reason: Rejection::TaskInUse(JobId(0)),
            ..
        }]
    ));
}

#[test]
fn a_restarted_controller_takes_back_what_runs_and_learns_what_ran() {
    let mut rig = Rig::new();
    let standing = |request, key: &str, ended| Standing {
        life: 5,
        request: RequestId(request),
        attempt: 0,
        submission: submission(key, 2),
        ended,
        why: EndReason::Unknown,
    };
    let end = TaskEnd::Exited {
        status: 4,
        wall: 1,
        cpu: 1,
        memory: 0.0,
    };
    rig.step(1, Input::NodeDisconnected(node(0)), vec![]);
    let both = vec![standing(8, "runs", None), standing(9, "ran", Some(end))];
    let outputs = rig.step(
        2,
        Input::NodeConnected {
            node: node(0),
            life: 1,
            whole: true,
            standing: both,
        },
        vec![],
    );
    assert!(outputs.contains(&Output::Adopt {
        node: node(0),
        life: 5,
        was: RequestId(8),
        attempt: 0,
        request: RequestId(0)
    }));
    let jobs = rig.core.jobs();
    let running = jobs.get(jobs.by_key("s", "runs").unwrap()).unwrap();
    let ran = jobs.get(jobs.by_key("s", "ran").unwrap()).unwrap();
    assert_eq!(
        (running.state, ran.state, ran.end),
        (JobState::Running, JobState::Done, Some(end))
    );
    let again = Submission {
        key: "ran2".into(),
        ..submission("ran", 2)
    };
    let outputs = rig.step(3, submit(again), vec![]);
    assert_eq!(
        answers(&outputs),
        [Answer::Placed(node(0))],
        "it ran to its end: that is the answer"
    );
    assert!(!outputs.iter().any(|o| matches!(o, Output::Dispatch { .. })));
}

#[test]
fn a_node_that_restarts_by_itself_is_cold_before_the_list_says_so() {
    let mut rig = Rig::new();
    rig.step(1, Input::NodeDisconnected(node(0)), vec![]);
    rig.step(
        9 * SECOND,
        Input::NodeConnected {
            node: node(0),
            life: 2,
            whole: true,
            standing: Vec::new(),
        },
        vec![],
    );
    let told = rig.told();
    let started = told.iter().find_map(|e| match e {
        Event::NodeList { entries: lines, .. } => lines.first().map(|l| l.started_at),
        _ => None,
    });
    assert_eq!(started, Some(9 * SECOND));
    // A list that still names the earlier life does not make it warm again.
    let late = Input::NodeList {
        scope: ListUpdateKind::Incremental,
        generation: 2,
        lines: vec![line(0, NodeStatus::Ready)],
    };
    rig.step(10 * SECOND, late, vec![]);
    let told = rig.told();
    assert!(
        matches!(&told[..], [Event::NodeList { entries: lines, .. }] if lines[0].started_at == 9 * SECOND),
        "{told:?}"
    );
}

#[test]
fn a_node_gone_from_the_list_keeps_its_link_while_it_answers() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, None)];
    rig.step(0, submit(submission("a", 0)), actions);
    let outputs = rig.step(1, list(2, vec![line(1, NodeStatus::Ready)]), vec![]);
    assert!(!outputs.contains(&Output::Disconnect(node(0))));
    let outputs = rig.step(2, news(0, 0, 0, NodeNews::Running), vec![]);
    assert_eq!(answers(&outputs), [Answer::Placed(node(0))]);
    let outputs = rig.step(3, news(0, 0, 0, exited()), vec![]);
    assert!(outputs.contains(&Output::Disconnect(node(0))));
}

#[test]
fn bounds_turn_away_with_advice_and_finished_jobs_make_room() {
    let fixed = Fixed::default();
    let mut core = Core::new(
        fixed,
        Limits {
            most_open: 1,
            most_jobs: 2,
            ..limits()
        },
    );
    core.handle(0, submit(submission("a", 0)));
    let outputs = core.handle(1, submit(submission("b", 0)));
    assert!(matches!(
        outputs[..],
        [Output::Rejected {
            reason: Rejection::LimitReached(SECOND),
            ..
        }]
    ));
    for (i, key) in ["c", "d", "e"].into_iter().enumerate() {
        let control = Input::Control {
            ticket: 2,
            job: JobId(i as u64),
            control: Control::Terminate,
        };
        core.handle(2, control);
        let outputs = core.handle(3, submit(submission(key, 0)));
        assert!(matches!(outputs[0], Output::Accepted { .. }), "{outputs:?}");
    }
    assert_eq!(core.jobs().len(), 2);
    assert_eq!(core.jobs().forgotten, 2);
}

#[test]
fn a_stop_takes_nothing_and_answers_the_rest_by_what_is_known() {
    let mut rig = Rig::new();
    rig.step(0, submit(submission("waits", 2)), vec![]);
    let actions = vec![rig.bind(1, 0, None)];
    rig.step(0, submit(submission("offered", 2)), actions);
    rig.step(1, Input::BeginShutdown, vec![]);
    let outputs = rig.step(2, submit(submission("late", 0)), vec![]);
    assert!(matches!(
        outputs[..],
        [Output::Rejected {
            reason: Rejection::ShuttingDown(_),
            ..
        }]
    ));
    let outputs = rig.step(3, Input::ShutdownTimeout, vec![]);
    assert_eq!(
        answers(&outputs),
        [Answer::Rejected(Some(SECOND)), Answer::Failed]
    );
    assert_eq!(rig.core.open_requests(), 0);
}

#[test]
fn hold_release_and_terminate_follow_the_state() {
    let mut rig = Rig::new();
    let control = |control| Input::Control {
        ticket: 3,
        job: JobId(0),
        control,
    };
    rig.step(
        0,
        submit(Submission {
            on_hold: true,
            ..submission("a", 0)
        }),
        vec![],
    );
    assert!(rig.told().is_empty(), "a job on hold asks for nothing");
    let outputs = rig.step(1, control(Control::Hold), vec![]);
    assert!(matches!(
        outputs[..],
        [Output::Rejected {
            reason: Rejection::InvalidState(JobState::OnHold),
            ..
        }]
    ));
    rig.step(9 * SECOND, control(Control::Release), vec![]);
    let told = rig.told();
    assert!(
        matches!(&told[..], [Event::Place(p)] if p.deadline_in == 5 * SECOND - 20_000),
        "{told:?}"
    );
    rig.step(10 * SECOND, control(Control::Hold), vec![]);
    assert!(matches!(rig.told()[..], [Event::RequestCancelled(_)]));
    let outputs = rig.step(20 * SECOND, control(Control::Terminate), vec![]);
    assert_eq!(answers(&outputs), [Answer::Cancelled]);
    assert_eq!(
        rig.core.counters().missed_deadlines,
        0,
        "the deadline stood still on hold"
    );
}

// ---- The real module, under anything ----

#[derive(Clone, Debug)]
enum Step {
    Submit(u8, u16, bool),
    Node(u16, u8, u8),
    Down(u16),
    Up(u16, bool),
    List(u8),
    Failed,
    Terminate(u8),
    Wait(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..12u8, 0..4u16, any::<bool>()).prop_map(|(k, c, a)| Step::Submit(k, c, a)),
        8 => (0..4u16, 0..16u8, 0..8u8).prop_map(|(n, r, w)| Step::Node(n, r, w)),
        1 => (0..4u16).prop_map(Step::Down),
        2 => (0..4u16, any::<bool>()).prop_map(|(n, l)| Step::Up(n, l)),
        1 => any::<u8>().prop_map(Step::List),
        1 => Just(Step::Failed),
        1 => (0..20u8).prop_map(Step::Terminate),
        4 => (0..2_000_000u32).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

fn inputs(steps: &[Step]) -> Vec<(Micros, Input)> {
    let all = || (0..4).map(|i| line(i, NodeStatus::Ready)).collect();
    let mut now = 1;
    let mut inputs = vec![(now, list(1, all()))];
    let mut lives = [1u64; 4];
    inputs.extend((0..4).map(|i| {
        (
            1,
            Input::NodeConnected {
                node: node(i),
                life: 1,
                whole: true,
                standing: Vec::new(),
            },
        )
    }));
    for (i, step) in steps.iter().enumerate() {
        now += 1_000;
        let generation = i as u64 + 2;
        let input = match *step {
            Step::Wait(more) => {
                now += u64::from(more);
                Input::Tick
            }
            Step::Submit(key, class, again) => {
                let key = format!("{}", char::from(b'a' + key));
                let tries = format!("{key}{}", if again { i } else { 0 });
                submit(Submission {
                    key: tries,
                    is_retry: again,
                    ..submission(&key, class)
                })
            }
            Step::Node(n, request, what) => {
                let what = match what {
                    0 => NodeNews::Accepted,
                    1 | 2 => NodeNews::Running,
                    3 => NodeNews::Refused(EndReason::InsufficientCores),
                    4 => NodeNews::Refused(EndReason::QueueFull),
                    5 => NodeNews::Error,
                    6 => exited(),
                    _ => NodeNews::Ended(TaskEnd::GivenUp, EndReason::Evicted),
                };
                news(n, request.into(), 0, what)
            }
            Step::Down(n) => Input::NodeDisconnected(node(n)),
            Step::Up(n, new) => {
                lives[usize::from(n)] += u64::from(new);
                Input::NodeConnected {
                    node: node(n),
                    life: lives[usize::from(n)],
                    whole: true,
                    standing: Vec::new(),
                }
            }
            Step::List(bits) => {
                let state = |i: u16| match bits >> (2 * i) & 3 {
                    0 => NodeStatus::Gone,
                    1 => NodeStatus::Draining,
                    _ => NodeStatus::Ready,
                };
                let lines = (0..4).map(|i| line(i, state(i)));
                list(
                    generation,
                    lines.filter(|l| l.state != NodeStatus::Gone).collect(),
                )
            }
            Step::Failed => Input::NodeListFailed,
            Step::Terminate(job) => Input::Control {
                ticket: 0,
                job: JobId(job.into()),
                control: Control::Terminate,
            },
        };
        inputs.push((now, input));
    }
    // Time goes on until every deadline has passed.
    inputs.extend((1..=80).map(|i| (now + i * SECOND / 10, Input::Tick)));
    inputs
}

/// The same with a tick whenever the core wants to be called, as a shell that is never late gives it.
fn punctual(steps: &[Step]) -> Vec<(Micros, Input)> {
    let (settings, limits) = settings_and_limits();
    let mut core = Core::new(Scheduler::new(settings, 7), limits);
    let mut all = Vec::new();
    for (now, input) in inputs(steps) {
        while let Some(at) = core.next_wake().filter(|at| *at < now) {
            core.handle(at, Input::Tick);
            all.push((at, Input::Tick));
        }
        core.handle(now, input.clone());
        all.push((now, input));
    }
    all
}

fn settings_and_limits() -> (Settings, Limits) {
    let settings = Settings {
        is_list_polled: false,
        ..Settings::sample()
    };
    let limits = Limits {
        classes: settings.classes.clone(),
        ..limits()
    };
    (settings, limits)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn each_job_is_answered_once_and_attempts_never_overlap(steps in steps()) {
        let (settings, limits) = settings_and_limits();
        let mut core = Core::new(Scheduler::new(settings.clone(), 7), limits);
        let mut taken = BTreeMap::new();
        let mut settled: BTreeMap<JobId, Vec<Answer>> = BTreeMap::new();
        let mut out: BTreeMap<RequestId, u16> = BTreeMap::new();
        for (now, input) in punctual(&steps) {
            if let Input::News { request, attempt, .. } = &input
                && out.get(request) == Some(attempt)
            {
                out.remove(request);
            }
            // A second link stands for the first, which is down with it.
            if let Input::NodeDisconnected(_) | Input::NodeConnected { .. } = &input {
                out.clear();
            }
            for output in core.handle(now, input.clone()) {
                match output {
                    Output::Accepted { job, .. } => { taken.insert(job, ()); }
                    Output::Answered { job, answer } => settled.entry(job).or_default().push(answer),
                    Output::CancelAttempt { request, .. } => { out.remove(&request); }
                    Output::Dispatch { request, attempt, .. } => {
                        prop_assert!(!out.contains_key(&request), "two attempts of {request:?} out");
                        out.insert(request, attempt);
                    }
                    _ => {}
                }
            }
        }
        for (job, ()) in &taken {
            let answers = settled.get(job).map_or(0, Vec::len);
            prop_assert_eq!(answers, 1, "job {:?}", job);
        }
        let c = core.counters();
        prop_assert_eq!((c.missed_deadlines, c.invalid_transitions, c.unsafe_rejections), (0, 0, 0));
        prop_assert_eq!(core.open_requests(), 0);
    }

    #[test]
    fn a_record_put_through_again_gives_the_same_actions(steps in steps()) {
        let (settings, limits) = settings_and_limits();
        let mut core = Core::new(Scheduler::new(settings.clone(), 7), limits.clone());
        let (mut text, mut first) = (String::new(), Vec::new());
        for (now, input) in inputs(&steps) {
            text += &recording::format_line(now, &input);
            text.push('\n');
            first.push(core.handle(now, input));
        }
        let mut second = Vec::new();
        let again = recording::replay(&recording::RecordingHeader::default(), &text, Scheduler::new(settings, 7), limits, |_, outputs| second.push(outputs.to_vec()));
        prop_assert!(again.is_ok());
        prop_assert_eq!(first, second);
    }

    #[test]
    fn an_unsafe_task_is_never_offered_again_while_it_may_have_run(steps in steps()) {
        let (settings, limits) = settings_and_limits();
        let mut core = Core::new(Scheduler::new(settings.clone(), 7), limits);
        // What each task's last offer came to, as the wire shows it: true once it may have run.
        let mut may_run: BTreeMap<TaskKey, bool> = BTreeMap::new();
        let mut asks: BTreeMap<(RequestId, NodeId), TaskKey> = BTreeMap::new();
        for (now, input) in inputs(&steps) {
            if let Input::News { node, request, attempt: 0, news, .. } = &input
                && let Some(task) = asks.get(&(*request, *node))
            {
                match news {
                    NodeNews::Refused(_) | NodeNews::Ended(TaskEnd::GivenUp, _) => may_run.insert(*task, false),
                    _ => None,
                };
            }
            // A node that comes back without the task proves that it never ran, or lost it with its life.
            if let Input::NodeConnected { node, .. } = &input {
                for ((_, n), task) in &asks {
                    if n == node { may_run.insert(*task, false); }
                }
            }
            for output in core.handle(now, input.clone()) {
                if let Output::Dispatch { node, request, job, .. } = output {
                    let Some(j) = core.jobs().get(job) else { continue };
                    if settings.classes.get(usize::from(j.submission.class)).is_some_and(|c| c.idempotency == Idempotency::NonIdempotent) {
                        let task = j.submission.task;
                        prop_assert!(may_run.get(&task) != Some(&true), "{task:?} is offered again");
                        may_run.insert(task, true);
                        asks.insert((request, node), task);
                    }
                }
            }
        }
    }
}

#[test]
fn a_task_that_another_controller_may_have_started_is_denied() {
    let mut rig = Rig::new();
    let moved = |class| Submission {
        is_retry: true,
        requested_elsewhere: true,
        ..submission("m", class)
    };
    let outputs = rig.step(1, submit(moved(2)), vec![]);
    assert!(
        matches!(
            outputs[..],
            [Output::Rejected {
                reason: Rejection::RequestedElsewhere,
                ..
            }]
        ),
        "{outputs:?}"
    );
    let outputs = rig.step(2, submit(moved(0)), vec![]);
    assert!(
        matches!(outputs[0], Output::Accepted { .. }),
        "a second effect does no harm: {outputs:?}"
    );
}

#[test]
fn a_task_of_an_earlier_life_is_announced_to_nobody_and_claimed_by_the_next_ask() {
    let mut rig = Rig::new();
    rig.step(1, Input::NodeDisconnected(node(0)), vec![]);
    let standing = Standing {
        life: 5,
        request: RequestId(8),
        attempt: 0,
        submission: submission("old", 2),
        ended: None,
        why: EndReason::Unknown,
    };
    let up = Input::NodeConnected {
        node: node(0),
        life: 1,
        whole: true,
        standing: vec![standing],
    };
    let outputs = rig.step(2, up, vec![]);
    assert_eq!(answers(&outputs), [], "nobody of this life has asked");
    let again = Submission {
        key: "new".into(),
        is_retry: true,
        ..submission("old", 2)
    };
    let outputs = rig.step(3, submit(again.clone()), vec![]);
    assert_eq!(answers(&outputs), [Answer::Placed(node(0))]);
    let (old, new) = (
        rig.core.jobs().by_key("s", "old"),
        rig.core.jobs().by_key("s", "new"),
    );
    assert!(old.is_some() && old == new, "known by both keys");
    // Claimed once: a third ask under yet another key finds the task taken.
    let third = Submission {
        key: "third".into(),
        ..again
    };
    let outputs = rig.step(4, submit(third), vec![]);
    assert!(matches!(
        outputs[..],
        [Output::Rejected {
            reason: Rejection::TaskInUse(_),
            ..
        }]
    ));
}

#[test]
fn an_attempt_that_ran_after_it_was_given_up_is_the_answer_and_nothing_more_is_sent() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, Some(SECOND))];
    rig.step(0, submit(submission("k", 1)), actions);
    // Timed out; the module sends it once more within its group.
    let again = rig.bind(0, 1, None);
    rig.step(SECOND, Input::Tick, vec![again]);
    // The first one has run. The second is out and comes to its end first.
    let outputs = rig.step(2 * SECOND, news(0, 0, 0, exited()), vec![]);
    assert_eq!(answers(&outputs), []);
    let third = rig.bind(0, 0, None);
    let outputs = rig.step(
        3 * SECOND,
        news(1, 0, 1, NodeNews::Refused(EndReason::Ineligible)),
        vec![third],
    );
    assert_eq!(answers(&outputs), [Answer::Placed(node(0))]);
    assert!(
        !outputs.iter().any(|o| matches!(o, Output::Dispatch { .. })),
        "{outputs:?}"
    );
    assert_eq!(rig.core.open_requests(), 0);
}

#[test]
fn what_was_sent_is_written_down_before_it_is_offered() {
    let mut rig = Rig::new();
    let actions = vec![rig.bind(0, 0, None)];
    let outputs = rig.step(0, submit(submission("u", 2)), actions);
    let place = |f: fn(&Output) -> bool| outputs.iter().position(f).unwrap();
    let (written, offered) = (
        place(|o| matches!(o, Output::Journal(_))),
        place(|o| matches!(o, Output::Dispatch { .. })),
    );
    assert!(written < offered, "{outputs:?}");
    // The next life reads it, and holds the task until the node has told.
    let Output::Journal(entries) = &outputs[written] else {
        unreachable!()
    };
    let mut next = Core::new(
        Fixed::default(),
        Limits {
            life: 78,
            ..limits()
        },
    );
    next.recover(SECOND, entries);
    let again = Submission {
        key: "u2".into(),
        is_retry: true,
        ..submission("u", 2)
    };
    let outputs = next.handle(SECOND, submit(again));
    assert!(outputs.iter().any(|o| matches!(
        o,
        Output::Rejected {
            reason: Rejection::OutcomeAmbiguous(_),
            ..
        }
    )));
}

#[test]
fn without_a_journal_what_was_asked_before_this_life_is_not_known() {
    let fixed = Fixed::default();
    let mut core = Core::new(
        fixed,
        Limits {
            journal: false,
            ..limits()
        },
    );
    core.handle(0, list(1, vec![line(0, NodeStatus::Ready)]));
    let again = |key: &str| {
        submit(Submission {
            is_retry: true,
            ..submission(key, 2)
        })
    };
    let why = |outputs: Vec<Output>| {
        outputs.into_iter().find_map(|o| {
            if let Output::Rejected { reason: why, .. } = o {
                Some(why)
            } else {
                None
            }
        })
    };
    assert!(
        matches!(
            why(core.handle(1, again("old"))),
            Some(Rejection::OutcomeAmbiguous(_))
        ),
        "a node may tell"
    );
    core.handle(
        2,
        Input::NodeConnected {
            node: node(0),
            life: 1,
            whole: true,
            standing: Vec::new(),
        },
    );
    assert_eq!(
        why(core.handle(3, again("old"))),
        Some(Rejection::OutcomeUnknown)
    );
}
