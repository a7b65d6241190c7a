//! A day played: everything started on loopback, the load and the faults over time, and the verdict at the end.

use crate::capturing_proxy::{Book, ClassFacts, Line, Tap};
use crate::clients::{Owners, misbehave};
use peppercove::Idempotency;
use peppercove_audit::{Event, Observation};
use peppercove_config::Config;
use peppercove_controller::{Controller, StartError};
use peppercove_core::Counters;
use peppercove_kernel::ScenarioReport;
use peppercove_kernel::client_model::ClassFact;
use peppercove_kernel::scenario::{Fault, FaultTarget, JobArrival, Scenario};
use peppercove_protocol::list::NodeState;
use peppercove_protocol::node;
use peppercove_standins::Clock;
use peppercove_standins::list::FakeNodeList;
use peppercove_standins::node::FakeNode;
use peppercove_standins::node_model::{ClassFault, FleetState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// A socket could not be had.
    #[error("socket: {0}")]
    Io(#[from] io::Error),
    /// A controller did not start.
    #[error("controller: {0}")]
    Start(#[from] StartError),
}

/// A controller that runs.
enum Running {
    /// In this process.
    Here(Box<Controller>),
    /// As a process of its own. Dropping it kills it.
    Apart(tokio::process::Child),
}

/// How a day's controllers run.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Where the records of the controllers and what the taps saw are written, if anywhere.
    pub records: Option<PathBuf>,
    /// The program that runs each controller as a process (`PROGRAM controller --config FILE --set ...`); in this
    /// process where left out.
    pub program: Option<PathBuf>,
}

/// One controller of the day, and what starts it again.
struct Seat {
    config: Config,
    program: Option<Program>,
    running: RefCell<Option<Running>>,
    tap: Tap,
    counted: RefCell<Vec<Counters>>,
}

impl Seat {
    fn kill(&self, book: &Book) {
        if let Some(controller) = self.running.borrow_mut().take() {
            book.write(Observation::Killed {
                controller: self.config.name.clone(),
            });
            match controller {
                Running::Here(controller) => {
                    self.counted.borrow_mut().push(controller.status().counters)
                }
                // SIGKILL: nothing of it runs on.
                Running::Apart(mut child) => drop(child.start_kill()),
            }
            self.tap.set_cut(true);
        }
    }

    async fn start(&self, book: &Book) -> Result<(), PlayError> {
        book.write(Observation::Started {
            controller: self.config.name.clone(),
        });
        let (running, address) = match &self.program {
            Some(program) => program.start().await?,
            None => {
                let controller = Controller::start(self.config.clone()).await?;
                let address = controller.address();
                (Running::Here(Box::new(controller)), address)
            }
        };
        self.tap.retarget(address);
        self.tap.set_cut(false);
        *self.running.borrow_mut() = Some(running);
        Ok(())
    }
}

/// A controller as a command.
struct Program {
    file: PathBuf,
    settings: PathBuf,
    values: Vec<String>,
}

impl Program {
    fn new(file: PathBuf, settings: PathBuf, script: &Scenario, config: &Config) -> Program {
        let text = |path: &Option<PathBuf>| path.as_ref().map(|p| p.display().to_string());
        let m = &config.scheduler;
        let confirms = match m.placement_ack {
            peppercove::PlacementAck::Accepted => "accepted",
            peppercove::PlacementAck::Running => "running",
        };
        let values = [
            ("controller/name", Some(config.name.clone())),
            ("controller/clients", Some("127.0.0.1:0".into())),
            ("controller/number", Some(m.own_index.to_string())),
            ("controller/of", Some(script.controllers.to_string())),
            ("controller/seed", config.seed.map(|s| s.to_string())),
            ("controller/journal", text(&config.journal_path)),
            ("controller/record", text(&config.record_path)),
            (
                "node-list/address",
                Some(config.network.node_list.to_string()),
            ),
            ("nodes/confirms", Some(confirms.into())),
            ("nodes/preempts", Some(m.allows_preemption.to_string())),
            ("nodes/probes", Some(m.can_probe.to_string())),
        ];
        let value = |(path, value): (&str, Option<String>)| value.map(|v| format!("{path}={v}"));
        Program {
            file,
            settings,
            values: values.into_iter().filter_map(value).collect(),
        }
    }

    /// Starts it and waits until it says where it listens.
    async fn start(&self) -> io::Result<(Running, std::net::SocketAddr)> {
        use tokio::io::{AsyncBufReadExt, BufReader};
        let mut command = tokio::process::Command::new(&self.file);
        command
            .arg("controller")
            .arg("--config")
            .arg(&self.settings);
        for value in &self.values {
            command.arg("--set").arg(value);
        }
        let null = std::process::Stdio::null;
        command
            .stdin(null())
            .stderr(null())
            .stdout(std::process::Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the controller has no output"))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).await?;
        let address = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|a| a.parse().ok());
        let address = address
            .ok_or_else(|| io::Error::other(format!("the controller says '{}'", line.trim())))?;
        Ok((Running::Apart(child), address))
    }
}

/// The fleet of a day on loopback.
struct Stage {
    clock: Clock,
    book: Book,
    shared: FleetState,
    list: FakeNodeList,
    nodes: Vec<FakeNode>,
    taps: Vec<Tap>,
    seats: Vec<Rc<Seat>>,
    rate: Cell<f64>,
    /// Where the controllers keep their journals.
    _disk: tempfile::TempDir,
}

/// Plays a day on a runtime of its own, in this thread.
///
/// # Errors
/// [`PlayError`] where a socket or a controller cannot be had.
pub fn run_scenario(
    script: &Scenario,
    seed: u64,
    how: &RunOptions,
) -> Result<ScenarioReport, PlayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let report = local.block_on(&runtime, run(script, seed, how));
    drop(local);
    report
}

