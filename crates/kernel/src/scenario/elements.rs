//! Elements and attributes of a scenario file. `schema/day.xsd` is generated from this table.

use super::fault_kind::FaultKind;
use peppercove_config::schema::{Attribute, Element, Occurrence, ValueKind};

const fn attribute(
    name: &'static str,
    kind: ValueKind,
    default: Option<&'static str>,
    description: &'static str,
) -> Attribute {
    Attribute {
        name,
        kind,
        default,
        description,
    }
}

const SHARE: ValueKind = ValueKind::Number(0.0, 1.0);
const POSITIVE: ValueKind = ValueKind::Number(1e-9, f64::MAX);

/// Root element of a scenario file.
pub static SCENARIO_ELEMENT: Element = Element {
    name: "day",
    occurrence: Occurrence::Once,
    description: "A scripted day on loopback sockets.",
    attributes: &[
        attribute("name", ValueKind::Name, None, "Its name."),
        attribute(
            "length",
            ValueKind::Duration,
            None,
            "How long jobs are submitted.",
        ),
        attribute(
            "after",
            ValueKind::Duration,
            Some("10s"),
            "How long the day goes on at most until all is answered.",
        ),
        attribute(
            "seed",
            ValueKind::Integer(0, u64::MAX),
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
            occurrence: Occurrence::Once,
            description: "Controllers, nodes and the node list.",
            attributes: &[
                attribute(
                    "controllers",
                    ValueKind::Integer(1, 1000),
                    Some("2"),
                    "Controllers.",
                ),
                attribute(
                    "list-late",
                    ValueKind::Duration,
                    Some("300ms"),
                    "How late the list tells changes.",
                ),
                attribute(
                    "list-refresh",
                    ValueKind::Duration,
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
                occurrence: Occurrence::OneOrMore,
                description: "Nodes of one kind.",
                attributes: &[
                    attribute("count", ValueKind::Integer(1, 10_000), None, "How many."),
                    attribute(
                        "kind",
                        ValueKind::Name,
                        None,
                        "Their kind, by its name in the settings.",
                    ),
                    attribute(
                        "racks",
                        ValueKind::Integer(1, 10_000),
                        Some("2"),
                        "Over so many racks, in turn.",
                    ),
                    attribute(
                        "first-rack",
                        ValueKind::Integer(0, 60_000),
                        Some("0"),
                        "Number of the first.",
                    ),
                    attribute(
                        "admit",
                        ValueKind::Duration,
                        Some("3ms"),
                        "Time to look at one offer.",
                    ),
                    attribute(
                        "line",
                        ValueKind::Integer(1, 10_000),
                        Some("16"),
                        "Offers that may wait.",
                    ),
                    attribute(
                        "starts",
                        ValueKind::Integer(1, 1000),
                        Some("4"),
                        "Tasks started at a time.",
                    ),
                    attribute(
                        "start",
                        ValueKind::Duration,
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
                        ValueKind::Integer(0, 1000),
                        Some("8"),
                        "Programs kept.",
                    ),
                    attribute(
                        "cold-from",
                        SHARE,
                        Some("0.16"),
                        "Share of the pace just after a start.",
                    ),
                    attribute(
                        "cold-for",
                        ValueKind::Duration,
                        Some("8s"),
                        "Warm after this.",
                    ),
                    attribute(
                        "report-every",
                        ValueKind::Duration,
                        Some("200ms"),
                        "How often load is measured.",
                    ),
                    attribute(
                        "report-late",
                        ValueKind::Duration,
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
            occurrence: Occurrence::ZeroOrMore,
            description: "Jobs of one class, submitted at random times.",
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
                    ValueKind::Duration,
                    Some("2s"),
                    "How long one runs, in the mean.",
                ),
                attribute(
                    "services",
                    ValueKind::Integer(1, 100_000),
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
            occurrence: Occurrence::ZeroOrMore,
            description: "One job at a stated time, as a recording has it.",
            attributes: &[
                attribute("at", ValueKind::Duration, None, "When."),
                attribute("class", ValueKind::Name, None, "Its class."),
                attribute("service", ValueKind::Name, None, "Its service."),
                attribute("life", ValueKind::Duration, Some("2s"), "How long it runs."),
                attribute("cores", POSITIVE, Some(""), "Cores."),
                attribute("memory", POSITIVE, Some(""), "Memory."),
                attribute(
                    "controller",
                    ValueKind::Integer(0, 1000),
                    Some("0"),
                    "Which controller it goes to.",
                ),
            ],
            children: &[],
        },
        Element {
            name: "fault",
            occurrence: Occurrence::ZeroOrMore,
            description: "Something that goes wrong.",
            attributes: &[
                attribute("kind", ValueKind::Choice(&FaultKind::NAMES), None, "What."),
                attribute("at", ValueKind::Duration, None, "When it begins."),
                attribute("for", ValueKind::Duration, Some("2s"), "How long it lasts."),
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
                    ValueKind::Integer(0, 60_000),
                    Some(""),
                    "Or the nodes of this rack.",
                ),
                attribute(
                    "controller",
                    ValueKind::Integer(0, 1000),
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
