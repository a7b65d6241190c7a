//! Limits of the engine, computed from the configuration.

use crate::config::Config;
use peppercove::Micros;

/// The platform lets this much time pass before a client is notified of an end that no node could report.
const END_UNREPORTED_WITHIN: Micros = 8_000_000;
/// The platform lets this much time pass before a client is notified of an end that a node has reported.
const END_REPORTED_WITHIN: Micros = 1_000_000;

/// Memory of an open request in the worst case, in KiB.
const KIB_PER_OPEN_REQUEST: usize = 32;
/// Fewest open requests, whatever the memory.
const MIN_OPEN_REQUESTS: usize = 64;
/// Most open requests, whatever the memory.
const MAX_OPEN_REQUESTS: usize = 65_536;
/// Fewest open requests of one client.
const MIN_OPEN_REQUESTS_PER_CLIENT: usize = 16;
/// Most open requests of one client.
const MAX_OPEN_REQUESTS_PER_CLIENT: usize = 256;
/// Fewest running tasks, whatever the memory.
const MIN_RUNNING_TASKS: usize = 1024;
/// Descriptors for the program itself: listener, journal service, log, runtime.
const RESERVED_DESCRIPTORS: usize = 16;

/// Limits of the engine. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests without an answer, of all clients.
    pub open_requests: usize,
    /// Requests without an answer on one client connection.
    pub open_requests_per_client: usize,
    /// Running tasks.
    pub running_tasks: usize,
    /// Connections to one node over which requests are spread.
    pub connections_per_node: usize,
    /// Connections to clients and nodes together.
    pub connections: usize,
    /// Connections to all nodes: those that clients leave.
    pub node_connections: usize,
    /// Client connections; kept by the server.
    pub client_connections: usize,
    /// Bytes buffered for peers that do not read, on all connections; kept by the server.
    pub send_buffer_bytes: usize,
    /// A connection to a node with tasks or attempts is checked after it has been silent for this long.
    pub health_check_interval: Micros,
    /// A connection whose health check is not answered within this time no longer works.
    pub health_check_timeout: Micros,
    /// Tasks on a node that answers no health check and accepts no connection count as lost after this time.
    pub unreachable_timeout: Micros,
    /// A notification that could not be delivered is kept for this long.
    pub notification_retention: Micros,
    /// An end that may belong to an earlier attempt is accepted for the current one when nothing else is received for
    /// this long.
    pub ambiguity_timeout: Micros,
}

impl Bounds {
    /// Limits for a configuration.
    pub fn for_config(config: &Config) -> Bounds {
        let memory_kib = (config.limits.memory_mb as usize).saturating_mul(1024);
        let memory_bytes = (config.limits.memory_mb as usize).saturating_mul(1 << 20);
        // A quarter of the memory is for open requests.
        let open_requests =
            (memory_kib / 4 / KIB_PER_OPEN_REQUEST).clamp(MIN_OPEN_REQUESTS, MAX_OPEN_REQUESTS);
        // Well-behaved clients use up to a third of the descriptors; clients that misbehave may take as many again.
        // Connections to nodes get what is left.
        let client_connections = config.limits.sockets / 3 * 2;
        let connections = config.limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        Bounds {
            open_requests,
            open_requests_per_client: (open_requests / 4)
                .clamp(MIN_OPEN_REQUESTS_PER_CLIENT, MAX_OPEN_REQUESTS_PER_CLIENT),
            // One KiB each, in an eighth of the memory. A task beyond this limit is not tracked: nobody is notified of
            // its end.
            running_tasks: (memory_kib / 8).max(MIN_RUNNING_TASKS),
            connections_per_node: 1,
            connections,
            node_connections: node_connections(connections, client_connections, 0),
            client_connections,
            send_buffer_bytes: memory_bytes / 4,
            health_check_interval: 0,
            health_check_timeout: 0,
            unreachable_timeout: END_UNREPORTED_WITHIN / 2,
            notification_retention: END_UNREPORTED_WITHIN,
            ambiguity_timeout: END_REPORTED_WITHIN / 2,
        }
        .with_dial_timeout(config.dial_timeout())
    }

    /// These limits with health checks that suit a network where connections take up to `dial_timeout`.
    ///
    /// An interval of one dial time-out was tried: with six hundred checks in twenty seconds, nodes served less
    /// (docs/results.md). Invariant: a node may be silent for two intervals before its check is due, and has the
    /// time-out to answer; all of that passes before `unreachable_timeout`, however long connections may take.
    pub fn with_dial_timeout(self, dial_timeout: Micros) -> Bounds {
        Bounds {
            health_check_interval: (dial_timeout * 4).min(self.unreachable_timeout / 4),
            health_check_timeout: (dial_timeout * 2).min(self.unreachable_timeout / 8 * 3),
            ..self
        }
    }

    /// Adjusts the number of node connections to the number of client connections that are open.
    pub(super) fn set_open_clients(&mut self, open_clients: usize) {
        self.node_connections =
            node_connections(self.connections, self.client_connections, open_clients);
    }
}

/// Connections to nodes beside `open_clients` client connections.
///
/// Half of what clients may take is kept free for them: a client that connects cannot wait until a connection to a
/// node is closed.
fn node_connections(connections: usize, client_connections: usize, open_clients: usize) -> usize {
    let for_clients = open_clients.max(client_connections / 2);
    connections.saturating_sub(for_clients).max(1)
}
