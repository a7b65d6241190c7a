//! Notifications whose client has lost its connection. No message names the owner of a task, so that they must reach the
//! client on any connection that it has or opens in time.

use super::harness::*;

/// The client of the tasks.
const OWNER: ClientId = ClientId(1);
/// A connection of another client, which is open throughout.
const OTHER: ClientId = ClientId(2);

fn end(id: u64) -> Message {
    Message::release(id, cause::ORDINARY)
}

fn cut(id: u64) -> Message {
    Message::release(id, cause::CUT)
}

fn test_message() -> Message {
    Message::new(MessageKind::Test, 1)
}

fn handover(id: u64, task: u64, node: &str) -> Message {
    let attributes = format!("cores:1;memory:2;service:aa;at:{node}");
    let message = Message::new(MessageKind::SetUp, id).with(code::CLASS, b"plain");
    message
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{task:016x}").as_bytes())
        .with(code::FIGURES, attributes.as_bytes())
}

fn from_client(client: ClientId, message: Message) -> Input {
    Input::ClientMessage(client, message)
}

fn from_node(message: Message) -> Input {
    Input::NodeMessage(NodeConnectionId(1), message)
}

/// The messages with this id that are sent to the client.
fn sent_to(client: ClientId, id: u64, outputs: &[Output]) -> Vec<Message> {
    let is_wanted = |(to, message): &(u64, Message)| *to == client.0 && message.id == id;
    let wanted = to_clients(outputs).into_iter().filter(is_wanted);
    wanted.map(|(_, message)| message).collect()
}

/// Task 5 of the owner runs on node `a`, over connection 1, and another client is connected.
fn harness_with_running_task() -> Harness {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    harness.input(from_client(OTHER, request(6, "plain")));
    harness.input(from_client(OTHER, end(6)));
    harness
}

/// How the client of task 5 must be notified, and why.
#[derive(Clone, Copy, Debug)]
enum Cause {
    ReportedEnd,
    NodeRefusesConnections,
    NodeHasLeftTheList,
    NodeHasRestarted,
    NodeIsUnreachable,
    Migration,
    EndOfUntrackedTask,
}

const CAUSES: [Cause; 7] = [
    Cause::ReportedEnd,
    Cause::NodeRefusesConnections,
    Cause::NodeHasLeftTheList,
    Cause::NodeHasRestarted,
    Cause::NodeIsUnreachable,
    Cause::Migration,
    Cause::EndOfUntrackedTask,
];

impl Cause {
    fn harness(self) -> Harness {
        let Cause::EndOfUntrackedTask = self else {
            return harness_with_running_task();
        };
        let mut harness = Harness::new();
        harness.input(from_client(OWNER, handover(500, 500, "a")));
        harness.input(Input::NodeConnected(NodeConnectionId(1)));
        // More handovers than can be tracked, from clients with fewer of them than the owner.
        for id in (501..540).chain([5]) {
            harness.input(from_client(OWNER, handover(id, id, "a")));
        }
        for id in 1000..1100 {
            let client = ClientId(100 + id % 10);
            harness.input(from_client(client, handover(id, id, "b")));
        }
        assert!(harness.engine.counters().handovers_dropped > 0);
        harness
    }

    fn notification(self) -> Message {
        match self {
            Cause::ReportedEnd | Cause::EndOfUntrackedTask => end(5),
            Cause::NodeRefusesConnections
            | Cause::NodeHasLeftTheList
            | Cause::NodeHasRestarted
            | Cause::NodeIsUnreachable => cut(5),
            Cause::Migration => Message::new(MessageKind::Move, 5),
        }
    }

    fn happen(self, harness: &mut Harness) -> Vec<Output> {
        let list = |state, started| {
            let nodes = [node_json("a", 1, state, started)];
            Input::EndpointEvents(vec![list_event(2, false, &nodes)])
        };
        match self {
            Cause::ReportedEnd | Cause::EndOfUntrackedTask => harness.input(from_node(end(5))),
            Cause::NodeRefusesConnections => {
                harness.input(connection_broken(1, true));
                let out = harness.advance(S);
                let connection = out.iter().find_map(|output| match output {
                    Output::Connect(connection, _) => Some(*connection),
                    _ => None,
                });
                let connection = connection.expect("no connection to the node was opened");
                harness.input(Input::NodeDisconnected(connection, Disconnect::Refused))
            }
            Cause::NodeHasLeftTheList => {
                harness.input(list("left", 0));
                harness.advance(2 * S)
            }
            Cause::NodeHasRestarted => {
                let started = harness.now / 1000 + 1;
                harness.input(list("active", started))
            }
            Cause::NodeIsUnreachable => harness.advance(6 * S),
            Cause::Migration => harness.take_action(Action::Migrate(RequestId(1))),
        }
    }
}

