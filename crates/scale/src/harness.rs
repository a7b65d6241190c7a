//! What the harnesses of roles without sockets share: simulated time, the arrival of tasks and of list changes, and what is
//! recorded.
//!
//! A harness drives one part of the program, such as the platform engine, and simulates everything that talks to it. It
//! implements [`Harness`] for what is particular to that part; the order in which things happen is here.

use crate::error::MeasureError;
use crate::row::{Figure, Sizes};
use crate::timings::Timings;
use crate::workload::SIMULATION_START;
use crate::workload::cluster::Cluster;
use crate::workload::run_length::RunLength;
use peppercove::Micros;
use peppercove_core::Timers;
use std::time::Instant;

/// Far beyond the end of every run, microseconds.
const NEVER: Micros = Micros::MAX / 2;

/// A span of simulated time that no run exceeds, microseconds.
const UNLIMITED: Micros = Micros::MAX / 4;

/// Something that happens in simulated time.
#[derive(Debug)]
enum Occurrence<D> {
    TaskArrives,
    ListChanges,
    /// Something particular to the harness, such as a message that arrives.
    Delivery(D),
}

/// The state that every harness has. `D` is what its simulated peers deliver.
pub struct Simulation<D> {
    /// The cluster around the part under test.
    pub cluster: Cluster,
    /// Processor time of the part under test.
    pub timings: Timings,
    /// Simulated time, microseconds.
    pub now: Micros,
    /// Whether each task that comes is of a service that was not there before.
    pub only_new_services: bool,
    timers: Timers<Occurrence<D>>,
    started: u64,
}

impl<D> Simulation<D> {
    /// The beginning of simulated time.
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

    /// The sizes of the point.
    pub fn sizes(&self) -> &Sizes {
        &self.cluster.sizes
    }

    /// Runs `work` with the current time; its processor time counts as an event of this kind.
    pub fn time_event<T>(&mut self, kind: &'static str, work: impl FnOnce(Micros) -> T) -> T {
        let now = self.now;
        let (result, nanos) = self.timings.time(|| work(now));
        self.timings.record(kind, nanos);
        result
    }

    /// Lets something happen after `delay` microseconds.
    pub fn deliver_after(&mut self, delay: Micros, delivery: D) {
        self.timers
            .schedule(self.now + delay, Occurrence::Delivery(delivery));
    }

    /// Lets something happen at a time.
    pub fn deliver_at(&mut self, at: Micros, delivery: D) {
        self.timers.schedule(at, Occurrence::Delivery(delivery));
    }

    fn schedule_next_change(&mut self) {
        let wait = self.cluster.until_next_change().unwrap_or(NEVER);
        self.timers
            .schedule(self.now + wait, Occurrence::ListChanges);
    }
}

/// When a run ends: as soon as one of these is reached.
#[derive(Clone, Copy, Debug)]
pub struct RunLimits {
    /// Simulated time that passes, microseconds.
    pub span: Micros,
    /// Tasks that come.
    pub starts: u64,
    /// Wall time.
    pub deadline: Option<Instant>,
}

impl RunLimits {
    /// Runs for a span of simulated time, microseconds.
    pub fn span(span: Micros) -> RunLimits {
        RunLimits {
            span,
            starts: u64::MAX,
            deadline: None,
        }
    }

    /// Runs until so many more tasks have come, or until the wall-clock deadline.
    pub fn starts(starts: u64, deadline: Option<Instant>) -> RunLimits {
        RunLimits {
            span: UNLIMITED,
            starts,
            deadline,
        }
    }
}

/// A part of the program with its simulated peers.
pub trait Harness {
    /// What the simulated peers deliver.
    type Delivery;

    /// A full list of the nodes, as it is sent.
    type List;

    /// The shared state.
    fn simulation(&mut self) -> &mut Simulation<Self::Delivery>;

    /// When the part under test wants to be called by itself.
    fn next_wake(&self) -> Option<Micros>;

    /// Calls the part under test by itself, at the time that it requested.
    ///
    /// # Errors
    /// Those of the part under test.
    fn tick(&mut self, due: Micros) -> Result<(), MeasureError>;

    /// A task comes; once more run than the sizes say, the oldest ends.
    ///
    /// # Errors
    /// Where a message cannot be read.
    fn start_task(&mut self) -> Result<(), MeasureError>;

    /// The list entry of one node changes.
    ///
    /// # Errors
    /// Where a message cannot be read.
    fn change_list(&mut self) -> Result<(), MeasureError>;

    /// Something that a simulated peer scheduled happens.
    ///
    /// # Errors
    /// Where a message cannot be read.
    fn deliver(&mut self, delivery: Self::Delivery) -> Result<(), MeasureError>;

    /// A full list with the nodes as they are now.
    ///
    /// # Errors
    /// Where it is longer than may be sent.
    fn full_list(&mut self) -> Result<Self::List, MeasureError>;

    /// A full list comes; `kind` is the kind of event that its time counts as.
    ///
    /// # Errors
    /// Where the list cannot be read.
    fn receive_full_list(
        &mut self,
        kind: &'static str,
        list: Self::List,
    ) -> Result<(), MeasureError>;

    /// What was counted since the last [`Harness::reset_counts`].
    fn counted(&self) -> Vec<Figure>;

    /// Forgets what was counted so far.
    fn reset_counts(&mut self);

    /// Runs until one of the limits is reached, or until nothing more happens.
    ///
    /// # Errors
    /// Where a message cannot be read.
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
                Some(occurrence) => apply(self, occurrence)?,
                None => self.tick(due)?,
            }
        }
        Ok(())
    }

    /// Lets tasks and list changes come from now on, the first tasks all of new services, and forgets what was counted
    /// before.
    ///
    /// # Errors
    /// Where a message cannot be read.
    fn warm_up(&mut self, length: &RunLength) -> Result<(), MeasureError> {
        let simulation = self.simulation();
        simulation
            .timers
            .schedule(simulation.now + 1, Occurrence::TaskArrives);
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
    occurrence: Occurrence<H::Delivery>,
) -> Result<(), MeasureError> {
    let simulation = harness.simulation();
    match occurrence {
        Occurrence::TaskArrives => {
            let wait = simulation.cluster.until_next_task();
            simulation
                .timers
                .schedule(simulation.now + wait, Occurrence::TaskArrives);
            simulation.started += 1;
            harness.start_task()
        }
        Occurrence::ListChanges => {
            simulation.schedule_next_change();
            harness.change_list()
        }
        Occurrence::Delivery(delivery) => harness.deliver(delivery),
    }
}
