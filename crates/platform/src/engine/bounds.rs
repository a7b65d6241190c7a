//! Limits of the engine, computed from the configuration.

use crate::config::Config;
use peppercove::Micros;

/// Maximum delay that the platform allows before a client is notified of an end that no node could report.
const MAX_UNREPORTED_END_DELAY: Micros = 8_000_000;
/// Maximum delay that the platform allows before a client is notified of an end that a node has reported.
const MAX_REPORTED_END_DELAY: Micros = 1_000_000;

/// Worst-case memory use of an open request, in KiB.
const KIB_PER_OPEN_REQUEST: usize = 32;
/// Lower bound of the limit on open requests, independent of the memory.
const MIN_OPEN_REQUESTS: usize = 64;
/// Upper bound of the limit on open requests, independent of the memory.
const MAX_OPEN_REQUESTS: usize = 65_536;
/// Lower bound of the limit on open requests per client.
const MIN_OPEN_REQUESTS_PER_CLIENT: usize = 16;
/// Upper bound of the limit on open requests per client.
const MAX_OPEN_REQUESTS_PER_CLIENT: usize = 256;
/// Lower bound of the limit on running tasks, independent of the memory.
const MIN_RUNNING_TASKS: usize = 1024;
/// File descriptors reserved for the program itself: listener, journal service, log, runtime.
const RESERVED_DESCRIPTORS: usize = 16;

/// Limits of the engine. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of requests without an answer, over all clients.
    pub open_requests: usize,
    /// Maximum number of requests without an answer on one client connection.
    pub open_requests_per_client: usize,
    /// Maximum number of running tasks.
    pub running_tasks: usize,
    /// Maximum number of requests that clients may cause to complete between two batches of the scheduler.
    pub completions_per_batch: usize,
    /// Number of connections to one node over which requests are distributed.
    pub connections_per_node: usize,
    /// Maximum number of connections to clients and nodes together.
    pub connections: usize,
    /// Maximum number of connections to all nodes; depends on the number of client connections.
    pub node_connections: usize,
    /// Maximum number of client connections; enforced by the server.
    pub client_connections: usize,
    /// Maximum number of bytes buffered for sending on all connections; enforced by the server.
    pub send_buffer_bytes: usize,
    /// Number of bytes of incomplete messages from which large ones are not read further, for all client connections and
    /// for all node connections; enforced by the server.
    pub receive_buffer_bytes: usize,
    /// Time without received messages after which a connection to a node with tasks or attempts is checked.
    pub health_check_interval: Micros,
    /// Time after which a connection with an unanswered health check counts as broken.
    pub health_check_timeout: Micros,
    /// Time after which tasks on a node that answers no health check and accepts no connection count as lost.
    pub unreachable_timeout: Micros,
    /// How long a notification that its client may not have received is kept.
    pub notification_retention: Micros,
    /// Maximum number of these notifications.
    pub kept_notifications: usize,
    /// Time without further messages after which an ambiguous end is attributed to the current attempt.
    pub ambiguity_timeout: Micros,
}

impl Bounds {
    /// Computes the limits for a configuration.
    pub fn for_config(config: &Config) -> Bounds {
        let memory_kib = (config.limits.memory_mb as usize).saturating_mul(1024);
        let memory_bytes = (config.limits.memory_mb as usize).saturating_mul(1 << 20);
        // Open requests may use a quarter of the memory.
        let open_requests =
            (memory_kib / 4 / KIB_PER_OPEN_REQUEST).clamp(MIN_OPEN_REQUESTS, MAX_OPEN_REQUESTS);
        // Well-behaved clients use up to a third of the descriptors; misbehaving clients may use another third. The
        // rest is for connections to nodes.
        let client_connections = config.limits.sockets / 3 * 2;
        let connections = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        // One KiB per task, in an eighth of the memory. A task beyond this limit is not tracked.
        let running_tasks = (memory_kib / 8).max(MIN_RUNNING_TASKS);
        Bounds {
            open_requests,
            open_requests_per_client: (open_requests / 4)
                .clamp(MIN_OPEN_REQUESTS_PER_CLIENT, MAX_OPEN_REQUESTS_PER_CLIENT),
            running_tasks,
            // A completed request needs no more memory than a running task.
            completions_per_batch: running_tasks,
            connections_per_node: 1,
            connections,
            node_connections: node_connections(connections, client_connections, 0),
            client_connections,
            send_buffer_bytes: memory_bytes / 4,
            receive_buffer_bytes: memory_bytes / 8,
            health_check_interval: 0,
            health_check_timeout: 0,
            unreachable_timeout: MAX_UNREPORTED_END_DELAY / 2,
            notification_retention: MAX_UNREPORTED_END_DELAY,
            // All running tasks may end at once, just after others.
            kept_notifications: running_tasks * 2,
            ambiguity_timeout: MAX_REPORTED_END_DELAY / 2,
        }
        .with_dial_timeout(config.dial_timeout())
    }

    /// Adjusts the health checks to a network in which establishing a connection takes up to `dial_timeout`.
    ///
    /// The interval is several dial timeouts long because checks are a load on nodes: with an interval of one dial
    /// timeout (six hundred checks in twenty seconds), nodes served less (docs/results.md). Invariant: a node may be
    /// silent for two intervals before its check is due, and then has the health check timeout to answer; the sum must
    /// be less than `unreachable_timeout` for any dial timeout.
    pub fn with_dial_timeout(self, dial_timeout: Micros) -> Bounds {
        Bounds {
            health_check_interval: (dial_timeout * 4).min(self.unreachable_timeout / 4),
            health_check_timeout: (dial_timeout * 2).min(self.unreachable_timeout / 8 * 3),
            ..self
        }
    }

    /// Adjusts the limit on node connections to the number of open client connections.
    pub(super) fn set_open_clients(&mut self, open_clients: usize) {
        self.node_connections =
            node_connections(self.connections, self.client_connections, open_clients);
    }
}

/// Returns the limit on node connections while `open_clients` client connections are open.
///
/// Half of the limit on client connections is always reserved for clients, because a connecting client cannot wait
/// until a node connection is closed.
fn node_connections(connections: usize, client_connections: usize, open_clients: usize) -> usize {
    let for_clients = open_clients.max(client_connections / 2);
    connections.saturating_sub(for_clients).max(1)
}
