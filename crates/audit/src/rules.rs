//! The rules, one after the other, over the events in order of time.

use crate::{AuditReport, Event, Figures, Micros, Observation, Place, Started, Violation};
use peppercove_protocol::list::{FromList, NodeState, Scope};
use peppercove_protocol::node::{
    AttemptId, FromNode, Idempotency, OfferedTask, ProcessIdentity, ToNode,
};
use peppercove_protocol::rpc::PlacementOutcome;
use std::collections::{BTreeMap, BTreeSet};

/// Judges what the taps saw and what the nodes counted.
pub fn judge(events: &[Event], starts: &[Started], figures: &Figures) -> AuditReport {
    let mut court = Court::new(figures);
    let mut ordered: Vec<&Event> = events.iter().collect();
    ordered.sort_by_key(|e| e.at);
    for event in ordered {
        court.hear(event.at, &event.seen);
    }
    court.judge_starts(starts);
    court.close();
    court.verdict.violations.sort_by_key(|b| (b.at, b.rule));
    court.verdict
}

type Name = String;

/// A job as its client knows it.
struct Job {
    at: Micros,
    controller: Name,
    session: String,
    deadline: Micros,
    repeat: Idempotency,
    answered: Option<(Micros, PlacementOutcome)>,
    excused: bool,
}

/// Where an attempt stands, as the sockets show it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stand {
    /// Sent, nothing heard.
    Out,
    /// Its node says that it runs, or holds it.
    Runs,
    /// Proved never to have run.
    NeverRan,
    /// Given up or broken off without proof.
    Unknown,
    /// Over after it ran.
    Over,
}

struct Attempt {
    controller: ProcessIdentity,
    id: AttemptId,
    node: Name,
    sent: Micros,
    expires: Micros,
    work: OfferedTask,
    stand: Stand,
    /// When its node said so.
    heard: Micros,
    /// Life of the node when it was sent, as its greeting told it.
    node_life: Option<u64>,
}

/// A greeting under way: so many words on what is held are still to come, and what was named.
struct Roll {
    left: u32,
    life: u64,
    named: Vec<(ProcessIdentity, AttemptId)>,
}

#[derive(Clone, Copy)]
struct Listed {
    state: NodeState,
    told: Micros,
    rack: u16,
    zone: u8,
    life: u64,
    born: Option<Micros>,
}

struct Court<'a> {
    figures: &'a Figures,
    verdict: AuditReport,
    jobs: BTreeMap<String, Job>,
    by_key: BTreeMap<(String, String), String>,
    attempts: Vec<Attempt>,
    by_id: BTreeMap<(ProcessIdentity, AttemptId, Name), usize>,
    by_task: BTreeMap<u64, Vec<usize>>,
    early: BTreeMap<String, Vec<(Micros, String, String, PlacementOutcome)>>,
    lists: BTreeMap<Name, BTreeMap<Name, Listed>>,
    /// Offers that reached a node while it was cold: by node and life.
    cold: BTreeMap<(Name, u64), Vec<Micros>>,
    lives: BTreeMap<(Name, Name), u64>,
    /// Links that stand: by controller and node.
    links: BTreeMap<(Name, Name), bool>,
    /// Controllers that are killed and not started again.
    dead: BTreeSet<Name>,
    /// Greetings under way: by controller and node.
    rolls: BTreeMap<(ProcessIdentity, Name), Roll>,
}

