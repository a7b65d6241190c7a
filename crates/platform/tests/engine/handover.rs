//! Running tasks that clients hand over.

use super::harness::*;

#[test]
fn running_task_is_adopted_once_and_its_handover_is_not_answered() {
    let mut harness = Harness::new();
    let handover = request_with_attributes(5, "cores:1;memory:2;service:aa;at:b");
    let out = harness.input(Input::ClientMessage(ClientId(1), handover.clone()));
    assert!(to_clients(&out).is_empty());
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(1), a)] if a.port() == 2),
        "its end needs a connection: {out:?}"
    );
    let out = harness.input(Input::ClientMessage(ClientId(1), handover));
    assert!(out.is_empty(), "known already: {out:?}");
    harness.advance(2 * MS);
    let events = harness.take_events();
    let b = node_id("b");
    assert!(
        matches!(events[..], [Event::RunningTask { node, .. }] if node == b),
        "{events:?}"
    );
    harness.input(Input::NodeConnected(NodeConnectionId(1)));
    let end = Message::release(5, cause::CUT).with(code::NOTE, b"evicted");
    assert_eq!(
        to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), end))),
        [(1, Message::release(5, cause::CUT))]
    );
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::Lost, true)]
    );
}

/// A client that never learned where its task runs finds it at its node and hands it over under a new id, which the node
/// uses from then on. If the handover were ignored because the task is known, that id would be unknown when the end is
/// reported, and nobody would be notified.
#[test]
fn task_handed_over_under_another_id_ends_under_that_id() {
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
    // A message that crosses the handover carries the previous id.
    for said in [6, 5] {
        let mut harness = Harness::new();
        harness.placed(5);
        assert!(
            harness
                .input(Input::ClientMessage(ClientId(2), handed_over()))
                .is_empty()
        );
        assert_eq!(
            to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), end(said)))),
            [(2, end(6))]
        );
        assert_eq!(
            (harness.take_attempt_ends(), harness.engine.running_tasks()),
            (vec![(1, 0, AttemptOutcome::Completed, true)], 0)
        );
    }
    // The task was cancelled or notified as ended, and its node has not read the cancel yet.
    let mut harness = Harness::new();
    harness.placed(5);
    harness.input(Input::ClientMessage(ClientId(1), end(5)));
    let out = harness.input(Input::ClientMessage(ClientId(2), handed_over()));
    assert_eq!(
        (to_clients(&out), to_nodes_without_checks(&out)),
        (vec![(2, under(6))], vec![(1, end(6))])
    );
    let Some((1, test)) = to_nodes(&out).pop() else {
        panic!("{out:?}")
    };
    harness.input(Input::NodeMessage(
        NodeConnectionId(1),
        Message::new(MessageKind::Tested, test.id),
    ));
    assert_eq!(
        (harness.take_attempt_ends(), harness.engine.running_tasks()),
        (vec![(1, 0, AttemptOutcome::Cancelled, true)], 0)
    );
}

#[test]
fn unlisted_node_is_connected_once_listed_and_otherwise_forgotten() {
    let mut harness = Harness::new();
    let on = |id, node: &str| {
        request_with_attributes(id, &format!("cores:1;memory:2;service:aa;at:{node}"))
    };
    assert!(
        harness
            .input(Input::ClientMessage(ClientId(1), on(5, "new")))
            .is_empty(),
        "its address is not known"
    );
    let out = harness.input(Input::EndpointEvents(vec![list_event(
        2,
        false,
        &[node_json("new", 9, "active", 0)],
    )]));
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(1), a)] if a.port() == 9),
        "{out:?}"
    );
    harness.input(Input::NodeConnected(NodeConnectionId(1)));
    harness.input(Input::NodeMessage(
        NodeConnectionId(1),
        Message::release(5, cause::ORDINARY),
    ));
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::Completed, true)]
    );
    // A node that is never listed counts as unreachable in time, and nothing of it is kept.
    harness.input(Input::ClientMessage(ClientId(1), on(6, "made-up")));
    assert_eq!(
        to_clients(&harness.advance(5 * S)),
        [(1, Message::release(6, cause::CUT))]
    );
    assert_eq!(
        (
            harness.engine.running_tasks(),
            harness.engine.known_nodes(),
            harness.engine.next_wake()
        ),
        (0, 3, None)
    );
    harness.input(Input::ClientMessage(ClientId(1), on(7, &"x".repeat(65))));
    assert_eq!(
        (harness.engine.running_tasks(), harness.engine.known_nodes()),
        (0, 3),
        "no node name is that long"
    );
}
