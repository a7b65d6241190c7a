//! Log of attempts: tracks every copy of a task from its dispatch until its outcome is known.
//!
//! A task that must run at most once may be dispatched again only if it is known that no earlier copy of it ran or can
//! still run. The following count as proof: a node's report on an attempt, within one incarnation of the node; the
//! node's own record, reported in the handshake of a connection; and evidence that a dispatch never left the
//! controller. A timeout, an entry of the node list, a restart or a missing report proves nothing: a copy without proof
//! stays open here until its node has reported, however long that takes. An open copy that no request waits for is an
//! orphan.
//!
//! Each copy is written to the write-ahead log before it is dispatched ([`JournalEntry`]), so that the next incarnation
//! of the controller knows what this one has sent. The log is bounded: if no further copy can be recorded, new tasks
//! are rejected at admission, but an open copy is never dropped. Copies of classes with a topology spread are logged as
//! well, since each of them counts until it is known to have ended.

mod completions;
mod open_copies;
mod types;

pub use types::{
    Admission, AttemptId, ClientInterest, Completion, DueActions, JournalEntry, NodeReport,
    OrphanAction, TaskCopy, TaskSpec,
};

use crate::jobs::TaskEnd;
use completions::{CompletionRecord, Completions};
use open_copies::{CopyState, OpenCopies, OpenCopy};
use peppercove::{Micros, NodeId, TaskKey};
use std::collections::BTreeSet;

/// The open copies, and the completions of tasks that have run.
#[derive(Debug, Default)]
pub struct AttemptLog {
    /// Maximum number of orphans.
    capacity: usize,
    open: OpenCopies,
    completions: Completions,
    journal: Vec<JournalEntry>,
}

impl AttemptLog {
    /// Creates an empty log. Clients are told to retry after `retry_delay`, completions are kept for `retention` (both
    /// in microseconds), and at most `capacity` orphans are held.
    pub fn new(retry_delay: Micros, retention: Micros, capacity: usize) -> AttemptLog {
        AttemptLog {
            capacity,
            open: OpenCopies::new(retry_delay.max(1), retention),
            completions: Completions::new(retention, capacity),
            journal: Vec::new(),
        }
    }

    // ---- The journal ----

    /// Returns the entries to be written to the journal, in order, since the last call.
    pub fn take_journal(&mut self) -> Vec<JournalEntry> {
        std::mem::take(&mut self.journal)
    }

    /// Returns the minimal list of entries from which the next incarnation can recover the current state.
    pub fn snapshot(&self) -> Vec<JournalEntry> {
        let completions = self.completions.iter();
        let completed =
            completions.map(|(task, completion)| JournalEntry::Completed(task, completion));
        let open = self.open.iter().flat_map(|(copy, open)| {
            let (node_incarnation, spec) = (open.node_incarnation, open.spec);
            let sent = JournalEntry::Sent {
                copy: *copy,
                node_incarnation,
                spec,
            };
            let running = open.is_running().then_some(JournalEntry::Running(*copy));
            [Some(sent), running].into_iter().flatten()
        });
        completed.chain(open).collect()
    }

    /// Restores the state from the entries of an earlier incarnation. All copies that it left open become orphans.
    pub fn recover(&mut self, now: Micros, entries: &[JournalEntry]) {
        for entry in entries {
            match entry {
                JournalEntry::Sent {
                    copy,
                    node_incarnation,
                    spec,
                } => {
                    self.open.insert(*copy, *node_incarnation, *spec);
                }
                JournalEntry::Closed(copy) => drop(self.open.remove(*copy)),
                JournalEntry::Completed(task, completion) => {
                    self.completions.insert(now, *task, *completion)
                }
                JournalEntry::Renamed(from, to) => self.open.rename(*from, *to),
                JournalEntry::Running(copy) => drop(self.open.set_running(*copy)),
            }
        }
        self.open.abandon_all_until_reported();
        self.journal.clear();
    }

    // ---- Queries ----

    /// Number of orphans: open copies that no request waits for.
    pub fn ambiguous_count(&self) -> usize {
        self.open.orphan_count()
    }

