//! When each job under way was submitted, offered to a node and accepted by it.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// The times of one job.
#[derive(Clone, Copy, Debug)]
struct JobTimes {
    submitted_at: Instant,
    /// The delay from the submission to the offer, and when the node replied.
    offer: Option<(Duration, Instant)>,
}

/// The times of the jobs of one measurement, by their numbers from zero.
#[derive(Debug, Default)]
pub struct JobTimeTable {
    jobs: RefCell<Vec<JobTimes>>,
}

impl JobTimeTable {
    /// The next job is submitted now.
    pub fn record_submission(&self) {
        self.jobs.borrow_mut().push(JobTimes {
            submitted_at: Instant::now(),
            offer: None,
        });
    }

    /// A node has been offered the job, and replies at once.
    pub fn record_offer(&self, job: usize) {
        if let Some(times) = self.jobs.borrow_mut().get_mut(job) {
            times.offer = Some((times.submitted_at.elapsed(), Instant::now()));
        }
    }

    /// The delay that was added to the placement of a job of which the client is notified now: until the offer, and since
    /// the node's reply. `None` where no node was offered it.
    pub fn added_delay(&self, job: usize) -> Option<Duration> {
        let (until_offer, replied_at) = self.jobs.borrow().get(job)?.offer?;
        Some(until_offer + replied_at.elapsed())
    }
}
