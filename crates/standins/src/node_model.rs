//! The behaviour of one node, without sockets or clock: what comes in with its time, what goes out.
//!
//! A node looks at one offer at a time, accepts while what is asked stays within multiples of its cores and memory,
//! starts a few tasks at a time, keeps some programs, starts slowly where the program is missing or the node is cold,
//! falls over when it is pushed while cold, and reports its load late.

use peppercove_protocol::node::{
    AttemptId, Control, FromNode, Idempotency, NodeLoad, NodeReason, OfferedTask, ProcessIdentity,
    TaskExit, Usage,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Microseconds since the stand-ins began.
pub type Micros = u64;

/// What a draining node does with its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// Keeps them until they end.
    None,
    /// Sends one away every so often.
    Paced(Micros),
    /// Sends all away.
    AtOnce,
}

/// What a node is.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Its name.
    pub name: String,
    /// Index of its kind.
    pub kind: u8,
    /// Its rack.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
    /// It accepts up to this multiple of its cores.
    pub accepts_cores: f64,
    /// And of its memory.
    pub accepts_memory: f64,
    /// It pushes out tasks of lower priority to make room.
    pub preempts: bool,
    /// Time to look at one offer.
    pub admit: Micros,
    /// Offers that may wait to be looked at.
    pub line: usize,
    /// Tasks that it starts at a time.
    pub starts: usize,
    /// Time of a start where the program is there and the node is warm.
    pub start_time: Micros,
    /// Times longer where the program is missing.
    pub setup: f64,
    /// Programs kept after their last task.
    pub kept: usize,
    /// Share of its pace just after its start.
    pub cold_from: f64,
    /// It is warm after this.
    pub cold_for: Micros,
    /// It falls over when offered more than this multiple of the starts that it can do.
    pub fall_multiple: f64,
    /// Within this.
    pub fall_window: Micros,
    /// So many offers within the window are always borne.
    pub cold_bears: f64,
    /// Load is measured so often.
    pub report_every: Micros,
    /// And told so late.
    pub report_delay: Micros,
    /// Free values count what is in use rather than what is asked.
    pub counts_used: bool,
    /// Share of its ask that a task uses, least and most.
    pub uses: (f64, f64),
    /// What it does with its tasks when it drains.
    pub drain: EvictionPolicy,
    /// How long a task runs that does not say.
    pub life: Micros,
    /// Nodes of the same number discard a second copy of a key together.
    pub key_group: u32,
    /// They know the key of a copy that ran to its end for this much longer.
    pub key_window: Micros,
}

impl NodeSpec {
    /// A small warm node that answers quickly.
    pub fn small(name: impl Into<String>) -> NodeSpec {
        NodeSpec {
            name: name.into(),
            kind: 0,
            rack: 0,
            zone: 0,
            cores: 24.0,
            memory: 60.0,
            accepts_cores: 2.0,
            accepts_memory: 1.5,
            preempts: false,
            admit: 2_000,
            line: 16,
            starts: 4,
            start_time: 20_000,
            setup: 6.0,
            kept: 8,
            cold_from: 0.16,
            cold_for: 10_000_000,
            fall_multiple: 2.5,
            fall_window: 2_000_000,
            cold_bears: 28.0,
            report_every: 200_000,
            report_delay: 100_000,
            counts_used: false,
            uses: (0.4, 0.9),
            drain: EvictionPolicy::AtOnce,
            life: 5_000_000,
            key_group: 0,
            key_window: 5_000_000,
        }
    }
}

/// How a class fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassFault {
    /// Its offers are answered with an error.
    Error,
    /// Its offers are answered with nothing.
    Silence,
}

/// What is wrong with a node now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// It takes offers and answers nothing; what it has to say is said when this ends.
    pub hangs: bool,
    /// This share of its answers is lost.
    pub loses: f64,
    /// It starts what it accepts and never says so.
    pub never_confirms: bool,
    /// Offers of these classes fail.
    pub fails: BTreeMap<u16, ClassFault>,
    /// It refuses this share of offers though it has room.
    pub refuses: f64,
    /// Its pace falls by this share a second.
    pub ages: f64,
    /// Load reports come this much later.
    pub late: Micros,
    /// Another program takes this share of its cores.
    pub neighbour: f64,
    /// It says everything twice.
    pub repeats: bool,
    /// It speaks of attempts that it was never sent.
    pub lies: bool,
}

/// The copies of keyed tasks that stand or were discarded lately, by group.
#[derive(Debug, Default)]
pub struct Racks {
    /// Until when the key is known; `None` while the copy stands.
    copies: BTreeMap<(u32, u64), Option<Micros>>,
    /// A copy stood twice at once within a rack: what the nodes exist to keep from happening.
    pub doubled: u64,
}

/// One start of a program, by the node that made it.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// When.
    pub at: Micros,
    /// When it ended.
    pub ended: Option<Micros>,
    /// It ended by itself: its effect is complete.
    pub completed: bool,
    /// Where.
    pub node: String,
    /// The task.
    pub task: u64,
    /// What a repeat of it does.
    pub repeat: Idempotency,
    /// Who asked.
    pub controller: String,
}

/// Every start on every node, as the nodes know it.
#[derive(Debug, Default)]
pub struct Ledger {
    /// In order.
    pub starts: Vec<Start>,
    /// Nodes that fell over.
    pub fallen: Vec<(Micros, String)>,
}

/// What nodes share.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Keyed copies by group.
    pub racks: Rc<RefCell<Racks>>,
    /// Every start.
    pub ledger: Rc<RefCell<Ledger>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Id {
    controller: String,
    life: u64,
    attempt: AttemptId,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits to be looked at.
    InLine,
    /// Accepted, waits for its start.
    Accepted,
    /// Starts, until then.
    Starting { until: Micros },
    /// Runs, until then.
    Running {
        since: Micros,
        until: Micros,
        start: usize,
    },
    /// Its clock stands; so much is left.
    Suspended {
        since: Micros,
        left: Micros,
        start: usize,
    },
}

#[derive(Clone, Debug)]
struct Task {
    work: OfferedTask,
    stage: Stage,
    expires: Micros,
    uses: [f64; 2],
    withdrawn: bool,
}

/// A task that ended.
#[derive(Clone, Debug)]
struct Past {
    work: OfferedTask,
    end: TaskExit,
    /// Its controller has taken note of it.
    noted: bool,
    /// When it is told again, and how often it was.
    again: (Micros, u32),
}