impl Stage {
    async fn build(script: &Scenario, seed: u64, how: &RunOptions) -> Result<Stage, PlayError> {
        let (clock, shared) = (Clock::default(), FleetState::default());
        let book = Book::new(clock);
        let micros = |d: Duration| d.as_micros() as u64;
        let list =
            FakeNodeList::start(clock, micros(script.list_late), script.list_refresh).await?;
        let list_tap = Tap::start(list.address().into(), Line::List, book.clone()).await?;
        let (mut nodes, mut taps) = (Vec::new(), Vec::new());
        for (i, spec) in script.nodes.iter().enumerate() {
            let node = FakeNode::start(spec.clone(), shared.clone(), clock, seed ^ (i as u64) << 8)
                .await?;
            let line = Line::Node(spec.name.clone());
            let tap = Tap::start(node.address().into(), line, book.clone()).await?;
            list.add(&node, tap.address());
            nodes.push(node);
            taps.push(tap);
        }
        let facts = Rc::new(facts(&script.config));
        let mut seats = Vec::new();
        let disk = tempfile::tempdir()?;
        for i in 0..script.controllers {
            let mut config = script.config.clone();
            config.name = format!("controller-{i}");
            config.seed = Some(seed.wrapping_mul(1000) + i as u64);
            config.network.clients = ([127, 0, 0, 1], 0).into();
            config.network.node_list = list_tap.address().into();
            config.scheduler.schedulers = script.controllers as u32;
            config.scheduler.own_index = i as u32;
            config.journal_path = script.journal.then(|| disk.path().join(&config.name));
            config.record_path = how
                .records
                .as_ref()
                .map(|folder| folder.join(format!("controller-{i}.jsonl")));
            let line = Line::Clients(config.name.clone(), facts.clone());
            let tap = Tap::start(([127, 0, 0, 1], 9).into(), line, book.clone()).await?;
            let settings = disk.path().join("settings.xml");
            std::fs::write(&settings, &script.settings)?;
            let program = how
                .program
                .clone()
                .map(|file| Program::new(file, settings, script, &config));
            let (running, counted) = (RefCell::default(), RefCell::default());
            let seat = Seat {
                config,
                program,
                running,
                tap,
                counted,
            };
            seat.start(&book).await?;
            seats.push(Rc::new(seat));
        }
        Ok(Stage {
            clock,
            book,
            shared,
            list,
            nodes,
            taps,
            seats,
            rate: Cell::new(1.0),
            _disk: disk,
        })
    }

