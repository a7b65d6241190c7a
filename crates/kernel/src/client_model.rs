//! Model of the clients: what they do after each answer, and the results that they count.

use hdrhistogram::Histogram;
use peppercove_protocol::rpc::PlacementOutcome;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum number of submissions of one job.
const MAX_SUBMISSIONS: u32 = 4;

/// Delay before a job that did not run is submitted again, in milliseconds.
const RETRY_DELAY_MS: RangeInclusive<u64> = 300..=900;

/// Random addition to a fixed retry delay, in milliseconds.
const JITTER_MS: RangeInclusive<u64> = 0..=200;

/// Longest placement delay that the histograms can record, in microseconds: ten minutes.
const MAX_RECORDED_DELAY: u64 = 600_000_000;

/// What a client does next with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing: the job is finished.
    Finish,
    /// Submits the job to the same controller again after this delay.
    Retry(Duration),
    /// Submits the job to another controller immediately.
    FailOver,
}

/// Settings of the behaviour of all clients of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct ClientPolicy {
    /// Delay before a job whose task may be running is submitted again.
    pub ambiguous_retry_delay: Duration,
    /// Share of the clients with a keyed or non-idempotent task that fail over when they lose their controller.
    pub failover_share: f64,
}

impl ClientPolicy {
    /// Returns whether a job may be submitted again after this number of submissions.
    pub fn may_retry(submissions: u32) -> bool {
        submissions < MAX_SUBMISSIONS
    }

    /// Returns the next step after an outcome of the job.
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
                NextStep::Retry(draw(rng, RETRY_DELAY_MS))
            }
        }
    }

    /// Returns the next step after a rejection at admission, which may state a retry delay.
    pub fn after_rejection(retry_after_ms: Option<u64>, rng: &mut fastrand::Rng) -> NextStep {
        retry_after_ms.map_or(NextStep::Finish, |delay_ms| {
            NextStep::Retry(Duration::from_millis(delay_ms) + draw(rng, JITTER_MS))
        })
    }

    /// Returns the next step after the controller was lost while the job was unanswered.
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

/// Results that the clients of a scenario count.
#[derive(Debug, Default)]
pub struct ClientTally {
    /// Number of outcomes, by class and outcome.
    pub answers: BTreeMap<(String, &'static str), u64>,
    /// Delays from submission to placement in microseconds, by class.
    pub placement_delays: BTreeMap<String, Histogram<u64>>,
    /// Number of jobs, without repeated submissions.
    pub jobs: u64,
    /// Number of repeated submissions, after a refusal, a failure, a rejection or a lost controller.
    pub retries: u64,
    /// Number of rejections at admission, by error.
    pub rejections: BTreeMap<&'static str, u64>,
    /// Outcomes of each job in order, by task number.
    pub answers_by_job: BTreeMap<u64, Vec<&'static str>>,
}

impl ClientTally {
    /// Counts an outcome that arrived this long after the submission, in microseconds.
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

    /// Counts a rejection at admission with this error.
    pub fn record_rejection(&mut self, error: &'static str) {
        *self.rejections.entry(error).or_insert(0) += 1;
    }
}

/// Returns an empty histogram of delays up to [`MAX_RECORDED_DELAY`], with three significant digits.
fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_RECORDED_DELAY, 3) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the bounds are constant and valid: {error}"),
    }
}

/// Returns the name of an outcome in reports.
fn outcome_name(outcome: PlacementOutcome) -> &'static str {
    match outcome {
        PlacementOutcome::Placed => "placed",
        PlacementOutcome::Refused => "refused",
        PlacementOutcome::Failed => "failed",
        PlacementOutcome::Withdrawn => "withdrawn",
    }
}