/// An end that was not acknowledged is told again after this, then after growing waits: the answer may be lost.
const TELL_AGAIN: Micros = 500_000;

/// A message and the controller that it is for.
pub type Outgoing = (String, FromNode);

/// The state of one node.
#[derive(Debug)]
pub struct NodeModel {
    spec: NodeSpec,
    shared: FleetState,
    rng: fastrand::Rng,
    life: u64,
    started: Option<Micros>,
    faults: Faults,
    faulty_since: Micros,
    draining: bool,
    next_away: Micros,
    fallen: bool,
    tasks: BTreeMap<Id, Task>,
    line: VecDeque<Id>,
    looked_at: Option<(Id, Micros)>,
    queue: VecDeque<Id>,
    programs: BTreeMap<u64, Micros>,
    offers: VecDeque<Micros>,
    reports: VecDeque<(Micros, NodeLoad)>,
    next_report: Micros,
    /// The newest link of each controller: the life that greeted on it, and the link.
    connected: BTreeMap<String, (u64, u64)>,
    /// Controllers of which an end was forgotten that they had not acknowledged.
    forgot: BTreeSet<String>,
    /// What ended and no controller has taken note of; of tasks that must not run twice also what was noted,
    /// since the controller may have died before its client was told.
    ended: BTreeMap<Id, Past>,
    ended_order: VecDeque<Id>,
    /// What is said once it no longer hangs, and the life of the controller that it is for.
    held_back: VecDeque<(u64, Outgoing)>,
    out: Vec<(u64, Outgoing)>,
}

/// Ends kept that no controller has taken note of.
const UNREPORTED: usize = 10_000;

impl NodeModel {
    /// A node that is warm and empty.
    pub fn new(spec: NodeSpec, shared: FleetState, life: u64, seed: u64) -> NodeModel {
        NodeModel {
            spec,
            shared,
            rng: fastrand::Rng::with_seed(seed),
            life,
            started: None,
            faults: Faults::default(),
            faulty_since: 0,
            draining: false,
            next_away: 0,
            fallen: false,
            tasks: BTreeMap::new(),
            line: VecDeque::new(),
            looked_at: None,
            queue: VecDeque::new(),
            programs: BTreeMap::new(),
            offers: VecDeque::new(),
            reports: VecDeque::new(),
            next_report: 0,
            connected: BTreeMap::new(),
            forgot: BTreeSet::new(),
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
            held_back: VecDeque::new(),
            out: Vec::new(),
        }
    }

    /// What it is.
    pub fn spec(&self) -> &NodeSpec {
        &self.spec
    }

    /// Its life: another number after each start.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// When it started; `None` is long ago.
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// It fell over and stays down.
    pub fn is_fallen(&self) -> bool {
        self.fallen
    }

    /// It takes nothing new.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// What nobody has asked for: cores and memory.
    pub fn free(&self) -> (f64, f64) {
        let asked = self.asked();
        (self.spec.cores - asked[0], self.spec.memory - asked[1])
    }

    /// Tasks that start or run.
    pub fn held(&self) -> usize {
        self.tasks
            .values()
            .filter(|t| t.stage != Stage::InLine)
            .count()
    }

    /// Sets what is wrong with it from now on.
    pub fn set_faults(&mut self, now: Micros, faults: Faults) -> Vec<Outgoing> {
        self.faulty_since = now;
        self.faults = faults;
        if !self.faults.hangs {
            self.out.extend(std::mem::take(&mut self.held_back));
        }
        self.settle(now)
    }

    /// What is wrong with it.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Forgets this share of the programs that no task uses.
    pub fn flush(&mut self, share: f64) {
        let used: BTreeSet<u64> = self.tasks.values().map(|t| t.work.service).collect();
        let rng = &mut self.rng;
        self.programs
            .retain(|service, _| used.contains(service) || rng.f64() >= share);
    }

