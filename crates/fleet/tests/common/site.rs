//! A site in steps of time, with schedulers that are told late and restart, and a referee that knows only what each was
//! told and what it did.

use super::*;
use fastrand::Rng;

pub const STEP: Micros = SECOND / 20;

pub struct Try {
    pub machine: NodeId,
    rack: (u8, u16),
    sent_at: Micros,
    ends_at: Micros,
    open: bool,
    may_have_run: bool,
}

pub struct Case {
    ask: PlacementRequest,
    deadline: Micros,
    placed: bool,
    tries: Vec<Try>,
}

/// One scheduler, what is on its way to it and what it has been told.
pub struct Member<D> {
    pub module: D,
    pub told: Told,
    coming: Vec<(Micros, Event)>,
    last: Option<Event>,
    timers: Vec<(Micros, u64)>,
    cases: BTreeMap<RequestId, Case>,
}

pub struct Site<D> {
    pub settings: Settings,
    pub members: Vec<Member<D>>,
    pub fleet: BTreeMap<NodeId, NodeEntry>,
    pub now: Micros,
    pub rng: Rng,
    pub binds: u64,
    /// The most offers that a cold machine got within a window.
    pub most_cold: usize,
    version: u64,
    next: u64,
    /// Offers to each life of a machine: what an earlier one was sent went with it.
    offers: BTreeMap<(NodeId, Micros), Vec<Micros>>,
    make: fn(&Settings, u64) -> D,
}

impl<D: Decide> Site<D> {
    pub fn new(
        settings: &Settings,
        machines: u64,
        seed: u64,
        make: fn(&Settings, u64) -> D,
    ) -> Site<D> {
        let mut site = Site {
            settings: settings.clone(),
            members: Vec::new(),
            fleet: lines(0..machines)
                .into_iter()
                .map(|line| (line.node, line))
                .collect(),
            now: SECOND,
            rng: Rng::with_seed(seed),
            binds: 0,
            most_cold: 0,
            version: 1,
            next: 1,
            offers: BTreeMap::new(),
            make,
        };
        for own in 0..settings.schedulers {
            let member = site.member(own);
            site.members.push(member);
        }
        for m in 0..site.members.len() {
            let whole = site.whole();
            site.tell(m, whole);
        }
        site
    }

    fn member(&mut self, own_number: u32) -> Member<D> {
        let settings = Settings {
            own_index: own_number,
            ..self.settings.clone()
        };
        let module = (self.make)(&settings, self.rng.u64(..));
        let (told, last) = (Told::default(), None);
        let (coming, timers, cases) = (Vec::new(), Vec::new(), BTreeMap::new());
        Member {
            module,
            told,
            coming,
            last,
            timers,
            cases,
        }
    }

    pub fn whole(&self) -> Event {
        list(
            ListUpdateKind::Full,
            self.version,
            self.fleet.values().cloned().collect(),
        )
    }

    /// These lines are new; each scheduler is told up to so much later, as a change or with the whole list, some twice,
    /// some once more when it is old, and some after a call for the list that failed.
    pub fn change(&mut self, changed: Vec<NodeEntry>, late: Micros) {
        self.version += 1;
        for line in &changed {
            match line.state {
                NodeStatus::Gone => drop(self.fleet.remove(&line.node)),
                _ => drop(self.fleet.insert(line.node, line.clone())),
            }
        }
        let (whole, delta) = (
            self.whole(),
            list(ListUpdateKind::Incremental, self.version, changed),
        );
        for member in &mut self.members {
            let after = member
                .coming
                .iter()
                .map(|(at, _)| *at)
                .max()
                .unwrap_or(0)
                .max(self.now);
            let at = after + self.rng.u64(0..=late);
            let event = if self.rng.u8(0..4) == 0 {
                &whole
            } else {
                &delta
            };
            match self.rng.u8(0..8) {
                0 => member.coming.push((at, event.clone())),
                1 => member.coming.push((at + late, event.clone())),
                2 => member
                    .coming
                    .push((at, list(ListUpdateKind::Failed, 0, Vec::new()))),
                _ => {}
            }
            member.coming.push((at, event.clone()));
            if self.rng.u8(0..8) == 0 {
                member
                    .coming
                    .extend(member.last.clone().map(|old| (at, old)));
            }
        }
    }

    pub fn place(&mut self, m: usize, class: u16, service: u64) {
        let request = RequestId(self.next);
        self.next += 1;
        let ask = ask(request.0, class, service);
        let (deadline, placed) = (self.now + ask.deadline_in, false);
        let case = Case {
            ask: ask.clone(),
            deadline,
            placed,
            tries: Vec::new(),
        };
        self.members[m].cases.insert(request, case);
        self.tell(m, Event::Place(ask));
    }

