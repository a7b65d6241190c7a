//! Words of a host that the page describes, over any of its connections, in any order the network may give them: an end
//! of a standing task reaches its owner once and in time, and no word of a given-up attempt ends another. To the module
//! no task is over that goes on at its host.

mod common;

use common::{MS, S, bounds, event, host, read, set_up, shape};
use peppercove::{Action, Event, Micros, NodeId, RequestId, Settings, TaskKey};
use peppercove_core::Decide;
use peppercove_platform::wire::{Message, MessageKind, cause, code};
use peppercove_platform::{ClientId, Disconnect, Input, NodeConnectionId, Output, PlatformEngine};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// No message is longer under way.
const UNDER_WAY: Micros = 150 * MS;
/// How soon owners must be told of an end that their controller heard of, and of one that it did not.
const PASSED_ON: Micros = S;
const FOUND_OUT: Micros = 8 * S;

/// A module that tries the one host again and again.
struct Stubborn {
    rng: fastrand::Rng,
    machine: NodeId,
    tries: BTreeMap<RequestId, u32>,
    tasks: BTreeMap<RequestId, TaskKey>,
    /// Tasks that are over for it.
    over: Rc<RefCell<Vec<TaskKey>>>,
}

impl Decide for Stubborn {
    fn decide(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        for event in events {
            match event {
                Event::Place(r) => drop(self.tasks.insert(r.id, r.task)),
                Event::AttemptEnded {
                    request,
                    is_final: true,
                    ..
                } => self.over.borrow_mut().extend(self.tasks.get(request)),
                _ => {}
            }
        }
        let waits = |e: &Event| match e {
            Event::Place(r) => Some(r.id),
            Event::AttemptEnded {
                request,
                is_final: false,
                ..
            } => Some(*request),
            _ => None,
        };
        let next = |request| {
            let tries = self.tries.entry(request).or_default();
            *tries += 1;
            if *tries > 3 {
                return Action::Fail(request);
            }
            let timeout = Some(self.rng.u64(20 * MS..400 * MS));
            Action::Dispatch {
                request,
                node: self.machine,
                timeout,
            }
        };
        events.iter().filter_map(waits).map(next).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Starting,
    Standing,
    Over(Micros),
}

/// An attempt as its host has it.
#[derive(Debug)]
struct Held {
    id: u64,
    link: u64,
    state: State,
}

/// What is under way to the desk.
#[derive(Debug)]
enum Word {
    /// The host took the connection.
    Up,
    Said(Message),
    /// The host closed: all it said before arrives.
    Closed,
    /// It is gone, with all that was under way.
    Broke,
}

/// A connection: what is under way on it, and who has it open still.
#[derive(Debug, Default)]
struct Wire {
    to_host: VecDeque<(Micros, Message)>,
    to_desk: VecDeque<(Micros, Word)>,
    host_has: bool,
    desk_has: bool,
    /// Ends said again that are under way. Where they are lost as well, nobody will ever hear them: the page's hosts say
    /// an end twice and no more, so the network here does not break a connection under them.
    again: usize,
}

struct World {
    desk: PlatformEngine<Stubborn>,
    over: Rc<RefCell<Vec<TaskKey>>>,
    rng: fastrand::Rng,
    now: Micros,
    dialled: Vec<u64>,
    wires: BTreeMap<u64, Wire>,
    held: Vec<Held>,
    /// Ends that the host says once more over the next connection that is opened.
    again: Vec<Message>,
    /// The attempt that each owner's answer came from.
    present: BTreeMap<u64, usize>,
    /// When the desk first heard the end of a task that stands for its owner.
    heard: BTreeMap<u64, Micros>,
    told: BTreeMap<u64, Micros>,
    faults: Vec<String>,
}

impl World {
    fn new(seed: u64) -> World {
        let machine = NodeId(xxhash_rust::xxh3::xxh3_64(b"a"));
        let over = Rc::new(RefCell::new(Vec::new()));
        let (tries, tasks) = (BTreeMap::new(), BTreeMap::new());
        let module = Stubborn {
            rng: fastrand::Rng::with_seed(!seed),
            machine,
            tries,
            tasks,
            over: over.clone(),
        };
        let settings = Settings {
            max_attempts: 4,
            ..Settings::sample()
        };
        let mut world = World {
            desk: PlatformEngine::new(module, settings, shape(), bounds(), seed),
            over,
            rng: fastrand::Rng::with_seed(seed),
            now: 1000 * S,
            dialled: Vec::new(),
            wires: BTreeMap::new(),
            held: Vec::new(),
            again: Vec::new(),
            present: BTreeMap::new(),
            heard: BTreeMap::new(),
            told: BTreeMap::new(),
            faults: Vec::new(),
        };
        world.put(Input::Start(vec![event(
            1,
            true,
            &[host("a", 1, "active", 0)],
        )]));
        world
    }