    /// Its process ends: everything that it held is gone.
    pub fn die(&mut self, now: Micros) {
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.close_books(now, &task);
        }
        self.line.clear();
        self.queue.clear();
        self.looked_at = None;
        self.programs.clear();
        self.offers.clear();
        self.reports.clear();
        self.connected.clear();
        self.forgot.clear();
        self.ended.clear();
        self.ended_order.clear();
        self.held_back.clear();
        self.out.clear();
    }

    /// Its process starts again, cold.
    pub fn restart(&mut self, now: Micros, life: u64) {
        self.die(now);
        (self.life, self.started, self.draining, self.fallen) = (life, Some(now), false, false);
    }

    /// It drains from now on.
    pub fn drain(&mut self, now: Micros) -> Vec<Outgoing> {
        self.draining = true;
        self.next_away = now;
        self.settle(now)
    }

    /// It takes tasks again.
    pub fn undrain(&mut self) {
        self.draining = false;
    }

    // ---- Links ----

    /// A controller has greeted on a link, which stands for all of its earlier ones: what it is told, in order.
    pub fn greet(&mut self, now: Micros, controller: &ProcessIdentity, link: u64) -> Vec<FromNode> {
        self.connected
            .insert(controller.name.clone(), (controller.incarnation, link));
        // What was not started is dropped: the controller takes it for never run if it is not told now.
        self.drop_idle(now, &controller.name);
        let held = |(id, t): (&Id, &Task)| {
            let standing = id.controller == controller.name
                && !matches!(t.stage, Stage::InLine | Stage::Accepted);
            standing.then(|| FromNode::KnownTask {
                incarnation: id.life,
                attempt: id.attempt,
                task: t.work.clone(),
                ended: None,
            })
        };
        let mut standing: Vec<FromNode> = self.tasks.iter().filter_map(held).collect();
        let mut ended = Vec::new();
        for (id, past) in self
            .ended
            .iter()
            .filter(|(id, _)| id.controller == controller.name)
        {
            let (life, attempt, end, work) = (id.life, id.attempt, past.end, &past.work);
            if life == controller.incarnation {
                if !past.noted {
                    ended.push(FromNode::Ended {
                        attempt,
                        end,
                        load: None,
                    });
                }
            } else {
                // A new life does not know the attempt, but it must know that the task has run.
                standing.push(FromNode::KnownTask {
                    incarnation: life,
                    attempt,
                    task: work.clone(),
                    ended: Some(end),
                });
            }
        }
        let node = ProcessIdentity {
            name: self.spec.name.clone(),
            incarnation: self.life,
        };
        let version = peppercove_protocol::VERSION;
        let whole = !self.forgot.contains(&controller.name);
        let follow = (standing.len() + ended.len()) as u32;
        let mut messages = vec![FromNode::Welcome {
            version,
            node,
            known_tasks: follow,
            is_complete: whole,
        }];
        messages.extend(ended);
        messages.extend(standing);
        messages
    }

    /// The link is the newest of its controller: what comes on an older one is not acted on, or an offer that was long
    /// under way would start after the controller was told that it never did.
    pub fn is_current(&self, controller: &str, link: u64) -> bool {
        self.connected
            .get(controller)
            .is_some_and(|(_, newest)| *newest == link)
    }

    fn drop_idle(&mut self, now: Micros, controller: &str) {
        let idle = |t: &Task| matches!(t.stage, Stage::InLine | Stage::Accepted);
        let dropped: Vec<Id> = self
            .tasks
            .iter()
            .filter(|(id, t)| id.controller == controller && idle(t))
            .map(|(id, _)| id.clone())
            .collect();
        for id in dropped {
            self.remove(now, &id);
        }
    }

    /// A link to a controller broke: what was not started of it is dropped, what runs runs on.
    pub fn part(&mut self, now: Micros, controller: &str, link: u64) -> Vec<Outgoing> {
        if self.is_current(controller, link) {
            self.connected.remove(controller);
            self.drop_idle(now, controller);
        }
        self.settle(now)
    }

    // ---- What controllers ask ----

    /// An offer.
    pub fn offer(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        attempt: AttemptId,
        expires_in: u64,
        work: OfferedTask,
    ) -> Vec<Outgoing> {
        let id = Id {
            controller: from.name.clone(),
            life: from.incarnation,
            attempt,
        };
        self.offers.push_back(now);
        self.look_for_fall(now);
        if self.fallen {
            return Vec::new();
        }
        if self.faults.lies {
            let number = attempt.number.wrapping_add(1);
            self.tell(
                &id,
                FromNode::Running {
                    attempt: AttemptId { number, ..attempt },
                    load: None,
                },
            );
        }
        if self.tasks.contains_key(&id) || self.line.len() >= self.spec.line {
            let load = self.load(now);
            self.tell(
                &id,
                FromNode::Rejected {
                    attempt,
                    reason: NodeReason::QueueFull,
                    load,
                },
            );
            return self.settle(now);
        }
        let (least, most) = self.spec.uses;
        let uses = [0, 1].map(|_| least + self.rng.f64() * (most - least));
        let expires = now.saturating_add(expires_in);
        self.tasks.insert(
            id.clone(),
            Task {
                work,
                stage: Stage::InLine,
                expires,
                uses,
                withdrawn: false,
            },
        );
        self.line.push_back(id);
        self.settle(now)
    }

    /// The controller waits no longer.
    pub fn withdraw(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        attempt: AttemptId,
    ) -> Vec<Outgoing> {
        let id = Id {
            controller: from.name.clone(),
            life: from.incarnation,
            attempt,
        };
        match self.tasks.get_mut(&id).map(|t| (t.stage, t)) {
            Some((Stage::InLine | Stage::Accepted, _)) if !self.faults.hangs => {
                self.refuse(now, &id, NodeReason::Ineligible);
            }
            Some((Stage::Starting { .. }, task)) => task.withdrawn = true,
            Some((Stage::Running { .. } | Stage::Suspended { .. }, task)) => {
                task.withdrawn = true;
                let load = self.load(now);
                self.tell(&id, FromNode::Running { attempt, load });
            }
            None => self.recall(now, &id),
            _ => {}
        }
        self.settle(now)
    }

    /// What the record of this life says of an attempt that is not here: how it ended, or that it never ran. Frames of
    /// one link come in order, so it never will.
    fn recall(&mut self, now: Micros, id: &Id) {
        let load = self.load(now);
        let attempt = id.attempt;
        match self.ended.get(id) {
            Some(past) => {
                let end = past.end;
                self.tell(id, FromNode::Ended { attempt, end, load });
            }
            None if self.forgot.contains(&id.controller) => {}
            None => self.tell(
                id,
                FromNode::Rejected {
                    attempt,
                    reason: NodeReason::Ineligible,
                    load,
                },
            ),
        }
    }

    /// An owner acts on its task.
    pub fn control(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        attempt: AttemptId,
        action: Control,
    ) -> Vec<Outgoing> {
        let id = Id {
            controller: from.name.clone(),
            life: from.incarnation,
            attempt,
        };
        self.control_task(now, &id, action);
        self.settle(now)
    }

    /// A controller has taken note of an end.
    pub fn noted(&mut self, from: &ProcessIdentity, attempt: AttemptId) {
        self.forget_end(&Id {
            controller: from.name.clone(),
            life: from.incarnation,
            attempt,
        });
    }

    fn forget_end(&mut self, id: &Id) {
        let Some(past) = self.ended.get_mut(id) else {
            return;
        };
        past.noted = true;
        if past.work.idempotency != Idempotency::NonIdempotent {
            self.ended.remove(id);
            self.ended_order.retain(|i| i != id);
        }
    }

    /// A restarted controller ends a task of its earlier life, or has taken note of its end.
    pub fn discard(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        life: u64,
        attempt: AttemptId,
    ) -> Vec<Outgoing> {
        let id = Id {
            controller: from.name.clone(),
            life,
            attempt,
        };
        self.control_task(now, &id, Control::Terminate);
        self.forget_end(&id);
        self.settle(now)
    }

    /// A controller calls a task by another number.
    pub fn adopt(
        &mut self,
        now: Micros,
        from: &ProcessIdentity,
        life: u64,
        attempt: AttemptId,
        named: AttemptId,
    ) -> Vec<Outgoing> {
        let old = Id {
            controller: from.name.clone(),
            life,
            attempt,
        };
        let new = Id {
            controller: from.name.clone(),
            life: from.incarnation,
            attempt: named,
        };
        match self.tasks.remove(&old) {
            Some(mut task) => {
                task.withdrawn = false;
                self.queue
                    .iter_mut()
                    .filter(|id| **id == old)
                    .for_each(|id| *id = new.clone());
                self.tasks.insert(new, task);
            }
            None => {
                // It ended while the controller's word was on its way, or has been called so before.
                if self.tasks.contains_key(&new) {
                    return self.settle(now);
                }
                let past = self.ended.remove(&old);
                self.ended_order.retain(|id| *id != old);
                let end = past
                    .as_ref()
                    .map_or(TaskExit::Evicted(NodeReason::Unknown), |past| past.end);
                if let Some(past) = past {
                    self.ended_order.push_back(new.clone());
                    self.ended.insert(
                        new.clone(),
                        Past {
                            noted: false,
                            ..past
                        },
                    );
                }
                self.tell(
                    &new,
                    FromNode::Ended {
                        attempt: named,
                        end,
                        load: None,
                    },
                );
            }
        }
        self.settle(now)
    }

    /// A probe.
    pub fn probe(&mut self, now: Micros, from: &ProcessIdentity, nonce: u64) -> Vec<Outgoing> {
        let id = Id {
            controller: from.name.clone(),
            life: from.incarnation,
            attempt: AttemptId {
                request: 0,
                number: 0,
            },
        };
        let load = self.load(now);
        self.tell(&id, FromNode::ProbeReply { nonce, load });
        self.settle(now)
    }

    fn control_task(&mut self, now: Micros, id: &Id, action: Control) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        match (action, task.stage) {
            (
                Control::Suspend,
                Stage::Running {
                    since,
                    until,
                    start,
                },
            ) => {
                task.stage = Stage::Suspended {
                    since,
                    left: until.saturating_sub(now),
                    start,
                };
            }
            (Control::Resume, Stage::Suspended { since, left, start }) => {
                task.stage = Stage::Running {
                    since,
                    until: now + left,
                    start,
                };
            }
            (Control::Terminate, Stage::InLine | Stage::Accepted) => {
                self.refuse(now, id, NodeReason::Ineligible)
            }
            (Control::Terminate, _) => {
                let usage = usage(task, now);
                self.end(now, id, TaskExit::Signalled { signal: 15, usage });
            }
            _ => {}
        }
    }

    // ---- Time passes ----

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        self.settle(now)
    }

    /// When something is due.
    pub fn next_wake(&self) -> Option<Micros> {
        if self.fallen {
            return None;
        }
        let stages = self.tasks.values().filter_map(|t| match t.stage {
            Stage::Starting { until } | Stage::Running { until, .. } => Some(until),
            _ => None,
        });
        let looked = self
            .looked_at
            .as_ref()
            .map(|(_, at)| *at)
            .filter(|_| !self.faults.hangs);
        let away = (self.draining && self.held() > 0).then_some(self.next_away);
        let away = away.filter(|_| self.spec.drain != EvictionPolicy::None);
        let again = self
            .ended
            .values()
            .filter(|p| !p.noted)
            .map(|p| p.again.0)
            .min();
        let again = again.filter(|_| !self.connected.is_empty() && !self.faults.hangs);
        stages
            .chain(again)
            .chain(looked)
            .chain(away)
            .chain((!self.tasks.is_empty()).then_some(self.next_report))
            .min()
    }

    fn settle(&mut self, now: Micros) -> Vec<Outgoing> {
        self.measure(now);
        self.tell_again(now);
        loop {
            let before = self.out.len();
            let acted =
                self.look(now) | self.start_some(now) | self.pass(now) | self.send_away(now);
            if !acted && self.out.len() == before {
                break;
            }
        }
        let out = std::mem::take(&mut self.out);
        let mut sent = Vec::new();
        for (life, (to, message)) in out {
            // Only the life that sent an attempt knows its number; what was held back may come to another.
            let heard = self
                .connected
                .get(&to)
                .is_some_and(|(newest, _)| *newest == life);
            if self.faults.hangs {
                if self.held_back.len() < UNREPORTED {
                    self.held_back.push_back((life, (to, message)));
                }
            } else if self.withholds(&message) {
                continue;
            } else if heard && self.rng.f64() >= self.faults.loses {
                if self.faults.repeats {
                    sent.push((to.clone(), message.clone()));
                }
                sent.push((to, message));
            }
        }
        sent
    }

    /// Ends that were told and not acknowledged are told again.
    fn tell_again(&mut self, now: Micros) {
        if self.faults.hangs {
            return;
        }
        let connected = &self.connected;
        let due = |(id, p): (&Id, &Past)| {
            let there = connected
                .get(&id.controller)
                .is_some_and(|(life, _)| *life == id.life);
            (!p.noted && p.again.0 <= now).then(|| (id.clone(), there))
        };
        let due: Vec<(Id, bool)> = self.ended.iter().filter_map(due).collect();
        for (id, there) in due {
            let Some(past) = self.ended.get_mut(&id) else {
                continue;
            };
            let (_, times) = past.again;
            past.again = (now + (TELL_AGAIN << times.min(5)), times + 1);
            let end = past.end;
            if there {
                self.tell(
                    &id,
                    FromNode::Ended {
                        attempt: id.attempt,
                        end,
                        load: None,
                    },
                );
            }
        }
    }

    /// Looks at one offer at a time.
    fn look(&mut self, now: Micros) -> bool {
        if self.faults.hangs {
            return false;
        }
        let (id, at) = match self.looked_at.take() {
            Some(looked) => looked,
            None => match self.line.front() {
                Some(id) => (
                    id.clone(),
                    now + (self.spec.admit as f64 / self.pace(now)) as Micros,
                ),
                None => return false,
            },
        };
        if !self.tasks.contains_key(&id) {
            self.line.retain(|i| *i != id);
            return true;
        }
        if at > now {
            self.looked_at = Some((id, at));
            return false;
        }
        self.line.pop_front();
        self.judge(now, &id);
        true
    }

    fn judge(&mut self, now: Micros, id: &Id) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let work = task.work.clone();
        match self.faults.fails.get(&work.class) {
            Some(ClassFault::Error) => {
                self.tasks.remove(id);
                let load = self.load(now);
                return self.tell(
                    id,
                    FromNode::Ended {
                        attempt: id.attempt,
                        end: TaskExit::Error,
                        load,
                    },
                );
            }
            Some(ClassFault::Silence) => {
                self.tasks.remove(id);
                return;
            }
            None => {}
        }
        if self.draining || task.expires <= now {
            return self.refuse(now, id, NodeReason::Ineligible);
        }
        if self.rng.f64() < self.faults.refuses {
            return self.refuse(now, id, NodeReason::InsufficientCores);
        }
        let copy = (self.spec.key_group, work.task);
        let knows = |racks: &Racks| {
            racks
                .copies
                .get(&copy)
                .is_some_and(|until| until.is_none_or(|at| at > now))
        };
        if work.idempotency == Idempotency::Keyed && knows(&self.shared.racks.borrow()) {
            return self.refuse(now, id, NodeReason::Ineligible);
        }
        // A second copy of what must not run twice is turned away by whoever knows the first, whoever sends it.
        let other =
            |(i, t): (&Id, &Task)| i != id && t.stage != Stage::InLine && t.work.task == work.task;
        let known = |p: &Past| p.work.task == work.task && !matches!(p.end, TaskExit::Evicted(_));
        if work.idempotency == Idempotency::NonIdempotent
            && (self.tasks.iter().any(other) || self.ended.values().any(known))
        {
            return self.refuse(now, id, NodeReason::Ineligible);
        }
        if let Err(reason) = self.make_room(now, &work) {
            return self.refuse(now, id, reason);
        }
        if work.idempotency == Idempotency::Keyed {
            let mut racks = self.shared.racks.borrow_mut();
            if racks.copies.insert(copy, None) == Some(None) {
                racks.doubled += 1;
            }
            // Bounded: what is known for longer than its window is forgotten now and then.
            if racks.copies.len().is_multiple_of(1024) {
                racks
                    .copies
                    .retain(|_, until| until.is_none_or(|at| at > now));
            }
        }
        if let Some(task) = self.tasks.get_mut(id) {
            task.stage = Stage::Accepted;
        }
        self.queue.push_back(id.clone());
        let load = self.load(now);
        self.tell(
            id,
            FromNode::Accepted {
                attempt: id.attempt,
                load,
            },
        );
    }

    fn make_room(&mut self, now: Micros, work: &OfferedTask) -> Result<(), NodeReason> {
        let limit = [
            self.spec.cores * self.spec.accepts_cores,
            self.spec.memory * self.spec.accepts_memory,
        ];
        loop {
            let asked = self.asked();
            let short = if asked[0] + work.cores > limit[0] {
                NodeReason::InsufficientCores
            } else if asked[1] + work.memory > limit[1] {
                NodeReason::InsufficientMemory
            } else {
                return Ok(());
            };
            let lower = |t: &Task| t.stage != Stage::InLine && t.work.priority < work.priority;
            let victim = self
                .tasks
                .iter()
                .filter(|(_, t)| self.spec.preempts && lower(t))
                .min_by_key(|(id, t)| (t.work.priority, (*id).clone()))
                .map(|(id, _)| id.clone());
            match victim {
                Some(id) => self.give_up(now, &id, NodeReason::Preempted),
                None => return Err(short),
            }
        }
    }

    fn start_some(&mut self, now: Micros) -> bool {
        let starting = self
            .tasks
            .values()
            .filter(|t| matches!(t.stage, Stage::Starting { .. }))
            .count();
        if self.faults.hangs || starting >= self.spec.starts {
            return false;
        }
        let Some(id) = self.queue.pop_front() else {
            return false;
        };
        let pace = self.pace(now);
        let Some(task) = self.tasks.get(&id) else {
            return true;
        };
        if task.expires <= now {
            self.refuse(now, &id, NodeReason::Ineligible);
            return true;
        }
        let service = task.work.service;
        let there = self.programs.contains_key(&service);
        let time = self.spec.start_time as f64 * if there { 1.0 } else { self.spec.setup } / pace;
        self.programs.insert(service, now);
        if let Some(task) = self.tasks.get_mut(&id) {
            task.stage = Stage::Starting {
                until: now + time as Micros,
            };
        }
        true
    }

    fn pass(&mut self, now: Micros) -> bool {
        let due = |(id, t): (&Id, &Task)| match t.stage {
            Stage::Starting { until } | Stage::Running { until, .. } if until <= now => {
                Some((until, id.clone()))
            }
            _ => None,
        };
        let Some((_, id)) = self.tasks.iter().filter_map(due).min() else {
            return false;
        };
        let Some(task) = self.tasks.get_mut(&id) else {
            return false;
        };
        if let Stage::Starting { until } = task.stage {
            let start = {
                let mut ledger = self.shared.ledger.borrow_mut();
                ledger.starts.push(Start {
                    at: until,
                    ended: None,
                    completed: false,
                    node: self.spec.name.clone(),
                    task: task.work.task,
                    repeat: task.work.idempotency,
                    controller: id.controller.clone(),
                });
                ledger.starts.len() - 1
            };
            let life = run_time(&task.work).unwrap_or(self.spec.life);
            task.stage = Stage::Running {
                since: until,
                until: until + life,
                start,
            };
            let load = self.load(now);
            self.tell(
                &id,
                FromNode::Running {
                    attempt: id.attempt,
                    load,
                },
            );
            self.evict_if_short(now);
        } else {
            let (usage, status) = (usage(task, now), exit_status(&task.work));
            self.end(now, &id, TaskExit::Exited { status, usage });
        }
        true
    }

    /// Memory in use past its end evicts, lowest priority first, then those furthest over what they asked.
    fn evict_if_short(&mut self, now: Micros) {
        while self.used()[1] > self.spec.memory {
            let over = |t: &Task| (t.uses[1] * 1e6) as i64;
            let victim = self
                .tasks
                .iter()
                .filter(|(_, t)| matches!(t.stage, Stage::Running { .. } | Stage::Suspended { .. }))
                .min_by_key(|(id, t)| (t.work.priority, -over(t), (*id).clone()))
                .map(|(id, _)| id.clone());
            let Some(id) = victim else { return };
            self.give_up(now, &id, NodeReason::Evicted);
        }
    }

    fn send_away(&mut self, now: Micros) -> bool {
        if !self.draining || self.next_away > now || self.faults.hangs {
            return false;
        }
        let Some(id) = self
            .tasks
            .iter()
            .find(|(_, t)| t.stage != Stage::InLine)
            .map(|(id, _)| id.clone())
        else {
            return false;
        };
        match self.spec.drain {
            EvictionPolicy::None => return false,
            EvictionPolicy::Paced(every) => self.next_away = now + every.max(1),
            EvictionPolicy::AtOnce => {}
        }
        self.give_up(now, &id, NodeReason::Drained);
        true
    }

    // ---- Ends ----

    fn give_up(&mut self, now: Micros, id: &Id, reason: NodeReason) {
        match self.tasks.get(id).map(|t| t.stage) {
            Some(Stage::InLine | Stage::Accepted | Stage::Starting { .. }) => {
                self.refuse(now, id, reason)
            }
            Some(_) => self.end(now, id, TaskExit::Evicted(reason)),
            None => {}
        }
    }

    /// Refuses, or hands back before it runs.
    fn refuse(&mut self, now: Micros, id: &Id, reason: NodeReason) {
        self.remove(now, id);
        let load = self.load(now);
        self.tell(
            id,
            FromNode::Rejected {
                attempt: id.attempt,
                reason,
                load,
            },
        );
    }

    fn end(&mut self, now: Micros, id: &Id, end: TaskExit) {
        if matches!(
            self.tasks.get(id).map(|t| t.stage),
            Some(Stage::Starting { .. })
        ) {
            return self.refuse(now, id, NodeReason::Ineligible);
        }
        if let (Some(Stage::Running { start, .. }), TaskExit::Exited { .. }) =
            (self.tasks.get(id).map(|t| t.stage), end)
            && let Some(start) = self.shared.ledger.borrow_mut().starts.get_mut(start)
        {
            start.completed = true;
        }
        let work = self.tasks.get(id).map(|t| t.work.clone());
        self.remove(now, id);
        let load = self.load(now);
        if let Some(work) = work {
            while self.ended_order.len() >= UNREPORTED {
                if let Some(oldest) = self.ended_order.pop_front()
                    && self.ended.remove(&oldest).is_some_and(|past| !past.noted)
                {
                    self.forgot.insert(oldest.controller);
                }
            }
            self.ended_order.push_back(id.clone());
            self.ended.insert(
                id.clone(),
                Past {
                    work,
                    end,
                    noted: false,
                    again: (now + TELL_AGAIN, 0),
                },
            );
        }
        self.tell(
            id,
            FromNode::Ended {
                attempt: id.attempt,
                end,
                load,
            },
        );
    }

    fn remove(&mut self, now: Micros, id: &Id) {
        self.line.retain(|i| i != id);
        self.queue.retain(|i| i != id);
        if self.looked_at.as_ref().is_some_and(|(i, _)| i == id) {
            self.looked_at = None;
        }
        let Some(task) = self.tasks.remove(id) else {
            return;
        };
        self.close_books(now, &task);
        self.keep_programs(now, task.work.service);
    }

    fn close_books(&self, now: Micros, task: &Task) {
        if task.work.idempotency == Idempotency::Keyed && task.stage != Stage::InLine {
            let (copy, mut racks) = (
                (self.spec.key_group, task.work.task),
                self.shared.racks.borrow_mut(),
            );
            // `end` has marked the copy that ran to its end.
            let ran = matches!(task.stage, Stage::Running { start, .. } | Stage::Suspended { start, .. }
                if self.shared.ledger.borrow().starts.get(start).is_some_and(|s| s.completed));
            if ran {
                racks.copies.insert(copy, Some(now + self.spec.key_window));
            } else {
                racks.copies.remove(&copy);
            }
        }
        if let Stage::Running { start, .. } | Stage::Suspended { start, .. } = task.stage
            && let Some(start) = self.shared.ledger.borrow_mut().starts.get_mut(start)
        {
            start.ended = Some(now);
        }
    }

    fn keep_programs(&mut self, now: Micros, service: u64) {
        if let Some(last) = self.programs.get_mut(&service) {
            *last = now;
        }
        let used: BTreeSet<u64> = self.tasks.values().map(|t| t.work.service).collect();
        let mut idle: Vec<(Micros, u64)> = self
            .programs
            .iter()
            .filter(|(s, _)| !used.contains(s))
            .map(|(s, at)| (*at, *s))
            .collect();
        idle.sort_unstable();
        let extra = idle.len().saturating_sub(self.spec.kept);
        for (_, service) in idle.into_iter().take(extra) {
            self.programs.remove(&service);
        }
    }

    // ---- Load ----

    fn asked(&self) -> [f64; 2] {
        let held = self.tasks.values().filter(|t| t.stage != Stage::InLine);
        held.fold([0.0; 2], |sum, t| {
            [sum[0] + t.work.cores, sum[1] + t.work.memory]
        })
    }

    fn used(&self) -> [f64; 2] {
        let runs = self
            .tasks
            .values()
            .filter(|t| matches!(t.stage, Stage::Running { .. }));
        runs.fold([self.faults.neighbour * self.spec.cores, 0.0], |sum, t| {
            [
                sum[0] + t.work.cores * t.uses[0],
                sum[1] + t.work.memory * t.uses[1],
            ]
        })
    }

    /// Its pace for starts, as a share of the warm one.
    fn pace(&self, now: Micros) -> f64 {
        let up = self
            .started
            .map_or(self.spec.cold_for, |at| now.saturating_sub(at));
        let warm = (up as f64 / self.spec.cold_for.max(1) as f64).min(1.0);
        let pace = self.spec.cold_from + (1.0 - self.spec.cold_from) * warm;
        let aged = now.saturating_sub(self.faulty_since) as f64 / 1e6 * self.faults.ages;
        (pace * (1.0 - aged).max(0.05) * (1.0 - self.faults.neighbour).max(0.05)).max(0.01)
    }

    /// A budget over a window: what a cold node is offered against what it can start.
    fn look_for_fall(&mut self, now: Micros) {
        let window = self.spec.fall_window;
        while self.offers.front().is_some_and(|at| at + window <= now) {
            self.offers.pop_front();
        }
        let cold = self.started.is_some_and(|at| now < at + self.spec.cold_for);
        let start = self.spec.start_time.max(1) as f64 * self.spec.setup;
        let able = self.spec.starts as f64 * window as f64 / start * self.pace(now);
        let limit = (able * self.spec.fall_multiple).max(self.spec.cold_bears);
        if cold && self.offers.len() as f64 > limit {
            self.fallen = true;
            self.die(now);
            self.shared
                .ledger
                .borrow_mut()
                .fallen
                .push((now, self.spec.name.clone()));
        }
    }

    fn measure(&mut self, now: Micros) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + self.spec.report_every.max(1_000);
        let (asked, used) = (self.asked(), self.used());
        let busy = if self.spec.counts_used { used } else { asked };
        let starting = self
            .tasks
            .values()
            .filter(|t| matches!(t.stage, Stage::Starting { .. }))
            .count();
        let waiting = self.line.len() + self.queue.len() + starting;
        let report = NodeLoad {
            free_cores: Some(self.spec.cores - busy[0]),
            free_memory: Some(self.spec.memory - busy[1]),
            cpu_utilization: Some((used[0] / self.spec.cores.max(1e-9)).min(1.0)),
            queue_depth: Some(waiting as f64),
        };
        self.reports.push_back((now, report));
        while self.reports.len() > 256 {
            self.reports.pop_front();
        }
    }

    fn load(&self, now: Micros) -> Option<NodeLoad> {
        let then = now.checked_sub(self.spec.report_delay + self.faults.late)?;
        self.reports
            .iter()
            .rev()
            .find(|(at, _)| *at <= then)
            .map(|(_, report)| *report)
    }

    fn withholds(&self, message: &FromNode) -> bool {
        self.faults.never_confirms
            && matches!(
                message,
                FromNode::Running { .. } | FromNode::Accepted { .. }
            )
    }

    fn tell(&mut self, id: &Id, message: FromNode) {
        self.out.push((id.life, (id.controller.clone(), message)));
    }
}

