//! The jobs that clients see: their states, their one settlement and their end. Bounded in number.

use peppercove::{Micros, NodeId, RequestId, ServiceId, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A job, by its number in this life of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// What to run, as the client gave it; the core only carries it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The command.
    pub command: String,
    /// Its arguments.
    pub args: Vec<String>,
    /// Its environment, as `NAME=VALUE`.
    pub env: Vec<String>,
    /// Where it runs.
    pub working_directory: Option<String>,
}

/// A job as it is submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The session it belongs to.
    pub session: String,
    /// The key made by the client: the same key again is the same job.
    pub key: String,
    /// The task.
    pub task: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u32,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for.
    pub memory: f64,
    /// How long its owner waits for the answer.
    pub deadline_in: Micros,
    /// How long it is expected to run.
    #[serde(rename = "life_hint")]
    pub expected_duration: Option<Micros>,
    /// It was asked for before.
    #[serde(rename = "again")]
    pub is_retry: bool,
    /// Another controller was asked for it before, and may have started it.
    #[serde(default)]
    #[serde(rename = "elsewhere")]
    pub requested_elsewhere: bool,
    /// It starts on hold (`drmaa_js_state`).
    #[serde(rename = "held")]
    pub on_hold: bool,
    /// What to run.
    pub program: Program,
}

/// The final answer to an ask for a placing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The task is placed on this node.
    Placed(NodeId),
    /// Turned away; a retry is harmless, best after this long.
    #[serde(rename = "Refused")]
    Rejected(Option<Micros>),
    /// No promise about its effect.
    Failed,
    /// Its owner ended it before it was placed.
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// How a placed job's task ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// By itself, with a status.
    Exited {
        /// Exit status.
        status: i32,
        /// Wall-clock time.
        wall: Micros,
        /// Processor time.
        cpu: Micros,
        /// Most memory in use.
        memory: f64,
    },
    /// By a signal.
    Signalled {
        /// The signal.
        signal: i32,
        /// Wall-clock time.
        wall: Micros,
        /// Processor time.
        cpu: Micros,
        /// Most memory in use.
        memory: f64,
    },
    /// Evicted, pushed out or sent away by its node.
    GivenUp,
    /// Its node failed or went away.
    Lost,
}

/// Where a job stands for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// On hold; no ask is made for it.
    OnHold,
    /// Asked for, not placed yet.
    Queued,
    /// Placed.
    Running,
    /// Placed, its clock stopped.
    Suspended,
    /// Ended by itself, or by a signal.
    Done,
    /// Refused, failed, given up or lost.
    Failed,
}

impl JobState {
    /// Nothing more becomes of it.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed)
    }
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// As it was submitted.
    pub submission: Submission,
    /// Where it stands.
    pub state: JobState,
    /// The ask that is made for it.
    pub ask: Option<RequestId>,
    /// When the last ask was made for it.
    pub requested_at: Micros,
    /// The answer, once it is given.
    pub answer: Option<Answer>,
    /// How its task ended.
    pub end: Option<TaskEnd>,
    /// Found running after a restart; no client of this life has asked for it.
    pub unclaimed: bool,
    /// The key of an earlier life, where the job was claimed under another.
    first_key: Option<String>,
}

/// All jobs of one life of a controller.
#[derive(Debug, Default)]
pub struct Jobs {
    most: usize,
    next: u64,
    jobs: BTreeMap<JobId, Job>,
    keys: BTreeMap<(String, String), JobId>,
    tasks: BTreeMap<TaskKey, JobId>,
    finished: VecDeque<JobId>,
    unfinished: BTreeMap<String, usize>,
    sessions: BTreeMap<String, BTreeSet<JobId>>,
    /// Finished jobs forgotten before their client had asked for them.
    pub forgotten: u64,
}

impl Jobs {
    /// A table of at most `most` jobs.
    pub fn new(most: usize) -> Jobs {
        Jobs {
            most: most.max(1),
            ..Jobs::default()
        }
    }

