//! The node list: which nodes are known, and when the list is polled again.

use super::{Scheduler, load_estimate::MeanLoad, node::Node, slow_start};
use crate::api::{
    Action, ListUpdateKind, Micros, NodeEntry, NodeId, NodeStatus, Resources, Settings,
};
use std::collections::BTreeSet;

/// Maximum number of times that the delay between failed calls doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Divisor of the poll interval that gives the assumed age of a list on arrival. The actual age is
/// unknown.
const POLL_INTERVAL_PER_LIST_AGE: Micros = 4;

impl ListUpdateKind {
    /// Whether nodes missing from the update are gone.
    fn is_complete(self) -> bool {
        match self {
            ListUpdateKind::Full | ListUpdateKind::Cached => true,
            ListUpdateKind::Incremental | ListUpdateKind::SubsetChange | ListUpdateKind::Failed => {
                false
            }
        }
    }

    /// Whether the update shows that the list service is available.
    fn is_answer(self) -> bool {
        match self {
            ListUpdateKind::Full | ListUpdateKind::Incremental => true,
            ListUpdateKind::Cached | ListUpdateKind::SubsetChange | ListUpdateKind::Failed => false,
        }
    }
}

/// State of the node list as a whole.
#[derive(Default)]
pub(super) struct ListWatch {
    version: u64,
    /// Time of the next poll, if one is scheduled.
    poll_at: Option<Micros>,
    /// Number of failed calls since the last answer, up to [`MAX_BACKOFF_DOUBLINGS`].
    failures: u32,
}

impl ListWatch {
    pub(super) fn start(&mut self, settings: &Settings, now: Micros) {
        self.poll_at = settings.is_list_polled.then_some(now);
    }

    pub(super) fn poll_at(&self) -> Option<Micros> {
        self.poll_at
    }

    /// Schedules the next poll after a delay that grows with each failure.
    ///
    /// All schedulers lose the list at the same time. Half of the delay is random, so that they do
    /// not all call at the same moments.
    fn on_failure(&mut self, settings: &Settings, now: Micros, rng: &mut fastrand::Rng) {
        let [initial, max] = settings.poll_backoff;
        let delay = (initial << self.failures).min(max);
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        self.poll_at = Some(now + delay / 2 + rng.u64(0..=delay / 2));
    }

    fn on_answer(&mut self) {
        (self.failures, self.poll_at) = (0, None);
    }
}

impl Scheduler {
    pub(super) fn poll_node_list(&mut self) {
        if self.list_watch.poll_at.is_some_and(|at| at <= self.now) {
            self.list_watch.poll_at = None;
            self.actions.push(Action::WatchNodes);
        }
    }

    pub(super) fn on_node_list(
        &mut self,
        kind: ListUpdateKind,
        version: u64,
        entries: &[NodeEntry],
    ) {
        if kind == ListUpdateKind::Failed {
            self.list_watch
                .on_failure(&self.settings, self.now, &mut self.rng);
            return;
        }
        if kind.is_answer() {
            self.list_watch.on_answer();
        }
        // Invariant: a list never replaces a newer one, which would make drained nodes available
        // again.
        if version < self.list_watch.version && kind != ListUpdateKind::Cached {
            return;
        }
        self.list_watch.version = version;
        self.queue.note_capacity_change();
        if kind.is_complete() {
            self.mark_unlisted_gone(entries);
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.forget_gone_nodes();
        let known = self.nodes.values().filter_map(|node| node.load.foreign());
        self.mean_foreign_load = MeanLoad::of(known);
    }

    fn mark_unlisted_gone(&mut self, entries: &[NodeEntry]) {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        for node in self.nodes.values_mut() {
            if !listed.contains(&node.id()) {
                node.entry.state = NodeStatus::Gone;
            }
        }
    }

    fn apply_entry(&mut self, entry: &NodeEntry) {
        // Limits start times in the future, which would overflow when added to durations.
        let started_at = entry.started_at.min(self.now);
        let entry = NodeEntry {
            started_at,
            ..entry.clone()
        };
        let kind = self.settings.node_kinds.get(usize::from(entry.kind));
        let observed_at = self
            .now
            .saturating_sub(self.settings.poll_interval / POLL_INTERVAL_PER_LIST_AGE);
        let node = self
            .nodes
            .entry(entry.node)
            .or_insert_with(|| Node::new(entry.node));
        node.capacity = kind.map_or(Resources::ZERO, |kind| kind.capacity());
        node.is_listed = true;
        if entry.started_at != node.entry.started_at {
            node.reset_after_restart();
        }
        // Race: a list that lags behind must not overwrite what the node itself has reported since.
        let is_newer = observed_at >= node.load.observed_at();
        if let (Some(cores), Some(memory), true) = (entry.free_cores, entry.free_memory, is_newer) {
            let requested = node.capacity - Resources::new(cores, memory);
            node.load
                .learn_foreign(requested, observed_at, self.settings.schedulers);
            node.load.set_reported(requested);
        }
        node.entry = entry;
    }

    /// Removes nodes that are gone, once they have no running tasks.
    ///
    /// Race: a node that was gone for a moment is in slow start when it returns, and attempts sent
    /// within its budget window still count. The node is kept until they no longer do.
    fn forget_gone_nodes(&mut self) {
        let since = self
            .now
            .saturating_sub(slow_start::budget_window(&self.settings));
        self.nodes.retain(|_, node| {
            node.entry.state != NodeStatus::Gone
                || node.recent_attempts.any_after(since)
                || node.programs.has_running_tasks()
        });
    }
}
