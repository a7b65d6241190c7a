//! `peppercove demo`: submits a burst of jobs through the DRMAA client and prints a table of their outcomes.

use crate::logging::log_to_stderr;
use crate::settings::default_config;
use crate::tables::new_table;
use anyhow::{Result, ensure};
use peppercove_config::LogFormat;
use peppercove_day::cluster::Cluster;
use peppercove_drmaa::{JobTemplate, PlacementOutcome, Session};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Fake nodes of the cluster.
const NODES: usize = 6;
/// The longest wait for the placement of a job.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest wait for the end of a job.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// Submits `jobs` jobs to a small cluster on loopback, waits until they have ended and prints a table.
pub fn run(jobs: usize, is_verbose: bool) -> Result<ExitCode> {
    if is_verbose {
        log_to_stderr(LogFormat::Text, "info");
    }
    let config = default_config()?;
    let classes = config.classes.clone();
    let cluster = Cluster::start(config, NODES, |spec| spec)?;
    println!(
        "a controller on {}, {NODES} fake nodes, all on loopback",
        cluster.contact
    );
    let session = Session::init(&cluster.contact.to_string())?;
    let started = Instant::now();
    let jobs = submit(&session, &classes, jobs)?;
    let outcomes = wait_for_all(&session, &jobs)?;
    session.exit()?;
    print_table(&outcomes);
    println!(
        "{} jobs in {:.1} s",
        jobs.len(),
        started.elapsed().as_secs_f64()
    );
    let answered: usize = outcomes.values().map(ClassOutcomes::answered).sum();
    ensure!(
        answered == jobs.len(),
        "only {answered} of {} jobs were answered",
        jobs.len()
    );
    Ok(ExitCode::SUCCESS)
}

struct SubmittedJob {
    class: String,
    job: String,
    submitted_at: Instant,
}

fn submit(session: &Session, classes: &[String], jobs: usize) -> Result<Vec<SubmittedJob>> {
    let mut submitted = Vec::new();
    for i in 0..jobs {
        // Most jobs are of the classes fill and render; updates are rare and need more resources.
        let class = &classes[if i % 16 == 15 { 2 } else { i % 2 }];
        let mut template = JobTemplate::default();
        let mut set =
            |name: &str, value: &str| template.attributes.insert(name.into(), value.into());
        set("drmaa_remote_command", "sleep");
        set("drmaa_job_category", class);
        set("drmaa_job_name", &format!("{class}-{}", i % 5));
        set("drmaa_native_specification", "life=300ms");
        let (job, class) = (session.run_job(&template)?, class.clone());
        submitted.push(SubmittedJob {
            class,
            job,
            submitted_at: Instant::now(),
        });
    }
    Ok(submitted)
}

/// The outcomes of the jobs of one class.
#[derive(Default)]
struct ClassOutcomes {
    jobs: usize,
    placed: usize,
    rejected: usize,
    failed: usize,
    /// Jobs that ended with exit status 0.
    succeeded: usize,
    slowest_answer: Duration,
}

impl ClassOutcomes {
    fn count(&mut self, outcome: PlacementOutcome, delay: Duration) {
        self.jobs += 1;
        self.slowest_answer = self.slowest_answer.max(delay);
        match outcome {
            PlacementOutcome::Placed => self.placed += 1,
            PlacementOutcome::Refused => self.rejected += 1,
            PlacementOutcome::Failed | PlacementOutcome::Withdrawn => self.failed += 1,
        }
    }

    fn answered(&self) -> usize {
        self.placed + self.rejected + self.failed
    }
}

/// Waits until all jobs have ended; returns the outcomes by class.
fn wait_for_all(
    session: &Session,
    jobs: &[SubmittedJob],
) -> Result<BTreeMap<String, ClassOutcomes>> {
    let mut outcomes: BTreeMap<String, ClassOutcomes> = BTreeMap::new();
    for SubmittedJob {
        class,
        job,
        submitted_at,
    } in jobs
    {
        let outcome = session.outcome(job, Some(PLACEMENT_TIMEOUT))?.outcome;
        outcomes
            .entry(class.clone())
            .or_default()
            .count(outcome, submitted_at.elapsed());
    }
    for SubmittedJob { class, job, .. } in jobs {
        let ended = session.wait(job, Some(END_TIMEOUT))?;
        if ended.exit_status == Some(0) {
            outcomes.entry(class.clone()).or_default().succeeded += 1;
        }
    }
    Ok(outcomes)
}

fn print_table(outcomes: &BTreeMap<String, ClassOutcomes>) {
    let mut table = new_table([
        "class",
        "jobs",
        "placed",
        "refused",
        "failed",
        "ended with 0",
        "slowest answer",
    ]);
    for (class, of_class) in outcomes {
        table.add_row([
            class.clone(),
            of_class.jobs.to_string(),
            of_class.placed.to_string(),
            of_class.rejected.to_string(),
            of_class.failed.to_string(),
            of_class.succeeded.to_string(),
            format!("{:.0} ms", of_class.slowest_answer.as_secs_f64() * 1e3),
        ]);
    }
    println!("{table}");
}
