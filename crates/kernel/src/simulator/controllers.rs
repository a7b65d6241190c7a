//! Controllers: starting and killing their processes, and executing the outputs of their cores.

use super::Simulator;
use super::connections::{End, NodeLink};
use super::events::{ProcessId, SimEvent};
use super::node_list::Subscription;
use crate::scenario::Scenario;
use peppercove::{Micros, NodeId};
use peppercove_audit::Observation;
use peppercove_config::Config;
use peppercove_core::attempt_log::JournalEntry;
use peppercove_core::{Core, Counters, Decide, Input, Output};
use peppercove_exchange::{Backoff, core_limits};
use peppercove_protocol::node::ProcessIdentity;
use std::collections::{BTreeMap, VecDeque};

/// Wall-clock time of the controllers at the beginning of simulated time, in microseconds since 1970.
const WALL_CLOCK_START: Micros = 1_700_000_000_000_000;

/// A controller: the state that outlives its process, and the process.
pub(super) struct Controller {
    pub(super) config: Config,
    /// Number of starts of the process so far.
    starts: u64,
    pub(super) process: Option<Process>,
    /// Contents of its journal on disk.
    journal: Vec<JournalEntry>,
    /// Counters of each process that was killed.
    killed_counters: Vec<Counters>,
}

/// State that is lost when the process is killed.
pub(super) struct Process {
    pub(super) core: Core<Box<dyn Decide>>,
    pub(super) incarnation: u64,
    /// Nodes to which the core wants to be connected.
    pub(super) links: BTreeMap<NodeId, NodeLink>,
    /// When the timer is due, if it is set.
    timer: Option<Micros>,
    pub(super) subscription: Subscription,
    pub(super) list_backoff: Backoff,
}

impl Controller {
    pub(super) fn new(scenario: &Scenario, seed: u64, index: usize) -> Controller {
        let mut config = scenario.controller_config(seed, index);
        config.journal_path = scenario.journal.then(|| "journal".into());
        Controller {
            config,
            starts: 0,
            process: None,
            journal: Vec::new(),
            killed_counters: Vec::new(),
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.config.name
    }

    /// Returns the incarnation of the running process.
    pub(super) fn incarnation(&self) -> Option<u64> {
        self.process.as_ref().map(|process| process.incarnation)
    }

    /// Returns the counters of each of its processes.
    pub(super) fn counters(&self) -> impl Iterator<Item = Counters> {
        let running = self.process.as_ref();
        let running = running.map(|process| process.core.counters());
        self.killed_counters.iter().copied().chain(running)
    }

    /// Starts a process that recovers from the journal. Returns its incarnation.
    fn start(&mut self, now: Micros, index: usize, make_decider: super::MakeDecider<'_>) -> u64 {
        self.starts += 1;
        // Incarnations are not ascending, like the random ones of real processes.
        let incarnation = xxhash_rust::xxh3::xxh3_64(format!("{index} {}", self.starts).as_bytes());
        let config = &self.config;
        let seed = config.seed.unwrap_or(0).wrapping_add(self.starts << 32);
        let mut core = Core::new(
            make_decider(&config.scheduler, seed),
            core_limits(config, incarnation),
        );
        core.recover(wall_clock(now), &self.journal);
        if config.journal_path.is_some() {
            self.journal = core.snapshot();
        }
        self.process = Some(Process {
            core,
            incarnation,
            links: BTreeMap::new(),
            timer: None,
            subscription: Subscription::default(),
            list_backoff: Backoff::new(config.network.min_backoff, config.network.max_backoff),
        });
        incarnation
    }
}

fn wall_clock(now: Micros) -> Micros {
    WALL_CLOCK_START + now
}

impl Simulator<'_> {
    /// Returns the process if it is still running.
    pub(super) fn process(&mut self, id: ProcessId) -> Option<&mut Process> {
        let process = self.controllers[id.controller].process.as_mut();
        process.filter(|process| process.incarnation == id.incarnation)
    }

    pub(super) fn is_running(&self, id: ProcessId) -> bool {
        self.controllers[id.controller].incarnation() == Some(id.incarnation)
    }

    /// Returns the identity of the process in messages.
    pub(super) fn identity(&self, id: ProcessId) -> ProcessIdentity {
        ProcessIdentity {
            name: self.controllers[id.controller].name().to_owned(),
            incarnation: id.incarnation,
        }
    }

