//! The section `controller`: identity, files and shutdown of one controller.

use super::attribute::attribute;
use crate::schema::{Document, Element, Occurrence, Problem, ValueKind};

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "controller",
    occurrence: Occurrence::Once,
    description: "This controller, and how many share the nodes.",
    attributes: &[
        attribute(
            "name",
            ValueKind::Name,
            None,
            "Its name; nodes know its tasks by it after a restart.",
        ),
        attribute(
            "number",
            ValueKind::Integer(0, 65_535),
            Some("0"),
            "Its number among those that share the nodes.",
        ),
        attribute(
            "of",
            ValueKind::Integer(1, 65_536),
            Some("1"),
            "How many share the nodes, this one included.",
        ),
        attribute("zone", ValueKind::Integer(0, 255), Some("0"), "Its zone."),
        attribute(
            "seed",
            ValueKind::Integer(0, u64::MAX),
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
            ValueKind::Duration,
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
};

/// Reports a controller whose index is not below the number of controllers that share the nodes.
pub(super) fn check(section: &Document, problems: &mut Vec<Problem>) {
    if section.integer("number") >= section.integer("of") {
        problems.push(section.problem("'number' must be less than 'of'"));
    }
}
