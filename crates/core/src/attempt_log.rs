//! What is known of the copies of tasks: which were sent, which never ran, which run, which have run.
//!
//! A task that must not have its effect twice may be sent only when it is known that no copy of it ran or can still run.
//! Knowledge is: the word of a node about an attempt in the same life of the node; the node's own record, told when a
//! link is greeted; the proof that an offer never left. A time-out, a line of the node list, a restart or an absence is
//! none: a copy without knowledge stays open here, whatever time passes, until its node has told.
//!
//! Each copy is written down before it is offered ([`Entry`]), so that the next life of the controller knows what this
//! one has sent. Bounded: where no further copy can be remembered, further tasks are refused at the door; an open copy
//! is never forgotten. Copies of classes with a spread limit are kept here as well, since each counts until it is known
//! to be over.

use crate::jobs::TaskEnd;
use peppercove::{Micros, NodeId, RequestId, ServiceId, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An attempt at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The node.
    pub node: NodeId,
    /// The ask.
    pub request: RequestId,
    /// The number of the attempt.
    #[serde(rename = "attempt")]
    pub number: u16,
}

/// An attempt of this or an earlier life of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskCopy {
    /// Life of the controller that made it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The attempt in that life.
    #[serde(rename = "at")]
    pub attempt: AttemptId,
}

/// What a copy is of.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Of {
    /// The task.
    pub task: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u32,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for.
    pub memory: f64,
}

/// How a task that has run came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Completion {
    /// By itself, on this node.
    Ended(NodeId, TaskEnd),
    /// It ran or may have run, and nobody can tell how it ended.
    MayHaveRun,
}

/// One line of the journal: what the next life must know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A copy is about to be offered.
    Sent {
        /// The copy.
        copy: TaskCopy,
        /// Life of the node, as it told it.
        node_life: u64,
        /// What it is of.
        of: Of,
    },
    /// A copy is no more: it never ran, or was stopped before its end by its node.
    Closed(TaskCopy),
    /// The task ran, or may have.
    #[serde(rename = "Ran")]
    Completed(TaskKey, Completion),
    /// A copy goes by another number from now on.
    Renamed(TaskCopy, TaskCopy),
    /// A copy runs.
    Runs(TaskCopy),
}

/// What is known of an open copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// It was sent; nothing is known.
    Out,
    /// It runs, or did when it was last heard of.
    Runs,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    of: Of,
    node_life: u64,
    known: Known,
    /// Its job is over: nobody waits for it. Its owner may come again until then, if it is a time.
    left: Option<Micros>,
    /// Its owner ended the job: a copy that turns up is stopped at once.
    unwanted: bool,
    /// When its node was last asked about it, and how often.
    asked: (Micros, u32),
    /// The list names its node no more, and no link to it stands, since then.
    gone: Option<Micros>,
}

/// What a new ask for a task may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Go on as any other.
    Free,
    /// Come again after this long: a node has not told yet.
    Later(Micros),
    /// Take over the copy that runs.
    TakeOver(TaskCopy),
    /// It has run to its end on this node: that is the answer.
    Ran(NodeId, TaskEnd),
    /// Never: it ran, or may have.
    Never,
}

/// What to do with a copy that its node says runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stray {
    /// It is not known here.
    Unknown,
    /// It stays for a while, should its owner ask again.
    Kept,
    /// Stop it: its owner has ended the job.
    Unwanted,
}

/// What is due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Copies that run and that nobody asked for again in time, to be stopped.
    pub stop: Vec<TaskCopy>,
    /// Copies to ask their nodes about.
    pub recall: Vec<TaskCopy>,
}

/// Tasks that have run are remembered in full up to the bound, and by name alone up to so many times it.
const BY_NAME: usize = 20;

