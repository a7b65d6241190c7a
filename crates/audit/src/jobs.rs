//! Accepted jobs and the outcomes that their clients were sent.

use crate::Micros;
use peppercove_protocol::node::Idempotency;
use peppercove_protocol::rpc::PlacementOutcome;
use std::collections::{BTreeMap, BTreeSet};

/// The first outcome that a client was sent, and its time.
#[derive(Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) at: Micros,
    pub(crate) outcome: PlacementOutcome,
}

/// An accepted job.
pub(crate) struct Job {
    pub(crate) accepted_at: Micros,
    controller: String,
    session: String,
    pub(crate) deadline: Micros,
    pub(crate) idempotency: Idempotency,
    pub(crate) answer: Option<Answer>,
    /// Whether its controller was killed or its client disconnected, so that it need not be answered.
    is_excused: bool,
}

/// A submission that a controller accepted.
pub(crate) struct AcceptedJob<'a> {
    pub(crate) controller: &'a str,
    pub(crate) session: &'a str,
    pub(crate) key: &'a str,
    pub(crate) job: &'a str,
    pub(crate) deadline: Micros,
    pub(crate) idempotency: Idempotency,
}

/// A message that tells a client the outcome of its job.
#[derive(Clone)]
pub(crate) struct OutcomeMessage {
    pub(crate) at: Micros,
    pub(crate) session: String,
    pub(crate) key: String,
    pub(crate) outcome: PlacementOutcome,
}

/// All jobs, and outcomes that were observed before the acceptance of their job.
#[derive(Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<String, Job>,
    /// Id of the job by session and key.
    by_key: BTreeMap<(String, String), String>,
    early_outcomes: BTreeMap<String, Vec<OutcomeMessage>>,
    /// Controllers that were killed and have not started again.
    dead_controllers: BTreeSet<String>,
}

impl JobTable {
    /// Adds a job. Returns `false` if it is known: a repeated submission key stands for the same job.
    pub(crate) fn accept(&mut self, at: Micros, accepted: &AcceptedJob<'_>) -> bool {
        if self.jobs.contains_key(accepted.job) {
            return false;
        }
        let job = Job {
            accepted_at: at,
            controller: accepted.controller.to_owned(),
            session: accepted.session.to_owned(),
            deadline: accepted.deadline,
            idempotency: accepted.idempotency,
            answer: None,
            // The client may read the reply only after the controller was killed.
            is_excused: self.dead_controllers.contains(accepted.controller),
        };
        self.jobs.insert(accepted.job.to_owned(), job);
        let key = (accepted.session.to_owned(), accepted.key.to_owned());
        self.by_key.insert(key, accepted.job.to_owned());
        true
    }

    pub(crate) fn get_mut(&mut self, job: &str) -> Option<&mut Job> {
        self.jobs.get_mut(job)
    }

    /// Returns the id and the answer of the job with this submission key, if it was answered.
    pub(crate) fn answer_for_key(&self, session: &str, key: &str) -> Option<(&str, Answer)> {
        let id = self.by_key.get(&(session.to_owned(), key.to_owned()))?;
        Some((id, self.jobs.get(id)?.answer?))
    }

    /// Stores an outcome whose job has not been accepted yet.
    pub(crate) fn store_early_outcome(&mut self, job: &str, message: OutcomeMessage) {
        let messages = self.early_outcomes.entry(job.to_owned()).or_default();
        messages.push(message);
    }

    pub(crate) fn take_early_outcomes(&mut self, job: &str) -> Vec<OutcomeMessage> {
        self.early_outcomes.remove(job).unwrap_or_default()
    }

    /// Takes the outcomes of jobs that were never accepted, by id of the job.
    pub(crate) fn take_all_early_outcomes(&mut self) -> BTreeMap<String, Vec<OutcomeMessage>> {
        std::mem::take(&mut self.early_outcomes)
    }

    pub(crate) fn on_client_gone(&mut self, session: &str) {
        self.excuse(|job| job.session == session);
    }

    pub(crate) fn on_controller_killed(&mut self, controller: &str) {
        self.excuse(|job| job.controller == controller);
        self.dead_controllers.insert(controller.to_owned());
    }

    pub(crate) fn on_controller_started(&mut self, controller: &str) {
        self.dead_controllers.remove(controller);
    }

    fn excuse(&mut self, is_affected: impl Fn(&Job) -> bool) {
        for job in self.jobs.values_mut().filter(|job| is_affected(job)) {
            job.is_excused = true;
        }
    }

    /// Returns the jobs that should have been answered and were not, with their ids.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = (&str, &Job)> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.answer.is_none() && !job.is_excused)
            .map(|(id, job)| (id.as_str(), job))
    }

    /// Number of unanswered jobs that need not be answered.
    pub(crate) fn excused(&self) -> u64 {
        let is_excused = |job: &&Job| job.answer.is_none() && job.is_excused;
        self.jobs.values().filter(is_excused).count() as u64
    }
}
