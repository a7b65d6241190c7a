//! The jobs that clients see: their states, their single answer and their end. The number of jobs is bounded.

mod job;
mod submission;

pub use job::{Answer, Job, JobId, JobState, TaskEnd};
pub use submission::{Program, Submission};

use peppercove::TaskKey;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifies a submission for its client: the same key in the same session means the same job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SubmissionKey {
    session: String,
    key: String,
}

/// The jobs of one incarnation of a controller.
#[derive(Debug, Default)]
pub struct Jobs {
    capacity: usize,
    next_id: u64,
    jobs: BTreeMap<JobId, Job>,
    by_key: BTreeMap<SubmissionKey, JobId>,
    /// The unfinished job of each task.
    by_task: BTreeMap<TaskKey, JobId>,
    /// Finished jobs, oldest first. Disposed jobs are removed from it lazily.
    finished: VecDeque<JobId>,
    /// Number of unfinished jobs of each session; sessions without any are omitted.
    unfinished: BTreeMap<String, usize>,
    by_session: BTreeMap<String, BTreeSet<JobId>>,
    /// Number of finished jobs removed for lack of space before their clients disposed of them.
    pub forgotten: u64,
}

impl Jobs {
    /// Creates a table of at most `capacity` jobs.
    pub fn new(capacity: usize) -> Jobs {
        Jobs {
            capacity: capacity.max(1),
            ..Jobs::default()
        }
    }

    // ---- Queries ----

    /// Number of jobs in the table.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Finds a job.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Finds a job for modification.
    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// The jobs of a session, in order of submission.
    pub fn of_session<'a>(&'a self, session: &str) -> impl Iterator<Item = &'a Job> + use<'a> {
        let ids = self.by_session.get(session).into_iter().flatten();
        ids.filter_map(|id| self.jobs.get(id))
    }

    /// Number of unfinished jobs of a session.
    pub fn unfinished(&self, session: &str) -> usize {
        self.unfinished.get(session).copied().unwrap_or(0)
    }

    /// Number of unfinished jobs of all sessions.
    pub fn total_unfinished(&self) -> usize {
        self.unfinished.values().sum()
    }

    /// Finds the job submitted under a key.
    pub fn by_key(&self, session: &str, key: &str) -> Option<JobId> {
        let key = SubmissionKey {
            session: session.to_owned(),
            key: key.to_owned(),
        };
        self.by_key.get(&key).copied()
    }

    /// Finds the unfinished job that has this task.
    pub fn by_task(&self, task: TaskKey) -> Option<JobId> {
        self.by_task.get(&task).copied()
    }

    /// Whether another job can be added, if necessary in place of a finished one.
    pub fn has_capacity(&self) -> bool {
        self.jobs.len() < self.capacity || !self.finished.is_empty()
    }

    // ---- Additions and removals ----

    /// Adds a job. If the table is full, the oldest finished jobs are removed.
    pub fn add(&mut self, submission: Submission, state: JobState) -> JobId {
        self.forget_oldest_finished();
        let id = JobId(self.next_id);
        self.next_id += 1;
        let session = submission.session.clone();
        self.by_key.insert(
            SubmissionKey {
                session: session.clone(),
                key: submission.key.clone(),
            },
            id,
        );
        self.by_task.insert(submission.task, id);
        self.by_session
            .entry(session.clone())
            .or_default()
            .insert(id);
        *self.unfinished.entry(session).or_insert(0) += 1;
        self.jobs.insert(id, Job::new(id, submission, state));
        id
    }

    fn forget_oldest_finished(&mut self) {
        while self.jobs.len() >= self.capacity {
            let Some(oldest) = self.finished.pop_front() else {
                break;
            };
            self.forgotten += u64::from(self.remove(oldest));
        }
    }

    /// Adds a job of an earlier incarnation that no client has claimed yet.
    pub(crate) fn add_unclaimed(&mut self, submission: Submission) -> JobId {
        let id = self.add(submission, JobState::Queued);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_unclaimed = true;
        }
        id
    }

    /// Claims a job of an earlier incarnation for a client that submits its task again. The job is then found under
    /// both its old and its new key.
    pub(crate) fn claim(&mut self, submission: &Submission) -> Option<JobId> {
        let id = self.by_task(submission.task)?;
        let job = self.jobs.get_mut(&id)?;
        if !job.is_unclaimed || job.submission.session != submission.session {
            return None;
        }
        job.is_unclaimed = false;
        // A client that still uses the first key finds the job, too.
        job.first_key = Some(std::mem::replace(
            &mut job.submission.key,
            submission.key.clone(),
        ));
        let key = SubmissionKey {
            session: submission.session.clone(),
            key: submission.key.clone(),
        };
        self.by_key.insert(key, id);
        Some(id)
    }

    /// Moves a job to a final state; its task may then be submitted again as another job.
    pub(crate) fn finish(&mut self, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.state.is_final()) else {
            return;
        };
        job.state = state;
        job.request = None;
        if self.by_task.get(&job.submission.task) == Some(&id) {
            self.by_task.remove(&job.submission.task);
        }
        if let Some(count) = self.unfinished.get_mut(&job.submission.session) {
            *count -= 1;
            if *count == 0 {
                self.unfinished.remove(&job.submission.session);
            }
        }
        self.finished.push_back(id);
        self.compact_finished();
    }

    /// Invariant: the queue of finished jobs is at most twice as long as the table's capacity, although disposed jobs
    /// stay in it for a while.
    fn compact_finished(&mut self) {
        if self.finished.len() > 2 * self.capacity {
            let jobs = &self.jobs;
            self.finished.retain(|id| jobs.contains_key(id));
        }
    }

    /// Removes a finished job. Returns false if there is no such job or it is not finished.
    pub(crate) fn remove(&mut self, id: JobId) -> bool {
        if !self.jobs.get(&id).is_some_and(|job| job.state.is_final()) {
            return false;
        }
        let Some(job) = self.jobs.remove(&id) else {
            return false;
        };
        let Submission { session, key, .. } = job.submission;
        if let Some(ids) = self.by_session.get_mut(&session) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_session.remove(&session);
            }
        }
        for key in job.first_key.into_iter().chain([key]) {
            let key = SubmissionKey {
                session: session.clone(),
                key,
            };
            if self.by_key.get(&key) == Some(&id) {
                self.by_key.remove(&key);
            }
        }
        true
    }
}