fn usage(task: &Task, now: Micros) -> Usage {
    let since = match task.stage {
        Stage::Running { since, .. } | Stage::Suspended { since, .. } => since,
        _ => now,
    };
    let wall = now.saturating_sub(since);
    let cpu = (wall as f64 * task.work.cores * task.uses[0]) as u64;
    Usage {
        wall,
        cpu,
        memory: task.work.memory * task.uses[1],
    }
}

/// How long a stand-in runs a task: `PEPPERCOVE_LIFE_US` of its environment, or the seconds of a `sleep`.
fn run_time(work: &OfferedTask) -> Option<Micros> {
    let named = variable(work, "PEPPERCOVE_LIFE_US").and_then(|v| v.parse().ok());
    let command = work.program.command.rsplit('/').next().unwrap_or_default();
    let seconds = || {
        work.program
            .args
            .first()?
            .parse::<f64>()
            .ok()
            .filter(|s| (0.0..1e6).contains(s))
    };
    named.or_else(|| match command {
        "sleep" => seconds().map(|s| (s * 1e6) as Micros),
        "true" | "false" => Some(0),
        _ => None,
    })
}

fn exit_status(work: &OfferedTask) -> i32 {
    let named = variable(work, "PEPPERCOVE_EXIT").and_then(|v| v.parse().ok());
    named.unwrap_or(i32::from(
        work.program.command.rsplit('/').next() == Some("false"),
    ))
}

