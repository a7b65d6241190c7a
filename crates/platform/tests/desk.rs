//! The desk by hand and by property: one end a bind, one answer a set-up, no two attempts in flight, whatever the order
//! of messages, breaks and timers. The module is a script; no socket, no clock.

mod common;

use common::{MS, S, WAIT, bounds, event, host, read, set_up, shape};
use peppercove::{
    Action, AttemptOutcome, EndReason, Event, ListUpdateKind, LoadReport, Micros, NodeId,
    NodeStatus, RequestId, Settings,
};
use peppercove_core::Decide;
use peppercove_platform::wire::{Message, MessageKind, cause, code};
use peppercove_platform::{
    Bounds, ClientId, Disconnect, Input, NodeConnectionId, Output, PlatformEngine,
};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

type Batches = Rc<RefCell<Vec<Event>>>;
type Wanted = Rc<RefCell<Vec<Action>>>;

/// A module that notes what it is told and does what the test wants done at its next batch.
struct Scripted {
    told: Batches,
    wanted: Wanted,
}

impl Decide for Scripted {
    fn decide(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        self.told.borrow_mut().extend_from_slice(events);
        std::mem::take(&mut self.wanted.borrow_mut())
    }
}

fn with_figures(id: u64, figures: &str) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, b"plain")
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::FIGURES, figures.as_bytes())
}

struct Bench {
    desk: PlatformEngine<Scripted>,
    told: Batches,
    wanted: Wanted,
    now: Micros,
}

impl Bench {
    fn new() -> Bench {
        Bench::bounded(bounds())
    }

    fn bounded(bounds: Bounds) -> Bench {
        let (told, wanted) = (Batches::default(), Wanted::default());
        let module = Scripted {
            told: told.clone(),
            wanted: wanted.clone(),
        };
        let desk = PlatformEngine::new(module, Settings::sample(), shape(), bounds, 7);
        let mut bench = Bench {
            desk,
            told,
            wanted,
            now: 1000 * S,
        };
        let hosts = [host("a", 1, "active", 0), host("b", 2, "active", 0)];
        bench.put(Input::Start(vec![event(1, true, &hosts)]));
        bench.told.borrow_mut().clear();
        bench
    }

    /// What an input leads to, and the turns of the set-ups that it leaves waiting.
    fn put(&mut self, input: Input) -> Vec<Output> {
        self.now += MS;
        let mut out = self.desk.handle(self.now, input);
        while self.desk.has_queued_requests() {
            out.extend(self.desk.handle(self.now, Input::AdmitNext));
        }
        out
    }

    fn machine(&self, name: &str) -> NodeId {
        NodeId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }

    /// The next batch makes the module do this.
    fn act(&mut self, action: Action) -> Vec<Output> {
        self.wanted.borrow_mut().push(action);
        // Any event gives it a batch; an answer to a call that brings nothing changes nothing else.
        self.put(Input::EndpointEvents(Vec::new()))
    }

    fn bind(&mut self, request: u64, name: &str, timeout: Option<Micros>) -> Vec<Output> {
        let machine = self.machine(name);
        self.act(Action::Dispatch {
            request: RequestId(request),
            node: machine,
            timeout,
        })
    }

    /// Lets time pass, waking the desk when it wants to be called.
    fn pass(&mut self, span: Micros) -> Vec<Output> {
        let end = self.now + span;
        let mut out = Vec::new();
        while let Some(at) = self.desk.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            out.extend(self.desk.handle(self.now, Input::Tick(self.now)));
        }
        self.now = end;
        out
    }

    fn told(&mut self) -> Vec<Event> {
        let told = std::mem::take(&mut *self.told.borrow_mut());
        told.into_iter()
            .filter(|e| !matches!(e, Event::NodeList { .. }))
            .collect()
    }

    /// How attempts ended, as the module was told.
    fn ends(&mut self) -> Vec<(u64, u16, AttemptOutcome, bool)> {
        self.pass(2 * MS);
        let ended = |e: Event| match e {
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                is_final: over,
                ..
            } => Some((request.0, attempt, outcome, over)),
            _ => None,
        };
        self.told().into_iter().filter_map(ended).collect()
    }

    /// Set-up `id` of owner 1, the first request of the desk, is out at `a` over link 1.
    fn offered(&mut self, id: u64, class: &str, timeout: Option<Micros>) {
        self.put(Input::ClientMessage(ClientId(1), set_up(id, class)));
        self.bind(1, "a", timeout);
        self.put(Input::NodeConnected(NodeConnectionId(1)));
    }

    /// A task placed on `a` over link 1, by set-up `id` of owner 1, the first request of the desk.
    fn placed(&mut self, id: u64) {
        self.offered(id, "plain", None);
        let answer = Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, b"here");
        self.put(Input::NodeMessage(NodeConnectionId(1), answer));
        self.pass(2 * MS);
        self.told();
    }
}

fn replies(out: &[Output]) -> Vec<(u64, Message)> {
    let reply = |o: &Output| match o {
        Output::SendToClient(owner, frame) => Some((owner.0, read(frame))),
        _ => None,
    };
    out.iter().filter_map(reply).collect()
}

/// What was sent but tests of connections.
fn cuts(out: &[Output]) -> Vec<(u64, Message)> {
    sends(out)
        .into_iter()
        .filter(|(_, m)| m.kind != MessageKind::Test)
        .collect()
}

fn sends(out: &[Output]) -> Vec<(u64, Message)> {
    let send = |o: &Output| match o {
        Output::SendToNode(link, frame) | Output::Cancel(link, frame) => {
            Some((link.0, read(frame)))
        }
        _ => None,
    };
    out.iter().filter_map(send).collect()
}

#[test]
fn a_set_up_goes_to_its_host_and_the_answer_back_unchanged_and_once() {
    let mut bench = Bench::new();
    bench.put(Input::ClientMessage(ClientId(1), set_up(0xabc, "keyed")));
    let out = bench.bind(1, "a", None);
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(1), address)] if address.port() == 1),
        "{out:?}"
    );
    let out = sends(&bench.put(Input::NodeConnected(NodeConnectionId(1))));
    let [(1, sent)] = &out[..] else {
        panic!("{out:?}")
    };
    let parameters: BTreeMap<u8, Vec<u8>> =
        sent.parameters().map(|(c, v)| (c, v.to_vec())).collect();
    assert_eq!((sent.kind, sent.id), (MessageKind::SetUp, 0xabc));
    assert_eq!(
        parameters.keys().copied().collect::<Vec<_>>(),
        [3, 4, 7, 16, 18]
    );
    assert_eq!(parameters[&18], b"v=0 \xff opaque");
    let answer = Message::new(MessageKind::Answer, 0xabc).with(code::DESCRIPTION, b"\0there");
    let out = replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), answer.clone())));
    assert_eq!(out, [(1, answer.clone())]);
    // A second copy, and one ahead of its set-up: neither is anybody's.
    assert!(replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), answer))).is_empty());
    let unknown = Message::new(MessageKind::Answer, 0xdef).with(code::DESCRIPTION, b"ahead");
    assert!(replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), unknown))).is_empty());
    bench.pass(2 * MS);
    let told = bench.told();
    let placed = told
        .iter()
        .filter(|e| matches!(e, Event::Placed { attempt: 0, .. }))
        .count();
    assert_eq!(placed, 1, "{told:?}");
}

#[test]
fn outcomes_loads_and_reasons_of_hosts_reach_the_module() {
    let mut bench = Bench::new();
    bench.offered(5, "once", None);
    let full = Message::release(5, cause::FULL)
        .with(code::NOTE, b"no_memory")
        .with(code::REPORT, b"x0:1.5;x1:-2;cpu:0.25;waiting:3;other:9");
    bench.put(Input::NodeMessage(NodeConnectionId(1), full));
    bench.pass(2 * MS);
    let ended = bench.told().into_iter().find_map(|e| match e {
        Event::AttemptEnded {
            outcome,
            reason: why,
            is_final: over,
            load,
            ..
        } => Some((outcome, why, over, load)),
        _ => None,
    });
    let load = LoadReport {
        free_cores: Some(1.5),
        free_memory: Some(-2.0),
        cpu_utilization: Some(0.25),
        queue_depth: Some(3.0),
    };
    assert_eq!(
        ended,
        Some((
            AttemptOutcome::Rejected,
            EndReason::InsufficientMemory,
            false,
            Some(load)
        ))
    );
    for (attempt, (cause, outcome)) in [
        (47, AttemptOutcome::Error),
        (41, AttemptOutcome::Lost),
        (102, AttemptOutcome::NotSent),
    ]
    .into_iter()
    .enumerate()
    {
        bench.put(Input::ClientMessage(
            ClientId(1),
            set_up(10 + attempt as u64, "once"),
        ));
        bench.bind(2 + attempt as u64, "a", None);
        bench.put(Input::NodeMessage(
            NodeConnectionId(1),
            Message::release(10 + attempt as u64, cause),
        ));
        assert_eq!(bench.ends(), [(2 + attempt as u64, 0, outcome, false)]);
    }
}

