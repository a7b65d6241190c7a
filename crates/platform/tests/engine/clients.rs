//! Client disconnects.

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
