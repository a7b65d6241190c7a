//! The state machine between the platform's messages and the scheduler.
//!
//! The engine gives the scheduler the same guarantees as the simulator in the scheduler's tests: attempts are
//! numbered in the order in which the scheduler dispatches them, each attempt ends once, each request is answered once,
//! and events have the same meaning. The engine makes no scheduling decisions. It tracks connections, attempts and
//! tasks; except for requests that are invalid or exceed a limit, every answer is decided by the scheduler.
//!
//! [`PlatformEngine::handle`] is the only entry point for inputs. The implementation is split by topic:
//!
//! | module | topic |
//! | --- | --- |
//! | `scheduling` | batches of events for the scheduler, and the actions it returns |
//! | `node_list` | node list updates |
//! | `clients` | client messages and client connections |
//! | `admission` | admission of new requests |
//! | `handover` | handover of running tasks by clients |
//! | `answers` | the final answer to each request |
//! | `attempts` | dispatch, cancellation and end of attempts |
//! | `running_tasks` | tasks from placement to completion |
//! | `notifications` | notifying clients that their tasks have ended |
//! | `untracked_tasks` | ends of tasks that are not tracked |
//! | `connections` | connections to nodes, health checks, and reconnection |
//! | `node_messages` | messages from nodes |
//! | `ambiguity` | task ends that cannot be attributed to an attempt immediately |
//! | `shutdown` | answers during a shutdown |
//! | `timers` | timer expiry |
//!
//! State is kept in `request` (requests and attempts), `node_connections` (nodes and connections), `fair_queue`
//! (requests waiting for admission), `unconfirmed_handovers`, `notification_log`, `sent_notifications`, `recent_ids`,
//! `completion_backlog` and `timer_lag`. `attempt_matching` attributes messages to attempts, and
//! `request_parsing` parses message parameters.

mod admission;
mod ambiguity;
mod answers;
mod attempt_matching;
mod attempts;
mod bounds;
mod clients;
mod completion_backlog;
mod connections;
mod counters;
mod fair_queue;
mod handover;
mod io;
mod node_connections;
mod node_list;
mod node_messages;
mod notification_log;
mod notifications;
mod recent_ids;
mod request;
mod request_parsing;
mod running_tasks;
mod scheduling;
mod sent_notifications;
mod shutdown;
mod timer_lag;
mod timers;
mod unconfirmed_handovers;
mod untracked_tasks;

pub use bounds::Bounds;
pub use counters::Counters;
pub use io::{ClientId, Disconnect, Input, NodeConnectionId, Output};

use clients::Client;
use completion_backlog::CompletionBacklog;
use fair_queue::FairQueue;
use node_connections::NodeConnections;
use notification_log::NotificationLog;
use peppercove::adapter_protocol::RecordSchema;
use peppercove::{Event, Micros, Settings};
use peppercove_core::{Decide, Timers};
use request::RequestTable;
use sent_notifications::SentNotifications;
use std::collections::BTreeMap;
use timer_lag::TimerLag;
use timers::Timer;
use unconfirmed_handovers::UnconfirmedHandovers;

const MICROS_PER_MILLI: Micros = 1000;

/// The state of one controller on the platform, driving a scheduler of type `D`.
#[derive(Debug)]
pub struct PlatformEngine<D> {
    scheduler: D,
    settings: Settings,
    schema: RecordSchema,
    bounds: Bounds,
    now: Micros,
    /// When the scheduler last received a batch of events.
    last_batch_at: Option<Micros>,
    /// Events for the scheduler's next batch.
    events: Vec<Event>,
    requests: RequestTable,
    clients: BTreeMap<ClientId, Client>,
    queue: FairQueue,
    unconfirmed_handovers: UnconfirmedHandovers,
    completion_backlog: CompletionBacklog,
    notification_log: NotificationLog,
    sent_notifications: SentNotifications,
    nodes: NodeConnections,
    timers: Timers<Timer>,
    timer_lag: TimerLag,
    /// During a shutdown, the time by which requests must be answered even if their deadline is later.
    answer_limit: Option<Micros>,
    counters: Counters,
    outputs: Vec<Output>,
}

