//! The discrete-event simulation shared by the harnesses of roles without sockets: simulated time, the arrival of tasks
//! and list changes, and the recorded timings.
//!
//! A harness drives one component, such as the platform engine, and simulates everything that communicates with it. It
//! implements [`Harness`] with the specifics of that component; the event loop is in this module.

use crate::error::MeasureError;
use crate::row::{Figure, Sizes};
use crate::timings::Timings;
use crate::workload::SIMULATION_START;
use crate::workload::cluster::Cluster;
use crate::workload::run_length::RunLength;
use peppercove::Micros;
use peppercove_core::Timers;
use std::time::Instant;

/// A delay beyond the end of every run, in microseconds.
const NEVER: Micros = Micros::MAX / 2;

/// A span of simulated time that no run exceeds, in microseconds.
const UNLIMITED: Micros = Micros::MAX / 4;

/// An event in simulated time.
#[derive(Debug)]
enum SimulationEvent<D> {
    TaskArrives,
    ListChanges,
    /// An event specific to the harness, such as the arrival of a message.
    Delivery(D),
}

/// The state shared by all harnesses. `D` is the type of what the simulated peers deliver.
pub struct Simulation<D> {
    /// The simulated cluster.
    pub cluster: Cluster,
    /// CPU time of the component under test.
    pub timings: Timings,
    /// Current simulated time in microseconds.
    pub now: Micros,
    /// Whether every arriving task belongs to a new service.
    pub only_new_services: bool,
    timers: Timers<SimulationEvent<D>>,
    started: u64,
}

impl<D> Simulation<D> {
    /// Creates a simulation at the start of simulated time.
    ///
    /// # Errors
    /// As [`Timings::new`].
    pub fn new(cluster: Cluster) -> Result<Simulation<D>, MeasureError> {
        Ok(Simulation {
            cluster,
            timings: Timings::new()?,
            now: SIMULATION_START,
            only_new_services: false,
            timers: Timers::default(),
            started: 0,
        })
    }

    /// Returns the sizes of the point.
    pub fn sizes(&self) -> &Sizes {
        &self.cluster.sizes
    }

    /// Runs `work` with the current simulated time and records its CPU time as an event of this kind.
    pub fn time_event<T>(&mut self, kind: &'static str, work: impl FnOnce(Micros) -> T) -> T {
        let now = self.now;
        let (result, nanos) = self.timings.time(|| work(now));
        self.timings.record(kind, nanos);
        result
    }

    /// Schedules a delivery after `delay` microseconds.
    pub fn deliver_after(&mut self, delay: Micros, delivery: D) {
        self.timers
            .schedule(self.now + delay, SimulationEvent::Delivery(delivery));
    }

    /// Schedules a delivery at a point in simulated time.
    pub fn deliver_at(&mut self, at: Micros, delivery: D) {
        self.timers
            .schedule(at, SimulationEvent::Delivery(delivery));
    }

    fn schedule_next_change(&mut self) {
        let wait = self.cluster.until_next_change().unwrap_or(NEVER);
        self.timers
            .schedule(self.now + wait, SimulationEvent::ListChanges);
    }
}

/// The limits of a run, which ends when the first of them is reached.
#[derive(Clone, Copy, Debug)]
pub struct RunLimits {
    /// Simulated time in microseconds.
    pub span: Micros,
    /// Number of arriving tasks.
    pub starts: u64,
    /// Wall-clock deadline.
    pub deadline: Option<Instant>,
}

impl RunLimits {
    /// Limits a run to a span of simulated time in microseconds.
    pub fn span(span: Micros) -> RunLimits {
        RunLimits {
            span,
            starts: u64::MAX,
            deadline: None,
        }
    }

    /// Limits a run to this many more task arrivals and to a wall-clock deadline.
    pub fn starts(starts: u64, deadline: Option<Instant>) -> RunLimits {
        RunLimits {
            span: UNLIMITED,
            starts,
            deadline,
        }
    }
}

