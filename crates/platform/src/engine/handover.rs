//! Handover of running tasks by clients, for example after a restart of the controller.

use super::request::{Attempt, AttemptId, Request};
use super::{ClientId, PlatformEngine};
use crate::wire::cause;
use peppercove::{AttemptOutcome, Event, NodeId, PlacementRequest, RequestId, TaskReporter};
use peppercove_core::Decide;
use peppercove_core::request_state::RequestState;

/// Worst-case memory use of the state of an unlisted node, relative to that of a running task.
const UNLISTED_NODE_COST: usize = 3;

impl<D: Decide> PlatformEngine<D> {
    /// Handles the handover of a task that runs on a node.
    pub(super) fn on_handover(
        &mut self,
        client: ClientId,
        wire_id: u64,
        request: PlacementRequest,
        node_name: &str,
    ) {
        let node = self.nodes.find_by_name(node_name);
        if self.requests.find(wire_id).is_some() {
            // A task that is known under this id is handed over again, for example over a new connection.
            return;
        }
        let tracked = node.and_then(|node| self.nodes.find_running_task(node, request.task));
        if let Some(tracked) = tracked {
            self.change_task_id(tracked, client, wire_id);
            return;
        }
        let node_id = self.nodes.id_for_name(node_name);
        if self.notify_ended_handover(client, wire_id, node_id, request.task) {
            return;
        }
        if self.make_room_for_handover(client, node.is_some()) {
            // Invariant: a node that is not listed is stored only together with a task on it.
            let node = self.nodes.find_or_create(node_name);
            self.adopt_task(client, wire_id, request, node);
            self.on_id_used(client, wire_id);
        } else {
            self.counters.handovers_dropped += 1;
        }
    }

    /// Whether a further handed-over task can be tracked.
    ///
    /// At the limit, unconfirmed handovers of other client connections are dropped: those of connections without any
    /// confirmed task first, and among them those of the connection with the most handovers. Clients that hand over
    /// tasks which no node runs therefore cannot keep the controller from tracking the tasks of other clients.
    fn make_room_for_handover(&mut self, client: ClientId, is_node_known: bool) -> bool {
        let cost = 1 + if is_node_known { 0 } else { UNLISTED_NODE_COST };
        let has_confirmed_tasks = self.has_confirmed_tasks(client);
        while self.handover_cost() + cost > self.bounds.running_tasks {
            let limit = self.bounds.completions_per_batch;
            if self.completion_backlog.is_full_for(client, limit) {
                return false;
            }
            let yielding = self
                .unconfirmed_handovers
                .first_to_yield(client, has_confirmed_tasks);
            let Some(dropped) = yielding else {
                return false;
            };
            self.completion_backlog.add(client);
            self.drop_handover(dropped);
        }
        true
    }

    fn has_confirmed_tasks(&self, client: ClientId) -> bool {
        let client = self.clients.get(&client);
        client.is_some_and(|client| client.has_confirmed_tasks)
    }

    /// The memory used for running tasks and for the unlisted nodes on which they run, in tasks.
    fn handover_cost(&self) -> usize {
        self.nodes.running_tasks() + self.nodes.unlisted_nodes() * UNLISTED_NODE_COST
    }

    /// Stops tracking a task that no node has confirmed.
    fn drop_handover(&mut self, id: RequestId) {
        let attempt = AttemptId {
            request: id,
            number: 0,
        };
        self.untrack_task(attempt, AttemptOutcome::Cancelled.into());
        self.counters.handovers_dropped += 1;
    }

    /// Records that a node has sent a message about a task, which shows that the task exists.
    pub(super) fn confirm_handover(&mut self, id: RequestId) {
        let request = self.requests.get_mut(id);
        if let Some(client) = request.and_then(|request| request.unconfirmed_from.take()) {
            self.unconfirmed_handovers.remove(client, id);
            self.on_task_confirmed(client);
        }
    }

    /// Records that a node has sent a message about a task of this client connection.
    pub(super) fn on_task_confirmed(&mut self, client: ClientId) {
        if let Some(state) = self.clients.get_mut(&client)
            && !std::mem::replace(&mut state.has_confirmed_tasks, true)
        {
            self.unconfirmed_handovers.set_has_confirmed_tasks(client);
        }
    }

    /// Adopts a running task that this controller does not track yet.
    fn adopt_task(
        &mut self,
        client: ClientId,
        wire_id: u64,
        request: PlacementRequest,
        node: NodeId,
    ) {
        let (id, task) = (request.id, request.task);
        self.clients.entry(client).or_default().has_sent_request = true;
        let attempt = Attempt::new(node, self.now, self.now);
        self.requests.insert(Request {
            wire_id,
            previous_wire_id: None,
            task,
            client,
            received_at: self.now,
            deadline: self.now,
            deadline_timer: None,
            state: RequestState::Placed(0),
            placed_at: self.now,
            unconfirmed_from: Some(client),
            payload: None,
            attempts: vec![attempt],
            ambiguous_end: None,
            pending_cancel: None,
        });
        let has_confirmed_tasks = self.has_confirmed_tasks(client);
        self.unconfirmed_handovers
            .insert(client, id, has_confirmed_tasks);
        self.events.push(Event::RunningTask {
            request,
            node,
            reported_by: TaskReporter::Client,
        });
        self.track_running_task(node, id, task);
    }

    /// Changes the id of a tracked task that is handed over under another id. This happens if its client did not learn
    /// where the task runs, or was notified that it ended, and then found it on its node.
    ///
    /// Invariant: the node uses the new id from now on, so the engine must know it to notify the client of the end.
    /// Messages that the node sent before the handover still carry the previous id.
    fn change_task_id(&mut self, id: RequestId, client: ClientId, wire_id: u64) {
        self.clients.entry(client).or_default().has_sent_request = true;
        self.requests.change_wire_id(id, wire_id);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.client = client;
        if request.pending_cancel.is_some() {
            // The cancellation continues, and the client must be notified of it under the new id as well.
            self.notify_end(id, cause::CUT);
            self.deliver_cancel(id);
        }
    }
}