impl<'a> Court<'a> {
    fn new(figures: &'a Figures) -> Court<'a> {
        Court {
            figures,
            verdict: AuditReport::default(),
            jobs: BTreeMap::new(),
            by_key: BTreeMap::new(),
            attempts: Vec::new(),
            by_id: BTreeMap::new(),
            by_task: BTreeMap::new(),
            early: BTreeMap::new(),
            lists: BTreeMap::new(),
            cold: BTreeMap::new(),
            lives: BTreeMap::new(),
            links: BTreeMap::new(),
            dead: BTreeSet::new(),
            rolls: BTreeMap::new(),
        }
    }

    fn breach(&mut self, at: Micros, rule: u8, what: String) {
        self.verdict.violations.push(Violation {
            at,
            rule,
            description: what,
        });
    }

    fn hear(&mut self, at: Micros, seen: &Observation) {
        match seen {
            Observation::ToNode {
                controller,
                node,
                message,
            } => self.hear_controller(at, controller, node, message),
            Observation::FromNode {
                controller,
                node,
                message,
            } => self.hear_node(at, controller, node, message),
            Observation::LinkClosed { controller, node } => {
                self.links
                    .insert((controller.name.clone(), node.clone()), false);
                for a in self
                    .attempts
                    .iter_mut()
                    .filter(|a| a.controller == *controller && a.node == *node)
                {
                    if a.stand == Stand::Out {
                        a.stand = Stand::Unknown;
                    }
                }
            }
            Observation::List { controller, news } => self.listed(at, controller, news),
            Observation::Taken {
                controller,
                session,
                key,
                job,
                deadline,
                repeat,
            } => {
                // The same key again is the same job, answered once.
                if !self.jobs.contains_key(job) {
                    self.verdict.accepted += 1;
                    let job_ = Job {
                        at,
                        controller: controller.clone(),
                        session: session.clone(),
                        deadline: *deadline,
                        repeat: *repeat,
                        answered: None,
                        // A reply may still be read after the one who wrote it was killed.
                        excused: self.dead.contains(controller),
                    };
                    self.jobs.insert(job.clone(), job_);
                    self.by_key
                        .insert((session.clone(), key.clone()), job.clone());
                    for (at, session, key, outcome) in self.early.remove(job).unwrap_or_default() {
                        self.settled(at, &session, &key, job, outcome);
                    }
                }
            }
            Observation::Settled {
                session,
                key,
                job,
                outcome,
            } => self.settled(at, session, key, job, *outcome),
            Observation::ClientGone { session } => {
                self.jobs
                    .values_mut()
                    .filter(|j| j.session == *session)
                    .for_each(|j| j.excused = true);
            }
            Observation::TurnedAway { .. } => self.verdict.rejected += 1,
            Observation::Killed { controller } => {
                self.jobs
                    .values_mut()
                    .filter(|j| j.controller == *controller)
                    .for_each(|j| j.excused = true);
                for a in self
                    .attempts
                    .iter_mut()
                    .filter(|a| a.controller.name == *controller)
                {
                    if a.stand == Stand::Out {
                        a.stand = Stand::Unknown;
                    }
                }
                self.dead.insert(controller.clone());
                self.lists.remove(controller);
            }
            Observation::Started { controller } => {
                self.dead.remove(controller);
            }
        }
    }

    // ---- Rule 1 ----

    fn settled(
        &mut self,
        at: Micros,
        session: &str,
        key: &str,
        job: &str,
        outcome: PlacementOutcome,
    ) {
        let Some(j) = self.jobs.get_mut(job) else {
            // An answer may overtake the reply that names the job.
            let answer = (at, session.to_owned(), key.to_owned(), outcome);
            self.early.entry(job.to_owned()).or_default().push(answer);
            return;
        };
        if let Some((first, was)) = j.answered {
            let what = format!("job {job} is answered {outcome:?} after {was:?} at {first} us");
            return self.breach(at, 1, what);
        }
        j.answered = Some((at, outcome));
        let late = at.saturating_sub(j.at) > j.deadline + self.figures.stall;
        let (deadline, repeat) = (j.deadline, j.repeat);
        match outcome {
            PlacementOutcome::Placed => self.verdict.placed += 1,
            PlacementOutcome::Refused => self.verdict.refused += 1,
            PlacementOutcome::Failed => self.verdict.failed += 1,
            PlacementOutcome::Withdrawn => self.verdict.cancelled += 1,
        }
        if late {
            self.breach(
                at,
                1,
                format!("job {job} is answered later than its {deadline} us"),
            );
        }
        if outcome == PlacementOutcome::Refused {
            self.refused(at, session, key, job, repeat);
        }
    }

    fn close(&mut self) {
        let open: Vec<(Micros, String)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.answered.is_none() && !j.excused)
            .map(|(name, j)| (j.at + j.deadline, name.clone()))
            .collect();
        self.verdict.excused = self
            .jobs
            .values()
            .filter(|j| j.answered.is_none() && j.excused)
            .count() as u64;
        for (job, answers) in std::mem::take(&mut self.early) {
            for (at, ..) in answers {
                self.breach(
                    at,
                    1,
                    format!("an answer for job {job}, which nobody took in"),
                );
            }
        }
        for (at, job) in open {
            self.breach(at, 1, format!("job {job} is never answered"));
        }
    }

