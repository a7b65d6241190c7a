//! Backoff: how long a part of the work is kept away from a node.
//!
//! What failed is kept away, and only that: a node may fail, leave unanswered or reject a part of
//! what it is sent and serve the rest. After the backoff one trial at a time shows whether the
//! fault is over. Each trial doubles the backoff, each success halves it.

use super::Scheduler;
use crate::api::{Micros, NodeId, PlacementRequest};
use std::collections::BTreeMap;

/// The first backoff, in shortest latency objectives.
const FIRST_BACKOFF_OBJECTIVES: Micros = 2;
/// The longest backoff is this part of the poll interval, for which a list counts as known.
const POLL_INTERVAL_PER_LONGEST_BACKOFF: Micros = 2;
/// A backoff grows by this factor with each trial.
const GROWTH: Micros = 2;
/// A success takes back the growth by its own trial, and halves what was before.
const SHRINKAGE_AFTER_SUCCESS: Micros = 2 * GROWTH;

/// A part of what a node is sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum BackoffScope {
    /// All of it: the node answers nothing.
    Unresponsive,
    /// All of it: too many attempts wait there, or it takes none.
    QueueFull,
    /// The tasks of one class and tenant.
    Tasks { class: u16, tenant: u32 },
}

impl BackoffScope {
    /// The tasks that are like this one.
    pub(super) fn of_tasks(spec: &PlacementRequest) -> BackoffScope {
        BackoffScope::Tasks {
            class: spec.class,
            tenant: spec.tenant,
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Backoff {
    until: Micros,
    duration: Micros,
}

/// The shortest and longest durations of a backoff.
#[derive(Clone, Copy)]
struct BackoffLimits {
    first: Micros,
    longest: Micros,
}

/// The backoffs of one node.
#[derive(Default)]
pub(super) struct Backoffs {
    by_scope: BTreeMap<BackoffScope, Backoff>,
}

impl Backoffs {
    /// Whether an attempt may be made. After the backoff only a trial may, if `may_try`.
    pub(super) fn allows(&self, scope: BackoffScope, may_try: bool, now: Micros) -> bool {
        self.by_scope
            .get(&scope)
            .is_none_or(|backoff| may_try && now >= backoff.until)
    }

    pub(super) fn contains(&self, scope: BackoffScope) -> bool {
        self.by_scope.contains_key(&scope)
    }

    /// Whether there is a backoff whose time is over.
    pub(super) fn is_due_for_trial(&self, scope: BackoffScope, now: Micros) -> bool {
        self.by_scope
            .get(&scope)
            .is_some_and(|backoff| backoff.until <= now)
    }

    /// Ends a backoff; false if there was none.
    pub(super) fn remove(&mut self, scope: BackoffScope) -> bool {
        self.by_scope.remove(&scope).is_some()
    }

    /// A task was placed: shortens these backoffs, and lets the next trial follow at once.
    pub(super) fn shorten(&mut self, scopes: [BackoffScope; 2], first: Micros, now: Micros) {
        for scope in &scopes {
            if let Some(backoff) = self.by_scope.get_mut(scope) {
                backoff.until = now;
                backoff.duration /= SHRINKAGE_AFTER_SUCCESS;
            }
        }
        self.by_scope
            .retain(|scope, backoff| !scopes.contains(scope) || backoff.duration >= first);
    }

    /// Begins a backoff, or a longer one where one was over.
    ///
    /// Bounded state: what was not tried for long is forgotten.
    fn extend(&mut self, scope: BackoffScope, limits: BackoffLimits, now: Micros) {
        let BackoffLimits { first, longest } = limits;
        self.by_scope.retain(|other, backoff| {
            *other == BackoffScope::Unresponsive
                || *other == scope
                || backoff.until.saturating_add(longest) > now
        });
        let backoff = self.by_scope.entry(scope).or_default();
        if backoff.until <= now {
            let grown = backoff.duration.saturating_mul(GROWTH);
            backoff.duration = grown.clamp(first, longest.max(first));
            backoff.until = now + backoff.duration;
        }
    }
}

impl Scheduler {
    pub(super) fn first_backoff(&self) -> Micros {
        self.shortest_objective() * FIRST_BACKOFF_OBJECTIVES
    }

    /// Keeps a part of the work away from a node, for longer than the last time.
    pub(super) fn back_off(&mut self, node: NodeId, scope: BackoffScope) {
        let longest = self.settings.poll_interval / POLL_INTERVAL_PER_LONGEST_BACKOFF;
        let limits = BackoffLimits {
            first: self.first_backoff(),
            longest,
        };
        if let Some(node) = self.nodes.get_mut(&node) {
            node.backoffs.extend(scope, limits, self.now);
        }
    }
}
