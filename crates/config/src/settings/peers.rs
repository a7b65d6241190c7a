//! The section `peers`: other controllers that exchange messages with this one.

use super::attribute::attribute;
use crate::schema::{Document, Element, Occurrence, Problem, ValueKind};
use std::net::SocketAddr;

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "peers",
    occurrence: Occurrence::Optional,
    description: "Other controllers that messages may be sent to; none where left out.",
    attributes: &[attribute(
        "listen",
        ValueKind::Address,
        Some(""),
        "Where messages of peers arrive, as datagrams.",
    )],
    children: &[Element {
        name: "peer",
        occurrence: Occurrence::ZeroOrMore,
        description: "One peer.",
        attributes: &[
            attribute(
                "number",
                ValueKind::Integer(0, 65_535),
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
};

/// Other controllers to which messages may be sent.
#[derive(Clone, Debug, Default)]
pub struct PeerSettings {
    /// Address on which the controller receives messages of peers; `None` if it has no peers.
    pub listen: Option<SocketAddr>,
    /// Index and address of each peer.
    pub peers: Vec<(u32, SocketAddr)>,
}

impl PeerSettings {
    /// Reads the section `peers` of a validated document.
    pub(super) fn read(section: &Document) -> PeerSettings {
        let peer = |peer: &Document| (peer.integer("number") as u32, peer.address("address"));
        PeerSettings {
            listen: section
                .optional_string("listen")
                .map(|_| section.address("listen")),
            peers: section.children("peer").iter().map(peer).collect(),
        }
    }
}

/// Reports peers that are configured without an address on which their messages are received.
pub(super) fn check(section: &Document, problems: &mut Vec<Problem>) {
    if section.optional_string("listen").is_none() && !section.children("peer").is_empty() {
        problems.push(section.problem("attribute 'listen' is missing: peers require it"));
    }
}
