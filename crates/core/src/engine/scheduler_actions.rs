//! Execution of the scheduler's actions.

use super::{Control, Core, Output, Timer};
use crate::Decide;
use crate::jobs::Answer;
use peppercove::{Action, NodeId, RequestId};

impl<D: Decide> Core<D> {
    /// Executes one action of the scheduler.
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::WatchNodes => self.outputs.push(Output::WatchNodes),
            Action::Dispatch {
                request,
                node,
                timeout,
                // Attempts are sent over established connections only.
                send_by: _,
            } => self.dispatch(request, node, timeout),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.on_scheduler_answer(request, Answer::Rejected(retry_after));
            }
            Action::Fail(request) => self.on_scheduler_answer(request, Answer::Failed),
            Action::Migrate(request) => self.migrate(request),
            Action::SetTimer { label, at } => {
                self.timers
                    .schedule(at.max(self.now + 1), Timer::Scheduler(label));
            }
            Action::Probe(node) => self.probe(node),
            Action::Broadcast(message) => self.outputs.push(Output::Broadcast(message)),
            Action::Log(line) => self.outputs.push(Output::Log(line)),
        }
    }

    /// Stops a placed task; it is placed again once it is known to have stopped.
    fn migrate(&mut self, request: RequestId) {
        let placed = self.requests.placed_attempt(request);
        match placed.filter(|attempt| self.nodes.is_connected(attempt.node)) {
            Some(attempt) => {
                self.migrating.insert(request);
                self.outputs
                    .push(Output::control_task(attempt, Control::Terminate));
            }
            None => self.counters.ignored_actions += 1,
        }
    }

    fn probe(&mut self, node: NodeId) {
        if self.nodes.is_connected(node) {
            self.outputs.push(Output::Probe(node));
        } else {
            self.report_probe(node, false, None);
        }
    }
}
