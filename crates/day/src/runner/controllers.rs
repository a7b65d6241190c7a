//! Starts and kills the controllers of a scenario, within this process or as child processes.

use super::RunError;
use crate::capturing_proxy::{CaptureLog, CapturingProxy};
use peppercove::PlacementAck;
use peppercove_audit::Observation;
use peppercove_config::Config;
use peppercove_controller::Controller;
use peppercove_core::Counters;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};

/// Prefix of the line with its address that a controller prints when it is ready.
const READY_PREFIX: &str = "listening ";

/// A running controller.
enum RunningController {
    /// Runs within this process.
    InProcess(Box<Controller>),
    /// Runs as a child process, which is killed when this is dropped.
    Process(Child),
}

/// One controller of a scenario, and how to start it again.
pub(super) struct ManagedController {
    config: Config,
    /// `None`: it runs within this process.
    command: Option<ControllerCommand>,
    running: RefCell<Option<RunningController>>,
    /// Proxy in front of its listener for clients.
    pub(super) proxy: CapturingProxy,
    /// Counters of the killed incarnations.
    killed_counters: RefCell<Vec<Counters>>,
}

impl ManagedController {
    pub(super) fn new(
        config: Config,
        command: Option<ControllerCommand>,
        proxy: CapturingProxy,
    ) -> ManagedController {
        ManagedController {
            config,
            command,
            running: RefCell::default(),
            proxy,
            killed_counters: RefCell::default(),
        }
    }

    /// Kills the controller and closes the connections of its clients. No new ones are accepted until it is started.
    pub(super) fn kill(&self, log: &CaptureLog) {
        let Some(running) = self.running.borrow_mut().take() else {
            return;
        };
        let controller = self.config.name.clone();
        log.record(Observation::Killed { controller });
        match running {
            RunningController::InProcess(controller) => {
                let counters = controller.status().counters;
                self.killed_counters.borrow_mut().push(counters);
            }
            // Sends SIGKILL.
            RunningController::Process(mut child) => drop(child.start_kill()),
        }
        self.proxy.set_blocked(true);
    }

    /// Starts the controller and lets its clients connect.
    pub(super) async fn start(&self, log: &CaptureLog) -> Result<(), RunError> {
        let controller = self.config.name.clone();
        log.record(Observation::Started { controller });
        let (running, address) = match &self.command {
            Some(command) => {
                let (child, address) = command.start().await?;
                (RunningController::Process(child), address)
            }
            None => {
                let controller = Controller::start(self.config.clone()).await?;
                let address = controller.address();
                (RunningController::InProcess(Box::new(controller)), address)
            }
        };
        self.proxy.set_target(address);
        self.proxy.set_blocked(false);
        *self.running.borrow_mut() = Some(running);
        Ok(())
    }

    /// Whether it is connected to this number of nodes. The state of a child process is not known: it counts as
    /// connected when at least `all` handshakes have been observed over all controllers and nodes.
    pub(super) fn is_connected(&self, nodes: usize, handshakes: usize, all: usize) -> bool {
        match self.running.borrow().as_ref() {
            Some(RunningController::InProcess(controller)) => {
                controller.status().connected_nodes == nodes
            }
            Some(RunningController::Process(_)) => handshakes >= all,
            None => false,
        }
    }

    /// Counters of all incarnations that ran within this process; those of child processes are not known.
    pub(super) fn counters(&self) -> Vec<Counters> {
        let mut counters = self.killed_counters.borrow().clone();
        match self.running.borrow().as_ref() {
            Some(RunningController::InProcess(controller)) => {
                counters.push(controller.status().counters);
            }
            Some(RunningController::Process(_)) | None => {}
        }
        counters
    }
}

/// The command that runs a controller as a child process.
pub(super) struct ControllerCommand {
    program: PathBuf,
    settings: PathBuf,
    /// Settings that are overridden, as `PATH=VALUE`.
    overrides: Vec<String>,
}

impl ControllerCommand {
    pub(super) fn new(program: PathBuf, settings: PathBuf, config: &Config) -> ControllerCommand {
        let path = |path: &Option<PathBuf>| path.as_ref().map(|path| path.display().to_string());
        let scheduler = &config.scheduler;
        let confirms = match scheduler.placement_ack {
            PlacementAck::Accepted => "accepted",
            PlacementAck::Running => "running",
        };
        let values = [
            ("controller/name", Some(config.name.clone())),
            ("controller/clients", Some("127.0.0.1:0".into())),
            ("controller/number", Some(scheduler.own_index.to_string())),
            ("controller/of", Some(scheduler.schedulers.to_string())),
            ("controller/seed", config.seed.map(|seed| seed.to_string())),
            ("controller/journal", path(&config.journal_path)),
            ("controller/record", path(&config.record_path)),
            (
                "node-list/address",
                Some(config.network.node_list.to_string()),
            ),
            ("nodes/confirms", Some(confirms.into())),
            (
                "nodes/preempts",
                Some(scheduler.allows_preemption.to_string()),
            ),
            ("nodes/probes", Some(scheduler.can_probe.to_string())),
        ];
        let overrides = values
            .into_iter()
            .filter_map(|(path, value)| Some(format!("{path}={}", value?)));
        ControllerCommand {
            program,
            settings,
            overrides: overrides.collect(),
        }
    }

    /// Starts the process and waits until it prints the address that it listens on.
    async fn start(&self) -> io::Result<(Child, SocketAddr)> {
        let mut command = self.command(&self.program);
        let mut child = command.spawn()?;
        let stdout = child.stdout.take();
        let stdout = stdout.ok_or_else(|| {
            io::Error::other("the standard output of the controller is not captured")
        })?;
        let address = read_address(stdout).await?;
        Ok((child, address))
    }

    fn command(&self, program: &Path) -> Command {
        let mut command = Command::new(program);
        command
            .arg("controller")
            .arg("--config")
            .arg(&self.settings);
        for value in &self.overrides {
            command.arg("--set").arg(value);
        }
        command
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true);
        command
    }
}

async fn read_address(stdout: ChildStdout) -> io::Result<SocketAddr> {
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).await?;
    let line = line.trim();
    let address = line.strip_prefix(READY_PREFIX);
    address
        .and_then(|address| address.parse().ok())
        .ok_or_else(|| {
            io::Error::other(format!(
                "expected 'listening ADDRESS' from the controller, found '{line}'"
            ))
        })
}