impl<D: Decide> PlatformEngine<D> {
    /// Creates an engine without requests, nodes or connections. `seed` determines the jitter of reconnect delays.
    pub fn new(
        scheduler: D,
        settings: Settings,
        schema: RecordSchema,
        bounds: Bounds,
        seed: u64,
    ) -> PlatformEngine<D> {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0);
        PlatformEngine {
            scheduler,
            settings,
            schema,
            bounds,
            now: 0,
            last_batch_at: None,
            events: Vec::new(),
            requests: RequestTable::new(bounds.running_tasks),
            clients: BTreeMap::new(),
            queue: FairQueue::default(),
            unconfirmed_handovers: UnconfirmedHandovers::default(),
            completion_backlog: CompletionBacklog::default(),
            notification_log: NotificationLog::default(),
            sent_notifications: SentNotifications::default(),
            nodes: NodeConnections::new(seed),
            timers: Timers::default(),
            timer_lag: TimerLag::new(longest_deadline),
            answer_limit: None,
            counters: Counters::default(),
            outputs: Vec::new(),
        }
    }

    /// Handles an input at `now`, in microseconds since the Unix epoch. The caller must execute the returned outputs
    /// in order.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Start(events) => self.on_start(events),
            Input::EndpointEvents(events) => self.on_endpoint_events(events),
            Input::EndpointWatchFailed => self.on_endpoint_watch_failed(),
            Input::ClientMessage(client, message) => self.on_client_message(client, message),
            Input::AdmitNext => self.admit_next(),
            Input::ClientLeaving(client) => self.on_client_leaving(client),
            Input::ClientSilent(client) => self.on_client_active(client),
            Input::SendNotifications(client) => self.send_notifications(client),
            Input::ClientDisconnected(client) => self.on_client_disconnected(client, false),
            Input::ClientBroken(client) => self.on_client_disconnected(client, true),
            Input::ClientCount(open_clients) => self.on_client_count(open_clients),
            Input::NodeConnected(connection) => self.on_node_connected(connection),
            Input::NodeMessage(connection, message) => self.on_node_message(connection, &message),
            Input::NodeDisconnected(connection, end) => self.on_node_disconnected(connection, end),
            Input::LimitAnswers(answer_by) => self.on_limit_answers(answer_by),
            Input::AnswerAll => self.on_answer_all(),
            Input::Tick(until) => self.on_tick(until),
        }
        self.run_batch();
        std::mem::take(&mut self.outputs)
    }

    /// The latest time at which [`PlatformEngine::handle`] must be called with [`Input::Tick`].
    pub fn next_wake(&self) -> Option<Micros> {
        let batch = (!self.events.is_empty()).then(|| self.next_batch_at());
        let deadlines = [
            self.timers.next_deadline(),
            self.queue.next_deadline(),
            batch,
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of requests without an answer, including queued requests.
    pub fn open_requests(&self) -> usize {
        self.requests.open + self.queue.len()
    }

    /// Whether any request is waiting for admission.
    pub fn has_queued_requests(&self) -> bool {
        !self.queue.is_empty()
    }

    /// The maximum delay with which timers have fired recently, in microseconds.
    pub fn timer_lag(&self) -> Micros {
        self.timer_lag.max()
    }

    /// Number of running tasks.
    pub fn running_tasks(&self) -> usize {
        self.nodes.running_tasks()
    }

    /// Number of nodes for which the engine holds state.
    pub fn known_nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Whether this client connection has a request without an answer.
    pub fn has_open_requests(&self, client: ClientId) -> bool {
        self.queue.len_of(client) > 0
            || self
                .clients
                .get(&client)
                .is_some_and(|c| !c.open_requests.is_empty())
    }

    /// Whether a valid request, or a message about a task of this client, was received on this client connection.
    pub fn has_sent_request(&self, client: ClientId) -> bool {
        self.clients
            .get(&client)
            .is_some_and(|c| c.has_sent_request)
    }
}