    /// Waits until every controller has a link to every node.
    async fn ready(&self) {
        let all = |s: &Rc<Seat>| match s.running.borrow().as_ref() {
            Some(Running::Here(c)) => c.status().connected_nodes == self.nodes.len(),
            Some(Running::Apart(_)) => self.book.greeted() >= self.nodes.len() * self.seats.len(),
            None => false,
        };
        for _ in 0..2000 {
            if self.seats.iter().all(all) {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn hit_nodes(&self, hits: &FaultTarget, rng: &mut fastrand::Rng) -> Vec<usize> {
        let all = 0..self.nodes.len();
        match hits {
            FaultTarget::Node(name) => all.filter(|i| self.nodes[*i].name() == name).collect(),
            FaultTarget::Rack(rack) => all
                .filter(|i| self.nodes[*i].read(|m| m.spec().rack) == *rack)
                .collect(),
            FaultTarget::Controller(_) => Vec::new(),
            FaultTarget::Share(share) => {
                let count = ((self.nodes.len() as f64 * share).round() as usize).max(1);
                let mut all: Vec<usize> = all.collect();
                rng.shuffle(&mut all);
                all.truncate(count);
                all
            }
        }
    }
}

fn facts(config: &Config) -> ClassFacts {
    let repeat = |r: Idempotency| match r {
        Idempotency::Idempotent => node::Idempotency::Idempotent,
        Idempotency::Keyed { .. } => node::Idempotency::Keyed,
        Idempotency::NonIdempotent => node::Idempotency::NonIdempotent,
    };
    let classes = config.classes.iter().zip(&config.scheduler.classes);
    ClassFacts {
        classes: classes
            .map(|(n, c)| (n.clone(), (c.deadline, Some(repeat(c.idempotency)))))
            .collect(),
        default: config.classes[usize::from(config.default_class)].clone(),
    }
}

async fn run(script: &Scenario, seed: u64, how: &RunOptions) -> Result<ScenarioReport, PlayError> {
    let stage = Rc::new(Stage::build(script, seed, how).await?);
    stage.ready().await;
    let stall = Rc::new(Cell::new(0));
    spawn_local(watch_stalls(stall.clone()));
    let begin = Instant::now();
    let end = begin + script.length;
    let addresses: Vec<SocketAddrV4> = stage.seats.iter().map(|s| s.tap.address()).collect();
    let safe = |c: &peppercove::TaskClass| ClassFact {
        safe: c.idempotency == Idempotency::Idempotent,
        deadline: Duration::from_micros(c.deadline),
    };
    let classes = script
        .config
        .classes
        .iter()
        .zip(&script.config.scheduler.classes);
    let classes: BTreeMap<String, ClassFact> = classes.map(|(n, c)| (n.clone(), safe(c))).collect();
    let settle = Duration::from_micros(script.config.scheduler.ambiguous_retry_delay);
    let owners = Rc::new(Owners::open(
        &addresses,
        &classes,
        settle,
        script.owners_move,
        end,
        seed,
    ));
    let mut faults = Vec::new();
    for (i, fault) in script.faults.iter().enumerate() {
        let rng = fastrand::Rng::with_seed(seed ^ 0xfau64 ^ (i as u64) << 16);
        faults.push(spawn_local(cause(stage.clone(), fault.clone(), begin, rng)));
    }
    for (i, _) in script.loads.iter().enumerate() {
        spawn_local(arrive(
            stage.clone(),
            owners.clone(),
            script.clone(),
            i,
            begin,
            end,
            seed,
        ));
    }
    spawn_local(arrive_stated(owners.clone(), script.jobs.clone(), begin));
    sleep_until(end).await;
    for fault in faults {
        if (fault.await).is_err() {
            return Err(io::Error::other("a fault of the script failed").into());
        }
    }
    let last = Instant::now() + script.after;
    while owners.open_asks() > 0 && Instant::now() < last {
        sleep(Duration::from_millis(20)).await;
    }
    let events = stage.book.take();
    if let Some(folder) = &how.records {
        write_captured_events(
            &folder.join(format!("taps-{}-{seed}.txt", script.name)),
            &events,
        )?;
    }
    Ok(report(script, seed, &stage, &owners, &events, stall.get()))
}

/// Writes down what the taps saw, a line each, for people who look into a breach.
///
/// # Errors
/// Where the file cannot be written.
pub fn write_captured_events(file: &std::path::Path, events: &[Event]) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(file)?);
    for event in events {
        writeln!(out, "{:.6} {:?}", event.at as f64 / 1e6, event.observation)?;
    }
    out.flush()
}

fn report(
    script: &Scenario,
    seed: u64,
    stage: &Stage,
    owners: &Owners,
    events: &[Event],
    stall: u64,
) -> ScenarioReport {
    let mut counters = Counters::default();
    for seat in &stage.seats {
        let now = match seat.running.borrow().as_ref() {
            Some(Running::Here(c)) => Some(c.status().counters),
            Some(Running::Apart(_)) | None => None,
        };
        for c in seat.counted.borrow().iter().copied().chain(now) {
            counters = counters.plus(&c);
        }
    }
    // From a tap to the controller: as late as the machine is, and a millisecond where that is less.
    let travel = stall.max(1_000);
    let (tally, open) = (owners.tally.borrow(), owners.open_asks());
    ScenarioReport::judged(
        script,
        seed,
        events,
        &stage.shared,
        &tally,
        counters,
        stall,
        travel,
        open,
        BTreeMap::new(),
    )
}

/// How long this thread was away at the longest: nothing in the run can be more punctual than that.
async fn watch_stalls(worst: Rc<Cell<u64>>) {
    let step = Duration::from_millis(2);
    loop {
        let due = Instant::now() + step;
        sleep_until(due).await;
        worst.set(worst.get().max(due.elapsed().as_micros() as u64));
    }
}

async fn arrive(
    stage: Rc<Stage>,
    owners: Rc<Owners>,
    script: Scenario,
    index: usize,
    begin: Instant,
    end: Instant,
    seed: u64,
) {
    let load = &script.loads[index];
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x10adu64 ^ (index as u64) << 24);
    let mut at = begin;
    let mut number = 0u64;
    loop {
        let rate = load.rate * stage.rate.get();
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if at >= end {
            return;
        }
        sleep_until(at).await;
        number += 1;
        let controller = rng.usize(0..owners.desks.len());
        let life = load.life.mul_f64(0.3 - 0.7 * (1.0 - rng.f64()).ln());
        let arrival = JobArrival {
            at: at - begin,
            class: load.class.clone(),
            service: format!("{}-{}", load.class, rng.u64(0..load.services)),
            life,
            cores: load.cores,
            memory: load.memory,
            tenant: load.tenant.clone(),
            controller,
        };
        owners.desks[controller].submit(arrival, (index as u64) << 40 | number);
    }
}