/// Lets a client open a connection, and send nothing but this message on it.
fn come_back(harness: &mut Harness, connection: ClientId, message: Option<Message>) -> Vec<Output> {
    harness.input(match message {
        Some(message) => from_client(connection, message),
        None => Input::ClientSilent(connection),
    })
}

/// What a client may send first when it comes back. Task 700 is unknown.
fn first_messages() -> [Option<Message>; 8] {
    [
        None,
        Some(test_message()),
        Some(request(7, "plain")),
        Some(request_with_attributes(
            7,
            "cores:1;memory:99999;service:aa",
        )),
        Some(handover(5, 5, "a")),
        Some(handover(700, 700, "b")),
        Some(end(700)),
        Some(Message::new(MessageKind::Progress, 5)),
    ]
}

/// Guards against ends that are sent to one chosen connection, which need not be that of the client.
#[test]
fn ends_reach_all_clients_that_have_come_back_with_new_tasks() {
    const OWNERS: u64 = 12;
    const TASKS_EACH: u64 = 4;
    let mut harness = Harness::new();
    harness.input(from_client(OTHER, handover(9000, 9000, "a")));
    harness.input(Input::NodeConnected(NodeConnectionId(1)));
    let owner = |number| ClientId(10 + number);
    let tasks = |number: u64| (number + 1) * 100..(number + 1) * 100 + TASKS_EACH;
    for number in 0..OWNERS {
        for id in tasks(number) {
            harness.input(from_client(owner(number), handover(id, id, "a")));
        }
    }
    for number in 0..OWNERS {
        harness.input(Input::ClientDisconnected(owner(number)));
    }
    let returned = |number| ClientId(50 + number);
    for number in 0..OWNERS {
        let new_task = request(5000 + number, "plain");
        harness.input(from_client(returned(number), new_task));
    }
    for number in 0..OWNERS {
        for id in tasks(number) {
            let out = harness.input(from_node(end(id)));
            assert_eq!(sent_to(returned(number), id, &out), [end(id)]);
        }
    }
}

/// Guards against a notification that a client misses, whatever it is about, whatever the client sends when it comes back,
/// and whether that is before or after the notification.
#[test]
fn client_that_comes_back_is_notified_once_on_each_connection() {
    for cause in CAUSES {
        for first_message in first_messages() {
            for comes_back_before in [true, false] {
                let context = format!("{cause:?}, {first_message:?}, before: {comes_back_before}");
                let mut harness = cause.harness();
                harness.input(Input::ClientDisconnected(OWNER));
                let (second, third) = (ClientId(300), ClientId(301));
                let mut out = Vec::new();
                if comes_back_before {
                    out.extend(come_back(&mut harness, second, first_message.clone()));
                    out.extend(cause.happen(&mut harness));
                } else {
                    out.extend(cause.happen(&mut harness));
                    out.extend(come_back(&mut harness, second, first_message.clone()));
                }
                let expected = [cause.notification()];
                assert_eq!(sent_to(second, 5, &out), expected, "{context}");
                // It loses this connection as well.
                harness.input(Input::ClientDisconnected(second));
                let out = come_back(&mut harness, third, first_message.clone());
                assert_eq!(sent_to(third, 5, &out), expected, "{context}");
                let out = harness.input(from_client(third, test_message()));
                assert_eq!(sent_to(third, 5, &out), [], "{context}");
            }
        }
    }
}

/// Guards against a handed-over task that is tracked for good although it had ended before, under either id.
#[test]
fn client_that_hands_over_a_task_that_has_ended_is_notified_under_the_id_that_it_uses() {
    for id in [5, 9] {
        let mut harness = harness_with_running_task();
        harness.input(Input::ClientDisconnected(OWNER));
        harness.input(from_node(end(5)));
        let returned = ClientId(3);
        let out = harness.input(from_client(returned, handover(id, 5, "a")));
        assert_eq!(sent_to(returned, id, &out), [end(id)]);
        assert_eq!(sent_to(returned, 5, &out), [end(5)]);
        assert_eq!(harness.engine.running_tasks(), 0);
    }
    // The task runs on another node than the one that ended.
    let mut harness = harness_with_running_task();
    harness.input(Input::ClientDisconnected(OWNER));
    harness.input(from_node(end(5)));
    let out = harness.input(from_client(ClientId(3), handover(9, 5, "b")));
    assert_eq!(to_clients(&out), [(3, end(5))]);
    assert_eq!(harness.engine.running_tasks(), 1);
}