    fn put(&mut self, input: Input) {
        let mut outputs = self.desk.handle(self.now, input);
        while self.desk.has_queued_requests() {
            outputs.extend(self.desk.handle(self.now, Input::AdmitNext));
        }
        for task in std::mem::take(&mut *self.over.borrow_mut()) {
            let placed = self.present.iter().find(|(id, _)| TaskKey(**id) == task);
            if placed.is_some_and(|(_, n)| self.held[*n].state == State::Standing) {
                self.faults
                    .push(format!("{task:?} is over for the module and goes on"));
            }
        }
        for output in outputs {
            match output {
                Output::Connect(link, _) => self.dialled.push(link.0),
                Output::SendToNode(link, frame) | Output::Cancel(link, frame) => {
                    if let Some(wire) = self
                        .wires
                        .get_mut(&link.0)
                        .filter(|w| w.desk_has && w.host_has)
                    {
                        wire.to_host.push_back((self.now, read(&frame)));
                    }
                }
                Output::Close(link) => self.hang(link.0),
                Output::SendToClient(_, frame) => self.reply(&read(&frame)),
                Output::WatchEndpoints | Output::Log(_) => {}
            }
        }
    }

    /// The desk closes a connection: what the host has not read may be lost.
    fn hang(&mut self, link: u64) {
        let Some(wire) = self.wires.get_mut(&link) else {
            return;
        };
        wire.to_desk = VecDeque::from([(self.now, Word::Broke)]);
        let arrives = self.rng.usize(0..=wire.to_host.len());
        wire.to_host.truncate(arrives);
        while let Some((_, message)) = self
            .wires
            .get_mut(&link)
            .and_then(|w| w.to_host.pop_front())
        {
            self.host_reads(link, &message);
        }
        self.host_loses(link);
    }

    fn reply(&mut self, message: &Message) {
        let id = message.id;
        match message.kind {
            MessageKind::Answer => {
                // The answer that is passed on is the one that just arrived.
                let n = self.held.iter().position(|h| {
                    description(h) == message.get(code::DESCRIPTION).unwrap_or_default()
                });
                self.present.insert(id, n.expect("made by a host"));
            }
            MessageKind::Release if self.present.contains_key(&id) => {
                if self.told.insert(id, self.now).is_some() {
                    self.faults.push(format!("{id} told twice"));
                }
                let present = &self.held[self.present[&id]];
                if matches!(present.state, State::Over(_)) {
                    return;
                }
                // Its owner is told of an end that was not: only where the host could not be asked which it was.
                let has = |h: &Held| self.wires.get(&h.link).is_some_and(|w| w.host_has);
                let mut earlier = self
                    .held
                    .iter()
                    .filter(|h| h.id == id && h.link != present.link);
                if has(present) && earlier.all(has) {
                    self.faults
                        .push(format!("{id} ended by another attempt's word"));
                }
            }
            _ => {}
        }
    }

    // ---- The host ----

    fn say(&mut self, link: u64, message: Message) {
        if let Some(wire) = self.wires.get_mut(&link).filter(|w| w.host_has) {
            wire.to_desk.push_back((self.now, Word::Said(message)));
        }
    }

    /// Over the connection of the set-up, else any open one, and again over the next that is opened.
    fn say_end(&mut self, n: usize, cause: u8) {
        let (id, link) = (self.held[n].id, self.held[n].link);
        self.held[n].state = State::Over(self.now);
        let end = Message::release(id, cause);
        let open: Vec<u64> = self
            .wires
            .iter()
            .filter(|(_, w)| w.host_has)
            .map(|(l, _)| *l)
            .collect();
        let over = match open.contains(&link) {
            true => Some(link),
            false => self.rng.choice(&open).copied(),
        };
        if let Some(over) = over {
            self.say(over, end.clone());
        }
        self.again.push(end);
    }

