//! The sections `node-list` and `links`: addresses, timeouts and backoff of a controller's connections.

use super::attribute::attribute;
use crate::schema::{Document, Element, Occurrence, ValueKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Schema of the section `node-list`.
pub(super) const NODE_LIST: Element = Element {
    name: "node-list",
    occurrence: Occurrence::Once,
    description: "Where the list of nodes comes from.",
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
            ValueKind::Duration,
            Some("10s"),
            "Without a subscription the list counts as told this long after it was last asked for.",
        ),
        attribute(
            "timeout",
            ValueKind::Duration,
            Some("2s"),
            "A call that has no answer by then has failed.",
        ),
    ],
    children: &[],
};

/// Schema of the section `links`.
pub(super) const LINKS: Element = Element {
    name: "links",
    occurrence: Occurrence::Optional,
    description: "Links to nodes and to the list.",
    attributes: &[
        attribute(
            "connect-timeout",
            ValueKind::Duration,
            Some("1s"),
            "A connection or greeting not done by then has failed.",
        ),
        attribute(
            "retry-least",
            ValueKind::Duration,
            Some("50ms"),
            "First wait before a link is tried again; waits are scattered.",
        ),
        attribute(
            "retry-most",
            ValueKind::Duration,
            Some("5s"),
            "Waits double up to this.",
        ),
    ],
    children: &[],
};

/// Addresses, timeouts and backoff of a controller's connections.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// Address on which the controller listens for DRMAA clients.
    pub clients: SocketAddr,
    /// Address of the node list.
    pub node_list: SocketAddr,
    /// Time after which an unanswered call to the node list has failed.
    pub list_timeout: Duration,
    /// Time after which an incomplete connection attempt or handshake has failed.
    pub connect_timeout: Duration,
    /// First backoff before a reconnect.
    pub min_backoff: Duration,
    /// Maximum backoff; at least `min_backoff`.
    pub max_backoff: Duration,
}

impl NetworkSettings {
    /// Reads the settings of a validated document.
    pub(super) fn read(document: &Document) -> NetworkSettings {
        let controller = document.child("controller");
        let node_list = document.child("node-list");
        let links = document.child("links");
        let min_backoff = links.duration("retry-least");
        NetworkSettings {
            clients: controller.address("clients"),
            node_list: node_list.address("address"),
            list_timeout: node_list.duration("timeout"),
            connect_timeout: links.duration("connect-timeout"),
            min_backoff,
            max_backoff: links.duration("retry-most").max(min_backoff),
        }
    }
}
