//! The section `nodes`: properties of all nodes, and the kinds of node.

use super::attribute::{POSITIVE, attribute};
use crate::schema::{Document, Element, Occurrence, ValueKind};
use peppercove::{LoadBasis, NodeKind, PlacementAck};

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "nodes",
    occurrence: Occurrence::Once,
    description: "What all nodes have in common, and their kinds.",
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
        occurrence: Occurrence::OneOrMore,
        description: "A kind of node; the list names kinds by their place here, from 0.",
        attributes: &[
            attribute("name", ValueKind::Name, None, "Its name."),
            attribute("cores", POSITIVE, None, "Cores of a node."),
            attribute("memory", POSITIVE, None, "Its memory."),
        ],
        children: &[],
    }],
};

/// Returns the capacity of each kind of node, by index.
pub(super) fn node_kinds(section: &Document) -> Vec<NodeKind> {
    let node_kind = |kind: &Document| NodeKind {
        cores: kind.number("cores"),
        memory: kind.number("memory"),
    };
    section.children("kind").iter().map(node_kind).collect()
}

/// Returns the report of a node after which a task counts as placed.
pub(super) fn placement_ack(section: &Document) -> PlacementAck {
    if section.string("confirms") == "accepted" {
        PlacementAck::Accepted
    } else {
        PlacementAck::Running
    }
}

/// Returns what nodes subtract from their capacity in load reports: requested or used resources.
pub(super) fn load_basis(section: &Document) -> LoadBasis {
    if section.string("report-counts") == "used" {
        LoadBasis::Used
    } else {
        LoadBasis::Requested
    }
}