fn variable<'a>(work: &'a OfferedTask, name: &str) -> Option<&'a str> {
    let split = |entry: &'a String| entry.split_once('=');
    work.program
        .env
        .iter()
        .filter_map(split)
        .find(|(n, _)| *n == name)
        .map(|(_, v)| v)
}

#[cfg(test)]
mod tests {
    use super::*;
    use peppercove_protocol::node::Program;

    fn work(task: u64, repeat: Idempotency, cores: f64) -> OfferedTask {
        let program = Program::default();
        OfferedTask {
            task,
            service: 1,
            class: 0,
            tenant: 0,
            cores,
            memory: cores,
            priority: 0,
            idempotency: repeat,
            program,
        }
    }

    fn at(number: u16) -> AttemptId {
        AttemptId { request: 1, number }
    }

    fn ready(spec: NodeSpec, shared: &FleetState) -> (NodeModel, ProcessIdentity) {
        let mut model = NodeModel::new(spec, shared.clone(), 1, 1);
        let controller = ProcessIdentity {
            name: "c".into(),
            incarnation: 1,
        };
        model.greet(0, &controller, 1);
        (model, controller)
    }

    fn run(model: &mut NodeModel, until: Micros) -> Vec<FromNode> {
        let mut out = Vec::new();
        while let Some(at) = model.next_wake().filter(|at| *at <= until) {
            out.extend(model.tick(at).into_iter().map(|(_, m)| m));
        }
        out
    }

