//! Errors: decides whether the node or the task is the cause.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::request::TrackedRequest;
use crate::api::NodeId;
use std::collections::BTreeMap;

/// Number of errors on a node since its last placement, by scope.
#[derive(Default)]
pub(super) struct ErrorCounts {
    by_scope: BTreeMap<BackoffScope, u32>,
}

impl ErrorCounts {
    /// Resets the count of a scope after a task of it was placed.
    pub(super) fn clear(&mut self, scope: BackoffScope) {
        self.by_scope.remove(&scope);
    }

    fn add(&mut self, scope: BackoffScope) {
        *self.by_scope.entry(scope).or_insert(0) += 1;
    }

    fn count(&self, scope: BackoffScope) -> u32 {
        self.by_scope.get(&scope).copied().unwrap_or(0)
    }
}

impl Scheduler {
    /// Handles an error: the node backs off for tasks of the same class and tenant.
    ///
    /// A task that cannot run anywhere fails on each node to which it is sent, and a few such tasks
    /// would exclude a whole cluster for their class. An error of the same task on a second node
    /// therefore counts against the task: neither node backs off, unless the node has had another
    /// error in this scope since its last placement.
    pub(super) fn on_error(&mut self, node: NodeId, request: &TrackedRequest) {
        let scope = BackoffScope::of_tasks(&request.spec);
        if let Some(known) = self.nodes.get_mut(&node) {
            known.errors.add(scope);
        }
        let failed = request.attempts.iter().filter(|attempt| attempt.has_failed);
        let mut failed_elsewhere = failed
            .map(|attempt| attempt.node)
            .filter(|other| *other != node)
            .peekable();
        let is_first_node = failed_elsewhere.peek().is_none();
        for other in failed_elsewhere {
            if self.has_single_error(other, scope)
                && let Some(known) = self.nodes.get_mut(&other)
            {
                known.backoffs.remove(scope);
            }
        }
        if is_first_node || !self.has_single_error(node, scope) {
            self.back_off(node, scope);
        }
    }

    /// Whether the node has had at most one error in this scope since its last placement. False if
    /// the node is unknown.
    fn has_single_error(&self, node: NodeId, scope: BackoffScope) -> bool {
        let node = self.nodes.get(&node);
        node.is_some_and(|node| node.errors.count(scope) <= 1)
    }
}