    /// Nothing is offered for a job that has its answer.
    fn offered_after_answer(&mut self, at: Micros, work: &OfferedTask) {
        let Some((session, key)) = work.program.key.split_once('\n') else {
            return;
        };
        let job = self.by_key.get(&(session.to_owned(), key.to_owned()));
        if let Some((name, (when, outcome))) =
            job.and_then(|n| Some((n, self.jobs.get(n)?.answered?)))
        {
            let what =
                format!("job {name} is offered again after its answer {outcome:?} at {when} us");
            self.breach(at, 1, what);
        }
    }

    // ---- Rule 2 ----

    fn refused(&mut self, at: Micros, session: &str, key: &str, job: &str, repeat: Idempotency) {
        if repeat == Idempotency::Idempotent {
            return;
        }
        let named = format!("{session}\n{key}");
        let doubtful = self
            .attempts
            .iter()
            .filter(|a| a.work.program.key == named)
            .any(|a| {
                let group = self
                    .figures
                    .classes
                    .get(usize::from(a.work.class))
                    .map(|c| c.group);
                let harmless =
                    a.work.idempotency == Idempotency::Keyed && group == Some(Place::Off);
                a.stand != Stand::NeverRan && !harmless
            });
        if doubtful {
            self.breach(
                at,
                2,
                format!("job {job} is refused though an attempt of it may have run"),
            );
        }
    }

    fn offered(
        &mut self,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        id: AttemptId,
        expires_in: Micros,
        work: &OfferedTask,
    ) {
        self.verdict.dispatches += 1;
        self.offered_after_answer(at, work);
        let stall = self.figures.stall;
        for &i in self.by_task.get(&work.task).into_iter().flatten() {
            let a = &mut self.attempts[i];
            if a.stand == Stand::Out && a.expires <= at + stall {
                a.stand = Stand::Unknown;
            }
        }
        let earlier: Vec<usize> = self.by_task.get(&work.task).cloned().unwrap_or_default();
        let mut found = Vec::new();
        for &i in &earlier {
            let a = &self.attempts[i];
            match (work.idempotency, a.stand) {
                (_, Stand::Out) => found.push(format!("task {:x} has two attempts out", work.task)),
                // Its node's word is on its way: the controller may send it once more within its group.
                (Idempotency::Keyed, Stand::Runs) if at < a.heard + self.figures.travel => {
                    found.extend(self.keyed_again(at, controller, node, work, a));
                }
                (Idempotency::NonIdempotent | Idempotency::Keyed, Stand::Runs) => {
                    found.push(format!(
                        "task {:x} is offered again while it runs on {}",
                        work.task, a.node
                    ));
                }
                // Time is no knowledge: however long ago it was sent, it may have run.
                (Idempotency::NonIdempotent, Stand::Unknown) => {
                    found.push(format!(
                        "unsafe task {:x} is offered again though it may have run",
                        work.task
                    ));
                }
                (Idempotency::Keyed, Stand::Unknown) => {
                    found.extend(self.keyed_again(at, controller, node, work, a));
                }
                _ => {}
            }
        }
        for what in found {
            self.breach(at, 2, what);
        }
        self.drained(at, controller, node);
        self.crowded(at, controller, node, work);
        self.pushed(at, controller, node);
        let index = self.attempts.len();
        self.by_id
            .insert((controller.clone(), id, node.to_owned()), index);
        self.by_task.entry(work.task).or_default().push(index);
        self.attempts.push(Attempt {
            controller: controller.clone(),
            id,
            node: node.to_owned(),
            sent: at,
            expires: at + expires_in,
            work: work.clone(),
            stand: Stand::Out,
            heard: 0,
            node_life: self
                .lives
                .get(&(controller.name.clone(), node.to_owned()))
                .copied(),
        });
    }

