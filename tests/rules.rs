//! The five rules, checked from outside: random legal days are played against the module through
//! its interface.

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
    RunningTask {
        class: u16,
        service: u64,
        node: u64,
    },
    EndAttempt {
        pick: usize,
        outcome: AttemptOutcome,
        reason: EndReason,
    },
    Acknowledge {
        pick: usize,
    },
    Cancel {
        pick: usize,
    },
    ListEntry {
        node: u64,
        state: NodeStatus,
        restarted: bool,
    },
    FullList {
        missing: u64,
    },
    ListFails,
    RepeatLastEvent,
    Wait {
        span: Micros,
    },
}

struct SentAttempt {
    node: NodeId,
    rack: u16,
    sent_at: Micros,
    ends_at: Micros,
    open: bool,
    may_have_run: bool,
}

struct TrackedRequest {
    spec: PlacementRequest,
    deadline: Micros,
    is_answered: bool,
    is_completed: bool,
    attempts: Vec<SentAttempt>,
}

/// A referee that knows only the events that the scheduler got and the actions that it returned.
struct Referee {
    settings: Settings,
    scheduler: Scheduler,
    now: Micros,
    entries: BTreeMap<NodeId, NodeEntry>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    sent: BTreeMap<NodeId, Vec<Micros>>,
    timers: Vec<(Micros, u64)>,
    last: Option<Event>,
    next: u64,
    dispatches: usize,
}

