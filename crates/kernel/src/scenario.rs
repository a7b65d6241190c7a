//! A day as a file: the fleet, the load, and the faults over time.

use peppercove::{DedupScope, Idempotency};
use peppercove_config::schema::{Attribute, Document, Element, Occurrence, Problem, ValueKind};
use peppercove_config::{Config, ConfigError, embedded_default};
use peppercove_standins::node_model::{EvictionPolicy, NodeSpec, ShareRange};
use std::path::Path;
use std::time::Duration;

const fn attribute(
    name: &'static str,
    kind: ValueKind,
    default: Option<&'static str>,
    about: &'static str,
) -> Attribute {
    Attribute {
        name,
        kind,
        default,
        about,
    }
}

const SHARE: ValueKind = ValueKind::Number(0.0, 1.0);
const POSITIVE: ValueKind = ValueKind::Number(1e-9, f64::MAX);

/// Kinds of faults.
const FAULTS: &[&str] = &[
    "hang",
    "answers-lost",
    "never-confirms",
    "class-error",
    "class-silence",
    "false-refusals",
    "ageing",
    "reports-late",
    "neighbour",
    "repeats",
    "lies",
    "dies",
    "restarts",
    "drains",
    "flush",
    "cut",
    "cut-midframe",
    "rack-cut",
    "list-down",
    "list-stale",
    "controller-killed",
    "burst",
    "client-gone",
    "client-flood",
    "client-half-line",
    "client-nonsense",
];

