//! Each check of the audit catches a planted breach, and passes the same events without it.

use peppercove_audit::{
    AuditReport, ClassFigures, Event, Figures, Micros, Observation, Place, Started, judge,
};
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};
use peppercove_protocol::node::{
    AttemptId, FromNode, Idempotency, NodeReason, OfferedTask, ProcessIdentity, Program, TaskExit,
    ToNode, Usage,
};
use peppercove_protocol::rpc::PlacementOutcome;

const MS: Micros = 1_000;
const CLEAN: [u8; 0] = [];

fn figures() -> Figures {
    let class = |spread, group| ClassFigures {
        spread,
        most: 2,
        group,
        window: 5_000 * MS,
    };
    Figures {
        classes: vec![
            class(Place::Off, Place::Off),
            class(Place::Rack, Place::Rack),
            class(Place::Off, Place::Off),
        ],
        drain_grace: 250 * MS,
        warm_within: 10_000 * MS,
        cold_bears: 3,
        fall_window: 2_000 * MS,
        travel: 0,
        stall: 0,
    }
}

fn party() -> ProcessIdentity {
    ProcessIdentity {
        name: "c".into(),
        incarnation: 1,
    }
}

fn work(task: u64, class: u16) -> OfferedTask {
    let repeat = [
        Idempotency::Idempotent,
        Idempotency::Keyed,
        Idempotency::NonIdempotent,
    ][usize::from(class)];
    let program = Program {
        key: format!("s\nk{task}"),
        ..Program::default()
    };
    OfferedTask {
        task,
        service: 9,
        class,
        tenant: 0,
        cores: 1.0,
        memory: 1.0,
        priority: 0,
        idempotency: repeat,
        program,
    }
}

fn id(request: u64, number: u16) -> AttemptId {
    AttemptId { request, number }
}

struct Day(Vec<Event>);

impl Day {
    /// Nodes a and b in rack 1, c in rack 2, all heard of at the beginning.
    fn new() -> Day {
        let mut day = Day(Vec::new());
        let lines = vec![line("a", 1, None), line("b", 1, None), line("c", 2, None)];
        day.list(0, Scope::Full, lines);
        day
    }
    fn see(&mut self, at: Micros, seen: Observation) -> &mut Day {
        self.0.push(Event { at, seen });
        self
    }
    fn list(&mut self, at: Micros, scope: Scope, lines: Vec<ListEntry>) -> &mut Day {
        self.see(
            at,
            Observation::List {
                controller: "c".into(),
                news: FromList::Update {
                    generation: at,
                    scope,
                    entries: lines,
                },
            },
        )
    }
    fn offer(&mut self, at: Micros, node: &str, attempt: AttemptId, work: OfferedTask) -> &mut Day {
        let message = ToNode::Offer {
            attempt,
            expires_in: 1_000 * MS,
            task: work,
        };
        self.see(
            at,
            Observation::ToNode {
                controller: party(),
                node: node.into(),
                message,
            },
        )
    }
    fn withdraw(&mut self, at: Micros, node: &str, attempt: AttemptId) -> &mut Day {
        let message = ToNode::CancelAttempt { attempt };
        self.see(
            at,
            Observation::ToNode {
                controller: party(),
                node: node.into(),
                message,
            },
        )
    }
    fn says(&mut self, at: Micros, node: &str, message: FromNode) -> &mut Day {
        self.see(
            at,
            Observation::FromNode {
                controller: party(),
                node: node.into(),
                message,
            },
        )
    }
    fn refused(&mut self, at: Micros, node: &str, attempt: AttemptId) -> &mut Day {
        self.says(
            at,
            node,
            FromNode::Rejected {
                attempt,
                reason: NodeReason::InsufficientCores,
                load: None,
            },
        )
    }
    fn runs(&mut self, at: Micros, node: &str, attempt: AttemptId) -> &mut Day {
        self.says(
            at,
            node,
            FromNode::Running {
                attempt,
                load: None,
            },
        )
    }
    fn taken(&mut self, at: Micros, task: u64, repeat: Idempotency) -> &mut Day {
        self.see(
            at,
            Observation::Taken {
                controller: "c".into(),
                session: "s".into(),
                key: format!("k{task}"),
                job: format!("j{task}"),
                deadline: 5_000 * MS,
                repeat,
            },
        )
    }
    fn settled(&mut self, at: Micros, task: u64, outcome: PlacementOutcome) -> &mut Day {
        let (session, key, job) = ("s".into(), format!("k{task}"), format!("j{task}"));
        self.see(
            at,
            Observation::Settled {
                session,
                key,
                job,
                outcome,
            },
        )
    }
    fn judge(&self) -> AuditReport {
        judge(&self.0, &[], &figures())
    }
    fn broken(&self) -> Vec<u8> {
        self.judge().violations.iter().map(|b| b.rule).collect()
    }
}

