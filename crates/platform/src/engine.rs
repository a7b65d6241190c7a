//! The state machine between the platform's messages and the decision module.
//!
//! It takes the place that the simulator has in the module's tests: attempts are numbered in the order of the module's
//! dispatches, each ends once, each request is answered once, and events mean to the module what they mean there. It
//! decides nothing. What it holds are facts about connections, attempts and tasks; every answer that does not follow
//! from a limit or from an invalid message is the module's.
//!
//! [`PlatformEngine::handle`] is the one door for inputs. What happens to each is split by the fact that it concerns:
//!
//! | module | concern |
//! | --- | --- |
//! | `scheduling` | batches of events for the decision module, and its actions |
//! | `node_list` | updates of the list of nodes |
//! | `clients` | messages and connections of clients |
//! | `admission` | new requests, and tasks that are handed over while they run |
//! | `answers` | final answers: each request gets one |
//! | `attempts` | dispatch, cancellation and end of attempts |
//! | `running_tasks` | tasks from their placement to their end |
//! | `notifications` | clients are notified of the ends of their tasks |
//! | `connections` | connections to nodes, their health, and reconnection |
//! | `node_messages` | messages of nodes |
//! | `ambiguity` | ends of which it is not known to which attempt they belong |
//! | `timers` | what happens when a timer fires |
//!
//! Their state is in `request` (requests and attempts), `node_connections` (nodes and connections), `fair_queue`
//! (requests to be admitted) and `timer_lag`. `attempt_matching` says to which attempt a message belongs, and
//! `request_parsing` reads the parameters of messages.

mod admission;
mod ambiguity;
mod answers;
mod attempt_matching;
mod attempts;
mod bounds;
mod clients;
mod connections;
mod counters;
mod fair_queue;
mod io;
mod node_connections;
mod node_list;
mod node_messages;
mod notifications;
mod request;
mod request_parsing;
mod running_tasks;
mod scheduling;
mod timer_lag;
mod timers;

pub use bounds::Bounds;
pub use counters::Counters;
pub use io::{ClientId, Disconnect, Input, NodeConnectionId, Output};

use clients::Client;
use fair_queue::FairQueue;
use node_connections::NodeConnections;
use notifications::UndeliveredNotification;
use peppercove::adapter_protocol::RecordSchema;
use peppercove::{Event, Micros, Settings};
use peppercove_core::{Decide, Timers};
use request::RequestTable;
use std::collections::{BTreeMap, VecDeque};
use timer_lag::TimerLag;
use timers::Timer;

const MICROS_PER_MILLI: Micros = 1000;

/// One controller on the platform, around a decision module.
#[derive(Debug)]
pub struct PlatformEngine<D> {
    module: D,
    settings: Settings,
    schema: RecordSchema,
    bounds: Bounds,
    now: Micros,
    /// When the module was last given a batch of events.
    last_batch_at: Option<Micros>,
    /// Events for the module's next batch.
    events: Vec<Event>,
    requests: RequestTable,
    clients: BTreeMap<ClientId, Client>,
    queue: FairQueue,
    undelivered: VecDeque<UndeliveredNotification>,
    nodes: NodeConnections,
    timers: Timers<Timer>,
    timer_lag: TimerLag,
    counters: Counters,
    outputs: Vec<Output>,
}

impl<D: Decide> PlatformEngine<D> {
    /// An engine without requests, nodes and connections. `seed` determines the jitter of reconnections.
    pub fn new(
        module: D,
        settings: Settings,
        schema: RecordSchema,
        bounds: Bounds,
        seed: u64,
    ) -> PlatformEngine<D> {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0);
        PlatformEngine {
            module,
            settings,
            schema,
            bounds,
            now: 0,
            last_batch_at: None,
            events: Vec::new(),
            requests: RequestTable::default(),
            clients: BTreeMap::new(),
            queue: FairQueue::default(),
            undelivered: VecDeque::new(),
            nodes: NodeConnections::new(seed),
            timers: Timers::default(),
            timer_lag: TimerLag::new(longest_deadline),
            counters: Counters::default(),
            outputs: Vec::new(),
        }
    }

    /// Handles an input at `now`, in microseconds since the Unix epoch, and returns the actions to carry out in order.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Start(events) => self.on_start(events),
            Input::EndpointEvents(events) => self.on_endpoint_events(events),
            Input::EndpointWatchFailed => self.on_endpoint_watch_failed(),
            Input::ClientMessage(client, message) => self.on_client_message(client, message),
            Input::AdmitNext => self.admit_next(),
            Input::ClientDisconnected(client) => self.on_client_disconnected(client),
            Input::ClientCount(open_clients) => self.on_client_count(open_clients),
            Input::NodeConnected(connection) => self.on_node_connected(connection),
            Input::NodeMessage(connection, message) => self.on_node_message(connection, &message),
            Input::NodeDisconnected(connection, how) => self.on_node_disconnected(connection, how),
            Input::Tick(until) => self.on_tick(until),
        }
        self.run_batch();
        std::mem::take(&mut self.outputs)
    }

    /// When [`PlatformEngine::handle`] must be called with a tick at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        let batch = (!self.events.is_empty()).then(|| self.next_batch_at());
        let deadlines = [
            self.timers.next_deadline(),
            self.queue.next_deadline(),
            batch,
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of requests without an answer, queued ones included.
    pub fn open_requests(&self) -> usize {
        self.requests.open + self.queue.len()
    }

    /// A request waits to be admitted.
    pub fn has_queued_requests(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Number of running tasks.
    pub fn running_tasks(&self) -> usize {
        self.nodes.running_tasks()
    }

    /// Number of nodes of which something is kept.
    pub fn known_nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The client has a request without an answer on this connection.
    pub fn has_open_requests(&self, client: ClientId) -> bool {
        self.queue.len_of(client) > 0
            || self
                .clients
                .get(&client)
                .is_some_and(|c| !c.open_requests.is_empty())
    }

    /// The client has sent a valid request on this connection.
    pub fn has_sent_request(&self, client: ClientId) -> bool {
        self.clients
            .get(&client)
            .is_some_and(|c| c.has_sent_request)
    }
}