    pub(super) fn start_controller(&mut self, controller: usize) {
        let now = self.now();
        let starting = &mut self.controllers[controller];
        if starting.process.is_some() {
            return;
        }
        let incarnation = starting.start(now, controller, self.make_decider);
        let process = ProcessId {
            controller,
            incarnation,
        };
        if !starting.config.scheduler.is_list_polled {
            self.schedule_at(now, SimEvent::RequestList { process });
        }
        let name = self.controllers[controller].name().to_owned();
        self.record(Observation::Started { controller: name });
        self.input(controller, Input::Tick);
        let delay = self.rng.u64(1_000..50_000);
        self.schedule_after(delay, SimEvent::ClientsReconnect { controller });
    }

    /// Kills the process as by SIGKILL. Messages that it has already sent may still arrive.
    pub(super) fn kill_controller(&mut self, controller: usize) {
        let Some(process) = self.controllers[controller].process.take() else {
            return;
        };
        self.record_kill_hazards(&process);
        let killed = &mut self.controllers[controller];
        killed.killed_counters.push(process.core.counters());
        let name = killed.name().to_owned();
        self.record(Observation::Killed { controller: name });
        for link in process.links.values() {
            if let Some(connection) = link.connection() {
                self.close_end(connection, End::Controller);
            }
        }
        let delay = self.rng.u64(100..20_000);
        self.schedule_after(delay, SimEvent::ClientsReconnect { controller });
    }

    fn record_kill_hazards(&mut self, process: &Process) {
        if process.core.open_requests() > 0 {
            self.record_hazard("killed with asks open");
        }
        if process.core.placed_tasks() > 0 {
            self.record_hazard("killed with placed tasks running");
        }
        let is_lost = |id: &NodeId| {
            let node = self.node_index.get(id).map(|index| &self.nodes[*index]);
            node.is_some_and(|node| !node.is_reachable() || node.model.faults().hangs)
        };
        let nodes: Vec<NodeId> = process.core.nodes_with_open_copies();
        if nodes.iter().any(is_lost) {
            self.record_hazard("killed with a copy open at a node that is dead, cut off or hangs");
        }
    }

    pub(super) fn on_controller_timer(&mut self, id: ProcessId) {
        if let Some(process) = self.process(id) {
            process.timer = None;
            self.input(id.controller, Input::Tick);
        }
    }

    /// Passes an input to the core of a controller and executes its outputs.
    pub(super) fn input(&mut self, controller: usize, input: Input) {
        let now = self.now();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(process) = self.controllers[controller].process.as_mut() else {
                return;
            };
            for output in process.core.handle(wall_clock(now), input) {
                self.execute(controller, output, &mut inputs);
            }
        }
        self.set_controller_timer(controller);
    }

    fn set_controller_timer(&mut self, controller: usize) {
        let now = self.now();
        let Some(process) = self.controllers[controller].process.as_mut() else {
            return;
        };
        let Some(wake) = process.core.next_wake() else {
            return;
        };
        let wake = wake.saturating_sub(WALL_CLOCK_START);
        if process.timer.is_none_or(|timer| wake < timer) {
            let at = wake.max(now + 1);
            process.timer = Some(at);
            let process = ProcessId {
                controller,
                incarnation: process.incarnation,
            };
            self.schedule_at(at, SimEvent::ControllerTimer { process });
        }
    }

    /// Executes an output of a core. Inputs that result from it are added to `inputs`.
    fn execute(&mut self, controller: usize, output: Output, inputs: &mut VecDeque<Input>) {
        let Some(incarnation) = self.controllers[controller].incarnation() else {
            return;
        };
        let process = ProcessId {
            controller,
            incarnation,
        };
        match output {
            Output::Accepted { ticket, job } => self.send_accepted(process, ticket, job),
            Output::Rejected { ticket, reason } => self.send_rejected(process, ticket, reason),
            Output::Answered { job, answer } => self.send_outcome(process, job, answer),
            Output::ControlAccepted { .. }
            | Output::Finished(_)
            | Output::Broadcast(_)
            | Output::Log(_) => {}
            Output::Connect {
                node,
                address,
                name,
            } => self.connect(process, node, address, name),
            Output::Disconnect(node) => self.disconnect(controller, node),
            Output::Journal(entries) => self.controllers[controller].journal.extend(entries),
            Output::WatchNodes => {
                let delay = self.rng.u64(20..100);
                self.schedule_after(delay, SimEvent::RequestList { process });
            }
            Output::Dispatch {
                node,
                request,
                attempt,
                ..
            } => {
                if !self.send_output(controller, &output) {
                    inputs.push_back(Input::DispatchFailed {
                        node,
                        request,
                        attempt,
                    });
                }
            }
            Output::CancelAttempt { .. }
            | Output::ControlTask { .. }
            | Output::Adopt { .. }
            | Output::DiscardOrphan { .. }
            | Output::Probe(_) => {
                self.send_output(controller, &output);
            }
        }
    }
}