/// Guards against an end that a client takes for the answer to a request with the same id, or for a second answer to it.
#[test]
fn end_is_not_sent_on_a_connection_that_uses_its_id_for_a_request() {
    // `once` is answered at once because the task may have run, `plain` is placed again.
    for class in ["once", "plain"] {
        for is_sent_before_the_end in [true, false] {
            let mut harness = Harness::new();
            harness.submit_and_dispatch(5, class, None);
            let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x");
            harness.input(from_node(answer));
            harness.input(Input::ClientDisconnected(OWNER));
            harness.input(from_client(OTHER, test_message()));
            let reuses = ClientId(3);
            let mut out = Vec::new();
            let request = from_client(reuses, request(5, class));
            if is_sent_before_the_end {
                // The request is queued behind others while the end is read.
                out.extend(harness.engine.handle(harness.now, request));
                out.extend(harness.input(from_node(end(5))));
            } else {
                out.extend(harness.input(from_node(end(5))));
                out.extend(harness.input(request));
            }
            out.extend(harness.input(from_client(reuses, test_message())));
            let answers = sent_to(reuses, 5, &out);
            assert!(answers.len() <= 1, "{class}: {answers:?}");
            assert_eq!(sent_to(OTHER, 5, &out), [end(5)], "{class}");
            // The end of the task that is placed again is one that its client is waiting for.
            if class == "plain" && !is_sent_before_the_end {
                assert_eq!(answers, [], "the request is open");
                harness.dispatch(2, "a", None);
                let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"y");
                let out = harness.input(from_node(answer.clone()));
                assert_eq!(sent_to(reuses, 5, &out), [answer]);
                let out = harness.input(from_node(end(5)));
                assert_eq!(sent_to(reuses, 5, &out), [end(5)]);
            }
        }
    }
}

/// Guards against the end of a handed-over task that its client takes for the answer to a request with the same id, which
/// waits for admission.
#[test]
fn end_of_a_handover_is_not_sent_while_a_request_with_its_id_is_open() {
    let mut harness = Harness::new();
    harness.input(from_client(OWNER, handover(900, 900, "a")));
    harness.input(Input::NodeConnected(NodeConnectionId(1)));
    harness.input(from_node(end(5)));
    let mut out = harness
        .engine
        .handle(harness.now, from_client(OWNER, request(5, "plain")));
    out.extend(
        harness
            .engine
            .handle(harness.now, from_client(OWNER, handover(5, 5, "a"))),
    );
    out.extend(harness.input(from_client(OWNER, test_message())));
    assert_eq!(sent_to(OWNER, 5, &out), []);
    assert_eq!(harness.engine.open_requests(), 1);
}

/// Guards against an end that is lost with the connection on which it was sent.
#[test]
fn end_that_may_be_lost_with_its_connection_is_sent_on_others() {
    for (delay, input, is_sent_again) in [
        (MS, Input::ClientDisconnected(OWNER), true),
        (MS, Input::ClientLeaving(OWNER), true),
        (5 * S, Input::ClientBroken(OWNER), true),
        // It was sent long before the close, and has arrived.
        (5 * S, Input::ClientDisconnected(OWNER), false),
        // Its client has had the time that the platform allows.
        (9 * S, Input::ClientBroken(OWNER), false),
    ] {
        let mut harness = harness_with_running_task();
        let out = harness.input(from_node(end(5)));
        assert_eq!(to_clients(&out), [(OWNER.0, end(5))]);
        harness.advance(delay);
        let context = format!("{input:?} after {delay}");
        let expected = if is_sent_again {
            vec![end(5)]
        } else {
            Vec::new()
        };
        let out = harness.input(input);
        assert_eq!(sent_to(OTHER, 5, &out), expected, "{context}");
        let out = harness.input(from_client(ClientId(3), test_message()));
        assert_eq!(sent_to(ClientId(3), 5, &out), expected, "{context}");
    }
}

/// Guards against an end that is sent on a connection which its client has closed already.
#[test]
fn end_is_sent_on_others_while_its_client_is_leaving() {
    let mut harness = harness_with_running_task();
    harness.input(Input::ClientLeaving(OWNER));
    let out = harness.input(from_node(end(5)));
    assert_eq!(sent_to(OTHER, 5, &out), [end(5)]);
}

