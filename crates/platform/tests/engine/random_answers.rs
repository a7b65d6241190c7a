//! Random inputs around the real module: each admitted request gets one final answer by its deadline, or is cancelled by
//! its client, and nothing is sent for it afterwards, whatever comes in which order and however late the event loop is.

use super::harness::*;
use peppercove::Scheduler;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The event loop is late by this much at the most: twice that is within the half second that the platform lets an answer
/// be late.
const MAX_LAG: Micros = 200 * MS;

/// What is expected for a request.
struct RequestStatus {
    received_at: Micros,
    /// No answer is owed any more.
    is_settled: bool,
}

struct World {
    engine: PlatformEngine<Scheduler>,
    now: Micros,
    requests: BTreeMap<u64, RequestStatus>,
    connecting: BTreeSet<NodeConnectionId>,
    connected: BTreeSet<NodeConnectionId>,
    open: Vec<(NodeConnectionId, u64)>,
    faults: Vec<String>,
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
        let (open, faults) = (Vec::new(), Vec::new());
        let mut world = World {
            engine,
            now: 1000 * S,
            requests,
            connecting,
            connected,
            open,
            faults,
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
                        self.faults.push(format!("{id} is sent after its answer"));
                    }
                    self.open.push((connection, id));
                }
                Output::SendToClient(_, frame) => {
                    let message = decode_frame(&frame);
                    let request = self
                        .requests
                        .get_mut(&message.id)
                        .expect("an id of a request");
                    // Ends of running tasks follow an answer.
                    if request.is_settled && message.kind != MessageKind::Release {
                        self.faults.push(format!("{message:?} is a second answer"));
                    }
                    if !request.is_settled
                        && self.now > request.received_at + WAIT + 2 * MAX_LAG + 10 * MS
                    {
                        self.faults.push(format!(
                            "{message:?} at {} us",
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
        let attempt = rng.choice(self.open.clone());
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
                self.open.retain(|(l, _)| *l != connection);
                self.input(Input::NodeDisconnected(
                    connection,
                    Disconnect::Broken {
                        bytes_written: rng.u64(0..500),
                        is_clean: true,
                    },
                ));
            }
            (10 | 11, _, Some((connection, id))) => {
                self.open.retain(|o| *o != (connection, id));
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
        prop_assert_eq!(&world.faults, &[] as &[String]);
    }
}
