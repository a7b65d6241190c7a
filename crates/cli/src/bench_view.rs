//! `peppercove bench view`: what a bounded view costs and saves, hollow and in simulated time.
//!
//! One or more schedulers, the real code, work in this process with hosts that are a few numbers each; no byte crosses
//! a socket. The module alone and the module in its view are given the same list, the same changes of it and the same
//! tasks. Times are of the calls of the decider, by the wall; processor time is their sum, times the share of the run
//! in which this thread had a processor.

use anyhow::{Context, Result, ensure};
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use hdrhistogram::Histogram;
use peppercove::{
    Action, AttemptOutcome, DedupScope, EndReason, Event, Idempotency, ListUpdateKind, LoadReport,
    Micros, NodeEntry, NodeId, NodeKind, NodeStatus, PlacementRequest, RequestId, Scheduler,
    ServiceId, Settings, TaskClass, TaskKey, TopologySpread,
};
use peppercove_core::Decide;
use peppercove_fleet::{NodeSubset, TARGET_SUBSET_SIZE};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

const SECOND: Micros = 1_000_000;
const RACK: usize = 40;
const CORES: f64 = 16.0;
/// Schedulers and starts a second of the size that is headed for.
const SCHEDULERS: u32 = 350;
const STARTS: f64 = 13_000.0;
/// Programs that a host keeps at hand.
const AT_HAND: usize = 12;

#[derive(Args)]
pub(crate) struct ViewArguments {
    /// Shorter runs.
    #[arg(long)]
    quick: bool,
    /// What bounded views do to the quality of placing, in place of what they cost.
    #[arg(long)]
    worth: bool,
    /// Services whose tasks come to one scheduler.
    #[arg(long, default_value_t = 256)]
    services: u64,
    /// One JSON object a line.
    #[arg(long)]
    json: bool,
}

/// One run.
#[derive(Debug, Serialize)]
struct Row {
    machines: usize,
    schedulers: u32,
    /// Schedulers that are real; the others' load is drawn.
    real: usize,
    /// Machines of a view without what zones and kinds add; none where the module sees the whole fleet.
    size: Option<u64>,
    bounded: bool,
    hollow: bool,
    /// Most machines that one module worked with at the end.
    held: usize,
    /// Machines that one scheduler offered tasks to, in the mean.
    contacted: f64,
    asked: u64,
    placed: u64,
    timely: f64,
    /// Final refusals and failures.
    refused: u64,
    /// Offers that a host refused, for each offer.
    offers_refused: f64,
    moved: u64,
    /// Most offers that a cold host was made within the window, by all real schedulers, and what it always bears.
    cold_most: usize,
    cold_bears: f64,
    bind_p50_us: u64,
    bind_p99_us: u64,
    /// Processor time of all calls for each task placed.
    processor_us_a_start: f64,
    longest_us: u64,
    /// The first whole list.
    whole_list_us: u64,
    /// Lines and bytes of list events that one module was given after it, in the mean.
    list_lines: f64,
    list_bytes: f64,
    /// Standard deviation of the asked share of cores over the machines, in the mean over the run.
    spread: f64,
    /// Different hosts that tasks of one service ran on, in the mean over services.
    hosts_a_service: f64,
    /// Machines with a task or more, in the mean over the run.
    opened: f64,
}

/// The module, with what it is told counted.
struct Counted {
    module: Scheduler,
    held: BTreeSet<NodeId>,
    lines: u64,
}

impl Decide for Counted {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        for event in events {
            let Event::NodeList {
                kind: scope,
                entries: lines,
                ..
            } = event
            else {
                continue;
            };
            self.lines += lines.len() as u64;
            if matches!(scope, ListUpdateKind::Full | ListUpdateKind::Cached) {
                self.held.clear();
            }
            for line in lines {
                if line.state == NodeStatus::Gone {
                    self.held.remove(&line.node);
                } else {
                    self.held.insert(line.node);
                }
            }
        }
        self.module.decide(now, events)
    }
}

enum Subject {
    Module(Box<Counted>),
    View(Box<NodeSubset<Counted>>),
}

