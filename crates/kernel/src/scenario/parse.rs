//! Parses scenario files.

use super::{
    Fault, FaultKind, FaultTarget, JobArrival, SCENARIO_ELEMENT, Scenario, ScenarioError, Workload,
};
use peppercove::{DedupScope, Idempotency, LoadBasis, Micros, PlacementAck, Settings};
use peppercove_config::schema::{Document, Problem};
use peppercove_config::{Config, ConfigError, embedded_default};
use peppercove_standins::node_model::{EvictionPolicy, NodeSpec, ShareRange};
use std::path::Path;

/// Interval between two evictions on a draining node with `drain="paced"`, in microseconds.
const PACED_EVICTION_INTERVAL: Micros = 200_000;

/// Run time of a task whose program does not state one, in microseconds.
const DEFAULT_RUN_TIME: Micros = 2_000_000;

impl Scenario {
    /// Parses a scenario. A relative path of its settings file is resolved against `directory`.
    ///
    /// # Errors
    /// [`ScenarioError`] names the file, line, column and element.
    pub fn parse(text: &str, directory: &Path) -> Result<Scenario, ScenarioError> {
        let root = Document::parse(text, &SCENARIO_ELEMENT)?;
        let (settings_xml, config) = read_settings(&root, directory)?;
        let reader = Reader {
            config,
            problems: Vec::new(),
        };
        Ok(reader.read(&root, settings_xml)?)
    }
}

/// Reads the settings of the controllers. Returns them as text and parsed.
fn read_settings(root: &Document, directory: &Path) -> Result<(String, Config), ScenarioError> {
    let (path, text) = match root.optional_string("settings") {
        None => ("embedded default".into(), embedded_default().to_owned()),
        Some(file) => {
            let path = directory.join(file);
            match std::fs::read_to_string(&path) {
                Ok(text) => (path, text),
                Err(source) => return Err(ScenarioError::ReadSettings { path, source }),
            }
        }
    };
    match Config::parse(&text) {
        Ok(config) => Ok((text, config)),
        Err(source) => Err(ScenarioError::InvalidSettings { path, source }),
    }
}

/// Converts the elements with the settings that they refer to, and collects problems.
struct Reader {
    config: Config,
    problems: Vec<Problem>,
}

impl Reader {
    fn read(mut self, root: &Document, settings_xml: String) -> Result<Scenario, ConfigError> {
        let fleet = root.child("fleet");
        apply_overrides(fleet, &mut self.config.scheduler);
        let controllers = fleet.integer("controllers") as usize;
        let nodes = self.read_nodes(fleet);
        let workloads = root.children("load").iter();
        let workloads = workloads.map(|load| self.read_workload(load)).collect();
        let jobs = root.children("job").iter();
        let jobs = jobs.map(|job| self.read_job(job, controllers)).collect();
        let faults = root.children("fault").iter();
        let faults = faults
            .filter_map(|fault| self.read_fault(fault, &nodes, controllers))
            .collect();
        if !self.problems.is_empty() {
            let problems = self.problems;
            return Err(ConfigError { problems });
        }
        Ok(Scenario {
            name: root.string("name").into(),
            duration: root.duration("length"),
            max_wind_down: root.duration("after"),
            seed: root.integer("seed"),
            settings_xml,
            config: self.config,
            controllers,
            journal: fleet.optional_string("journal") == Some("true"),
            client_failover_share: fleet.number("owners-move"),
            list_delay: fleet.duration("list-late"),
            list_refresh_interval: fleet.duration("list-refresh"),
            nodes,
            workloads,
            jobs,
            faults,
        })
    }

    /// Returns name and index of the class of an element; index 0 if it names none.
    fn read_class(&mut self, element: &Document) -> (String, u16) {
        let name = element.string("class").to_owned();
        let index = self.config.classes.iter().position(|class| *class == name);
        if index.is_none() && !name.is_empty() {
            let problem = format!("class=\"{name}\" is not a class of the settings");
            self.problems.push(element.problem(problem));
        }
        (name, index.unwrap_or(0) as u16)
    }

    fn read_nodes(&mut self, fleet: &Document) -> Vec<NodeSpec> {
        let mut nodes = Vec::new();
        for group in fleet.children("nodes") {
            let name = group.string("kind");
            let kind = self.config.node_kinds.iter().position(|kind| kind == name);
            let Some(kind) = kind else {
                let problem = format!("kind=\"{name}\" is not a node kind of the settings");
                self.problems.push(group.problem(problem));
                continue;
            };
            for index_in_group in 0..group.integer("count") {
                let settings = &self.config.scheduler;
                nodes.push(read_node(
                    group,
                    settings,
                    kind,
                    nodes.len(),
                    index_in_group,
                ));
            }
        }
        nodes
    }

    fn read_workload(&mut self, load: &Document) -> Workload {
        Workload {
            class: self.read_class(load).0,
            rate: load.number("rate"),
            mean_run_time: load.duration("life"),
            services: load.integer("services"),
            cores: optional_number(load, "cores"),
            memory: optional_number(load, "memory"),
            tenant: load.optional_string("tenant").map(str::to_owned),
        }
    }

