//! The desk around the real module: each set-up that is taken gets one final answer by its time, or was given up by its
//! owner, and nothing is sent for it afterwards, whatever comes in which order and however late the loop is.

mod common;

use common::{MS, S, WAIT, bounds, event, host, read, set_up, shape};
use peppercove::{Micros, Scheduler, Settings};
use peppercove_platform::wire::{Message, MessageKind, cause, code};
use peppercove_platform::{ClientId, Disconnect, Input, NodeConnectionId, Output, PlatformEngine};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// As late as the loop is at the most: twice that is within the half second that the page lets an answer be late.
const LATE: Micros = 200 * MS;

struct World {
    desk: PlatformEngine<Scheduler>,
    now: Micros,
    /// When each set-up came, and whether nothing is owed for it any more.
    asks: BTreeMap<u64, (Micros, bool)>,
    dialled: BTreeSet<NodeConnectionId>,
    up: BTreeSet<NodeConnectionId>,
    out: Vec<(NodeConnectionId, u64)>,
    faults: Vec<String>,
}

impl World {
    fn new(seed: u64) -> World {
        let settings = Settings {
            is_list_polled: false,
            ..Settings::sample()
        };
        let desk = PlatformEngine::new(
            Scheduler::new(settings.clone(), seed),
            settings,
            shape(),
            bounds(),
            seed,
        );
        let (asks, dialled, up) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        let (out, faults) = (Vec::new(), Vec::new());
        let mut world = World {
            desk,
            now: 1000 * S,
            asks,
            dialled,
            up,
            out,
            faults,
        };
        let hosts = [
            host("a", 1, "active", 0),
            host("b", 2, "active", 0),
            host("c", 3, "active", 0),
        ];
        world.put(Input::Start(vec![event(1, true, &hosts)]));
        world
    }

    fn put(&mut self, input: Input) {
        for output in self.desk.handle(self.now, input) {
            match output {
                Output::Connect(link, _) => drop(self.dialled.insert(link)),
                Output::SendToNode(link, frame) if read(&frame).kind == MessageKind::SetUp => {
                    let id = read(&frame).id;
                    if self.asks[&id].1 {
                        self.faults.push(format!("{id} is sent after its answer"));
                    }
                    self.out.push((link, id));
                }
                Output::SendToClient(_, frame) => {
                    let message = read(&frame);
                    let (came, over) = self.asks.get_mut(&message.id).expect("an id of an owner");
                    // Ends of what stood follow an answer.
                    if *over && message.kind != MessageKind::Release {
                        self.faults.push(format!("{message:?} is a second answer"));
                    }
                    if !*over && self.now > *came + WAIT + 2 * LATE + 10 * MS {
                        self.faults
                            .push(format!("{message:?} at {} us", self.now - *came));
                    }
                    *over = true;
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, rng: &mut fastrand::Rng) {
        self.now += rng.u64(0..LATE / 4);
        let link = rng.choice(self.up.iter().copied().collect::<Vec<_>>());
        let word = rng.choice(self.out.clone());
        let id = self.asks.len() as u64 + 1;
        match (rng.u8(0..16), link, word) {
            (0..=2, ..) => {
                self.asks.insert(id, (self.now, false));
                self.put(Input::ClientMessage(
                    ClientId(1 + id % 3),
                    set_up(id, ["plain", "keyed", "once"][id as usize % 3]),
                ));
            }
            (3..=5, ..) if self.desk.has_queued_requests() => self.put(Input::AdmitNext),
            (6, ..) if rng.bool() && id > 1 => {
                let id = rng.u64(1..id);
                self.asks.entry(id).and_modify(|a| a.1 = true);
                self.put(Input::ClientMessage(
                    ClientId(1 + id % 3),
                    Message::release(id, cause::ORDINARY),
                ));
            }
            (7 | 8, ..) => {
                if let Some(link) = self.dialled.pop_first() {
                    self.up.insert(link);
                    self.put(Input::NodeConnected(link));
                }
            }
            (9, Some(link), _) if rng.bool() => {
                self.up.remove(&link);
                self.out.retain(|(l, _)| *l != link);
                self.put(Input::NodeDisconnected(
                    link,
                    Disconnect::Broken {
                        bytes_written: rng.u64(0..500),
                        is_clean: true,
                    },
                ));
            }
            (10 | 11, _, Some((link, id))) => {
                self.out.retain(|o| *o != (link, id));
                let answer = Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, b"here");
                let refusal = Message::release(id, [34, 41, 47, 102][rng.usize(0..4)]);
                self.put(Input::NodeMessage(
                    link,
                    if rng.bool() { answer } else { refusal },
                ));
            }
            _ => self.put(Input::Tick(self.now - rng.u64(0..LATE))),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn each_set_up_has_one_answer_by_its_time_or_was_given_up(seed: u64, steps in 20usize..600) {
        let (mut world, mut rng) = (World::new(seed), fastrand::Rng::with_seed(seed));
        for _ in 0..steps {
            world.step(&mut rng);
        }
        for _ in 0..400 {
            world.now += LATE / 4;
            world.put(Input::Tick(world.now));
        }
        let open = world.asks.iter().filter(|(_, (_, over))| !over).map(|(id, _)| *id);
        prop_assert_eq!(open.collect::<Vec<u64>>(), [] as [u64; 0]);
        prop_assert_eq!(&world.faults, &[] as &[String]);
    }
}