#[test]
fn an_end_that_brings_the_description_is_the_answer_and_the_end() {
    let mut bench = Bench::new();
    bench.offered(5, "keyed", None);
    let end = Message::release(5, cause::ORDINARY).with(code::DESCRIPTION, b"ran");
    let out = replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), end)));
    let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"ran");
    assert_eq!(
        out,
        [(1, answer), (1, Message::release(5, cause::ORDINARY))]
    );
    // Tries after it would be discarded: taken for a break, it cost the task its attempts and its owner a failure.
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Completed, true)]);
    assert_eq!(
        (bench.desk.open_requests(), bench.desk.running_tasks()),
        (0, 0)
    );
    // Without one there is nothing to answer with, but it ran to its end all the same.
    bench.put(Input::ClientMessage(ClientId(1), set_up(6, "keyed")));
    bench.bind(2, "a", None);
    let out = replies(&bench.put(Input::NodeMessage(
        NodeConnectionId(1),
        Message::release(6, cause::ORDINARY),
    )));
    assert_eq!(out, [(1, Message::release(6, cause::CUT))]);
    assert_eq!(bench.ends(), [(2, 0, AttemptOutcome::Completed, true)]);
}

#[test]
fn an_end_that_comes_before_its_answer_is_its_owners_final_answer() {
    let note = |cause, note: &[u8]| Message::release(5, cause).with(code::NOTE, note);
    let stood = [
        (note(cause::CUT, b"sent_away"), AttemptOutcome::Lost),
        (note(cause::CUT, b"evicted"), AttemptOutcome::Lost),
        (note(cause::CUT, b"pushed_out"), AttemptOutcome::Lost),
        (
            Message::release(5, cause::ORDINARY),
            AttemptOutcome::Completed,
        ),
    ];
    for (word, outcome) in stood {
        let mut bench = Bench::new();
        bench.offered(5, "plain", None);
        let out = bench.put(Input::NodeMessage(NodeConnectionId(1), word.clone()));
        assert_eq!(
            replies(&out),
            [(1, Message::release(5, cause::CUT))],
            "{word:?}"
        );
        bench.pass(2 * MS);
        let told = bench.told();
        // The module knows that it ran, and that it is over.
        let placed = told
            .iter()
            .position(|e| matches!(e, Event::Placed { attempt: 0, .. }));
        let ended = told.iter().position(
            |e| matches!(e, Event::AttemptEnded { outcome: how, is_final: true, .. } if *how == outcome),
        );
        assert!(placed.is_some() && placed < ended, "{word:?}: {told:?}");
        // A further attempt of the module goes nowhere, and the answer that was late is nobody's.
        assert!(sends(&bench.bind(1, "b", None)).is_empty());
        let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"late");
        assert!(
            bench
                .put(Input::NodeMessage(NodeConnectionId(1), answer))
                .is_empty()
        );
        assert_eq!(
            (bench.desk.open_requests(), bench.desk.running_tasks()),
            (0, 0)
        );
    }
    // What never started was refused with the same reason, and what broke on its way has none.
    for (word, outcome) in [
        (note(cause::FULL, b"sent_away"), AttemptOutcome::Rejected),
        (Message::release(5, cause::CUT), AttemptOutcome::Lost),
    ] {
        let mut bench = Bench::new();
        bench.offered(5, "plain", None);
        assert!(replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), word))).is_empty());
        assert_eq!(bench.ends(), [(1, 0, outcome, false)]);
    }
}

#[test]
fn a_late_word_of_an_earlier_attempt_at_the_same_host_is_not_the_present_ones() {
    let mut bench = Bench::new();
    bench.offered(5, "plain", Some(300 * MS));
    let out = sends(&bench.pass(400 * MS));
    assert_eq!(
        out,
        [(1, Message::release(5, cause::ORDINARY))],
        "given up at its time-out"
    );
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::TimedOut, false)]);
    // The second attempt goes over a connection of its own, so that words can be told apart.
    let out = bench.bind(1, "a", None);
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(2), _)]),
        "{out:?}"
    );
    bench.put(Input::NodeConnected(NodeConnectionId(2)));
    let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"late");
    assert!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), answer.clone()))).is_empty()
    );
    bench.put(Input::NodeMessage(
        NodeConnectionId(1),
        Message::release(5, cause::CUT),
    ));
    assert_eq!(bench.ends(), []);
    // Nor does it end the task that stands now: its host has the present attempt's connection, as a test there shows.
    let out = bench.put(Input::NodeMessage(NodeConnectionId(2), answer.clone()));
    assert_eq!(replies(&out), [(1, answer)]);
    let [(2, test)] = &sends(&out)[..] else {
        panic!("{out:?}")
    };
    assert_eq!(test.kind, MessageKind::Test);
    let passed = Message::new(MessageKind::Tested, test.id).with(code::CAUSE, &[1]);
    assert!(replies(&bench.put(Input::NodeMessage(NodeConnectionId(2), passed))).is_empty());
    assert!(replies(&bench.pass(S)).is_empty());
    assert_eq!(bench.ends(), []);
}

#[test]
fn a_broken_connection_tells_what_left_from_what_never_did() {
    for (written, outcome) in [(0, AttemptOutcome::Unreachable), (1, AttemptOutcome::Lost)] {
        let mut bench = Bench::new();
        bench.offered(5, "once", None);
        bench.put(Input::NodeDisconnected(
            NodeConnectionId(1),
            Disconnect::Broken {
                bytes_written: written,
                is_clean: true,
            },
        ));
        assert_eq!(
            bench.ends(),
            [(1, 0, outcome, false)],
            "{written} bytes written"
        );
    }
    for how in [Disconnect::Refused, Disconnect::ConnectFailed] {
        let mut bench = Bench::new();
        bench.put(Input::ClientMessage(ClientId(1), set_up(5, "once")));
        bench.bind(1, "a", None);
        bench.put(Input::NodeDisconnected(NodeConnectionId(1), how));
        assert_eq!(
            bench.ends(),
            [(1, 0, AttemptOutcome::Unreachable, false)],
            "{how:?}"
        );
    }
}

#[test]
fn an_attempt_whose_connection_never_came_up_in_time_never_ran() {
    let mut bench = Bench::new();
    bench.put(Input::ClientMessage(ClientId(1), set_up(5, "once")));
    bench.bind(1, "a", Some(50 * MS));
    assert!(sends(&bench.pass(100 * MS)).is_empty());
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Unreachable, false)]);
    assert!(
        sends(&bench.put(Input::NodeConnected(NodeConnectionId(1)))).is_empty(),
        "nothing is sent for it any more"
    );
}

#[test]
fn a_time_out_ends_at_the_owners_deadline_at_the_latest() {
    let mut bench = Bench::new();
    bench.offered(5, "plain", Some(3600 * S));
    bench.pass(WAIT - 100 * MS);
    assert_eq!(bench.ends(), []);
    bench.pass(100 * MS);
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::TimedOut, false)]);
    // The module answers at once, and the answer leaves in the same call.
    let out = bench.act(Action::Fail(RequestId(1)));
    assert_eq!(replies(&out), [(1, Message::release(5, cause::CUT))]);
    assert!(
        replies(&bench.act(Action::Fail(RequestId(1)))).is_empty(),
        "one answer"
    );
}

