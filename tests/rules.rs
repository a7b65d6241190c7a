//! Property tests of the five rules that the scheduler guarantees. Random valid event sequences are
//! fed to it through its public interface, and each action is checked:
//!
//! - 1: each request is answered once and by its deadline, and nothing is dispatched afterwards
//! - 2: no task starts twice unless its idempotency allows it
//! - 3: no task is sent to a node that is draining or gone
//! - 4: a node in slow start gets no more attempts than its budget
//! - 5: a topology domain holds no more tasks of a service than its class allows

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
        index: usize,
        outcome: AttemptOutcome,
        reason: EndReason,
    },
    Acknowledge {
        index: usize,
    },
    Cancel {
        index: usize,
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
        duration: Micros,
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

/// Checks the rules, using only the events passed to the scheduler and the actions that it
/// returned.
struct RuleChecker {
    settings: Settings,
    scheduler: Scheduler,
    now: Micros,
    entries: BTreeMap<NodeId, NodeEntry>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    sent: BTreeMap<NodeId, Vec<Micros>>,
    timers: Vec<(Micros, u64)>,
    last_event: Option<Event>,
    next_id: u64,
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

impl RuleChecker {
    fn new(settings: Settings, seed: u64) -> RuleChecker {
        let scheduler = Scheduler::new(settings.clone(), seed);
        let mut checker = RuleChecker {
            settings,
            scheduler,
            now: 1_000_000,
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            sent: BTreeMap::new(),
            timers: Vec::new(),
            last_event: None,
            next_id: 1,
            dispatches: 0,
        };
        let entries: Vec<_> = (0..5).map(|node| node_entry(node, 0)).collect();
        checker.entries = entries
            .iter()
            .map(|entry| (entry.node, entry.clone()))
            .collect();
        checker.send(Event::NodeList {
            kind: ListUpdateKind::Cached,
            version: 1,
            entries,
        });
        checker
    }

    fn send(&mut self, event: Event) {
        self.last_event = Some(event.clone());
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
                send_by: _,
            } => self.check_dispatch(request, node, timeout),
            Action::Reject { request, .. } => {
                let tracked = self
                    .requests
                    .get_mut(&request)
                    .expect("the request is known");
                let is_retry_safe = matches!(
                    self.settings.classes[tracked.spec.class as usize].idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DedupScope::All,
                            ..
                        }
                );
                let cannot_have_run = tracked
                    .attempts
                    .iter()
                    .all(|attempt| !attempt.open && !attempt.may_have_run);
                assert!(
                    is_retry_safe || cannot_have_run,
                    "rejected a request whose task may have run"
                );
                assert!(
                    !tracked.is_answered && !tracked.is_completed,
                    "a request was answered twice"
                );
                assert!(
                    self.now <= tracked.deadline + self.settings.answer_slack,
                    "answered after the deadline"
                );
                (tracked.is_answered, tracked.is_completed) = (true, true);
            }
            Action::Fail(request) => {
                let tracked = self
                    .requests
                    .get_mut(&request)
                    .expect("the request is known");
                assert!(
                    !tracked.is_answered && !tracked.is_completed,
                    "a request was answered twice"
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
        let entry = self.entries.get(&node).expect("the node is listed");
        assert_eq!(
            entry.state,
            NodeStatus::Ready,
            "dispatched to a node that is draining or gone"
        );
        let (rack, started_at) = (entry.rack, entry.started_at);
        let tracked = &self.requests[&request];
        let class = &self.settings.classes[tracked.spec.class as usize];
        assert!(
            !tracked.is_answered && !tracked.is_completed,
            "dispatched after the final answer"
        );
        assert!(
            tracked.attempts.iter().all(|attempt| !attempt.open),
            "two attempts in flight"
        );
        assert!((tracked.attempts.len() as u32) < self.settings.max_attempts);
        if let Some(first) = tracked.attempts.iter().find(|attempt| attempt.may_have_run) {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("dispatched a non-idempotent task that may have run")
                }
                Idempotency::Keyed { window, .. } => {
                    assert!(
                        first.rack == rack && now < first.sent_at + window,
                        "dispatched outside the deduplication scope or window"
                    );
                }
            }
        }
        if class.topology_spread == TopologySpread::Rack {
            let same = self
                .requests
                .values()
                .filter(|other| other.spec.service == tracked.spec.service);
            let placed_in_rack = same
                .flat_map(|tracked| &tracked.attempts)
                .filter(|attempt| attempt.open && attempt.rack == rack)
                .count();
            assert!(
                placed_in_rack < class.max_per_domain as usize,
                "exceeded the topology spread limit of a rack"
            );
        }
        let sent = self.sent.entry(node).or_default();
        sent.push(now);
        if started_at > 0 && now < started_at + self.settings.slow_start_window {
            let window = now.saturating_sub(self.settings.overload_window);
            let recent = sent.iter().filter(|at| **at > window).count() as f64;
            let share = self.settings.slow_start_budget / f64::from(self.settings.schedulers);
            assert!(recent <= share, "exceeded the slow-start budget of a node");
        }
        let tracked = self.requests.get_mut(&request).unwrap();
        let ends_at = tracked
            .deadline
            .min(timeout.map_or(Micros::MAX, |timeout| now + timeout));
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
        let request = RequestId(self.next_id);
        self.next_id += 1;
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
            let Some(rack) = self.entries.get(&node).map(|entry| entry.rack) else {
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
                reported_by: TaskReporter::Client,
            });
        } else {
            self.requests.insert(request, tracked);
            self.send(Event::Place(spec));
        }
    }

    /// Selects one of the open attempts by `index`. Returns its request and attempt number.
    fn select_open_attempt(&self, index: usize, include_placed: bool) -> Option<(RequestId, u16)> {
        let is_selectable =
            |tracked: &TrackedRequest| tracked.is_answered == include_placed || include_placed;
        let all: Vec<(RequestId, u16)> = self
            .requests
            .iter()
            .filter(|(_, tracked)| is_selectable(tracked))
            .flat_map(|(id, tracked)| {
                tracked
                    .attempts
                    .iter()
                    .enumerate()
                    .map(move |(i, attempt)| (*id, i as u16, attempt.open))
            })
            .filter(|(_, _, open)| *open)
            .map(|(id, i, _)| (id, i))
            .collect();
        (!all.is_empty()).then(|| all[index % all.len()])
    }

    fn end(
        &mut self,
        request: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        reason: EndReason,
    ) {
        let tracked = self.requests.get_mut(&request).unwrap();
        let ended = &mut tracked.attempts[attempt as usize];
        ended.open = false;
        ended.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        let node = ended.node;
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

    #[expect(clippy::too_many_lines, reason = "one match arm per kind of step")]
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
                index,
                outcome,
                reason,
            } => {
                if let Some((request, attempt)) = self.select_open_attempt(index, true) {
                    self.end(request, attempt, outcome, reason);
                }
            }
            Step::Acknowledge { index } => {
                if let Some((request, attempt)) = self.select_open_attempt(index, false) {
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
            Step::Cancel { index } => {
                let active: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, tracked)| !tracked.is_completed)
                    .map(|(id, _)| *id)
                    .collect();
                if !active.is_empty() {
                    let request = active[index % active.len()];
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
                let started_at = self.entries.get(&id).map_or(0, |entry| entry.started_at);
                let started_at = if restarted { self.now } else { started_at };
                let new = NodeEntry {
                    state,
                    ..node_entry(node, started_at)
                };
                self.entries.insert(id, new.clone());
                self.next_id += 1;
                let version = self.next_id;
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
                let gone = |entry: &&NodeEntry| entry.state != NodeStatus::Gone;
                let entries = self.entries.values().filter(gone).cloned().collect();
                self.next_id += 1;
                let version = self.next_id;
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
                // A repeated end of an attempt, a stale timer or an old list must not affect the
                // checked properties.
                if let Some(event) = self
                    .last_event
                    .clone()
                    .filter(|e| !matches!(e, Event::RunningTask { .. }))
                {
                    self.send(event);
                }
            }
            Step::Wait { duration } => self.wait(self.now + duration),
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
                .flat_map(|tracked| &tracked.attempts)
                .filter(|attempt| attempt.open);
            let end = attempts
                .map(|attempt| attempt.ends_at)
                .min()
                .unwrap_or(Micros::MAX);
            let next_at = timer.min(end);
            if next_at > until {
                break;
            }
            self.now = self.now.max(next_at);
            if end == next_at {
                let is_due = |tracked: &TrackedRequest| {
                    tracked
                        .attempts
                        .iter()
                        .position(|attempt| attempt.open && attempt.ends_at == end)
                };
                let due = self
                    .requests
                    .iter()
                    .find_map(|(id, tracked)| is_due(tracked).map(|i| (*id, i as u16)));
                let (request, attempt) = due.expect("an attempt is due");
                self.end(
                    request,
                    attempt,
                    AttemptOutcome::TimedOut,
                    EndReason::Unknown,
                );
            } else {
                let at = self
                    .timers
                    .iter()
                    .position(|(at, _)| *at == next_at)
                    .unwrap();
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
        5 => (0..99usize, outcome, reason).prop_map(|(index, outcome, reason)| Step::EndAttempt { index, outcome, reason }),
        5 => (0..99usize).prop_map(|index| Step::Acknowledge { index }),
        1 => (0..99usize).prop_map(|index| Step::Cancel { index }),
        2 => (0..6u64, state, any::<bool>()).prop_map(|(node, state, restarted)| {
            Step::ListEntry { node, state, restarted }
        }),
        1 => (0..9u64).prop_map(|missing| Step::FullList { missing }),
        1 => Just(Step::ListFails),
        2 => Just(Step::RepeatLastEvent),
        6 => (1_000..2_000_000u64).prop_map(|duration| Step::Wait { duration }),
    ];
    prop::collection::vec(step, 1..120)
}

