//! The decision module alone, without the view that bounds what it sees of a large fleet: events in, actions out.
//!
//! Each event is a batch of its own, so that its time holds what a batch costs beside it.

use crate::load::{
    BEGIN, CHANGES, Cluster, Play, Timings, WINDOWS, Word, resident, resident_each,
    sweeps as rising,
};
use crate::roles::Role;
use crate::row::{At, Axis, Measure};
use anyhow::Result;
use peppercove::{
    Action, AttemptOutcome, EndReason, Event, ListUpdateKind, Micros, NodeEntry, NodeId,
    PlacementRequest, RequestId, Scheduler, ServiceId,
};
use peppercove_core::Timers;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// The role.
pub const ROLE: Role = Role {
    name: "module",
    hollow: true,
    sweeps,
    measure,
};

fn sweeps(quick: bool) -> Vec<(Axis, Vec<At>)> {
    let axes = [
        (Axis::Machines, 13_000),
        (Axis::Schedulers, 512),
        (Axis::Standing, 57_000),
        (Axis::Starts, 800),
        (Axis::Tenants, 530),
        (Axis::Classes, 96),
    ];
    rising(&axes, quick)
}

/// What comes later in simulated time.
#[derive(Debug)]
enum Happens {
    Start,
    Change,
    Timer(u64),
    Answer(RequestId, u16, NodeId, Word),
}

/// One attempt: its request, its number and its machine.
type Attempt = (RequestId, u16, NodeId);

/// A scheduler and the machines that it is told of.
pub struct Rig {
    scheduler: Scheduler,
    cluster: Cluster,
    timings: Timings,
    agenda: Timers<Happens>,
    now: Micros,
    version: u64,
    next: u64,
    started: u64,
    fresh: bool,
    asked: BTreeMap<RequestId, (ServiceId, u16)>,
    standing: VecDeque<Attempt>,
    /// Events and actions by kind.
    counts: BTreeMap<&'static str, (u64, u64)>,
    /// Requests that were not placed.
    turned_away: u64,
    /// What the binds before had looked at.
    compared: u64,
}

fn id(i: u64) -> NodeId {
    NodeId(i + 1)
}

impl Rig {
    /// A scheduler that knows nothing yet.
    pub fn new(at: &At) -> Result<Rig> {
        let cluster = Cluster::new(at);
        Ok(Rig {
            scheduler: Scheduler::new(cluster.settings(), 1),
            cluster,
            timings: Timings::new()?,
            agenda: Timers::default(),
            now: BEGIN,
            version: 0,
            next: 1,
            started: 0,
            fresh: false,
            asked: BTreeMap::new(),
            standing: VecDeque::with_capacity(at.standing as usize),
            counts: BTreeMap::new(),
            turned_away: 0,
            compared: 0,
        })
    }

