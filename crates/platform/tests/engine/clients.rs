//! Client disconnects, and notifications of task ends.

use super::harness::*;

#[test]
fn client_disconnect_cancels_its_open_request_and_attempt() {
    let mut harness = Harness::new();
    harness.submit_and_dispatch(5, "plain", None);
    harness.advance(2 * MS);
    harness.take_events();
    let out = harness.input(Input::ClientDisconnected(ClientId(1)));
    assert_eq!(to_nodes(&out), [(1, Message::release(5, cause::ORDINARY))]);
    harness.advance(2 * MS);
    let events = harness.take_events();
    assert_eq!(events[0], Event::RequestCancelled(RequestId(1)));
    assert!(
        matches!(
            events[1],
            Event::AttemptEnded {
                outcome: AttemptOutcome::Cancelled,
                is_final: true,
                ..
            }
        ),
        "{events:?}"
    );
    assert!(to_clients(&harness.take_action(Action::Fail(RequestId(1)))).is_empty());
    assert_eq!(harness.engine.open_requests(), 0);
}

#[test]
fn end_is_notified_on_a_later_client_connection_when_its_own_is_closed() {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    harness.input(Input::ClientDisconnected(ClientId(1)));
    assert_eq!(harness.take_attempt_ends(), [], "the task is still running");
    let end = Message::release(5, cause::ORDINARY);
    assert!(
        to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), end.clone()))).is_empty(),
        "no client is connected"
    );
    let out = harness.input(Input::ClientMessage(ClientId(2), request(6, "plain")));
    assert_eq!(to_clients(&out), [(2, end)]);
}

#[test]
fn notification_sent_just_before_a_client_disconnect_is_sent_again_to_another_client() {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    harness.input(Input::ClientMessage(ClientId(2), request(6, "plain")));
    let end = Message::release(5, cause::ORDINARY);
    assert_eq!(
        to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), end.clone()))),
        [(1, end.clone())]
    );
    // The notification may have been sent just before the close, or dropped with the connection's unsent bytes.
    assert_eq!(
        to_clients(&harness.input(Input::ClientDisconnected(ClientId(1)))),
        [(2, end)]
    );
    // A notification that was sent long before the disconnect has arrived.
    harness.advance(5 * S);
    assert!(to_clients(&harness.input(Input::ClientDisconnected(ClientId(2)))).is_empty());
}

/// Task 5 of client 1, whose connection is closed, has ended while no client was connected.
fn harness_with_undelivered_end() -> Harness {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    harness.input(Input::ClientMessage(ClientId(1), request(6, "plain")));
    harness.dispatch(2, "a", None);
    let answer = Message::new(MessageKind::Answer, 6).with(code::DESCRIPTION, b"here");
    harness.input(Input::NodeMessage(NodeConnectionId(1), answer));
    harness.input(Input::ClientDisconnected(ClientId(1)));
    let out = harness.input(Input::NodeMessage(NodeConnectionId(1), end(5)));
    assert!(to_clients(&out).is_empty(), "no client is connected");
    harness
}

fn end(id: u64) -> Message {
    Message::release(id, cause::ORDINARY)
}

fn handover(id: u64, task: u64, node: &str) -> Message {
    let attributes = format!("cores:1;memory:2;service:aa;at:{node}");
    let message = Message::new(MessageKind::SetUp, id).with(code::CLASS, b"plain");
    message
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{task:016x}").as_bytes())
        .with(code::FIGURES, attributes.as_bytes())
}

/// Guards against a client that comes back without a new request and is never notified of the ends that it missed.
#[test]
fn client_that_refers_to_one_of_its_tasks_is_notified_of_the_ends_it_missed() {
    let too_large = request_with_attributes(7, "cores:1;memory:99999;service:aa");
    let messages = [
        ("release of a running task", end(6), true),
        ("release of the task that ended", end(5), false),
        ("handover under the same id", handover(6, 6, "a"), true),
        ("handover under a new id", handover(9, 6, "a"), true),
        ("handover of the task that ended", handover(9, 5, "b"), true),
        ("valid request", request(7, "plain"), true),
        ("connection test", Message::new(MessageKind::Test, 1), false),
        ("release of an unknown task", end(77), false),
        ("handover of an unknown task", handover(9, 9, "b"), false),
        ("handover on another node", handover(6, 6, "b"), false),
        ("invalid request", too_large, false),
        ("progress", Message::new(MessageKind::Progress, 6), false),
        ("task update", Message::new(MessageKind::Note, 6), false),
    ];
    for (name, message, is_notified) in messages {
        let mut harness = harness_with_undelivered_end();
        let out = harness.input(Input::ClientMessage(ClientId(2), message));
        let notified = to_clients(&out).contains(&(2, end(5)));
        assert_eq!(notified, is_notified, "{name}: {out:?}");
    }
}

/// Guards against an end that is lost with the connection on which a client came back.
#[test]
fn end_delivered_to_a_returning_client_is_kept_if_its_connection_closes_directly_after() {
    for message in [end(6), handover(6, 6, "a"), request(7, "plain")] {
        let mut harness = harness_with_undelivered_end();
        harness.input(Input::ClientMessage(ClientId(2), message.clone()));
        harness.input(Input::ClientDisconnected(ClientId(2)));
        let out = harness.input(Input::ClientMessage(ClientId(3), request(8, "plain")));
        assert!(
            to_clients(&out).contains(&(3, end(5))),
            "{message:?}: {out:?}"
        );
    }
}

