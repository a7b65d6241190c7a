//! The five rules, checked from outside: random legal days are played against the module through its interface.

use peppercove::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Place {
        class: u16,
        service: u64,
        cores: f64,
    },
    Standing {
        class: u16,
        service: u64,
        machine: u64,
    },
    Answer {
        pick: usize,
        outcome: AttemptOutcome,
        why: EndReason,
    },
    Seat {
        pick: usize,
    },
    Unwanted {
        pick: usize,
    },
    Line {
        machine: u64,
        state: NodeStatus,
        restarted: bool,
    },
    FullList {
        missing: u64,
    },
    ListFails,
    Repeat,
    Wait {
        span: Micros,
    },
}

struct Try {
    machine: NodeId,
    rack: u16,
    sent_at: Micros,
    ends_at: Micros,
    open: bool,
    may_have_run: bool,
}

struct Case {
    ask: PlacementRequest,
    deadline: Micros,
    answered: bool,
    over: bool,
    tries: Vec<Try>,
}

/// A referee that knows only what the scheduler was told and what it did.
struct Referee {
    settings: Settings,
    scheduler: Scheduler,
    now: Micros,
    lines: BTreeMap<NodeId, NodeEntry>,
    cases: BTreeMap<RequestId, Case>,
    offers: BTreeMap<NodeId, Vec<Micros>>,
    timers: Vec<(Micros, u64)>,
    last: Option<Event>,
    next: u64,
    binds: usize,
}

fn line(machine: u64, started_at: Micros) -> NodeEntry {
    NodeEntry {
        slow_start_share: None,
        node: NodeId(machine),
        state: NodeStatus::Ready,
        kind: 0,
        rack: (machine % 2) as u16,
        zone: 0,
        started_at,
        incarnation: started_at,
        free_cores: Some(16.0),
        free_memory: Some(32.0),
    }
}

impl Referee {
    fn new(settings: Settings, seed: u64) -> Referee {
        let scheduler = Scheduler::new(settings.clone(), seed);
        let mut referee = Referee {
            settings,
            scheduler,
            now: 1_000_000,
            lines: BTreeMap::new(),
            cases: BTreeMap::new(),
            offers: BTreeMap::new(),
            timers: Vec::new(),
            last: None,
            next: 1,
            binds: 0,
        };
        let lines: Vec<_> = (0..5).map(|m| line(m, 0)).collect();
        referee.lines = lines.iter().map(|l| (l.node, l.clone())).collect();
        referee.tell(Event::NodeList {
            kind: ListUpdateKind::Cached,
            version: 1,
            entries: lines,
        });
        referee
    }