#[test]
fn a_bind_for_what_is_over_placed_or_out_is_never_sent() {
    let mut bench = Bench::new();
    bench.put(Input::ClientMessage(ClientId(1), set_up(5, "plain")));
    bench.bind(1, "a", None);
    bench.bind(1, "b", None);
    assert_eq!(
        bench.ends(),
        [(1, 1, AttemptOutcome::NotSent, false)],
        "two are never in flight"
    );
    // The owner gives up while the module binds anew in the same batch.
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::ConnectFailed,
    ));
    bench.pass(2 * MS);
    bench.told();
    bench.now += 10 * MS;
    bench.wanted.borrow_mut().push(Action::Dispatch {
        request: RequestId(1),
        node: bench.machine("a"),
        timeout: None,
    });
    let out = bench.put(Input::ClientMessage(
        ClientId(1),
        Message::release(5, cause::ORDINARY),
    ));
    assert!(
        sends(&out).is_empty() && !out.iter().any(|o| matches!(o, Output::Connect(..))),
        "{out:?}"
    );
    assert_eq!(bench.ends(), [(1, 2, AttemptOutcome::NotSent, true)]);
}

#[test]
fn an_owner_that_leaves_is_owed_nothing_and_its_attempt_is_given_up() {
    let mut bench = Bench::new();
    bench.offered(5, "plain", None);
    bench.pass(2 * MS);
    bench.told();
    let out = bench.put(Input::ClientDisconnected(ClientId(1)));
    assert_eq!(sends(&out), [(1, Message::release(5, cause::ORDINARY))]);
    bench.pass(2 * MS);
    let told = bench.told();
    assert_eq!(told[0], Event::RequestCancelled(RequestId(1)));
    assert!(
        matches!(
            told[1],
            Event::AttemptEnded {
                outcome: AttemptOutcome::Cancelled,
                is_final: true,
                ..
            }
        ),
        "{told:?}"
    );
    assert!(replies(&bench.act(Action::Fail(RequestId(1)))).is_empty());
    assert_eq!(bench.desk.open_requests(), 0);
}

#[test]
fn a_standing_task_survives_its_connections_and_its_end_is_told_once() {
    let mut bench = Bench::new();
    bench.placed(5);
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::Broken {
            bytes_written: 99,
            is_clean: true,
        },
    ));
    assert_eq!(bench.ends(), [], "no connection owns it");
    let out = bench.pass(S);
    assert!(
        out.iter()
            .any(|o| matches!(o, Output::Connect(NodeConnectionId(2), _))),
        "its end needs a way: {out:?}"
    );
    bench.put(Input::NodeConnected(NodeConnectionId(2)));
    let end = Message::release(5, cause::ORDINARY);
    assert_eq!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(2), end.clone()))),
        [(1, end.clone())]
    );
    assert!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(2), end))).is_empty(),
        "hosts say it twice"
    );
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Completed, true)]);
}

#[test]
fn the_end_of_a_task_finds_its_owner_over_another_connection_or_a_later_one() {
    let mut bench = Bench::new();
    bench.placed(5);
    bench.put(Input::ClientDisconnected(ClientId(1)));
    assert_eq!(bench.ends(), [], "it stands on");
    let end = Message::release(5, cause::ORDINARY);
    assert!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), end.clone()))).is_empty(),
        "nobody is there"
    );
    let out = bench.put(Input::ClientMessage(ClientId(2), set_up(6, "plain")));
    assert_eq!(replies(&out), [(2, end)]);
}

#[test]
fn an_end_told_just_before_its_connection_closed_is_told_again_elsewhere() {
    let mut bench = Bench::new();
    bench.placed(5);
    bench.put(Input::ClientMessage(ClientId(2), set_up(6, "plain")));
    let end = Message::release(5, cause::ORDINARY);
    assert_eq!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), end.clone()))),
        [(1, end.clone())]
    );
    // It crossed the close, or was thrown away with what the connection had not written yet.
    assert_eq!(
        replies(&bench.put(Input::ClientDisconnected(ClientId(1)))),
        [(2, end)]
    );
    // One told long before has arrived.
    bench.pass(5 * S);
    assert!(replies(&bench.put(Input::ClientDisconnected(ClientId(2)))).is_empty());
}

/// Set-up 5 is out at `a` over link 2; its first attempt there, over link 1, was given up.
fn out_at_second_try(bench: &mut Bench) {
    bench.offered(5, "plain", Some(300 * MS));
    bench.pass(400 * MS);
    bench.bind(1, "a", None);
    bench.put(Input::NodeConnected(NodeConnectionId(2)));
}

/// A task at `a`: its first attempt there, over link 1, was given up, and its second, over link 2, placed it.
fn placed_at_second_try(bench: &mut Bench) {
    out_at_second_try(bench);
    bench.put(Input::NodeMessage(
        NodeConnectionId(2),
        Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x"),
    ));
    bench.ends();
}

#[test]
fn an_end_in_doubt_is_told_in_time_and_made_true() {
    // Seen on split+mass: hosts close the idle connection of the attempt that placed the task, and tell the end over that
    // of the attempt before it. Dropped as the earlier one's, it was told to nobody.
    // The present attempt's connection is gone: nothing is left that could be asked.
    let end = Message::release(5, cause::ORDINARY);
    let mut bench = Bench::new();
    placed_at_second_try(&mut bench);
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(2),
        Disconnect::Broken {
            bytes_written: 999,
            is_clean: true,
        },
    ));
    let out = bench.put(Input::NodeMessage(NodeConnectionId(1), end.clone()));
    assert_eq!(replies(&out), [(1, end.clone())]);
    assert_eq!(
        cuts(&out),
        [(1, end.clone())],
        "nothing may go on there under its id"
    );
    // It is there, but its host says nothing on it.
    let mut bench = Bench::new();
    placed_at_second_try(&mut bench);
    assert!(replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), end.clone()))).is_empty());
    assert!(replies(&bench.pass(400 * MS)).is_empty());
    let out = bench.pass(200 * MS);
    assert_eq!(
        replies(&out),
        [(1, end.clone())],
        "within the second that the page gives"
    );
    assert!(sends(&out).contains(&(2, end)), "{out:?}");
}

#[test]
fn an_earlier_attempts_end_said_again_over_a_new_connection_is_not_the_attempt_on_it() {
    let mut bench = Bench::new();
    out_at_second_try(&mut bench);
    bench.ends();
    // Hosts say an end again over the next connection that is opened, before they have read what comes over it.
    bench.put(Input::NodeMessage(
        NodeConnectionId(2),
        Message::release(5, cause::ORDINARY),
    ));
    assert_eq!(bench.ends(), [], "the attempt is out");
    let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x");
    assert_eq!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(2), answer.clone()))),
        [(1, answer)]
    );
    // A cut may be either's: the attempt is over for the module, and its host is told to give it up.
    let mut bench = Bench::new();
    out_at_second_try(&mut bench);
    bench.ends();
    let out = bench.put(Input::NodeMessage(
        NodeConnectionId(2),
        Message::release(5, cause::CUT),
    ));
    assert_eq!(sends(&out), [(2, Message::release(5, cause::ORDINARY))]);
    assert_eq!(bench.ends(), [(1, 1, AttemptOutcome::Lost, false)]);
}

#[test]
fn tasks_end_with_their_process() {
    // Refused: no process is there.
    let mut bench = Bench::new();
    bench.placed(5);
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::Broken {
            bytes_written: 99,
            is_clean: true,
        },
    ));
    bench.pass(S);
    let out = bench.put(Input::NodeDisconnected(
        NodeConnectionId(2),
        Disconnect::Refused,
    ));
    assert_eq!(replies(&out), [(1, Message::release(5, cause::CUT))]);
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Lost, true)]);
    // Started anew, as the list tells.
    let mut bench = Bench::new();
    bench.placed(5);
    let started = bench.now / 1000 + 1;
    let out = bench.put(Input::EndpointEvents(vec![event(
        2,
        false,
        &[host("a", 1, "active", started)],
    )]));
    assert_eq!(replies(&out), [(1, Message::release(5, cause::CUT))]);
    // Silent: neither tests nor connections are answered, and nobody else will tell.
    let mut bench = Bench::new();
    bench.placed(5);
    let out = bench.pass(3 * S);
    assert!(
        sends(&out).iter().any(|(_, m)| m.kind == MessageKind::Test),
        "{out:?}"
    );
    assert!(replies(&out).is_empty(), "too early to say");
    assert_eq!(
        replies(&bench.pass(3 * S)),
        [(1, Message::release(5, cause::CUT))]
    );
}