    #[test]
    fn a_task_is_accepted_runs_and_ends() {
        let shared = FleetState::default();
        let (mut model, c) = ready(NodeSpec::small("n"), &shared);
        model.offer(
            0,
            &c,
            at(0),
            1_000_000,
            work(1, Idempotency::Idempotent, 1.0),
        );
        let said = run(&mut model, 60_000_000);
        let mut kinds: Vec<&str> = said
            .iter()
            .map(|m| match m {
                FromNode::Accepted { .. } => "accepted",
                FromNode::Running { .. } => "running",
                FromNode::Ended {
                    end: TaskExit::Exited { status: 0, .. },
                    ..
                } => "exited",
                _ => "other",
            })
            .collect();
        // The end is told again until it is taken note of, since its message may be lost.
        assert!(
            kinds.iter().filter(|k| **k == "exited").count() > 3,
            "{kinds:?}"
        );
        kinds.dedup();
        assert_eq!(kinds, ["accepted", "running", "exited"]);
        model.noted(&c, at(0));
        assert!(run(&mut model, 600_000_000).is_empty(), "taken note of");
        assert_eq!(shared.ledger.borrow().starts.len(), 1);
    }

    #[test]
    fn it_refuses_past_its_multiples_and_expired_offers() {
        let shared = FleetState::default();
        let (mut model, c) = ready(
            NodeSpec {
                accepts_cores: 1.0,
                ..NodeSpec::small("n")
            },
            &shared,
        );
        model.offer(
            0,
            &c,
            at(0),
            1_000_000,
            work(1, Idempotency::Idempotent, 20.0),
        );
        model.offer(
            0,
            &c,
            at(1),
            1_000_000,
            work(2, Idempotency::Idempotent, 20.0),
        );
        model.offer(0, &c, at(2), 1, work(3, Idempotency::Idempotent, 0.5));
        let refused: Vec<(u16, NodeReason)> = run(&mut model, 1_000_000)
            .iter()
            .filter_map(|m| match m {
                FromNode::Rejected {
                    attempt, reason, ..
                } => Some((attempt.number, *reason)),
                _ => None,
            })
            .collect();
        assert_eq!(
            refused,
            [
                (1, NodeReason::InsufficientCores),
                (2, NodeReason::Ineligible)
            ]
        );
    }