/// A component under test with its simulated peers.
pub trait Harness {
    /// The events that the simulated peers deliver.
    type Delivery;

    /// An encoded full node list.
    type List;

    /// Returns the shared state.
    fn simulation(&mut self) -> &mut Simulation<Self::Delivery>;

    /// Returns the time of the next timer of the component under test.
    fn next_wake(&self) -> Option<Micros>;

    /// Fires the timer of the component under test that is due at `due`.
    ///
    /// # Errors
    /// Errors of the component under test.
    fn tick(&mut self, due: Micros) -> Result<(), MeasureError>;

    /// Starts a task. If more tasks run than [`Sizes::running_tasks`], the oldest ones end.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    fn start_task(&mut self) -> Result<(), MeasureError>;

    /// Changes the list entry of one node.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    fn change_list(&mut self) -> Result<(), MeasureError>;

    /// Delivers what a simulated peer scheduled.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    fn deliver(&mut self, delivery: Self::Delivery) -> Result<(), MeasureError>;

    /// Returns a full list of the nodes in their current state.
    ///
    /// # Errors
    /// If the list exceeds the maximum frame length.
    fn full_list(&mut self) -> Result<Self::List, MeasureError>;

    /// Delivers a full list. Its time is recorded as an event of `kind`.
    ///
    /// # Errors
    /// If the list cannot be decoded.
    fn receive_full_list(
        &mut self,
        kind: &'static str,
        list: Self::List,
    ) -> Result<(), MeasureError>;

    /// Returns the figures counted since the last [`Harness::reset_counts`].
    fn counted(&self) -> Vec<Figure>;

    /// Resets the counters.
    fn reset_counts(&mut self);

    /// Runs the event loop until one of the limits is reached or no events are left.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    fn run(&mut self, limits: RunLimits) -> Result<(), MeasureError> {
        let simulation = self.simulation();
        let end = simulation.now.saturating_add(limits.span);
        let last_start = simulation.started.saturating_add(limits.starts);
        while self.simulation().started < last_start
            && limits
                .deadline
                .is_none_or(|deadline| Instant::now() < deadline)
        {
            let wake = self.next_wake();
            let simulation = self.simulation();
            let next = simulation
                .timers
                .next_deadline()
                .into_iter()
                .chain(wake)
                .min();
            let Some(due) = next.filter(|due| *due <= end) else {
                simulation.now = end;
                return Ok(());
            };
            simulation.now = simulation.now.max(due);
            match simulation.timers.pop_due(simulation.now) {
                Some(event) => apply(self, event)?,
                None => self.tick(due)?,
            }
        }
        Ok(())
    }

    /// Starts the arrival of tasks and list changes, runs the warm-up, in which every task belongs to a new service,
    /// and resets the counters.
    ///
    /// # Errors
    /// If a message cannot be decoded.
    fn warm_up(&mut self, length: &RunLength) -> Result<(), MeasureError> {
        let simulation = self.simulation();
        simulation
            .timers
            .schedule(simulation.now + 1, SimulationEvent::TaskArrives);
        simulation.schedule_next_change();
        simulation.only_new_services = true;
        let deadline = Some(length.warm_up_deadline());
        self.run(RunLimits::starts(length.warm_up_starts, deadline))?;
        self.simulation().only_new_services = false;
        self.reset_counts();
        Ok(())
    }
}

fn apply<H: Harness + ?Sized>(
    harness: &mut H,
    event: SimulationEvent<H::Delivery>,
) -> Result<(), MeasureError> {
    let simulation = harness.simulation();
    match event {
        SimulationEvent::TaskArrives => {
            let wait = simulation.cluster.until_next_task();
            simulation
                .timers
                .schedule(simulation.now + wait, SimulationEvent::TaskArrives);
            simulation.started += 1;
            harness.start_task()
        }
        SimulationEvent::ListChanges => {
            simulation.schedule_next_change();
            harness.change_list()
        }
        SimulationEvent::Delivery(delivery) => harness.deliver(delivery),
    }
}
