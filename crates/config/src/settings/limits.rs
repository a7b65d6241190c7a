//! The section `limits`: limits on connections, queues, requests and jobs, and the time limits for answers.

use super::attribute::{COUNT, attribute};
use crate::schema::{Document, Element, Occurrence, ValueKind};
use std::time::Duration;

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "limits",
    occurrence: Occurrence::Optional,
    description: "What bounds the daemon. Each bound met is counted and answered.",
    attributes: &[
        attribute(
            "clients",
            COUNT,
            Some("1024"),
            "Connections of clients at once.",
        ),
        attribute(
            "calls",
            COUNT,
            Some("64"),
            "Calls of one connection that may wait for their answers.",
        ),
        attribute(
            "client-queue",
            COUNT,
            Some("1024"),
            "Lines that may wait to be read by a client; a slower one is closed.",
        ),
        attribute(
            "client-idle",
            ValueKind::Duration,
            Some("5m"),
            "A line begun and not finished within this closes its connection.",
        ),
        attribute(
            "node-queue",
            COUNT,
            Some("1024"),
            "Messages that may wait to be written to a node.",
        ),
        attribute(
            "open-asks",
            COUNT,
            Some("100000"),
            "Asks for a placing that may be open at once.",
        ),
        attribute(
            "jobs",
            COUNT,
            Some("200000"),
            "Jobs kept, finished ones included; the oldest finished one makes room.",
        ),
        attribute(
            "session-jobs",
            COUNT,
            Some("100000"),
            "Unfinished jobs of one session.",
        ),
        attribute("sessions", COUNT, Some("10000"), "Sessions known at once."),
        attribute("bulk", COUNT, Some("10000"), "Jobs of one bulk submission."),
        attribute(
            "doubtful",
            COUNT,
            Some("10000"),
            "Unsafe tasks whose fate may be in doubt at once.",
        ),
        attribute(
            "retry-after",
            ValueKind::Duration,
            Some("1s"),
            "Advice to a client that met a bound.",
        ),
        attribute(
            "answer-reserve",
            ValueKind::Duration,
            Some("20ms"),
            "The answer is given this long before its owner gives up.",
        ),
        attribute(
            "fate-memory",
            ValueKind::Duration,
            Some("10m"),
            "How long it is remembered that an unsafe task may have run.",
        ),
        attribute(
            "lost-after",
            ValueKind::Duration,
            Some("30s"),
            "A task on a node out of reach counts as lost after this.",
        ),
    ],
    children: &[],
};

/// Limits of the controller. Reaching a limit is counted, and answered rather than ignored.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections open at once.
    pub clients: usize,
    /// Calls of one connection that may be waiting for their responses.
    pub pending_calls: usize,
    /// Lines that may be queued for a client; a client that reads too slowly is disconnected.
    pub client_queue: usize,
    /// Time within which a client must complete a line that it has begun; otherwise it is disconnected.
    pub client_idle_timeout: Duration,
    /// Messages that may be queued for one node.
    pub node_queue: usize,
    /// Placement requests that may be open at once.
    pub open_requests: usize,
    /// Jobs kept, including finished ones. The oldest finished job is removed to make room.
    pub jobs: usize,
    /// Unfinished jobs of one session.
    pub session_jobs: usize,
    /// Sessions known at once.
    pub sessions: usize,
    /// Jobs of one bulk submission.
    pub bulk_jobs: usize,
    /// Non-idempotent tasks whose outcome may be ambiguous at once.
    pub ambiguous_tasks: usize,
    /// Retry-After sent to a client that exceeds a limit.
    pub retry_after: Duration,
    /// Time before the client's deadline at which an answer is due.
    pub deadline_margin: Duration,
    /// Time for which the ambiguous outcome of a non-idempotent task is kept.
    pub outcome_retention: Duration,
    /// Time after which a task on an unreachable node counts as lost.
    pub unreachable_timeout: Duration,
}

impl Limits {
    /// Reads the section `limits` of a validated document.
    pub(super) fn read(section: &Document) -> Limits {
        let size = |name: &str| usize::try_from(section.integer(name)).unwrap_or(usize::MAX);
        Limits {
            clients: size("clients"),
            pending_calls: size("calls"),
            client_queue: size("client-queue"),
            client_idle_timeout: section.duration("client-idle"),
            node_queue: size("node-queue"),
            open_requests: size("open-asks"),
            jobs: size("jobs"),
            session_jobs: size("session-jobs"),
            sessions: size("sessions"),
            bulk_jobs: size("bulk"),
            ambiguous_tasks: size("doubtful"),
            retry_after: section.duration("retry-after"),
            deadline_margin: section.duration("answer-reserve"),
            outcome_retention: section.duration("fate-memory"),
            unreachable_timeout: section.duration("lost-after"),
        }
    }
}