    #[test]
    fn nodes_of_a_rack_let_one_copy_of_a_key_stand() {
        let shared = FleetState::default();
        let (mut first, c) = ready(NodeSpec::small("a"), &shared);
        let (mut second, _) = ready(NodeSpec::small("b"), &shared);
        first.offer(0, &c, at(0), 1_000_000, work(7, Idempotency::Keyed, 1.0));
        run(&mut first, 1_000_000);
        second.offer(
            1_000_000,
            &c,
            at(1),
            1_000_000,
            work(7, Idempotency::Keyed, 1.0),
        );
        let said = run(&mut second, 2_000_000);
        assert!(
            matches!(
                said[..],
                [FromNode::Rejected {
                    reason: NodeReason::Ineligible,
                    ..
                }]
            ),
            "{said:?}"
        );
    }

    #[test]
    fn a_cold_node_falls_over_when_pushed_and_bears_what_it_promised() {
        let shared = FleetState::default();
        let spec = NodeSpec {
            start_time: 400_000,
            cold_bears: 10.0,
            line: 100,
            ..NodeSpec::small("n")
        };
        let (mut model, c) = ready(spec, &shared);
        model.restart(1_000_000, 2);
        model.greet(1_000_000, &c, 2);
        for i in 0..10 {
            model.offer(
                1_000_000,
                &c,
                at(i),
                1_000_000,
                work(u64::from(i), Idempotency::Idempotent, 0.1),
            );
        }
        assert!(!model.is_fallen());
        model.offer(
            1_000_001,
            &c,
            at(10),
            1_000_000,
            work(10, Idempotency::Idempotent, 0.1),
        );
        assert!(model.is_fallen());
        assert_eq!(shared.ledger.borrow().fallen.len(), 1);
    }

