//! The sections `rules`, `attempts` and `prices`, and the scheduler's settings, which are read from all sections.

use super::attribute::{NON_NEGATIVE, POSITIVE, SHARE, attribute};
use super::{classes, nodes, tenants};
use crate::schema::{Document, Element, Occurrence, Problem, ValueKind};
use peppercove::Settings;

/// Schema of the section `rules`.
pub(super) const RULES: Element = Element {
    name: "rules",
    occurrence: Occurrence::Optional,
    description: "Figures of the five rules.",
    attributes: &[
        attribute(
            "drain-grace",
            ValueKind::Duration,
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
            ValueKind::Duration,
            Some("15s"),
            "And is warm after this.",
        ),
        attribute(
            "fall-multiple",
            POSITIVE,
            Some("3"),
            "Sent more than this multiple of what it can do, it falls over.",
        ),
        attribute(
            "fall-window",
            ValueKind::Duration,
            Some("2s"),
            "For this long.",
        ),
        attribute(
            "cold-bears",
            NON_NEGATIVE,
            Some("8"),
            "Offers within fall-window, from all controllers, that it always bears.",
        ),
        attribute(
            "settle",
            ValueKind::Duration,
            Some("3s"),
            "How long owners wait before they ask again for a task that may run.",
        ),
    ],
    children: &[],
};

/// Schema of the section `attempts`.
pub(super) const ATTEMPTS: Element = Element {
    name: "attempts",
    occurrence: Occurrence::Optional,
    description: "Attempts to place one task.",
    attributes: &[
        attribute(
            "most",
            ValueKind::Integer(1, 1000),
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
};

/// Schema of the section `prices`.
pub(super) const PRICES: Element = Element {
    name: "prices",
    occurrence: Occurrence::Optional,
    description: "Prices that the decision module weighs, as shares of the result.",
    attributes: &[
        attribute(
            "fleet",
            NON_NEGATIVE,
            Some("0"),
            "Of the nodes in use beyond the needed.",
        ),
        attribute(
            "move",
            NON_NEGATIVE,
            Some("0"),
            "Of one move for each task.",
        ),
        attribute(
            "refusal",
            NON_NEGATIVE,
            Some("0"),
            "Of one refused offer for each task.",
        ),
        attribute(
            "probe",
            NON_NEGATIVE,
            Some("0"),
            "Of one probe for each task.",
        ),
    ],
    children: &[],
};

/// Interval of the scheduler's timer, in microseconds.
const TICK_INTERVAL: u64 = 1_000;
/// Divisors of the poll interval that give the first and the maximum backoff after a failed poll of the node list.
const POLL_BACKOFF_DIVISORS: [u64; 2] = [16, 2];

/// Reads the settings of the scheduler. `node_kinds` are the names of the kinds of node.
pub(super) fn read(
    document: &Document,
    node_kinds: &[String],
    problems: &mut Vec<Problem>,
) -> Settings {
    let controller = document.child("controller");
    let node_list = document.child("node-list");
    let rules = document.child("rules");
    let attempts = document.child("attempts");
    let nodes = document.child("nodes");
    let classes = document.child("classes");
    let tenants = document.child("tenants");
    let prices = document.child("prices");
    let deadline_margin = document.child("limits").micros("answer-reserve");
    let poll_interval = node_list.micros("ask-every");
    Settings {
        schedulers: controller.integer("of") as u32,
        own_index: controller.integer("number") as u32,
        own_zone: controller.integer("zone") as u8,
        classes: classes::task_classes(classes, node_kinds, deadline_margin, problems),
        node_kinds: nodes::node_kinds(nodes),
        tenants: tenants::tenants(tenants),
        over_quota_weight: tenants.number("over-share-worth"),
        cores_overcommit: nodes.number("accepts-cores"),
        memory_overcommit: nodes.number("accepts-memory"),
        placement_ack: nodes::placement_ack(nodes),
        allows_preemption: nodes.flag("preempts"),
        load_basis: nodes::load_basis(nodes),
        mean_cores: classes.number("mean-cores"),
        mean_memory: classes.number("mean-memory"),
        max_attempts: attempts.integer("most") as u32,
        can_cancel_attempts: attempts.flag("may-withdraw"),
        // A task never has more than one attempt in flight.
        can_hedge: false,
        can_probe: nodes.flag("probes"),
        peer_messages: document.child("peers").optional_string("listen").is_some(),
        is_list_polled: node_list.string("mode") == "on-request",
        poll_interval,
        poll_backoff: POLL_BACKOFF_DIVISORS.map(|divisor| poll_interval / divisor),
        // The controller answers a margin ahead of the deadline, so no time is allowed after it.
        answer_slack: 0,
        drain_grace: rules.micros("drain-grace"),
        slow_start_min_share: rules.number("cold-from"),
        slow_start_window: rules.micros("warm-within"),
        overload_multiple: rules.number("fall-multiple"),
        overload_window: rules.micros("fall-window"),
        slow_start_budget: rules.number("cold-bears"),
        tick: TICK_INTERVAL,
        excess_node_cost: prices.number("fleet"),
        migration_cost: prices.number("move"),
        rejection_cost: prices.number("refusal"),
        probe_cost: prices.number("probe"),
        ambiguous_retry_delay: rules.micros("settle"),
    }
}
