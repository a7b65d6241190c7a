//! Limits of the state that is kept because clients hand over tasks.

use super::harness::*;

const BAD_CLIENT: ClientId = ClientId(1);
const CLIENT: ClientId = ClientId(2);

fn handover(id: u64, node: &str) -> Message {
    request_with_attributes(id, &format!("cores:1;memory:2;service:aa;at:{node}"))
}

/// Guards against unlimited growth by a node for each name, whether or not the task is tracked.
#[test]
fn handovers_that_name_unlisted_nodes_do_not_grow_the_state_beyond_the_limit() {
    let mut harness = Harness::new();
    let limit = bounds().running_tasks;
    for id in 1..=1000 {
        harness.input(Input::ClientMessage(
            BAD_CLIENT,
            handover(id, &format!("made-up-{id}")),
        ));
    }
    let (tasks, nodes) = (harness.engine.running_tasks(), harness.engine.known_nodes());
    assert!(
        tasks > 0 && tasks + nodes - 2 <= limit,
        "{tasks} tasks and {nodes} nodes, two of them listed"
    );
    // An id that is in use already.
    harness.input(Input::ClientMessage(BAD_CLIENT, handover(1, "another")));
    assert_eq!(harness.engine.known_nodes(), nodes);
    assert!(harness.engine.counters().handovers_dropped > 0);
}

/// Guards against nodes that stay known after the last task that was handed over on them.
#[test]
fn unlisted_node_is_removed_with_its_last_task() {
    let mut harness = Harness::new();
    harness.input(Input::ClientMessage(CLIENT, handover(5, "new")));
    harness.input(Input::ClientMessage(CLIENT, handover(6, "new")));
    assert_eq!(harness.engine.known_nodes(), 3);
    harness.advance(4 * S);
    assert_eq!(
        (harness.engine.running_tasks(), harness.engine.known_nodes()),
        (0, 2)
    );
}

/// Guards against a table of running tasks that one client has filled with tasks which no node runs: the end of a task
/// that another client hands over was not notified to it.
#[test]
fn task_is_tracked_although_another_client_has_handed_over_as_many_as_the_limit() {
    let mut harness = Harness::new();
    for id in 100..100 + 2 * bounds().running_tasks as u64 {
        harness.input(Input::ClientMessage(BAD_CLIENT, handover(id, "b")));
    }
    harness.input(Input::NodeConnected(NodeConnectionId(1)));
    assert_eq!(harness.engine.running_tasks(), bounds().running_tasks);
    let out = harness.input(Input::ClientMessage(CLIENT, handover(5, "a")));
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(2), _)]),
        "{out:?}"
    );
    assert_eq!(harness.engine.running_tasks(), bounds().running_tasks);
    harness.input(Input::NodeConnected(NodeConnectionId(2)));
    let end = Message::release(5, cause::ORDINARY);
    let out = harness.input(Input::NodeMessage(NodeConnectionId(2), end.clone()));
    assert_eq!(to_clients(&out), [(CLIENT.0, end)]);
    // The scheduler is informed of each task once, and of the end of each task that is no longer tracked.
    harness.advance(2 * MS);
    let events = harness.take_events();
    let started = |e: &&Event| matches!(e, Event::RunningTask { .. });
    let ended = |e: &&Event| matches!(e, Event::AttemptEnded { is_final: true, .. });
    let (started, ended) = (
        events.iter().filter(started).count(),
        events.iter().filter(ended).count(),
    );
    assert_eq!(started - ended, harness.engine.running_tasks());
}

/// Guards against dropping tasks that exist: one that was placed here, and one that its node has reported on.
#[test]
fn tasks_that_a_node_has_confirmed_are_not_dropped_at_the_limit() {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    harness.input(Input::ClientMessage(BAD_CLIENT, handover(6, "a")));
    let update = Message::new(MessageKind::Note, 6).with(code::NOTE, b"runs");
    harness.input(Input::NodeMessage(NodeConnectionId(1), update));
    for client in 2..40 {
        for id in 0..20 {
            let id = client * 1000 + id;
            harness.input(Input::ClientMessage(ClientId(client), handover(id, "b")));
        }
    }
    assert_eq!(harness.engine.running_tasks(), bounds().running_tasks);
    for id in [5, 6] {
        let end = Message::release(id, cause::ORDINARY);
        let out = harness.input(Input::NodeMessage(NodeConnectionId(1), end.clone()));
        assert_eq!(to_clients(&out), [(BAD_CLIENT.0, end)]);
    }
}

/// Guards against unlimited growth between two batches of the scheduler, which learns of dropped tasks with the next.
#[test]
fn tasks_dropped_between_two_batches_are_limited() {
    let mut harness = Harness::new();
    let at = harness.now + MS;
    for id in 0..5000 {
        // Each client displaces some of the tasks of those before it.
        let client = ClientId(1 + id / 50);
        harness
            .engine
            .handle(at, Input::ClientMessage(client, handover(1 + id, "b")));
    }
    harness.now = at;
    harness.advance(S);
    let informed = harness.take_events().len();
    let limit = bounds().running_tasks + 2 * bounds().completions_per_batch;
    assert!(
        informed <= limit,
        "{informed} events in one batch, expected at most {limit}"
    );
}
