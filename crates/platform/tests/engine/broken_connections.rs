//! What the scheduler learns of broken connections to nodes, whose addresses other nodes may have taken over.

use super::harness::*;

const CONNECTION: NodeConnectionId = NodeConnectionId(1);

fn is_break(event: &Event) -> bool {
    *event == Event::NodeConnectionsBroken { node: node_id("a") }
}

/// Guards against a retry on a node that may be another one: the scheduler must learn of the break before the attempt ends.
#[test]
fn scheduler_learns_that_the_last_connection_to_a_node_broke() {
    let broken = |bytes_written, is_clean| Disconnect::Broken {
        bytes_written,
        is_clean,
    };
    for (has_attempt, disconnect, is_reported) in [
        (true, broken(99, true), true),
        (true, broken(99, false), true),
        (false, broken(99, false), true),
        (false, Disconnect::Refused, true),
        // Nodes close idle connections.
        (false, broken(99, true), false),
    ] {
        let mut harness = Harness::new();
        harness.submit_and_dispatch(5, "keyed", None);
        if !has_attempt {
            let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x");
            harness.input(Input::NodeMessage(CONNECTION, answer));
        }
        harness.advance(2 * MS);
        harness.take_events();
        harness.input(Input::NodeDisconnected(CONNECTION, disconnect));
        harness.advance(2 * MS);
        let events = harness.take_events();
        let broken_at = events.iter().position(is_break);
        assert_eq!(
            broken_at.is_some(),
            is_reported,
            "{disconnect:?}: {events:?}"
        );
        let ended_at = events
            .iter()
            .position(|event| matches!(event, Event::AttemptEnded { .. }));
        if has_attempt {
            assert!(broken_at < ended_at, "{events:?}");
        }
    }
}

/// Guards against a node that is avoided although another connection to its process is established.
#[test]
fn scheduler_does_not_learn_of_a_break_while_another_connection_is_established() {
    let mut harness = Harness::new();
    harness.dispatch_second_attempt();
    harness.take_events();
    harness.input(connection_broken(1, false));
    harness.advance(2 * MS);
    let events = harness.take_events();
    assert!(!events.iter().any(is_break), "{events:?}");
}

/// Guards against a keyed task that was decided to be sent before the connection broke, and waits for a new connection,
/// which may lead to another node.
#[test]
fn keyed_task_that_may_have_run_does_not_wait_for_a_connection_to_a_node_that_may_be_another() {
    for (class, is_sent) in [("keyed", false), ("plain", true)] {
        let mut harness = Harness::new();
        harness.submit_and_dispatch(5, class, Some(300 * MS));
        harness.advance(400 * MS);
        harness.dispatch(1, "a", None);
        harness.input(connection_broken(1, false));
        harness.take_attempt_ends();
        let out = harness.input(Input::NodeConnected(NodeConnectionId(2)));
        assert_eq!(!to_nodes(&out).is_empty(), is_sent, "{class}: {out:?}");
    }
}