/// The table of a day.
pub static SCENARIO_ELEMENT: Element = Element {
    name: "day",
    often: Occurrence::Once,
    about: "A scripted day on loopback sockets.",
    attributes: &[
        attribute("name", ValueKind::Name, None, "Its name."),
        attribute(
            "length",
            ValueKind::Span,
            None,
            "How long jobs are submitted.",
        ),
        attribute(
            "after",
            ValueKind::Span,
            Some("10s"),
            "How long the day goes on at most until all is answered.",
        ),
        attribute(
            "seed",
            ValueKind::Count(0, u64::MAX),
            Some("1"),
            "Seed of all that is drawn.",
        ),
        attribute(
            "settings",
            ValueKind::Text,
            Some(""),
            "Settings file of the controllers, beside the day; the embedded default where left out.",
        ),
    ],
    children: &[
        Element {
            name: "fleet",
            often: Occurrence::Once,
            about: "Controllers, nodes and the node list.",
            attributes: &[
                attribute(
                    "controllers",
                    ValueKind::Count(1, 1000),
                    Some("2"),
                    "Controllers.",
                ),
                attribute(
                    "list-late",
                    ValueKind::Span,
                    Some("300ms"),
                    "How late the list tells changes.",
                ),
                attribute(
                    "list-refresh",
                    ValueKind::Span,
                    Some("500ms"),
                    "How often it looks at free room.",
                ),
                attribute(
                    "confirms",
                    ValueKind::Choice(&["accepted", "running"]),
                    Some(""),
                    "In place of what the settings say.",
                ),
                attribute(
                    "journal",
                    ValueKind::Flag,
                    Some("true"),
                    "Controllers keep a journal of what they send.",
                ),
                attribute(
                    "owners-move",
                    SHARE,
                    Some("0"),
                    "Share of owners of keyed and unsafe tasks who ask another controller when theirs is gone.",
                ),
                attribute(
                    "preempts",
                    ValueKind::Flag,
                    Some(""),
                    "In place of what the settings say.",
                ),
                attribute(
                    "probes",
                    ValueKind::Flag,
                    Some(""),
                    "In place of what the settings say.",
                ),
            ],
            children: &[Element {
                name: "nodes",
                often: Occurrence::Some,
                about: "Nodes of one kind.",
                attributes: &[
                    attribute("count", ValueKind::Count(1, 10_000), None, "How many."),
                    attribute(
                        "kind",
                        ValueKind::Name,
                        None,
                        "Their kind, by its name in the settings.",
                    ),
                    attribute(
                        "racks",
                        ValueKind::Count(1, 10_000),
                        Some("2"),
                        "Over so many racks, in turn.",
                    ),
                    attribute(
                        "first-rack",
                        ValueKind::Count(0, 60_000),
                        Some("0"),
                        "Number of the first.",
                    ),
                    attribute(
                        "admit",
                        ValueKind::Span,
                        Some("3ms"),
                        "Time to look at one offer.",
                    ),
                    attribute(
                        "line",
                        ValueKind::Count(1, 10_000),
                        Some("16"),
                        "Offers that may wait.",
                    ),
                    attribute(
                        "starts",
                        ValueKind::Count(1, 1000),
                        Some("4"),
                        "Tasks started at a time.",
                    ),
                    attribute(
                        "start",
                        ValueKind::Span,
                        Some("30ms"),
                        "Time of a start where the program is kept.",
                    ),
                    attribute(
                        "setup",
                        POSITIVE,
                        Some("6"),
                        "Times longer where it is not.",
                    ),
                    attribute(
                        "kept",
                        ValueKind::Count(0, 1000),
                        Some("8"),
                        "Programs kept.",
                    ),
                    attribute(
                        "cold-from",
                        SHARE,
                        Some("0.16"),
                        "Share of the pace just after a start.",
                    ),
                    attribute("cold-for", ValueKind::Span, Some("8s"), "Warm after this."),
                    attribute(
                        "report-every",
                        ValueKind::Span,
                        Some("200ms"),
                        "How often load is measured.",
                    ),
                    attribute(
                        "report-late",
                        ValueKind::Span,
                        Some("100ms"),
                        "How late it is told.",
                    ),
                    attribute(
                        "uses-least",
                        SHARE,
                        Some("0.4"),
                        "Share of its ask that a task uses, at least.",
                    ),
                    attribute(
                        "uses-most",
                        ValueKind::Number(0.0, 10.0),
                        Some("0.9"),
                        "And at most.",
                    ),
                    attribute(
                        "drain",
                        ValueKind::Choice(&["none", "paced", "at-once"]),
                        Some("at-once"),
                        "What a draining node does with its tasks.",
                    ),
                ],
                children: &[],
            }],
        },
        Element {
            name: "load",
            often: Occurrence::Any,
            about: "Jobs of one class, submitted at random times.",
            attributes: &[
                attribute("class", ValueKind::Name, None, "Their class."),
                attribute(
                    "rate",
                    POSITIVE,
                    None,
                    "New jobs a second, over all controllers.",
                ),
                attribute(
                    "life",
                    ValueKind::Span,
                    Some("2s"),
                    "How long one runs, in the mean.",
                ),
                attribute(
                    "services",
                    ValueKind::Count(1, 100_000),
                    Some("4"),
                    "Over so many services.",
                ),
                attribute(
                    "cores",
                    POSITIVE,
                    Some(""),
                    "Cores a job; that of its class where left out.",
                ),
                attribute("memory", POSITIVE, Some(""), "Memory a job."),
                attribute("tenant", ValueKind::Name, Some(""), "Their tenant."),
            ],
            children: &[],
        },
        Element {
            name: "job",
            often: Occurrence::Any,
            about: "One job at a stated time, as a recording has it.",
            attributes: &[
                attribute("at", ValueKind::Span, None, "When."),
                attribute("class", ValueKind::Name, None, "Its class."),
                attribute("service", ValueKind::Name, None, "Its service."),
                attribute("life", ValueKind::Span, Some("2s"), "How long it runs."),
                attribute("cores", POSITIVE, Some(""), "Cores."),
                attribute("memory", POSITIVE, Some(""), "Memory."),
                attribute(
                    "controller",
                    ValueKind::Count(0, 1000),
                    Some("0"),
                    "Which controller it goes to.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "fault",
            often: Occurrence::Any,
            about: "Something that goes wrong.",
            attributes: &[
                attribute("kind", ValueKind::Choice(FAULTS), None, "What."),
                attribute("at", ValueKind::Span, None, "When it begins."),
                attribute("for", ValueKind::Span, Some("2s"), "How long it lasts."),
                attribute(
                    "share",
                    SHARE,
                    Some("0"),
                    "Of the nodes or controllers, drawn at random; at least one.",
                ),
                attribute(
                    "node",
                    ValueKind::Name,
                    Some(""),
                    "Or this node: n0, n1 and so on.",
                ),
                attribute(
                    "rack",
                    ValueKind::Count(0, 60_000),
                    Some(""),
                    "Or the nodes of this rack.",
                ),
                attribute(
                    "controller",
                    ValueKind::Count(0, 1000),
                    Some(""),
                    "Or this controller.",
                ),
                attribute("class", ValueKind::Name, Some(""), "The class that fails."),
                attribute(
                    "size",
                    ValueKind::Number(0.0, 1e6),
                    Some("1"),
                    "How bad: a share, a multiple, or seconds, as the kind says.",
                ),
            ],
            children: &[],
        },
    ],
};

/// Jobs of one class at random times.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name of the class.
    pub class: String,
    /// New jobs a second.
    pub rate: f64,
    /// How long one runs, in the mean.
    pub life: Duration,
    /// Over so many services.
    pub services: u64,
    /// Cores a job.
    pub cores: Option<f64>,
    /// Memory a job.
    pub memory: Option<f64>,
    /// Name of the tenant.
    pub tenant: Option<String>,
}

/// One job at a stated time.
#[derive(Clone, Debug)]
pub struct JobArrival {
    /// When, from the beginning of the day.
    pub at: Duration,
    /// Name of the class.
    pub class: String,
    /// Name of the service.
    pub service: String,
    /// How long it runs.
    pub life: Duration,
    /// Cores.
    pub cores: Option<f64>,
    /// Memory.
    pub memory: Option<f64>,
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Which controller it goes to.
    pub controller: usize,
}

/// Which nodes or controllers a fault hits.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultTarget {
    /// A share of all, at least one.
    Share(f64),
    /// The node of that name.
    Node(String),
    /// The nodes of a rack.
    Rack(u16),
    /// A controller.
    Controller(usize),
}