impl Subject {
    fn new(settings: &Settings, seed: u64, size: Option<u64>) -> Subject {
        let module = Scheduler::new(settings.clone(), seed);
        let counted = Counted {
            module,
            held: BTreeSet::new(),
            lines: 0,
        };
        match size {
            Some(size) => Subject::View(Box::new(NodeSubset::with_target_size(
                counted, settings, size,
            ))),
            None => Subject::Module(Box::new(counted)),
        }
    }

    fn counted(&self) -> &Counted {
        match self {
            Subject::Module(counted) => counted,
            Subject::View(view) => view.inner(),
        }
    }

    fn is_bounded(&self) -> bool {
        matches!(self, Subject::View(view) if view.is_bounded())
    }

    fn decide(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match self {
            Subject::Module(counted) => counted.decide(now, &[event]),
            Subject::View(view) => view.decide(now, &[event]),
        }
    }
}

/// A host, as a few numbers.
struct Host {
    line: NodeEntry,
    /// Cores of tasks that schedulers of this run placed, and of drawn ones.
    used: f64,
    drawn: f64,
    tasks: BTreeSet<RequestId>,
    starting: u32,
    at_hand: VecDeque<ServiceId>,
    /// Offers within the window, of all schedulers.
    offers: VecDeque<Micros>,
}

impl Host {
    fn asked(&self) -> f64 {
        self.used + self.drawn
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            free_cores: Some((CORES - self.asked()).max(0.0)),
            ..LoadReport::default()
        }
    }

    fn is_cold(&self, now: Micros, settings: &Settings) -> bool {
        self.line.started_at > 0 && now < self.line.started_at + settings.slow_start_window
    }

    /// How long a start takes: longer without the program at hand, beside other starts, and while the host is cold.
    fn start(&mut self, service: ServiceId, now: Micros, settings: &Settings) -> Micros {
        let held = self.at_hand.iter().position(|s| *s == service);
        held.map(|at| self.at_hand.remove(at));
        self.at_hand.push_back(service);
        if self.at_hand.len() > AT_HAND {
            self.at_hand.pop_front();
        }
        let base = if held.is_some() { 100_000.0 } else { 500_000.0 };
        let since =
            now.saturating_sub(self.line.started_at) as f64 / settings.slow_start_window as f64;
        let pace = if self.is_cold(now, settings) {
            (settings.slow_start_min_share + since * (1.0 - settings.slow_start_min_share)).min(1.0)
        } else {
            1.0
        };
        self.starting += 1;
        (base * f64::from(self.starting) / pace) as Micros
    }
}

struct Job {
    scheduler: usize,
    ask: PlacementRequest,
    came: Micros,
    attempts: u16,
    /// The host of the attempt that is out, or of the task.
    host: Option<NodeId>,
    stands: bool,
}

enum What {
    Ask,
    Timer(usize, u64),
    /// Scheduler's request, its attempt: it starts, or is given up.
    Starts(RequestId, u16),
    GivenUp(RequestId, u16),
    Ends(RequestId),
    Deadline(RequestId),
    Replace,
    Leaves(NodeId),
    Sample,
}

/// What is played.
#[derive(Clone, Copy)]
struct Plan {
    machines: usize,
    schedulers: u32,
    real: usize,
    size: Option<u64>,
    services: u64,
    zones: usize,
    kinds: usize,
    /// Starts a second, over the real schedulers.
    rate: f64,
    life: f64,
    /// Others' load on a host, drawn up to this.
    drawn: f64,
    warm_up: Micros,
    lasts: Micros,
    /// Hosts replaced a second.
    replaced: f64,
}

