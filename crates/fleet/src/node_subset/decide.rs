//! Processes events and forwards them to the inner scheduler, together with the changes of the subset.

use super::NodeSubset;
use super::node_list::NodeListUpdate;
use peppercove::{Action, AttemptOutcome, Event, Micros};
use peppercove_core::Decide;

/// Later times are clamped to this one, because sums with times near the end of the type would overflow.
const MAX_TIME: Micros = Micros::MAX / 4;

impl<D: Decide> Decide for NodeSubset<D> {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now.min(MAX_TIME));
        if self.forwards_unchanged(events) {
            return self.decide_inner(now, events);
        }
        let mut forwarded = Vec::with_capacity(events.len() + 2);
        self.resume_slow_start_budgets(&mut forwarded);
        if self.is_bounded {
            let entries = self.hide_expired_racks();
            self.push_subset_change(entries, &mut forwarded);
        }
        for event in events {
            self.on_event(event, &mut forwarded);
        }
        self.report_hidden_domains(&mut forwarded);
        if self.is_bounded {
            let entries = self.update_expansion();
            self.push_subset_change(entries, &mut forwarded);
        }
        let actions = self.inner.decide(now, &forwarded);
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

    /// Whether these events are forwarded unchanged: the subset is unbounded and none of the events affects it.
    fn forwards_unchanged(&self, events: &[Event]) -> bool {
        let affects_subset = |event: &Event| match event {
            Event::NodeList { .. } | Event::RunningTask { .. } | Event::AttemptEnded { .. } => true,
            Event::Place(_)
            | Event::Placed { .. }
            | Event::TaskUpdated { .. }
            | Event::NodeConnectionsBroken { .. }
            | Event::RequestCancelled(_)
            | Event::Timer(_)
            | Event::Probed { .. }
            | Event::Peer { .. } => false,
        };
        !self.is_bounded && self.transition_until == 0 && !events.iter().any(affects_subset)
    }

    /// Forwards an event, preceded by the changes of the subset that result from it.
    fn on_event(&mut self, event: &Event, forwarded: &mut Vec<Event>) {
        // Handed-over tasks arrive together. Their domains are reported before any other event, so that placements take
        // them into account.
        if !matches!(event, Event::RunningTask { .. }) {
            self.report_hidden_domains(forwarded);
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
                self.on_node_list(update, forwarded);
                return;
            }
            Event::Place(request) => {
                if self.is_bounded {
                    let entries = self.show_preferred_nodes(request);
                    self.push_subset_change(entries, forwarded);
                }
            }
            Event::RunningTask {
                request,
                node,
                reported_by: _,
            } => self.on_running_task(request, *node),
            Event::AttemptEnded {
                request,
                node,
                outcome,
                is_final,
                ..
            } => {
                if self.is_bounded && !is_final && may_have_run(*outcome) {
                    let entries = self.show_retry_rack(*request);
                    self.push_subset_change(entries, forwarded);
                }
                self.handed_over.on_attempt_ended(*request, *node);
            }
            Event::Placed { .. }
            | Event::TaskUpdated { .. }
            | Event::NodeConnectionsBroken { .. }
            | Event::RequestCancelled(_)
            | Event::Timer(_)
            | Event::Probed { .. }
            | Event::Peer { .. } => {}
        }
        forwarded.push(event.clone());
    }
}

/// Whether the task of an attempt with this outcome may have run.
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