/// Guards against an end that only a stranger is notified of: another client was connected when the task ended.
#[test]
fn end_sent_to_another_client_is_also_sent_to_its_own_client_when_that_comes_back() {
    for message in [end(6), handover(6, 6, "a"), handover(9, 6, "a")] {
        let mut harness = Harness::new();
        harness.submit_and_place(5);
        harness.input(Input::ClientMessage(ClientId(1), request(6, "plain")));
        harness.dispatch(2, "a", None);
        let answer = Message::new(MessageKind::Answer, 6).with(code::DESCRIPTION, b"here");
        harness.input(Input::NodeMessage(NodeConnectionId(1), answer));
        harness.input(Input::ClientMessage(ClientId(2), request(7, "plain")));
        harness.input(Input::ClientDisconnected(ClientId(1)));
        let out = harness.input(Input::NodeMessage(NodeConnectionId(1), end(5)));
        assert_eq!(to_clients(&out), [(2, end(5))]);
        let out = harness.input(Input::ClientMessage(ClientId(3), message.clone()));
        assert_eq!(to_clients(&out), [(3, end(5))], "{message:?}");
        // It is not sent again on either connection.
        let out = harness.input(Input::ClientMessage(ClientId(2), end(6)));
        assert!(!to_clients(&out).contains(&(2, end(5))), "{out:?}");
    }
}

/// Guards against ends that go to a stranger although their client has come back over a new connection.
#[test]
fn later_ends_follow_a_client_that_has_referred_to_one_of_its_tasks() {
    let mut harness = harness_with_undelivered_end();
    harness.input(Input::ClientMessage(ClientId(2), handover(6, 6, "a")));
    harness.input(Input::ClientMessage(ClientId(3), request(8, "plain")));
    let out = harness.input(Input::NodeMessage(NodeConnectionId(1), end(6)));
    assert_eq!(to_clients(&out), [(2, end(6))]);
}

/// Guards against ends that go to a client which has only handed over tasks that no node runs, so that the client of
/// the task is not notified.
#[test]
fn client_that_has_only_handed_over_unknown_tasks_is_not_notified_of_others() {
    for (node, then) in [("b", end(9)), ("b", handover(9, 9, "b")), ("x", end(9))] {
        let mut harness = harness_with_undelivered_end();
        let mut out = harness.input(Input::ClientMessage(ClientId(2), handover(9, 9, node)));
        out.extend(harness.input(Input::ClientMessage(ClientId(2), then)));
        let update = harness.input(Input::NodeMessage(NodeConnectionId(1), end(6)));
        out.extend(update);
        assert!(to_clients(&out).is_empty(), "{out:?}");
        let out = harness.input(Input::ClientMessage(ClientId(3), request(8, "plain")));
        assert_eq!(to_clients(&out), [(3, end(5)), (3, end(6))]);
    }
}

/// Guards against the ends of tasks that no node ever ran going to other clients, which do not know them.
#[test]
fn end_of_a_task_on_a_node_that_was_never_listed_goes_to_its_own_client_only() {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(ClientId(1), handover(9, 9, "made-up")));
    harness.input(Input::ClientMessage(ClientId(2), request(7, "plain")));
    harness.input(Input::ClientDisconnected(ClientId(1)));
    assert!(to_clients(&harness.advance(5 * S)).is_empty());
    assert_eq!(harness.engine.running_tasks(), 0);
    let out = harness.input(Input::ClientMessage(ClientId(3), request(8, "plain")));
    assert!(to_clients(&out).is_empty(), "{out:?}");
    let out = harness.input(Input::ClientMessage(
        ClientId(4),
        handover(10, 9, "made-up"),
    ));
    assert_eq!(to_clients(&out), [(4, Message::release(9, cause::CUT))]);
}

/// Guards against a migration that no client is asked for because the connection is closed.
#[test]
fn migration_is_notified_on_a_later_client_connection_when_its_own_is_closed() {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    harness.input(Input::ClientDisconnected(ClientId(1)));
    let out = harness.take_action(Action::Migrate(RequestId(1)));
    assert!(to_clients(&out).is_empty(), "no client is connected");
    let out = harness.input(Input::ClientMessage(ClientId(2), request(6, "plain")));
    let migration = Message::new(MessageKind::Move, 5);
    assert_eq!(to_clients(&out), [(2, migration)]);
}

/// Guards against a client that withdraws its request at once and is not notified of the ends that it missed.
#[test]
fn client_whose_request_is_withdrawn_or_over_a_limit_is_notified_of_the_ends_it_missed() {
    let mut harness = harness_with_undelivered_end();
    let message = |id| Input::ClientMessage(ClientId(2), request(id, "plain"));
    harness.engine.handle(harness.now, message(7));
    let out = harness.input(Input::ClientMessage(ClientId(2), end(7)));
    assert_eq!(to_clients(&out), [(2, end(5))]);
    // Over the limit on open requests of one connection, all of them received by the time of the first admission.
    let mut harness = harness_with_undelivered_end();
    let mut out = Vec::new();
    for id in 10..10 + 2 * bounds().open_requests_per_client as u64 {
        out.extend(harness.engine.handle(harness.now, message(id)));
    }
    assert!(to_clients(&out).contains(&(2, end(5))), "{out:?}");
}