struct Site {
    plan: Plan,
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    version: u64,
    next_id: u64,
    subjects: Vec<Subject>,
    hosts: BTreeMap<NodeId, Host>,
    jobs: BTreeMap<RequestId, Job>,
    queue: BTreeMap<(Micros, u64), What>,
    queued: u64,
    contacted: Vec<BTreeSet<NodeId>>,
    ran_on: BTreeMap<ServiceId, BTreeSet<NodeId>>,
    binds: Histogram<u64>,
    in_calls: f64,
    longest: u64,
    whole: u64,
    first_lines: u64,
    asked: u64,
    placed: u64,
    timely: u64,
    refused: u64,
    offers: u64,
    offers_refused: u64,
    moved: u64,
    cold_most: usize,
    spreads: Vec<f64>,
    opened: Vec<f64>,
}

fn settings(schedulers: u32, kinds: usize) -> Settings {
    let sample = Settings::sample();
    let safe = TaskClass {
        deadline: 5 * SECOND,
        latency_objective: SECOND,
        ..sample.classes[0].clone()
    };
    let keyed = Idempotency::Keyed {
        scope: DedupScope::Rack,
        window: 4 * SECOND,
    };
    let classes = vec![
        safe.clone(),
        TaskClass {
            idempotency: keyed,
            ..safe.clone()
        },
        TaskClass {
            idempotency: Idempotency::NonIdempotent,
            ..safe.clone()
        },
        TaskClass {
            topology_spread: TopologySpread::Rack,
            max_per_domain: 2,
            ..safe.clone()
        },
        TaskClass {
            node_kind: (kinds > 1).then_some(1),
            ..safe
        },
    ];
    let kind = NodeKind {
        cores: CORES,
        memory: 64.0,
    };
    Settings {
        schedulers,
        classes,
        node_kinds: vec![kind; kinds],
        mean_cores: 2.0,
        mean_memory: 4.0,
        is_list_polled: false,
        slow_start_budget: 20.0,
        fleet_price: 0.1,
        rejection_price: 0.01,
        ..sample
    }
}

/// The first line of the host of this number; its id is spread over all that an id can be.
fn line(number: usize, plan: &Plan) -> NodeEntry {
    let id = number as u64 + 1;
    NodeEntry {
        node: NodeId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        state: NodeStatus::Ready,
        kind: u8::from(plan.kinds > 1 && number.is_multiple_of(8)),
        rack: (number / RACK) as u16,
        zone: (number / RACK % plan.zones) as u8,
        ..NodeEntry::default()
    }
}

impl Site {
    fn new(plan: Plan) -> Result<Site> {
        let settings = settings(plan.schedulers, plan.kinds);
        let mut rng = fastrand::Rng::with_seed(43);
        let mut hosts = BTreeMap::new();
        for number in 0..plan.machines {
            let drawn = rng.f64() * plan.drawn;
            let mut line = line(number, &plan);
            (line.free_cores, line.free_memory) = (Some(CORES - drawn), Some(64.0 - 2.0 * drawn));
            let host = Host {
                line,
                used: 0.0,
                drawn,
                tasks: BTreeSet::new(),
                starting: 0,
                at_hand: VecDeque::new(),
                offers: VecDeque::new(),
            };
            hosts.insert(host.line.node, host);
        }
        let real = plan.real as u32;
        let subject = |n: u32| {
            let own_number = n * (plan.schedulers / real.max(1));
            let settings = Settings {
                own_index: own_number,
                own_zone: (n % plan.zones as u32) as u8,
                ..settings.clone()
            };
            Subject::new(&settings, u64::from(n) + 1, plan.size)
        };
        let mut site = Site {
            subjects: (0..real).map(subject).collect(),
            contacted: vec![BTreeSet::new(); plan.real],
            next_id: plan.machines as u64 + 1,
            plan,
            settings,
            rng,
            now: 1_000 * SECOND,
            version: 1,
            hosts,
            jobs: BTreeMap::new(),
            queue: BTreeMap::new(),
            queued: 0,
            ran_on: BTreeMap::new(),
            binds: Histogram::new_with_bounds(1, 60_000_000, 3)?,
            in_calls: 0.0,
            longest: 0,
            whole: 0,
            first_lines: 0,
            asked: 0,
            placed: 0,
            timely: 0,
            refused: 0,
            offers: 0,
            offers_refused: 0,
            moved: 0,
            cold_most: 0,
            spreads: Vec::new(),
            opened: Vec::new(),
        };
        site.queue(site.now, What::Ask);
        site.queue(site.now + SECOND, What::Sample);
        if plan.replaced > 0.0 {
            site.queue(site.now + SECOND, What::Replace);
        }
        Ok(site)
    }