    fn handle(&mut self, kind: &'static str, event: Event) {
        let (actions, nanos) = self.timings.take(|| {
            self.scheduler
                .handle(self.now, std::slice::from_ref(&event))
        });
        let bound = |a: &Action| matches!(a, Action::Dispatch { .. });
        self.timings.note(
            if kind == "place" && actions.iter().any(bound) {
                "bind"
            } else {
                kind
            },
            nanos,
        );
        let counts = self.counts.entry(kind).or_default();
        counts.0 += 1;
        counts.1 += actions.len() as u64;
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                request,
                node: machine,
                ..
            } => {
                let Some((service, attempts)) = self.asked.get_mut(&request) else {
                    return;
                };
                let (after, word) = self.cluster.answer(machine, *service);
                self.agenda.schedule(
                    self.now + after,
                    Happens::Answer(request, *attempts, machine, word),
                );
                *attempts += 1;
            }
            Action::SetTimer { label, at } => self.agenda.schedule(at, Happens::Timer(label)),
            Action::Reject { request, .. } | Action::Fail(request) => {
                self.asked.remove(&request);
                self.turned_away += 1;
            }
            // No patience runs out here, nobody is moved, and what is logged is no decision.
            _ => {}
        }
    }

    /// The lines of the whole list.
    pub fn lines(&mut self) -> Vec<NodeEntry> {
        (0..self.cluster.at.machines)
            .map(|i| self.cluster.line(i, id(i)))
            .collect()
    }

    /// The whole list comes.
    pub fn list(&mut self, lines: Vec<NodeEntry>) {
        self.version += 1;
        self.handle(
            "whole_list",
            Event::NodeList {
                kind: ListUpdateKind::Full,
                version: self.version,
                entries: lines,
            },
        );
    }

    /// Tasks that stand already are handed over.
    pub fn hand_over(&mut self) {
        for n in 0..self.cluster.at.standing {
            let machine = id(self.cluster.machine_of(n));
            let request = PlacementRequest {
                id: self.new_request(),
                ..self.cluster.standing(n)
            };
            self.standing.push_back((request.id, 0, machine));
            self.handle(
                "standing",
                Event::RunningTask {
                    request,
                    node: machine,
                },
            );
        }
    }

    fn new_request(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next)
    }

    /// The line of one machine changes.
    pub fn change(&mut self) {
        let i = self.cluster.any();
        let lines = vec![self.cluster.line(i, id(i))];
        self.version += 1;
        self.handle(
            "list_change",
            Event::NodeList {
                kind: ListUpdateKind::Incremental,
                version: self.version,
                entries: lines,
            },
        );
    }

    fn start(&mut self) {
        let number = self.new_request();
        let request = PlacementRequest {
            id: number,
            ..self.cluster.start(number.0, self.fresh)
        };
        self.asked.insert(number, (request.service, 0));
        self.started += 1;
        self.handle("place", Event::Place(request));
        // One comes and one ends: as many stand as before.
        while self.standing.len() as u64 > self.cluster.at.standing {
            let Some((request, attempt, machine)) = self.standing.pop_front() else {
                break;
            };
            self.ended(
                "end",
                (request, attempt, machine),
                AttemptOutcome::Completed,
                true,
            );
        }
    }

    fn ended(
        &mut self,
        kind: &'static str,
        (request, attempt, machine): Attempt,
        outcome: AttemptOutcome,
        over: bool,
    ) {
        let why = if outcome == AttemptOutcome::Rejected {
            EndReason::InsufficientCores
        } else {
            EndReason::Unknown
        };
        let load = Some(self.cluster.load(machine.0 - 1));
        self.handle(
            kind,
            Event::AttemptEnded {
                request,
                attempt,
                node: machine,
                outcome,
                reason: why,
                is_final: over,
                load,
            },
        );
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::Start => {
                let wait = self.cluster.next_start();
                self.agenda.schedule(self.now + wait, Happens::Start);
                self.start();
            }
            Happens::Change => {
                self.agenda.schedule(
                    self.now + self.cluster.next_change().unwrap_or(Micros::MAX / 2),
                    Happens::Change,
                );
                self.change();
            }
            Happens::Timer(label) => self.handle("timer", Event::Timer(label)),
            Happens::Answer(request, attempt, machine, word) => match word {
                Word::Runs => {
                    self.asked.remove(&request);
                    self.standing.push_back((request, attempt, machine));
                    self.handle(
                        "placed",
                        Event::Placed {
                            request,
                            attempt,
                            node: machine,
                        },
                    );
                }
                Word::Refused => self.ended(
                    "refused",
                    (request, attempt, machine),
                    AttemptOutcome::Rejected,
                    false,
                ),
                Word::Error => self.ended(
                    "error",
                    (request, attempt, machine),
                    AttemptOutcome::Error,
                    false,
                ),
            },
        }
    }

    /// Plays until so many more tasks have come, or wall time is over.
    pub fn play(&mut self, starts: u64, until: Option<Instant>) {
        let last = self.started + starts;
        while self.started < last && until.is_none_or(|until| Instant::now() < until) {
            let Some(at) = self.agenda.next_deadline() else {
                return;
            };
            self.now = self.now.max(at);
            if let Some(happens) = self.agenda.pop_due(self.now) {
                self.happen(happens);
            }
        }
    }

    /// Tasks and changes come from now on; the first ones all of new services.
    pub fn warm_up(&mut self, play: &Play) {
        self.agenda.schedule(self.now + 1, Happens::Start);
        self.agenda.schedule(
            self.now + self.cluster.next_change().unwrap_or(Micros::MAX / 2),
            Happens::Change,
        );
        self.fresh = true;
        self.play(play.warm, Some(Instant::now() + play.bound * 4));
        self.fresh = false;
        self.counts.clear();
        self.turned_away = 0;
        self.compared = self.scheduler.comparisons();
    }

    /// Actions for each event of a kind, the part of the requests that was not placed, and the machines that binds looked
    /// at and held against each other, for each start.
    pub fn counted(&self) -> Vec<Measure> {
        let mean = |(kind, &(events, actions)): (&&str, &(u64, u64))| {
            let mean = actions as f64 / events as f64;
            let measure = Measure::counted(&format!("actions_for_{kind}"), "count", mean);
            Measure {
                samples: events,
                ..measure
            }
        };
        let mut measures: Vec<Measure> = self.counts.iter().map(mean).collect();
        let asked = self.counts.get("place").map_or(0, |c| c.0);
        let part = self.turned_away as f64 / asked.max(1) as f64;
        measures.push(Measure {
            samples: asked,
            ..Measure::counted("turned_away", "share", part)
        });
        let compared = (self.scheduler.comparisons() - self.compared) as f64 / asked.max(1) as f64;
        measures.push(Measure {
            samples: asked,
            ..Measure::counted("compared_for_start", "count", compared)
        });
        measures
    }
}

fn measure(at: &At, quick: bool) -> Result<Vec<Measure>> {
    let play = Play::of(at, quick);
    let mut rig = Rig::new(at)?;
    let (first, second) = (rig.lines(), rig.lines());
    let line_bytes = size_of::<NodeEntry>() as f64;
    let mut measures = vec![
        Measure::counted("whole_list_lines", "count", first.len() as f64),
        Measure::counted("whole_list_bytes", "bytes", first.len() as f64 * line_bytes),
        Measure::counted("list_change_bytes", "bytes", line_bytes),
    ];
    let bare = resident()?;
    rig.list(first);
    let listed = resident()?;
    rig.hand_over();
    let stands = resident()?;
    measures.extend(resident_each("resident_machine", bare, listed, at.machines));
    measures.extend(resident_each(
        "resident_standing",
        listed,
        stands,
        at.standing,
    ));
    rig.list(second);
    let set_up = rig.timings.measures().into_iter();
    measures.extend(
        set_up.filter(|m| ["first_list_time", "standing_time"].contains(&m.measure.as_str())),
    );
    rig.warm_up(&play);
    measures.extend(resident_each("resident", bare, resident()?, 1));
    for window in 0..WINDOWS {
        let lines = rig.lines();
        rig.timings.next_window(window == 0);
        rig.play(play.starts, Some(play.until()));
        (0..CHANGES).for_each(|_| rig.change());
        rig.list(lines);
    }
    measures.extend(rig.timings.measures());
    let path = [
        "bind", "place", "placed", "refused", "error", "end", "timer",
    ];
    measures.extend(rig.timings.for_each("start_time", &path));
    measures.extend(rig.counted());
    Ok(measures)
}
