//! Node list updates.

use super::harness::*;

#[test]
fn new_node_at_a_reused_address_gets_its_own_connection() {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    let replacement = [
        node_json("a", 1, "left", 0),
        node_json("c", 1, "active", harness.now / 1000),
    ];
    harness.input(Input::EndpointEvents(vec![list_event(
        2,
        false,
        &replacement,
    )]));
    harness.input(Input::ClientMessage(ClientId(1), request(6, "plain")));
    let out = harness.dispatch(2, "c", None);
    assert!(
        matches!(out[..], [Output::Connect(NodeConnectionId(2), a)] if a.port() == 1),
        "{out:?}"
    );
    harness.input(Input::NodeConnected(NodeConnectionId(2)));
    // A message on the old connection is not attributed to the new node.
    let answer = Message::new(MessageKind::Answer, 6).with(code::DESCRIPTION, b"x");
    assert!(to_clients(&harness.input(Input::NodeMessage(NodeConnectionId(1), answer))).is_empty());
    let out = harness.advance(S);
    assert_eq!(
        to_clients(&out),
        [(1, Message::release(5, cause::CUT))],
        "the task on the old node is lost"
    );
    assert!(out.contains(&Output::Close(NodeConnectionId(1))));
}

/// Guards against tasks that run on at a node which took over the address of one that has gone, although their clients
/// were notified that they ended (review case 9).
#[test]
fn tasks_at_a_reused_address_are_cancelled_before_their_clients_are_notified() {
    let mut harness = Harness::new();
    harness.submit_and_place(5);
    let gone = [node_json("a", 1, "left", 0)];
    harness.input(Input::EndpointEvents(vec![list_event(2, false, &gone)]));
    let out = harness.advance(2 * S);
    assert_eq!(to_clients(&out), [(1, Message::release(5, cause::CUT))]);
    let cancel = Output::Cancel(
        NodeConnectionId(1),
        Message::release(5, cause::ORDINARY).encode(),
    );
    let position = |searched: &Output| out.iter().position(|output| output == searched);
    let (cancelled, closed) = (
        position(&cancel),
        position(&Output::Close(NodeConnectionId(1))),
    );
    assert!(cancelled.is_some() && cancelled < closed, "{out:?}");
}

#[test]
fn list_updates_reach_the_scheduler_in_order() {
    let mut harness = Harness::new();
    harness.input(Input::EndpointEvents(vec![
        list_event(2, false, &[node_json("b", 2, "leaving", 0)]),
        list_event(3, true, &[node_json("a", 1, "active", 4)]),
    ]));
    harness.input(Input::EndpointWatchFailed);
    harness.advance(2 * MS);
    let events: Vec<Event> = std::mem::take(&mut *harness.events.borrow_mut());
    let lists = events.iter().filter_map(|e| match e {
        Event::NodeList {
            kind,
            version,
            entries,
        } => Some((
            *kind,
            *version,
            entries
                .iter()
                .map(|entry| (entry.state, entry.started_at))
                .collect::<Vec<_>>(),
        )),
        _ => None,
    });
    assert_eq!(
        lists.collect::<Vec<_>>(),
        [
            (
                ListUpdateKind::Incremental,
                2,
                vec![(NodeStatus::Draining, 0)]
            ),
            (ListUpdateKind::Full, 3, vec![(NodeStatus::Ready, 4000)]),
            (ListUpdateKind::Failed, 0, vec![]),
        ]
    );
}

#[test]
fn attempt_queued_for_a_draining_or_gone_node_is_not_sent() {
    for state in ["leaving", "left"] {
        let mut harness = Harness::new();
        harness.input(Input::ClientMessage(ClientId(1), request(5, "once")));
        harness.dispatch(1, "a", None);
        harness.input(Input::EndpointEvents(vec![list_event(
            2,
            false,
            &[node_json("a", 1, state, 0)],
        )]));
        assert_eq!(
            harness.take_attempt_ends(),
            [(1, 0, AttemptOutcome::Unreachable, false)],
            "{state}: the attempt was not sent"
        );
        let out = harness.input(Input::NodeConnected(NodeConnectionId(1)));
        assert!(
            !out.iter().any(|o| matches!(o, Output::SendToNode(..))),
            "{state}: {out:?}"
        );
    }
}
