//! Random inputs and random actions: each dispatch ends once, each request is answered once, and a request never has
//! two open attempts.

use super::harness::*;
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A scheduler that takes random actions, valid or not.
struct RandomScheduler {
    rng: fastrand::Rng,
    requests: BTreeSet<RequestId>,
    dispatches: BTreeMap<RequestId, u16>,
    log: Rc<RefCell<SchedulerLog>>,
    nodes: Vec<NodeId>,
}

#[derive(Default)]
struct SchedulerLog {
    dispatched: Vec<(RequestId, u16)>,
    ended: Vec<(RequestId, u16)>,
    completed: BTreeSet<RequestId>,
    cancelled: BTreeSet<RequestId>,
}

impl Decide for RandomScheduler {
    fn decide(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        let mut log = self.log.borrow_mut();
        for event in events {
            match event {
                Event::Place(r) => {
                    self.requests.insert(r.id);
                }
                Event::AttemptEnded {
                    request,
                    attempt,
                    is_final,
                    ..
                } => {
                    log.ended.push((*request, *attempt));
                    if *is_final {
                        log.completed.insert(*request);
                        self.requests.remove(request);
                    }
                }
                Event::RequestCancelled(request) => {
                    log.cancelled.insert(*request);
                    self.requests.remove(request);
                }
                _ => {}
            }
        }
        let mut actions = Vec::new();
        for request in self.requests.clone() {
            match self.rng.u8(0..10) {
                0..=4 => {
                    let attempt = self.dispatches.entry(request).or_insert(0);
                    log.dispatched.push((request, *attempt));
                    *attempt += 1;
                    let node = self.nodes[self.rng.usize(0..self.nodes.len())];
                    let timeout = self.rng.bool().then(|| self.rng.u64(0..S));
                    actions.push(Action::Dispatch {
                        request,
                        node,
                        timeout,
                        send_by: None,
                    });
                }
                5 => {
                    actions.push(Action::Reject {
                        request,
                        retry_after: None,
                    });
                    self.requests.remove(&request);
                }
                6 => {
                    actions.push(Action::Fail(request));
                    self.requests.remove(&request);
                }
                7 => actions.push(Action::CancelAttempt {
                    request,
                    attempt: self.rng.u16(0..3),
                }),
                8 => actions.push(Action::Migrate(request)),
                _ => {}
            }
        }
        actions
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn each_dispatch_ends_once_each_request_is_answered_once_and_one_attempt_is_open(seed: u64, steps in 20usize..300) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let log = Rc::new(RefCell::new(SchedulerLog::default()));
        let nodes: Vec<NodeId> =
            ["a", "b", "gone"].map(node_id).to_vec();
        let scheduler = RandomScheduler {
            rng: fastrand::Rng::with_seed(seed ^ 1),
            requests: BTreeSet::new(),
            dispatches: BTreeMap::new(),
            log: log.clone(),
            nodes,
        };
        let mut engine = PlatformEngine::new(scheduler, Settings::sample(), schema(), bounds(), seed);
        let mut now = 1000 * S;
        let listed = [node_json("a", 1, "active", 0), node_json("b", 2, "active", 0)];
        engine.handle(now, Input::Start(vec![list_event(1, true, &listed)]));
        let (mut connecting, mut connected) = (BTreeSet::new(), BTreeSet::new());
        let (mut answered, mut requested) = (BTreeSet::new(), BTreeSet::new());
        // The connection of each request's open attempt.
        let mut open_on: BTreeMap<u64, u64> = BTreeMap::new();
        let mut next_id = 1;
        for step in 0..steps + 200 {
            let is_quiet = step >= steps;
            now += rng.u64(0..20 * MS);
            let random_element = |rng: &mut fastrand::Rng, set: &BTreeSet<u64>| {
                set.iter().nth(rng.usize(0..set.len().max(1))).copied().unwrap_or(1)
            };
            let id = 1 + rng.u64(0..next_id.max(2) - 1);
            let client = ClientId(1 + id % 3);
            let connection = random_element(&mut rng, &connected);
            let input = match rng.u8(0..12) {
                _ if engine.has_queued_requests() && (is_quiet || rng.u8(0..3) > 0) => Input::AdmitNext,
                _ if is_quiet => {
                    now += 300 * MS;
                    Input::Tick(now)
                }
                0..=2 => {
                    let class = ["plain", "keyed", "once"][rng.usize(0..3)];
                    let message = request(next_id, class);
                    let client = ClientId(1 + next_id % 3);
                    requested.insert(next_id);
                    next_id += 1;
                    Input::ClientMessage(client, message)
                }
                3 => Input::ClientMessage(client, Message::release(id, cause::ORDINARY)),
                4 => Input::NodeConnected(NodeConnectionId(random_element(&mut rng, &connecting))),
                5 => Input::NodeMessage(NodeConnectionId(connection), Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, b"x")),
                6 => {
                    let cause = [16, 31, 34, 41, 47, 102][rng.usize(0..6)];
                    Input::NodeMessage(NodeConnectionId(connection), Message::release(id, cause))
                }
                7 if rng.u8(0..4) == 0 => {
                    let disconnect = [Disconnect::Refused, Disconnect::ConnectFailed][rng.usize(0..2)];
                    Input::NodeDisconnected(NodeConnectionId(random_element(&mut rng, &connecting)), disconnect)
                }
                8 if rng.u8(0..4) == 0 => {
                    Input::NodeDisconnected(NodeConnectionId(connection), Disconnect::Broken { bytes_written: rng.u64(0..400), is_clean: true })
                }
                9 if rng.u8(0..8) == 0 => match rng.u8(0..4) {
                    0 => Input::ClientBroken(client),
                    1 => Input::ClientLeaving(client),
                    2 => Input::ClientSilent(client),
                    _ => Input::ClientDisconnected(client),
                },
                11 if rng.bool() => Input::SendNotifications(client),
                10 if rng.u8(0..8) == 0 => {
                    let state = ["active", "leaving", "left"][rng.usize(0..3)];
                    let started_ms = if rng.bool() { now / 1000 } else { 0 };
                    Input::EndpointEvents(vec![list_event(step as u64 + 2, false, &[node_json("a", 1, state, started_ms)])])
                }
                _ => Input::Tick(now - rng.u64(0..20 * MS)),
            };
            match &input {
                Input::NodeConnected(id) => {
                    if !connecting.remove(&id.0) {
                        continue;
                    }
                    connected.insert(id.0);
                }
                Input::NodeDisconnected(id, _) => {
                    connected.remove(&id.0);
                    connecting.remove(&id.0);
                    open_on.retain(|_, other| *other != id.0);
                }
                Input::NodeMessage(id, _) if !connected.contains(&id.0) => continue,
                Input::NodeMessage(id, message) if open_on.get(&message.id) == Some(&id.0) => {
                    open_on.remove(&message.id);
                }
                _ => {}
            }
            for output in engine.handle(now, input) {
                match output {
                    Output::Connect(connection, _) => {
                        connecting.insert(connection.0);
                    }
                    Output::SendToNode(connection, frame) | Output::Cancel(connection, frame) => {
                        let message = decode_frame(&frame);
                        match message.kind {
                            MessageKind::SetUp => {
                                prop_assert!(connected.contains(&connection.0), "sent on a connection that is not established");
                                let previous = open_on.insert(message.id, connection.0);
                                prop_assert_eq!(previous, None, "request {} has two open attempts", message.id);
                                prop_assert!(!answered.contains(&message.id), "sent after the answer");
                            }
                            MessageKind::Release => {
                                open_on.remove(&message.id);
                            }
                            _ => {}
                        }
                    }
                    // Closing a connection ends the open attempts on it.
                    Output::Close(connection) => open_on.retain(|_, other| *other != connection.0),
                    Output::SendNotifications(_, frames) => {
                        let is_end = |message: &Message| message.kind != MessageKind::Answer;
                        prop_assert!(decode_frames(&frames).iter().all(is_end));
                    }
                    Output::SendToClient(_, frame) => {
                        let message = decode_frame(&frame);
                        if message.kind == MessageKind::Answer {
                            prop_assert!(answered.insert(message.id), "answered twice");
                            open_on.remove(&message.id);
                        } else if message.kind == MessageKind::Release && !answered.contains(&message.id) {
                            answered.insert(message.id);
                        }
                    }
                    _ => {}
                }
            }
        }
        for _ in 0..3 {
            now += 10 * S;
            engine.handle(now, Input::Tick(now));
        }
        let log = log.borrow();
        let mut ended = log.ended.clone();
        ended.sort();
        let running = engine.running_tasks();
        let len_with_duplicates = ended.len();
        ended.dedup();
        prop_assert_eq!(len_with_duplicates, ended.len(), "an attempt ended twice");
        let open = log.dispatched.iter().filter(|attempt| !ended.contains(attempt)).count();
        prop_assert!(open <= running, "{} attempts have no end, but only {} tasks run", open, running);
        prop_assert_eq!(engine.open_requests(), 0, "requests are still open at the end");
    }
}