#[test]
fn a_host_that_passes_tests_keeps_its_tasks() {
    let mut bench = Bench::new();
    bench.placed(5);
    for _ in 0..40 {
        for (link, message) in sends(&bench.pass(500 * MS)) {
            assert_eq!(message.kind, MessageKind::Test);
            bench.put(Input::NodeMessage(
                NodeConnectionId(link),
                Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]),
            ));
        }
    }
    assert_eq!(bench.ends(), []);
}

/// Danger: tested as seldom as every four times the longest that connections take to come up, a host was silent for as long
/// as makes it lost before its first test was answered, and tasks that were well were cut.
#[test]
fn a_host_that_passes_tests_keeps_its_tasks_however_long_connections_may_take() {
    for dial_timeout in [50 * MS, 250 * MS, S, 5 * S] {
        let mut bench = Bench::bounded(bounds().with_dial_timeout(dial_timeout));
        bench.placed(5);
        let mut asked = Vec::new();
        for _ in 0..300 {
            for (link, message) in std::mem::take(&mut asked) {
                let passed: Message =
                    Message::new(MessageKind::Tested, message).with(code::CAUSE, &[1]);
                bench.put(Input::NodeMessage(NodeConnectionId(link), passed));
            }
            let out = bench.pass(100 * MS);
            assert_eq!(replies(&out), [], "{dial_timeout}");
            for (link, message) in sends(&out) {
                assert_eq!(message.kind, MessageKind::Test, "{dial_timeout}");
                asked.push((link, message.id));
            }
        }
        assert_eq!(bench.ends(), [], "{dial_timeout}");
    }
}

#[test]
fn a_connection_that_died_silently_is_closed_and_what_was_out_on_it_told_lost() {
    let mut bench = Bench::new();
    bench.offered(5, "keyed", None);
    // Silent: a test goes out, and none is answered. The attempt has time left until its own end.
    let out = bench.pass(1100 * MS);
    assert!(
        sends(&out)
            .iter()
            .any(|(link, m)| (*link, m.kind) == (1, MessageKind::Test)),
        "{out:?}"
    );
    let out = bench.pass(1100 * MS);
    assert!(out.contains(&Output::Close(NodeConnectionId(1))), "{out:?}");
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::Broken {
            bytes_written: 999,
            is_clean: true,
        },
    ));
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Lost, false)]);
    // One that is merely slow to start its task answers its test and is kept.
    let mut bench = Bench::new();
    bench.offered(5, "keyed", None);
    for _ in 0..6 {
        for (link, message) in sends(&bench.pass(500 * MS)) {
            assert_eq!(message.kind, MessageKind::Test);
            bench.put(Input::NodeMessage(
                NodeConnectionId(link),
                Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]),
            ));
        }
    }
    assert_eq!(bench.ends(), []);
}

#[test]
fn a_new_host_at_an_old_address_is_another_machine_with_connections_of_its_own() {
    let mut bench = Bench::new();
    bench.placed(5);
    let takeover = [
        host("a", 1, "left", 0),
        host("c", 1, "active", bench.now / 1000),
    ];
    bench.put(Input::EndpointEvents(vec![event(2, false, &takeover)]));
    bench.put(Input::ClientMessage(ClientId(1), set_up(6, "plain")));
    let out = bench.bind(2, "c", None);
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(2), a)] if a.port() == 1),
        "{out:?}"
    );
    bench.put(Input::NodeConnected(NodeConnectionId(2)));
    // What the old connection says of it is not the new machine's word.
    let answer = Message::new(MessageKind::Answer, 6).with(code::DESCRIPTION, b"x");
    assert!(replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), answer))).is_empty());
    let out = bench.pass(S);
    assert_eq!(
        replies(&out),
        [(1, Message::release(5, cause::CUT))],
        "what stood on the old one is over"
    );
    assert!(out.contains(&Output::Close(NodeConnectionId(1))));
}

#[test]
fn set_ups_under_an_open_id_do_not_disturb_the_first() {
    let mut bench = Bench::new();
    bench.put(Input::ClientMessage(ClientId(1), set_up(5, "plain")));
    let same = set_up(5, "once");
    assert!(
        replies(&bench.put(Input::ClientMessage(ClientId(1), same.clone()))).is_empty(),
        "its answer is to come"
    );
    let out = replies(&bench.put(Input::ClientMessage(ClientId(2), same)));
    assert_eq!(out, [(2, Message::release(5, cause::TURNED_AWAY))]);
    // Nor can another connection give it up, or one that closes.
    bench.put(Input::ClientMessage(
        ClientId(2),
        Message::release(5, cause::ORDINARY),
    ));
    bench.put(Input::ClientDisconnected(ClientId(2)));
    bench.pass(2 * MS);
    let told = bench.told();
    assert!(matches!(told[..], [Event::Place(_)]), "{told:?}");
    let out = bench.act(Action::Reject {
        request: RequestId(1),
        retry_after: None,
    });
    assert_eq!(
        replies(&out),
        [(1, Message::release(5, cause::TURNED_AWAY))]
    );
}

#[test]
fn what_cannot_be_used_is_refused_at_once_and_the_module_never_hears() {
    let without = |skip: u8| {
        let full = set_up(9, "keyed");
        let keep = full.parameters().filter(|(c, _)| *c != skip);
        keep.fold(Message::new(MessageKind::SetUp, 9), |m, (c, v)| {
            m.with(c, v)
        })
    };
    let wait = |ms: &[u8]| without(code::WAIT).with(code::WAIT, ms);
    let bad = [
        set_up(9, "no-such-class"),
        without(code::CLASS),
        without(code::TASK),
        without(code::KEY),
        without(code::FIGURES),
        without(code::WAIT),
        wait(b"0"),
        wait(b"-5"),
        wait(b"soon"),
        wait(b"99999999999999999999"),
        wait(b"86400000"),
        with_figures(9, "cores:nan;memory:2;service:aa"),
        with_figures(9, "cores:-1;memory:2;service:aa"),
        with_figures(9, "cores:1e308;memory:2;service:aa"),
        with_figures(9, "cores:1;memory:inf;service:aa"),
        with_figures(9, "cores:1;memory:2"),
        with_figures(9, "cores=1"),
        with_figures(9, ""),
    ];
    let mut bench = Bench::new();
    // Without an id, a host would close its connection with all that is open on it.
    let out = replies(&bench.put(Input::ClientMessage(ClientId(1), set_up(0, "plain"))));
    assert_eq!(out, [(1, Message::release(0, cause::TURNED_AWAY))]);
    for message in bad {
        let out = replies(&bench.put(Input::ClientMessage(ClientId(1), message.clone())));
        assert_eq!(
            out,
            [(1, Message::release(9, cause::TURNED_AWAY))],
            "{message:?}"
        );
    }
    bench.pass(S);
    assert_eq!(bench.told(), []);
    assert_eq!(bench.desk.counters().invalid, 19);
}

#[test]
fn what_one_connection_brings_at_once_is_bounded() {
    let mut bench = Bench::new();
    let mut refused = 0;
    for id in 1..=40 {
        refused +=
            replies(&bench.put(Input::ClientMessage(ClientId(1), set_up(id, "plain")))).len();
    }
    assert_eq!(refused, 35, "five may be open on one");
    assert!(
        replies(&bench.put(Input::ClientMessage(ClientId(2), set_up(99, "plain")))).is_empty(),
        "others have their turn"
    );
    for id in 1..=5 {
        bench.put(Input::ClientMessage(
            ClientId(1),
            Message::release(id, cause::ORDINARY),
        ));
    }
    assert_eq!(
        bench.desk.open_requests(),
        1,
        "withdrawn ones leave nothing"
    );
}