async fn arrive_stated(owners: Rc<Owners>, mut jobs: Vec<JobArrival>, begin: Instant) {
    jobs.sort_by_key(|j| j.at);
    for (i, job) in jobs.into_iter().enumerate() {
        sleep_until(begin + job.at).await;
        let desk = owners.desks[job.controller % owners.desks.len()].clone();
        desk.submit(job, 1 << 56 | i as u64);
    }
}

/// Begins a fault at its time and ends it at its end.
async fn cause(stage: Rc<Stage>, fault: Fault, begin: Instant, mut rng: fastrand::Rng) {
    sleep_until(begin + fault.at).await;
    let end = begin + fault.at + fault.lasts;
    let hit = stage.hit_nodes(&fault.hits, &mut rng);
    let nodes: Vec<FakeNode> = hit.iter().map(|i| stage.nodes[*i].clone()).collect();
    let size = fault.size;
    match fault.kind.as_str() {
        "list-down" => {
            stage.list.change_faults(|t| t.down = true);
            sleep_until(end).await;
            stage.list.change_faults(|t| t.down = false);
        }
        "list-stale" => {
            let more = (size * 1e6) as u64;
            stage.list.change_faults(|t| t.delay += more);
            sleep_until(end).await;
            stage.list.change_faults(|t| t.delay -= more);
        }
        "burst" => {
            stage.rate.set(stage.rate.get() * size);
            sleep_until(end).await;
            stage.rate.set(stage.rate.get() / size);
        }
        "controller-killed" => kill_controllers(&stage, &fault, end, &mut rng).await,
        "client-gone" | "client-flood" | "client-half-line" | "client-nonsense" => {
            for seat in &stage.seats {
                let (address, clock, kind) = (seat.tap.address(), stage.clock, fault.kind.clone());
                spawn_local(async move { misbehave(address, &kind, clock, fault.lasts).await });
            }
            sleep_until(end).await;
        }
        "rack-cut" => {
            hit.iter().for_each(|i| stage.taps[*i].set_cut(true));
            sleep_until(end).await;
            hit.iter().for_each(|i| stage.taps[*i].set_cut(false));
        }
        "cut" => nodes.iter().for_each(FakeNode::disconnect),
        "cut-midframe" => nodes.iter().for_each(FakeNode::disconnect_mid_frame),
        "flush" => nodes.iter().for_each(|n| n.flush(size)),
        "dies" => {
            nodes.iter().for_each(FakeNode::kill);
            // The list hears of it late; a dead node stays away.
            nodes
                .iter()
                .for_each(|n| stage.list.change(n.name(), NodeState::Removed));
        }
        "restarts" => {
            nodes.iter().for_each(FakeNode::kill);
            sleep_until(end).await;
            for node in &nodes {
                node.restart();
                stage.list.change(node.name(), NodeState::Ready);
            }
        }
        "drains" => {
            for node in &nodes {
                stage.list.change(node.name(), NodeState::Draining);
                node.drain();
            }
            sleep_until(end).await;
            for node in &nodes {
                node.kill();
                stage.list.change(node.name(), NodeState::Removed);
            }
        }
        kind => {
            let set = |on: bool| {
                for node in &nodes {
                    node.change_faults(|f| match kind {
                        "hang" => f.hangs = on,
                        "answers-lost" => f.message_loss = if on { size } else { 0.0 },
                        "never-confirms" => f.never_confirms = on,
                        "class-error" | "class-silence" if on => {
                            let how = if kind == "class-error" {
                                ClassFault::Error
                            } else {
                                ClassFault::Silence
                            };
                            f.failing_classes.insert(fault.class, how);
                        }
                        "class-error" | "class-silence" => {
                            f.failing_classes.remove(&fault.class);
                        }
                        "false-refusals" => f.false_rejections = if on { size } else { 0.0 },
                        "ageing" => f.pace_loss_per_second = if on { size } else { 0.0 },
                        "reports-late" => {
                            f.extra_report_delay = if on { (size * 1e6) as u64 } else { 0 }
                        }
                        "neighbour" => f.foreign_load = if on { size } else { 0.0 },
                        "repeats" => f.duplicates_messages = on,
                        "lies" => f.reports_unknown_attempts = on,
                        other => unreachable!("the table of a day has no fault '{other}'"),
                    });
                }
            };
            set(true);
            sleep_until(end).await;
            set(false);
        }
    }
}

async fn kill_controllers(stage: &Stage, fault: &Fault, end: Instant, rng: &mut fastrand::Rng) {
    let mut all: Vec<usize> = (0..stage.seats.len()).collect();
    match fault.hits {
        FaultTarget::Controller(i) => all.retain(|s| *s == i),
        FaultTarget::Share(share) => {
            rng.shuffle(&mut all);
            all.truncate(((stage.seats.len() as f64 * share).round() as usize).max(1));
        }
        FaultTarget::Node(_) | FaultTarget::Rack(_) => all.clear(),
    }
    all.iter().for_each(|i| stage.seats[*i].kill(&stage.book));
    sleep_until(end).await;
    for i in all {
        if let Err(error) = stage.seats[i].start(&stage.book).await {
            tracing::error!(%error, "a killed controller did not come back");
        }
    }
}