fn line(name: &str, rack: u16, age: Option<Micros>) -> ListEntry {
    ListEntry {
        address: std::net::SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        name: name.into(),
        state: NodeState::Ready,
        kind: 0,
        rack,
        zone: 0,
        incarnation: 1,
        age,
        free_cores: None,
        free_memory: None,
    }
}

#[test]
fn rule_1_one_answer_in_time_and_nothing_after() {
    let mut clean = Day::new();
    clean
        .taken(0, 1, Idempotency::Idempotent)
        .offer(MS, "a", id(1, 0), work(1, 0))
        .runs(9 * MS, "a", id(1, 0));
    clean.settled(10 * MS, 1, PlacementOutcome::Placed);
    assert_eq!(clean.broken(), CLEAN);
    assert_eq!(clean.judge().placed, 1);
    let mut twice = Day(clean.0.clone());
    assert_eq!(
        twice.settled(11 * MS, 1, PlacementOutcome::Failed).broken(),
        [1]
    );
    let mut after = Day(clean.0.clone());
    assert!(
        after
            .offer(12 * MS, "b", id(1, 1), work(1, 0))
            .broken()
            .contains(&1)
    );
    let mut late = Day::new();
    assert_eq!(
        late.taken(0, 1, Idempotency::Idempotent)
            .settled(5_001 * MS, 1, PlacementOutcome::Refused)
            .broken(),
        [1]
    );
    let mut never = Day::new();
    assert_eq!(never.taken(0, 1, Idempotency::Idempotent).broken(), [1]);
    let mut killed = Day::new();
    killed.taken(0, 1, Idempotency::Idempotent).see(
        MS,
        Observation::Killed {
            controller: "c".into(),
        },
    );
    assert_eq!(
        killed.broken(),
        CLEAN,
        "what a killed controller held is for its client"
    );
    let mut nobody = Day::new();
    assert_eq!(
        nobody.settled(MS, 7, PlacementOutcome::Placed).broken(),
        [1]
    );
    let mut early = Day::new();
    assert_eq!(
        early
            .settled(MS, 1, PlacementOutcome::Refused)
            .taken(MS, 1, Idempotency::Idempotent)
            .broken(),
        CLEAN
    );
}

#[test]
fn rule_2_attempts_do_not_overlap() {
    let mut day = Day::new();
    day.offer(0, "a", id(1, 0), work(1, 0))
        .offer(MS, "b", id(1, 1), work(1, 0));
    assert_eq!(day.broken(), [2]);
    let mut answered = Day::new();
    answered
        .offer(0, "a", id(1, 0), work(1, 0))
        .refused(MS, "a", id(1, 0))
        .offer(2 * MS, "b", id(1, 1), work(1, 0));
    assert_eq!(answered.broken(), CLEAN);
    let mut withdrawn = Day::new();
    withdrawn
        .offer(0, "a", id(1, 0), work(1, 0))
        .withdraw(MS, "a", id(1, 0))
        .offer(2 * MS, "b", id(1, 1), work(1, 0));
    assert_eq!(withdrawn.broken(), CLEAN);
    let mut expired = Day::new();
    expired
        .offer(0, "a", id(1, 0), work(1, 0))
        .offer(1_000 * MS, "b", id(1, 1), work(1, 0));
    assert_eq!(expired.broken(), CLEAN);
}

