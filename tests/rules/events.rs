//! Turns steps into events.

use crate::checker::{RuleChecker, SentAttempt, TrackedRequest, node_entry};
use crate::steps::Step;
use peppercove::*;

impl RuleChecker {
    pub(crate) fn step(&mut self, step: &Step) {
        match *step {
            Step::Place {
                class,
                service,
                cores,
            } => self.place(class, service, cores, None),
            Step::RunningTask {
                class,
                service,
                node,
            } => self.place(class, service, 1.0, Some(node)),
            Step::EndAttempt {
                index,
                outcome,
                reason,
            } => {
                if let Some((request, attempt)) = self.select_open_attempt(index, true) {
                    self.end(request, attempt, outcome, reason);
                }
            }
            Step::Acknowledge { index } => self.acknowledge(index),
            Step::Cancel { index } => self.cancel(index),
            Step::ListEntry {
                node,
                state,
                restarted,
            } => self.list_entry(node, state, restarted),
            Step::FullList { missing } => self.full_list(missing),
            Step::ListFails => {
                self.send(Event::NodeList {
                    kind: ListUpdateKind::Failed,
                    version: 0,
                    entries: vec![],
                });
            }
            Step::ConnectionsBroken { node } => {
                let node = NodeId(node);
                self.broken_at.insert(node, self.now);
                self.send(Event::NodeConnectionsBroken { node });
            }
            Step::RepeatLastEvent => self.repeat_last_event(),
            Step::Wait { duration } => self.wait(self.now + duration),
        }
    }

    fn acknowledge(&mut self, index: usize) {
        let Some((request, attempt)) = self.select_open_attempt(index, false) else {
            return;
        };
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.is_answered = true;
        tracked.attempts[attempt as usize].ends_at = Micros::MAX;
        let node = tracked.attempts[attempt as usize].node;
        self.send(Event::Placed {
            request,
            attempt,
            node,
        });
    }