    /// Whether no further task may be dispatched until the outcome of an old one is known or expires.
    pub fn is_full(&self) -> bool {
        self.open.orphan_count() >= self.capacity || self.completions.is_full()
    }

    /// The open copies and their specifications.
    pub fn open_copies(&self) -> impl Iterator<Item = (TaskCopy, TaskSpec)> + '_ {
        self.open.iter().map(|(copy, open)| (*copy, open.spec))
    }

    /// Whether the copy is open.
    pub fn is_open(&self, copy: TaskCopy) -> bool {
        self.open.contains(copy)
    }

    /// Whether any copy of the task is open.
    pub fn has_open_copy(&self, task: TaskKey) -> bool {
        self.open.of_task(task).next().is_some()
    }

    /// The nodes at which a copy is open.
    pub fn nodes_with_open_copies(&self) -> BTreeSet<NodeId> {
        self.open
            .iter()
            .map(|(copy, _)| copy.attempt.node)
            .collect()
    }

    /// Decides whether a new request for the task is admitted. `must_run_once` is set if a second run would do harm.
    pub fn admit(&self, task: TaskKey, must_run_once: bool) -> Admission {
        let retry_later = Admission::RetryLater(self.open.retry_delay());
        let running = self.adoptable_copy(task);
        if must_run_once {
            if let Some(completed) = self.admit_completed(task) {
                return completed;
            }
            // A removed node may return and report, but clients are not asked to wait for that.
            if self
                .open
                .of_task(task)
                .any(|(_, open)| open.node_removed_at.is_some())
            {
                return Admission::Deny;
            }
            let adoptable = running.map(|(copy, _)| copy);
            let is_unresolved = |copy: TaskCopy, open: &OpenCopy| {
                open.state == CopyState::Sent || open.should_stop || Some(copy) != adoptable
            };
            if self
                .open
                .of_task(task)
                .any(|(copy, open)| is_unresolved(copy, open))
            {
                return retry_later;
            }
        }
        match running {
            // After a recovery, only a report of its node shows whether the copy is still running.
            Some((copy, open)) if !open.awaits_node_report() => Admission::Adopt(copy),
            Some(_) if must_run_once => retry_later,
            Some(_) | None => Admission::Admit,
        }
    }

    /// Finds the first running orphan of the task that its client may still claim.
    fn adoptable_copy(&self, task: TaskKey) -> Option<(TaskCopy, &OpenCopy)> {
        let is_adoptable =
            |open: &OpenCopy| open.is_running() && !open.should_stop && open.is_orphan();
        self.open.of_task(task).find(|(_, open)| is_adoptable(open))
    }

    fn admit_completed(&self, task: TaskKey) -> Option<Admission> {
        Some(match self.completions.get(task)? {
            CompletionRecord::Detailed(Completion::Ended(node, end @ TaskEnd::Exited { .. })) => {
                Admission::AlreadyCompleted(node, end)
            }
            CompletionRecord::Detailed(Completion::Ended(..) | Completion::MayHaveRun)
            | CompletionRecord::KeyOnly => Admission::Deny,
        })
    }

    // ---- Copies ----

    /// Records that a copy is about to be dispatched to the given incarnation of its node.
    pub fn record_sent(&mut self, copy: TaskCopy, node_incarnation: u64, spec: TaskSpec) {
        self.open.insert(copy, node_incarnation, spec);
        self.journal.push(JournalEntry::Sent {
            copy,
            node_incarnation,
            spec,
        });
    }

    /// Closes a copy that provably never ran, or that its node reports to have stopped before its end.
    pub fn record_closed(&mut self, copy: TaskCopy) {
        if self.open.remove(copy).is_some() {
            self.journal.push(JournalEntry::Closed(copy));
        }
    }

    /// Records that the node accepted or started a copy that a request waits for.
    pub fn record_running(&mut self, copy: TaskCopy) {
        if self.open.set_running(copy) {
            self.journal.push(JournalEntry::Running(copy));
        }
    }

    /// Records that the copy is running and that a request waits for it; it stops being an orphan.
    pub fn claim(&mut self, copy: TaskCopy) {
        self.record_running(copy);
        self.open.claim(copy);
    }

    /// Turns an open copy into an orphan, because no request waits for it any more.
    pub fn abandon(&mut self, now: Micros, copy: TaskCopy, interest: ClientInterest) {
        self.open.abandon(now, copy, interest);
    }

    /// Closes a copy that has ended according to its node, or whose outcome no node can report any more.
    pub fn record_end(&mut self, now: Micros, copy: TaskCopy, completion: Completion) {
        if let Some(open) = self.open.remove(copy) {
            self.record_completion(now, open.spec.task, completion);
            self.journal.push(JournalEntry::Closed(copy));
        }
    }

    /// Records that the task has run, or may have run.
    pub fn record_completion(&mut self, now: Micros, task: TaskKey, completion: Completion) {
        self.completions.insert(now, task, completion);
        self.journal.push(JournalEntry::Completed(task, completion));
    }

    /// Handles a node's report that a copy without a waiting request is running. Returns what to do with the copy.
    pub fn on_orphan_running(&mut self, now: Micros, copy: TaskCopy) -> OrphanAction {
        if !self.open.contains(copy) {
            return OrphanAction::Unknown;
        }
        let is_new = self.open.set_running(copy);
        if is_new {
            self.journal.push(JournalEntry::Running(copy));
        }
        if self.open.keep_orphan(now, copy, is_new) {
            OrphanAction::Keep
        } else {
            OrphanAction::Stop
        }
    }

    /// Changes the id of a copy that was adopted by another request.
    pub fn rename(&mut self, from: TaskCopy, to: TaskCopy) {
        if self.open.contains(from) {
            self.open.rename(from, to);
            self.journal.push(JournalEntry::Renamed(from, to));
        }
    }

    // ---- Nodes ----

    /// Compares the open copies with the complete report of a newly connected node; no message sent on an earlier
    /// connection can arrive after it. A copy missing from the report is closed as never run if the report proves that,
    /// and recorded as possibly run otherwise. Returns the copies that were closed.
    pub fn reconcile_node(&mut self, now: Micros, report: NodeReport<'_>) -> Vec<TaskCopy> {
        let missing: Vec<(TaskCopy, bool)> = self
            .open
            .at_node(report.node)
            .filter(|(copy, _)| !report.held.contains(copy))
            .map(|(copy, open)| (*copy, proves_never_ran(&report, open)))
            .collect();
        for (copy, never_ran) in &missing {
            if *never_ran {
                self.record_closed(*copy);
            } else {
                self.record_end(now, *copy, Completion::MayHaveRun);
            }
        }
        missing.into_iter().map(|(copy, _)| copy).collect()
    }

    /// Handles the removal of a disconnected node from the node list. The removal proves nothing about the node's
    /// copies: they stay open until the node returns and reports, or until the retention expires. Returns these copies.
    pub fn on_node_removed(&mut self, now: Micros, node: NodeId) -> Vec<TaskCopy> {
        self.open.set_node_removed(now, node)
    }

    /// Handles the return of a removed node to the node list. Returns its open copies, which count again.
    pub fn on_node_listed(&mut self, node: NodeId) -> Vec<(TaskCopy, TaskSpec)> {
        self.open.set_node_listed(node)
    }

    // ---- Timers ----

    /// Returns the actions due at `now` for the given incarnation of the controller. Also expires old completions.
    pub fn take_due(&mut self, now: Micros, incarnation: u64) -> DueActions {
        self.completions.expire(now);
        if !self.open.is_due(now) {
            return DueActions::default();
        }
        for copy in self.open.expired(now) {
            self.record_end(now, copy, Completion::MayHaveRun);
        }
        self.open.take_due(now, incarnation)
    }

    /// The next time at which [`AttemptLog::take_due`] may have something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        [self.completions.next_expiry(), self.open.next_due()]
            .into_iter()
            .flatten()
            .min()
    }
}

/// Whether the report proves that a missing copy never ran. That requires that the node had reported nothing about the
/// copy, is still the process that the copy was sent to, and has lost no records.
fn proves_never_ran(report: &NodeReport<'_>, missing: &OpenCopy) -> bool {
    report.is_complete
        && missing.node_incarnation == report.node_incarnation
        && missing.state == CopyState::Sent
}
