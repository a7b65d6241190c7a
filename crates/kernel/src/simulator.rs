//! The world of one day: who is in it, what is under way between them, and what happens next.

mod clients;
mod faults;
mod listing;
mod wire;

use crate::client_model::Tally;
use crate::report::ScenarioReport;
use crate::scenario::{JobArrival, Scenario};
use clients::{Ask, Desk, Reply};
use listing::Subscription;
use peppercove::{Micros, NodeId, Scheduler, Settings};
use peppercove_audit::{Event, Observation};
use peppercove_config::Config;
use peppercove_core::attempt_log::JournalEntry;
use peppercove_core::nodes::node_id_of;
use peppercove_core::{Core, Counters, Decide, Input, Output};
use peppercove_exchange::{Backoff, core_limits};
use peppercove_fleet::NodeSubset;
use peppercove_protocol::list::FromList;
use peppercove_protocol::node::{FromNode, ProcessIdentity, ToNode};
use peppercove_standins::node_model::{FleetState, NodeModel};
use peppercove_standins::node_registry::{NodeRegistry, NodeSnapshot};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use wire::{Link, Wire};

/// Something that is to happen.
#[derive(Debug)]
enum Happens {
    /// A controller wants to be called.
    Wake { seat: usize, life: u64 },
    /// A node wants to be called.
    NodeWake { node: usize, due: Micros },
    /// The list looks around.
    Publish,
    /// A controller tries to reach a node.
    Dial {
        seat: usize,
        life: u64,
        machine: NodeId,
        try_: u64,
    },
    /// It waited long enough for the greeting.
    GreetLate { wire: usize },
    /// A frame arrives at a node.
    ToNode { wire: usize, message: Box<ToNode> },
    /// A frame arrives at a controller.
    FromNode { wire: usize, message: Box<FromNode> },
    /// One end learns that the link is over.
    Broken { wire: usize, at_node: bool },
    /// A controller calls the list.
    CallList { seat: usize, life: u64 },
    /// News of the list arrives; `None` is a failure.
    News {
        seat: usize,
        life: u64,
        subscription: u64,
        news: Option<Box<FromList>>,
    },
    /// A job is asked for.
    Arrives { load: usize, number: u64 },
    /// A job of the script is asked for.
    Stated { index: usize },
    /// An owner's call arrives at its controller.
    Call {
        seat: usize,
        life: u64,
        ask: Box<Ask>,
    },
    /// An answer arrives at an owner.
    Reply {
        desk: usize,
        life: u64,
        reply: Box<Reply>,
    },
    /// An owner finds its controller, or learns that it is away.
    Reach { desk: usize },
    /// An owner asks again.
    Again { desk: usize, ask: Box<Ask> },
    /// A fault begins or ends.
    Fault { index: usize, begins: bool },
}

/// A controller: what outlives its process, and the process.
struct Seat {
    config: Config,
    starts: u64,
    process: Option<Process>,
    /// The journal on its disk: what outlives a kill.
    journal: Vec<JournalEntry>,
    counted: Vec<Counters>,
}

/// What a kill ends.
struct Process {
    core: Core<Box<dyn Decide>>,
    life: u64,
    links: BTreeMap<NodeId, Link>,
    armed: Option<Micros>,
    list: Subscription,
    list_retry: Backoff,
}

/// A node: its model, and which link of each controller it speaks to.
struct Station {
    model: NodeModel,
    address: SocketAddrV4,
    links: BTreeMap<String, usize>,
    dead: bool,
    /// A cut lets no new link pass while it lasts.
    cut: u32,
    armed: Option<Micros>,
}

/// Makes what decides in a controller that starts, from its settings and seed.
pub type MakeDecider<'a> = &'a dyn Fn(&Settings, u64) -> Box<dyn Decide>;

pub(crate) struct World<'a> {
    script: &'a Scenario,
    decider: MakeDecider<'a>,
    seed: u64,
    now: Micros,
    set: u64,
    agenda: BTreeMap<(Micros, u64), Happens>,
    rng: fastrand::Rng,
    seats: Vec<Seat>,
    stations: Vec<Station>,
    by_id: BTreeMap<NodeId, usize>,
    wires: Vec<Wire>,
    roster: NodeRegistry,
    list_down: u32,
    desks: Vec<Desk>,
    tally: Tally,
    rate: f64,
    book: Vec<Event>,
    shared: FleetState,
    hazards: BTreeMap<&'static str, u64>,
    hit: BTreeMap<usize, Vec<usize>>,
    end: Micros,
}

/// Plays a day in simulated time. The same day and seed give the same report.
pub fn simulate(script: &Scenario, seed: u64) -> ScenarioReport {
    simulate_with_events(script, seed).0
}