    fn queue(&mut self, at: Micros, what: What) {
        self.queued += 1;
        self.queue.insert((at, self.queued), what);
    }

    fn is_counted(&self, came: Micros) -> bool {
        came >= 1_000 * SECOND + self.plan.warm_up
    }

    /// Calls a decider and carries out what it says.
    fn tell(&mut self, scheduler: usize, event: Event) {
        let (place, list) = (
            matches!(event, Event::Place(_)),
            matches!(event, Event::NodeList { .. }),
        );
        let began = Instant::now();
        let actions = self.subjects[scheduler].decide(self.now, event);
        let took = began.elapsed();
        let micros = took.as_micros() as u64;
        if list && self.version == 1 {
            self.whole = self.whole.max(micros);
        } else if self.is_counted(self.now) {
            self.in_calls += took.as_secs_f64();
            self.longest = self.longest.max(micros);
            if place {
                self.binds.saturating_record(micros);
            }
        }
        for action in actions {
            self.carry_out(scheduler, action);
        }
    }

    fn carry_out(&mut self, scheduler: usize, action: Action) {
        match action {
            Action::Dispatch {
                request,
                node: machine,
                timeout,
            } => self.offer(scheduler, request, machine, timeout),
            Action::SetTimer { label, at } => {
                self.queue(at.max(self.now + 1), What::Timer(scheduler, label))
            }
            Action::Reject { request, .. } | Action::Fail(request) => {
                if let Some(job) = self.jobs.remove(&request)
                    && self.is_counted(job.came)
                {
                    self.refused += 1;
                }
            }
            Action::CancelAttempt { request, attempt } => {
                self.given_up(request, attempt, AttemptOutcome::Cancelled)
            }
            Action::Migrate(request) => {
                let Some(job) = self.jobs.get(&request).filter(|job| job.stands) else {
                    return;
                };
                let (from, ask) = (job.scheduler, job.ask.clone());
                self.moved += 1;
                self.over(request, AttemptOutcome::Cancelled);
                self.ask(
                    from,
                    PlacementRequest {
                        is_retry: true,
                        ..ask
                    },
                );
            }
            Action::WatchNodes | Action::Probe(_) | Action::Broadcast(_) | Action::Log(_) => {}
        }
    }

    fn ask(&mut self, scheduler: usize, ask: PlacementRequest) {
        self.next_id += 1;
        let ask = PlacementRequest {
            id: RequestId(self.next_id),
            ..ask
        };
        let came = self.now;
        self.asked += u64::from(self.is_counted(came));
        let job = Job {
            scheduler,
            ask: ask.clone(),
            came,
            attempts: 0,
            host: None,
            stands: false,
        };
        self.jobs.insert(ask.id, job);
        self.queue(came + ask.deadline_in, What::Deadline(ask.id));
        self.tell(scheduler, Event::Place(ask));
    }

    fn new_ask(&mut self) {
        let scheduler = self.rng.usize(0..self.subjects.len());
        // Some services have far more tasks than others; one class holds for all tasks of a service.
        let service = (self.rng.f64().powi(2) * self.plan.services as f64) as u64;
        self.next_id += 1;
        let ask = PlacementRequest {
            id: RequestId(0),
            task: TaskKey(self.next_id),
            service: ServiceId(service + 1),
            class: (service % self.settings.classes.len() as u64) as u16,
            tenant: 0,
            cores: 1.0 + 2.0 * self.rng.f64(),
            memory: 4.0,
            deadline_in: 5 * SECOND,
            expected_duration: None,
            is_retry: false,
        };
        self.ask(scheduler, ask);
    }

