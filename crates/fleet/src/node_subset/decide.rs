//! The events that the subset adds to those of the inner module.

use super::NodeSubset;
use super::node_list::NodeListUpdate;
use peppercove::{Action, AttemptOutcome, Event, Micros};
use peppercove_core::Decide;

/// Latest time that is taken as it is: times near the end of their type would overflow in sums.
const MAX_TIME: Micros = Micros::MAX / 4;

impl<D: Decide> Decide for NodeSubset<D> {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now.min(MAX_TIME));
        if self.passes_on_unchanged(events) {
            return self.decide_inner(now, events);
        }
        let mut passed_on = Vec::with_capacity(events.len() + 2);
        self.resume_slow_start_budgets(&mut passed_on);
        if self.is_bounded {
            let entries = self.hide_expired_racks();
            self.push_subset_change(entries, &mut passed_on);
        }
        for event in events {
            self.on_event(event, &mut passed_on);
        }
        self.report_hidden_domains(&mut passed_on);
        if self.is_bounded {
            let entries = self.update_expansion();
            self.push_subset_change(entries, &mut passed_on);
        }
        let actions = self.inner.decide(now, &passed_on);
        self.pending.update(events, &actions, &self.fleet);
        actions
    }
}

impl<D: Decide> NodeSubset<D> {
    fn decide_inner(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        let actions = self.inner.decide(now, events);
        self.pending.update(events, &actions, &self.fleet);
        actions
    }

    /// Whether the inner module gets these events as they are: the subset is not bounded and none of them concerns it.
    fn passes_on_unchanged(&self, events: &[Event]) -> bool {
        let concerns_subset = |event: &Event| match event {
            Event::NodeList { .. } | Event::RunningTask { .. } | Event::AttemptEnded { .. } => true,
            Event::Place(_)
            | Event::Placed { .. }
            | Event::TaskUpdated { .. }
            | Event::RequestCancelled(_)
            | Event::Timer(_)
            | Event::Probed { .. }
            | Event::Peer { .. } => false,
        };
        !self.is_bounded && self.bound_unsettled_until == 0 && !events.iter().any(concerns_subset)
    }

    /// Passes an event on, after the changes of the subset that it calls for.
    fn on_event(&mut self, event: &Event, passed_on: &mut Vec<Event>) {
        // Handed over tasks come together. Their domains are known before anything is placed beside them.
        if !matches!(event, Event::RunningTask { .. }) {
            self.report_hidden_domains(passed_on);
        }
        match event {
            Event::NodeList {
                kind,
                version,
                entries,
            } => {
                let update = NodeListUpdate {
                    kind: *kind,
                    version: *version,
                    entries,
                };
                self.on_node_list(update, passed_on);
                return;
            }
            Event::Place(request) => {
                if self.is_bounded {
                    let entries = self.show_preferred_nodes(request);
                    self.push_subset_change(entries, passed_on);
                }
            }
            Event::RunningTask { request, node } => self.on_running_task(request, *node),
            Event::AttemptEnded {
                request,
                node,
                outcome,
                is_final,
                ..
            } => {
                if self.is_bounded && !is_final && may_have_run(*outcome) {
                    let entries = self.show_retry_rack(*request);
                    self.push_subset_change(entries, passed_on);
                }
                self.handed_over.on_attempt_ended(*request, *node);
            }
            Event::Placed { .. }
            | Event::TaskUpdated { .. }
            | Event::RequestCancelled(_)
            | Event::Timer(_)
            | Event::Probed { .. }
            | Event::Peer { .. } => {}
        }
        passed_on.push(event.clone());
    }
}

/// Whether the task of an attempt that ended so may have run.
fn may_have_run(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent => false,
        AttemptOutcome::Completed
        | AttemptOutcome::Error
        | AttemptOutcome::TimedOut
        | AttemptOutcome::Lost
        | AttemptOutcome::Cancelled => true,
    }
}