/// Guards against notifications that are kept for good, and against connections that get them much later.
#[test]
fn notification_is_sent_on_connections_that_are_opened_while_it_is_kept() {
    for (delay, expected) in [(7 * S, vec![end(5)]), (9 * S, Vec::new())] {
        let mut harness = harness_with_running_task();
        harness.input(Input::ClientDisconnected(OWNER));
        harness.input(from_node(end(5)));
        harness.advance(delay);
        let out = harness.input(from_client(ClientId(3), test_message()));
        assert_eq!(sent_to(ClientId(3), 5, &out), expected);
    }
}

/// Guards against clients that hand over tasks which no node runs, and thereby keep an end from its client.
#[test]
fn ends_reach_their_client_although_others_have_handed_over_unknown_tasks() {
    for (node, then) in [("b", end(9)), ("b", handover(9, 9, "b")), ("x", end(9))] {
        let mut harness = harness_with_running_task();
        harness.input(Input::ClientDisconnected(OWNER));
        harness.input(from_client(ClientId(3), handover(9, 9, node)));
        harness.input(from_client(ClientId(3), then));
        harness.input(from_node(end(5)));
        let out = harness.input(from_client(ClientId(4), request(8, "plain")));
        assert_eq!(to_clients(&out), [(4, end(5))]);
    }
}

/// Guards against a client that is not notified of the end of a task on a node that the list has never shown.
#[test]
fn end_of_a_task_on_a_node_that_was_never_listed_reaches_its_client() {
    let mut harness = Harness::new();
    harness.input(from_client(OWNER, handover(9, 9, "unlisted")));
    harness.input(from_client(OTHER, test_message()));
    harness.input(Input::ClientDisconnected(OWNER));
    assert_eq!(to_clients(&harness.advance(5 * S)), [(OTHER.0, cut(9))]);
    assert_eq!(harness.engine.running_tasks(), 0);
    let out = harness.input(from_client(ClientId(3), request(8, "plain")));
    assert_eq!(to_clients(&out), [(3, cut(9))]);
    let out = harness.input(from_client(ClientId(4), handover(10, 9, "unlisted")));
    assert_eq!(to_clients(&out), [(4, cut(10)), (4, cut(9))]);
}

/// Guards against a client that withdraws its request at once, or is over a limit, and misses an end.
#[test]
fn client_whose_request_is_withdrawn_or_over_a_limit_is_notified_of_the_ends_it_missed() {
    let harness_with_missed_end = || {
        let mut harness = Harness::new();
        harness.submit_and_place(5);
        harness.input(Input::ClientDisconnected(OWNER));
        let out = harness.input(from_node(end(5)));
        assert_eq!(to_clients(&out), [], "no client is connected");
        harness
    };
    let message = |id| from_client(OTHER, request(id, "plain"));
    let mut harness = harness_with_missed_end();
    let mut out = harness.engine.handle(harness.now, message(7));
    out.extend(harness.input(from_client(OTHER, end(7))));
    assert_eq!(to_clients(&out), [(OTHER.0, end(5))]);
    // Over the limit on open requests of one connection, all of them received by the time of the first admission.
    let mut harness = harness_with_missed_end();
    let mut out = Vec::new();
    for id in 10..10 + 2 * bounds().open_requests_per_client as u64 {
        out.extend(harness.engine.handle(harness.now, message(id)));
    }
    assert!(out.contains(&Output::NotificationsPending));
    out.extend(harness.input(Input::AdmitNext));
    assert_eq!(sent_to(OTHER, 5, &out), [end(5)]);
}

/// Guards against notifications that use memory without limit, and against a large number of them sent at a time to a
/// client that may not read.
#[test]
fn kept_notifications_and_those_sent_at_a_time_are_limited() {
    const MAX_SENT_AT_A_TIME: usize = 256;
    let mut harness = Harness::with_bounds(Bounds {
        running_tasks: 1000,
        kept_notifications: 300,
        ..bounds()
    });
    for id in 1..=400 {
        harness.input(from_client(OWNER, handover(id, id, "a")));
    }
    harness.input(Input::ClientDisconnected(OWNER));
    let out = harness.advance(6 * S);
    assert!(out.is_empty() || to_clients(&out).is_empty());
    assert_eq!(harness.engine.counters().notifications_dropped, 100);
    let silent = Input::ClientSilent(OTHER);
    harness.engine.handle(harness.now, silent);
    let mut sent = Vec::new();
    while let Some(client) = harness.engine.clients_to_notify().first().copied() {
        let input = Input::SendNotifications(client);
        let out = to_clients(&harness.engine.handle(harness.now, input));
        assert!(out.len() <= MAX_SENT_AT_A_TIME);
        sent.extend(out);
    }
    let expected: Vec<(u64, Message)> = (101..=400).map(|id| (OTHER.0, cut(id))).collect();
    assert_eq!(sent, expected);
}