    /// A scheduler is killed and comes back with the list that it had; its tasks that run are handed over.
    pub fn restart(&mut self, m: usize) {
        let new = self.member(m as u32);
        let old = std::mem::replace(&mut self.members[m], new);
        let seen = old
            .told
            .lines
            .into_values()
            .filter(|line| line.state != NodeStatus::Gone)
            .collect();
        self.members[m].coming = old.coming;
        let standing = old.cases.into_values().filter(|case| case.placed);
        let mut standing: Vec<Case> = standing
            .filter(|c| c.tries.iter().any(|t| t.open))
            .collect();
        // Half before the list, half after it.
        let after = standing.split_off(standing.len() / 2);
        self.hand_over(m, standing);
        self.tell(m, list(ListUpdateKind::Cached, old.told.version, seen));
        self.hand_over(m, after);
    }

    fn hand_over(&mut self, m: usize, cases: Vec<Case>) {
        for case in cases {
            let request = RequestId(self.next);
            self.next += 1;
            let ask = PlacementRequest {
                id: request,
                ..case.ask
            };
            let tries: Vec<Try> = case.tries.into_iter().filter(|t| t.open).collect();
            let machine = tries[0].machine;
            let case = Case {
                ask: ask.clone(),
                deadline: case.deadline,
                placed: true,
                tries,
            };
            self.members[m].cases.insert(request, case);
            self.tell(
                m,
                Event::RunningTask {
                    request: ask,
                    node: machine,
                },
            );
        }
    }

