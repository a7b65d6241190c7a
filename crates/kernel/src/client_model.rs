//! How the clients of a scenario behave: what they do after each answer, and what they count.

use hdrhistogram::Histogram;
use peppercove_protocol::rpc::PlacementOutcome;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Submissions that a client makes of one job at most.
const MAX_SUBMISSIONS: u32 = 4;

/// Wait before a job is submitted again that did not run, in milliseconds.
const RETRY_WAIT_MS: RangeInclusive<u64> = 300..=900;

/// Random addition to a wait that is stated, in milliseconds.
const JITTER_MS: RangeInclusive<u64> = 0..=200;

/// Longest delay that is recorded, in microseconds: ten minutes.
const MAX_RECORDED_DELAY: u64 = 600_000_000;

/// What a client does next with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing more.
    Finish,
    /// It submits the job to the same controller again, after this wait.
    Retry(Duration),
    /// It submits the job to another controller at once.
    FailOver,
}

/// Behaviour that all clients of a scenario share.
#[derive(Clone, Copy, Debug)]
pub struct ClientPolicy {
    /// Wait before a task that may be running is submitted again.
    pub ambiguous_retry_delay: Duration,
    /// Share of clients with a task that is not idempotent that turn to another controller when theirs is lost.
    pub failover_share: f64,
}

impl ClientPolicy {
    /// Whether a job may be submitted again after so many submissions.
    pub fn may_retry(submissions: u32) -> bool {
        submissions < MAX_SUBMISSIONS
    }

    /// What follows the outcome of a job.
    pub fn after_outcome(
        &self,
        outcome: PlacementOutcome,
        is_idempotent: bool,
        rng: &mut fastrand::Rng,
    ) -> NextStep {
        match outcome {
            PlacementOutcome::Placed | PlacementOutcome::Withdrawn => NextStep::Finish,
            PlacementOutcome::Failed if !is_idempotent => {
                NextStep::Retry(self.ambiguous_retry_delay + draw(rng, JITTER_MS))
            }
            PlacementOutcome::Refused | PlacementOutcome::Failed => {
                NextStep::Retry(draw(rng, RETRY_WAIT_MS))
            }
        }
    }

    /// What follows a rejection at admission, which may state a wait.
    pub fn after_rejection(retry_after_ms: Option<u64>, rng: &mut fastrand::Rng) -> NextStep {
        retry_after_ms.map_or(NextStep::Finish, |wait| {
            NextStep::Retry(Duration::from_millis(wait) + draw(rng, JITTER_MS))
        })
    }

    /// What follows the loss of the controller while the job was open.
    pub fn after_disconnect(
        &self,
        is_idempotent: bool,
        has_other_controllers: bool,
        rng: &mut fastrand::Rng,
    ) -> NextStep {
        if has_other_controllers && (is_idempotent || rng.f64() < self.failover_share) {
            NextStep::FailOver
        } else {
            NextStep::Retry(self.ambiguous_retry_delay + draw(rng, JITTER_MS))
        }
    }
}

fn draw(rng: &mut fastrand::Rng, milliseconds: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.u64(milliseconds))
}

/// What the clients of a scenario count.
#[derive(Debug, Default)]
pub struct ClientTally {
    /// Outcomes, by class and outcome.
    pub answers: BTreeMap<(String, &'static str), u64>,
    /// Microseconds from submission to placement, by class.
    pub placement_delays: BTreeMap<String, Histogram<u64>>,
    /// Jobs, without repeated submissions.
    pub jobs: u64,
    /// Repeated submissions, after a refusal, a failure or a lost controller.
    pub retries: u64,
    /// Rejections at admission, by error.
    pub rejections: BTreeMap<&'static str, u64>,
    /// Outcomes of each job, in order, by the number of its task.
    pub answers_by_job: BTreeMap<u64, Vec<&'static str>>,
}

impl ClientTally {
    /// The outcome of a submission arrived after this delay, in microseconds.
    pub fn record_outcome(
        &mut self,
        task: u64,
        class: &str,
        outcome: PlacementOutcome,
        delay: u64,
    ) {
        let name = outcome_name(outcome);
        self.answers_by_job.entry(task).or_default().push(name);
        *self.answers.entry((class.into(), name)).or_insert(0) += 1;
        if outcome == PlacementOutcome::Placed {
            let delays = self.placement_delays.entry(class.into());
            let _ = delays.or_insert_with(new_histogram).record(delay);
        }
    }

    /// A submission was rejected at admission with this error.
    pub fn record_rejection(&mut self, error: &'static str) {
        *self.rejections.entry(error).or_insert(0) += 1;
    }
}

/// A histogram of microseconds up to ten minutes, with three significant digits.
fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_RECORDED_DELAY, 3) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the bounds are constant and valid: {error}"),
    }
}

/// Name of an outcome in reports.
fn outcome_name(outcome: PlacementOutcome) -> &'static str {
    match outcome {
        PlacementOutcome::Placed => "placed",
        PlacementOutcome::Refused => "refused",
        PlacementOutcome::Failed => "failed",
        PlacementOutcome::Withdrawn => "withdrawn",
    }
}