/// What is known of copies.
#[derive(Debug, Default)]
pub struct Evidence {
    settle: Micros,
    memory: Micros,
    most: usize,
    open: BTreeMap<TaskCopy, Open>,
    tasks: BTreeMap<TaskKey, BTreeSet<TaskCopy>>,
    left: usize,
    /// Nothing is due before this.
    due_at: Micros,
    ran: BTreeMap<TaskKey, Completion>,
    by_name: BTreeSet<TaskKey>,
    ran_order: VecDeque<(Micros, TaskKey)>,
    ran_detailed: VecDeque<TaskKey>,
    journal: Vec<JournalEntry>,
}

impl Evidence {
    /// Advises to come again after `settle`, remembers for `memory` what has run, and holds at most `most` copies that
    /// nobody waits for.
    pub fn new(settle: Micros, memory: Micros, most: usize) -> Evidence {
        Evidence {
            settle: settle.max(1),
            memory,
            most,
            due_at: Micros::MAX,
            ..Evidence::default()
        }
    }

    /// What is to be written down, in order, since this was called last.
    pub fn take_journal(&mut self) -> Vec<JournalEntry> {
        std::mem::take(&mut self.journal)
    }

    /// All that the next life must know, in as few entries as can say it.
    pub fn snapshot(&self) -> Vec<JournalEntry> {
        let ran = self
            .ran
            .iter()
            .map(|(task, past)| JournalEntry::Completed(*task, *past));
        let by_name = self
            .by_name
            .iter()
            .map(|task| JournalEntry::Completed(*task, Completion::MayHaveRun));
        let open = self.open.iter().flat_map(|(copy, open)| {
            let sent = JournalEntry::Sent {
                copy: *copy,
                node_life: open.node_life,
                of: open.of,
            };
            [
                Some(sent),
                (open.known == Known::Runs).then_some(JournalEntry::Runs(*copy)),
            ]
            .into_iter()
            .flatten()
        });
        by_name.chain(ran).chain(open).collect()
    }

    /// Takes in what an earlier life wrote down; nobody waits for what it left open.
    pub fn recover(&mut self, now: Micros, entries: &[JournalEntry]) {
        for entry in entries {
            match entry {
                JournalEntry::Sent {
                    copy,
                    node_life,
                    of,
                } => self.add(*copy, *node_life, *of),
                JournalEntry::Closed(copy) => drop(self.close(*copy)),
                JournalEntry::Completed(task, past) => self.has_run(now, *task, *past),
                JournalEntry::Renamed(from, to) => self.rename(*from, *to),
                JournalEntry::Runs(copy) => {
                    if let Some(open) = self.open.get_mut(copy) {
                        open.known = Known::Runs;
                    }
                }
            }
        }
        for open in self.open.values_mut() {
            // A node that stands still tells when it is greeted, and its owner may come only after that.
            open.left = Some(Micros::MAX);
        }
        self.left = self.open.len();
        self.journal.clear();
    }

    /// Copies that nobody waits for.
    pub fn doubtful(&self) -> usize {
        self.left
    }

    /// No further task may be sent before an old one is settled or forgotten.
    pub fn is_full(&self) -> bool {
        self.left >= self.most || self.by_name.len() >= self.most.saturating_mul(BY_NAME)
    }

