//! Runs a scenario on sockets: starts the fleet on loopback, submits jobs, injects faults, and audits the captured
//! traffic.

mod arrivals;
mod controllers;
mod faults;
mod fleet;

use crate::clients::Clients;
use fleet::Fleet;
use peppercove_audit::Event;
use peppercove_controller::StartError;
use peppercove_core::Counters;
use peppercove_kernel::ScenarioReport;
use peppercove_kernel::report::RunRecord;
use peppercove_kernel::scenario::Scenario;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Interval at which the run checks whether all requests are answered.
const WIND_DOWN_POLL: Duration = Duration::from_millis(20);

/// Interval between two measurements of scheduling delay.
const STALL_PROBE_INTERVAL: Duration = Duration::from_millis(2);

/// Minimum delay from a proxy to the controller that the audit allows for, in microseconds.
const MIN_OBSERVATION_DELAY: u64 = 1_000;

/// Why a scenario could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A socket, file, process or the runtime could not be created, or a task of the run failed.
    #[error("cannot run the scenario: {0}")]
    Io(#[from] io::Error),
    /// A controller did not start.
    #[error("cannot start a controller: {0}")]
    Start(#[from] StartError),
}

/// How the controllers of a scenario run.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Directory for the recordings of the controllers and the captured traffic; `None`: nothing is written.
    pub records: Option<PathBuf>,
    /// Program that runs each controller as a process (`PROGRAM controller --config FILE --set ...`); `None`: in this
    /// process.
    pub program: Option<PathBuf>,
}

/// Runs a scenario in the calling thread, on a new runtime.
///
/// # Errors
/// [`RunError`] if a socket, file or process cannot be created or a controller does not start.
pub fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    options: &RunOptions,
) -> Result<ScenarioReport, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let report = local.block_on(&runtime, run(scenario, seed, options));
    drop(local);
    report
}

async fn run(
    scenario: &Scenario,
    seed: u64,
    options: &RunOptions,
) -> Result<ScenarioReport, RunError> {
    let fleet = Rc::new(Fleet::start(scenario, seed, options).await?);
    fleet.wait_until_connected().await;
    let longest_stall = Rc::new(Cell::new(0));
    spawn_local(measure_stalls(longest_stall.clone()));
    let begin = Instant::now();
    let end = begin + scenario.duration;
    let clients = Rc::new(Clients::start(
        scenario,
        &fleet.client_addresses(),
        end,
        seed,
    ));
    let faults = spawn_faults(&fleet, scenario, seed, begin);
    arrivals::spawn(&fleet, &clients, scenario, seed, begin);
    sleep_until(end).await;
    for fault in faults {
        if fault.await.is_err() {
            return Err(io::Error::other("the task of a fault panicked").into());
        }
    }
    wait_until_answered(&clients, scenario.max_wind_down).await;
    let events = fleet.capture_log.take();
    if let Some(directory) = &options.records {
        let file = directory.join(format!("taps-{}-{seed}.txt", scenario.name));
        write_captured_events(&file, &events)?;
    }
    let stall = longest_stall.get();
    Ok(report(scenario, seed, &fleet, &clients, &events, stall))
}

fn spawn_faults(
    fleet: &Rc<Fleet>,
    scenario: &Scenario,
    seed: u64,
    begin: Instant,
) -> Vec<JoinHandle<()>> {
    let faults = scenario.faults.iter().enumerate();
    faults
        .map(|(index, fault)| {
            let rng = fastrand::Rng::with_seed(seed ^ 0xfau64 ^ (index as u64) << 16);
            spawn_local(faults::run(fleet.clone(), fault.clone(), begin, rng))
        })
        .collect()
}

async fn wait_until_answered(clients: &Clients, at_most: Duration) {
    let last = Instant::now() + at_most;
    while clients.open_requests() > 0 && Instant::now() < last {
        sleep(WIND_DOWN_POLL).await;
    }
}

/// Writes captured events to a file, one per line: seconds, then the observation in `Debug` format.
///
/// # Errors
/// If the file cannot be written.
pub fn write_captured_events(file: &Path, events: &[Event]) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(file)?);
    for event in events {
        let seconds = event.at as f64 / 1e6;
        writeln!(out, "{seconds:.6} {:?}", event.observation)?;
    }
    out.flush()
}

fn report(
    scenario: &Scenario,
    seed: u64,
    fleet: &Fleet,
    clients: &Clients,
    events: &[Event],
    stall: u64,
) -> ScenarioReport {
    let mut counters = Counters::default();
    for controller in &fleet.controllers {
        for counted in controller.counters() {
            counters = counters.plus(&counted);
        }
    }
    let tally = clients.tally.borrow();
    let run = RunRecord {
        scenario,
        seed,
        events,
        fleet: &fleet.state,
        tally: &tally,
        counters,
        stall,
        // A stall of this thread delays messages between a proxy and the controller by as much.
        observation_delay: stall.max(MIN_OBSERVATION_DELAY),
        unanswered_requests: clients.open_requests(),
        hazards: BTreeMap::new(),
    };
    run.into()
}

/// Measures the longest time by which this thread woke up late, in microseconds. No timer of the run is more accurate.
async fn measure_stalls(longest: Rc<Cell<u64>>) {
    loop {
        let due = Instant::now() + STALL_PROBE_INTERVAL;
        sleep_until(due).await;
        let stall = due.elapsed().as_micros() as u64;
        longest.set(longest.get().max(stall));
    }
}
