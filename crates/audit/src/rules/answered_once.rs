//! Rule 1: each accepted job is answered once and before its deadline, and is not offered to a node afterwards.

use crate::attempts::Offer;
use crate::auditor::Auditor;
use crate::jobs::{Answer, OutcomeMessage};
use peppercove_protocol::rpc::PlacementOutcome;

const RULE: u8 = 1;

impl Auditor<'_> {
    /// Handles the message that tells a client the outcome of its job.
    pub(crate) fn on_outcome(&mut self, job_id: &str, message: OutcomeMessage) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            // An outcome may be observed before the reply that accepts the job.
            return self.jobs.store_early_outcome(job_id, message);
        };
        let OutcomeMessage { at, outcome, .. } = message;
        if let Some(first) = job.answer {
            let description = format!(
                "job {job_id} is answered {outcome:?} after {:?} at {} us",
                first.outcome, first.at
            );
            return self.report.add_violation(at, RULE, description);
        }
        job.answer = Some(Answer { at, outcome });
        let (deadline, idempotency) = (job.deadline, job.idempotency);
        let is_late = at.saturating_sub(job.accepted_at) > deadline + self.settings.stall;
        if is_late {
            let description = format!("job {job_id} is answered later than its {deadline} us");
            self.report.add_violation(at, RULE, description);
        }
        match outcome {
            PlacementOutcome::Placed => self.report.placed += 1,
            PlacementOutcome::Failed => self.report.failed += 1,
            PlacementOutcome::Withdrawn => self.report.cancelled += 1,
            PlacementOutcome::Refused => {
                self.report.refused += 1;
                self.check_refusal(job_id, &message, idempotency);
            }
        }
    }

    /// Reports an offer for a job that has been answered.
    pub(crate) fn check_not_answered(&mut self, offer: &Offer<'_>) {
        let Some((session, key)) = offer.task.program.key.split_once('\n') else {
            return;
        };
        if let Some((job, answer)) = self.jobs.answer_for_key(session, key) {
            let description = format!(
                "job {job} is offered again after its answer {:?} at {} us",
                answer.outcome, answer.at
            );
            self.report.add_violation(offer.at, RULE, description);
        }
    }

    /// Reports outcomes of jobs that were never accepted, and accepted jobs without an outcome. Called at the end of
    /// the run.
    pub(crate) fn check_unanswered(&mut self) {
        self.report.excused = self.jobs.excused();
        for (job, messages) in self.jobs.take_all_early_outcomes() {
            for message in messages {
                let description = format!("an answer for job {job}, which nobody took in");
                self.report.add_violation(message.at, RULE, description);
            }
        }
        for (id, job) in self.jobs.unanswered() {
            let description = format!("job {id} is never answered");
            let at = job.accepted_at + job.deadline;
            self.report.add_violation(at, RULE, description);
        }
    }
}
