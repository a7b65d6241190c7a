//! A scenario: the nodes and controllers, the workload, and the faults over time. Scenario files are XML.

mod elements;
mod fault_kind;
mod fault_target;
mod parse;

pub use elements::SCENARIO_ELEMENT;
pub use fault_kind::FaultKind;
pub use fault_target::{FaultTarget, draw_share};

use peppercove_config::{Config, ConfigError};
use peppercove_standins::node_model::{ClassFault, Faults, NodeSpec};
use std::path::PathBuf;
use std::time::Duration;

/// Jobs of one class that arrive at random times.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name of the class.
    pub class: String,
    /// Mean arrival rate over all controllers, in jobs per second.
    pub rate: f64,
    /// Mean run time.
    pub mean_run_time: Duration,
    /// Number of services that the jobs are spread over.
    pub services: u64,
    /// Requested cores of a job; those of its class if `None`.
    pub cores: Option<f64>,
    /// Requested memory of a job; that of its class if `None`.
    pub memory: Option<f64>,
    /// Name of the tenant.
    pub tenant: Option<String>,
}

impl Workload {
    /// Returns a job of the workload. Its service and its run time, as a multiple of the mean, were drawn at random.
    pub fn job(
        &self,
        at: Duration,
        service: u64,
        run_time_factor: f64,
        controller: usize,
    ) -> JobArrival {
        JobArrival {
            at,
            class: self.class.clone(),
            service: format!("{}-{service}", self.class),
            run_time: self.mean_run_time.mul_f64(run_time_factor),
            cores: self.cores,
            memory: self.memory,
            tenant: self.tenant.clone(),
            controller,
        }
    }

    /// Draws the run time of a job as a multiple of the mean: 0.3 and an exponentially distributed part with mean 0.7.
    pub fn draw_run_time_factor(rng: &mut fastrand::Rng) -> f64 {
        0.3 - 0.7 * (1.0 - rng.f64()).ln()
    }
}

/// A job and the time of its submission.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// Time from the beginning of the scenario.
    pub at: Duration,
    /// Name of the class.
    pub class: String,
    /// Name of the service.
    pub service: String,
    /// Run time.
    pub run_time: Duration,
    /// Requested cores; those of its class if `None`.
    pub cores: Option<f64>,
    /// Requested memory; that of its class if `None`.
    pub memory: Option<f64>,
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Index of the controller to which it is submitted.
    pub controller: usize,
}

/// A fault: what goes wrong, when, and where.
#[derive(Clone, Debug)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time at which it begins, from the beginning of the scenario.
    pub at: Duration,
    /// Time from its beginning to its end.
    pub duration: Duration,
    /// Nodes or controllers that it affects.
    pub target: FaultTarget,
    /// Index of the class, for kinds of faults that affect one class.
    pub class: u16,
    /// Size of the effect: a share, a multiple or a number of seconds, depending on the kind.
    pub magnitude: f64,
}

impl Fault {
    /// Begins or ends the fault on a node, if its kind changes the behaviour of nodes; other kinds have no effect here.
    pub fn apply_to(&self, faults: &mut Faults, active: bool) {
        let magnitude = if active { self.magnitude } else { 0.0 };
        let mut set_class_fault = |fault| match active {
            true => faults.failing_classes.insert(self.class, fault),
            false => faults.failing_classes.remove(&self.class),
        };
        match self.kind {
            FaultKind::Hang => faults.hangs = active,
            FaultKind::MessageLoss => faults.message_loss = magnitude,
            FaultKind::NeverConfirms => faults.never_confirms = active,
            FaultKind::ClassError => drop(set_class_fault(ClassFault::Error)),
            FaultKind::ClassSilence => drop(set_class_fault(ClassFault::Silence)),
            FaultKind::FalseRejections => faults.false_rejections = magnitude,
            FaultKind::Slowdown => faults.speed_loss_per_second = magnitude,
            FaultKind::LateReports => faults.extra_report_delay = (magnitude * 1e6) as u64,
            FaultKind::ForeignLoad => faults.foreign_load = magnitude,
            FaultKind::DuplicateMessages => faults.duplicates_messages = active,
            FaultKind::UnknownAttempts => faults.reports_unknown_attempts = active,
            FaultKind::Dies
            | FaultKind::Restarts
            | FaultKind::Drains
            | FaultKind::Flush
            | FaultKind::Disconnect
            | FaultKind::DisconnectMidFrame
            | FaultKind::Partition
            | FaultKind::ListDown
            | FaultKind::ListStale
            | FaultKind::ControllerKilled
            | FaultKind::Burst
            | FaultKind::ClientGone
            | FaultKind::ClientFlood
            | FaultKind::ClientHalfLine
            | FaultKind::ClientInvalidCalls => {}
        }
    }
}

/// A scenario that was parsed and validated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// How long jobs are submitted.
    pub duration: Duration,
    /// Maximum time after `duration` for which the run continues until all jobs are answered.
    pub max_wind_down: Duration,
    /// Seed of all random draws.
    pub seed: u64,
    /// Settings of the controllers as XML, for controllers that run as processes.
    pub settings_xml: String,
    /// Settings that all controllers share, without names, indices and sockets.
    pub config: Config,
    /// Number of controllers.
    pub controllers: usize,
    /// Whether the controllers keep a journal.
    pub journal: bool,
    /// Share of the clients with keyed and non-idempotent tasks that fail over when they lose their controller.
    pub client_failover_share: f64,
    /// Delay from a change of a node to its publication by the node list.
    pub list_delay: Duration,
    /// Interval at which the node list reads the free resources of the nodes.
    pub list_refresh_interval: Duration,
    /// The nodes.
    pub nodes: Vec<NodeSpec>,
    /// Jobs that arrive at random times.
    pub workloads: Vec<Workload>,
    /// Jobs that are submitted at fixed times.
    pub jobs: Vec<JobArrival>,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Returns the settings of one controller, without sockets and files.
    pub fn controller_config(&self, seed: u64, index: usize) -> Config {
        let mut config = self.config.clone();
        config.name = format!("controller-{index}");
        config.seed = Some(seed.wrapping_mul(1000) + index as u64);
        config.scheduler.schedulers = self.controllers as u32;
        config.scheduler.own_index = index as u32;
        config
    }
}

/// Why a scenario could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The scenario itself is invalid.
    #[error("{0}")]
    Invalid(#[from] ConfigError),
    /// The settings file cannot be read.
    #[error("settings {path}: {source}")]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error("settings {path}:\n{source}")]
    InvalidSettings {
        /// The file.
        path: PathBuf,
        /// Problems in the file.
        source: ConfigError,
    },
}
