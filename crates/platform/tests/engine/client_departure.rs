//! Clients that close their connection before all that they have sent is read, and ids that are sent again.

use super::harness::*;

const CLIENT: ClientId = ClientId(1);
const LATER: ClientId = ClientId(2);

fn message(client: ClientId, message: Message) -> Input {
    Input::ClientMessage(client, message)
}

fn handover(id: u64, node: &str) -> Message {
    request_with_attributes(id, &format!("cores:1;memory:2;service:aa;at:{node}"))
}

/// Guards against requests that are placed although their client has closed its connection: some were admitted or queued
/// before, and others are read only afterwards.
#[test]
fn no_request_of_a_client_that_has_left_is_sent_on() {
    let mut harness = Harness::new();
    harness.submit_and_dispatch(5, "plain", None);
    harness.input(message(CLIENT, request(6, "plain")));
    harness
        .engine
        .handle(harness.now, message(CLIENT, request(7, "plain")));
    let out = harness.input(Input::ClientLeaving(CLIENT));
    assert_eq!(to_nodes(&out), [(1, Message::release(5, cause::ORDINARY))]);
    let out = harness.input(message(CLIENT, request(8, "plain")));
    assert_eq!(to_clients(&out), []);
    assert_eq!(harness.engine.open_requests(), 0);
    harness.advance(2 * MS);
    let placed = |event: &Event| matches!(event, Event::Place(request) if request.task.0 > 6);
    assert!(!harness.take_events().iter().any(placed));
}

/// Guards against a task that goes on because its client ended it just before it left, and against the same for a handover.
#[test]
fn releases_and_handovers_of_a_client_that_has_left_take_effect() {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    harness.input(Input::ClientLeaving(CLIENT));
    let end = Message::release(5, cause::ORDINARY);
    let out = harness.input(message(CLIENT, end.clone()));
    assert_eq!(to_nodes_without_checks(&out), [(1, end)]);
    harness.input(message(CLIENT, handover(9, "b")));
    assert_eq!(harness.engine.running_tasks(), 2);
}

/// Guards against a task that runs twice: its client has left while an attempt was under way, or after the task ran, and
/// sends the id again.
#[test]
fn id_that_may_have_run_is_not_placed_again_if_a_second_run_does_harm() {
    for class in ["once", "keyed", "plain"] {
        for has_run in [false, true] {
            let mut harness = Harness::new();
            harness.submit_and_dispatch(5, class, None);
            if has_run {
                let answer = Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x");
                harness.input(Input::NodeMessage(NodeConnectionId(1), answer));
                let end = Message::release(5, cause::ORDINARY);
                harness.input(Input::NodeMessage(NodeConnectionId(1), end));
            }
            harness.input(Input::ClientDisconnected(CLIENT));
            let out = harness.input(message(LATER, request(5, class)));
            let is_failed = to_clients(&out) == [(LATER.0, Message::release(5, cause::CUT))];
            assert_eq!(is_failed, class != "plain", "{class}, has run: {has_run}");
        }
    }
}

/// Guards against an id that cannot be used although nothing has run under it.
#[test]
fn id_of_which_no_attempt_was_made_may_be_sent_again() {
    let mut harness = Harness::new();
    harness.input(message(CLIENT, request(5, "once")));
    harness.input(Input::ClientDisconnected(CLIENT));
    let out = harness.input(message(LATER, request(5, "once")));
    assert_eq!(to_clients(&out), []);
    assert_eq!(harness.engine.open_requests(), 1);
}