fn settings(placement_ack: PlacementAck, can_probe: bool) -> Settings {
    let mut settings = Settings {
        placement_ack,
        can_probe,
        ..Settings::sample()
    };
    // The deadline of the keyed class, whose scope is a rack, lies after the end of its window.
    settings.classes[1].deadline = 6_000_000;
    settings
}

fn run_steps(settings: Settings, seed: u64, steps: &[Step]) -> usize {
    let mut checker = RuleChecker::new(settings, seed);
    for step in steps {
        checker.step(step);
    }
    checker.wait(checker.now + 20_000_000);
    checker.dispatches
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_five_rules_hold_if_nodes_acknowledge_running_tasks(seed in any::<u64>(), steps in steps()) {
        run_steps(settings(PlacementAck::Running, false), seed, &steps);
    }

    #[test]
    fn the_five_rules_hold_if_nodes_acknowledge_accepted_tasks(seed in any::<u64>(), steps in steps()) {
        run_steps(settings(PlacementAck::Accepted, true), seed, &steps);
    }
}

#[test]
fn the_checker_observes_dispatches() {
    let place = Step::Place {
        class: 0,
        service: 0,
        cores: 1.0,
    };
    assert_eq!(
        run_steps(settings(PlacementAck::Running, false), 1, &[place]),
        2,
        "expected a first attempt and another one after its timeout"
    );
}
