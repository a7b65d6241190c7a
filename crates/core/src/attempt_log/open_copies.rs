//! The open copies of tasks: those that run, or may still start to run.

use super::types::{ClientInterest, DueActions, TaskCopy, TaskSpec};
use peppercove::{Micros, NodeId, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// How much longer than the clients' retry delay an orphan is kept, in microseconds, so that a client that retries on
/// time still finds it.
const ORPHAN_GRACE: Micros = 1_000_000;

/// Special value of [`OpenCopy::orphaned_until`]: the orphan is kept until its node has reported.
pub(super) const UNTIL_NODE_REPORTS: Micros = Micros::MAX;

/// A node is first queried about an orphan after the retry delay divided by this.
const FIRST_QUERY_DIVISOR: Micros = 8;

/// Maximum number of times that the interval between queries doubles.
const MAX_QUERY_DOUBLINGS: u32 = 4;

/// The last known state of an open copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyState {
    /// It was sent; its node has not reported on it.
    Sent,
    /// Its node last reported it as running.
    Running,
}

/// When and how often the node of a copy was queried about it.
#[derive(Clone, Copy, Debug, Default)]
struct Queries {
    last_at: Micros,
    count: u32,
}

/// An open copy.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenCopy {
    pub(super) spec: TaskSpec,
    /// Incarnation of its node when it was sent.
    pub(super) node_incarnation: u64,
    pub(super) state: CopyState,
    /// Until when an orphan is kept for its client to submit the task again; `None` if a request waits for the copy.
    orphaned_until: Option<Micros>,
    /// Whether it is to be stopped, because its client ended the job or did not submit the task again in time.
    pub(super) should_stop: bool,
    queries: Queries,
    /// When its node was found to be missing from the node list and disconnected.
    pub(super) node_removed_at: Option<Micros>,
}

impl OpenCopy {
    fn new(spec: TaskSpec, node_incarnation: u64) -> OpenCopy {
        OpenCopy {
            spec,
            node_incarnation,
            state: CopyState::Sent,
            orphaned_until: None,
            should_stop: false,
            queries: Queries::default(),
            node_removed_at: None,
        }
    }

    /// Whether no request waits for it.
    pub(super) fn is_orphan(&self) -> bool {
        self.orphaned_until.is_some()
    }

    /// Whether it was recovered from the journal and its node has not reported since.
    pub(super) fn awaits_node_report(&self) -> bool {
        self.orphaned_until == Some(UNTIL_NODE_REPORTS)
    }

    /// Whether its node reported it as running.
    pub(super) fn is_running(&self) -> bool {
        self.state == CopyState::Running
    }

    /// When the orphan is to be stopped, unless its client submits the task again.
    fn stop_at(&self) -> Option<Micros> {
        let is_kept = self.is_running() && !self.should_stop;
        self.orphaned_until
            .filter(|until| is_kept && *until != UNTIL_NODE_REPORTS)
    }

    /// When its node is to be queried about it: first an eighth of the retry delay after its job is over, then at
    /// intervals that double. `None` while a request waits for the copy.
    fn query_at(&self, retry_delay: Micros) -> Option<Micros> {
        let until = self.orphaned_until?;
        let first_wait = (retry_delay / FIRST_QUERY_DIVISOR).max(1);
        let wait = first_wait << self.queries.count.min(MAX_QUERY_DOUBLINGS);
        let orphaned_at = until.saturating_sub(orphan_retention(retry_delay));
        let since = if self.queries.count == 0 {
            orphaned_at
        } else {
            self.queries.last_at
        };
        Some(since.saturating_add(wait))
    }
}

/// How long an orphan is kept for its client, in microseconds.
fn orphan_retention(retry_delay: Micros) -> Micros {
    retry_delay.saturating_add(ORPHAN_GRACE)
}

/// The open copies, by id and by task.
#[derive(Debug, Default)]
pub(super) struct OpenCopies {
    /// The retry delay given to clients whose task has an ambiguous outcome, in microseconds.
    retry_delay: Micros,
    /// How long copies at a removed node stay open, in microseconds.
    node_retention: Micros,
    copies: BTreeMap<TaskCopy, OpenCopy>,
    by_task: BTreeMap<TaskKey, BTreeSet<TaskCopy>>,
    orphan_count: usize,
    /// The earliest time at which an action may be due.
    due_at: Micros,
}

