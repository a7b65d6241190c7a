//! How the owners of a day's jobs behave: what they do with each answer, and what they count.

use hdrhistogram::Histogram;
use peppercove_protocol::rpc::PlacementOutcome;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tries that an owner makes of one job.
const TRIES: u32 = 4;

/// What an owner does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing more.
    Done,
    /// Asks again at the same controller after this long.
    Again(Duration),
    /// Asks again at another controller at once.
    Elsewhere,
}

/// What an owner knows of its job's class.
#[derive(Clone, Copy, Debug)]
pub struct ClassFact {
    /// A second start does no harm.
    pub safe: bool,
    /// How long an owner waits for the answer.
    pub deadline: Duration,
}

fn scattered(rng: &mut fastrand::Rng, least: u64, most: u64) -> Duration {
    Duration::from_millis(rng.u64(least..=most))
}

/// Another try is allowed after `tries` of them.
pub fn may_try(tries: u32) -> bool {
    tries < TRIES
}

/// After the final answer. Owners wait a while before they ask again, and `settle` where a task may run.
pub fn after_answer(
    outcome: PlacementOutcome,
    safe: bool,
    settle: Duration,
    rng: &mut fastrand::Rng,
) -> Next {
    match outcome {
        PlacementOutcome::Placed | PlacementOutcome::Withdrawn => Next::Done,
        PlacementOutcome::Refused => Next::Again(scattered(rng, 300, 900)),
        PlacementOutcome::Failed if safe => Next::Again(scattered(rng, 300, 900)),
        PlacementOutcome::Failed => Next::Again(settle + scattered(rng, 0, 200)),
    }
}

/// After being turned away at the door, with the advice that came along.
pub fn after_door(retry_after_ms: Option<u64>, rng: &mut fastrand::Rng) -> Next {
    retry_after_ms.map_or(Next::Done, |ms| {
        Next::Again(Duration::from_millis(ms) + scattered(rng, 0, 200))
    })
}

/// After its controller went away with the job unanswered; `others` may be asked. A share of `moves` of those whose
/// task does harm twice asks there as well, and says so.
pub fn after_loss(
    safe: bool,
    others: bool,
    moves: f64,
    settle: Duration,
    rng: &mut fastrand::Rng,
) -> Next {
    if others && (safe || rng.f64() < moves) {
        Next::Elsewhere
    } else {
        Next::Again(settle + scattered(rng, 0, 200))
    }
}

/// What the owners of a day counted.
#[derive(Debug, Default)]
pub struct Tally {
    /// Answers, by class and answer.
    pub answers: BTreeMap<(String, &'static str), u64>,
    /// Microseconds from submission to placing, by class.
    pub delays: BTreeMap<String, Histogram<u64>>,
    /// Jobs asked for, first asks only.
    pub jobs: u64,
    /// Asks made again after a refusal, failure or loss.
    pub again: u64,
    /// Submissions turned away, by error.
    pub turned_away: BTreeMap<&'static str, u64>,
    /// Answers to each job, in order, by the number of its task.
    pub by_job: BTreeMap<u64, Vec<&'static str>>,
}

impl Tally {
    /// An answer to a task came after this long, in microseconds.
    pub fn answered(&mut self, task: u64, class: &str, outcome: PlacementOutcome, after: u64) {
        self.by_job
            .entry(task)
            .or_default()
            .push(outcome_name(outcome));
        *self
            .answers
            .entry((class.into(), outcome_name(outcome)))
            .or_insert(0) += 1;
        if outcome == PlacementOutcome::Placed {
            let delays = self
                .delays
                .entry(class.into())
                .or_insert_with(new_histogram);
            let _ = delays.record(after);
        }
    }
}

/// A histogram of microseconds up to ten minutes.
pub fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, 600_000_000, 3) {
        Ok(h) => h,
        Err(e) => unreachable!("the bounds are fixed: {e}"),
    }
}

/// The answer that a client was told, as a word.
pub fn outcome_name(outcome: PlacementOutcome) -> &'static str {
    match outcome {
        PlacementOutcome::Placed => "placed",
        PlacementOutcome::Refused => "refused",
        PlacementOutcome::Failed => "failed",
        PlacementOutcome::Withdrawn => "withdrawn",
    }
}