    /// Jobs in the table.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// No job is in the table.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// A job.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// The jobs of a session, in the order of their submission.
    pub fn of_session<'a>(&'a self, session: &str) -> impl Iterator<Item = &'a Job> + use<'a> {
        let ids = self.sessions.get(session).into_iter().flatten();
        ids.filter_map(|id| self.jobs.get(id))
    }

    /// Unfinished jobs of a session.
    pub fn unfinished(&self, session: &str) -> usize {
        self.unfinished.get(session).copied().unwrap_or(0)
    }

    /// Unfinished jobs of all sessions.
    pub fn all_unfinished(&self) -> usize {
        self.unfinished.values().sum()
    }

    /// The job submitted under a key.
    pub fn by_key(&self, session: &str, key: &str) -> Option<JobId> {
        self.keys
            .get(&(session.to_owned(), key.to_owned()))
            .copied()
    }

    /// The unfinished job that asks for, or runs, a task.
    pub fn by_task(&self, task: TaskKey) -> Option<JobId> {
        self.tasks.get(&task).copied()
    }

    /// There is room for one more, if finished ones are forgotten.
    pub fn has_room(&self) -> bool {
        self.jobs.len() < self.most || !self.finished.is_empty()
    }

    /// Takes a job in; the oldest finished one makes room where there is none.
    pub fn add(&mut self, submission: Submission, state: JobState) -> JobId {
        while self.jobs.len() >= self.most {
            let Some(oldest) = self.finished.pop_front() else {
                break;
            };
            self.forgotten += u64::from(self.remove(oldest));
        }
        let id = JobId(self.next);
        self.next += 1;
        self.keys
            .insert((submission.session.clone(), submission.key.clone()), id);
        self.tasks.insert(submission.task, id);
        self.sessions
            .entry(submission.session.clone())
            .or_default()
            .insert(id);
        *self
            .unfinished
            .entry(submission.session.clone())
            .or_insert(0) += 1;
        let job = Job {
            id,
            submission,
            state,
            ask: None,
            requested_at: 0,
            answer: None,
            end: None,
            unclaimed: false,
            first_key: None,
        };
        self.jobs.insert(id, job);
        id
    }

    /// Takes in a job of an earlier life, until its client asks for it.
    pub(crate) fn add_unclaimed(&mut self, submission: Submission) -> JobId {
        let id = self.add(submission, JobState::Queued);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unclaimed = true;
        }
        id
    }

    /// The client of an earlier life's job asks for its task again: the job is known by the new key as well.
    pub(crate) fn claimed(&mut self, submission: &Submission) -> Option<JobId> {
        let id = self.by_task(submission.task)?;
        let job = self.jobs.get_mut(&id)?;
        if !job.unclaimed || job.submission.session != submission.session {
            return None;
        }
        job.unclaimed = false;
        // Whoever still knows it by its first key finds it too.
        job.first_key = Some(std::mem::replace(
            &mut job.submission.key,
            submission.key.clone(),
        ));
        self.keys
            .insert((submission.session.clone(), submission.key.clone()), id);
        Some(id)
    }

    /// A job reached its end: its task may be asked for by another.
    pub(crate) fn finish(&mut self, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.state.is_final()) else {
            return;
        };
        (job.state, job.ask) = (state, None);
        if self.tasks.get(&job.submission.task) == Some(&id) {
            self.tasks.remove(&job.submission.task);
        }
        if let Some(n) = self.unfinished.get_mut(&job.submission.session) {
            *n -= 1;
            if *n == 0 {
                self.unfinished.remove(&job.submission.session);
            }
        }
        self.finished.push_back(id);
        // Disposed jobs leave the queue late; it must not grow beyond the table for that.
        if self.finished.len() > 2 * self.most {
            let jobs = &self.jobs;
            self.finished.retain(|id| jobs.contains_key(id));
        }
    }

    /// Forgets a finished job; false where there is none.
    pub(crate) fn remove(&mut self, id: JobId) -> bool {
        if !self.jobs.get(&id).is_some_and(|j| j.state.is_final()) {
            return false;
        }
        let Some(job) = self.jobs.remove(&id) else {
            return false;
        };
        if let Some(ids) = self.sessions.get_mut(&job.submission.session) {
            ids.remove(&id);
            if ids.is_empty() {
                self.sessions.remove(&job.submission.session);
            }
        }
        for key in job.first_key.into_iter().chain([job.submission.key]) {
            let key = (job.submission.session.clone(), key);
            if self.keys.get(&key) == Some(&id) {
                self.keys.remove(&key);
            }
        }
        true
    }
}