    fn offer(
        &mut self,
        scheduler: usize,
        request: RequestId,
        machine: NodeId,
        timeout: Option<Micros>,
    ) {
        let counted = self.is_counted(self.now);
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        let attempt = job.attempts;
        job.attempts += 1;
        job.host = Some(machine);
        let (cores, service, until) = (
            job.ask.cores,
            job.ask.service,
            job.came + job.ask.deadline_in,
        );
        self.offers += u64::from(counted);
        self.contacted[scheduler].insert(machine);
        let ready = |host: &&mut Host| host.line.state == NodeStatus::Ready;
        let Some(host) = self.hosts.get_mut(&machine).filter(ready) else {
            return self.failed(request, attempt, machine, AttemptOutcome::Unreachable, None);
        };
        if host.is_cold(self.now, &self.settings) {
            host.offers
                .retain(|at| at + self.settings.overload_window > self.now);
            host.offers.push_back(self.now);
            self.cold_most = self.cold_most.max(host.offers.len());
        }
        if host.asked() + cores > CORES {
            self.offers_refused += u64::from(counted);
            let load = host.load();
            return self.failed(
                request,
                attempt,
                machine,
                AttemptOutcome::Rejected,
                Some(load),
            );
        }
        host.used += cores;
        host.tasks.insert(request);
        let start = self.now + host.start(service, self.now, &self.settings);
        let until = timeout.map_or(until, |t| until.min(self.now + t));
        let what = if start <= until {
            What::Starts(request, attempt)
        } else {
            What::GivenUp(request, attempt)
        };
        self.queue(start.min(until), what);
    }

    fn failed(
        &mut self,
        request: RequestId,
        attempt: u16,
        machine: NodeId,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        let Some(job) = self.jobs.get_mut(&request) else {
            return;
        };
        job.host = None;
        let scheduler = job.scheduler;
        let why = if outcome == AttemptOutcome::Rejected {
            EndReason::InsufficientCores
        } else {
            EndReason::Unknown
        };
        let event = Event::AttemptEnded {
            request,
            attempt,
            node: machine,
            outcome,
            reason: why,
            is_final: false,
            load,
        };
        self.tell(scheduler, event);
    }

    fn off_host(
        &mut self,
        request: RequestId,
        cores: f64,
        machine: NodeId,
        starting: bool,
    ) -> Option<LoadReport> {
        let host = self.hosts.get_mut(&machine)?;
        if host.tasks.remove(&request) {
            host.used -= cores;
            host.starting -= u32::from(starting && host.starting > 0);
        }
        Some(host.load())
    }

    fn given_up(&mut self, request: RequestId, attempt: u16, outcome: AttemptOutcome) {
        let out = |job: &&Job| !job.stands && job.attempts == attempt + 1;
        let Some((machine, cores)) = self
            .jobs
            .get(&request)
            .filter(out)
            .and_then(|job| Some((job.host?, job.ask.cores)))
        else {
            return;
        };
        self.off_host(request, cores, machine, true);
        self.failed(request, attempt, machine, outcome, None);
    }

    fn starts(&mut self, request: RequestId, attempt: u16) {
        let (now, counted) = (self.now, |came| self.is_counted(came));
        let Some(job) = self
            .jobs
            .get(&request)
            .filter(|j| !j.stands && j.attempts == attempt + 1)
        else {
            return;
        };
        let Some(machine) = job.host else { return };
        let (scheduler, service) = (job.scheduler, job.ask.service);
        if counted(job.came) {
            self.placed += 1;
            self.timely += u64::from(
                now - job.came
                    <= self.settings.classes[usize::from(job.ask.class)].latency_objective,
            );
        }
        if let Some(job) = self.jobs.get_mut(&request) {
            job.stands = true;
        }
        if let Some(host) = self.hosts.get_mut(&machine) {
            host.starting = host.starting.saturating_sub(1);
        }
        self.ran_on.entry(service).or_default().insert(machine);
        let life = -(1.0 - self.rng.f64()).ln() * self.plan.life;
        self.queue(now + (life * 1e6) as Micros, What::Ends(request));
        self.tell(
            scheduler,
            Event::Placed {
                request,
                attempt,
                node: machine,
            },
        );
    }

