//! The section `classes`: the task classes, which clients see as the job categories of DRMAA.

use super::attribute::{NON_NEGATIVE, POSITIVE, SHARE, attribute};
use crate::schema::{Document, Element, Occurrence, Problem, ValueKind};
use peppercove::{DedupScope, Idempotency, TaskClass, TopologySpread};

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "classes",
    occurrence: Occurrence::Once,
    description: "The classes of tasks: the job categories of DRMAA.",
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
        occurrence: Occurrence::OneOrMore,
        description: "One class.",
        attributes: &[
            attribute("name", ValueKind::Name, None, "Its name."),
            attribute(
                "aim",
                ValueKind::Duration,
                None,
                "A first start within this earns its full worth.",
            ),
            attribute(
                "deadline",
                ValueKind::Duration,
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
                ValueKind::Duration,
                Some("5s"),
                "For this long after the first send.",
            ),
            attribute(
                "worth",
                NON_NEGATIVE,
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
                NON_NEGATIVE,
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
                NON_NEGATIVE,
                Some("0.1"),
                "Service falls to nothing over this much more.",
            ),
            attribute(
                "priority",
                ValueKind::Integer(0, 3),
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
                ValueKind::Integer(1, 1 << 31),
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
};

/// Returns the index of the class of a job that does not name one.
pub(super) fn default_class(
    section: &Document,
    classes: &[String],
    problems: &mut Vec<Problem>,
) -> u16 {
    let default = section.string("default");
    let index = classes.iter().position(|class| class == default);
    if index.is_none() {
        problems.push(section.problem(format!("default=\"{default}\" does not name a class")));
    }
    index.unwrap_or_default() as u16
}

/// Returns the cores and memory of a job that does not request any, for each class.
pub(super) fn class_defaults(section: &Document) -> Vec<(f64, f64)> {
    let resources = |class: &Document| (class.number("cores"), class.number("memory"));
    section.children("class").iter().map(resources).collect()
}

/// Returns the task classes, by index.
///
/// `node_kinds` are the names of the kinds of node. `deadline_margin` is [`Limits::deadline_margin`](super::Limits), in
/// microseconds.
pub(super) fn task_classes(
    section: &Document,
    node_kinds: &[String],
    deadline_margin: u64,
    problems: &mut Vec<Problem>,
) -> Vec<TaskClass> {
    let task_class = |class: &Document| task_class(class, node_kinds, deadline_margin, problems);
    section.children("class").iter().map(task_class).collect()
}

fn task_class(
    class: &Document,
    node_kinds: &[String],
    deadline_margin: u64,
    problems: &mut Vec<Problem>,
) -> TaskClass {
    let node_kind = node_kind(class, node_kinds, problems);
    // The scheduler has a margin of its own; both margins must leave time for a placement.
    if class.micros("deadline") <= 2 * deadline_margin {
        problems.push(class.problem("deadline must be longer than twice limits/answer-reserve"));
    }
    TaskClass {
        latency_objective: class.micros("aim"),
        deadline: class.micros("deadline"),
        idempotency: idempotency(class),
        weight: class.number("worth"),
        late_weight: class.number("late-worth"),
        start_seconds: class.number("start-seconds"),
        saturation_start: class.number("calm"),
        saturation_span: class.number("fade"),
        priority: class.integer("priority") as u8,
        node_kind,
        topology_spread: topology_spread(class),
        max_per_domain: class.integer("most") as u32,
    }
}

/// Returns the index of the kind of node that a class requires, or `None` if it may run on any.
fn node_kind(class: &Document, node_kinds: &[String], problems: &mut Vec<Problem>) -> Option<u8> {
    let name = class.optional_string("kind")?;
    let index = node_kinds.iter().position(|kind| kind == name);
    if index.is_none() {
        problems.push(class.problem(format!("kind=\"{name}\" does not name a kind of node")));
    }
    index.map(|index| index as u8)
}

fn idempotency(class: &Document) -> Idempotency {
    match class.string("repeat") {
        "keyed" => Idempotency::Keyed {
            scope: dedup_scope(class),
            window: class.micros("window"),
        },
        "unsafe" => Idempotency::NonIdempotent,
        _ => Idempotency::Idempotent,
    }
}

fn dedup_scope(class: &Document) -> DedupScope {
    match class.string("group") {
        "zone" => DedupScope::Zone,
        "rack" => DedupScope::Rack,
        _ => DedupScope::All,
    }
}

fn topology_spread(class: &Document) -> TopologySpread {
    match class.string("spread") {
        "node" => TopologySpread::Node,
        "rack" => TopologySpread::Rack,
        "zone" => TopologySpread::Zone,
        _ => TopologySpread::Off,
    }
}
