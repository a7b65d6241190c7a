//! What became of tasks that must not run twice, when their ask ended without anyone knowing.
//!
//! An unsafe task whose attempt may have run is answered as failed. Its owner may ask again, and the second ask must
//! not start it a second time. This table remembers the attempt until its node has told its fate, and says what a
//! new ask for the same task may do. A node that holds the task gives it to the new ask; a task that nobody asks
//! for again is stopped a while later. Bounded in time and number; when the number is reached the table refuses
//! further unsafe asks rather than forget one that may run.

use peppercove::{MachineId, Micros, RequestId, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An attempt at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Trace {
    /// The node.
    pub node: MachineId,
    /// The ask.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u16,
}

/// What is known of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// Its node has not told. Where its owner ended it, a copy that turns up is stopped at once.
    Unknown { wanted: bool },
    /// It runs there, and nobody waits for it.
    Runs { stop_at: Micros },
    /// It ran, or may have run on a node that is no more.
    MayHaveRun,
}

/// What a new ask for a task may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Go on as any other.
    Free,
    /// Come again after this long: the fate of an earlier attempt is not known.
    Later(Micros),
    /// Take over the copy that runs.
    TakeOver(Trace),
    /// Never: it ran, or may have.
    Never,
}

/// What to do with a copy that its node says runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copy {
    /// The attempt is not in doubt: it is nothing to this table.
    NotInDoubt,
    /// It stays for a while, should its owner ask again.
    Kept,
    /// Stop it: its owner has ended the job.
    Unwanted,
}

/// The table of fates.
#[derive(Debug, Default)]
pub struct Fates {
    settle: Micros,
    memory: Micros,
    most: usize,
    tasks: BTreeMap<TaskKey, (Trace, Fate, Micros)>,
    traces: BTreeMap<Trace, TaskKey>,
    /// Tasks that ran to their end, and when; the oldest are forgotten.
    ran: BTreeMap<TaskKey, Micros>,
    ran_order: VecDeque<(Micros, TaskKey)>,
}

impl Fates {
    /// A table that advises to come again after `settle`, keeps what it was told for `memory` and holds at most
    /// `most` tasks.
    pub fn new(settle: Micros, memory: Micros, most: usize) -> Fates {
        Fates { settle, memory, most, ..Fates::default() }
    }

    /// Tasks in the table.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Nothing is in doubt.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// No further task may come into doubt before an old one leaves.
    pub fn is_full(&self) -> bool {
        self.tasks.len() >= self.most
    }

    /// The ask ended and nobody knows whether this attempt ran; `wanted` unless its owner ended the job.
    pub fn doubt(&mut self, now: Micros, task: TaskKey, trace: Trace, wanted: bool) {
        if let Some((old, ..)) = self.tasks.insert(task, (trace, Fate::Unknown { wanted }, now)) {
            self.traces.remove(&old);
        }
        self.traces.insert(trace, task);
    }

    /// What a new ask for the task may do.
    pub fn ask(&self, task: TaskKey) -> Verdict {
        match self.tasks.get(&task) {
            None if self.ran.contains_key(&task) => Verdict::Never,
            None => Verdict::Free,
            Some((_, Fate::Unknown { .. }, _)) => Verdict::Later(self.settle),
            Some((trace, Fate::Runs { .. }, _)) => Verdict::TakeOver(*trace),
            Some((_, Fate::MayHaveRun, _)) => Verdict::Never,
        }
    }