    /// A task that stands is over.
    fn over(&mut self, request: RequestId, outcome: AttemptOutcome) {
        let Some(job) = self.jobs.get(&request).filter(|job| job.stands) else {
            return;
        };
        let Some(machine) = job.host else { return };
        let (attempt, scheduler, cores) = (job.attempts - 1, job.scheduler, job.ask.cores);
        self.jobs.remove(&request);
        let load = self.off_host(request, cores, machine, false);
        let why = EndReason::Unknown;
        self.tell(
            scheduler,
            Event::AttemptEnded {
                request,
                attempt,
                node: machine,
                outcome,
                reason: why,
                is_final: true,
                load,
            },
        );
    }

    fn list(&mut self, lines: &[NodeEntry]) {
        self.version += 1;
        for scheduler in 0..self.subjects.len() {
            let (version, lines) = (self.version, lines.to_vec());
            self.tell(
                scheduler,
                Event::NodeList {
                    kind: ListUpdateKind::Incremental,
                    version,
                    entries: lines,
                },
            );
        }
    }

    /// A host drains; 5 s later it is gone and another stands in its place, cold.
    fn replace(&mut self) {
        let Some(machine) = self.rng.choice(self.hosts.keys().copied()) else {
            return;
        };
        let Some(host) = self
            .hosts
            .get_mut(&machine)
            .filter(|h| h.line.state == NodeStatus::Ready)
        else {
            return;
        };
        host.line.state = NodeStatus::Draining;
        let told = host.line.clone();
        self.queue(self.now + 5 * SECOND, What::Leaves(machine));
        self.list(&[told]);
    }