/// Plays a day and gives what crossed the network as well, for people who look into a breach.
pub fn simulate_with_events(script: &Scenario, seed: u64) -> (ScenarioReport, Vec<Event>) {
    let module = |settings: &Settings, seed| -> Box<dyn Decide> {
        Box::new(NodeSubset::new(
            Scheduler::new(settings.clone(), seed),
            settings,
        ))
    };
    simulate_with_decider(script, seed, &module)
}

/// Plays a day whose controllers have views of so many machines beside one of each zone and kind, as a large fleet's have.
pub fn simulate_with_subset(script: &Scenario, seed: u64, size: u64) -> ScenarioReport {
    let module = |settings: &Settings, seed| -> Box<dyn Decide> {
        Box::new(NodeSubset::with_target_sizes(
            Scheduler::new(settings.clone(), seed),
            settings,
            size,
            1,
        ))
    };
    simulate_with_decider(script, seed, &module).0
}

/// Plays a day with other deciders than the program's own.
pub fn simulate_with_decider(
    script: &Scenario,
    seed: u64,
    decider: MakeDecider<'_>,
) -> (ScenarioReport, Vec<Event>) {
    let mut world = World::new(script, seed, decider);
    world.run();
    let report = world.report();
    (report, world.book)
}

/// Events in one day at most: a guard against a day that does not come to its end.
const MOST_EVENTS: u64 = 200_000_000;