#[test]
fn a_task_that_stands_already_is_taken_over_once_and_answered_by_nobody() {
    let mut bench = Bench::new();
    let standing = with_figures(5, "cores:1;memory:2;service:aa;at:b");
    let out = bench.put(Input::ClientMessage(ClientId(1), standing.clone()));
    assert!(replies(&out).is_empty());
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(1), a)] if a.port() == 2),
        "its end needs a way: {out:?}"
    );
    let out = bench.put(Input::ClientMessage(ClientId(1), standing));
    assert!(out.is_empty(), "held already: {out:?}");
    bench.pass(2 * MS);
    let told = bench.told();
    let b = bench.machine("b");
    assert!(
        matches!(told[..], [Event::RunningTask { node: machine, .. }] if machine == b),
        "{told:?}"
    );
    bench.put(Input::NodeConnected(NodeConnectionId(1)));
    let end = Message::release(5, cause::CUT).with(code::NOTE, b"evicted");
    assert_eq!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), end))),
        [(1, Message::release(5, cause::CUT))]
    );
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Lost, true)]);
}

/// Danger: an owner that never learned where its task stands finds it at its host and hands it over under a new id, by
/// which the host speaks of it from then on. Passed over as held already, that id was unknown when the end came, and the
/// end was told to nobody.
#[test]
fn a_task_that_is_handed_over_under_another_id_ends_under_that_one() {
    let handed_over = || {
        let figures = "cores:1;memory:2;service:aa;at:a";
        let message = Message::new(MessageKind::SetUp, 6)
            .with(code::CLASS, b"plain")
            .with(code::WAIT, b"4000");
        message
            .with(code::TASK, format!("{:016x}", 5).as_bytes())
            .with(code::FIGURES, figures.as_bytes())
    };
    let (end, under) = (
        |id| Message::release(id, cause::ORDINARY),
        |id| Message::release(id, cause::CUT),
    );
    // A word that crosses the handing over carries the former id.
    for said in [6, 5] {
        let mut bench = Bench::new();
        bench.placed(5);
        assert!(
            bench
                .put(Input::ClientMessage(ClientId(2), handed_over()))
                .is_empty()
        );
        assert_eq!(
            replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), end(said)))),
            [(2, end(6))]
        );
        assert_eq!(
            (bench.ends(), bench.desk.running_tasks()),
            (vec![(1, 0, AttemptOutcome::Completed, true)], 0)
        );
    }
    // Its owner was told, or said, that it is over, and its host has not read that yet.
    let mut bench = Bench::new();
    bench.placed(5);
    bench.put(Input::ClientMessage(ClientId(1), end(5)));
    let out = bench.put(Input::ClientMessage(ClientId(2), handed_over()));
    assert_eq!(
        (replies(&out), cuts(&out)),
        (vec![(2, under(6))], vec![(1, end(6))])
    );
    let Some((1, test)) = sends(&out).pop() else {
        panic!("{out:?}")
    };
    bench.put(Input::NodeMessage(
        NodeConnectionId(1),
        Message::new(MessageKind::Tested, test.id),
    ));
    assert_eq!(
        (bench.ends(), bench.desk.running_tasks()),
        (vec![(1, 0, AttemptOutcome::Cancelled, true)], 0)
    );
}

#[test]
fn a_host_that_no_list_names_is_dialled_once_it_does_and_else_forgotten() {
    let mut bench = Bench::new();
    let on = |id, host: &str| with_figures(id, &format!("cores:1;memory:2;service:aa;at:{host}"));
    assert!(
        bench
            .put(Input::ClientMessage(ClientId(1), on(5, "new")))
            .is_empty(),
        "its address is not known"
    );
    let out = bench.put(Input::EndpointEvents(vec![event(
        2,
        false,
        &[host("new", 9, "active", 0)],
    )]));
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(1), a)] if a.port() == 9),
        "{out:?}"
    );
    bench.put(Input::NodeConnected(NodeConnectionId(1)));
    bench.put(Input::NodeMessage(
        NodeConnectionId(1),
        Message::release(5, cause::ORDINARY),
    ));
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Completed, true)]);
    // One that is never listed ends with the time that a silent host is given, and nothing of it stays.
    bench.put(Input::ClientMessage(ClientId(1), on(6, "made-up")));
    assert_eq!(
        replies(&bench.pass(5 * S)),
        [(1, Message::release(6, cause::CUT))]
    );
    assert_eq!(
        (
            bench.desk.running_tasks(),
            bench.desk.known_nodes(),
            bench.desk.next_wake()
        ),
        (0, 3, None)
    );
    bench.put(Input::ClientMessage(ClientId(1), on(7, &"x".repeat(65))));
    assert_eq!(
        (bench.desk.running_tasks(), bench.desk.known_nodes()),
        (0, 3),
        "no id is that long"
    );
}

#[test]
fn an_owner_ends_its_task_over_any_connection_and_its_host_is_told() {
    let mut bench = Bench::new();
    bench.placed(5);
    let out = bench.put(Input::ClientMessage(
        ClientId(3),
        Message::release(5, cause::CALLED_OFF),
    ));
    assert_eq!(cuts(&out), [(1, Message::release(5, cause::CALLED_OFF))]);
    assert!(replies(&out).is_empty());
    let again = bench.put(Input::ClientMessage(
        ClientId(1),
        Message::release(5, cause::CALLED_OFF),
    ));
    assert!(again.is_empty(), "once is enough: {again:?}");
    assert!(
        replies(&bench.put(Input::NodeMessage(
            NodeConnectionId(1),
            Message::release(5, cause::CALLED_OFF)
        )))
        .is_empty()
    );
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Cancelled, true)]);
}

/// Danger: a host that cannot be reached goes on with a task that its owner has ended. Counted as over, its room and its
/// share of the spread were given to another meanwhile, and a cell had three where two are allowed.
#[test]
fn a_task_whose_owner_ended_it_counts_until_its_host_has_read_that_or_can_hold_nothing() {
    type Knowledge = fn(&mut Bench);
    let of_the_list = |b: &mut Bench| {
        let restarted = host("a", 1, "active", b.now / 1000 + 1);
        b.put(Input::EndpointEvents(vec![event(2, false, &[restarted])]));
    };
    let over: [Knowledge; 4] = [
        |b| {
            let out = sends(&b.put(Input::NodeConnected(NodeConnectionId(2))));
            let [(2, cut), (2, test)] = &out[..] else {
                panic!("{out:?}")
            };
            assert_eq!(*cut, Message::release(5, cause::CALLED_OFF));
            assert_eq!(b.ends(), [], "sent is not read");
            b.put(Input::NodeMessage(
                NodeConnectionId(2),
                Message::new(MessageKind::Tested, test.id).with(code::CAUSE, &[1]),
            ));
        },
        |b| {
            b.put(Input::NodeConnected(NodeConnectionId(2)));
            b.put(Input::NodeMessage(
                NodeConnectionId(2),
                Message::release(5, cause::CALLED_OFF),
            ));
        },
        |b| {
            drop(b.put(Input::NodeDisconnected(
                NodeConnectionId(2),
                Disconnect::Refused,
            )))
        },
        of_the_list,
    ];
    for (n, known) in over.into_iter().enumerate() {
        let mut bench = Bench::new();
        bench.placed(5);
        bench.put(Input::NodeDisconnected(
            NodeConnectionId(1),
            Disconnect::Broken {
                bytes_written: 999,
                is_clean: false,
            },
        ));
        bench.pass(S);
        let out = bench.put(Input::ClientMessage(
            ClientId(1),
            Message::release(5, cause::CALLED_OFF),
        ));
        assert!(out.is_empty(), "no way there: {out:?}");
        assert_eq!(
            (bench.ends(), bench.desk.running_tasks()),
            (vec![], 1),
            "time is no knowledge"
        );
        known(&mut bench);
        assert_eq!(
            bench.ends(),
            [(1, 0, AttemptOutcome::Cancelled, true)],
            "case {n}"
        );
        assert_eq!(bench.desk.running_tasks(), 0);
    }
}

/// The same where a machine is silent for so long that the owners of its tasks have to be told.
#[test]
fn tasks_of_a_silent_machine_are_told_to_be_over_and_count_until_they_are_cut() {
    let mut bench = Bench::new();
    bench.placed(5);
    let out = bench.pass(6 * S);
    assert_eq!(
        replies(&out),
        [(1, Message::release(5, cause::CUT))],
        "once"
    );
    assert_eq!((bench.ends(), bench.desk.running_tasks()), (vec![], 1));
    assert!(out.contains(&Output::Close(NodeConnectionId(1))), "{out:?}");
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::Broken {
            bytes_written: 999,
            is_clean: false,
        },
    ));
    bench.pass(S);
    let out = sends(&bench.put(Input::NodeConnected(NodeConnectionId(2))));
    let [(2, cut), (2, test)] = &out[..] else {
        panic!("{out:?}")
    };
    assert_eq!(*cut, Message::release(5, cause::ORDINARY));
    let passed = Message::new(MessageKind::Tested, test.id).with(code::CAUSE, &[1]);
    assert!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(2), passed))).is_empty(),
        "nothing after the end"
    );
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Lost, true)]);
}