    pub fn tell(&mut self, m: usize, event: Event) {
        self.members[m]
            .told
            .decide(self.now, std::slice::from_ref(&event));
        if matches!(
            event,
            Event::NodeList {
                kind: ListUpdateKind::Incremental | ListUpdateKind::Full,
                ..
            }
        ) {
            self.members[m].last = Some(event.clone());
        }
        for action in self.members[m].module.decide(self.now, &[event]) {
            match action {
                Action::Dispatch {
                    request,
                    node: machine,
                    timeout,
                } => self.judge(m, request, machine, timeout),
                Action::SetTimer { label, at } => self.members[m].timers.push((at, label)),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    let case = self.members[m]
                        .cases
                        .remove(&request)
                        .expect("an answer to a known request");
                    assert!(
                        !case.placed && case.tries.iter().all(|t| !t.open),
                        "an answer to what is out"
                    );
                }
                _ => {}
            }
        }
    }

    fn judge(&mut self, m: usize, request: RequestId, machine: NodeId, timeout: Option<Micros>) {
        self.binds += 1;
        let (now, settings, member) = (self.now, &self.settings, &mut self.members[m]);
        let line = member
            .told
            .lines
            .get(&machine)
            .expect("a machine that it was told of")
            .clone();
        assert_eq!(
            line.state,
            NodeStatus::Ready,
            "{m} sends to {machine:?}, which drains or is gone"
        );
        let case = &member.cases[&request];
        let class = &settings.classes[usize::from(case.ask.class)];
        assert!(
            !case.placed && case.tries.iter().all(|t| !t.open),
            "{m}: two attempts of {request:?} are out"
        );
        assert!(case.tries.len() < settings.max_attempts as usize);
        let rack = (line.zone, line.rack);
        if let Some(first) = case.tries.iter().find(|t| t.may_have_run) {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("{m}: {request:?} must not run twice"),
                Idempotency::Keyed { window, .. } => {
                    assert!(
                        first.rack == rack && now < first.sent_at + window,
                        "{request:?} outside its group"
                    );
                }
            }
        }
        if class.topology_spread == TopologySpread::Rack {
            let same = member
                .cases
                .values()
                .filter(|c| c.ask.service == case.ask.service);
            let there = same
                .flat_map(|c| &c.tries)
                .filter(|t| t.open && t.rack == rack)
                .count();
            assert!(
                there < class.max_per_domain as usize,
                "{m}: {:?} crowds {rack:?}",
                case.ask.service
            );
        }
        // Judged for those that were told of the machine's last start; others take it to be warm.
        let started_at = self.fleet.get(&machine).map_or(0, |line| line.started_at);
        if started_at > 0
            && line.started_at == started_at
            && now < started_at + settings.slow_start_window
        {
            let window = settings.overload_window;
            let offers = self.offers.entry((machine, started_at)).or_default();
            offers.retain(|at| at + window > now);
            offers.push(now);
            self.most_cold = self.most_cold.max(offers.len());
            assert!(
                offers.len() as f64 <= settings.slow_start_budget,
                "{machine:?} is cold: {offers:?}"
            );
        }
        let case = member.cases.get_mut(&request).unwrap();
        let ends_at = case.deadline.min(timeout.map_or(Micros::MAX, |t| now + t));
        let (open, may_have_run) = (true, false);
        case.tries.push(Try {
            machine,
            rack,
            sent_at: now,
            ends_at,
            open,
            may_have_run,
        });
    }

    /// What is due comes in, and some attempts and tasks end.
    pub fn step(&mut self) {
        self.now += STEP;
        for m in 0..self.members.len() {
            let now = self.now;
            while let Some(i) = self.members[m].coming.iter().position(|(at, _)| *at <= now) {
                let (_, event) = self.members[m].coming.remove(i);
                self.tell(m, event);
            }
            while let Some(i) = self.members[m].timers.iter().position(|(at, _)| *at <= now) {
                let (_, label) = self.members[m].timers.remove(i);
                self.tell(m, Event::Timer(label));
            }
            let out = |(request, case): (&RequestId, &Case)| {
                let open = |(i, t): (usize, &Try)| {
                    t.open.then_some((*request, i as u16, t.machine, t.ends_at))
                };
                case.tries
                    .iter()
                    .enumerate()
                    .find_map(open)
                    .map(|open| (open, case.placed))
            };
            let out: Vec<_> = self.members[m].cases.iter().filter_map(out).collect();
            for ((request, attempt, machine, ends_at), placed) in out {
                let dead = !self.fleet.contains_key(&machine);
                let outcome = match (placed, self.rng.u8(0..100)) {
                    (true, 0..2) => AttemptOutcome::Completed,
                    (true, _) if dead => AttemptOutcome::Lost,
                    (false, _) if ends_at <= now => AttemptOutcome::TimedOut,
                    (false, 0..10) if dead => AttemptOutcome::Unreachable,
                    (false, 0..5) => AttemptOutcome::Rejected,
                    (false, 5..8) => AttemptOutcome::Lost,
                    (false, 8..50) if !dead => {
                        self.members[m].cases.get_mut(&request).unwrap().placed = true;
                        self.tell(
                            m,
                            Event::Placed {
                                request,
                                attempt,
                                node: machine,
                            },
                        );
                        continue;
                    }
                    _ => continue,
                };
                self.end(m, request, attempt, outcome);
            }
        }
    }

    fn end(&mut self, m: usize, request: RequestId, attempt: u16, outcome: AttemptOutcome) {
        let Some(case) = self.members[m].cases.get_mut(&request) else {
            return;
        };
        // One that was handed over has its only try at attempt 0.
        let t = &mut case.tries[usize::from(attempt)];
        (t.open, t.may_have_run) = (
            false,
            !matches!(
                outcome,
                AttemptOutcome::Rejected | AttemptOutcome::Unreachable
            ),
        );
        let (machine, over, why) = (t.machine, case.placed, EndReason::Unknown);
        if over {
            self.members[m].cases.remove(&request);
        }
        self.tell(
            m,
            Event::AttemptEnded {
                request,
                attempt,
                node: machine,
                outcome,
                reason: why,
                is_final: over,
                load: None,
            },
        );
    }

    /// A life for a part of the fleet: some machines drain, die, come back cold.
    pub fn trouble(&mut self, most: u64, machines: u64) {
        let changed = (0..self.rng.u64(1..=most)).map(|_| {
            let machine = self.rng.u64(0..machines);
            let restarted = NodeEntry {
                started_at: self.now,
                incarnation: self.now,
                ..line(machine)
            };
            match self.rng.u8(0..4) {
                0 => NodeEntry {
                    state: NodeStatus::Draining,
                    ..restarted
                },
                1 => NodeEntry {
                    state: NodeStatus::Gone,
                    ..restarted
                },
                _ => restarted,
            }
        });
        // Lines of one list may name a machine twice; the last one stands.
        let changed: Vec<NodeEntry> = changed.collect();
        self.change(changed, SECOND);
    }

    /// Seconds of it, with so many tasks a second at each scheduler.
    pub fn live(&mut self, seconds: u64, tasks: u64, most: u64, machines: u64) {
        for step in 0..seconds * SECOND / STEP {
            if step % 20 == 0 {
                self.trouble(most, machines);
            }
            for m in 0..self.members.len() {
                if self.rng.u64(0..SECOND / STEP) < tasks {
                    let class = self.rng.u16(0..3);
                    let service = u64::from(class) * 100 + self.rng.u64(0..5);
                    self.place(m, class, service);
                }
            }
            self.step();
        }
    }
}