impl<'a> World<'a> {
    fn new(script: &'a Scenario, seed: u64, decider: MakeDecider<'a>) -> World<'a> {
        let micros = |d: Duration| d.as_micros() as Micros;
        let shared = FleetState::default();
        let mut roster = NodeRegistry::new(
            micros(script.list_late),
            micros(script.list_refresh).max(1_000),
        );
        let mut stations = Vec::new();
        let mut by_id = BTreeMap::new();
        for (i, spec) in script.nodes.iter().enumerate() {
            let model = NodeModel::new(spec.clone(), shared.clone(), 1, seed ^ (i as u64) << 8);
            let port = i as u16;
            let address = SocketAddrV4::new(
                [127, 0, 1 + (i >> 16) as u8, 1].into(),
                port.wrapping_add(1),
            );
            roster.add(address, NodeSnapshot::of(&model));
            by_id.insert(node_id_of(address), i);
            let links = BTreeMap::new();
            stations.push(Station {
                model,
                address,
                links,
                dead: false,
                cut: 0,
                armed: None,
            });
        }
        let seats = (0..script.controllers).map(|i| Seat {
            config: seat_config(script, seed, i),
            starts: 0,
            process: None,
            journal: Vec::new(),
            counted: Vec::new(),
        });
        let desks = (0..script.controllers)
            .map(|i| Desk::new(seed, i))
            .collect();
        World {
            script,
            decider,
            seed,
            now: 0,
            set: 0,
            agenda: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed ^ 0x006b_6572_6e65_6c00),
            seats: seats.collect(),
            stations,
            by_id,
            wires: Vec::new(),
            roster,
            list_down: 0,
            desks,
            tally: Tally::default(),
            rate: 1.0,
            book: Vec::new(),
            shared,
            hazards: BTreeMap::new(),
            hit: BTreeMap::new(),
            end: 0,
        }
    }

    // ---- Time ----

    fn at(&mut self, at: Micros, happens: Happens) {
        self.set += 1;
        self.agenda.insert((at.max(self.now), self.set), happens);
    }

    fn after(&mut self, span: Micros, happens: Happens) {
        self.at(self.now + span, happens);
    }

    fn run(&mut self) {
        for seat in 0..self.seats.len() {
            self.start(seat);
        }
        self.at(self.roster.next_publication(), Happens::Publish);
        // The fleet gets to know itself before the day begins, as on sockets.
        let begin = 1_000_000;
        self.end = begin + self.script.length.as_micros() as Micros;
        let last = self.end + self.script.after.as_micros() as Micros;
        for load in 0..self.script.loads.len() {
            self.next_arrival(load, 0, begin);
        }
        for (index, job) in self.script.jobs.iter().enumerate() {
            self.at(
                begin + job.at.as_micros() as Micros,
                Happens::Stated { index },
            );
        }
        for (index, fault) in self.script.faults.iter().enumerate() {
            self.at(
                begin + fault.at.as_micros() as Micros,
                Happens::Fault {
                    index,
                    begins: true,
                },
            );
        }
        for _ in 0..MOST_EVENTS {
            let Some(((at, _), happens)) = self.agenda.pop_first() else {
                break;
            };
            let idle =
                at >= self.end && self.desks.iter().all(|d| d.open == 0) && self.faults_over(at);
            if at > last || idle {
                break;
            }
            self.now = at;
            self.happen(happens);
        }
    }

    fn faults_over(&self, at: Micros) -> bool {
        let begin = 1_000_000;
        let over =
            |f: &crate::scenario::Fault| begin + (f.at + f.lasts).as_micros() as Micros <= at;
        self.script.faults.iter().all(over)
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::Wake { seat, life } => {
                if let Some(p) = self.process(seat, life) {
                    p.armed = None;
                    self.input(seat, Input::Tick);
                }
            }
            Happens::NodeWake { node, due } => {
                let s = &mut self.stations[node];
                if s.armed == Some(due) {
                    s.armed = None;
                    if !s.dead {
                        self.node_acts(node, |model, now| model.tick(now));
                    }
                }
            }
            Happens::Publish => self.publish(),
            Happens::Dial {
                seat,
                life,
                machine,
                try_,
            } => self.dial(seat, life, machine, try_),
            Happens::GreetLate { wire } => self.greet_late(wire),
            Happens::ToNode { wire, message } => self.at_node(wire, *message),
            Happens::FromNode { wire, message } => self.at_controller(wire, *message),
            Happens::Broken { wire, at_node } => self.broken(wire, at_node),
            Happens::CallList { seat, life } => self.call_list(seat, life),
            Happens::News {
                seat,
                life,
                subscription,
                news,
            } => {
                self.list_news(seat, life, subscription, news);
            }
            Happens::Arrives { load, number } => self.arrives(load, number),
            Happens::Stated { index } => {
                let job: JobArrival = self.script.jobs[index].clone();
                let desk = job.controller % self.desks.len();
                self.submit(desk, job, 1 << 56 | index as u64);
            }
            Happens::Call { seat, life, ask } => self.call(seat, life, *ask),
            Happens::Reply { desk, life, reply } => self.reply(desk, life, *reply),
            Happens::Reach { desk } => self.reach(desk),
            Happens::Again { desk, ask } => self.ask(desk, *ask),
            Happens::Fault { index, begins } => self.fault(index, begins),
        }
    }

    fn hazard(&mut self, name: &'static str) {
        *self.hazards.entry(name).or_insert(0) += 1;
    }

    fn see(&mut self, seen: Observation) {
        self.book.push(Event {
            at: self.now,
            observation: seen,
        });
    }

    /// How long a message takes: mostly a fraction of a millisecond, now and then much longer.
    fn latency(&mut self) -> Micros {
        let base = self.rng.u64(40..250);
        match self.rng.u32(0..1000) {
            0 => base + self.rng.u64(5_000..40_000),
            1..10 => base + self.rng.u64(500..5_000),
            _ => base,
        }
    }

    // ---- Controllers ----

    fn process(&mut self, seat: usize, life: u64) -> Option<&mut Process> {
        self.seats[seat].process.as_mut().filter(|p| p.life == life)
    }

    fn party(&self, seat: usize, life: u64) -> ProcessIdentity {
        ProcessIdentity {
            name: self.seats[seat].config.name.clone(),
            incarnation: life,
        }
    }

    fn start(&mut self, seat: usize) {
        let now = self.now;
        let s = &mut self.seats[seat];
        if s.process.is_some() {
            return;
        }
        s.starts += 1;
        // Lives differ and are not in order, as those of processes that draw them.
        let life = xxhash_rust::xxh3::xxh3_64(format!("{seat} {}", s.starts).as_bytes());
        let config = &s.config;
        let seed = config.seed.unwrap_or(0).wrapping_add(s.starts << 32);
        let mut core = Core::new(
            (self.decider)(&config.scheduler, seed),
            core_limits(config, life),
        );
        core.recover(wall(now), &s.journal);
        if config.journal_path.is_some() {
            s.journal = core.snapshot();
        }
        let list_retry = Backoff::new(config.network.retry_least, config.network.retry_most);
        let (links, list) = (BTreeMap::new(), Subscription::default());
        s.process = Some(Process {
            core,
            life,
            links,
            armed: None,
            list,
            list_retry,
        });
        if !s.config.scheduler.is_list_polled {
            self.at(now, Happens::CallList { seat, life });
        }
        let controller = self.seats[seat].config.name.clone();
        self.see(Observation::Started { controller });
        self.input(seat, Input::Tick);
        let wait = self.rng.u64(1_000..50_000);
        self.after(wait, Happens::Reach { desk: seat });
    }

    /// The process ends as by SIGKILL: what it had handed to the network may still arrive, nothing else is left.
    fn kill(&mut self, seat: usize) {
        let Some(process) = self.seats[seat].process.take() else {
            return;
        };
        if process.core.open_requests() > 0 {
            self.hazard("killed with asks open");
        }
        if process.core.placed_tasks() > 0 {
            self.hazard("killed with placed tasks running");
        }
        let open: Vec<NodeId> = process.core.nodes_with_open_copies();
        let lost = |m: &NodeId| {
            let station = self.by_id.get(m).map(|i| &self.stations[*i]);
            station.is_some_and(|s| s.dead || s.cut > 0 || s.model.faults().hangs)
        };
        if open.iter().any(lost) {
            self.hazard("killed with a copy open at a node that is dead, cut off or hangs");
        }
        self.seats[seat].counted.push(process.core.counters());
        let name = self.seats[seat].config.name.clone();
        self.see(Observation::Killed { controller: name });
        for link in process.links.values() {
            if let Some(wire) = link.wire() {
                self.end_dies(wire, false);
            }
        }
        let learns = self.rng.u64(100..20_000);
        self.after(learns, Happens::Reach { desk: seat });
    }

    /// Hands an input to a core and carries out what it answers with.
    fn input(&mut self, seat: usize, input: Input) {
        let mut inputs = std::collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let now = self.now;
            let Some(process) = self.seats[seat].process.as_mut() else {
                return;
            };
            let outputs = process.core.handle(wall(now), input);
            for output in outputs {
                self.carry_out(seat, output, &mut inputs);
            }
        }
        let now = self.now;
        let Some(process) = self.seats[seat].process.as_mut() else {
            return;
        };
        let (life, next) = (
            process.life,
            process.core.next_wake().map(|at| at.saturating_sub(WALL)),
        );
        if let Some(at) = next.filter(|at| process.armed.is_none_or(|armed| *at < armed)) {
            let at = at.max(now + 1);
            process.armed = Some(at);
            self.at(at, Happens::Wake { seat, life });
        }
    }

    fn carry_out(
        &mut self,
        seat: usize,
        output: Output,
        inputs: &mut std::collections::VecDeque<Input>,
    ) {
        let Some(process) = self.seats[seat].process.as_ref() else {
            return;
        };
        let life = process.life;
        match output {
            Output::Accepted { ticket, job } => self.accepted(seat, life, ticket, job),
            Output::Rejected {
                ticket,
                reason: why,
            } => self.turned_away(seat, life, ticket, why),
            Output::Answered { job, answer } => self.settled(seat, life, job, answer),
            Output::ControlAccepted { .. }
            | Output::Finished(_)
            | Output::Broadcast(_)
            | Output::Log(_) => {}
            Output::Connect {
                node,
                address,
                name,
            } => self.connect(seat, life, node, address, name),
            Output::Disconnect(node) => self.disconnect(seat, node),
            Output::Journal(entries) => self.seats[seat].journal.extend(entries),
            Output::Watch => {
                let wait = self.rng.u64(20..100);
                self.after(wait, Happens::CallList { seat, life });
            }
            Output::Dispatch {
                node,
                request,
                attempt,
                ..
            } => {
                if !self.send_output(seat, &output) {
                    inputs.push_back(Input::DispatchFailed {
                        node,
                        request,
                        attempt,
                    });
                }
            }
            _ => {
                self.send_output(seat, &output);
            }
        }
    }

    // ---- The end ----

    fn report(&mut self) -> ScenarioReport {
        let mut counters = Counters::default();
        for seat in &self.seats {
            let now = seat.process.as_ref().map(|p| p.core.counters());
            for c in seat.counted.iter().copied().chain(now) {
                counters = counters.plus(&c);
            }
        }
        let open = self.desks.iter().map(|d| d.open).sum();
        let hazards = std::mem::take(&mut self.hazards);
        // The network may hold an answer up for as long as its slowest message. What nodes say is written down as it
        // reaches the controller, so that it takes no time from there.
        let stall = 45_000;
        ScenarioReport::judged(
            self.script,
            self.seed,
            &self.book,
            &self.shared,
            &self.tally,
            counters,
            stall,
            0,
            open,
            hazards,
        )
    }
}

/// Controllers read a wall clock; it stands for no real time here.
const WALL: Micros = 1_700_000_000_000_000;

fn wall(now: Micros) -> Micros {
    WALL + now
}

fn seat_config(script: &Scenario, seed: u64, i: usize) -> Config {
    let mut config = script.config.clone();
    config.name = format!("controller-{i}");
    config.seed = Some(seed.wrapping_mul(1000) + i as u64);
    config.journal_path = script.journal.then(|| "journal".into());
    config.scheduler = Settings {
        schedulers: script.controllers as u32,
        own_index: i as u32,
        ..script.config.scheduler.clone()
    };
    config
}
