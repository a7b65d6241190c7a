//! Errors: whether the node or the task is at fault.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::request::TrackedRequest;
use crate::api::NodeId;
use std::collections::BTreeMap;

/// Errors of a node since its last placement, by the work that they came to.
#[derive(Default)]
pub(super) struct ErrorCounts {
    by_scope: BTreeMap<BackoffScope, u32>,
}

impl ErrorCounts {
    /// A task of this work was placed.
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
    /// An error keeps the like of the task away from the node.
    ///
    /// A task that no node can run fails wherever it is sent, and a few of them would close a whole
    /// cluster to their class. What fails on a second node speaks against the task: neither node
    /// backs off, unless another error came there since its last placement.
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

    /// At most one error came to this work on the node since its last placement; false if the node
    /// is not known.
    fn has_single_error(&self, node: NodeId, scope: BackoffScope) -> bool {
        let node = self.nodes.get(&node);
        node.is_some_and(|node| node.errors.count(scope) <= 1)
    }
}
