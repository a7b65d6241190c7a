//! Rule 2: a task that is not idempotent does not run twice.
//!
//! Attempts of one task do not overlap. A non-idempotent task is offered again or refused only if it certainly never
//! ran. A keyed task is offered again only within its deduplication scope and window.

use crate::attempts::{Attempt, AttemptState, Offer};
use crate::auditor::Auditor;
use crate::jobs::OutcomeMessage;
use crate::{RecordedStart, TopologyDomain};
use peppercove_protocol::node::Idempotency;
use std::collections::BTreeMap;

const RULE: u8 = 2;

impl Auditor<'_> {
    /// Reports a refusal of a job whose task may have run: a refusal guarantees that it never ran, unless a second run
    /// would be harmless.
    pub(crate) fn check_refusal(
        &mut self,
        job: &str,
        message: &OutcomeMessage,
        idempotency: Idempotency,
    ) {
        if idempotency == Idempotency::Idempotent {
            return;
        }
        let key = format!("{}\n{}", message.session, message.key);
        let mut attempts = self.attempts.iter();
        let may_have_run = attempts
            .any(|attempt| attempt.task.program.key == key && self.could_run_twice(attempt));
        if may_have_run {
            let description = format!("job {job} is refused though an attempt of it may have run");
            self.report.add_violation(message.at, RULE, description);
        }
    }

    /// Whether the attempt may have run and a second copy elsewhere would not be discarded.
    fn could_run_twice(&self, attempt: &Attempt) -> bool {
        let class = self.settings.classes.get(usize::from(attempt.task.class));
        let is_discarded_everywhere = attempt.task.idempotency == Idempotency::Keyed
            && class.is_some_and(|class| class.dedup_scope == TopologyDomain::Off);
        attempt.state != AttemptState::NeverRan && !is_discarded_everywhere
    }

    /// Reports an offer that overlaps with an earlier attempt of its task, or may duplicate it.
    pub(crate) fn check_duplicate_offer(&mut self, offer: &Offer<'_>) {
        let task = offer.task.task;
        self.attempts.expire(task, offer.at + self.settings.stall);
        let earlier = self.attempts.of_task(task);
        let found: Vec<String> = earlier
            .filter_map(|attempt| self.describe_duplicate(offer, attempt))
            .collect();
        for description in found {
            self.report.add_violation(offer.at, RULE, description);
        }
    }

    /// Describes why the offer is not allowed after this attempt of the same task; `None` if it is allowed.
    fn describe_duplicate(&self, offer: &Offer<'_>, earlier: &Attempt) -> Option<String> {
        let task = offer.task.task;
        match (earlier.state, offer.task.idempotency) {
            (AttemptState::NeverRan | AttemptState::Ended, _) => None,
            (AttemptState::Pending, _) => Some(format!("task {task:x} has two attempts out")),
            (AttemptState::Running | AttemptState::Ambiguous, Idempotency::Idempotent) => None,
            // The report may not have arrived yet: the controller may offer the task again within its scope.
            (AttemptState::Running, Idempotency::Keyed)
                if offer.at < earlier.reported_at + self.settings.observation_delay =>
            {
                self.outside_dedup_scope(offer, earlier)
            }
            (AttemptState::Running, Idempotency::Keyed | Idempotency::NonIdempotent) => {
                let node = &earlier.node;
                Some(format!(
                    "task {task:x} is offered again while it runs on {node}"
                ))
            }
            (AttemptState::Ambiguous, Idempotency::Keyed) => {
                self.outside_dedup_scope(offer, earlier)
            }
            // It may have run, however long ago it was sent.
            (AttemptState::Ambiguous, Idempotency::NonIdempotent) => Some(format!(
                "unsafe task {task:x} is offered again though it may have run"
            )),
        }
    }

    /// Describes why the nodes would not discard a second copy of a keyed task; `None` if they would.
    fn outside_dedup_scope(&self, offer: &Offer<'_>, first: &Attempt) -> Option<String> {
        let task = offer.task.task;
        let class = self.settings.classes.get(usize::from(offer.task.class))?;
        if offer.at > first.sent + class.dedup_window + self.settings.stall {
            return Some(format!(
                "keyed task {task:x} is offered again past its window"
            ));
        }
        let controller = &offer.controller.name;
        let node = self.lists.get(controller, offer.node)?;
        let first_node = self.lists.get(controller, &first.node)?;
        let is_in_scope = match class.dedup_scope {
            TopologyDomain::Off => true,
            TopologyDomain::Zone => node.zone == first_node.zone,
            TopologyDomain::Rack => (node.zone, node.rack) == (first_node.zone, first_node.rack),
            TopologyDomain::Node => offer.node == first.node,
        };
        (!is_in_scope).then(|| format!("keyed task {task:x} is offered again outside its group"))
    }

    /// Checks the starts that the nodes recorded, which include those whose messages were lost.
    pub(crate) fn check_recorded_starts(&mut self, starts: &[RecordedStart]) {
        let mut by_task: BTreeMap<u64, Vec<&RecordedStart>> = BTreeMap::new();
        for start in starts {
            if start.idempotency != Idempotency::Idempotent {
                by_task.entry(start.task).or_default().push(start);
            }
        }
        for (task, mut starts) in by_task {
            starts.sort_by_key(|start| start.at);
            let is_non_idempotent =
                |start: &&&RecordedStart| start.idempotency == Idempotency::NonIdempotent;
            self.report.non_idempotent_starts +=
                starts.iter().filter(is_non_idempotent).count() as u64;
            for pair in starts.windows(2) {
                let (first, second) = (pair[0], pair[1]);
                if let Some(kind) = forbidden_restart(first, second) {
                    let description = format!(
                        "{kind} task {task:x} starts on {} and again on {}",
                        first.node, second.node
                    );
                    self.report.add_violation(second.at, RULE, description);
                }
            }
        }
    }
}

/// Returns the kind of the task if its second start is forbidden.
fn forbidden_restart(first: &RecordedStart, second: &RecordedStart) -> Option<&'static str> {
    let overlap = first.ended.is_none_or(|ended| ended > second.at);
    match first.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => (overlap || first.completed).then_some("unsafe"),
        // Nodes of one rack discard a copy while another one runs. They forget the key afterwards, so that a start
        // after a completed run would repeat its effects.
        Idempotency::Keyed if overlap => (first.rack == second.rack).then_some("keyed"),
        Idempotency::Keyed => first.completed.then_some("keyed"),
    }
}