    fn read_job(&mut self, job: &Document, controllers: usize) -> JobArrival {
        JobArrival {
            at: job.duration("at"),
            class: self.read_class(job).0,
            service: job.string("service").into(),
            run_time: job.duration("life"),
            cores: optional_number(job, "cores"),
            memory: optional_number(job, "memory"),
            tenant: None,
            controller: job.integer("controller") as usize % controllers,
        }
    }

    fn read_fault(
        &mut self,
        fault: &Document,
        nodes: &[NodeSpec],
        controllers: usize,
    ) -> Option<Fault> {
        let target = self.read_target(fault, nodes, controllers);
        let class = self.read_class(fault).1;
        let Some(kind) = FaultKind::from_name(fault.string("kind")) else {
            self.problems.push(fault.problem("kind is missing"));
            return None;
        };
        if kind.needs_class() && fault.optional_string("class").is_none() {
            let problem = "class is missing: the fault needs the class that fails";
            self.problems.push(fault.problem(problem));
        }
        Some(Fault {
            kind,
            at: fault.duration("at"),
            duration: fault.duration("for"),
            target,
            class,
            magnitude: fault.number("size"),
        })
    }

    fn read_target(
        &mut self,
        fault: &Document,
        nodes: &[NodeSpec],
        controllers: usize,
    ) -> FaultTarget {
        if let Some(name) = fault.optional_string("node") {
            if !nodes.iter().any(|node| node.name == name) {
                let problem = format!("there is no node '{name}'");
                self.problems.push(fault.problem(problem));
            }
            FaultTarget::Node(name.into())
        } else if fault.optional_string("rack").is_some() {
            FaultTarget::Rack(fault.integer("rack") as u16)
        } else if fault.optional_string("controller").is_some() {
            FaultTarget::Controller(fault.integer("controller") as usize % controllers)
        } else {
            FaultTarget::Share(fault.number("share"))
        }
    }
}

/// Applies the settings of the controllers that the scenario overrides.
fn apply_overrides(fleet: &Document, settings: &mut Settings) {
    match fleet.optional_string("confirms") {
        Some("accepted") => settings.placement_ack = PlacementAck::Accepted,
        Some(_) => settings.placement_ack = PlacementAck::Running,
        None => {}
    }
    if let Some(flag) = fleet.optional_string("preempts") {
        settings.allows_preemption = flag == "true";
    }
    if let Some(flag) = fleet.optional_string("probes") {
        settings.can_probe = flag == "true";
    }
}

fn optional_number(element: &Document, name: &str) -> Option<f64> {
    element.optional_string(name)?.parse().ok()
}

/// Reads one node of a group. `number` counts all nodes of the scenario.
fn read_node(
    group: &Document,
    settings: &Settings,
    kind: usize,
    number: usize,
    index_in_group: u64,
) -> NodeSpec {
    let rack = group.integer("first-rack") + index_in_group % group.integer("racks");
    NodeSpec {
        name: format!("n{number}"),
        kind: kind as u8,
        rack: rack as u16,
        zone: 0,
        cores: settings.node_kinds[kind].cores,
        memory: settings.node_kinds[kind].memory,
        cores_overcommit: settings.cores_overcommit,
        memory_overcommit: settings.memory_overcommit,
        preempts: settings.allows_preemption,
        admission_time: group.micros("admit"),
        admission_queue_limit: group.integer("line") as usize,
        concurrent_starts: group.integer("starts") as usize,
        cached_start_time: group.micros("start"),
        uncached_start_factor: group.number("setup"),
        program_cache_limit: group.integer("kept") as usize,
        slow_start_speed: group.number("cold-from"),
        slow_start_window: group.micros("cold-for"),
        overload_factor: settings.overload_multiple,
        overload_window: settings.overload_window,
        slow_start_budget: settings.slow_start_budget,
        report_interval: group.micros("report-every"),
        report_delay: group.micros("report-late"),
        reports_usage: settings.load_basis == LoadBasis::Used,
        usage_share: ShareRange {
            min: group.number("uses-least"),
            max: group.number("uses-most"),
        },
        eviction: match group.string("drain") {
            "none" => EvictionPolicy::None,
            "paced" => EvictionPolicy::Paced(PACED_EVICTION_INTERVAL),
            _ => EvictionPolicy::AtOnce,
        },
        default_run_time: DEFAULT_RUN_TIME,
        dedup_group: match smallest_dedup_scope(settings) {
            Some(DedupScope::Rack) => rack as u32,
            Some(DedupScope::Zone | DedupScope::All) | None => 0,
        },
        dedup_window: longest_dedup_window(settings),
    }
}

/// Returns the smallest deduplication scope of all classes: a fake node uses one scope for all of them.
fn smallest_dedup_scope(settings: &Settings) -> Option<DedupScope> {
    let classes = settings.classes.iter();
    let scopes = classes.filter_map(|class| match class.idempotency {
        Idempotency::Keyed { scope, .. } => Some(scope),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    });
    scopes.max_by_key(|scope| match scope {
        DedupScope::All => 0,
        DedupScope::Zone => 1,
        DedupScope::Rack => 2,
    })
}

/// Returns the longest deduplication window of all classes: a fake node uses one window for all of them.
fn longest_dedup_window(settings: &Settings) -> Micros {
    let classes = settings.classes.iter();
    let windows = classes.filter_map(|class| match class.idempotency {
        Idempotency::Keyed { window, .. } => Some(window),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    });
    windows.max().unwrap_or(0)
}