    fn tell(&mut self, event: Event) {
        self.last = Some(event.clone());
        let actions = self.scheduler.handle(self.now, &[event]);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                request,
                node: machine,
                timeout,
            } => self.check_bind(request, machine, timeout),
            Action::Reject { request, .. } => {
                let case = self.cases.get_mut(&request).expect("a known request");
                let group_all = matches!(
                    self.settings.classes[case.ask.class as usize].idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DedupScope::All,
                            ..
                        }
                );
                let proven = case.tries.iter().all(|t| !t.open && !t.may_have_run);
                assert!(group_all || proven, "refused though it may have run");
                assert!(!case.answered && !case.over, "a second answer");
                assert!(
                    self.now <= case.deadline + self.settings.answer_slack,
                    "an answer too late"
                );
                (case.answered, case.over) = (true, true);
            }
            Action::Fail(request) => {
                let case = self.cases.get_mut(&request).expect("a known request");
                assert!(!case.answered && !case.over, "a second answer");
                (case.answered, case.over) = (true, true);
            }
            Action::SetTimer { label, at } => {
                assert!(at > self.now);
                self.timers.push((at, label));
            }
            Action::CancelAttempt { .. } => assert!(self.settings.can_cancel_attempts),
            Action::Probe(_) => assert!(self.settings.can_probe),
            Action::Broadcast(_) => assert!(self.settings.peer_messages),
            Action::Migrate(_) | Action::WatchNodes | Action::Log(_) => {}
        }
    }

    fn check_bind(&mut self, request: RequestId, machine: NodeId, timeout: Option<Micros>) {
        self.binds += 1;
        let now = self.now;
        let told = self.lines.get(&machine).expect("a listed machine");
        assert_eq!(
            told.state,
            NodeStatus::Ready,
            "sent to a machine that drains or is gone"
        );
        let (rack, started_at) = (told.rack, told.started_at);
        let case = &self.cases[&request];
        let class = &self.settings.classes[case.ask.class as usize];
        assert!(!case.answered && !case.over, "sent after its end");
        assert!(case.tries.iter().all(|t| !t.open), "two attempts out");
        assert!((case.tries.len() as u32) < self.settings.max_attempts);
        if let Some(first) = case.tries.iter().find(|t| t.may_have_run) {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("an unsafe task sent again"),
                Idempotency::Keyed { window, .. } => {
                    assert!(
                        first.rack == rack && now < first.sent_at + window,
                        "outside its group"
                    );
                }
            }
        }
        if class.topology_spread == TopologySpread::Rack {
            let same = self
                .cases
                .values()
                .filter(|c| c.ask.service == case.ask.service);
            let held = same
                .flat_map(|c| &c.tries)
                .filter(|t| t.open && t.rack == rack)
                .count();
            assert!(
                held < class.max_per_domain as usize,
                "a service crowds a rack"
            );
        }
        let offers = self.offers.entry(machine).or_default();
        offers.push(now);
        if started_at > 0 && now < started_at + self.settings.slow_start_window {
            let window = now.saturating_sub(self.settings.overload_window);
            let recent = offers.iter().filter(|at| **at > window).count() as f64;
            let share = self.settings.slow_start_budget / f64::from(self.settings.schedulers);
            assert!(recent <= share, "a cold machine pushed over");
        }
        let case = self.cases.get_mut(&request).unwrap();
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

    fn place(&mut self, class: u16, service: u64, cores: f64, standing: Option<u64>) {
        let request = RequestId(self.next);
        self.next += 1;
        let deadline_in = self.settings.classes[class as usize].deadline;
        let ask = PlacementRequest {
            id: request,
            task: TaskKey(request.0),
            service: ServiceId(u64::from(class) * 100 + service),
            class,
            tenant: 0,
            cores,
            memory: cores * 2.0,
            deadline_in,
            expected_duration: None,
            is_retry: false,
        };
        let mut case = Case {
            ask: ask.clone(),
            deadline: self.now + deadline_in,
            answered: false,
            over: false,
            tries: vec![],
        };
        if let Some(machine) = standing {
            let machine = NodeId(machine);
            let Some(rack) = self.lines.get(&machine).map(|l| l.rack) else {
                return;
            };
            case.answered = true;
            let (sent_at, ends_at) = (self.now, Micros::MAX);
            case.tries.push(Try {
                machine,
                rack,
                sent_at,
                ends_at,
                open: true,
                may_have_run: false,
            });
            self.cases.insert(request, case);
            self.tell(Event::RunningTask {
                request: ask,
                node: machine,
            });
        } else {
            self.cases.insert(request, case);
            self.tell(Event::Place(ask));
        }
    }

    /// The open attempts that `pick` may choose from, as request and attempt.
    fn open(&self, pick: usize, seated: bool) -> Option<(RequestId, u16)> {
        let wanted = |c: &Case| c.answered == seated || seated;
        let all: Vec<(RequestId, u16)> = self
            .cases
            .iter()
            .filter(|(_, c)| wanted(c))
            .flat_map(|(r, c)| {
                c.tries
                    .iter()
                    .enumerate()
                    .map(move |(i, t)| (*r, i as u16, t.open))
            })
            .filter(|(_, _, open)| *open)
            .map(|(r, i, _)| (r, i))
            .collect();
        (!all.is_empty()).then(|| all[pick % all.len()])
    }

    fn end(&mut self, request: RequestId, attempt: u16, outcome: AttemptOutcome, why: EndReason) {
        let case = self.cases.get_mut(&request).unwrap();
        let t = &mut case.tries[attempt as usize];
        t.open = false;
        t.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        let machine = t.machine;
        case.over |= case.answered;
        let over = case.over;
        self.tell(Event::AttemptEnded {
            request,
            attempt,
            node: machine,
            outcome,
            reason: why,
            is_final: over,
            load: None,
        });
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Place {
                class,
                service,
                cores,
            } => self.place(class, service, cores, None),
            Step::Standing {
                class,
                service,
                machine,
            } => self.place(class, service, 1.0, Some(machine)),
            Step::Answer { pick, outcome, why } => {
                if let Some((request, attempt)) = self.open(pick, true) {
                    self.end(request, attempt, outcome, why);
                }
            }
            Step::Seat { pick } => {
                if let Some((request, attempt)) = self.open(pick, false) {
                    let case = self.cases.get_mut(&request).unwrap();
                    case.answered = true;
                    case.tries[attempt as usize].ends_at = Micros::MAX;
                    let machine = case.tries[attempt as usize].machine;
                    self.tell(Event::Placed {
                        request,
                        attempt,
                        node: machine,
                    });
                }
            }
            Step::Unwanted { pick } => {
                let live: Vec<RequestId> = self
                    .cases
                    .iter()
                    .filter(|(_, c)| !c.over)
                    .map(|(r, _)| *r)
                    .collect();
                if !live.is_empty() {
                    let request = live[pick % live.len()];
                    let case = self.cases.get_mut(&request).unwrap();
                    (case.answered, case.over) = (true, true);
                    self.tell(Event::RequestCancelled(request));
                }
            }
            Step::Line {
                machine,
                state,
                restarted,
            } => {
                let id = NodeId(machine);
                let started_at = self.lines.get(&id).map_or(0, |l| l.started_at);
                let started_at = if restarted { self.now } else { started_at };
                let new = NodeEntry {
                    state,
                    ..line(machine, started_at)
                };
                self.lines.insert(id, new.clone());
                self.next += 1;
                let version = self.next;
                self.tell(Event::NodeList {
                    kind: ListUpdateKind::Incremental,
                    version,
                    entries: vec![new],
                });
            }
            Step::FullList { missing } => {
                for (id, line) in &mut self.lines {
                    if id.0 == missing {
                        line.state = NodeStatus::Gone;
                    }
                }
                let gone = |l: &&NodeEntry| l.state != NodeStatus::Gone;
                let lines = self.lines.values().filter(gone).cloned().collect();
                self.next += 1;
                let version = self.next;
                self.tell(Event::NodeList {
                    kind: ListUpdateKind::Full,
                    version,
                    entries: lines,
                });
            }
            Step::ListFails => {
                self.tell(Event::NodeList {
                    kind: ListUpdateKind::Failed,
                    version: 0,
                    entries: vec![],
                });
            }
            Step::Repeat => {
                // An end that comes twice, a stale timer or an old list must change nothing that is checked.
                if let Some(event) = self
                    .last
                    .clone()
                    .filter(|e| !matches!(e, Event::RunningTask { .. }))
                {
                    self.tell(event);
                }
            }
            Step::Wait { span } => self.wait(self.now + span),
        }
    }

    fn wait(&mut self, until: Micros) {
        loop {
            let timer = self
                .timers
                .iter()
                .map(|(at, _)| *at)
                .min()
                .unwrap_or(Micros::MAX);
            let tries = self
                .cases
                .values()
                .flat_map(|c| &c.tries)
                .filter(|t| t.open);
            let end = tries.map(|t| t.ends_at).min().unwrap_or(Micros::MAX);
            let next = timer.min(end);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if end == next {
                let is_due = |c: &Case| c.tries.iter().position(|t| t.open && t.ends_at == end);
                let due = self
                    .cases
                    .iter()
                    .find_map(|(r, c)| is_due(c).map(|i| (*r, i as u16)));
                let (request, attempt) = due.expect("the attempt that is due");
                self.end(
                    request,
                    attempt,
                    AttemptOutcome::TimedOut,
                    EndReason::Unknown,
                );
            } else {
                let at = self.timers.iter().position(|(at, _)| *at == next).unwrap();
                let (_, label) = self.timers.remove(at);
                self.tell(Event::Timer(label));
            }
            self.check_deadlines();
        }
        self.now = until;
        self.check_deadlines();
    }

    fn check_deadlines(&self) {
        for case in self.cases.values() {
            let late = self.now > case.deadline + self.settings.answer_slack;
            assert!(
                case.answered || case.over || !late,
                "no answer by the deadline: {:?}",
                case.ask.id
            );
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        Just(AttemptOutcome::Completed),
        Just(AttemptOutcome::Error),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::TimedOut),
        Just(AttemptOutcome::Unreachable),
        Just(AttemptOutcome::Lost),
    ];
    let why = prop_oneof![
        Just(EndReason::InsufficientCores),
        Just(EndReason::InsufficientMemory),
        Just(EndReason::QueueFull),
        Just(EndReason::Ineligible)
    ];
    let state = prop_oneof![
        Just(NodeStatus::Ready),
        Just(NodeStatus::Ready),
        Just(NodeStatus::Draining),
        Just(NodeStatus::Gone)
    ];
    let cores = prop_oneof![Just(0.5), Just(1.0), Just(4.0), Just(40.0)];
    let step = prop_oneof![
        8 => (0..3u16, 0..3u64, cores).prop_map(|(class, service, cores)| Step::Place { class, service, cores }),
        1 => (0..3u16, 0..3u64, 0..6u64).prop_map(|(class, service, machine)| {
            Step::Standing { class, service, machine }
        }),
        5 => (0..99usize, outcome, why).prop_map(|(pick, outcome, why)| Step::Answer { pick, outcome, why }),
        5 => (0..99usize).prop_map(|pick| Step::Seat { pick }),
        1 => (0..99usize).prop_map(|pick| Step::Unwanted { pick }),
        2 => (0..6u64, state, any::<bool>()).prop_map(|(machine, state, restarted)| {
            Step::Line { machine, state, restarted }
        }),
        1 => (0..9u64).prop_map(|missing| Step::FullList { missing }),
        1 => Just(Step::ListFails),
        2 => Just(Step::Repeat),
        6 => (1_000..2_000_000u64).prop_map(|span| Step::Wait { span }),
    ];
    prop::collection::vec(step, 1..120)
}

fn settings(confirms: PlacementAck, probes: bool) -> Settings {
    let mut settings = Settings {
        placement_ack: confirms,
        can_probe: probes,
        ..Settings::sample()
    };
    // A keyed class whose group is a rack gets its deadline past its window.
    settings.classes[1].deadline = 6_000_000;
    settings
}

fn play(settings: Settings, seed: u64, steps: &[Step]) -> usize {
    let mut referee = Referee::new(settings, seed);
    for step in steps {
        referee.step(step);
    }
    referee.wait(referee.now + 20_000_000);
    referee.binds
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_five_rules_hold_where_running_confirms(seed in any::<u64>(), steps in steps()) {
        play(settings(PlacementAck::Running, false), seed, &steps);
    }

    #[test]
    fn the_five_rules_hold_where_acceptance_confirms(seed in any::<u64>(), steps in steps()) {
        play(settings(PlacementAck::Accepted, true), seed, &steps);
    }
}

#[test]
fn the_referee_sees_binds() {
    let place = Step::Place {
        class: 0,
        service: 0,
        cores: 1.0,
    };
    assert_eq!(
        play(settings(PlacementAck::Running, false), 1, &[place]),
        2,
        "a first try and one after silence"
    );
}