    fn keyed_again(
        &self,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        work: &OfferedTask,
        first: &Attempt,
    ) -> Option<String> {
        let class = self.figures.classes.get(usize::from(work.class))?;
        if at > first.sent + class.window + self.figures.stall {
            return Some(format!(
                "keyed task {:x} is offered again past its window",
                work.task
            ));
        }
        let list = self.lists.get(&controller.name)?;
        let (here, there) = (list.get(node)?, list.get(&first.node)?);
        let same = match class.group {
            Place::Off => true,
            Place::Zone => here.zone == there.zone,
            Place::Rack => (here.zone, here.rack) == (there.zone, there.rack),
            Place::Node => node == first.node,
        };
        (!same).then(|| {
            format!(
                "keyed task {:x} is offered again outside its group",
                work.task
            )
        })
    }

    fn hear_controller(
        &mut self,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        message: &ToNode,
    ) {
        match message {
            ToNode::Offer {
                attempt,
                expires_in,
                task: work,
            } => {
                self.offered(at, controller, node, *attempt, *expires_in, work);
            }
            ToNode::CancelAttempt { attempt } => {
                if let Some(a) = self.attempt(controller, *attempt, node)
                    && a.stand == Stand::Out
                {
                    a.stand = Stand::Unknown;
                }
            }
            ToNode::Adopt {
                incarnation: life,
                attempt,
                new_attempt: named,
            } => {
                let old = ProcessIdentity {
                    name: controller.name.clone(),
                    incarnation: *life,
                };
                let key = (old, *attempt, node.to_owned());
                if let Some(&i) = self.by_id.get(&key) {
                    self.by_id
                        .insert((controller.clone(), *named, node.to_owned()), i);
                    let a = &mut self.attempts[i];
                    (a.controller, a.id, a.stand) = (controller.clone(), *named, Stand::Runs);
                }
            }
            _ => {}
        }
    }

    fn attempt(
        &mut self,
        controller: &ProcessIdentity,
        id: AttemptId,
        node: &str,
    ) -> Option<&mut Attempt> {
        let i = *self.by_id.get(&(controller.clone(), id, node.to_owned()))?;
        self.attempts.get_mut(i)
    }

    fn hear_node(
        &mut self,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        message: &FromNode,
    ) {
        self.hear_word(at, controller, node, message);
        // What follows a greeting and belongs to it is counted by the greeting itself.
        let named = match message {
            FromNode::Welcome { .. } => None,
            FromNode::KnownTask {
                incarnation: life,
                attempt,
                ..
            } => Some((
                ProcessIdentity {
                    name: controller.name.clone(),
                    incarnation: *life,
                },
                *attempt,
            )),
            FromNode::Ended { attempt, .. } => Some((controller.clone(), *attempt)),
            _ => return,
        };
        if let Some(roll) = self.rolls.get_mut(&(controller.clone(), node.to_owned())) {
            roll.left -= u32::from(named.is_some() && roll.left > 0);
            roll.named.extend(named);
            self.called(controller, node);
        }
    }