#[test]
fn rule_2_an_unsafe_task_is_offered_again_or_refused_on_proof_only() {
    let mut unproved = Day::new();
    unproved
        .offer(0, "a", id(1, 0), work(1, 2))
        .withdraw(MS, "a", id(1, 0))
        .offer(2 * MS, "b", id(2, 0), work(1, 2));
    assert_eq!(unproved.broken(), [2]);
    let mut proved = Day::new();
    proved
        .offer(0, "a", id(1, 0), work(1, 2))
        .withdraw(MS, "a", id(1, 0))
        .refused(2 * MS, "a", id(1, 0));
    assert_eq!(
        proved.offer(3 * MS, "b", id(2, 0), work(1, 2)).broken(),
        CLEAN
    );
    let mut refusal = Day::new();
    refusal
        .taken(0, 1, Idempotency::NonIdempotent)
        .offer(0, "a", id(1, 0), work(1, 2))
        .withdraw(MS, "a", id(1, 0));
    assert_eq!(
        Day(refusal.0.clone())
            .settled(2 * MS, 1, PlacementOutcome::Refused)
            .broken(),
        [2]
    );
    assert_eq!(
        refusal
            .settled(2 * MS, 1, PlacementOutcome::Failed)
            .broken(),
        CLEAN,
        "a failure promises nothing"
    );
    let mut broke_off = Day::new();
    broke_off.offer(0, "a", id(1, 0), work(1, 2));
    broke_off.see(
        MS,
        Observation::LinkClosed {
            controller: party(),
            node: "a".into(),
        },
    );
    assert_eq!(
        broke_off.offer(2 * MS, "b", id(1, 1), work(1, 2)).broken(),
        [2]
    );
}

#[test]
fn rule_2_a_keyed_task_stays_in_its_group_and_window() {
    let again = |node: &str, at: Micros| {
        let mut day = Day::new();
        day.offer(0, "a", id(1, 0), work(1, 1))
            .withdraw(MS, "a", id(1, 0))
            .offer(at, node, id(1, 1), work(1, 1));
        day.broken()
    };
    assert_eq!(again("b", 100 * MS), CLEAN);
    assert_eq!(again("c", 100 * MS), [2], "another rack");
    assert_eq!(again("b", 5_001 * MS), [2], "past the window");
}

#[test]
fn rule_2_a_keyed_task_that_runs_is_sent_again_only_while_that_word_is_on_its_way() {
    let broken = |node: &str, at: Micros, travel: Micros| {
        let mut day = Day::new();
        day.offer(0, "a", id(1, 0), work(1, 1))
            .withdraw(MS, "a", id(1, 0));
        let running = FromNode::Running {
            attempt: id(1, 0),
            load: None,
        };
        day.says(2 * MS, "a", running)
            .offer(at, node, id(1, 1), work(1, 1));
        judge(
            &day.0,
            &[],
            &Figures {
                travel,
                ..figures()
            },
        )
        .violations_of_rule(2)
    };
    assert_eq!(broken("b", 3 * MS, 2 * MS), 0);
    assert_eq!(broken("b", 3 * MS, 0), 1, "it was told before");
    assert_eq!(broken("b", 4 * MS, 2 * MS), 1, "it was told by then");
    assert_eq!(broken("c", 3 * MS, 2 * MS), 1, "another rack");
}

#[test]
fn rule_2_starts_that_the_nodes_counted() {
    let start = |at, ended, completed, rack, repeat| Started {
        at,
        ended,
        completed,
        node: "a".into(),
        rack,
        task: 1,
        repeat,
    };
    let broken = |starts: &[Started]| judge(&[], starts, &figures()).violations_of_rule(2);
    assert_eq!(
        broken(&[
            start(0, None, false, 1, Idempotency::NonIdempotent),
            start(9, None, false, 1, Idempotency::NonIdempotent)
        ]),
        1
    );
    assert_eq!(
        broken(&[
            start(0, Some(5), true, 1, Idempotency::NonIdempotent),
            start(9, None, false, 1, Idempotency::NonIdempotent)
        ]),
        1
    );
    assert_eq!(
        broken(&[
            start(0, Some(5), false, 1, Idempotency::NonIdempotent),
            start(9, None, false, 1, Idempotency::NonIdempotent)
        ]),
        0
    );
    assert_eq!(
        broken(&[
            start(0, None, false, 1, Idempotency::Keyed),
            start(9, None, false, 1, Idempotency::Keyed)
        ]),
        1
    );
    assert_eq!(
        broken(&[
            start(0, None, false, 1, Idempotency::Keyed),
            start(9, None, false, 2, Idempotency::Keyed)
        ]),
        0
    );
    assert_eq!(
        broken(&[
            start(0, None, false, 1, Idempotency::Idempotent),
            start(9, None, false, 1, Idempotency::Idempotent)
        ]),
        0
    );
}

