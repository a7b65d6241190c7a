//! Messages that may belong to one of several attempts at the same node.

use super::harness::*;

#[test]
fn late_message_of_an_earlier_attempt_does_not_affect_the_current_one() {
    let mut harness = Harness::new();
    harness.dispatched(5, "plain", Some(300 * MS));
    let out = to_nodes(&harness.advance(400 * MS));
    assert_eq!(
        out,
        [(1, Message::release(5, cause::ORDINARY))],
        "cancelled at its time-out"
    );
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::TimedOut, false)]
    );
    // The second attempt is sent over another connection, so that messages can be told apart.
    let out = harness.dispatch(1, "a", None);
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(2), _)]),
        "{out:?}"
    );
    harness.input(Input::NodeConnected(NodeConnectionId(2)));
    let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"late");
    assert!(
        to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), answer.clone())))
            .is_empty()
    );
    harness.input(Input::NodeMessage(
        NodeConnectionId(1),
        Message::release(5, cause::CUT),
    ));
    assert_eq!(harness.take_attempt_ends(), []);
    // Nor does it end the running task: its node has the current attempt's connection, as a health check there shows.
    let out = harness.input(Input::NodeMessage(NodeConnectionId(2), answer.clone()));
    assert_eq!(to_clients(&out), [(1, answer)]);
    let [(2, test)] = &to_nodes(&out)[..] else {
        panic!("{out:?}")
    };
    assert_eq!(test.kind, MessageKind::Test);
    let passed = Message::new(MessageKind::Tested, test.id).with(code::CAUSE, &[1]);
    assert!(to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(2), passed))).is_empty());
    assert!(to_clients(&harness.advance(S)).is_empty());
    assert_eq!(harness.take_attempt_ends(), []);
}

#[test]
fn ambiguous_end_is_accepted_in_time_and_the_task_cancelled() {
    // Seen on split+mass: nodes close the idle connection of the attempt that placed the task, and report the end over that
    // of the attempt before it. Dropped as the earlier attempt's, the end was notified to nobody.
    // The current attempt's connection is closed: no health check can resolve the ambiguity.
    let end = Message::release(5, cause::ORDINARY);
    let mut harness = Harness::new();
    harness.placed_at_second_attempt();
    harness.input(broken(2, true));
    let out = harness.input(Input::NodeMessage(NodeConnectionId(1), end.clone()));
    assert_eq!(to_clients(&out), [(1, end.clone())]);
    assert_eq!(
        to_nodes_without_checks(&out),
        [(1, end.clone())],
        "nothing may run on there under its id"
    );
    // It is established, but the node does not answer on it.
    let mut harness = Harness::new();
    harness.placed_at_second_attempt();
    assert!(
        to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), end.clone()))).is_empty()
    );
    assert!(to_clients(&harness.advance(400 * MS)).is_empty());
    let out = harness.advance(200 * MS);
    assert_eq!(
        to_clients(&out),
        [(1, end.clone())],
        "within the second that the platform gives"
    );
    assert!(to_nodes(&out).contains(&(2, end)), "{out:?}");
}

#[test]
fn repeated_end_of_an_earlier_attempt_does_not_end_the_attempt_on_the_new_connection() {
    let mut harness = Harness::new();
    harness.dispatched_at_second_attempt();
    harness.take_attempt_ends();
    // Nodes report an end again over the next connection that is opened, before they have read what comes over it.
    harness.input(Input::NodeMessage(
        NodeConnectionId(2),
        Message::release(5, cause::ORDINARY),
    ));
    assert_eq!(harness.take_attempt_ends(), [], "the attempt stays open");
    let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x");
    assert_eq!(
        to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(2), answer.clone()))),
        [(1, answer)]
    );
    // A release with this cause may be about either: the attempt ends for the module, and is cancelled at its node.
    let mut harness = Harness::new();
    harness.dispatched_at_second_attempt();
    harness.take_attempt_ends();
    let out = harness.input(Input::NodeMessage(
        NodeConnectionId(2),
        Message::release(5, cause::CUT),
    ));
    assert_eq!(to_nodes(&out), [(2, Message::release(5, cause::ORDINARY))]);
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 1, AttemptOutcome::Lost, false)]
    );
}