#[test]
fn a_release_that_its_host_may_not_have_read_is_told_again() {
    let end = Message::release(5, cause::CALLED_OFF);
    for read in [false, true] {
        let mut bench = Bench::new();
        bench.placed(5);
        let out = sends(&bench.put(Input::ClientMessage(ClientId(1), end.clone())));
        let [_, (1, test)] = &out[..] else {
            panic!("{out:?}")
        };
        if read {
            bench.put(Input::NodeMessage(
                NodeConnectionId(1),
                Message::new(MessageKind::Tested, test.id),
            ));
        }
        bench.put(Input::NodeDisconnected(
            NodeConnectionId(1),
            Disconnect::Broken {
                bytes_written: 999,
                is_clean: true,
            },
        ));
        bench.pass(S);
        let out = cuts(&bench.put(Input::NodeConnected(NodeConnectionId(2))));
        assert_eq!(out.len(), usize::from(!read), "read {read}: {out:?}");
        // Where no process is there, nothing can stand there.
        let mut bench = Bench::new();
        bench.placed(5);
        bench.put(Input::ClientMessage(ClientId(1), end.clone()));
        bench.put(Input::NodeDisconnected(
            NodeConnectionId(1),
            Disconnect::Broken {
                bytes_written: 999,
                is_clean: false,
            },
        ));
        bench.pass(S);
        bench.put(Input::NodeDisconnected(
            NodeConnectionId(2),
            Disconnect::Refused,
        ));
        assert!(
            !bench
                .pass(5 * S)
                .iter()
                .any(|o| matches!(o, Output::Connect(..))),
            "nobody is to be told"
        );
    }
}

/// Danger: no connection is dialled while another is up, and the cut waited for one that was never opened.
#[test]
fn a_cut_that_was_not_read_goes_over_another_connection_that_is_up() {
    let mut bench = Bench::new();
    placed_at_second_try(&mut bench);
    let out = cuts(&bench.put(Input::ClientMessage(
        ClientId(1),
        Message::release(5, cause::CALLED_OFF),
    )));
    assert_eq!(
        out,
        [(2, Message::release(5, cause::CALLED_OFF))],
        "over the connection of its set-up"
    );
    let out = bench.put(Input::NodeDisconnected(
        NodeConnectionId(2),
        Disconnect::Broken {
            bytes_written: 999,
            is_clean: true,
        },
    ));
    assert_eq!(cuts(&out), [(1, Message::release(5, cause::CALLED_OFF))]);
}

#[test]
fn a_connection_that_broke_is_replaced_though_others_are_up_so_that_ends_are_said_again() {
    for whole in [false, true] {
        let mut bench = Bench::new();
        placed_at_second_try(&mut bench);
        bench.put(Input::NodeDisconnected(
            NodeConnectionId(2),
            Disconnect::Broken {
                bytes_written: 999,
                is_clean: whole,
            },
        ));
        let out = bench.pass(S);
        // Closed by its host, it brought all that was said.
        assert_eq!(
            out.iter().any(|o| matches!(o, Output::Connect(..))),
            !whole,
            "{out:?}"
        );
    }
}

/// Danger: hosts say an end again over the next connection that is opened there. One that was dialled before the break may
/// have been opened before the end; it came up, was taken for that, and the end was never heard.
#[test]
fn a_connection_dialled_before_another_broke_does_not_stand_for_the_next_one() {
    let mut bench = Bench::new();
    bench.placed(5);
    // A second attempt elsewhere in time: dialled, not up yet.
    bench.put(Input::ClientMessage(ClientId(1), set_up(6, "plain")));
    bench.put(Input::ClientMessage(ClientId(1), set_up(7, "plain")));
    bench.bind(2, "a", None);
    let out = bench.bind(3, "a", None);
    assert!(
        !out.iter().any(|o| matches!(o, Output::Connect(..))),
        "one connection is enough: {out:?}"
    );
    bench.put(Input::NodeMessage(
        NodeConnectionId(1),
        Message::release(6, cause::FULL),
    ));
    bench.pass(2 * MS);
    let out = bench.bind(2, "a", None);
    assert!(
        out.iter()
            .any(|o| matches!(o, Output::Connect(NodeConnectionId(2), _))),
        "{out:?}"
    );
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::Broken {
            bytes_written: 999,
            is_clean: false,
        },
    ));
    bench.put(Input::NodeConnected(NodeConnectionId(2)));
    let out = bench.pass(S);
    assert!(
        out.iter()
            .any(|o| matches!(o, Output::Connect(NodeConnectionId(3), _))),
        "{out:?}"
    );
    bench.put(Input::NodeConnected(NodeConnectionId(3)));
    let out = bench.pass(S);
    assert!(
        !out.iter().any(|o| matches!(o, Output::Connect(..))),
        "once: {out:?}"
    );
}

#[test]
fn a_move_ends_both_sides() {
    let mut bench = Bench::new();
    bench.placed(5);
    let out = bench.act(Action::Migrate(RequestId(1)));
    assert_eq!(replies(&out), [(1, Message::new(MessageKind::Move, 5))]);
    let [(1, cut), (1, test)] = &sends(&out)[..] else {
        panic!("{out:?}")
    };
    assert_eq!(*cut, Message::release(5, cause::CALLED_OFF));
    assert!(bench.act(Action::Migrate(RequestId(1))).is_empty(), "once");
    let passed = Message::new(MessageKind::Tested, test.id).with(code::CAUSE, &[1]);
    bench.put(Input::NodeMessage(NodeConnectionId(1), passed));
    assert_eq!(bench.ends(), [(1, 0, AttemptOutcome::Cancelled, true)]);
}

#[test]
fn lists_reach_the_module_in_order_and_the_start_is_cached() {
    let mut bench = Bench::new();
    bench.put(Input::EndpointEvents(vec![
        event(2, false, &[host("b", 2, "leaving", 0)]),
        event(3, true, &[host("a", 1, "active", 4)]),
    ]));
    bench.put(Input::EndpointWatchFailed);
    bench.pass(2 * MS);
    let told: Vec<Event> = std::mem::take(&mut *bench.told.borrow_mut());
    let lists = told.iter().filter_map(|e| match e {
        Event::NodeList {
            kind: scope,
            version,
            entries: lines,
        } => Some((
            *scope,
            *version,
            lines
                .iter()
                .map(|l| (l.state, l.started_at))
                .collect::<Vec<_>>(),
        )),
        _ => None,
    });
    assert_eq!(
        lists.collect::<Vec<_>>(),
        [
            (
                ListUpdateKind::Incremental,
                2,
                vec![(NodeStatus::Draining, 0)]
            ),
            (ListUpdateKind::Full, 3, vec![(NodeStatus::Ready, 4000)]),
            (ListUpdateKind::Failed, 0, vec![]),
        ]
    );
}

#[test]
fn connections_to_hosts_are_bounded_and_an_idle_one_makes_room() {
    let mut bench = Bench::new();
    let more: Vec<String> = (0..4)
        .map(|i| host(["c", "d", "e", "f"][i], 10 + i as u16, "active", 0))
        .collect();
    bench.put(Input::EndpointEvents(vec![event(2, false, &more)]));
    bench.placed(5);
    for (request, name, link) in [(2, "b", 2), (3, "c", 3)] {
        bench.put(Input::ClientMessage(
            ClientId(1),
            set_up(request + 10, "plain"),
        ));
        bench.bind(request, name, None);
        bench.put(Input::NodeConnected(NodeConnectionId(link)));
    }
    bench.put(Input::NodeMessage(
        NodeConnectionId(3),
        Message::release(13, cause::FULL),
    ));
    // The third is idle; on the first a task stands, on the second an attempt is out.
    bench.put(Input::ClientMessage(ClientId(1), set_up(14, "plain")));
    let out = bench.bind(4, "d", None);
    assert!(
        matches!(
            out[..],
            [
                Output::Close(NodeConnectionId(3)),
                Output::Connect(NodeConnectionId(4), _)
            ]
        ),
        "{out:?}"
    );
}

