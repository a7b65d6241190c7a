//! The settings of a controller: their table, and the typed result.

use crate::schema::{Attribute, ConfigError, Document, Element, Occurrence, Problem, ValueKind};
use peppercove::{
    DedupScope, Idempotency, LoadBasis, NodeKind as MachineKind, PlacementAck, Settings, TaskClass,
    Tenant, TopologySpread,
};
use std::net::SocketAddr;
use std::path::PathBuf;
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

const ANY_COUNT: ValueKind = ValueKind::Count(1, 1 << 32);
const POSITIVE: ValueKind = ValueKind::Number(1e-9, f64::MAX);
const SHARE: ValueKind = ValueKind::Number(0.0, 1.0);
const WEIGHT: ValueKind = ValueKind::Number(0.0, f64::MAX);

/// The table of a controller's settings.
pub static SETTINGS: Element = Element {
    name: "peppercove",
    often: Occurrence::Once,
    about: "Settings of one controller.",
    attributes: &[],
    children: &[
        Element {
            name: "controller",
            often: Occurrence::Once,
            about: "This controller, and how many share the nodes.",
            attributes: &[
                attribute(
                    "name",
                    ValueKind::Name,
                    None,
                    "Its name; nodes know its tasks by it after a restart.",
                ),
                attribute(
                    "number",
                    ValueKind::Count(0, 65_535),
                    Some("0"),
                    "Its number among those that share the nodes.",
                ),
                attribute(
                    "of",
                    ValueKind::Count(1, 65_536),
                    Some("1"),
                    "How many share the nodes, this one included.",
                ),
                attribute("zone", ValueKind::Count(0, 255), Some("0"), "Its zone."),
                attribute(
                    "seed",
                    ValueKind::Count(0, u64::MAX),
                    Some(""),
                    "Seed of its draws; a new one at each start where left out.",
                ),
                attribute(
                    "clients",
                    ValueKind::Address,
                    None,
                    "Where it listens for DRMAA clients; port 0 takes any.",
                ),
                attribute(
                    "stop-within",
                    ValueKind::Span,
                    Some("10s"),
                    "How long a stop may wait for what is open.",
                ),
                attribute(
                    "record",
                    ValueKind::Text,
                    Some(""),
                    "File to which all that the core is told is written, for replay.",
                ),
                attribute(
                    "journal",
                    ValueKind::Text,
                    Some(""),
                    "File to which each attempt is written before it is sent, so that the next life knows of it.",
                ),
                attribute(
                    "journal-sync",
                    ValueKind::Flag,
                    Some("false"),
                    "Wait for the disk at each write, so that the journal outlives the machine and not the process alone.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "node-list",
            often: Occurrence::Once,
            about: "Where the list of nodes comes from.",
            attributes: &[
                attribute(
                    "address",
                    ValueKind::Address,
                    None,
                    "Where the list listens.",
                ),
                attribute(
                    "mode",
                    ValueKind::Choice(&["on-request", "pushed"]),
                    Some("on-request"),
                    "Whether the list must be asked for or comes by itself.",
                ),
                attribute(
                    "ask-every",
                    ValueKind::Span,
                    Some("10s"),
                    "Without a subscription the list counts as told this long after it was last asked for.",
                ),
                attribute(
                    "timeout",
                    ValueKind::Span,
                    Some("2s"),
                    "A call that has no answer by then has failed.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "limits",
            often: Occurrence::Maybe,
            about: "What bounds the daemon. Each bound met is counted and answered.",
            attributes: &[
                attribute(
                    "clients",
                    ANY_COUNT,
                    Some("1024"),
                    "Connections of clients at once.",
                ),
                attribute(
                    "calls",
                    ANY_COUNT,
                    Some("64"),
                    "Calls of one connection that may wait for their answers.",
                ),
                attribute(
                    "client-queue",
                    ANY_COUNT,
                    Some("1024"),
                    "Lines that may wait to be read by a client; a slower one is closed.",
                ),
                attribute(
                    "client-idle",
                    ValueKind::Span,
                    Some("5m"),
                    "A line begun and not finished within this closes its connection.",
                ),
                attribute(
                    "node-queue",
                    ANY_COUNT,
                    Some("1024"),
                    "Messages that may wait to be written to a node.",
                ),
                attribute(
                    "open-asks",
                    ANY_COUNT,
                    Some("100000"),
                    "Asks for a placing that may be open at once.",
                ),
                attribute(
                    "jobs",
                    ANY_COUNT,
                    Some("200000"),
                    "Jobs kept, finished ones included; the oldest finished one makes room.",
                ),
                attribute(
                    "session-jobs",
                    ANY_COUNT,
                    Some("100000"),
                    "Unfinished jobs of one session.",
                ),
                attribute(
                    "sessions",
                    ANY_COUNT,
                    Some("10000"),
                    "Sessions known at once.",
                ),
                attribute(
                    "bulk",
                    ANY_COUNT,
                    Some("10000"),
                    "Jobs of one bulk submission.",
                ),
                attribute(
                    "doubtful",
                    ANY_COUNT,
                    Some("10000"),
                    "Unsafe tasks whose fate may be in doubt at once.",
                ),
                attribute(
                    "retry-after",
                    ValueKind::Span,
                    Some("1s"),
                    "Advice to a client that met a bound.",
                ),
                attribute(
                    "answer-reserve",
                    ValueKind::Span,
                    Some("20ms"),
                    "The answer is given this long before its owner gives up.",
                ),
                attribute(
                    "fate-memory",
                    ValueKind::Span,
                    Some("10m"),
                    "How long it is remembered that an unsafe task may have run.",
                ),
                attribute(
                    "lost-after",
                    ValueKind::Span,
                    Some("30s"),
                    "A task on a node out of reach counts as lost after this.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "links",
            often: Occurrence::Maybe,
            about: "Links to nodes and to the list.",
            attributes: &[
                attribute(
                    "connect-timeout",
                    ValueKind::Span,
                    Some("1s"),
                    "A connection or greeting not done by then has failed.",
                ),
                attribute(
                    "retry-least",
                    ValueKind::Span,
                    Some("50ms"),
                    "First wait before a link is tried again; waits are scattered.",
                ),
                attribute(
                    "retry-most",
                    ValueKind::Span,
                    Some("5s"),
                    "Waits double up to this.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "peers",
            often: Occurrence::Maybe,
            about: "Other controllers that messages may be sent to; none where left out.",
            attributes: &[attribute(
                "listen",
                ValueKind::Address,
                Some(""),
                "Where messages of peers arrive, as datagrams.",
            )],
            children: &[Element {
                name: "peer",
                often: Occurrence::Any,
                about: "One peer.",
                attributes: &[
                    attribute(
                        "number",
                        ValueKind::Count(0, 65_535),
                        None,
                        "Its number among the controllers.",
                    ),
                    attribute(
                        "address",
                        ValueKind::Address,
                        None,
                        "Where it listens for messages.",
                    ),
                ],
                children: &[],
            }],
        },
        Element {
            name: "push",
            often: Occurrence::Maybe,
            about: "Where the controller's figures are pushed by Prometheus remote write; nowhere without a receiver.",
            attributes: &[
                attribute(
                    "receiver",
                    ValueKind::Address,
                    Some(""),
                    "Where the receiver listens, over HTTP without TLS.",
                ),
                attribute(
                    "path",
                    ValueKind::Text,
                    Some("/api/v1/write"),
                    "Path of its endpoint.",
                ),
                attribute(
                    "version",
                    ValueKind::Choice(&["1.0", "2.0"]),
                    Some("2.0"),
                    "Version tried first; the other one after status 415.",
                ),
                attribute(
                    "every",
                    ValueKind::Span,
                    Some("15s"),
                    "How often the figures are taken.",
                ),
                attribute(
                    "timeout",
                    ValueKind::Span,
                    Some("10s"),
                    "A request that has no answer by then has failed.",
                ),
                attribute("batch", ANY_COUNT, Some("2000"), "Samples of one request."),
                attribute(
                    "retry-least",
                    ValueKind::Span,
                    Some("1s"),
                    "First wait after a failure; waits are scattered.",
                ),
                attribute(
                    "retry-most",
                    ValueKind::Span,
                    Some("1m"),
                    "Waits double up to this.",
                ),
                attribute(
                    "per-second",
                    POSITIVE,
                    Some("2"),
                    "Requests a second at most, a backlog's included.",
                ),
                attribute(
                    "backlog",
                    ValueKind::Text,
                    Some(""),
                    "Folder for what waits; required with a receiver, one for each controller.",
                ),
                attribute(
                    "backlog-bytes",
                    ANY_COUNT,
                    Some("67108864"),
                    "Bytes on disk; the oldest samples make room.",
                ),
                attribute(
                    "backlog-age",
                    ValueKind::Span,
                    Some("2h"),
                    "Older samples are dropped.",
                ),
                attribute(
                    "share",
                    SHARE,
                    Some("0.1"),
                    "Of a second's processor time, for pushing, while placing is calm.",
                ),
                attribute(
                    "pressed-share",
                    ValueKind::Number(0.001, 1.0),
                    Some("0.01"),
                    "And while it is pressed.",
                ),
                attribute(
                    "calm-below",
                    ValueKind::Span,
                    Some("5ms"),
                    "Placing is calm while the daemon's own loop is late by less than this.",
                ),
                attribute(
                    "pressed-from",
                    ValueKind::Span,
                    Some("50ms"),
                    "And pressed from this on.",
                ),
            ],
            children: &[Element {
                name: "label",
                often: Occurrence::Any,
                about: "A label of every series, beside `instance`, which is the controller's name.",
                attributes: &[
                    attribute("name", ValueKind::Name, None, "Its name."),
                    attribute("value", ValueKind::Text, None, "Its value."),
                ],
                children: &[],
            }],
        },
        Element {
            name: "rules",
            often: Occurrence::Maybe,
            about: "Figures of the five rules.",
            attributes: &[
                attribute(
                    "drain-grace",
                    ValueKind::Span,
                    Some("500ms"),
                    "From hearing of a drain to the last offer.",
                ),
                attribute(
                    "cold-from",
                    SHARE,
                    Some("0.2"),
                    "A node that just came up starts tasks at this share of its pace or more.",
                ),
                attribute(
                    "warm-within",
                    ValueKind::Span,
                    Some("15s"),
                    "And is warm after this.",
                ),
                attribute(
                    "fall-multiple",
                    POSITIVE,
                    Some("3"),
                    "Sent more than this multiple of what it can do, it falls over.",
                ),
                attribute("fall-window", ValueKind::Span, Some("2s"), "For this long."),
                attribute(
                    "cold-bears",
                    WEIGHT,
                    Some("8"),
                    "Offers within fall-window, from all controllers, that it always bears.",
                ),
                attribute(
                    "settle",
                    ValueKind::Span,
                    Some("3s"),
                    "How long owners wait before they ask again for a task that may run.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "attempts",
            often: Occurrence::Maybe,
            about: "Attempts to place one task.",
            attributes: &[
                attribute(
                    "most",
                    ValueKind::Count(1, 1000),
                    Some("3"),
                    "At most so many for one ask.",
                ),
                attribute(
                    "may-withdraw",
                    ValueKind::Flag,
                    Some("true"),
                    "An attempt may be called off.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "nodes",
            often: Occurrence::Once,
            about: "What all nodes have in common, and their kinds.",
            attributes: &[
                attribute(
                    "accepts-cores",
                    POSITIVE,
                    Some("1"),
                    "A node accepts tasks up to this multiple of its cores.",
                ),
                attribute(
                    "accepts-memory",
                    POSITIVE,
                    Some("1"),
                    "And up to this multiple of its memory.",
                ),
                attribute(
                    "confirms",
                    ValueKind::Choice(&["accepted", "running"]),
                    Some("running"),
                    "A task is placed once it is accepted, or once it runs.",
                ),
                attribute(
                    "preempts",
                    ValueKind::Flag,
                    Some("false"),
                    "Nodes push out tasks of lower priority to make room.",
                ),
                attribute(
                    "report-counts",
                    ValueKind::Choice(&["asked", "used"]),
                    Some("asked"),
                    "What the free values of load reports subtract.",
                ),
                attribute(
                    "probes",
                    ValueKind::Flag,
                    Some("false"),
                    "Nodes may be probed.",
                ),
            ],
            children: &[Element {
                name: "kind",
                often: Occurrence::Some,
                about: "A kind of node; the list names kinds by their place here, from 0.",
                attributes: &[
                    attribute("name", ValueKind::Name, None, "Its name."),
                    attribute("cores", POSITIVE, None, "Cores of a node."),
                    attribute("memory", POSITIVE, None, "Its memory."),
                ],
                children: &[],
            }],
        },
        Element {
            name: "classes",
            often: Occurrence::Once,
            about: "The classes of tasks: the job categories of DRMAA.",
            attributes: &[
                attribute(
                    "default",
                    ValueKind::Name,
                    None,
                    "Category of a job that names none.",
                ),
                attribute("mean-cores", POSITIVE, Some("1"), "Mean cores of a task."),
                attribute("mean-memory", POSITIVE, Some("2"), "Mean memory of a task."),
            ],
            children: &[Element {
                name: "class",
                often: Occurrence::Some,
                about: "One class.",
                attributes: &[
                    attribute("name", ValueKind::Name, None, "Its name."),
                    attribute(
                        "aim",
                        ValueKind::Span,
                        None,
                        "A first start within this earns its full worth.",
                    ),
                    attribute(
                        "deadline",
                        ValueKind::Span,
                        None,
                        "How long an owner waits for a placing.",
                    ),
                    attribute(
                        "repeat",
                        ValueKind::Choice(&["safe", "keyed", "unsafe"]),
                        None,
                        "What a second start would do.",
                    ),
                    attribute(
                        "group",
                        ValueKind::Choice(&["all", "zone", "rack"]),
                        Some("all"),
                        "Of a keyed class: the nodes that discard a second copy.",
                    ),
                    attribute(
                        "window",
                        ValueKind::Span,
                        Some("5s"),
                        "For this long after the first send.",
                    ),
                    attribute(
                        "worth",
                        WEIGHT,
                        Some("1"),
                        "Worth of a second of full service of a task of mean size.",
                    ),
                    attribute(
                        "late-worth",
                        SHARE,
                        Some("0.5"),
                        "Share of a start's worth after the aim.",
                    ),
                    attribute(
                        "start-seconds",
                        WEIGHT,
                        Some("5"),
                        "Seconds of service that a timely first start is worth.",
                    ),
                    attribute(
                        "calm",
                        SHARE,
                        Some("0.9"),
                        "Busy share of the cores up to which it is served in full.",
                    ),
                    attribute(
                        "fade",
                        WEIGHT,
                        Some("0.1"),
                        "Service falls to nothing over this much more.",
                    ),
                    attribute(
                        "priority",
                        ValueKind::Count(0, 3),
                        Some("0"),
                        "Higher ones win in contention and evictions.",
                    ),
                    attribute(
                        "kind",
                        ValueKind::Name,
                        Some(""),
                        "The kind of node that it needs.",
                    ),
                    attribute(
                        "spread",
                        ValueKind::Choice(&["off", "node", "rack", "zone"]),
                        Some("off"),
                        "The place that its services must not crowd.",
                    ),
                    attribute(
                        "most",
                        ValueKind::Count(1, 1 << 31),
                        Some("1"),
                        "The most tasks of one service in one such place.",
                    ),
                    attribute(
                        "cores",
                        POSITIVE,
                        Some("1"),
                        "Cores of a job that asks for none.",
                    ),
                    attribute(
                        "memory",
                        POSITIVE,
                        Some("1"),
                        "Memory of a job that asks for none.",
                    ),
                ],
                children: &[],
            }],
        },
        Element {
            name: "tenants",
            often: Occurrence::Maybe,
            about: "The tenants that share the nodes.",
            attributes: &[attribute(
                "over-share-worth",
                SHARE,
                Some("1"),
                "What a task past its tenant's share is worth.",
            )],
            children: &[Element {
                name: "tenant",
                often: Occurrence::Any,
                about: "One tenant.",
                attributes: &[
                    attribute("name", ValueKind::Name, None, "Its name."),
                    attribute(
                        "quota-cores",
                        POSITIVE,
                        Some(""),
                        "Cores that its tasks may ask for at a time within its share.",
                    ),
                ],
                children: &[],
            }],
        },
        Element {
            name: "prices",
            often: Occurrence::Maybe,
            about: "Prices that the decision module weighs, as shares of the result.",
            attributes: &[
                attribute(
                    "fleet",
                    WEIGHT,
                    Some("0"),
                    "Of the nodes in use beyond the needed.",
                ),
                attribute("move", WEIGHT, Some("0"), "Of one move for each task."),
                attribute(
                    "refusal",
                    WEIGHT,
                    Some("0"),
                    "Of one refused offer for each task.",
                ),
                attribute("probe", WEIGHT, Some("0"), "Of one probe for each task."),
            ],
            children: &[],
        },
        Element {
            name: "logs",
            often: Occurrence::Maybe,
            about: "What is logged, to standard error.",
            attributes: &[
                attribute(
                    "format",
                    ValueKind::Choice(&["text", "json"]),
                    Some("text"),
                    "Lines of text or of JSON.",
                ),
                attribute(
                    "level",
                    ValueKind::Choice(&["error", "warn", "info", "debug", "trace"]),
                    Some("info"),
                    "The least severe that is logged.",
                ),
            ],
            children: &[],
        },
    ],
};

/// Where a controller listens, and whom it asks for the nodes.
#[derive(Clone, Debug)]
pub struct Listen {
    /// For DRMAA clients.
    pub clients: SocketAddr,
    /// The node list.
    pub node_list: SocketAddr,
    /// A call to the list that has no answer by then has failed.
    pub list_timeout: Duration,
    /// A connection or greeting not done by then has failed.
    pub connect_timeout: Duration,
    /// First wait before a link is tried again.
    pub retry_least: Duration,
    /// Waits double up to this.
    pub retry_most: Duration,
}

/// Where figures are pushed. The table tells what each one is.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct RemoteWriteSettings {
    pub receiver: SocketAddr,
    pub path: String,
    pub prefers_v2: bool,
    pub interval: Duration,
    pub timeout: Duration,
    pub batch: usize,
    pub retry_least: Duration,
    pub retry_most: Duration,
    pub per_second: f64,
    pub wal_path: PathBuf,
    pub wal_max_bytes: u64,
    pub wal_max_age: Duration,
    pub cpu_share: f64,
    pub pressed_share: f64,
    pub calm_below: Duration,
    pub pressed_from: Duration,
    pub labels: Vec<(String, String)>,
}

/// Other controllers that messages may be sent to.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Where messages of peers arrive.
    pub listen: Option<SocketAddr>,
    /// Number and address of each peer.
    pub peers: Vec<(u32, SocketAddr)>,
}

/// Bounds of the daemon. The table tells what each one is.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Limits {
    pub clients: usize,
    pub pending_calls: usize,
    pub client_queue: usize,
    pub client_idle: Duration,
    pub node_queue: usize,
    pub open_requests: usize,
    pub jobs: usize,
    pub session_jobs: usize,
    pub sessions: usize,
    pub bulk_jobs: usize,
    pub ambiguous_tasks: usize,
    pub retry_after: Duration,
    pub deadline_margin: Duration,
    pub outcome_retention: Duration,
    pub lost_after: Duration,
}

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text.
    Text,
    /// JSON.
    Json,
}

/// All settings of one controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Seed of its draws, where it is fixed.
    pub seed: Option<u64>,
    /// How long a stop may wait for what is open.
    pub shutdown_timeout: Duration,
    /// File for the record of what the core is told.
    pub record_path: Option<PathBuf>,
    /// File for the journal of what was sent.
    pub journal_path: Option<PathBuf>,
    /// The journal waits for the disk.
    pub journal_sync: bool,
    /// Sockets.
    pub network: Listen,
    /// Where figures are pushed, if anywhere.
    pub push: Option<RemoteWriteSettings>,
    /// Other controllers.
    pub peers: Peers,
    /// Bounds.
    pub limits: Limits,
    /// What the decision module is told.
    pub scheduler: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// What a job of the class asks for where it does not say: cores and memory.
    pub class_defaults: Vec<(f64, f64)>,
    /// Index of the class of a job that names none.
    pub default_class: u16,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the kinds of node, by index.
    pub node_kinds: Vec<String>,
    /// How log lines look.
    pub log_format: LogFormat,
    /// The least severe that is logged.
    pub log_level: String,
}

/// The settings that the program carries with it: a small cluster on loopback.
pub fn embedded_default() -> &'static str {
    include_str!("../default.xml")
}

impl Config {
    /// Reads settings from the text of a file.
    ///
    /// # Errors
    /// [`ConfigError`] names line, column, element and what was expected, for every problem found.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        Config::parse_with(text, &[])
    }

    /// Reads settings and puts values in place of some, each as the path of its attribute (`controller/name`) and
    /// its text.
    ///
    /// # Errors
    /// As [`Config::parse`]; a path that names nothing is told with itself as its place.
    pub fn parse_with(text: &str, values: &[(String, String)]) -> Result<Config, ConfigError> {
        let mut document = Document::parse(text, &SETTINGS)?;
        for (path, value) in values {
            document.set(&SETTINGS, path, value)?;
        }
        let mut problems = Vec::new();
        let config = read(&document, &mut problems);
        if problems.is_empty() {
            Ok(config)
        } else {
            Err(ConfigError { problems })
        }
    }
}

fn names(of: &[Document], problems: &mut Vec<Problem>) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for element in of {
        let name = element.word("name");
        if names.iter().any(|n| n == name) {
            problems.push(element.problem(format!("name=\"{name}\" stands twice")));
        }
        names.push(name.into());
    }
    names
}

fn read(d: &Document, problems: &mut Vec<Problem>) -> Config {
    let (controller, list, limits) = (
        d.child("controller"),
        d.child("node-list"),
        d.child("limits"),
    );
    let (links, rules, nodes, classes) = (
        d.child("links"),
        d.child("rules"),
        d.child("nodes"),
        d.child("classes"),
    );
    let (tenants, prices, logs) = (d.child("tenants"), d.child("prices"), d.child("logs"));
    let kinds = names(nodes.children("kind"), problems);
    let class_names = names(classes.children("class"), problems);
    let tenant_names = names(tenants.children("tenant"), problems);
    let peers = d.child("peers");
    if peers.text("listen").is_none() && !peers.children("peer").is_empty() {
        problems.push(peers.problem("listen is missing: messages of peers must arrive somewhere"));
    }
    if controller.count("number") >= controller.count("of") {
        problems.push(controller.problem("number must be below of"));
    }
    let default_class = class_names
        .iter()
        .position(|c| c == classes.word("default"));
    if default_class.is_none() {
        problems.push(classes.problem(format!(
            "default=\"{}\" is no class",
            classes.word("default")
        )));
    }
    let size = |name: &str| usize::try_from(limits.count(name)).unwrap_or(usize::MAX);
    let module = Settings {
        schedulers: controller.count("of") as u32,
        own_index: controller.count("number") as u32,
        own_zone: controller.count("zone") as u8,
        classes: classes
            .children("class")
            .iter()
            .map(|c| class(c, &kinds, limits, problems))
            .collect(),
        node_kinds: nodes
            .children("kind")
            .iter()
            .map(|k| MachineKind {
                cores: k.number("cores"),
                memory: k.number("memory"),
            })
            .collect(),
        tenants: tenants
            .children("tenant")
            .iter()
            .map(|t| Tenant {
                quota_cores: t.text("quota-cores").and_then(|q| q.parse().ok()),
            })
            .collect(),
        over_quota_weight: tenants.number("over-share-worth"),
        cores_overcommit: nodes.number("accepts-cores"),
        memory_overcommit: nodes.number("accepts-memory"),
        placement_ack: if nodes.word("confirms") == "accepted" {
            PlacementAck::Accepted
        } else {
            PlacementAck::Running
        },
        allows_preemption: nodes.flag("preempts"),
        load_basis: if nodes.word("report-counts") == "used" {
            LoadBasis::Used
        } else {
            LoadBasis::Requested
        },
        mean_cores: classes.number("mean-cores"),
        mean_memory: classes.number("mean-memory"),
        max_attempts: d.child("attempts").count("most") as u32,
        can_cancel_attempts: d.child("attempts").flag("may-withdraw"),
        // Never two attempts of a task in flight.
        can_hedge: false,
        can_probe: nodes.flag("probes"),
        peer_messages: peers.text("listen").is_some(),
        is_list_polled: list.word("mode") == "on-request",
        poll_interval: list.micros("ask-every"),
        poll_backoff: [16, 2].map(|part| list.micros("ask-every") / part),
        // The daemon keeps its own reserve ahead of the deadline, so the module is told of no slack after it.
        answer_slack: 0,
        drain_grace: rules.micros("drain-grace"),
        slow_start_min_share: rules.number("cold-from"),
        slow_start_window: rules.micros("warm-within"),
        overload_multiple: rules.number("fall-multiple"),
        overload_window: rules.micros("fall-window"),
        slow_start_budget: rules.number("cold-bears"),
        tick: 1_000,
        fleet_price: prices.number("fleet"),
        migration_price: prices.number("move"),
        rejection_price: prices.number("refusal"),
        probe_price: prices.number("probe"),
        ambiguous_retry_delay: rules.micros("settle"),
    };
    Config {
        name: controller.word("name").into(),
        seed: controller.text("seed").and_then(|s| s.parse().ok()),
        shutdown_timeout: controller.span("stop-within"),
        record_path: controller.text("record").map(PathBuf::from),
        journal_path: controller.text("journal").map(PathBuf::from),
        journal_sync: controller.text("journal-sync") == Some("true"),
        network: Listen {
            clients: controller.address("clients"),
            node_list: list.address("address"),
            list_timeout: list.span("timeout"),
            connect_timeout: links.span("connect-timeout"),
            retry_least: links.span("retry-least"),
            retry_most: links.span("retry-most").max(links.span("retry-least")),
        },
        push: push(d.child("push"), problems),
        peers: Peers {
            listen: peers.text("listen").map(|_| peers.address("listen")),
            peers: peers
                .children("peer")
                .iter()
                .map(|p| (p.count("number") as u32, p.address("address")))
                .collect(),
        },
        limits: Limits {
            clients: size("clients"),
            pending_calls: size("calls"),
            client_queue: size("client-queue"),
            client_idle: limits.span("client-idle"),
            node_queue: size("node-queue"),
            open_requests: size("open-asks"),
            jobs: size("jobs"),
            session_jobs: size("session-jobs"),
            sessions: size("sessions"),
            bulk_jobs: size("bulk"),
            ambiguous_tasks: size("doubtful"),
            retry_after: limits.span("retry-after"),
            deadline_margin: limits.span("answer-reserve"),
            outcome_retention: limits.span("fate-memory"),
            lost_after: limits.span("lost-after"),
        },
        scheduler: module,
        class_defaults: classes
            .children("class")
            .iter()
            .map(|c| (c.number("cores"), c.number("memory")))
            .collect(),
        default_class: default_class.unwrap_or_default() as u16,
        classes: class_names,
        tenants: tenant_names,
        node_kinds: kinds,
        log_format: if logs.word("format") == "json" {
            LogFormat::Json
        } else {
            LogFormat::Text
        },
        log_level: logs.word("level").into(),
    }
}

fn push(p: &Document, problems: &mut Vec<Problem>) -> Option<RemoteWriteSettings> {
    p.text("receiver")?;
    let Some(backlog) = p.text("backlog") else {
        problems.push(p.problem("backlog is missing: a folder for what waits"));
        return None;
    };
    if p.span("every").is_zero() || p.span("retry-least").is_zero() {
        problems.push(p.problem("every and retry-least must be longer than nothing"));
    }
    let mut labels = Vec::new();
    for label in p.children("label") {
        let name = label.word("name");
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '_';
        let ok = !name.starts_with(|c: char| c.is_ascii_digit())
            && name.chars().all(fits)
            && !name.starts_with("__");
        if !ok || name == "instance" || labels.iter().any(|(n, _)| n == name) {
            problems.push(label.problem(format!(
                "name=\"{name}\" is no label of Prometheus, taken, or stands twice"
            )));
        }
        labels.push((name.to_owned(), label.word("value").to_owned()));
    }
    Some(RemoteWriteSettings {
        receiver: p.address("receiver"),
        path: p.word("path").into(),
        prefers_v2: p.word("version") == "2.0",
        interval: p.span("every"),
        timeout: p.span("timeout"),
        batch: usize::try_from(p.count("batch")).unwrap_or(usize::MAX),
        retry_least: p.span("retry-least"),
        retry_most: p.span("retry-most"),
        per_second: p.number("per-second"),
        wal_path: PathBuf::from(backlog),
        wal_max_bytes: p.count("backlog-bytes"),
        wal_max_age: p.span("backlog-age"),
        cpu_share: p.number("share"),
        pressed_share: p.number("pressed-share"),
        calm_below: p.span("calm-below"),
        pressed_from: p.span("pressed-from"),
        labels,
    })
}

fn class(
    c: &Document,
    kinds: &[String],
    limits: &Document,
    problems: &mut Vec<Problem>,
) -> TaskClass {
    let kind = c
        .text("kind")
        .map(|name| kinds.iter().position(|k| k == name));
    if kind == Some(None) {
        problems.push(c.problem(format!("kind=\"{}\" is no kind of node", c.word("kind"))));
    }
    // The reserve and the module's own margin must leave time for a placing.
    if c.micros("deadline") <= 2 * limits.micros("answer-reserve") {
        problems.push(c.problem("deadline must be longer than twice limits/answer-reserve"));
    }
    let group = match c.word("group") {
        "zone" => DedupScope::Zone,
        "rack" => DedupScope::Rack,
        _ => DedupScope::All,
    };
    TaskClass {
        latency_objective: c.micros("aim"),
        deadline: c.micros("deadline"),
        idempotency: match c.word("repeat") {
            "keyed" => Idempotency::Keyed {
                scope: group,
                window: c.micros("window"),
            },
            "unsafe" => Idempotency::NonIdempotent,
            _ => Idempotency::Idempotent,
        },
        weight: c.number("worth"),
        late_weight: c.number("late-worth"),
        start_seconds: c.number("start-seconds"),
        saturation_start: c.number("calm"),
        saturation_span: c.number("fade"),
        priority: c.count("priority") as u8,
        node_kind: kind.flatten().map(|k| k as u8),
        topology_spread: match c.word("spread") {
            "node" => TopologySpread::Node,
            "rack" => TopologySpread::Rack,
            "zone" => TopologySpread::Zone,
            _ => TopologySpread::Off,
        },
        max_per_domain: c.count("most") as u32,
    }
}