impl OpenCopies {
    /// Creates an empty table. Clients retry after `retry_delay`, and copies at a removed node stay open for
    /// `node_retention` (both in microseconds).
    pub(super) fn new(retry_delay: Micros, node_retention: Micros) -> OpenCopies {
        OpenCopies {
            retry_delay,
            node_retention,
            due_at: Micros::MAX,
            ..OpenCopies::default()
        }
    }

    /// The retry delay given to clients, in microseconds.
    pub(super) fn retry_delay(&self) -> Micros {
        self.retry_delay
    }

    /// Number of copies that no request waits for.
    pub(super) fn orphan_count(&self) -> usize {
        self.orphan_count
    }

    /// Whether the copy is open.
    pub(super) fn contains(&self, copy: TaskCopy) -> bool {
        self.copies.contains_key(&copy)
    }

    /// All open copies, ordered by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&TaskCopy, &OpenCopy)> {
        self.copies.iter()
    }

    /// The open copies of a task.
    pub(super) fn of_task(&self, task: TaskKey) -> impl Iterator<Item = (TaskCopy, &OpenCopy)> {
        let copies = self.by_task.get(&task).into_iter().flatten();
        copies.filter_map(|copy| Some((*copy, self.copies.get(copy)?)))
    }

    /// The open copies at a node.
    pub(super) fn at_node(&self, node: NodeId) -> impl Iterator<Item = (&TaskCopy, &OpenCopy)> {
        self.copies
            .iter()
            .filter(move |(copy, _)| copy.attempt.node == node)
    }

    /// Opens a copy that is about to be sent to the given incarnation of its node.
    pub(super) fn insert(&mut self, copy: TaskCopy, node_incarnation: u64, spec: TaskSpec) {
        let replaced = self
            .copies
            .insert(copy, OpenCopy::new(spec, node_incarnation));
        if replaced.is_some_and(|old| old.is_orphan()) {
            self.orphan_count -= 1;
        }
        self.by_task.entry(spec.task).or_default().insert(copy);
    }

    /// Closes a copy and returns what was known about it.
    pub(super) fn remove(&mut self, copy: TaskCopy) -> Option<OpenCopy> {
        let open = self.copies.remove(&copy)?;
        self.orphan_count -= usize::from(open.is_orphan());
        let task = open.spec.task;
        if let Some(copies) = self.by_task.get_mut(&task) {
            copies.remove(&copy);
            if copies.is_empty() {
                self.by_task.remove(&task);
            }
        }
        Some(open)
    }

    /// Gives a running copy another id.
    pub(super) fn rename(&mut self, from: TaskCopy, to: TaskCopy) {
        let Some(open) = self.remove(from) else {
            return;
        };
        self.insert(to, open.node_incarnation, open.spec);
        self.set_running(to);
    }

    /// Marks the copy as running. Returns false if it was already running or is not open.
    pub(super) fn set_running(&mut self, copy: TaskCopy) -> bool {
        let Some(open) = self.copies.get_mut(&copy).filter(|open| !open.is_running()) else {
            return false;
        };
        open.state = CopyState::Running;
        true
    }

    /// Marks the copy as no orphan, because a request waits for it.
    pub(super) fn claim(&mut self, copy: TaskCopy) {
        if let Some(open) = self.copies.get_mut(&copy)
            && open.orphaned_until.take().is_some()
        {
            open.should_stop = false;
            self.orphan_count -= 1;
        }
    }

    /// Marks the copy as an orphan, because no request waits for it any more.
    pub(super) fn abandon(&mut self, now: Micros, copy: TaskCopy, interest: ClientInterest) {
        let Some(open) = self.copies.get_mut(&copy) else {
            return;
        };
        self.orphan_count += usize::from(!open.is_orphan());
        open.orphaned_until = Some(now.saturating_add(orphan_retention(self.retry_delay)));
        open.should_stop |= interest == ClientInterest::Ended;
        let first_query = now.saturating_add(self.retry_delay / FIRST_QUERY_DIVISOR);
        self.due_at = self.due_at.min(first_query);
    }

    /// Marks all copies as orphans after a recovery from the journal. Their nodes report them on connecting; until then
    /// their clients cannot claim them.
    pub(super) fn abandon_all_until_reported(&mut self) {
        for open in self.copies.values_mut() {
            open.orphaned_until = Some(UNTIL_NODE_REPORTS);
        }
        self.orphan_count = self.copies.len();
    }

    /// Handles a report that a copy without a waiting request is running; `is_new` if that was not known before.
    /// Returns false if the copy is to be stopped.
    pub(super) fn keep_orphan(&mut self, now: Micros, copy: TaskCopy, is_new: bool) -> bool {
        let Some(open) = self.copies.get_mut(&copy).filter(|open| !open.should_stop) else {
            return false;
        };
        self.orphan_count += usize::from(!open.is_orphan());
        if is_new || !open.is_orphan() || open.awaits_node_report() {
            open.orphaned_until = Some(now.saturating_add(orphan_retention(self.retry_delay)));
        }
        self.due_at = now;
        true
    }

    /// Marks the copies at a node that was removed from the node list, and returns them.
    pub(super) fn set_node_removed(&mut self, now: Micros, node: NodeId) -> Vec<TaskCopy> {
        let mut copies = Vec::new();
        for (copy, open) in self
            .copies
            .iter_mut()
            .filter(|(copy, _)| copy.attempt.node == node)
        {
            open.node_removed_at.get_or_insert(now);
            self.due_at = self.due_at.min(now.saturating_add(self.node_retention));
            copies.push(*copy);
        }
        copies
    }

    /// Marks the copies on a node that is listed again, and returns them.
    pub(super) fn set_node_listed(&mut self, node: NodeId) -> Vec<(TaskCopy, TaskSpec)> {
        let mut copies = Vec::new();
        for (copy, open) in self
            .copies
            .iter_mut()
            .filter(|(copy, _)| copy.attempt.node == node)
        {
            open.node_removed_at = None;
            copies.push((*copy, open.spec));
        }
        copies
    }

    /// Whether an action may be due at `now`.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        self.orphan_count > 0 && now >= self.due_at
    }

    /// When the next action may be due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        (self.orphan_count > 0 && self.due_at < Micros::MAX).then_some(self.due_at)
    }

    /// Copies whose node was removed from the node list longer ago than the node retention.
    pub(super) fn expired(&self, now: Micros) -> Vec<TaskCopy> {
        let retention = self.node_retention;
        let is_expired = |open: &OpenCopy| {
            open.node_removed_at
                .is_some_and(|at| at.saturating_add(retention) <= now)
        };
        self.copies
            .iter()
            .filter(|(_, open)| is_expired(open))
            .map(|(copy, _)| *copy)
            .collect()
    }

    /// Returns the orphans to stop and those to query nodes about at `now`, ordered by id. Nodes are queried only about
    /// copies of `incarnation`, since they report all others on connecting.
    pub(super) fn take_due(&mut self, now: Micros, incarnation: u64) -> DueActions {
        let mut due = DueActions::default();
        let retry_delay = self.retry_delay;
        for (copy, open) in self
            .copies
            .iter_mut()
            .filter(|(_, open)| open.node_removed_at.is_none())
        {
            if open.stop_at().is_some_and(|at| at <= now) {
                open.should_stop = true;
                due.stop.push(*copy);
            } else if copy.incarnation == incarnation
                && open.query_at(retry_delay).is_some_and(|at| at <= now)
            {
                // The answer may be lost or late, so the node is queried again at increasing intervals.
                open.queries = Queries {
                    last_at: now,
                    count: open.queries.count.saturating_add(1),
                };
                let list = if open.should_stop && open.is_running() {
                    &mut due.stop
                } else {
                    &mut due.query
                };
                list.push(*copy);
            }
        }
        self.schedule(now, incarnation);
        due
    }

    fn schedule(&mut self, now: Micros, incarnation: u64) {
        let next = self
            .copies
            .iter()
            .filter_map(|(copy, open)| self.next_due_of(copy, open, incarnation))
            .min();
        self.due_at = next.unwrap_or(Micros::MAX).max(now + 1);
    }

    fn next_due_of(&self, copy: &TaskCopy, open: &OpenCopy, incarnation: u64) -> Option<Micros> {
        if let Some(at) = open.node_removed_at {
            return Some(at.saturating_add(self.node_retention));
        }
        let query = open
            .query_at(self.retry_delay)
            .filter(|_| copy.incarnation == incarnation);
        [open.stop_at(), query].into_iter().flatten().min()
    }
}
