//! Ends of tasks whose handover is not tracked, because of the limit on running tasks or because it comes late.

use super::harness::*;

const CLIENT: ClientId = ClientId(1000);
/// The client's tasks, all on node `a`.
const TASKS: std::ops::Range<u64> = 1..31;
/// More than the limit on running tasks, with less of them on each connection than the client has.
const BAD_CLIENTS: u64 = 20;
const HANDOVERS_PER_BAD_CLIENT: u64 = 10;

fn handover(id: u64, node: &str) -> Message {
    request_with_attributes(id, &format!("cores:1;memory:2;service:aa;at:{node}"))
}

fn end(id: u64) -> Message {
    Message::release(id, cause::ORDINARY)
}

fn hand_over_tasks(harness: &mut Harness) {
    for id in TASKS {
        harness.input(Input::ClientMessage(CLIENT, handover(id, "a")));
    }
    // Connection 1 is to `a` if its tasks are handed over first.
    for connection in [1, 2] {
        harness.input(Input::NodeConnected(NodeConnectionId(connection)));
    }
}

/// Many clients hand over tasks that no node runs, each less than [`CLIENT`] does.
fn hand_over_unknown_tasks(harness: &mut Harness) {
    for client in 1..=BAD_CLIENTS {
        for number in 0..HANDOVERS_PER_BAD_CLIENT {
            let id = client * 1000 + number;
            harness.input(Input::ClientMessage(ClientId(client), handover(id, "b")));
        }
    }
    assert_eq!(harness.engine.running_tasks(), bounds().running_tasks);
}

/// Lets node `a` report the end of a task. Returns the ends sent to this client.
fn end_task(harness: &mut Harness, id: u64, connection: u64, client: ClientId) -> Vec<Message> {
    let out = harness.input(Input::NodeMessage(NodeConnectionId(connection), end(id)));
    let to_client = |(to, message)| (to == client.0).then_some(message);
    to_clients(&out).into_iter().filter_map(to_client).collect()
}

/// Guards against a client that is not notified of the ends of its tasks because other clients have handed over tasks
/// that no node runs, before or after it did.
#[test]
fn ends_are_notified_although_other_clients_have_used_up_the_limit_on_running_tasks() {
    for is_client_first in [true, false] {
        let mut harness = Harness::new();
        if is_client_first {
            hand_over_tasks(&mut harness);
            hand_over_unknown_tasks(&mut harness);
        } else {
            hand_over_unknown_tasks(&mut harness);
            hand_over_tasks(&mut harness);
        }
        let connection = if is_client_first { 1 } else { 2 };
        for id in TASKS {
            let notified = end_task(&mut harness, id, connection, CLIENT);
            assert_eq!(notified, [end(id)], "client first: {is_client_first}");
        }
        assert!(harness.engine.counters().handovers_dropped > 0);
    }
}

/// Guards against the same where it has come back over a new connection, before or after its tasks ended.
#[test]
fn ends_are_notified_to_a_client_that_comes_back_after_its_handovers_were_dropped() {
    for ends_first in [true, false] {
        let mut harness = Harness::new();
        hand_over_tasks(&mut harness);
        hand_over_unknown_tasks(&mut harness);
        harness.input(Input::ClientDisconnected(CLIENT));
        let returned = ClientId(CLIENT.0 + 1);
        let mut notified = Vec::new();
        let come_back = Input::ClientMessage(returned, request(500, "plain"));
        if ends_first {
            for id in TASKS {
                end_task(&mut harness, id, 1, returned);
            }
            let out = harness.input(come_back);
            notified.extend(to_clients(&out).into_iter().map(|(_, message)| message.id));
        } else {
            harness.input(come_back);
            for id in TASKS {
                let ends = end_task(&mut harness, id, 1, returned);
                notified.extend(ends.into_iter().map(|message| message.id));
            }
        }
        notified.sort_unstable();
        assert_eq!(
            notified,
            TASKS.collect::<Vec<u64>>(),
            "ends first: {ends_first}"
        );
    }
}

/// Guards against an end that is dropped because its node reports it before the task is handed over.
#[test]
fn end_that_is_read_before_its_handover_is_notified_with_the_handover() {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(CLIENT, handover(1, "a")));
    harness.input(Input::NodeConnected(NodeConnectionId(1)));
    assert_eq!(end_task(&mut harness, 2, 1, CLIENT), []);
    let out = harness.input(Input::ClientMessage(CLIENT, handover(2, "a")));
    assert_eq!(to_clients(&out), [(CLIENT.0, end(2))]);
    assert_eq!(harness.engine.running_tasks(), 1);
    // Another node has not reported an end under that id.
    assert_eq!(end_task(&mut harness, 3, 1, CLIENT), []);
    let out = harness.input(Input::ClientMessage(CLIENT, handover(3, "b")));
    assert_eq!(to_clients(&out), []);
    assert_eq!(harness.engine.running_tasks(), 2);
}

/// Guards against a second answer, or a second end, while the ends of untracked tasks are sent to clients: a node reports
/// on an attempt after its request was answered, and repeats an end.
#[test]
fn late_reports_on_answered_requests_are_not_taken_for_ends_of_untracked_tasks() {
    let mut harness = Harness::new();
    harness.submit_and_dispatch(600, "plain", None);
    hand_over_unknown_tasks(&mut harness);
    // Client 1 has untracked tasks now.
    let out = harness.take_action(Action::Fail(RequestId(1)));
    assert_eq!(to_clients(&out), [(1, Message::release(600, cause::CUT))]);
    harness.input(Input::ClientMessage(ClientId(1), request(601, "plain")));
    harness.input(Input::ClientMessage(ClientId(1), end(601)));
    for cause in [cause::CUT, cause::ORDINARY] {
        let late = Message::release(600, cause);
        let out = harness.input(Input::NodeMessage(NodeConnectionId(1), late));
        assert_eq!(to_clients(&out), []);
    }
    let unknown = end(700);
    let out = harness.input(Input::NodeMessage(NodeConnectionId(1), unknown.clone()));
    assert!(to_clients(&out).contains(&(1, unknown.clone())));
    let out = harness.input(Input::NodeMessage(NodeConnectionId(1), unknown));
    assert_eq!(to_clients(&out), [], "the end is repeated");
}

/// Guards against a client with running tasks that yields to clients whose tasks no node has confirmed, on however many
/// connections these come.
#[test]
fn client_with_a_confirmed_task_does_not_yield_to_clients_without_any() {
    for is_client_first in [true, false] {
        let mut harness = Harness::new();
        harness.input(Input::ClientMessage(CLIENT, handover(500, "a")));
        harness.input(Input::NodeConnected(NodeConnectionId(1)));
        let update = Message::new(MessageKind::Note, 500).with(code::NOTE, b"runs");
        harness.input(Input::NodeMessage(NodeConnectionId(1), update));
        if is_client_first {
            hand_over_tasks(&mut harness);
            hand_over_unknown_tasks(&mut harness);
        } else {
            hand_over_unknown_tasks(&mut harness);
            hand_over_tasks(&mut harness);
        }
        let unmatched = harness.engine.counters().unmatched;
        for id in TASKS {
            assert_eq!(end_task(&mut harness, id, 1, CLIENT), [end(id)]);
        }
        assert_eq!(
            harness.engine.counters().unmatched,
            unmatched,
            "all were tracked"
        );
    }
}
