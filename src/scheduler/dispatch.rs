//! Dispatch: state changes made when an attempt is sent, before the node has answered.

use super::Scheduler;
use super::backoff::BackoffScope;
use super::load_estimate::HistoryLimits;
use super::node::Node;
use super::request::{Attempt, AttemptStart};
use super::start_estimate::PendingStart;
use crate::api::{Action, NodeId, PlacementRequest, RequestId};

impl Scheduler {
    /// Dispatches a request to a node that is feasible for it.
    pub(super) fn dispatch(&mut self, id: RequestId, node_id: NodeId) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let node = &self.nodes[&node_id];
        let estimate = self.start_estimate(node, &request.spec);
        let has_program = node.programs.contains(request.spec.service);
        let timeout = self.attempt_timeout(&request, estimate);
        let send_by = self.dedup_window_end(&request);
        let tasks = BackoffScope::of_tasks(&request.spec);
        let start = AttemptStart::Dispatched {
            estimate,
            has_program,
        };
        let attempt = self.open_attempt(&request.spec, node_id, start);
        request.dispatch(attempt);
        self.requests.insert(id, request);
        self.begin_trial(node_id, tasks);
        self.actions.push(Action::Dispatch {
            request: id,
            node: node_id,
            timeout,
            send_by,
        });
        self.probe_sampled_node();
    }

    /// Records the attempt for slow start, and extends the backoffs of the node that apply to it,
    /// since the attempt is their trial.
    fn begin_trial(&mut self, node_id: NodeId, tasks: BackoffScope) {
        let Some(node) = self.nodes.get_mut(&node_id) else {
            return;
        };
        node.recent_attempts.record(&self.settings, self.now);
        let scopes = [BackoffScope::Unresponsive, BackoffScope::QueueFull, tasks];
        let on_trial = scopes.map(|scope| node.backoffs.contains(scope));
        for (scope, is_on_trial) in scopes.into_iter().zip(on_trial) {
            if is_on_trial {
                self.back_off(node_id, scope);
            }
        }
    }

    /// Adds the task to the load of its node without waiting for an answer.
    ///
    /// A task that already runs may be on a node that is in no list. The node is then added to the
    /// table so that its load is counted, but it receives no tasks.
    pub(super) fn open_attempt(
        &mut self,
        spec: &PlacementRequest,
        node_id: NodeId,
        start: AttemptStart,
    ) -> Attempt {
        let now = self.now;
        let limits = self.own_load_history_limits();
        let node = self
            .nodes
            .entry(node_id)
            .or_insert_with(|| Node::new(node_id));
        node.load.add_own(spec.resources(), now, limits);
        node.programs.add_task(spec.service, now);
        if let AttemptStart::Dispatched { estimate, .. } = start {
            let sent_at = now;
            node.pending_starts
                .insert(spec.id, PendingStart { sent_at, estimate });
            node.unanswered.insert(spec.id, sent_at);
            self.awaited_nodes.insert(node_id);
        }
        self.services.add(spec.service, node_id);
        Attempt::new(&node.entry, now, start)
    }

    fn own_load_history_limits(&self) -> HistoryLimits {
        HistoryLimits::new(self.settings.poll_interval, self.nodes.len())
    }

    /// Reverts the changes of [`Scheduler::open_attempt`] after the attempt has ended. The program
    /// stays in the cache of the node for some time.
    pub(super) fn release_attempt(&mut self, spec: &PlacementRequest, node_id: NodeId) {
        self.queue.note_capacity_change();
        self.services.remove(spec.service, node_id);
        let (now, limits) = (self.now, self.own_load_history_limits());
        let Some(node) = self.nodes.get_mut(&node_id) else {
            return;
        };
        node.load.remove_own(spec.resources(), now, limits);
        node.rejected_size.clear();
        node.pending_starts.remove(&spec.id);
        node.unanswered.remove(&spec.id);
        node.programs.remove_task(spec.service, now);
        if !node.programs.has_running_tasks() {
            node.load.clear_own();
            if !node.is_listed {
                // No list ever removes it.
                self.nodes.remove(&node_id);
            }
        }
    }
}