/// Hosts with tasks are more than a third of the descriptors where owners need few of theirs. With no more for them, each
/// host that was dialled closed the connection to another one with tasks, which was dialled anew: 15,274 on a calm day.
#[test]
fn connections_to_hosts_have_what_owners_leave() {
    let mut bench = Bench::new();
    bench.put(Input::ClientCount(51));
    bench.placed(5);
    let place = |bench: &mut Bench, request: u64| {
        bench.put(Input::ClientMessage(
            ClientId(1),
            set_up(request + 10, "plain"),
        ));
        bench.bind(request, "b", None)
    };
    let out = place(&mut bench, 2);
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(2), _)]),
        "two are left: {out:?}"
    );
    // More owners than their half: idle connections go, down to what is left, and come back when they leave.
    assert!(
        bench
            .put(Input::ClientCount(52))
            .contains(&Output::Close(NodeConnectionId(1)))
    );
    bench.put(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::Broken {
            bytes_written: 999,
            is_clean: false,
        },
    ));
    assert_eq!(
        bench.put(Input::ClientCount(53)),
        [],
        "the other one is needed for an attempt"
    );
    assert_eq!(bench.pass(S), [], "no descriptor for it");
    bench.put(Input::ClientCount(10));
    assert!(matches!(
        bench.pass(2 * S)[..],
        [Output::Connect(NodeConnectionId(3), _), ..]
    ));
}

/// Danger: a loop that is late sees the clock before it sees what has arrived. An attempt was timed out and its task placed
/// elsewhere while its host's answer had been there for 130 ms, and the end of what stood there was told to nobody.
#[test]
fn silence_is_concluded_from_only_once_all_that_came_before_was_read() {
    let mut bench = Bench::new();
    bench.offered(5, "plain", Some(100 * MS));
    bench.now += 200 * MS;
    // Another connection has its turn first.
    bench.put(Input::ClientMessage(
        ClientId(2),
        Message::new(MessageKind::Test, 9),
    ));
    let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"here");
    assert_eq!(
        replies(&bench.put(Input::NodeMessage(NodeConnectionId(1), answer.clone()))),
        [(1, answer)]
    );
    bench.pass(S);
    assert_eq!((bench.ends(), bench.desk.running_tasks()), (vec![], 1));
}

#[test]
fn batches_come_no_closer_than_the_settings_say() {
    let mut bench = Bench::new();
    bench.now += S;
    let now = bench.now;
    let mut put = |at, id| {
        bench
            .desk
            .handle(at, Input::ClientMessage(ClientId(1), set_up(id, "plain")));
        bench.desk.handle(at, Input::AdmitNext);
        bench.told.borrow().len()
    };
    let tick = Settings::sample().tick;
    assert_eq!(
        [put(now, 1), put(now + tick / 4, 2), put(now + tick / 2, 3)],
        [1, 1, 1]
    );
    assert_eq!(bench.desk.next_wake(), Some(now + tick));
    bench.desk.handle(now + tick, Input::Tick(now + tick));
    assert_eq!(
        bench.told.borrow().len(),
        3,
        "what came meanwhile goes in together"
    );
}

/// Danger: a burst takes long, and all that arrived behind it would be late by that.
#[test]
fn set_ups_wait_for_their_turn_and_a_burst_lets_the_others_wait_for_one_of_its_own() {
    let mut bench = Bench::new();
    let come = bench.now + S;
    let mut at = |now: Micros, input| bench.desk.handle(now, input);
    for (owner, id) in [(1, 1), (1, 2), (1, 3), (2, 4), (3, 5)] {
        at(
            come,
            Input::ClientMessage(ClientId(owner), set_up(id, "plain")),
        );
    }
    assert_eq!(
        replies(&at(
            come,
            Input::ClientMessage(ClientId(2), Message::new(MessageKind::Test, 9))
        ))
        .len(),
        1
    );
    // The second is given up while it waits, and of the third owner nobody waits any more.
    at(
        come,
        Input::ClientMessage(ClientId(1), Message::release(2, cause::ORDINARY)),
    );
    at(come, Input::ClientDisconnected(ClientId(3)));
    assert_eq!(
        (
            bench.desk.open_requests(),
            bench.desk.has_open_requests(ClientId(2))
        ),
        (3, true)
    );
    for turn in 1..=3 {
        bench.desk.handle(come + turn * 100 * MS, Input::AdmitNext);
    }
    assert!(!bench.desk.has_queued_requests());
    bench.now = come + S;
    bench.pass(0);
    let places = bench.told().into_iter().filter_map(|e| match e {
        Event::Place(request) => Some((request.task.0, request.deadline_in)),
        _ => None,
    });
    // The owner's time runs from when it sent, not from its turn.
    let left = |turn: u64| WAIT - turn * 100 * MS;
    assert_eq!(
        places.collect::<Vec<_>>(),
        [(1, left(1)), (4, left(2)), (3, left(3))]
    );
    bench.pass(2 * WAIT);
    assert_eq!(bench.desk.open_requests(), 0);
}

/// Danger: where turns come slower than set-ups, the last in line would hear nothing in its time.
#[test]
fn a_set_up_whose_time_is_up_in_line_goes_to_the_module_out_of_turn() {
    let mut bench = Bench::new();
    for id in [1, 2, 3] {
        bench.desk.handle(
            bench.now,
            Input::ClientMessage(ClientId(1), set_up(id, "plain")),
        );
    }
    bench.desk.handle(bench.now, Input::AdmitNext);
    bench.pass(WAIT - MS);
    assert_eq!(bench.told().len(), 1, "no turn came");
    bench.wanted.borrow_mut().push(Action::Reject {
        request: RequestId(2),
        retry_after: None,
    });
    let out = bench.pass(2 * MS);
    let places = bench.told().into_iter().filter_map(|e| match e {
        Event::Place(request) => Some((request.task.0, request.deadline_in)),
        _ => None,
    });
    assert_eq!(places.collect::<Vec<_>>(), [(2, 0), (3, 0)]);
    assert_eq!(
        replies(&out),
        [(1, Message::release(2, cause::TURNED_AWAY))]
    );
    assert!(!bench.desk.has_queued_requests());
}

/// Danger: a loop that is late by half a second would answer half a second after the deadline, and later.
#[test]
fn a_loop_that_was_late_answers_earlier_by_as_much() {
    for (late, reserve) in [(0, 0), (300 * MS, 300 * MS), (100 * S, WAIT / 2)] {
        let mut bench = Bench::new();
        bench.now += 100 * S;
        bench.desk.handle(bench.now, Input::Tick(bench.now - late));
        bench.offered(5, "once", None);
        let place = |e: Event| matches!(e, Event::Place(_)).then_some(e);
        let [Event::Place(request)] = &bench
            .told()
            .into_iter()
            .filter_map(place)
            .collect::<Vec<_>>()[..]
        else {
            panic!("one set-up");
        };
        assert_eq!(request.deadline_in, WAIT - reserve);
        assert_eq!(bench.ends(), []);
        bench.pass(WAIT - reserve - 10 * MS);
        assert_eq!(bench.ends(), []);
        bench.pass(20 * MS);
        assert_eq!(
            bench.ends(),
            [(1, 0, AttemptOutcome::TimedOut, false)],
            "{late} us late"
        );
    }
}

#[test]
fn what_waits_for_a_connection_to_a_host_that_leaves_is_not_sent() {
    for state in ["leaving", "left"] {
        let mut bench = Bench::new();
        bench.put(Input::ClientMessage(ClientId(1), set_up(5, "once")));
        bench.bind(1, "a", None);
        bench.put(Input::EndpointEvents(vec![event(
            2,
            false,
            &[host("a", 1, state, 0)],
        )]));
        assert_eq!(
            bench.ends(),
            [(1, 0, AttemptOutcome::Unreachable, false)],
            "{state}: it has left nothing"
        );
        let out = bench.put(Input::NodeConnected(NodeConnectionId(1)));
        assert!(
            !out.iter().any(|o| matches!(o, Output::SendToNode(..))),
            "{state}: {out:?}"
        );
    }
}