    fn hear_word(
        &mut self,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        message: &FromNode,
    ) {
        let (id, stand) = match message {
            FromNode::Running { attempt, .. } => (*attempt, Stand::Runs),
            FromNode::Rejected { attempt, .. } => (*attempt, Stand::NeverRan),
            FromNode::Ended { attempt, .. } => (*attempt, Stand::Over),
            FromNode::Welcome {
                node: told,
                known_tasks: standing,
                ..
            } => {
                let key = (controller.name.clone(), node.to_owned());
                self.links.insert(key.clone(), true);
                if self
                    .lives
                    .insert(key, told.incarnation)
                    .is_some_and(|was| was != told.incarnation)
                {
                    // Another process: what the earlier one ran is over.
                    for a in self.attempts.iter_mut().filter(|a| a.node == node) {
                        match a.stand {
                            Stand::Runs => a.stand = Stand::Over,
                            // Nor is what was sent to it out any more; whether it ran there stays open.
                            Stand::Out
                                if a.node_life
                                    .is_some_and(|sent_to| sent_to != told.incarnation) =>
                            {
                                a.stand = Stand::Unknown;
                            }
                            _ => {}
                        }
                    }
                }
                let roll = Roll {
                    left: *standing,
                    life: told.incarnation,
                    named: Vec::new(),
                };
                self.rolls
                    .insert((controller.clone(), node.to_owned()), roll);
                return;
            }
            FromNode::KnownTask {
                incarnation: life,
                attempt,
                ended,
                ..
            } => {
                let party = ProcessIdentity {
                    name: controller.name.clone(),
                    incarnation: *life,
                };
                if let Some(a) = self.attempt(&party, *attempt, node)
                    && a.stand != Stand::Over
                {
                    let stand = if ended.is_some() {
                        Stand::Over
                    } else {
                        Stand::Runs
                    };
                    a.heard = if a.stand == stand { a.heard } else { at };
                    a.stand = stand;
                }
                return;
            }
            _ => return,
        };
        if let Some(a) = self.attempt(controller, id, node) {
            // What is over stays over; a second word on it proves nothing.
            if !matches!(a.stand, Stand::Over | Stand::NeverRan) {
                a.heard = if a.stand == stand { a.heard } else { at };
                a.stand = stand;
            }
        }
    }

    /// The node has told all that it holds. By the frames' rules nothing that was sent on earlier links can start after
    /// that, and what it ran it tells until that is acknowledged: an attempt of the same life of the node that is not
    /// named and of which nothing was heard never ran. What it really ran is judged from its own count beside this.
    fn called(&mut self, controller: &ProcessIdentity, node: &str) {
        let key = (controller.clone(), node.to_owned());
        if self.rolls.get(&key).is_none_or(|roll| roll.left > 0) {
            return;
        }
        let Some(roll) = self.rolls.remove(&key) else {
            return;
        };
        for a in self.attempts.iter_mut() {
            let own = a.controller.name == controller.name && a.node == node;
            let named = roll
                .named
                .iter()
                .any(|(party, id)| *party == a.controller && *id == a.id);
            let open = matches!(a.stand, Stand::Out | Stand::Unknown);
            if own && open && !named && a.node_life == Some(roll.life) {
                a.stand = Stand::NeverRan;
            }
        }
    }

    fn judge_starts(&mut self, starts: &[Started]) {
        let mut by_task: BTreeMap<u64, Vec<&Started>> = BTreeMap::new();
        for start in starts
            .iter()
            .filter(|s| s.repeat != Idempotency::Idempotent)
        {
            by_task.entry(start.task).or_default().push(start);
        }
        for (task, mut starts) in by_task {
            starts.sort_by_key(|s| s.at);
            self.verdict.unsafe_starts += starts
                .iter()
                .filter(|s| s.repeat == Idempotency::NonIdempotent)
                .count() as u64;
            for pair in starts.windows(2) {
                let (first, second) = (pair[0], pair[1]);
                let together = first.ended.is_none_or(|e| e > second.at);
                let what = match first.repeat {
                    Idempotency::NonIdempotent if together || first.completed => "unsafe",
                    Idempotency::Keyed if together && first.rack == second.rack => "keyed",
                    // Its group forgets it; a second run to the end is a second effect.
                    Idempotency::Keyed if first.completed && !together => "keyed",
                    _ => continue,
                };
                let what = format!(
                    "{what} task {task:x} starts on {} and again on {}",
                    first.node, second.node
                );
                self.breach(second.at, 2, what);
            }
        }
    }

    // ---- Rules 3 and 4 ----