    fn host_reads(&mut self, link: u64, message: &Message) {
        let id = message.id;
        match message.kind {
            MessageKind::SetUp if self.rng.u8(0..8) == 0 => {
                self.say(link, Message::release(id, cause::FULL))
            }
            MessageKind::SetUp => self.held.push(Held {
                id,
                link,
                state: State::Starting,
            }),
            MessageKind::Test => self.say(
                link,
                Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1]),
            ),
            MessageKind::Release => {
                let starting =
                    |h: &&mut Held| h.id == id && h.link == link && h.state == State::Starting;
                if let Some(held) = self.held.iter_mut().find(starting) {
                    held.state = State::Over(self.now);
                    return;
                }
                for n in 0..self.held.len() {
                    if self.held[n].id == id && self.held[n].state == State::Standing {
                        self.say_end(n, cause::CALLED_OFF);
                    }
                }
            }
            _ => {}
        }
    }

    /// Set-ups open on a closed connection are given up; what stands stands on.
    fn host_loses(&mut self, link: u64) {
        if let Some(wire) = self.wires.get_mut(&link) {
            wire.host_has = false;
            wire.to_host.clear();
        }
        for held in self
            .held
            .iter_mut()
            .filter(|h| h.link == link && h.state == State::Starting)
        {
            held.state = State::Over(self.now);
        }
    }

    // ---- The network ----

    fn open(&mut self, link: u64) {
        self.dialled.retain(|l| *l != link);
        // Its host has it before the desk knows.
        let to_desk = VecDeque::from([(self.now, Word::Up)]);
        self.wires.insert(
            link,
            Wire {
                host_has: true,
                to_desk,
                ..Wire::default()
            },
        );
        let again = std::mem::take(&mut self.again);
        self.wires.get_mut(&link).expect("there").again = again.len();
        for end in again {
            self.say(link, end);
        }
    }

    fn arrive_at_host(&mut self, link: u64) {
        let message = self
            .wires
            .get_mut(&link)
            .and_then(|w| w.to_host.pop_front());
        if let Some((_, message)) = message {
            self.host_reads(link, &message);
        }
    }

    fn arrive_at_desk(&mut self, link: u64) {
        let Some(wire) = self.wires.get_mut(&link) else {
            return;
        };
        let Some((_, word)) = wire.to_desk.pop_front() else {
            return;
        };
        if let Word::Said(_) = word {
            wire.again = wire.again.saturating_sub(1);
        }
        match word {
            Word::Up => {
                wire.desk_has = true;
                self.put(Input::NodeConnected(NodeConnectionId(link)));
            }
            Word::Said(message) => {
                let of_standing = message.kind == MessageKind::Release
                    && self
                        .present
                        .get(&message.id)
                        .is_some_and(|n| matches!(self.held[*n].state, State::Over(_)));
                if of_standing {
                    self.heard.entry(message.id).or_insert(self.now);
                }
                self.put(Input::NodeMessage(NodeConnectionId(link), message));
            }
            Word::Closed | Word::Broke => {
                let (was_up, whole) = (wire.desk_has, matches!(word, Word::Closed));
                wire.desk_has = false;
                let how = if was_up {
                    Disconnect::Broken {
                        bytes_written: u64::MAX,
                        is_clean: whole,
                    }
                } else {
                    Disconnect::ConnectFailed
                };
                self.put(Input::NodeDisconnected(NodeConnectionId(link), how));
            }
        }
    }

    /// Lets a little time pass: the desk is woken when it wants to be, and nothing is under way for too long.
    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let sent = |at: &Micros| at + UNDER_WAY;
            let first = |w: &Wire| {
                let host = w.to_host.front().map(|(at, _)| sent(at));
                host.into_iter()
                    .chain(w.to_desk.front().map(|(at, _)| sent(at)))
                    .min()
            };
            let late = self
                .wires
                .iter()
                .filter_map(|(l, w)| Some((first(w)?, *l)))
                .min();
            let wake = self.desk.next_wake();
            match (late, wake) {
                (Some((at, link)), _) if at <= end && wake.is_none_or(|w| at <= w) => {
                    self.now = self.now.max(at);
                    self.arrive_at_host(link);
                    self.arrive_at_desk(link);
                }
                (_, Some(at)) if at <= end => {
                    self.now = self.now.max(at);
                    self.put(Input::Tick(self.now));
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// One thing happens that the page allows.
    fn step(&mut self, next_id: &mut u64, quiet: bool) {
        let links: Vec<u64> = self.wires.keys().copied().collect();
        let link = self.rng.choice(&links).copied().unwrap_or(0);
        let n = self.rng.usize(0..self.held.len().max(1));
        let state = self.held.get(n).map(|h| h.state);
        match self.rng.u8(0..20) {
            0..=1 if !quiet => {
                self.put(Input::ClientMessage(ClientId(1), set_up(*next_id, "plain")));
                *next_id += 1;
            }
            2 if self.rng.u8(0..4) == 0 => {
                // An owner ends a task that stands for it: nothing is owed to it any more.
                let known: Vec<u64> = self
                    .present
                    .keys()
                    .filter(|id| !self.told.contains_key(id))
                    .copied()
                    .collect();
                if let Some(id) = self.rng.choice(&known).copied() {
                    self.told.insert(id, self.now);
                    self.put(Input::ClientMessage(
                        ClientId(1),
                        Message::release(id, cause::CALLED_OFF),
                    ));
                }
            }
            2..=4 => {
                if let Some(link) = self.rng.choice(&self.dialled).copied() {
                    self.open(link);
                }
            }
            5..=8 => self.arrive_at_host(link),
            9..=12 => self.arrive_at_desk(link),
            13..=14 if state == Some(State::Starting) => {
                let (held, to) = (&self.held[n], self.held[n].link);
                let answer = Message::new(MessageKind::Answer, held.id)
                    .with(code::DESCRIPTION, &description(held));
                self.held[n].state = State::Standing;
                self.say(to, answer);
            }
            15 if state == Some(State::Standing) => {
                let cause = [cause::ORDINARY, cause::CUT][self.rng.usize(0..2)];
                self.say_end(n, cause);
            }
            16 if !quiet => {
                let starting = self
                    .held
                    .iter()
                    .any(|h| h.link == link && h.state == State::Starting);
                if !starting && self.wires.get(&link).is_some_and(|w| w.host_has) {
                    self.host_loses(link);
                    self.wires
                        .get_mut(&link)
                        .expect("there")
                        .to_desk
                        .push_back((self.now, Word::Closed));
                }
            }
            17 if !quiet
                && self
                    .wires
                    .get(&link)
                    .is_some_and(|w| w.host_has && w.again == 0) =>
            {
                self.host_loses(link);
                self.wires.get_mut(&link).expect("there").to_desk =
                    VecDeque::from([(self.now, Word::Broke)]);
            }
            _ => {}
        }
        self.wires
            .retain(|_, w| w.desk_has || w.host_has || !w.to_desk.is_empty());
    }
}

fn description(held: &Held) -> Vec<u8> {
    format!("{} over {}", held.id, held.link).into_bytes()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn an_end_reaches_its_owner_once_in_time_and_no_word_of_another_attempt_ends_a_task(
        seed: u64, steps in 100usize..1200
    ) {
        let mut world = World::new(seed);
        let mut next_id = 1;
        for step in 0..steps + 600 {
            let quiet = step >= steps;
            let span = world.rng.u64(0..20 * MS);
            world.pass(span);
            world.step(&mut next_id, quiet);
            prop_assert!(world.faults.is_empty(), "{:?}", world.faults);
        }
        // Nothing happens any more but what is under way, and connections that are dialled come up.
        for _ in 0..300 {
            for link in std::mem::take(&mut world.dialled) {
                world.open(link);
            }
            world.pass(50 * MS);
        }
        prop_assert!(world.faults.is_empty(), "{:?}", world.faults);
        for (id, n) in &world.present {
            let told = world.told.get(id);
            if let State::Over(at) = world.held[*n].state {
                let late = "an end of which its owner hears late or never";
                prop_assert!(told.is_some_and(|t| *t <= at + FOUND_OUT), "{late}: {id} over at {at}, told {told:?}");
                let heard = world.heard.get(id);
                prop_assert!(heard.is_none_or(|h| told.is_some_and(|t| *t <= h + PASSED_ON)), "{late}: {id} {heard:?} {told:?}");
            }
            let stands = world.held.iter().any(|h| h.id == *id && h.state == State::Standing);
            prop_assert!(told.is_none() || !stands, "{} goes on though its owner was told that it is over", id);
        }
    }
}