    fn leaves(&mut self, machine: NodeId) {
        let Some(host) = self.hosts.remove(&machine) else {
            return;
        };
        for request in &host.tasks {
            if self.jobs.get(request).is_some_and(|job| job.stands) {
                self.over(*request, AttemptOutcome::Lost);
            } else if let Some(attempts) = self.jobs.get(request).map(|job| job.attempts) {
                self.given_up(*request, attempts.saturating_sub(1), AttemptOutcome::Error);
            }
        }
        self.next_id += 1;
        let gone = NodeEntry {
            state: NodeStatus::Gone,
            ..host.line.clone()
        };
        let id = NodeId(self.next_id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (now, free) = (self.now, Some(CORES));
        let new = NodeEntry {
            node: id,
            state: NodeStatus::Ready,
            started_at: now,
            incarnation: now,
            free_cores: free,
            free_memory: Some(64.0),
            ..host.line
        };
        let lines = [gone, new.clone()];
        let host = Host {
            line: new,
            used: 0.0,
            drawn: 0.0,
            tasks: BTreeSet::new(),
            starting: 0,
            at_hand: VecDeque::new(),
            offers: VecDeque::new(),
        };
        self.hosts.insert(id, host);
        self.list(&lines);
    }

    fn sample(&mut self) {
        if !self.is_counted(self.now) {
            return;
        }
        let n = self.hosts.len() as f64;
        let shares: Vec<f64> = self.hosts.values().map(|h| h.asked() / CORES).collect();
        let mean = shares.iter().sum::<f64>() / n;
        let variance = shares.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / n;
        self.spreads.push(variance.sqrt());
        self.opened
            .push(shares.iter().filter(|s| **s > 0.0).count() as f64);
    }

    fn event(&mut self, what: What) {
        match what {
            What::Ask => {
                let wait = -(1.0 - self.rng.f64()).ln() / self.plan.rate;
                self.queue(self.now + (wait * 1e6) as Micros, What::Ask);
                self.new_ask();
            }
            What::Timer(scheduler, label) => self.tell(scheduler, Event::Timer(label)),
            What::Starts(request, attempt) => self.starts(request, attempt),
            What::GivenUp(request, attempt) => {
                self.given_up(request, attempt, AttemptOutcome::TimedOut)
            }
            What::Ends(request) => self.over(request, AttemptOutcome::Completed),
            What::Deadline(request) => {
                let open = self.jobs.get(&request).filter(|job| !job.stands);
                let Some((scheduler, host, cores)) =
                    open.map(|j| (j.scheduler, j.host, j.ask.cores))
                else {
                    return;
                };
                if let Some(machine) = host {
                    self.off_host(request, cores, machine, true);
                }
                let job = self.jobs.remove(&request);
                self.refused += u64::from(job.is_some_and(|job| self.is_counted(job.came)));
                self.tell(scheduler, Event::RequestCancelled(request));
            }
            What::Replace => {
                self.queue(
                    self.now + (1e6 / self.plan.replaced) as Micros,
                    What::Replace,
                );
                self.replace();
            }
            What::Leaves(machine) => self.leaves(machine),
            What::Sample => {
                self.queue(self.now + SECOND, What::Sample);
                self.sample();
            }
        }
    }

    fn play(mut self) -> Result<Row> {
        let lines: Vec<NodeEntry> = self.hosts.values().map(|host| host.line.clone()).collect();
        for scheduler in 0..self.subjects.len() {
            let lines = lines.clone();
            self.tell(
                scheduler,
                Event::NodeList {
                    kind: ListUpdateKind::Full,
                    version: 1,
                    entries: lines,
                },
            );
        }
        self.first_lines = self.subjects.iter().map(|s| s.counted().lines).sum();
        let end = self.now + self.plan.warm_up + self.plan.lasts;
        let (began, had) = (Instant::now(), processor()?);
        while let Some(((at, _), what)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.event(what);
        }
        let share = (processor()? - had) / began.elapsed().as_secs_f64();
        ensure!(self.placed > 0, "nothing was placed");
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        let real = self.subjects.len() as f64;
        let lines = self.subjects.iter().map(|s| s.counted().lines).sum::<u64>() - self.first_lines;
        let contacted: Vec<f64> = self.contacted.iter().map(|c| c.len() as f64).collect();
        let ran_on: Vec<f64> = self
            .ran_on
            .values()
            .map(|hosts| hosts.len() as f64)
            .collect();
        Ok(Row {
            machines: self.plan.machines,
            schedulers: self.plan.schedulers,
            real: self.plan.real,
            size: self.plan.size,
            bounded: self.subjects.iter().any(Subject::is_bounded),
            hollow: true,
            held: self
                .subjects
                .iter()
                .map(|s| s.counted().held.len())
                .max()
                .unwrap_or(0),
            contacted: mean(&contacted),
            asked: self.asked,
            placed: self.placed,
            timely: self.timely as f64 / self.asked.max(1) as f64,
            refused: self.refused,
            offers_refused: self.offers_refused as f64 / self.offers.max(1) as f64,
            moved: self.moved,
            cold_most: self.cold_most,
            cold_bears: self.settings.slow_start_budget,
            bind_p50_us: self.binds.value_at_quantile(0.5),
            bind_p99_us: self.binds.value_at_quantile(0.99),
            processor_us_a_start: self.in_calls * 1e6 * share.min(1.0) / self.placed as f64,
            longest_us: self.longest,
            whole_list_us: self.whole,
            list_lines: lines as f64 / real,
            list_bytes: lines as f64 / real * size_of::<NodeEntry>() as f64,
            spread: mean(&self.spreads),
            hosts_a_service: mean(&ran_on),
            opened: mean(&self.opened),
        })
    }
}

/// Processor time of this thread so far, in seconds.
fn processor() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text
        .split_whitespace()
        .next()
        .context("no processor time")?;
    Ok(nanos.parse::<f64>()? / 1e9)
}

fn cost(quick: bool, services: u64) -> Vec<Plan> {
    let plan = |machines: usize, size| Plan {
        machines,
        schedulers: SCHEDULERS,
        real: 1,
        size,
        services,
        zones: 44,
        kinds: 2,
        rate: STARTS / f64::from(SCHEDULERS),
        // 57,000 stand over all.
        life: 57_000.0 / STARTS,
        drawn: 10.0,
        warm_up: if quick { 10 } else { 30 } * SECOND,
        lasts: if quick { 20 } else { 90 } * SECOND,
        // 1,300 a day among 13,000, and a deploy that replaces the whole fleet within an hour.
        replaced: machines as f64 * (0.1 / 86_400.0 + 1.0 / 3_600.0),
    };
    [400, 1_300, 4_000, 13_000]
        .into_iter()
        .flat_map(|n| [plan(n, None), plan(n, Some(TARGET_SUBSET_SIZE))])
        .collect()
}