    fn cancel(&mut self, index: usize) {
        let active: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, tracked)| !tracked.is_completed)
            .map(|(id, _)| *id)
            .collect();
        if !active.is_empty() {
            let request = active[index % active.len()];
            let tracked = self.requests.get_mut(&request).unwrap();
            (tracked.is_answered, tracked.is_completed) = (true, true);
            self.send(Event::RequestCancelled(request));
        }
    }

    fn list_entry(&mut self, node: u64, state: NodeStatus, restarted: bool) {
        let id = NodeId(node);
        let started_at = self.entries.get(&id).map_or(0, |entry| entry.started_at);
        let started_at = if restarted { self.now } else { started_at };
        let new = NodeEntry {
            state,
            ..node_entry(node, started_at)
        };
        self.entries.insert(id, new.clone());
        self.send_list(ListUpdateKind::Incremental, vec![new]);
    }

    fn full_list(&mut self, missing: u64) {
        for (id, node_entry) in &mut self.entries {
            if id.0 == missing {
                node_entry.state = NodeStatus::Gone;
            }
        }
        let gone = |entry: &&NodeEntry| entry.state != NodeStatus::Gone;
        let entries = self.entries.values().filter(gone).cloned().collect();
        self.send_list(ListUpdateKind::Full, entries);
    }

    fn send_list(&mut self, kind: ListUpdateKind, entries: Vec<NodeEntry>) {
        self.next_id += 1;
        let version = self.next_id;
        self.send(Event::NodeList {
            kind,
            version,
            entries,
        });
    }

    /// A repeated end of an attempt, a stale timer or an old list must not affect the checked properties.
    fn repeat_last_event(&mut self) {
        let is_repeatable = |event: &Event| !matches!(event, Event::RunningTask { .. });
        if let Some(event) = self.last_event.clone().filter(is_repeatable) {
            self.send(event);
        }
    }

    fn place(&mut self, class: u16, service: u64, cores: f64, running_on: Option<u64>) {
        let request = RequestId(self.next_id);
        self.next_id += 1;
        let deadline_in = self.settings.classes[class as usize].deadline;
        let spec = PlacementRequest {
            id: request,
            task: TaskKey(request.0),
            service: ServiceId(u64::from(class) * 100 + service),
            class,
            tenant: 0,
            cores,
            memory: cores * 2.0,
            deadline_in,
            expected_duration: None,
            is_retry: false,
        };
        let mut tracked = TrackedRequest {
            spec: spec.clone(),
            deadline: self.now + deadline_in,
            is_answered: false,
            is_completed: false,
            attempts: vec![],
        };
        if let Some(node) = running_on {
            let node = NodeId(node);
            let Some(rack) = self.entries.get(&node).map(|entry| entry.rack) else {
                return;
            };
            tracked.is_answered = true;
            let (sent_at, ends_at) = (self.now, Micros::MAX);
            tracked.attempts.push(SentAttempt {
                node,
                rack,
                sent_at,
                ends_at,
                open: true,
                may_have_run: false,
            });
            self.requests.insert(request, tracked);
            self.send(Event::RunningTask {
                request: spec,
                node,
                reported_by: TaskReporter::Client,
            });
        } else {
            self.requests.insert(request, tracked);
            self.send(Event::Place(spec));
        }
    }

    /// Selects one of the open attempts by `index`. Returns its request and attempt number.
    fn select_open_attempt(&self, index: usize, include_placed: bool) -> Option<(RequestId, u16)> {
        let is_selectable =
            |tracked: &TrackedRequest| tracked.is_answered == include_placed || include_placed;
        let all: Vec<(RequestId, u16)> = self
            .requests
            .iter()
            .filter(|(_, tracked)| is_selectable(tracked))
            .flat_map(|(id, tracked)| {
                tracked
                    .attempts
                    .iter()
                    .enumerate()
                    .map(move |(i, attempt)| (*id, i as u16, attempt.open))
            })
            .filter(|(_, _, open)| *open)
            .map(|(id, i, _)| (id, i))
            .collect();
        (!all.is_empty()).then(|| all[index % all.len()])
    }

    fn end(
        &mut self,
        request: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        reason: EndReason,
    ) {
        let tracked = self.requests.get_mut(&request).unwrap();
        let ended = &mut tracked.attempts[attempt as usize];
        ended.open = false;
        ended.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        let node = ended.node;
        tracked.is_completed |= tracked.is_answered;
        let is_completed = tracked.is_completed;
        self.send(Event::AttemptEnded {
            request,
            attempt,
            node,
            outcome,
            reason,
            is_final: is_completed,
            load: None,
        });
    }

    pub(crate) fn wait(&mut self, until: Micros) {
        loop {
            let timer = self
                .timers
                .iter()
                .map(|(at, _)| *at)
                .min()
                .unwrap_or(Micros::MAX);
            let attempts = self
                .requests
                .values()
                .flat_map(|tracked| &tracked.attempts)
                .filter(|attempt| attempt.open);
            let end = attempts
                .map(|attempt| attempt.ends_at)
                .min()
                .unwrap_or(Micros::MAX);
            let next_at = timer.min(end);
            if next_at > until {
                break;
            }
            self.now = self.now.max(next_at);
            if end == next_at {
                let is_due = |tracked: &TrackedRequest| {
                    tracked
                        .attempts
                        .iter()
                        .position(|attempt| attempt.open && attempt.ends_at == end)
                };
                let due = self
                    .requests
                    .iter()
                    .find_map(|(id, tracked)| is_due(tracked).map(|i| (*id, i as u16)));
                let (request, attempt) = due.expect("an attempt is due");
                self.end(
                    request,
                    attempt,
                    AttemptOutcome::TimedOut,
                    EndReason::Unknown,
                );
            } else {
                let at = self
                    .timers
                    .iter()
                    .position(|(at, _)| *at == next_at)
                    .unwrap();
                let (_, label) = self.timers.remove(at);
                self.send(Event::Timer(label));
            }
            self.check_deadlines();
        }
        self.now = until;
        self.check_deadlines();
    }
}