/// Something that goes wrong.
#[derive(Clone, Debug)]
pub struct Fault {
    /// What.
    pub kind: String,
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Whom it hits.
    pub hits: FaultTarget,
    /// Index of the class that fails.
    pub class: u16,
    /// How bad.
    pub size: f64,
}

/// A day, read and checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long jobs are submitted.
    pub length: Duration,
    /// How long it goes on at most until all is answered.
    pub after: Duration,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// The same as text, for controllers that are processes.
    pub settings: String,
    /// Settings of the controllers, but for names, numbers and sockets.
    pub config: Config,
    /// Controllers.
    pub controllers: usize,
    /// They keep a journal of what they send.
    pub journal: bool,
    /// Share of owners of keyed and unsafe tasks who ask another controller when theirs is gone.
    pub owners_move: f64,
    /// How late the list is.
    pub list_late: Duration,
    /// How often it looks at free room.
    pub list_refresh: Duration,
    /// The nodes.
    pub nodes: Vec<NodeSpec>,
    /// The load.
    pub loads: Vec<Load>,
    /// Jobs at stated times.
    pub jobs: Vec<JobArrival>,
    /// The faults.
    pub faults: Vec<Fault>,
}

/// Why a day could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The day itself is wrong.
    #[error("{0}")]
    Day(#[from] ConfigError),
    /// Its settings file cannot be read.
    #[error("settings {path}: {source}")]
    Read {
        /// The file.
        path: std::path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Its settings are wrong.
    #[error("settings {path}:\n{source}")]
    Settings {
        /// The file.
        path: std::path::PathBuf,
        /// What is wrong.
        source: ConfigError,
    },
}

impl Scenario {
    /// Reads a day; `folder` is where its settings file is looked for.
    ///
    /// # Errors
    /// [`ScenarioError`] names the file, line, column and element.
    pub fn parse(text: &str, folder: &Path) -> Result<Scenario, ScenarioError> {
        let day = Document::parse(text, &SCENARIO_ELEMENT)?;
        let (settings, config) = match day.text("settings") {
            None => {
                let config = Config::parse(embedded_default()).map_err(|source| {
                    ScenarioError::Settings {
                        path: "embedded default".into(),
                        source,
                    }
                })?;
                (embedded_default().to_owned(), config)
            }
            Some(file) => {
                let path = folder.join(file);
                let text =
                    std::fs::read_to_string(&path).map_err(|source| ScenarioError::Read {
                        path: path.clone(),
                        source,
                    })?;
                let config = Config::parse(&text)
                    .map_err(|source| ScenarioError::Settings { path, source })?;
                (text, config)
            }
        };
        let mut problems = Vec::new();
        let script = Scenario {
            settings,
            ..read(&day, config, &mut problems)
        };
        if problems.is_empty() {
            Ok(script)
        } else {
            Err(ConfigError { problems }.into())
        }
    }
}

fn read(day: &Document, mut config: Config, problems: &mut Vec<Problem>) -> Scenario {
    let fleet = day.child("fleet");
    let module = &mut config.scheduler;
    match fleet.text("confirms") {
        Some("accepted") => module.placement_ack = peppercove::PlacementAck::Accepted,
        Some(_) => module.placement_ack = peppercove::PlacementAck::Running,
        None => {}
    }
    module.allows_preemption = fleet
        .text("preempts")
        .map_or(module.allows_preemption, |f| f == "true");
    module.can_probe = fleet
        .text("probes")
        .map_or(module.can_probe, |f| f == "true");
    let controllers = fleet.count("controllers") as usize;
    let class = |d: &Document, problems: &mut Vec<Problem>| {
        let name = d.word("class").to_owned();
        let index = config.classes.iter().position(|c| *c == name);
        if index.is_none() && !name.is_empty() {
            problems.push(d.problem(format!("class=\"{name}\" is no class of the settings")));
        }
        (name, index.unwrap_or(0) as u16)
    };
    let number = |d: &Document, name: &str| d.text(name).and_then(|t| t.parse::<f64>().ok());
    let mut nodes = Vec::new();
    for group in fleet.children("nodes") {
        let kind = config
            .node_kinds
            .iter()
            .position(|k| k == group.word("kind"));
        let Some(kind) = kind else {
            problems.push(group.problem(format!(
                "kind=\"{}\" is no kind of the settings",
                group.word("kind")
            )));
            continue;
        };
        for i in 0..group.count("count") {
            nodes.push(node(group, &config, kind, nodes.len(), i));
        }
    }
    let loads = day
        .children("load")
        .iter()
        .map(|l| Load {
            class: class(l, problems).0,
            rate: l.number("rate"),
            life: l.span("life"),
            services: l.count("services"),
            cores: number(l, "cores"),
            memory: number(l, "memory"),
            tenant: l.text("tenant").map(str::to_owned),
        })
        .collect();
    let jobs = day
        .children("job")
        .iter()
        .map(|j| JobArrival {
            at: j.span("at"),
            class: class(j, problems).0,
            service: j.word("service").into(),
            life: j.span("life"),
            cores: number(j, "cores"),
            memory: number(j, "memory"),
            tenant: None,
            controller: j.count("controller") as usize % controllers,
        })
        .collect();
    let faults = day
        .children("fault")
        .iter()
        .map(|f| {
            let hits = match (f.text("node"), f.text("rack"), f.text("controller")) {
                (Some(node), ..) => {
                    if !nodes.iter().any(|n| n.name == node) {
                        problems.push(f.problem(format!("there is no node '{node}'")));
                    }
                    FaultTarget::Node(node.into())
                }
                (_, Some(_), _) => FaultTarget::Rack(f.count("rack") as u16),
                (_, _, Some(_)) => {
                    FaultTarget::Controller(f.count("controller") as usize % controllers)
                }
                _ => FaultTarget::Share(f.number("share")),
            };
            let (kind, class) = (f.word("kind").to_owned(), class(f, problems).1);
            if kind.starts_with("class-") && f.text("class").is_none() {
                problems.push(f.problem("class is missing: the one that fails"));
            }
            Fault {
                kind,
                at: f.span("at"),
                lasts: f.span("for"),
                hits,
                class,
                size: f.number("size"),
            }
        })
        .collect();
    Scenario {
        name: day.word("name").into(),
        length: day.span("length"),
        after: day.span("after"),
        seed: day.count("seed"),
        controllers,
        journal: fleet.text("journal") == Some("true"),
        owners_move: fleet.number("owners-move"),
        list_late: fleet.span("list-late"),
        list_refresh: fleet.span("list-refresh"),
        nodes,
        loads,
        jobs,
        faults,
        settings: String::new(),
        config,
    }
}

fn node(group: &Document, config: &Config, kind: usize, number: usize, i: u64) -> NodeSpec {
    let module = &config.scheduler;
    NodeSpec {
        name: format!("n{number}"),
        kind: kind as u8,
        rack: (group.count("first-rack") + i % group.count("racks")) as u16,
        zone: 0,
        cores: module.node_kinds[kind].cores,
        memory: module.node_kinds[kind].memory,
        cores_overcommit: module.cores_overcommit,
        memory_overcommit: module.memory_overcommit,
        preempts: module.allows_preemption,
        admission_time: group.micros("admit"),
        admission_queue_limit: group.count("line") as usize,
        concurrent_starts: group.count("starts") as usize,
        cached_start_time: group.micros("start"),
        uncached_start_factor: group.number("setup"),
        program_cache_limit: group.count("kept") as usize,
        slow_start_pace: group.number("cold-from"),
        slow_start_window: group.micros("cold-for"),
        overload_factor: module.overload_multiple,
        overload_window: module.overload_window,
        slow_start_budget: module.slow_start_budget,
        report_interval: group.micros("report-every"),
        report_delay: group.micros("report-late"),
        reports_usage: module.load_basis == peppercove::LoadBasis::Used,
        usage_share: ShareRange {
            min: group.number("uses-least"),
            max: group.number("uses-most"),
        },
        eviction: match group.word("drain") {
            "none" => EvictionPolicy::None,
            "paced" => EvictionPolicy::Paced(200_000),
            _ => EvictionPolicy::AtOnce,
        },
        default_run_time: 2_000_000,
        dedup_group: match group_of(module) {
            Some(DedupScope::Rack) => (group.count("first-rack") + i % group.count("racks")) as u32,
            Some(DedupScope::Zone | DedupScope::All) | None => 0,
        },
        dedup_window: module
            .classes
            .iter()
            .map(|c| window_of(c.idempotency))
            .max()
            .unwrap_or(0),
    }
}

/// The group that discards second copies; stand-ins know one for all classes, the smallest.
fn group_of(module: &peppercove::Settings) -> Option<DedupScope> {
    let groups = module.classes.iter().filter_map(|c| match c.idempotency {
        Idempotency::Keyed { scope: group, .. } => Some(group),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    });
    groups.max_by_key(|g| match g {
        DedupScope::All => 0,
        DedupScope::Zone => 1,
        DedupScope::Rack => 2,
    })
}

fn window_of(repeat: Idempotency) -> u64 {
    match repeat {
        Idempotency::Keyed { window, .. } => window,
        Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
    }
}
