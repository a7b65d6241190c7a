//! Answers during a shutdown.

use super::harness::*;

/// Guards against requests that are still open when the process is killed, or ends on its own.
#[test]
fn all_open_requests_are_answered_at_the_end_of_a_shutdown() {
    let mut harness = Harness::new();
    // Sent to a node that does not answer.
    harness.submit_and_dispatch(5, "once", None);
    // Admitted, but never sent.
    harness.input(Input::ClientMessage(ClientId(1), request(6, "once")));
    // Queued.
    harness.engine.handle(
        harness.now,
        Input::ClientMessage(ClientId(2), request(7, "once")),
    );
    let out = harness.input(Input::AnswerAll);
    let mut answers = to_clients(&out);
    answers.sort_by_key(|(_, message)| message.id);
    assert_eq!(
        answers,
        [
            (1, Message::release(5, cause::CUT)),
            (1, Message::release(6, cause::TURNED_AWAY)),
            (2, Message::release(7, cause::TURNED_AWAY)),
        ],
        "only a request that was never sent may be rejected"
    );
    assert_eq!(to_nodes(&out), [(1, Message::release(5, cause::ORDINARY))]);
    assert_eq!(harness.engine.open_requests(), 0);
    // The scheduler is informed, and nothing that it decides later is sent.
    harness.advance(2 * MS);
    let cancelled = |e: &Event| matches!(e, Event::RequestCancelled(_));
    assert_eq!(
        harness.take_events().into_iter().filter(cancelled).count(),
        2
    );
    assert!(harness.dispatch(2, "b", None).is_empty());
}

/// Guards against requests that arrive during a shutdown and whose deadline is later than its end.
#[test]
fn request_received_during_a_shutdown_must_be_answered_by_its_limit() {
    let mut harness = Harness::new();
    let limit = harness.now + S;
    harness.input(Input::LimitAnswers(limit));
    for (id, wait) in [(5, CLIENT_TIMEOUT), (6, S / 2)] {
        let now = harness.now + MS;
        let wait_ms = (wait / MS).to_string();
        let full = request(id, "plain");
        let others = full.parameters().filter(|(c, _)| *c != code::WAIT);
        let message = others.fold(Message::new(MessageKind::SetUp, id), |m, (c, v)| {
            m.with(c, v)
        });
        let message = message.with(code::WAIT, wait_ms.as_bytes());
        harness.input(Input::ClientMessage(ClientId(1), message));
        harness.advance(2 * MS);
        let events = harness.take_events();
        let [Event::Place(placement)] = &events[..] else {
            panic!("{events:?}")
        };
        assert_eq!(placement.deadline_in, wait.min(limit - now), "request {id}");
    }
    // After the limit, the scheduler must answer at once.
    harness.advance(2 * S);
    harness.take_events();
    harness.input(Input::ClientMessage(ClientId(2), request(7, "plain")));
    harness.advance(2 * MS);
    let events = harness.take_events();
    assert!(
        matches!(&events[..], [Event::Place(placement)] if placement.deadline_in == 0),
        "{events:?}"
    );
}
