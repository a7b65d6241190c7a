//! Dispatch, timeout and end of attempts.

use super::harness::*;
use std::collections::BTreeMap;

#[test]
fn request_and_answer_are_forwarded_unchanged_and_once() {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(ClientId(1), request(0xabc, "keyed")));
    let out = harness.dispatch(1, "a", None);
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(1), address)] if address.port() == 1),
        "{out:?}"
    );
    let out = to_nodes(&harness.input(Input::NodeConnected(NodeConnectionId(1))));
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
    let out = to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), answer.clone())));
    assert_eq!(out, [(1, answer.clone())]);
    // Neither a duplicate nor an answer to an unknown request is forwarded.
    assert!(to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), answer))).is_empty());
    let unknown = Message::new(MessageKind::Answer, 0xdef).with(code::DESCRIPTION, b"ahead");
    assert!(
        to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), unknown))).is_empty()
    );
    harness.advance(2 * MS);
    let events = harness.take_events();
    let placed = events
        .iter()
        .filter(|e| matches!(e, Event::Placed { attempt: 0, .. }))
        .count();
    assert_eq!(placed, 1, "{events:?}");
}

#[test]
fn outcome_reason_and_load_report_of_a_node_reach_the_scheduler() {
    let mut harness = Harness::new();
    harness.submit_and_dispatch(5, "once", None);
    let full = Message::release(5, cause::FULL)
        .with(code::NOTE, b"no_memory")
        .with(code::REPORT, b"x0:1.5;x1:-2;cpu:0.25;waiting:3;other:9");
    harness.input(Input::NodeMessage(NodeConnectionId(1), full));
    harness.advance(2 * MS);
    let ended = harness.take_events().into_iter().find_map(|e| match e {
        Event::AttemptEnded {
            outcome,
            reason,
            is_final,
            load,
            ..
        } => Some((outcome, reason, is_final, load)),
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
        harness.input(Input::ClientMessage(
            ClientId(1),
            request(10 + attempt as u64, "once"),
        ));
        harness.dispatch(2 + attempt as u64, "a", None);
        harness.input(Input::NodeMessage(
            NodeConnectionId(1),
            Message::release(10 + attempt as u64, cause),
        ));
        assert_eq!(
            harness.take_attempt_ends(),
            [(2 + attempt as u64, 0, outcome, false)]
        );
    }
}

#[test]
fn disconnect_distinguishes_sent_from_unsent_attempts() {
    for (bytes_written, outcome) in [(0, AttemptOutcome::Unreachable), (1, AttemptOutcome::Lost)] {
        let mut harness = Harness::new();
        harness.submit_and_dispatch(5, "once", None);
        harness.input(Input::NodeDisconnected(
            NodeConnectionId(1),
            Disconnect::Broken {
                bytes_written,
                is_clean: true,
            },
        ));
        assert_eq!(
            harness.take_attempt_ends(),
            [(1, 0, outcome, false)],
            "{bytes_written} bytes written"
        );
    }
    for disconnect in [Disconnect::Refused, Disconnect::ConnectFailed] {
        let mut harness = Harness::new();
        harness.input(Input::ClientMessage(ClientId(1), request(5, "once")));
        harness.dispatch(1, "a", None);
        harness.input(Input::NodeDisconnected(NodeConnectionId(1), disconnect));
        assert_eq!(
            harness.take_attempt_ends(),
            [(1, 0, AttemptOutcome::Unreachable, false)],
            "{disconnect:?}"
        );
    }
}

#[test]
fn attempt_ends_as_unreachable_when_its_connection_is_not_established_in_time() {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(ClientId(1), request(5, "once")));
    harness.dispatch(1, "a", Some(50 * MS));
    assert!(to_nodes(&harness.advance(100 * MS)).is_empty());
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::Unreachable, false)]
    );
    assert!(
        to_nodes(&harness.input(Input::NodeConnected(NodeConnectionId(1)))).is_empty(),
        "the attempt has ended and is not sent"
    );
}

#[test]
fn attempt_timeout_is_capped_by_the_client_deadline() {
    let mut harness = Harness::new();
    harness.submit_and_dispatch(5, "plain", Some(3600 * S));
    harness.advance(CLIENT_TIMEOUT - 100 * MS);
    assert_eq!(harness.take_attempt_ends(), []);
    harness.advance(100 * MS);
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 0, AttemptOutcome::TimedOut, false)]
    );
    // The scheduler answers immediately, and the answer is sent in the same call.
    let out = harness.take_action(Action::Fail(RequestId(1)));
    assert_eq!(to_clients(&out), [(1, Message::release(5, cause::CUT))]);
    assert!(
        to_clients(&harness.take_action(Action::Fail(RequestId(1)))).is_empty(),
        "the client must be answered only once"
    );
}

#[test]
fn dispatch_is_not_sent_when_the_request_has_an_open_attempt_or_is_completed() {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(ClientId(1), request(5, "plain")));
    harness.dispatch(1, "a", None);
    harness.dispatch(1, "b", None);
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 1, AttemptOutcome::NotSent, false)],
        "one attempt is open at a time"
    );
    // The client cancels while the scheduler dispatches again in the same batch.
    harness.input(Input::NodeDisconnected(
        NodeConnectionId(1),
        Disconnect::ConnectFailed,
    ));
    harness.advance(2 * MS);
    harness.take_events();
    harness.now += 10 * MS;
    harness.actions.borrow_mut().push(Action::Dispatch {
        request: RequestId(1),
        node: node_id("a"),
        timeout: None,
        send_by: None,
    });
    let out = harness.input(Input::ClientMessage(
        ClientId(1),
        Message::release(5, cause::ORDINARY),
    ));
    assert!(
        to_nodes(&out).is_empty() && !out.iter().any(|o| matches!(o, Output::Connect(..))),
        "{out:?}"
    );
    assert_eq!(
        harness.take_attempt_ends(),
        [(1, 2, AttemptOutcome::NotSent, true)]
    );
}