fn node_entry(node: u64, started_at: Micros) -> NodeEntry {
    NodeEntry {
        slow_start_share: None,
        node: NodeId(node),
        state: NodeStatus::Ready,
        kind: 0,
        rack: (node % 2) as u16,
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
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            sent: BTreeMap::new(),
            timers: Vec::new(),
            last: None,
            next: 1,
            dispatches: 0,
        };
        let entries: Vec<_> = (0..5).map(|m| node_entry(m, 0)).collect();
        referee.entries = entries.iter().map(|l| (l.node, l.clone())).collect();
        referee.send(Event::NodeList {
            kind: ListUpdateKind::Cached,
            version: 1,
            entries,
        });
        referee
    }

    fn send(&mut self, event: Event) {
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
                node,
                timeout,
            } => self.check_dispatch(request, node, timeout),
            Action::Reject { request, .. } => {
                let tracked = self.requests.get_mut(&request).expect("a known request");
                let is_retry_harmless = matches!(
                    self.settings.classes[tracked.spec.class as usize].idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DedupScope::All,
                            ..
                        }
                );
                let cannot_have_run = tracked.attempts.iter().all(|t| !t.open && !t.may_have_run);
                assert!(
                    is_retry_harmless || cannot_have_run,
                    "rejected though it may have run"
                );
                assert!(
                    !tracked.is_answered && !tracked.is_completed,
                    "a second answer"
                );
                assert!(
                    self.now <= tracked.deadline + self.settings.answer_slack,
                    "an answer too late"
                );
                (tracked.is_answered, tracked.is_completed) = (true, true);
            }
            Action::Fail(request) => {
                let tracked = self.requests.get_mut(&request).expect("a known request");
                assert!(
                    !tracked.is_answered && !tracked.is_completed,
                    "a second answer"
                );
                (tracked.is_answered, tracked.is_completed) = (true, true);
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

    fn check_dispatch(&mut self, request: RequestId, node: NodeId, timeout: Option<Micros>) {
        self.dispatches += 1;
        let now = self.now;
        let entry = self.entries.get(&node).expect("a listed node");
        assert_eq!(
            entry.state,
            NodeStatus::Ready,
            "sent to a node that drains or is gone"
        );
        let (rack, started_at) = (entry.rack, entry.started_at);
        let tracked = &self.requests[&request];
        let class = &self.settings.classes[tracked.spec.class as usize];
        assert!(
            !tracked.is_answered && !tracked.is_completed,
            "sent after its end"
        );
        assert!(
            tracked.attempts.iter().all(|t| !t.open),
            "two attempts in flight"
        );
        assert!((tracked.attempts.len() as u32) < self.settings.max_attempts);
        if let Some(first) = tracked.attempts.iter().find(|t| t.may_have_run) {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("a non-idempotent task sent again"),
                Idempotency::Keyed { window, .. } => {
                    assert!(
                        first.rack == rack && now < first.sent_at + window,
                        "outside its deduplication scope"
                    );
                }
            }
        }
        if class.topology_spread == TopologySpread::Rack {
            let same = self
                .requests
                .values()
                .filter(|c| c.spec.service == tracked.spec.service);
            let held = same
                .flat_map(|c| &c.attempts)
                .filter(|t| t.open && t.rack == rack)
                .count();
            assert!(
                held < class.max_per_domain as usize,
                "too many tasks of a service in a rack"
            );
        }
        let sent = self.sent.entry(node).or_default();
        sent.push(now);
        if started_at > 0 && now < started_at + self.settings.slow_start_window {
            let window = now.saturating_sub(self.settings.overload_window);
            let recent = sent.iter().filter(|at| **at > window).count() as f64;
            let share = self.settings.slow_start_budget / f64::from(self.settings.schedulers);
            assert!(
                recent <= share,
                "a node that warms up got more than its budget"
            );
        }
        let tracked = self.requests.get_mut(&request).unwrap();
        let ends_at = tracked
            .deadline
            .min(timeout.map_or(Micros::MAX, |t| now + t));
        let (open, may_have_run) = (true, false);
        tracked.attempts.push(SentAttempt {
            node,
            rack,
            sent_at: now,
            ends_at,
            open,
            may_have_run,
        });
    }

    fn place(&mut self, class: u16, service: u64, cores: f64, running_on: Option<u64>) {
        let request = RequestId(self.next);
        self.next += 1;
        let deadline_in = self.settings.classes[class as usize].deadline;
        let spec = PlacementRequest {
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
        let mut tracked = TrackedRequest {
            spec: spec.clone(),
            deadline: self.now + deadline_in,
            is_answered: false,
            is_completed: false,
            attempts: vec![],
        };
        if let Some(node) = running_on {
            let node = NodeId(node);
            let Some(rack) = self.entries.get(&node).map(|l| l.rack) else {
                return;
            };
            tracked.is_answered = true;
            let (sent_at, ends_at) = (self.now, Micros::MAX);
            tracked.attempts.push(SentAttempt {
                node,
                rack,
                sent_at,
                ends_at,
                open: true,
                may_have_run: false,
            });
            self.requests.insert(request, tracked);
            self.send(Event::RunningTask {
                request: spec,
                node,
            });
        } else {
            self.requests.insert(request, tracked);
            self.send(Event::Place(spec));
        }
    }

    /// The open attempts that `pick` may choose from, as request and attempt.
    fn open(&self, pick: usize, include_placed: bool) -> Option<(RequestId, u16)> {
        let wanted = |c: &TrackedRequest| c.is_answered == include_placed || include_placed;
        let all: Vec<(RequestId, u16)> = self
            .requests
            .iter()
            .filter(|(_, c)| wanted(c))
            .flat_map(|(r, c)| {
                c.attempts
                    .iter()
                    .enumerate()
                    .map(move |(i, t)| (*r, i as u16, t.open))
            })
            .filter(|(_, _, open)| *open)
            .map(|(r, i, _)| (r, i))
            .collect();
        (!all.is_empty()).then(|| all[pick % all.len()])
    }

    fn end(
        &mut self,
        request: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        reason: EndReason,
    ) {
        let tracked = self.requests.get_mut(&request).unwrap();
        let t = &mut tracked.attempts[attempt as usize];
        t.open = false;
        t.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        let node = t.node;
        tracked.is_completed |= tracked.is_answered;
        let is_completed = tracked.is_completed;
        self.send(Event::AttemptEnded {
            request,
            attempt,
            node,
            outcome,
            reason,
            is_final: is_completed,
            load: None,
        });
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each step of the model")]
    fn step(&mut self, step: &Step) {
        match *step {
            Step::Place {
                class,
                service,
                cores,
            } => self.place(class, service, cores, None),
            Step::RunningTask {
                class,
                service,
                node,
            } => self.place(class, service, 1.0, Some(node)),
            Step::EndAttempt {
                pick,
                outcome,
                reason,
            } => {
                if let Some((request, attempt)) = self.open(pick, true) {
                    self.end(request, attempt, outcome, reason);
                }
            }
            Step::Acknowledge { pick } => {
                if let Some((request, attempt)) = self.open(pick, false) {
                    let tracked = self.requests.get_mut(&request).unwrap();
                    tracked.is_answered = true;
                    tracked.attempts[attempt as usize].ends_at = Micros::MAX;
                    let node = tracked.attempts[attempt as usize].node;
                    self.send(Event::Placed {
                        request,
                        attempt,
                        node,
                    });
                }
            }
            Step::Cancel { pick } => {
                let live: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, c)| !c.is_completed)
                    .map(|(r, _)| *r)
                    .collect();
                if !live.is_empty() {
                    let request = live[pick % live.len()];
                    let tracked = self.requests.get_mut(&request).unwrap();
                    (tracked.is_answered, tracked.is_completed) = (true, true);
                    self.send(Event::RequestCancelled(request));
                }
            }
            Step::ListEntry {
                node,
                state,
                restarted,
            } => {
                let id = NodeId(node);
                let started_at = self.entries.get(&id).map_or(0, |l| l.started_at);
                let started_at = if restarted { self.now } else { started_at };
                let new = NodeEntry {
                    state,
                    ..node_entry(node, started_at)
                };
                self.entries.insert(id, new.clone());
                self.next += 1;
                let version = self.next;
                self.send(Event::NodeList {
                    kind: ListUpdateKind::Incremental,
                    version,
                    entries: vec![new],
                });
            }
            Step::FullList { missing } => {
                for (id, node_entry) in &mut self.entries {
                    if id.0 == missing {
                        node_entry.state = NodeStatus::Gone;
                    }
                }
                let gone = |l: &&NodeEntry| l.state != NodeStatus::Gone;
                let entries = self.entries.values().filter(gone).cloned().collect();
                self.next += 1;
                let version = self.next;
                self.send(Event::NodeList {
                    kind: ListUpdateKind::Full,
                    version,
                    entries,
                });
            }
            Step::ListFails => {
                self.send(Event::NodeList {
                    kind: ListUpdateKind::Failed,
                    version: 0,
                    entries: vec![],
                });
            }
            Step::RepeatLastEvent => {
                // An end that comes twice, a stale timer or an old list must change nothing that is
                // checked.
                if let Some(event) = self
                    .last
                    .clone()
                    .filter(|e| !matches!(e, Event::RunningTask { .. }))
                {
                    self.send(event);
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
            let attempts = self
                .requests
                .values()
                .flat_map(|c| &c.attempts)
                .filter(|t| t.open);
            let end = attempts.map(|t| t.ends_at).min().unwrap_or(Micros::MAX);
            let next = timer.min(end);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if end == next {
                let is_due =
                    |c: &TrackedRequest| c.attempts.iter().position(|t| t.open && t.ends_at == end);
                let due = self
                    .requests
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
                self.send(Event::Timer(label));
            }
            self.check_deadlines();
        }
        self.now = until;
        self.check_deadlines();
    }

    fn check_deadlines(&self) {
        for tracked in self.requests.values() {
            let late = self.now > tracked.deadline + self.settings.answer_slack;
            assert!(
                tracked.is_answered || tracked.is_completed || !late,
                "no answer by the deadline: {:?}",
                tracked.spec.id
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
    let reason = prop_oneof![
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
        1 => (0..3u16, 0..3u64, 0..6u64).prop_map(|(class, service, node)| {
            Step::RunningTask { class, service, node }
        }),
        5 => (0..99usize, outcome, reason).prop_map(|(pick, outcome, reason)| Step::EndAttempt { pick, outcome, reason }),
        5 => (0..99usize).prop_map(|pick| Step::Acknowledge { pick }),
        1 => (0..99usize).prop_map(|pick| Step::Cancel { pick }),
        2 => (0..6u64, state, any::<bool>()).prop_map(|(node, state, restarted)| {
            Step::ListEntry { node, state, restarted }
        }),
        1 => (0..9u64).prop_map(|missing| Step::FullList { missing }),
        1 => Just(Step::ListFails),
        2 => Just(Step::RepeatLastEvent),
        6 => (1_000..2_000_000u64).prop_map(|span| Step::Wait { span }),
    ];
    prop::collection::vec(step, 1..120)
}

fn settings(placement_ack: PlacementAck, can_probe: bool) -> Settings {
    let mut settings = Settings {
        placement_ack,
        can_probe,
        ..Settings::sample()
    };
    // A keyed class whose scope is a rack gets its deadline past its window.
    settings.classes[1].deadline = 6_000_000;
    settings
}

fn play(settings: Settings, seed: u64, steps: &[Step]) -> usize {
    let mut referee = Referee::new(settings, seed);
    for step in steps {
        referee.step(step);
    }
    referee.wait(referee.now + 20_000_000);
    referee.dispatches
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_five_rules_hold_if_nodes_acknowledge_running_tasks(seed in any::<u64>(), steps in steps()) {
        play(settings(PlacementAck::Running, false), seed, &steps);
    }

    #[test]
    fn the_five_rules_hold_if_nodes_acknowledge_accepted_tasks(seed in any::<u64>(), steps in steps()) {
        play(settings(PlacementAck::Accepted, true), seed, &steps);
    }
}

#[test]
fn the_referee_sees_dispatches() {
    let place = Step::Place {
        class: 0,
        service: 0,
        cores: 1.0,
    };
    assert_eq!(
        play(settings(PlacementAck::Running, false), 1, &[place]),
        2,
        "a first attempt and one after its timeout"
    );
}