fn worth(quick: bool, services: u64) -> Vec<Plan> {
    // So many tasks a machine in the mean, of two cores each.
    let plan = |load: f64, machines: usize, schedulers: u32, size| Plan {
        machines,
        schedulers,
        real: schedulers as usize,
        size,
        services,
        zones: 2,
        kinds: 1,
        rate: machines as f64 * load / 20.0,
        life: 20.0,
        drawn: 0.0,
        warm_up: if quick { 20 } else { 40 } * SECOND,
        lasts: if quick { 20 } else { 80 } * SECOND,
        replaced: machines as f64 * (0.1 / 86_400.0 + 1.0 / 3_600.0),
    };
    let mut plans = Vec::new();
    for load in [3.0, 5.0] {
        for schedulers in [16, 32] {
            plans.extend(
                [None, Some(TARGET_SUBSET_SIZE), Some(100)]
                    .map(|size| plan(load, 400, schedulers, size)),
            );
        }
        plans.extend([None, Some(256)].map(|size| plan(load, 2_000, 64, size)));
    }
    plans
}

pub(crate) fn run(arguments: &ViewArguments) -> Result<()> {
    let plans =
        if arguments.worth { worth } else { cost }(arguments.quick, arguments.services.max(1));
    let mut rows = Vec::new();
    for plan in plans {
        let row = Site::new(plan)?.play()?;
        if arguments.json {
            println!("{}", serde_json::to_string(&row)?);
        }
        rows.push(row);
    }
    if !arguments.json {
        println!(
            "{}",
            if arguments.worth {
                worth_table(&rows)
            } else {
                cost_table(&rows)
            }
        );
    }
    Ok(())
}

fn seen(row: &Row) -> String {
    match (row.size, row.bounded) {
        (None, _) => "module alone".to_owned(),
        (Some(size), true) => format!("view of {size}"),
        (Some(size), false) => format!("view of {size}, not bounded"),
    }
}

fn cost_table(rows: &[Row]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header([
        "machines",
        "hollow",
        "held",
        "contacted",
        "placed",
        "bind p50 us",
        "p99 us",
        "CPU us/start",
        "longest us",
        "whole list us",
        "list lines",
        "list KB",
    ]);
    for r in rows {
        table.add_row([
            r.machines.to_string(),
            seen(r),
            r.held.to_string(),
            format!("{:.0}", r.contacted),
            r.placed.to_string(),
            r.bind_p50_us.to_string(),
            r.bind_p99_us.to_string(),
            format!("{:.0}", r.processor_us_a_start),
            r.longest_us.to_string(),
            r.whole_list_us.to_string(),
            format!("{:.0}", r.list_lines),
            format!("{:.0}", r.list_bytes / 1e3),
        ]);
    }
    table
}

fn worth_table(rows: &[Row]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header([
        "machines",
        "schedulers",
        "hollow",
        "held",
        "contacted",
        "asked",
        "timely",
        "refused",
        "offers refused",
        "cold, most",
        "spread",
        "hosts a service",
        "opened",
        "CPU us/start",
    ]);
    for r in rows {
        table.add_row([
            r.machines.to_string(),
            r.schedulers.to_string(),
            seen(r),
            r.held.to_string(),
            format!("{:.0}", r.contacted),
            r.asked.to_string(),
            format!("{:.3}", r.timely),
            r.refused.to_string(),
            format!("{:.4}", r.offers_refused),
            r.cold_most.to_string(),
            format!("{:.3}", r.spread),
            format!("{:.1}", r.hosts_a_service),
            format!("{:.0}", r.opened),
            format!("{:.0}", r.processor_us_a_start),
        ]);
    }
    table
}
