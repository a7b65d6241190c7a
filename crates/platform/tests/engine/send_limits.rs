//! Attempts that wait between the scheduler's decision and their sending: for a connection, or for a full socket.

use super::harness::*;

const REQUEST: u64 = 5;
/// Time within which the attempt may be sent.
const SEND_WITHIN: Micros = 300 * MS;

/// A request that is dispatched to node `a`, whose connection 1 is not established yet.
fn dispatched_within_limit() -> Harness {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(ClientId(1), request(REQUEST, "keyed")));
    harness.dispatch_within(1, "a", SEND_WITHIN);
    harness
}

fn connected() -> Input {
    Input::NodeConnected(NodeConnectionId(1))
}

fn has_close_unless_written(outputs: &[Output]) -> bool {
    outputs
        .iter()
        .any(|output| matches!(output, Output::CloseUnlessWritten(NodeConnectionId(1), _)))
}

/// The number of bytes that must have been written for the connection to stay open.
fn bytes_required(outputs: &[Output]) -> Vec<u64> {
    let required = |output: &Output| match output {
        Output::CloseUnlessWritten(NodeConnectionId(1), bytes) => Some(*bytes),
        _ => None,
    };
    outputs.iter().filter_map(required).collect()
}

/// Guards against a keyed task that is sent after its window because its connection is established late (review case 7).
#[test]
fn attempt_is_not_sent_after_its_send_limit_when_its_connection_is_late() {
    let mut harness = dispatched_within_limit();
    assert!(to_nodes(&harness.advance(SEND_WITHIN + 10 * MS)).is_empty());
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::Unreachable, false)]
    );
    assert!(to_nodes(&harness.input(connected())).is_empty());
}

/// Guards against the same where the loop is late, so that the connection is handled before the timer.
#[test]
fn attempt_is_not_sent_after_its_send_limit_when_the_timer_is_late() {
    let mut harness = dispatched_within_limit();
    harness.now += SEND_WITHIN;
    assert!(to_nodes(&harness.input(connected())).is_empty());
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::Unreachable, false)]
    );
}

/// Guards against an attempt that is sent when it has timed out already, by a late loop.
#[test]
fn attempt_is_not_sent_after_its_timeout_when_the_timer_is_late() {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(ClientId(1), request(REQUEST, "once")));
    harness.dispatch(1, "a", Some(SEND_WITHIN));
    harness.now += SEND_WITHIN;
    assert!(to_nodes(&harness.input(connected())).is_empty());
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::Unreachable, false)]
    );
}

/// Guards against a limit that ends an attempt which was sent in time.
#[test]
fn attempt_that_was_sent_in_time_keeps_its_timeout() {
    let mut harness = dispatched_within_limit();
    assert_eq!(to_nodes(&harness.input(connected())).len(), 1);
    harness.advance(CLIENT_TIMEOUT / 2);
    assert_eq!(harness.take_attempt_ends(), []);
    let answer = Message::new(MessageKind::Answer, REQUEST).with(code::DESCRIPTION, b"x");
    let out = harness.input(Input::NodeMessage(NodeConnectionId(1), answer.clone()));
    assert_eq!(to_clients(&out), [(1, answer)]);
}

/// Guards against an attempt that waits for a full socket and is written after its send limit, wholly or in part.
#[test]
fn connection_whose_socket_has_not_taken_the_attempt_is_closed_at_the_send_limit() {
    let mut harness = dispatched_within_limit();
    let out = harness.input(connected());
    let [Output::SendToNode(_, frame)] = &out[..] else {
        panic!("{out:?}")
    };
    let out = harness.advance(SEND_WITHIN);
    assert_eq!(bytes_required(&out), [frame.len() as u64]);
    // Nothing of it was written, so that it cannot have run.
    let disconnect = Disconnect::Broken {
        bytes_written: 0,
        is_clean: false,
    };
    harness.input(Input::NodeDisconnected(NodeConnectionId(1), disconnect));
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::Unreachable, false)]
    );
}

/// Guards against a check for an attempt that is no longer open.
#[test]
fn connection_is_not_closed_at_the_send_limit_of_an_answered_attempt() {
    let mut harness = dispatched_within_limit();
    harness.input(connected());
    let answer = Message::new(MessageKind::Answer, REQUEST).with(code::DESCRIPTION, b"x");
    harness.input(Input::NodeMessage(NodeConnectionId(1), answer));
    assert!(!has_close_unless_written(&harness.advance(SEND_WITHIN)));
}

/// Guards against an attempt that waits for a full socket and is written after its node has begun to drain. The time of a
/// send counts from its first byte.
#[test]
fn connection_whose_socket_has_not_begun_the_attempt_is_closed_when_its_node_drains() {
    for state in ["leaving", "left"] {
        let mut harness = dispatched_within_limit();
        harness.input(connected());
        let list = list_event(2, false, &[node_json("a", 1, state, 0)]);
        let out = harness.input(Input::EndpointEvents(vec![list]));
        assert_eq!(bytes_required(&out), [1], "{state}");
    }
}

/// Guards against an attempt that waits for the connection to a node which has begun to drain before the attempt was
/// queued: the scheduler's decision and the list came in the same batch.
#[test]
fn attempt_decided_before_its_node_drained_does_not_wait_for_a_connection() {
    for state in ["leaving", "left"] {
        let mut harness = Harness::new();
        harness.input(Input::ClientMessage(ClientId(1), request(REQUEST, "once")));
        harness.actions.borrow_mut().push(Action::Dispatch {
            request: RequestId(1),
            node: node_id("a"),
            timeout: None,
            send_by: None,
        });
        let list = list_event(2, false, &[node_json("a", 1, state, 0)]);
        harness.input(Input::EndpointEvents(vec![list]));
        harness.advance(2 * MS);
        let out = harness.input(connected());
        assert!(to_nodes(&out).is_empty(), "{state}: {out:?}");
        assert_eq!(
            harness.take_attempt_ends(),
            [(1, 0, AttemptOutcome::Unreachable, false)],
            "{state}"
        );
    }
}