    #[test]
    fn what_is_not_named_at_a_greeting_never_starts_afterwards() {
        let shared = FleetState::default();
        let (mut model, c) = ready(NodeSpec::small("n"), &shared);
        model.offer(
            0,
            &c,
            at(0),
            10_000_000,
            work(1, Idempotency::NonIdempotent, 1.0),
        );
        let told = model.greet(100, &c, 2);
        assert!(
            matches!(
                told[..],
                [FromNode::Welcome {
                    known_tasks: 0,
                    is_complete: true,
                    ..
                }]
            ),
            "{told:?}"
        );
        assert!(
            !model.is_current("c", 1),
            "what comes on the older link is not acted on"
        );
        assert!(run(&mut model, 60_000_000).is_empty());
        assert!(shared.ledger.borrow().starts.is_empty());
    }

    #[test]
    fn a_recalled_attempt_is_told_as_what_the_record_says() {
        let shared = FleetState::default();
        let (mut model, c) = ready(NodeSpec::small("n"), &shared);
        let never = model.withdraw(0, &c, at(7));
        assert!(
            matches!(&never[..], [(_, FromNode::Rejected { .. })]),
            "{never:?}"
        );
        model.offer(
            0,
            &c,
            at(0),
            10_000_000,
            work(1, Idempotency::NonIdempotent, 1.0),
        );
        run(&mut model, 5_500_000);
        let ended = model.withdraw(5_500_000, &c, at(0));
        assert!(
            matches!(&ended[..], [(_, FromNode::Ended { .. })]),
            "{ended:?}"
        );
        // Whoever sends a second copy of what ran is turned away.
        let other = ProcessIdentity {
            name: "d".into(),
            incarnation: 1,
        };
        model.greet(5_600_000, &other, 9);
        model.offer(
            5_600_000,
            &other,
            at(0),
            10_000_000,
            work(1, Idempotency::NonIdempotent, 1.0),
        );
        let said = run(&mut model, 6_000_000);
        assert!(
            said.iter().any(|m| matches!(
                m,
                FromNode::Rejected {
                    reason: NodeReason::Ineligible,
                    ..
                }
            )),
            "{said:?}"
        );
        assert_eq!(shared.ledger.borrow().starts.len(), 1);
    }

    #[test]
    fn what_was_held_back_is_not_told_to_another_life() {
        let shared = FleetState::default();
        let (mut model, c) = ready(NodeSpec::small("n"), &shared);
        model.offer(
            0,
            &c,
            at(0),
            10_000_000,
            work(1, Idempotency::NonIdempotent, 30.0),
        );
        run(&mut model, 1_500);
        model.set_faults(
            1_500,
            Faults {
                hangs: true,
                ..Faults::default()
            },
        );
        model.withdraw(1_600, &c, at(9));
        model.greet(
            2_000,
            &ProcessIdentity {
                incarnation: 2,
                ..c
            },
            2,
        );
        let said = model.set_faults(3_000, Faults::default());
        assert!(
            said.is_empty(),
            "a refusal of an attempt of the earlier life: {said:?}"
        );
    }

    #[test]
    fn a_hanging_node_says_later_what_it_had_to_say() {
        let shared = FleetState::default();
        let (mut model, c) = ready(NodeSpec::small("n"), &shared);
        model.set_faults(
            0,
            Faults {
                hangs: true,
                ..Faults::default()
            },
        );
        assert!(
            model
                .offer(
                    0,
                    &c,
                    at(0),
                    500_000,
                    work(1, Idempotency::NonIdempotent, 1.0)
                )
                .is_empty()
        );
        assert!(run(&mut model, 900_000).is_empty());
        let mut said: Vec<FromNode> = model
            .set_faults(1_000_000, Faults::default())
            .into_iter()
            .map(|(_, m)| m)
            .collect();
        said.extend(run(&mut model, 2_000_000));
        assert!(
            matches!(
                said[..],
                [FromNode::Rejected {
                    reason: NodeReason::Ineligible,
                    ..
                }]
            ),
            "expired: {said:?}"
        );
    }

    #[test]
    fn what_runs_outlives_its_controller_and_is_told_to_the_next_life() {
        let shared = FleetState::default();
        let (mut model, c) = ready(NodeSpec::small("n"), &shared);
        model.offer(
            0,
            &c,
            at(0),
            1_000_000,
            work(1, Idempotency::NonIdempotent, 1.0),
        );
        run(&mut model, 1_000_000);
        model.part(1_000_000, "c", 1);
        let next = ProcessIdentity {
            incarnation: 2,
            ..c
        };
        let told = model.greet(1_500_000, &next, 2);
        assert!(matches!(
            told[..],
            [
                FromNode::Welcome { known_tasks: 1, .. },
                FromNode::KnownTask { incarnation: 1, .. }
            ]
        ));
        model.adopt(
            1_500_000,
            &next,
            1,
            at(0),
            AttemptId {
                request: 9,
                number: 0,
            },
        );
        let said = run(&mut model, 5_300_000);
        assert!(
            matches!(
                said[..],
                [FromNode::Ended {
                    attempt: AttemptId { request: 9, .. },
                    ..
                }]
            ),
            "{said:?}"
        );
    }
}
