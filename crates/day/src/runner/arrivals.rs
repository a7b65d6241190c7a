//! Submits the jobs of a scenario.

use super::fleet::Fleet;
use crate::clients::Clients;
use peppercove_kernel::scenario::{JobArrival, Scenario, Workload};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Bit that is set in the task numbers of jobs with a fixed time.
const FIXED_TIME_JOB: u64 = 1 << 56;

/// Bit position of the workload's index in a task number.
const WORKLOAD_SHIFT: u32 = 40;

/// Combined with the seed, so that arrivals do not use the same random numbers as other parts of the run.
const SEED_SALT: u64 = 0x10ad;

/// Spawns a task for each workload, and one for the jobs with a fixed time.
pub(super) fn spawn(
    fleet: &Rc<Fleet>,
    clients: &Rc<Clients>,
    scenario: &Scenario,
    seed: u64,
    begin: Instant,
) {
    for (index, workload) in scenario.workloads.iter().enumerate() {
        let source = WorkloadSource {
            fleet: fleet.clone(),
            clients: clients.clone(),
            workload: workload.clone(),
            index: index as u64,
            rng: fastrand::Rng::with_seed(seed ^ SEED_SALT ^ (index as u64) << 24),
            begin,
            end: begin + scenario.duration,
        };
        spawn_local(source.run());
    }
    spawn_local(submit_fixed_time_jobs(
        clients.clone(),
        scenario.jobs.clone(),
        begin,
    ));
}

/// Submits the jobs of one workload.
struct WorkloadSource {
    fleet: Rc<Fleet>,
    clients: Rc<Clients>,
    workload: Workload,
    index: u64,
    rng: fastrand::Rng,
    begin: Instant,
    end: Instant,
}

impl WorkloadSource {
    async fn run(mut self) {
        let mut at = self.begin;
        let mut number = 0;
        loop {
            at += self.draw_interarrival_time();
            if at >= self.end {
                return;
            }
            sleep_until(at).await;
            number += 1;
            let job = self.draw_job(at);
            let task = self.index << WORKLOAD_SHIFT | number;
            self.clients.groups[job.controller].submit(job, task);
        }
    }

    /// Draws the time to the next arrival of a Poisson process.
    fn draw_interarrival_time(&mut self) -> Duration {
        let rate = self.workload.rate * self.fleet.rate_factor.get();
        Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate)
    }

    fn draw_job(&mut self, at: Instant) -> JobArrival {
        let workload = &self.workload;
        // A change in the order of the draws would change the run of every seed.
        let controller = self.rng.usize(0..self.clients.groups.len());
        let run_time_factor = Workload::draw_run_time_factor(&mut self.rng);
        let service = self.rng.u64(0..workload.services);
        workload.job(at - self.begin, service, run_time_factor, controller)
    }
}

async fn submit_fixed_time_jobs(clients: Rc<Clients>, mut jobs: Vec<JobArrival>, begin: Instant) {
    jobs.sort_by_key(|job| job.at);
    for (index, job) in jobs.into_iter().enumerate() {
        sleep_until(begin + job.at).await;
        let group = &clients.groups[job.controller % clients.groups.len()];
        group.submit(job, FIXED_TIME_JOB | index as u64);
    }
}
