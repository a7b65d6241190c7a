//! Random inputs with the real scheduler: each admitted request gets one final answer by its deadline or is
//! cancelled by its client, and nothing is sent for it afterwards, for any order of inputs and any lag of the event
//! loop.

use super::harness::*;
use peppercove::Scheduler;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum lag of the event loop. Twice this lag is within the half second by which the platform allows answers to be
/// late.
const MAX_LAG: Micros = 200 * MS;

/// Expected state of a request.
struct RequestStatus {
    received_at: Micros,
    /// Whether the request was answered or cancelled.
    is_settled: bool,
}

struct World {
    engine: PlatformEngine<Scheduler>,
    now: Micros,
    requests: BTreeMap<u64, RequestStatus>,
    connecting: BTreeSet<NodeConnectionId>,
    connected: BTreeSet<NodeConnectionId>,
    open_attempts: Vec<(NodeConnectionId, u64)>,
    violations: Vec<String>,
}

impl World {
    fn new(seed: u64) -> World {
        let settings = Settings {
            is_list_polled: false,
            ..Settings::sample()
        };
        let engine = PlatformEngine::new(
            Scheduler::new(settings.clone(), seed),
            settings,
            schema(),
            bounds(),
            seed,
        );
        let (requests, connecting, connected) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        let (open_attempts, violations) = (Vec::new(), Vec::new());
        let mut world = World {
            engine,
            now: 1000 * S,
            requests,
            connecting,
            connected,
            open_attempts,
            violations,
        };
        let nodes = [
            node_json("a", 1, "active", 0),
            node_json("b", 2, "active", 0),
            node_json("c", 3, "active", 0),
        ];
        world.input(Input::Start(vec![list_event(1, true, &nodes)]));
        world
    }

    fn input(&mut self, input: Input) {
        for output in self.engine.handle(self.now, input) {
            match output {
                Output::Connect(connection, _) => drop(self.connecting.insert(connection)),
                Output::SendToNode(connection, frame)
                    if decode_frame(&frame).kind == MessageKind::SetUp =>
                {
                    let id = decode_frame(&frame).id;
                    if self.requests[&id].is_settled {
                        self.violations
                            .push(format!("{id} was sent after its final answer"));
                    }
                    self.open_attempts.push((connection, id));
                }
                Output::NotificationsPending => {
                    for client in self.engine.clients_to_notify() {
                        self.input(Input::SendNotifications(client));
                    }
                }
                Output::SendNotifications(_, frames) => {
                    for message in decode_frames(&frames) {
                        assert_eq!(message.kind, MessageKind::Release);
                        assert!(self.requests[&message.id].is_settled);
                    }
                }
                Output::SendToClient(_, frame) => {
                    let message = decode_frame(&frame);
                    let request = self
                        .requests
                        .get_mut(&message.id)
                        .expect("the message must have the id of a known request");
                    // A release after the answer is the end of the running task.
                    if request.is_settled && message.kind != MessageKind::Release {
                        self.violations
                            .push(format!("{message:?} is a second answer"));
                    }
                    if !request.is_settled
                        && self.now > request.received_at + CLIENT_TIMEOUT + 2 * MAX_LAG + 10 * MS
                    {
                        self.violations.push(format!(
                            "{message:?} is late: {} us after the request",
                            self.now - request.received_at
                        ));
                    }
                    request.is_settled = true;
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, rng: &mut fastrand::Rng) {
        self.now += rng.u64(0..MAX_LAG / 4);
        let connection = rng.choice(self.connected.iter().copied().collect::<Vec<_>>());
        let attempt = rng.choice(self.open_attempts.clone());
        let id = self.requests.len() as u64 + 1;
        match (rng.u8(0..16), connection, attempt) {
            (0..=2, ..) => {
                let received_at = self.now;
                let is_settled = false;
                self.requests.insert(
                    id,
                    RequestStatus {
                        received_at,
                        is_settled,
                    },
                );
                self.input(Input::ClientMessage(
                    ClientId(1 + id % 3),
                    request(id, ["plain", "keyed", "once"][id as usize % 3]),
                ));
            }
            (3..=5, ..) if self.engine.has_queued_requests() => self.input(Input::AdmitNext),
            (6, ..) if rng.bool() && id > 1 => {
                let id = rng.u64(1..id);
                self.requests
                    .entry(id)
                    .and_modify(|request| request.is_settled = true);
                self.input(Input::ClientMessage(
                    ClientId(1 + id % 3),
                    Message::release(id, cause::ORDINARY),
                ));
            }
            (7 | 8, ..) => {
                if let Some(connection) = self.connecting.pop_first() {
                    self.connected.insert(connection);
                    self.input(Input::NodeConnected(connection));
                }
            }
            (9, Some(connection), _) if rng.bool() => {
                self.connected.remove(&connection);
                self.open_attempts.retain(|(other, _)| *other != connection);
                self.input(Input::NodeDisconnected(
                    connection,
                    Disconnect::Broken {
                        bytes_written: rng.u64(0..500),
                        is_clean: true,
                    },
                ));
            }
            (10 | 11, _, Some((connection, id))) => {
                self.open_attempts
                    .retain(|attempt| *attempt != (connection, id));
                let answer = Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, b"here");
                let rejection = Message::release(id, [34, 41, 47, 102][rng.usize(0..4)]);
                self.input(Input::NodeMessage(
                    connection,
                    if rng.bool() { answer } else { rejection },
                ));
            }
            _ => self.input(Input::Tick(self.now - rng.u64(0..MAX_LAG))),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn each_request_is_answered_once_by_its_deadline_or_cancelled(seed: u64, steps in 20usize..600) {
        let (mut world, mut rng) = (World::new(seed), fastrand::Rng::with_seed(seed));
        for _ in 0..steps {
            world.step(&mut rng);
        }
        for _ in 0..400 {
            world.now += MAX_LAG / 4;
            world.input(Input::Tick(world.now));
        }
        let open = world.requests.iter().filter(|(_, request)| !request.is_settled).map(|(id, _)| *id);
        prop_assert_eq!(open.collect::<Vec<u64>>(), [] as [u64; 0]);
        prop_assert_eq!(&world.violations, &[] as &[String]);
    }
}