#[test]
fn rule_3_nothing_new_past_the_grace() {
    let after = |at: Micros| {
        let mut day = Day::new();
        let drains = ListEntry {
            state: NodeState::Draining,
            ..line("a", 1, None)
        };
        day.list(100 * MS, Scope::Delta, vec![drains.clone()]);
        // Hearing it once more does not begin the grace anew.
        day.list(200 * MS, Scope::Delta, vec![drains]);
        day.offer(at, "a", id(1, 0), work(1, 0)).broken()
    };
    assert_eq!(after(349 * MS), CLEAN);
    assert_eq!(after(351 * MS), [3]);
    let mut gone = Day::new();
    gone.list(0, Scope::Full, vec![line("b", 1, None)])
        .offer(251 * MS, "a", id(1, 0), work(1, 0));
    assert_eq!(gone.broken(), [3], "missing from a whole list is gone");
}

#[test]
fn rule_4_a_cold_node_is_offered_what_it_bears() {
    let offers = |count: u64, apart: Micros| {
        let mut day = Day::new();
        day.list(
            0,
            Scope::Delta,
            vec![ListEntry {
                incarnation: 2,
                ..line("a", 1, Some(0))
            }],
        );
        for i in 0..count {
            day.offer(i * apart, "a", id(i, 0), work(i, 0))
                .refused(i * apart + 1, "a", id(i, 0));
        }
        day.broken()
    };
    assert_eq!(offers(3, 10 * MS), CLEAN);
    assert_eq!(offers(4, 10 * MS), [4], "refused ones count");
    assert_eq!(
        offers(4, 700 * MS),
        CLEAN,
        "spread over more than the window"
    );
}

#[test]
fn rule_5_a_service_does_not_crowd_a_rack() {
    let mut day = Day::new();
    day.offer(0, "a", id(1, 0), work(1, 1))
        .runs(MS, "a", id(1, 0));
    day.offer(2 * MS, "b", id(2, 0), work(2, 1))
        .runs(3 * MS, "b", id(2, 0));
    assert_eq!(
        Day(day.0.clone())
            .offer(4 * MS, "c", id(3, 0), work(3, 1))
            .broken(),
        CLEAN
    );
    assert_eq!(
        Day(day.0.clone())
            .offer(4 * MS, "a", id(3, 0), work(3, 1))
            .broken(),
        [5]
    );
    let end = TaskExit::Exited {
        status: 0,
        usage: Usage::default(),
    };
    day.says(
        4 * MS,
        "a",
        FromNode::Ended {
            attempt: id(1, 0),
            end,
            load: None,
        },
    );
    assert_eq!(day.offer(5 * MS, "a", id(3, 0), work(3, 1)).broken(), CLEAN);
}

/// Found by the hunt: a node started anew twice within the time of an attempt that had not run on its earlier life.
#[test]
fn what_was_sent_to_an_earlier_life_of_a_node_is_not_out_any_more() {
    let welcome = |life| {
        let node = ProcessIdentity {
            name: "a".into(),
            incarnation: life,
        };
        let version = peppercove_protocol::VERSION;
        FromNode::Welcome {
            version,
            node,
            known_tasks: 0,
            is_complete: true,
        }
    };
    let mut day = Day::new();
    day.says(0, "a", welcome(1))
        .offer(MS, "a", id(1, 0), work(1, 1));
    day.offer(2 * MS, "b", id(2, 0), work(2, 1))
        .runs(3 * MS, "b", id(2, 0));
    assert_eq!(
        Day(day.0.clone())
            .offer(4 * MS, "a", id(3, 0), work(3, 1))
            .broken(),
        [5]
    );
    day.says(4 * MS, "a", welcome(2));
    assert_eq!(
        Day(day.0.clone())
            .offer(5 * MS, "a", id(3, 0), work(3, 1))
            .broken(),
        CLEAN
    );
    // It may have run there all the same: an unsafe one is not offered again for it.
    let mut day = Day::new();
    day.says(0, "a", welcome(1))
        .offer(MS, "a", id(1, 0), work(1, 2));
    day.says(4 * MS, "a", welcome(2))
        .offer(5 * MS, "b", id(1, 1), work(1, 2));
    assert_eq!(day.broken(), [2]);
}
