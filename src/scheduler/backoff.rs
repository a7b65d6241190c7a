//! Backoff: temporarily excludes a node from all tasks, or from tasks of one class and tenant.
//!
//! A node may fail, reject or not answer some of its tasks and serve the rest, so a backoff covers
//! only the scope that failed. When it expires, the node is tried with one task at a time. Each
//! trial doubles the backoff; each success halves it.

use super::Scheduler;
use crate::api::{Micros, NodeId, PlacementRequest};
use std::collections::BTreeMap;

/// Duration of the first backoff, in multiples of the shortest latency objective.
const INITIAL_BACKOFF_OBJECTIVES: Micros = 2;
/// Divisor of the poll interval, for which a list counts as current, that gives the maximum
/// backoff.
const POLL_INTERVAL_PER_MAX_BACKOFF: Micros = 2;
/// Factor by which each trial extends a backoff.
const GROWTH_FACTOR: Micros = 2;
/// Divisor applied after a success: it undoes the growth by the successful trial and halves the
/// backoff that preceded it.
const SUCCESS_DIVISOR: Micros = 2 * GROWTH_FACTOR;

/// The tasks to which a backoff applies.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum BackoffScope {
    /// All tasks: the node does not respond.
    Unresponsive,
    /// All tasks: the queue of the node is full, or the node accepts no tasks.
    QueueFull,
    /// Tasks of one class and tenant.
    Tasks { class: u16, tenant: u32 },
}

impl BackoffScope {
    /// The scope of tasks with the same class and tenant.
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

/// Minimum and maximum duration of a backoff.
#[derive(Clone, Copy)]
struct BackoffLimits {
    initial: Micros,
    maximum: Micros,
}

/// The backoffs of one node, by scope.
#[derive(Default)]
pub(super) struct Backoffs {
    by_scope: BTreeMap<BackoffScope, Backoff>,
}

impl Backoffs {
    /// Whether an attempt may be made. Once a backoff has expired, an attempt is a trial and
    /// requires `allows_trial`.
    pub(super) fn allows(&self, scope: BackoffScope, allows_trial: bool, now: Micros) -> bool {
        self.by_scope
            .get(&scope)
            .is_none_or(|backoff| allows_trial && now >= backoff.until)
    }

    pub(super) fn contains(&self, scope: BackoffScope) -> bool {
        self.by_scope.contains_key(&scope)
    }

    /// Whether there is an expired backoff, so that a trial is due.
    pub(super) fn is_due_for_trial(&self, scope: BackoffScope, now: Micros) -> bool {
        self.by_scope
            .get(&scope)
            .is_some_and(|backoff| backoff.until <= now)
    }

    /// Ends a backoff. Returns false if there was none.
    pub(super) fn remove(&mut self, scope: BackoffScope) -> bool {
        self.by_scope.remove(&scope).is_some()
    }

    /// Shortens the given backoffs after a task was placed, and allows the next trial at once. A
    /// backoff that becomes shorter than `initial` ends.
    pub(super) fn shorten(&mut self, scopes: [BackoffScope; 2], initial: Micros, now: Micros) {
        for scope in &scopes {
            if let Some(backoff) = self.by_scope.get_mut(scope) {
                backoff.until = now;
                backoff.duration /= SUCCESS_DIVISOR;
            }
        }
        self.by_scope
            .retain(|scope, backoff| !scopes.contains(scope) || backoff.duration >= initial);
    }

    /// Begins a backoff, or begins a longer one if the previous one has expired.
    ///
    /// Bounded state: backoffs of other scopes are dropped once they have been expired for longer
    /// than the maximum backoff, except for [`BackoffScope::Unresponsive`].
    fn extend(&mut self, scope: BackoffScope, limits: BackoffLimits, now: Micros) {
        let BackoffLimits { initial, maximum } = limits;
        self.by_scope.retain(|other, backoff| {
            *other == BackoffScope::Unresponsive
                || *other == scope
                || backoff.until.saturating_add(maximum) > now
        });
        let backoff = self.by_scope.entry(scope).or_default();
        if backoff.until <= now {
            let grown = backoff.duration.saturating_mul(GROWTH_FACTOR);
            backoff.duration = grown.clamp(initial, maximum.max(initial));
            backoff.until = now + backoff.duration;
        }
    }
}

impl Scheduler {
    pub(super) fn initial_backoff(&self) -> Micros {
        self.shortest_objective() * INITIAL_BACKOFF_OBJECTIVES
    }

    /// Begins or extends the backoff of a node for the given scope.
    pub(super) fn back_off(&mut self, node: NodeId, scope: BackoffScope) {
        let maximum = self.settings.poll_interval / POLL_INTERVAL_PER_MAX_BACKOFF;
        let limits = BackoffLimits {
            initial: self.initial_backoff(),
            maximum,
        };
        if let Some(node) = self.nodes.get_mut(&node) {
            node.backoffs.extend(scope, limits, self.now);
        }
    }
}