/// A module that does anything at all, legal or not, by a random number.
struct Wild {
    rng: fastrand::Rng,
    requests: BTreeSet<RequestId>,
    binds: BTreeMap<RequestId, u16>,
    log: Rc<RefCell<Log>>,
    machines: Vec<NodeId>,
}

#[derive(Default)]
struct Log {
    bound: Vec<(RequestId, u16)>,
    ended: Vec<(RequestId, u16)>,
    over: BTreeSet<RequestId>,
    unwanted: BTreeSet<RequestId>,
}

impl Decide for Wild {
    fn decide(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        let mut log = self.log.borrow_mut();
        for event in events {
            match event {
                Event::Place(r) => {
                    self.requests.insert(r.id);
                }
                Event::AttemptEnded {
                    request,
                    attempt,
                    is_final: over,
                    ..
                } => {
                    log.ended.push((*request, *attempt));
                    if *over {
                        log.over.insert(*request);
                        self.requests.remove(request);
                    }
                }
                Event::RequestCancelled(request) => {
                    log.unwanted.insert(*request);
                    self.requests.remove(request);
                }
                _ => {}
            }
        }
        let mut out = Vec::new();
        for request in self.requests.clone() {
            match self.rng.u8(0..10) {
                0..=4 => {
                    let attempt = self.binds.entry(request).or_insert(0);
                    log.bound.push((request, *attempt));
                    *attempt += 1;
                    let machine = self.machines[self.rng.usize(0..self.machines.len())];
                    let timeout = self.rng.bool().then(|| self.rng.u64(0..S));
                    out.push(Action::Dispatch {
                        request,
                        node: machine,
                        timeout,
                    });
                }
                5 => {
                    out.push(Action::Reject {
                        request,
                        retry_after: None,
                    });
                    self.requests.remove(&request);
                }
                6 => {
                    out.push(Action::Fail(request));
                    self.requests.remove(&request);
                }
                7 => out.push(Action::CancelAttempt {
                    request,
                    attempt: self.rng.u16(0..3),
                }),
                8 => out.push(Action::Migrate(request)),
                _ => {}
            }
        }
        out
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn one_end_a_bind_one_answer_a_set_up_and_no_two_in_flight(seed: u64, steps in 20usize..300) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let log = Rc::new(RefCell::new(Log::default()));
        let machines: Vec<NodeId> =
            ["a", "b", "gone"].iter().map(|n| NodeId(xxhash_rust::xxh3::xxh3_64(n.as_bytes()))).collect();
        let module = Wild {
            rng: fastrand::Rng::with_seed(seed ^ 1),
            requests: BTreeSet::new(),
            binds: BTreeMap::new(),
            log: log.clone(),
            machines,
        };
        let mut desk = PlatformEngine::new(module, Settings::sample(), shape(), bounds(), seed);
        let mut now = 1000 * S;
        let hosts = [host("a", 1, "active", 0), host("b", 2, "active", 0)];
        desk.handle(now, Input::Start(vec![event(1, true, &hosts)]));
        let (mut dialled, mut up) = (BTreeSet::new(), BTreeSet::new());
        let (mut answered, mut taken) = (BTreeSet::new(), BTreeSet::new());
        // Where the present attempt of a task is out.
        let mut out_at: BTreeMap<u64, u64> = BTreeMap::new();
        let mut next_id = 1;
        for step in 0..steps + 200 {
            let quiet = step >= steps;
            now += rng.u64(0..20 * MS);
            let any = |rng: &mut fastrand::Rng, set: &BTreeSet<u64>| {
                set.iter().nth(rng.usize(0..set.len().max(1))).copied().unwrap_or(1)
            };
            let id = 1 + rng.u64(0..next_id.max(2) - 1);
            let owner = ClientId(1 + id % 3);
            let link = any(&mut rng, &up);
            let input = match rng.u8(0..12) {
                _ if desk.has_queued_requests() && (quiet || rng.u8(0..3) > 0) => Input::AdmitNext,
                _ if quiet => {
                    now += 300 * MS;
                    Input::Tick(now)
                }
                0..=2 => {
                    let class = ["plain", "keyed", "once"][rng.usize(0..3)];
                    let message = set_up(next_id, class);
                    let owner = ClientId(1 + next_id % 3);
                    taken.insert(next_id);
                    next_id += 1;
                    Input::ClientMessage(owner, message)
                }
                3 => Input::ClientMessage(owner, Message::release(id, cause::ORDINARY)),
                4 => Input::NodeConnected(NodeConnectionId(any(&mut rng, &dialled))),
                5 => Input::NodeMessage(NodeConnectionId(link), Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, b"x")),
                6 => {
                    let cause = [16, 31, 34, 41, 47, 102][rng.usize(0..6)];
                    Input::NodeMessage(NodeConnectionId(link), Message::release(id, cause))
                }
                7 if rng.u8(0..4) == 0 => {
                    let how = [Disconnect::Refused, Disconnect::ConnectFailed][rng.usize(0..2)];
                    Input::NodeDisconnected(NodeConnectionId(any(&mut rng, &dialled)), how)
                }
                8 if rng.u8(0..4) == 0 => {
                    Input::NodeDisconnected(NodeConnectionId(link), Disconnect::Broken { bytes_written: rng.u64(0..400), is_clean: true })
                }
                9 if rng.u8(0..8) == 0 => Input::ClientDisconnected(owner),
                10 if rng.u8(0..8) == 0 => {
                    let state = ["active", "leaving", "left"][rng.usize(0..3)];
                    let started = if rng.bool() { now / 1000 } else { 0 };
                    Input::EndpointEvents(vec![event(step as u64 + 2, false, &[host("a", 1, state, started)])])
                }
                _ => Input::Tick(now - rng.u64(0..20 * MS)),
            };
            match &input {
                Input::NodeConnected(l) => {
                    if !dialled.remove(&l.0) {
                        continue;
                    }
                    up.insert(l.0);
                }
                Input::NodeDisconnected(l, _) => {
                    up.remove(&l.0);
                    dialled.remove(&l.0);
                    out_at.retain(|_, at| *at != l.0);
                }
                Input::NodeMessage(l, _) if !up.contains(&l.0) => continue,
                Input::NodeMessage(l, m) if out_at.get(&m.id) == Some(&l.0) => {
                    out_at.remove(&m.id);
                }
                _ => {}
            }
            for output in desk.handle(now, input) {
                match output {
                    Output::Connect(link, _) => {
                        dialled.insert(link.0);
                    }
                    Output::SendToNode(link, frame) | Output::Cancel(link, frame) => {
                        let message = read(&frame);
                        match message.kind {
                            MessageKind::SetUp => {
                                prop_assert!(up.contains(&link.0), "sent on a connection that is up");
                                let before = out_at.insert(message.id, link.0);
                                prop_assert_eq!(before, None, "two attempts of {} in flight", message.id);
                                prop_assert!(!answered.contains(&message.id), "sent after its answer");
                            }
                            MessageKind::Release => {
                                out_at.remove(&message.id);
                            }
                            _ => {}
                        }
                    }
                    // What is out on a connection is given up with it.
                    Output::Close(link) => out_at.retain(|_, at| *at != link.0),
                    Output::SendToClient(_, frame) => {
                        let message = read(&frame);
                        if message.kind == MessageKind::Answer {
                            prop_assert!(answered.insert(message.id), "answered twice");
                            out_at.remove(&message.id);
                        } else if message.kind == MessageKind::Release && !answered.contains(&message.id) {
                            answered.insert(message.id);
                        }
                    }
                    _ => {}
                }
            }
        }
        for _ in 0..3 {
            now += 10 * S;
            desk.handle(now, Input::Tick(now));
        }
        let log = log.borrow();
        let mut ended = log.ended.clone();
        ended.sort();
        let placed_and_standing = desk.running_tasks();
        let before = ended.len();
        ended.dedup();
        prop_assert_eq!(before, ended.len(), "an attempt ended twice");
        let open = log.bound.iter().filter(|b| !ended.contains(b)).count();
        prop_assert!(open <= placed_and_standing, "{} attempts without an end, {} tasks stand", open, placed_and_standing);
        prop_assert_eq!(desk.open_requests(), 0, "every set-up is over in the end");
    }
}