    /// The task ran to its end. Its owner may not have heard, when its controller or its link died meanwhile.
    pub fn ran(&mut self, now: Micros, task: TaskKey) {
        self.ran.insert(task, now);
        self.ran_order.push_back((now, task));
        while self.ran_order.len() > self.most {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((at, task)) = self.ran_order.pop_front()
            && self.ran.get(&task) == Some(&at)
        {
            self.ran.remove(&task);
        }
    }

    /// The node proves that the attempt never ran.
    pub fn never_ran(&mut self, trace: Trace) {
        if let Some(task) = self.traces.remove(&trace) {
            self.tasks.remove(&task);
        }
    }

    /// The node says that it runs.
    pub fn runs(&mut self, now: Micros, trace: Trace) -> Copy {
        let Some(entry) = self.traces.get(&trace).and_then(|t| self.tasks.get_mut(t)) else {
            return Copy::NotInDoubt;
        };
        match entry.1 {
            Fate::Unknown { wanted: true } => {
                // A second more than owners are told to wait, so that the one that obeys still finds it.
                entry.1 = Fate::Runs { stop_at: now.saturating_add(self.settle).saturating_add(1_000_000) };
                Copy::Kept
            }
            Fate::Runs { .. } => Copy::Kept,
            Fate::Unknown { wanted: false } | Fate::MayHaveRun => {
                (entry.1, entry.2) = (Fate::MayHaveRun, now);
                Copy::Unwanted
            }
        }
    }

    /// The node says that it is over, or the node is no more: it may have had its effect.
    pub fn over(&mut self, now: Micros, trace: Trace) {
        if let Some(entry) = self.traces.get(&trace).and_then(|t| self.tasks.get_mut(t)) {
            (entry.1, entry.2) = (Fate::MayHaveRun, now);
        }
    }

    /// A new ask has taken over the copy that runs.
    pub fn taken_over(&mut self, trace: Trace) {
        self.never_ran(trace);
    }

    /// A node tells all that it holds: what is in doubt there and not among it never ran, unless the node was
    /// restarted since, which forgets what it ran.
    pub fn holds(&mut self, now: Micros, node: MachineId, same_life: bool, held: &[Trace]) {
        let there: Vec<Trace> = self.traces.keys().filter(|t| t.node == node).copied().collect();
        for trace in there.into_iter().filter(|t| !held.contains(t)) {
            let runs = self.traces.get(&trace).and_then(|t| self.tasks.get(t)).map(|(_, fate, _)| *fate);
            match runs {
                Some(Fate::Unknown { .. }) if same_life => self.never_ran(trace),
                _ => self.over(now, trace),
            }
        }
    }

    /// Copies that nobody asked for again in time, to be stopped now; what is old is forgotten.
    pub fn due(&mut self, now: Micros) -> Vec<Trace> {
        let memory = self.memory;
        while self.ran_order.front().is_some_and(|(at, _)| at.saturating_add(memory) <= now) {
            self.forget_oldest();
        }
        let mut stop = Vec::new();
        for (trace, fate, since) in self.tasks.values_mut() {
            if matches!(fate, Fate::Runs { stop_at } if *stop_at <= now) {
                (*fate, *since) = (Fate::MayHaveRun, now);
                stop.push(*trace);
            }
        }
        let traces = &mut self.traces;
        self.tasks.retain(|_, (trace, _, since)| {
            let keep = since.saturating_add(memory) > now;
            if !keep {
                traces.remove(trace);
            }
            keep
        });
        stop
    }

    /// When [`Fates::due`] has something to say.
    pub fn next(&self) -> Option<Micros> {
        let at = |(_, fate, since): &(Trace, Fate, Micros)| match fate {
            Fate::Runs { stop_at } => *stop_at,
            _ => since.saturating_add(self.memory),
        };
        self.tasks.values().map(at).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TASK: TaskKey = TaskKey(5);
    const TRACE: Trace = Trace { node: MachineId(1), request: RequestId(2), attempt: 0 };

    fn doubtful() -> Fates {
        let mut fates = Fates::new(3_000_000, 60_000_000, 2);
        fates.doubt(0, TASK, TRACE, true);
        fates
    }

    #[test]
    fn a_task_of_unknown_fate_waits_and_is_free_only_on_proof() {
        let mut fates = doubtful();
        assert_eq!(fates.ask(TASK), Verdict::Later(3_000_000));
        assert_eq!(fates.ask(TaskKey(6)), Verdict::Free);
        fates.never_ran(TRACE);
        assert_eq!(fates.ask(TASK), Verdict::Free);
        assert!(fates.is_empty());
    }

    #[test]
    fn a_copy_that_runs_is_taken_over_or_stopped() {
        let mut fates = doubtful();
        assert_eq!(fates.runs(1_000, TRACE), Copy::Kept);
        assert_eq!(fates.runs(1_000, Trace { attempt: 1, ..TRACE }), Copy::NotInDoubt);
        assert_eq!(fates.ask(TASK), Verdict::TakeOver(TRACE));
        assert!(fates.due(4_000_999).is_empty());
        assert_eq!(fates.next(), Some(4_001_000));
        assert_eq!(fates.due(4_001_000), [TRACE]);
        assert_eq!(fates.ask(TASK), Verdict::Never, "it ran, and was stopped");
        assert!(fates.due(4_001_000 + 60_000_000).is_empty());
        assert_eq!(fates.ask(TASK), Verdict::Free, "forgotten after its time");
    }

    #[test]
    fn a_node_that_comes_back_settles_the_doubt_only_if_it_was_not_restarted() {
        let mut same = doubtful();
        same.holds(0, MachineId(9), true, &[]);
        assert_eq!(same.ask(TASK), Verdict::Later(3_000_000), "another node proves nothing");
        same.holds(0, MachineId(1), true, &[TRACE]);
        assert_eq!(same.ask(TASK), Verdict::Later(3_000_000), "still held");
        same.holds(0, MachineId(1), true, &[]);
        assert_eq!(same.ask(TASK), Verdict::Free);
        let mut restarted = doubtful();
        restarted.holds(0, MachineId(1), false, &[]);
        assert_eq!(restarted.ask(TASK), Verdict::Never);
    }

    #[test]
    fn a_copy_whose_owner_ended_the_job_is_not_kept() {
        let mut fates = Fates::new(3_000_000, 60_000_000, 2);
        fates.doubt(0, TASK, TRACE, false);
        assert_eq!(fates.runs(1_000, TRACE), Copy::Unwanted);
        assert_eq!(fates.ask(TASK), Verdict::Never);
    }

    #[test]
    fn a_task_that_ran_is_not_started_again_until_it_is_forgotten() {
        let mut fates = Fates::new(3_000_000, 60_000_000, 2);
        fates.ran(5, TASK);
        assert_eq!(fates.ask(TASK), Verdict::Never);
        fates.ran(6, TaskKey(6));
        fates.ran(7, TaskKey(7));
        assert_eq!(fates.ask(TASK), Verdict::Free, "bounded: the oldest makes room");
        fates.due(60_000_006);
        assert_eq!(fates.ask(TaskKey(6)), Verdict::Free);
        assert_eq!(fates.ask(TaskKey(7)), Verdict::Never);
    }

    #[test]
    fn the_table_says_when_it_is_full() {
        let mut fates = doubtful();
        assert!(!fates.is_full());
        fates.doubt(0, TaskKey(6), Trace { attempt: 3, ..TRACE }, true);
        assert!(fates.is_full());
    }
}