    /// Copies that are open, and what they are of.
    pub fn open(&self) -> impl Iterator<Item = (TaskCopy, Of)> + '_ {
        self.open.iter().map(|(copy, open)| (*copy, open.of))
    }

    /// The copy is open.
    pub fn is_open(&self, copy: TaskCopy) -> bool {
        self.open.contains_key(&copy)
    }

    /// A copy is about to be offered to a node of that life.
    pub fn sent(&mut self, copy: TaskCopy, node_life: u64, of: Of) {
        self.add(copy, node_life, of);
        self.journal.push(JournalEntry::Sent {
            copy,
            node_life,
            of,
        });
    }

    fn add(&mut self, copy: TaskCopy, node_life: u64, of: Of) {
        let open = Open {
            of,
            node_life,
            known: Known::Out,
            left: None,
            unwanted: false,
            asked: (0, 0),
            gone: None,
        };
        if self
            .open
            .insert(copy, open)
            .is_some_and(|old| old.left.is_some())
        {
            self.left -= 1;
        }
        self.tasks.entry(of.task).or_default().insert(copy);
    }

    fn close(&mut self, copy: TaskCopy) -> Option<Open> {
        let open = self.open.remove(&copy)?;
        self.left -= usize::from(open.left.is_some());
        if let Some(copies) = self.tasks.get_mut(&open.of.task) {
            copies.remove(&copy);
            if copies.is_empty() {
                self.tasks.remove(&open.of.task);
            }
        }
        Some(open)
    }

    /// It is proved that the copy never ran, or its node stopped it before its end and says so.
    pub fn closed(&mut self, copy: TaskCopy) {
        if self.close(copy).is_some() {
            self.journal.push(JournalEntry::Closed(copy));
        }
    }

    /// Its node says that the copy is accepted or runs, and its job waits for that.
    pub fn confirmed(&mut self, copy: TaskCopy) {
        if let Some(open) = self.open.get_mut(&copy).filter(|o| o.known != Known::Runs) {
            open.known = Known::Runs;
            self.journal.push(JournalEntry::Runs(copy));
        }
    }

    /// The copy that its job waited for runs: it is not left to itself, whatever was said of the others.
    pub fn claimed(&mut self, copy: TaskCopy) {
        self.confirmed(copy);
        if let Some(open) = self.open.get_mut(&copy)
            && open.left.take().is_some()
        {
            open.unwanted = false;
            self.left -= 1;
        }
    }

    /// The job of a copy is over while the copy is open; `wanted` unless its owner ended the job.
    pub fn left(&mut self, now: Micros, copy: TaskCopy, wanted: bool) {
        let Some(open) = self.open.get_mut(&copy) else {
            return;
        };
        self.left += usize::from(open.left.is_none());
        open.left = Some(now.saturating_add(self.settle).saturating_add(1_000_000));
        open.unwanted |= !wanted;
        self.due_at = self.due_at.min(now.saturating_add(self.settle / 8));
    }

    /// The copies of a task that are open.
    pub fn copies(&self, task: TaskKey) -> impl Iterator<Item = TaskCopy> + '_ {
        self.tasks.get(&task).into_iter().flatten().copied()
    }

    /// The copy is over, as its node says, or nobody can tell.
    pub fn over(&mut self, now: Micros, copy: TaskCopy, past: Completion) {
        if let Some(open) = self.close(copy) {
            self.ran(now, open.of.task, past);
            self.journal.push(JournalEntry::Closed(copy));
        }
    }

    /// The task has run.
    pub fn ran(&mut self, now: Micros, task: TaskKey, past: Completion) {
        self.has_run(now, task, past);
        self.journal.push(JournalEntry::Completed(task, past));
    }

    fn has_run(&mut self, now: Micros, task: TaskKey, past: Completion) {
        let known = self.ran.get(&task).copied();
        // How it ended is told once; a later doubt about another copy does not erase it.
        if matches!(
            (known, past),
            (Some(Completion::Ended(..)), Completion::MayHaveRun)
        ) {
            return;
        }
        let new = known.is_none() && !self.by_name.contains(&task);
        self.by_name.remove(&task);
        self.ran.insert(task, past);
        if known.is_none() {
            self.ran_detailed.push_back(task);
        }
        if new {
            self.ran_order.push_back((now, task));
        }
        while self.ran_detailed.len() > self.most.max(1) {
            let Some(oldest) = self.ran_detailed.pop_front() else {
                break;
            };
            if self.ran.remove(&oldest).is_some() {
                self.by_name.insert(oldest);
            }
        }
    }

    /// What a new ask for the task may do. `strict` where a second effect would do harm.
    pub fn ask(&self, task: TaskKey, strict: bool) -> Verdict {
        let copies = || {
            self.copies(task)
                .filter_map(|c| Some((c, self.open.get(&c)?)))
        };
        let runs =
            copies().find(|(_, o)| o.known == Known::Runs && !o.unwanted && o.left.is_some());
        if strict {
            match self.ran.get(&task) {
                Some(Completion::Ended(node, end @ TaskEnd::Exited { .. })) => {
                    return Verdict::Ran(*node, *end);
                }
                Some(_) => return Verdict::Never,
                None if self.by_name.contains(&task) => return Verdict::Never,
                None => {}
            }
            // A node that is gone may come back and tell, but nobody is to wait for that.
            if copies().any(|(_, o)| o.gone.is_some()) {
                return Verdict::Never;
            }
            if copies().any(|(c, o)| {
                o.known == Known::Out || o.unwanted || Some(c) != runs.map(|(c, _)| c)
            }) {
                return Verdict::Later(self.settle);
            }
        }
        match runs {
            // Whether it still runs is known again only when its node is greeted.
            Some((copy, open)) if open.left != Some(Micros::MAX) => Verdict::TakeOver(copy),
            Some(_) if strict => Verdict::Later(self.settle),
            _ => Verdict::Free,
        }
    }

    /// The node says that a copy runs that nobody waits for.
    pub fn runs(&mut self, now: Micros, copy: TaskCopy) -> Stray {
        let Some(open) = self.open.get_mut(&copy) else {
            return Stray::Unknown;
        };
        let news = open.known != Known::Runs;
        if news {
            open.known = Known::Runs;
            self.journal.push(JournalEntry::Runs(copy));
        }
        if open.unwanted {
            return Stray::Unwanted;
        }
        // A second more than owners are told to wait, so that the one that obeys still finds it.
        let until = now.saturating_add(self.settle).saturating_add(1_000_000);
        if open.left.is_none() {
            self.left += 1;
        }
        if news || open.left.is_none_or(|at| at == Micros::MAX) {
            open.left = Some(until);
        }
        self.due_at = now;
        Stray::Kept
    }

    /// A copy is somebody's again, under another number.
    pub fn renamed(&mut self, from: TaskCopy, to: TaskCopy) {
        if self.open.contains_key(&from) {
            self.rename(from, to);
            self.journal.push(JournalEntry::Renamed(from, to));
        }
    }

    fn rename(&mut self, from: TaskCopy, to: TaskCopy) {
        let Some(open) = self.close(from) else { return };
        self.add(to, open.node_life, open.of);
        if let Some(new) = self.open.get_mut(&to) {
            new.known = Known::Runs;
        }
    }

    /// A node has told all that it holds, on a link that nothing sent on an earlier one can follow. What it does not
    /// name and of which nothing was heard never ran, if it is the same process and has forgotten nothing; of the
    /// others nobody can tell any more. Gives the copies that are over with it.
    pub fn greeted(
        &mut self,
        now: Micros,
        node: NodeId,
        life: u64,
        whole: bool,
        held: &[TaskCopy],
    ) -> Vec<TaskCopy> {
        let over: Vec<(TaskCopy, Open)> = self
            .open
            .iter()
            .filter(|(c, _)| c.attempt.node == node && !held.contains(c))
            .map(|(c, o)| (*c, *o))
            .collect();
        for (copy, open) in &over {
            if whole && open.node_life == life && open.known == Known::Out {
                self.closed(*copy);
            } else {
                self.over(now, *copy, Completion::MayHaveRun);
            }
        }
        over.into_iter().map(|(copy, _)| copy).collect()
    }

    /// The list names a node no more, and no link to it stands. That proves nothing about its copies: they stay open
    /// until it comes back and tells, or until that is given up. Gives them.
    pub fn gone(&mut self, now: Micros, node: NodeId) -> Vec<TaskCopy> {
        let mut there = Vec::new();
        for (copy, open) in self.open.iter_mut().filter(|(c, _)| c.attempt.node == node) {
            open.gone.get_or_insert(now);
            self.due_at = self.due_at.min(now.saturating_add(self.memory));
            there.push(*copy);
        }
        there
    }

    /// The list names a node again: its copies count. Gives them.
    pub fn back(&mut self, node: NodeId) -> Vec<(TaskCopy, Of)> {
        let there = self.open.iter_mut().filter(|(c, _)| c.attempt.node == node);
        there
            .map(|(copy, open)| (open.gone.take(), (*copy, open.of)).1)
            .collect()
    }

    /// Nodes that hold an open copy.
    pub fn nodes(&self) -> BTreeSet<NodeId> {
        self.open.keys().map(|c| c.attempt.node).collect()
    }

    /// What is due: copies to stop, copies to ask about again. Tasks that ran long ago are forgotten.
    pub fn due(&mut self, now: Micros, life: u64) -> Due {
        while self
            .ran_order
            .front()
            .is_some_and(|(at, _)| at.saturating_add(self.memory) <= now)
        {
            if let Some((_, task)) = self.ran_order.pop_front() {
                self.by_name.remove(&task);
                if self.ran.remove(&task).is_some() {
                    self.ran_detailed.retain(|t| *t != task);
                }
            }
        }
        let mut due = Due::default();
        if self.left == 0 || now < self.due_at {
            return due;
        }
        let (settle, memory) = (self.settle, self.memory);
        let given_up = |o: &Open| o.gone.is_some_and(|at| at.saturating_add(memory) <= now);
        let lost: Vec<TaskCopy> = self
            .open
            .iter()
            .filter(|(_, o)| given_up(o))
            .map(|(c, _)| *c)
            .collect();
        for copy in lost {
            self.over(now, copy, Completion::MayHaveRun);
        }
        for (copy, open) in &mut self.open {
            let Some(left) = open.left.filter(|_| open.gone.is_none()) else {
                continue;
            };
            if open.known == Known::Runs && left <= now && !open.unwanted {
                open.unwanted = true;
                due.stop.push(*copy);
            } else if copy.incarnation == life && next_recall(settle, open) <= now {
                // Its node's answer may be lost, or be late: it is asked again after growing waits.
                open.asked = (now, open.asked.1.saturating_add(1));
                if open.unwanted && open.known == Known::Runs {
                    due.stop.push(*copy);
                } else {
                    due.recall.push(*copy);
                }
            }
        }
        let next = |(copy, open): (&TaskCopy, &Open)| match open.gone {
            Some(at) => Some(at.saturating_add(memory)),
            None => next_due(settle, copy, open, life),
        };
        self.due_at = self
            .open
            .iter()
            .filter_map(next)
            .min()
            .unwrap_or(Micros::MAX)
            .max(now + 1);
        due
    }

    /// When [`Evidence::due`] may have something to say.
    pub fn next(&self) -> Option<Micros> {
        let memory = self
            .ran_order
            .front()
            .map(|(at, _)| at.saturating_add(self.memory));
        let due = (self.left > 0 && self.due_at < Micros::MAX).then_some(self.due_at);
        [memory, due].into_iter().flatten().min()
    }
}

fn next_due(settle: Micros, copy: &TaskCopy, open: &Open, life: u64) -> Option<Micros> {
    let left = open.left?;
    let stop = (open.known == Known::Runs && !open.unwanted && left != Micros::MAX).then_some(left);
    let recall = (copy.incarnation == life).then(|| next_recall(settle, open));
    [stop, recall].into_iter().flatten().min()
}

/// When a node is asked about a copy: an eighth of the settling time after its job is over, then after growing waits.
fn next_recall(settle: Micros, open: &Open) -> Micros {
    let Some(left) = open.left else {
        return Micros::MAX;
    };
    let (at, times) = open.asked;
    let first = left.saturating_sub(settle.saturating_add(1_000_000));
    let wait = (settle / 8).max(1) << times.min(4);
    if times == 0 {
        first.saturating_add(wait)
    } else {
        at.saturating_add(wait)
    }
}