    fn listed(&mut self, at: Micros, controller: &str, news: &FromList) {
        let FromList::Update {
            scope,
            entries: lines,
            ..
        } = news
        else {
            return;
        };
        let list = self.lists.entry(controller.to_owned()).or_default();
        if *scope == Scope::Full {
            for (name, l) in list
                .iter_mut()
                .filter(|(name, _)| !lines.iter().any(|line| line.name == **name))
            {
                if l.state != NodeState::Removed {
                    (l.state, l.told) = (NodeState::Removed, at);
                }
                let _ = name;
            }
        }
        for line in lines {
            let born = line.age.map(|age| at.saturating_sub(age));
            let new = Listed {
                state: line.state,
                told: at,
                rack: line.rack,
                zone: line.zone,
                life: line.incarnation,
                born,
            };
            match list.get_mut(&line.name) {
                // The grace runs from the first word of it.
                Some(old) if old.state == line.state && old.life == line.incarnation => {}
                Some(old) if old.state != NodeState::Ready && line.state != NodeState::Ready => {
                    old.state = line.state
                }
                _ => {
                    list.insert(line.name.clone(), new);
                }
            }
        }
    }

    fn drained(&mut self, at: Micros, controller: &ProcessIdentity, node: &str) {
        let told = self
            .lists
            .get(&controller.name)
            .and_then(|l| l.get(node))
            .copied();
        let Some(told) = told.filter(|l| l.state != NodeState::Ready) else {
            return;
        };
        if at > told.told + self.figures.drain_grace + self.figures.stall {
            let late = at - told.told;
            self.breach(
                at,
                3,
                format!(
                    "{} offers to {node} {late} us after it heard {:?}",
                    controller.name, told.state
                ),
            );
        }
    }

    fn pushed(&mut self, at: Micros, controller: &ProcessIdentity, node: &str) {
        let told = self
            .lists
            .get(&controller.name)
            .and_then(|l| l.get(node))
            .copied();
        let Some((life, born)) = told.and_then(|l| Some((l.life, l.born?))) else {
            return;
        };
        if at >= born + self.figures.warm_within {
            return;
        }
        let window = self.figures.fall_window;
        let offers = self.cold.entry((node.to_owned(), life)).or_default();
        offers.push(at);
        let recent = offers.iter().filter(|t| **t + window > at).count() as u64;
        if recent > self.figures.cold_bears {
            let most = self.figures.cold_bears;
            let what = format!(
                "{recent} offers within {window} us to the cold {node}, which bears {most}"
            );
            self.breach(at, 4, what);
        }
    }

    // ---- Rule 5 ----

    fn crowded(
        &mut self,
        at: Micros,
        controller: &ProcessIdentity,
        node: &str,
        work: &OfferedTask,
    ) {
        let Some(class) = self.figures.classes.get(usize::from(work.class)) else {
            return;
        };
        let list = self.lists.get(&controller.name);
        let place = |name: &str| -> Option<(u8, u16, String)> {
            let l = list.and_then(|l| l.get(name))?;
            match class.spread {
                Place::Off => None,
                Place::Node => Some((l.zone, l.rack, name.to_owned())),
                Place::Rack => Some((l.zone, l.rack, String::new())),
                Place::Zone => Some((l.zone, 0, String::new())),
            }
        };
        let Some(here) = place(node) else { return };
        // A node that the list calls gone and whose link has closed holds nothing that the controller could count.
        let left = |a: &Attempt| {
            let gone = list
                .and_then(|l| l.get(&a.node))
                .is_some_and(|l| l.state == NodeState::Removed);
            gone && self.links.get(&(controller.name.clone(), a.node.clone())) == Some(&false)
        };
        let held = |a: &&Attempt| {
            !left(a)
                && a.controller == *controller
                && a.work.service == work.service
                && match a.stand {
                    Stand::Out => a.expires > at,
                    Stand::Runs => true,
                    _ => false,
                }
        };
        let count = self
            .attempts
            .iter()
            .filter(held)
            .filter(|a| place(&a.node).as_ref() == Some(&here))
            .count();
        if count as u32 + 1 > class.most {
            let what = format!(
                "{} brings service {:x} to {} in one place, {} at most",
                controller.name,
                work.service,
                count + 1,
                class.most
            );
            self.breach(at, 5, what);
        }
    }
}
